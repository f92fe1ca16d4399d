"""Sends requests of other entries to upstreams, and returns what the upstreams answer.

The entry that received a request from its caller decides everything about it: admission, placement,
limits, retries and the refusal. It is never passed on to a third entry.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator

from coltsfoothead.daemon.gateway import (
    answermatch,
    directory,
    pathmonitor,
    ports,
    promptguard,
    relaymessages,
    upstreamnotices,
)
from coltsfoothead.daemon.http import client as http_client
from coltsfoothead.daemon.http import errors as http_errors
from coltsfoothead.daemon.http import message
from coltsfoothead.kernel.traffic import peering, upstreams

__all__ = ["RelayServer"]

# Requests of other entries that one entry has in flight at most.
MAX_RELAYED_REQUESTS = 200
# Time beyond the deadline of a request after which its upstream is no longer waited for.
DEADLINE_MARGIN_SECONDS = 1.0


@dataclasses.dataclass(slots=True)
class _ObservedAttempt:
    """Implements `promptguard.ObservedAttempt` for a request of another entry."""

    caller_request: ports.CallerRequest
    upstream_id: str | None
    request_digest: str
    part_ids: tuple[str, ...]
    attempt_began_at: float | None = None
    attempt_sound: bool = False
    crashed_attempts: int = 0

    @property
    def shared_part_ids(self) -> tuple[str, ...]:
        """IDs of the prompt's parts that other requests may share, in order."""
        return self.part_ids[:-1]


class RelayServer:
    """Sends requests of other entries to upstreams.

    Parameters
    ----------
    dialect : CallerDialect
    client : Client
    directory_copy : DirectoryCopy
    paths : PathMonitor
    guard : PromptGuard
        Learns of upstreams that crash under the requests.
    notices : UpstreamNotices
        Learns what upstreams say in their answers.
    """

    def __init__(
        self,
        dialect: ports.CallerDialect,
        client: http_client.Client,
        directory_copy: directory.DirectoryCopy,
        paths: pathmonitor.PathMonitor,
        guard: promptguard.PromptGuard,
        notices: upstreamnotices.UpstreamNotices,
    ) -> None:
        self._dialect = dialect
        self._client = client
        self._directory = directory_copy
        self._paths = paths
        self._guard = guard
        self._notices = notices
        self._draining = False
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Number of requests of other entries that have not been answered."""
        return self._in_flight

    def drain(self) -> None:
        """Refuses further requests."""
        self._draining = True

    async def state(self, sender: str, payload: bytes) -> bytes:
        """Answers which services this entry reaches, and how many requests it accepts."""
        places = 0 if self._draining else MAX_RELAYED_REQUESTS - self._in_flight
        return relaymessages.encode(peering.PeerState(self._paths.unreached_services(), places))

    async def serve(self, sender: str, payload: bytes) -> AsyncIterator[bytes]:
        """Yields the items of the answer to one request."""
        self._in_flight += 1
        try:
            answer = self._answer(relaymessages.decode_request(payload))
            async with contextlib.aclosing(answer) as items:
                async for item in items:
                    yield relaymessages.encode(item)
        finally:
            self._in_flight -= 1

    async def _answer(
        self, relayed: relaymessages.RelayRequest
    ) -> AsyncIterator[relaymessages.Item]:
        upstream = self._directory.records.get(relayed.upstream_id)
        cause = self._obstacle(upstream, relayed)
        if upstream is None or cause is not None:
            yield relaymessages.NotSent(cause or "unknown upstream")
            return
        request = message.Request(relayed.method, relayed.target, relayed.headers, relayed.body)
        caller_request = self._dialect.decode(request)
        attempt = _ObservedAttempt(caller_request, upstream.id, relayed.digest, relayed.part_ids)
        metadata = ports.ForwardingMetadata(
            relayed.organisation,
            upstream.id,
            max(ports.MIN_FORWARDED_SECONDS, relayed.seconds_left),
            relayed.urgency,
            relayed.last_event_id,
            relayed.kv_source_address,
        )
        answer = None
        try:
            async with asyncio.timeout(relayed.seconds_left + DEADLINE_MARGIN_SECONDS):
                with self._paths.watch(upstream) as slow_connect:
                    answer = await self._client.send(
                        upstream.address,
                        self._dialect.forward(request, caller_request, metadata),
                        None,
                        before_send=slow_connect.cancel,
                        matches_request=answermatch.matcher(self._dialect, caller_request.id),
                    )
                self._notices.record(
                    upstream, self._dialect.decode_response_head(answer.status, answer.headers)
                )
                yield relaymessages.Head(answer.status, answer.headers)
                async for part in answer.chunks(None):
                    self._observe_data(attempt)
                    yield relaymessages.Data(part)
                if answer.status < 300:
                    self._guard.record_answer(attempt)
                yield relaymessages.End()
        except http_errors.ConnectError as error:
            yield relaymessages.NotSent(str(error))
        except http_errors.UpstreamBrokeError as error:
            self._paths.record_break(upstream)
            if isinstance(error, http_errors.UpstreamClosedError):
                self._guard.record_close(attempt, upstream)
            yield relaymessages.Broken(str(error))
        except TimeoutError:
            yield relaymessages.Broken("timed out")
        finally:
            if answer is not None:
                answer.close()

    def _observe_data(self, attempt: _ObservedAttempt) -> None:
        now = asyncio.get_running_loop().time()
        if attempt.attempt_began_at is None:
            attempt.attempt_began_at = now
        self._guard.record_progress(attempt, now)

    def _obstacle(
        self, upstream: upstreams.Upstream | None, relayed: relaymessages.RelayRequest
    ) -> str | None:
        """Returns why a request cannot be sent, or None."""
        if self._draining:
            return "the entry stops"
        if self._in_flight > MAX_RELAYED_REQUESTS:
            return f"{self._in_flight} requests of other entries in flight"
        if upstream is None or upstream.born != relayed.born:
            return f"start {relayed.born} of {relayed.upstream_id} is not known"
        if upstream.state is not upstreams.State.READY:
            return f"{upstream.id} is {upstream.state.value}"
        if self._notices.leaves(upstream):
            return f"{upstream.id} leaves"
        if self._notices.pauses(upstream):
            return f"{upstream.id} wants a pause"
        if not self._paths.usable(upstream):
            return f"{upstream.id} cannot be reached from here either"
        return None
