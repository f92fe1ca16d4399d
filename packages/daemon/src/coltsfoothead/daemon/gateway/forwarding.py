"""The way of a request through an entry: admit, send, relay, count."""

import asyncio
import dataclasses

from coltsfoothead.daemon import metrics as metrics_module
from coltsfoothead.daemon.gateway import (
    admission,
    clock,
    eventlog,
    failures,
    flight,
    ports,
    relay,
    sending,
)
from coltsfoothead.daemon.http import errors as http_errors
from coltsfoothead.daemon.http import message, server
from coltsfoothead.kernel.traffic import demandmeter, document, repeats, usage

__all__ = ["Forwarder"]

# Largest answer of a plain service that is read whole before it is passed on.
ANSWER_BYTES = 8 * 1024 * 1024
# A stream that pauses for this many times what its route allows, and for this long at least, is
# given up at its upstream.
SILENT_GAPS = 2.0
SILENT_SECONDS = 1.6

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
    admission : Admission
    sender : Sender
    budget : RetryBudget
    counts : WindowCounts
        Usage of the organisations.
    events : EventLog
    metrics : Metrics
    """

    def __init__(
        self,
        dialect: ports.CallerDialect,
        admitting: admission.Admission,
        sender: sending.Sender,
        budget: repeats.RetryBudget,
        counts: usage.WindowCounts,
        events: eventlog.EventLog,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._dialect = dialect
        self._admission = admitting
        self._sender = sender
        self._budget = budget
        self._usage = counts
        self._events = events
        self._metrics = metrics
        self._wall = clock.WallClock()
        self._demand: dict[str, demandmeter.DemandMeter] = {}
        self._demand_at = clock.steady()
        self._draining = False
        self._under_way = 0

    @property
    def under_way(self) -> int:
        """Requests that have not been answered."""
        return self._under_way

    def drain(self) -> None:
        """Closes callers' connections after their next answer."""
        self._draining = True

    def demand(self) -> dict[str, demandmeter.DemandRates]:
        """Returns the rates at which callers ask of each service."""
        now = clock.steady()
        seconds, self._demand_at = now - self._demand_at, now
        return {name: meter.update(seconds) for name, meter in self._demand.items()}

    def encode_error(self, status: int, error: http_errors.HttpError) -> message.Response:
        """Returns the answer for a request that could not be received."""
        reason = _RECEIVE_REASONS.get(type(error), ports.RefusalReason.MALFORMED)
        self._events.write("request_unreadable", reason=reason.value, cause=str(error))
        self._metrics.count(f"refused_{reason.value}")
        return self._dialect.refuse(None, ports.Refusal(reason))

    async def handle(self, caller: server.Exchange) -> None:
        """Serves one request."""
        started = asyncio.get_running_loop().time()
        self._under_way += 1
        if self._draining:
            caller.close_after()
        call: ports.Call | None = None
        work: flight.Flight | None = None
        outcome, cause = "failed", "unexpected error"
        try:
            call = self._dialect.decode(caller.request)
            work = await self._admission.admit(caller.request, call, started, self._asked)
            self._note_demand(work)
            outcome, cause = await self._serve(caller, work), ""
        except ports.MalformedCallError as error:
            outcome, cause = "malformed", str(error)
            refusal = ports.Refusal(ports.RefusalReason.MALFORMED)
            await caller.respond(self._dialect.refuse(call, refusal))
        except failures.RefusedError as refused:
            outcome, cause = refused.refusal.reason.value, refused.cause
            await self._refuse(caller, call, work, refused.refusal)
        except http_errors.CallerGoneError:
            outcome, cause = "caller_left", ""
        except asyncio.CancelledError:
            outcome, cause = "caller_left", ""
            raise
        finally:
            self._under_way -= 1
            self._finish(call, work, started, outcome, cause)

    async def _serve(self, caller: server.Exchange, work: flight.Flight) -> str:
        serve = self._stream if work.route.kind is document.RequestKind.STREAM else self._plain
        with caller.cancelled_when_gone():
            try:
                async with asyncio.timeout_at(work.deadline):
                    return await serve(caller, work)
            except TimeoutError:
                if not caller.started:
                    refusal = ports.Refusal(ports.RefusalReason.TIMED_OUT)
                    raise failures.RefusedError(refusal) from None
                caller.abort()
                return "broken_by_timeout"

    async def _plain(self, caller: server.Exchange, work: flight.Flight) -> str:
        while True:
            try:
                attempt = await self._sender.attempt(work)
                response = await self._read(attempt)
            except failures.AttemptFailedError as failure:
                self._sender.go_on(work, failure)
                continue
            failed = response.status >= 500
            if failed and self._sender.may_repeat(work, not_run=False):
                self._sender.note_failure(work, f"status {response.status}", 0.3)
                continue
            self._began(work)
            await caller.respond(response)
            return "upstream_error" if failed else "answered"

    async def _stream(self, caller: server.Exchange, work: flight.Flight) -> str:
        events = relay.EventRelay(caller)
        while True:
            try:
                attempt = await self._sender.attempt(work, events.last_id or work.call.resume_after)
                await self._relay(attempt, caller, events, work)
            except failures.AttemptFailedError as failure:
                events.drop_partial()
                if events.count == 0:
                    if failure.answer is not None and not self._sender.may_repeat(
                        work, failure.not_run
                    ):
                        self._began(work)
                        await caller.respond(failure.answer)
                        return "upstream_error"
                    if failure.answer is None:
                        self._sender.go_on(work, failure)
                    continue
                self._sender.note_failure(work, failure.cause, 1.0)
                if failure.sent and not self._sender.may_repeat(work, failure.not_run):
                    caller.abort()
                    return "broken_by_upstream"
                continue
            except failures.RefusedError as refused:
                if events.count == 0:
                    raise
                self._events.write("stream_not_resumed", id=work.call.id, cause=refused.cause)
                caller.abort()
                return "broken_by_upstream"
            await caller.end()
            return "answered"

    async def _relay(
        self,
        attempt: sending.Attempt,
        caller: server.Exchange,
        events: relay.EventRelay,
        work: flight.Flight,
    ) -> None:
        """Relays one upstream's part of a stream to its end."""
        if attempt.reply.status != 200:
            answer = await self._read(attempt)
            text = f"status {attempt.reply.status}"
            raise failures.AttemptFailedError(text, answer=answer)

        def begin() -> None:
            work.first_at = asyncio.get_running_loop().time()
            self._began(work)
            if not caller.started:
                caller.begin(attempt.reply.status, attempt.reply.headers)

        def take(data: bytes) -> None:
            before = events.count
            events.feed(data, begin)
            if before == 0 and events.count:
                attempt.passage.started()
            if events.count > before:
                work.event_passed(asyncio.get_running_loop().time())

        silence = max(SILENT_SECONDS, SILENT_GAPS * (work.route.gap_seconds or 0.0))
        try:
            await attempt.answer.pump(take, None if not work.route.resumable else silence)
        except (http_errors.UpstreamBrokeError, relay.MalformedStreamError) as error:
            raise failures.AttemptFailedError(str(error)) from error
        finally:
            attempt.close()
        if events.partial:
            raise failures.AttemptFailedError("ended within an event")
        if events.count == 0:
            begin()

    async def _read(self, attempt: sending.Attempt) -> message.Response:
        """Reads a plain answer whole."""
        try:
            body = await attempt.answer.read(None, ANSWER_BYTES)
        except http_errors.UpstreamBrokeError as error:
            raise failures.AttemptFailedError(str(error)) from error
        finally:
            attempt.close()
        return message.Response(attempt.reply.status, attempt.reply.headers, body)

    async def _refuse(
        self,
        caller: server.Exchange,
        call: ports.Call | None,
        work: flight.Flight | None,
        refusal: ports.Refusal,
    ) -> None:
        if work is not None:
            self._meter(work.service).count(refused=1)
        if caller.started or caller.caller_gone:
            return
        try:
            await caller.respond(self._dialect.refuse(call, refusal))
        except http_errors.CallerGoneError:
            # The caller left while its refusal was written; there is nobody to tell.
            self._metrics.count("refusals_not_delivered")

    def _asked(self, work: flight.Flight) -> None:
        self._budget.record_request(work.service, clock.steady())

    def _note_demand(self, work: flight.Flight) -> None:
        """Counts an admitted request; what is over a quota needs no runners."""
        meter = self._meter(work.service)
        meter.count(requests=1)
        if work.prompt is not None:
            expected = work.call.output_hint or work.call.most_output_tokens or 0
            meter.count(prompt_tokens=work.prompt.own_tokens, output_tokens=expected)

    def _meter(self, service: str) -> demandmeter.DemandMeter:
        return self._demand.setdefault(service, demandmeter.DemandMeter())

    def _began(self, work: flight.Flight) -> None:
        """Counts a request's usage, once."""
        if work.counted or work.organisation is None:
            return
        work.counted = True
        self._usage.record_start(work.organisation.name, self._wall.now())

    def _finish(
        self,
        call: ports.Call | None,
        work: flight.Flight | None,
        started: float,
        outcome: str,
        cause: str,
    ) -> None:
        now = asyncio.get_running_loop().time()
        self._metrics.count(f"requests_{outcome}")
        fields: dict[str, object] = {"id": call.id if call is not None else None}
        if work is not None:
            if not work.may_have_run:
                self._admission.give_back(work)
            elif work.prompt is None:
                self._began(work)
            first = work.first_at or now
            self._metrics.record(f"first_{work.route.kind.value}_us", (first - started) * 1e6)
            fields |= {
                "route": work.route.name,
                "service": work.service,
                "organisation": work.organisation_name,
                "document": work.document_version,
                "upstream": work.upstream_id,
                "sent": work.sent,
                "load": dataclasses.astuple(work.load) if work.load is not None else None,
                "load_age_s": work.load_age_seconds and round(work.load_age_seconds, 2),
                "tokens": work.call.tokens,
                "first_ms": round((first - started) * 1e3, 1),
                "pause_ms": round(work.longest_pause_seconds * 1e3, 1),
            }
        total = round((now - started) * 1e3, 1)
        self._events.write("request", **fields, outcome=outcome, cause=cause, ms=total)
