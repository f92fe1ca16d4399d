"""Serves a request at an entry: admits it, forwards it, relays the response and counts usage."""

import asyncio
import dataclasses
import traceback
from collections.abc import Callable

from coltsfoothead.daemon import metrics as metrics_module
from coltsfoothead.daemon.gateway import (
    admission,
    clock,
    eventlog,
    failures,
    ports,
    relay,
    requeststate,
    sending,
)
from coltsfoothead.daemon.http import buffers, message, server
from coltsfoothead.daemon.http import errors as http_errors
from coltsfoothead.kernel.traffic import demandmeter, document, repeats, streamorigins, usage

__all__ = ["Forwarder"]

# Largest response of a plain service; it is buffered before it is passed on.
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
# The attempt at an upstream is abandoned, if another one can resume its stream, once no complete
# event has arrived for this multiple of the gap that the route allows and for this many seconds.
SILENCE_GAP_FACTOR = 2.0
MIN_SILENCE_SECONDS = 1.6

# Outcomes of streams that were not served within their objectives for lack of capacity.
_UNSERVED_OUTCOMES = frozenset(
    [
        ports.RefusalReason.OVERLOADED.value,
        ports.RefusalReason.NO_UPSTREAM.value,
        ports.RefusalReason.TIMED_OUT.value,
        "broken_by_timeout",
    ]
)
_TIMED_OUT_OUTCOMES = frozenset([ports.RefusalReason.TIMED_OUT.value, "broken_by_timeout"])
_RECEIVE_REASONS = {
    http_errors.BodyTooLargeError: ports.RefusalReason.BODY_TOO_LARGE,
    http_errors.HeadersTooLargeError: ports.RefusalReason.HEADERS_TOO_LARGE,
    http_errors.ReceiveTimeoutError: ports.RefusalReason.TOO_SLOW,
}


class Forwarder:
    """Serves the requests of one entry.

    Parameters
    ----------
    dialect : CallerDialect
    request_admission : Admission
    sender : Sender
    retry_budget : RetryBudget
    usage_counts : WindowCounts
        Usage of the organisations per window.
    origins : EntryOrigins
    events : EventLog
    metrics : Metrics
    answer_buffers : BufferPool
        Memory of the answers of plain services.
    """

    def __init__(
        self,
        dialect: ports.CallerDialect,
        request_admission: admission.Admission,
        sender: sending.Sender,
        retry_budget: repeats.RetryBudget,
        usage_counts: usage.WindowCounts,
        origins: streamorigins.EntryOrigins,
        events: eventlog.EventLog,
        metrics: metrics_module.Metrics,
        answer_buffers: buffers.BufferPool,
    ) -> None:
        self._answer_buffers = answer_buffers
        self._dialect = dialect
        self._admission = request_admission
        self._sender = sender
        self._retry_budget = retry_budget
        self._usage = usage_counts
        self._origins = origins
        self._events = events
        self._metrics = metrics
        self._wall_clock = clock.WallClock()
        self._demand_meters: dict[str, demandmeter.DemandMeter] = {}
        self._demand_collected_at = clock.steady()
        self._draining = False
        self._in_flight = 0
        # Deadlines of the requests in flight, and whether they have been brought forward.
        self._timeouts: set[asyncio.Timeout] = set()
        self._ended_early = False

    @property
    def in_flight(self) -> int:
        """Number of requests that have not been answered."""
        return self._in_flight

    def drain(self) -> None:
        """Closes each caller's connection after its next response."""
        self._draining = True

    def end_requests(self) -> None:
        """Ends the requests in flight; those whose answer has not begun get an error at once."""
        self._ended_early = True
        now = asyncio.get_running_loop().time()
        for timeout in self._timeouts:
            if not timeout.expired():
                timeout.reschedule(now)

    def demand(self) -> dict[str, demandmeter.DemandRates]:
        """Returns the rates at which callers requested each service since the last call."""
        now = clock.steady()
        seconds, self._demand_collected_at = now - self._demand_collected_at, now
        return {name: meter.update(seconds) for name, meter in self._demand_meters.items()}

    def encode_error(self, status: int, error: http_errors.HttpError) -> message.Response:
        """Returns the response to a request that could not be received."""
        reason = _RECEIVE_REASONS.get(type(error), ports.RefusalReason.MALFORMED)
        self._events.write("request_unreadable", reason=reason.value, cause=str(error))
        self._metrics.count(f"refused_{reason.value}")
        return self._dialect.encode_refusal(None, ports.Refusal(reason))

    async def handle(self, caller: server.Exchange) -> None:
        """Serves one request."""
        arrived_at = asyncio.get_running_loop().time()
        self._in_flight += 1
        if self._draining:
            caller.close_after_response()
        caller_request: ports.CallerRequest | None = None
        state: requeststate.RequestState | None = None
        outcome, cause = "failed", "unexpected error"
        try:
            caller_request = self._dialect.decode(caller.request)
            state = await self._admission.admit(
                caller.request, caller_request, arrived_at, self._count_routed
            )
            self._count_demand(state)
            outcome, cause = await self._serve_until_deadline(caller, state), ""
        except ports.MalformedMessageError as error:
            outcome, cause = "malformed", str(error)
            refusal = ports.Refusal(ports.RefusalReason.MALFORMED)
            await caller.respond(self._dialect.encode_refusal(caller_request, refusal))
        except failures.RefusedError as refused:
            outcome, cause = refused.refusal.reason.value, refused.cause
            await self._refuse(caller, caller_request, state, refused.refusal)
        except http_errors.CallerGoneError:
            outcome, cause = "caller_left", ""
        except asyncio.CancelledError:
            outcome, cause = "caller_left", ""
            raise
        except Exception as error:
            # An error in one request must neither end the process nor leave the caller waiting.
            cause = repr(error)
            self._events.warn("request_failed", cause=cause, trace=traceback.format_exc(limit=-4))
            await self._refuse(caller, caller_request, state, self._failure_refusal(state))
        finally:
            self._in_flight -= 1
            self._finish(caller_request, state, arrived_at, outcome, cause)

    async def _serve_until_deadline(
        self, caller: server.Exchange, state: requeststate.RequestState
    ) -> str:
        serve = (
            self._serve_stream
            if state.route.kind is document.RequestKind.STREAM
            else self._serve_plain
        )
        timeout = asyncio.timeout_at(state.deadline)
        with caller.cancel_on_disconnect():
            try:
                async with timeout:
                    self._timeouts.add(timeout)
                    return await serve(caller, state)
            except TimeoutError:
                if not caller.started:
                    if self._ended_early:
                        raise self._admission.stopping_refusal(state) from None
                    refusal = ports.Refusal(ports.RefusalReason.TIMED_OUT)
                    raise failures.RefusedError(refusal) from None
                caller.abort()
                return "broken_by_stop" if self._ended_early else "broken_by_timeout"
            finally:
                self._timeouts.discard(timeout)

    async def _serve_plain(self, caller: server.Exchange, state: requeststate.RequestState) -> str:
        while True:
            try:
                attempt = await self._sender.attempt(state)
                response = await self._read_response(attempt, state)
            except failures.AttemptFailedError as failure:
                self._sender.versions.record_failure(state, failure)
                self._sender.ensure_retry(state, failure)
                continue
            self._sender.versions.record_answer(state, response.status)
            failed = response.status >= 500
            if failed and self._sender.reserve_retry(state, not_run=False):
                failure = failures.AttemptFailedError(f"status {response.status}")
                self._sender.record_failure(state, failure, 0.3)
                continue
            self._sender.pacing.record_response(state, response.status)
            self._count_usage(state)
            if response.status < 300:
                self._sender.guard.record_answer(state)
            await caller.respond(response)
            return "upstream_error" if failed else "answered"

    async def _serve_stream(self, caller: server.Exchange, state: requeststate.RequestState) -> str:
        events = relay.EventRelay(caller)
        while True:
            try:
                attempt = await self._sender.attempt(
                    state, events.last_event_id or state.caller_request.last_event_id
                )
                await self._relay_stream(attempt, caller, events, state)
            except failures.AttemptFailedError as failure:
                self._sender.versions.record_failure(state, failure)
                events.drop_partial()
                if events.event_count == 0:
                    if failure.response is not None:
                        self._sender.pacing.record_response(state, failure.response.status)
                    if failure.response is not None and not self._sender.reserve_retry(
                        state, failure.not_run
                    ):
                        self._count_usage(state)
                        await caller.respond(failure.response)
                        return "upstream_error"
                    if failure.response is None:
                        self._sender.ensure_retry(state, failure)
                    continue
                self._sender.record_failure(state, failure, 1.0)
                if failure.sent and not self._sender.reserve_retry(state, failure.not_run):
                    caller.abort()
                    return "broken_by_upstream"
                continue
            except failures.RefusedError as refused:
                if events.event_count == 0:
                    raise
                self._events.write(
                    "stream_not_resumed", id=state.caller_request.id, cause=refused.cause
                )
                caller.abort()
                return "broken_by_upstream"
            self._sender.versions.record_answer(state, 200)
            if state.attempt_began_at is not None:
                self._sender.guard.record_answer(state)
            await caller.end()
            return "answered"

    async def _relay_stream(
        self,
        attempt: sending.Attempt,
        caller: server.Exchange,
        events: relay.EventRelay,
        state: requeststate.RequestState,
    ) -> None:
        """Relays one upstream's response until its stream ends."""
        content_type = attempt.head.content_type
        continues = state.content_type in (None, content_type)
        if attempt.head.status != 200 or not continues:
            response = await self._read_response(attempt, state)
            text = f"status {attempt.head.status}, content type {content_type}"
            raise failures.AttemptFailedError(text, response=response)

        def begin_response() -> None:
            state.first_event_at = asyncio.get_running_loop().time()
            state.content_type = content_type
            self._count_usage(state)
            self._record_origin(state)
            if not caller.started:
                caller.start_nowait(attempt.head.status, attempt.head.headers)

        def relay_data(data: bytes) -> bool:
            count_before = events.event_count
            events.feed(data, begin_response)
            if count_before == 0 and events.event_count:
                attempt.tracked.mark_started()
            progressed = events.event_count > count_before
            if progressed:
                attempt.watch.record_events(events.event_count - count_before)
                now = asyncio.get_running_loop().time()
                state.record_event_written(now)
                self._sender.pacing.record_answer(state)
                self._record_origin(state)
                self._sender.guard.record_progress(state, now)
            return progressed

        try:
            await self._pump_events(attempt, relay_data, state)
        except (http_errors.UpstreamBrokeError, relay.MalformedStreamError) as error:
            closed = isinstance(error, http_errors.UpstreamClosedError)
            raise failures.AttemptFailedError(str(error), closed=closed) from error
        finally:
            attempt.close()
        if events.has_partial_event:
            raise failures.AttemptFailedError("stream ended within an event", closed=True)
        if state.attempt_began_at is None and not attempt.answer.framed:
            raise failures.AttemptFailedError("stream ended before its first event", closed=True)
        if events.event_count == 0:
            begin_response()
            events.write_comments()

    def _record_origin(self, state: requeststate.RequestState) -> None:
        """Records what began a stream, before its first event is passed on and while it goes on."""
        now = clock.steady()
        if now - state.origin_recorded_at < streamorigins.RENEWAL_SECONDS:
            return
        if state.origin is None:
            if not self._sender.starts.has_reached_listed(state):
                return
            assert state.upstream_version is not None
            state.origin = streamorigins.Origin(state.service, state.upstream_version)
        state.origin_recorded_at = now
        self._origins.record(state.stream_id, state.origin, now)

    async def _pump_events(
        self,
        attempt: sending.Attempt,
        relay_data: Callable[[bytes], bool],
        state: requeststate.RequestState,
    ) -> None:
        """Relays a stream; gives a stalled one up only if another upstream can resume it."""
        if state.route.resumable and self._sender.can_retry(state):
            gap_seconds = state.route.gap_seconds or 0.0
            silence_seconds = max(MIN_SILENCE_SECONDS, SILENCE_GAP_FACTOR * gap_seconds)
            try:
                await attempt.answer.pump(relay_data, silence_seconds)
                return
            except http_errors.SilentUpstreamError:
                if self._sender.can_retry(state):
                    raise
        await attempt.answer.pump(relay_data, None)

    async def _read_response(
        self, attempt: sending.Attempt, state: requeststate.RequestState
    ) -> message.Response:
        """Reads the whole response of an attempt."""
        state.close_answer_buffer()
        state.answer_buffer = self._answer_buffers.open()
        try:
            body = await attempt.answer.read(None, MAX_RESPONSE_BYTES, state.answer_buffer)
        except http_errors.UpstreamBrokeError as error:
            closed = isinstance(error, http_errors.UpstreamClosedError)
            raise failures.AttemptFailedError(str(error), closed=closed) from error
        finally:
            attempt.close()
        return message.Response(attempt.head.status, attempt.head.headers, body)

    def _failure_refusal(self, state: requeststate.RequestState | None) -> ports.Refusal:
        """Returns the refusal of a request that failed by an unexpected error."""
        if state is not None and not state.may_have_run:
            return self._admission.retryable_refusal(ports.RefusalReason.NOT_READY).refusal
        return ports.Refusal(ports.RefusalReason.UPSTREAM_FAILED)

    async def _refuse(
        self,
        caller: server.Exchange,
        caller_request: ports.CallerRequest | None,
        state: requeststate.RequestState | None,
        refusal: ports.Refusal,
    ) -> None:
        if state is not None:
            self._meter(state.service).count(refused=1)
        if caller.started:
            caller.abort()
        if caller.started or caller.caller_disconnected:
            return
        try:
            await caller.respond(self._dialect.encode_refusal(caller_request, refusal))
        except http_errors.CallerGoneError:
            # The caller closed its connection while the refusal was being written.
            self._metrics.count("refusals_not_delivered")

    def _count_routed(self, state: requeststate.RequestState) -> None:
        self._retry_budget.record_request(state.service, clock.steady())

    def _count_demand(self, state: requeststate.RequestState) -> None:
        """Counts the demand of an admitted request; requests over a quota need no runners."""
        meter = self._meter(state.service)
        meter.count(requests=1)
        if state.prompt is not None:
            meter.count(
                prompt_tokens=state.prompt.own_tokens, output_tokens=state.expected_output_tokens
            )

    def _meter(self, service: str) -> demandmeter.DemandMeter:
        return self._demand_meters.setdefault(service, demandmeter.DemandMeter())

    def _count_usage(self, state: requeststate.RequestState) -> None:
        """Counts a request in its organisation's usage, once only."""
        if state.usage_counted or state.organisation is None:
            return
        state.usage_counted = True
        self._usage.record_start(state.organisation.name, self._wall_clock.now())

    def _count_outcome(self, state: requeststate.RequestState, outcome: str) -> None:
        """Counts a stream that ended or was refused for lack of capacity, and whether in time."""
        if state.prompt is None or state.route.kind is not document.RequestKind.STREAM:
            return
        unserved = outcome in _UNSERVED_OUTCOMES
        if unserved or outcome == "answered":
            late = unserved or state.missed_objective
            self._meter(state.service).count(finished=1, late=float(late))

    def _finish(
        self,
        caller_request: ports.CallerRequest | None,
        state: requeststate.RequestState | None,
        arrived_at: float,
        outcome: str,
        cause: str,
    ) -> None:
        now = asyncio.get_running_loop().time()
        self._metrics.count(f"requests_{outcome}")
        fields: dict[str, object] = {
            "id": caller_request.id if caller_request is not None else None
        }
        if state is not None:
            state.close_answer_buffer()
            self._count_outcome(state, outcome)
            self._sender.settle_share(state)
            self._sender.pacing.end(state)
            self._sender.versions.finish(state, outcome in _TIMED_OUT_OUTCOMES)
            if not state.may_have_run:
                self._admission.refund(state)
            elif state.prompt is None:
                self._count_usage(state)
            first_event_at = state.first_event_at or now
            self._metrics.record(
                f"first_{state.route.kind.value}_us", (first_event_at - arrived_at) * 1e6
            )
            fields |= {
                "route": state.route.name,
                "service": state.service,
                "organisation": state.organisation_name,
                "document": state.document_version,
                "upstream": state.upstream_id,
                "version": state.upstream_version,
                "resumed_id": state.caller_request.resumed_id,
                "last_event_id": state.caller_request.last_event_id,
                "sent": state.sent_count,
                "relayed": state.relayed,
                "load": (
                    dataclasses.astuple(state.upstream_load)
                    if state.upstream_load is not None
                    else None
                ),
                "load_age_s": state.load_age_seconds and round(state.load_age_seconds, 2),
                "tokens": state.caller_request.total_tokens,
                "digest": state.request_digest,
                "parts": state.shared_part_ids[: requeststate.MAX_LOGGED_PARTS],
                "first_ms": round((first_event_at - arrived_at) * 1e3, 1),
                "pause_ms": round(state.longest_pause_seconds * 1e3, 1),
            }
            if state.wait is not None:
                fields |= state.wait.log_fields()
        total_ms = round((now - arrived_at) * 1e3, 1)
        self._events.write("request", **fields, outcome=outcome, cause=cause, ms=total_ms)
