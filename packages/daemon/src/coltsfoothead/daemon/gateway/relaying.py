"""Passes requests to upstreams through other entries that reach them.

The entry that received a request from its caller decides everything about it: admission, placement,
limits, retries and the refusal. The other entry sends it to the named upstream and returns what the
upstream answers. It never passes it on to a third entry.
"""

import asyncio
import dataclasses
from collections.abc import AsyncIterator, Callable

import msgspec

from coltsfoothead.coordination import errors as coordination_errors
from coltsfoothead.coordination.transport import links as links_module
from coltsfoothead.daemon import errors
from coltsfoothead.daemon.gateway import (
    answermatch,
    directory,
    eventlog,
    pathmonitor,
    ports,
    promptguard,
    upstreamnotices,
)
from coltsfoothead.daemon.http import client as http_client
from coltsfoothead.daemon.http import errors as http_errors
from coltsfoothead.daemon.http import message
from coltsfoothead.kernel.traffic import peering, upstreams

__all__ = ["PEER_STATE", "RELAY", "RelayClient", "RelayServer", "RelayedResponse"]

RELAY = "gateway.relay"
PEER_STATE = "gateway.peer_state"

# Requests of other entries that one entry has in flight at most.
MAX_RELAYED_REQUESTS = 200
# Peers that are tried for one request while none has sent it.
MAX_PEERS_TRIED = 3
# Parts of an answer that wait to be read, beside those that the link holds.
MAX_BUFFERED_PARTS = 16
# Time beyond the deadline of a request after which its answer is no longer waited for.
DEADLINE_MARGIN_SECONDS = 1.0
# Interval at which peers are asked while a service cannot be reached, and the time-out of a call.
ASK_INTERVAL_SECONDS = 0.4
ASK_TIMEOUT_SECONDS = 0.3


class RelayRequest(msgspec.Struct, frozen=True):
    """A request that another entry sends to an upstream.

    Parameters
    ----------
    upstream_id : str
    born : int
        Start of the upstream that is meant.
    method, target : str
    headers : tuple of (str, str)
        As the caller sent them.
    body : bytes
    seconds_left : float
        Time until the deadline when the request was passed on.
    organisation : str or None
    urgency : int or None
    last_event_id, kv_source_address : str or None
        As in `ports.ForwardingMetadata`.
    digest : str
        Digest of the request, for the log.
    part_ids : tuple of str
        Parts to which a crash of the upstream may be attributed.
    """

    upstream_id: str
    born: int
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    seconds_left: float
    organisation: str | None
    urgency: int | None
    last_event_id: str | None
    kv_source_address: str | None
    digest: str
    part_ids: tuple[str, ...]


class NotSent(msgspec.Struct, frozen=True, tag=True):
    """Nothing was sent to the upstream; the last item of a relayed answer."""

    cause: str


class Head(msgspec.Struct, frozen=True, tag=True):
    """Status and headers of the upstream's response."""

    status: int
    headers: tuple[tuple[str, str], ...]


class Data(msgspec.Struct, frozen=True, tag=True):
    """A part of the body."""

    content: bytes


class End(msgspec.Struct, frozen=True, tag=True):
    """The body is complete; the last item of a relayed answer."""


class Broken(msgspec.Struct, frozen=True, tag=True):
    """The upstream failed after the request may have been sent; the last item."""

    cause: str


_Item = NotSent | Head | Data | End | Broken
_decode_item = msgspec.msgpack.Decoder(_Item).decode
_decode_request = msgspec.msgpack.Decoder(RelayRequest).decode
_decode_state = msgspec.msgpack.Decoder(peering.PeerState).decode
_encode = msgspec.msgpack.Encoder().encode


class NotSentError(errors.DaemonError):
    """No peer sent the request to the upstream."""


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
        return _encode(peering.PeerState(self._paths.unreached_services(), places))

    async def serve(self, sender: str, payload: bytes) -> AsyncIterator[bytes]:
        """Yields the items of the answer to one request."""
        self._in_flight += 1
        try:
            async for item in self._answer(_decode_request(payload)):
                yield _encode(item)
        finally:
            self._in_flight -= 1

    async def _answer(self, relayed: RelayRequest) -> AsyncIterator[_Item]:
        upstream = self._directory.records.get(relayed.upstream_id)
        cause = self._obstacle(upstream, relayed)
        if upstream is None or cause is not None:
            yield NotSent(cause or "unknown upstream")
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
                yield Head(answer.status, answer.headers)
                async for part in answer.chunks(None):
                    self._observe_data(attempt)
                    yield Data(part)
                if answer.status < 300:
                    self._guard.record_answer(attempt)
                yield End()
        except http_errors.ConnectError as error:
            yield NotSent(str(error))
        except http_errors.UpstreamBrokeError as error:
            self._paths.record_break(upstream)
            if isinstance(error, http_errors.UpstreamClosedError):
                self._guard.record_close(attempt, upstream)
            yield Broken(str(error))
        except TimeoutError:
            yield Broken("timed out")
        finally:
            if answer is not None:
                answer.close()

    def _observe_data(self, attempt: "_ObservedAttempt") -> None:
        now = asyncio.get_running_loop().time()
        if attempt.attempt_began_at is None:
            attempt.attempt_began_at = now
        self._guard.record_progress(attempt, now)

    def _obstacle(self, upstream: upstreams.Upstream | None, relayed: RelayRequest) -> str | None:
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


class RelayedResponse:
    """Response of an upstream that arrives through another entry.

    It has the interface of `http.client.StreamedResponse`.
    """

    def __init__(
        self,
        head: Head,
        items: asyncio.Queue[_Item | Exception],
        end: Callable[[], None],
    ) -> None:
        self.status = head.status
        self.headers = head.headers
        self._items = items
        self._end = end
        self._complete = False

    @property
    def framed(self) -> bool:
        """Whether the body has a length or chunks; otherwise the connection's end completes it."""
        names = {name for name, _ in self.headers}
        return bool(names & {"content-length", "transfer-encoding"})

    async def pump(
        self, sink: Callable[[bytes], bool | None], silence_seconds: float | None
    ) -> None:
        """Calls `sink` with parts of the body until it is complete.

        Raises
        ------
        SilentUpstreamError
            If nothing that brings progress arrives for `silence_seconds`.
        UpstreamBrokeError
            If the answer breaks off.
        """
        loop = asyncio.get_running_loop()
        progress_at = loop.time()
        while True:
            due = None if silence_seconds is None else progress_at + silence_seconds
            try:
                async with asyncio.timeout_at(due):
                    item = await self._items.get()
            except TimeoutError:
                raise http_errors.SilentUpstreamError(
                    f"nothing received for {silence_seconds} s"
                ) from None
            match item:
                case Data(content=content):
                    if sink(content) is not False:
                        progress_at = loop.time()
                case End():
                    self._complete = True
                    return
                case _:
                    raise _failure(item)

    async def read(self, silence_seconds: float | None, limit_bytes: int) -> bytes:
        """Returns the body; raises `UpstreamBrokeError` if it exceeds `limit_bytes`."""
        body = bytearray()

        def collect(content: bytes) -> None:
            body.extend(content)
            if len(body) > limit_bytes:
                raise http_errors.UpstreamBrokeError(f"answer exceeds {limit_bytes} bytes")

        try:
            await self.pump(collect, silence_seconds)
        finally:
            self.close()
        return bytes(body)

    def close(self) -> None:
        """Ends the answer; one that was not read to its end is cancelled at the upstream."""
        self._end()


class RelayClient:
    """Passes requests to upstreams through the peers of one entry.

    Parameters
    ----------
    links : Links
    peers : PeerTable
    events : EventLog
    """

    def __init__(
        self, links: links_module.Links, peers: peering.PeerTable, events: eventlog.EventLog
    ) -> None:
        self._links = links
        self._peers = peers
        self._events = events
        self._asked_at = float("-inf")
        self._asking: asyncio.Task[None] | None = None
        self._answers: set[asyncio.Task[None]] = set()

    async def ask_peers(self) -> None:
        """Asks all peers which services they reach."""
        if self._asking is None or self._asking.done():
            self._asking = asyncio.create_task(self._ask_all())
        await asyncio.shield(self._asking)

    async def find_peers(self, service: str) -> list[str]:
        """Returns the peers that reach a service, the preferred one first."""
        now = asyncio.get_running_loop().time()
        known = self._peers.reaching(service, now)
        if not known and now - self._asked_at >= ASK_INTERVAL_SECONDS:
            await self.ask_peers()
            known = self._peers.reaching(service, asyncio.get_running_loop().time())
        return known

    async def _ask_all(self) -> None:
        self._asked_at = asyncio.get_running_loop().time()
        await asyncio.gather(*(self._ask(each) for each in self._peers.addresses))

    async def _ask(self, address: str) -> None:
        state = None
        try:
            answer = await self._links.call(_link_id(address), PEER_STATE, b"", ASK_TIMEOUT_SECONDS)
            state = _decode_state(answer)
        except (coordination_errors.CoordinationError, msgspec.MsgspecError) as error:
            self._events.write("peer_not_answering", peer=address, cause=str(error))
        self._peers.record_state(address, state, asyncio.get_running_loop().time())

    async def send(
        self, service: str, relayed: RelayRequest, before_send: Callable[[], None]
    ) -> RelayedResponse:
        """Passes a request to an upstream through a peer and waits for the response head.

        Parameters
        ----------
        service : str
            Service of the upstream.
        relayed : RelayRequest
        before_send : callable
            Called once, before the first peer may have sent the request.

        Raises
        ------
        NotSentError
            If no peer has sent the request.
        UpstreamBrokeError
            If the upstream may have got the request.
        """
        started_at = asyncio.get_running_loop().time()
        cause = "no peer reaches the service"
        for address in (await self.find_peers(service))[:MAX_PEERS_TRIED]:
            waited = asyncio.get_running_loop().time() - started_at
            current = msgspec.structs.replace(
                relayed, seconds_left=max(0.0, relayed.seconds_left - waited)
            )
            items: asyncio.Queue[_Item | Exception] = asyncio.Queue(MAX_BUFFERED_PARTS)
            reading = asyncio.create_task(self._read(address, current, items))
            self._answers.add(reading)
            reading.add_done_callback(self._answers.discard)
            before_send()
            try:
                first = await items.get()
            except BaseException:
                reading.cancel()
                raise
            match first:
                case Head():
                    return RelayedResponse(first, items, reading.cancel)
                case NotSent():
                    cause = f"{address}: {first.cause}"
                case _:
                    raise _failure(first)
        raise NotSentError(cause)

    async def _read(
        self, address: str, relayed: RelayRequest, items: asyncio.Queue[_Item | Exception]
    ) -> None:
        """Reads the items of one answer until its end."""
        self._peers.add_in_flight(address, 1)
        stream = self._links.stream(
            _link_id(address),
            RELAY,
            _encode(relayed),
            relayed.seconds_left + 2 * DEADLINE_MARGIN_SECONDS,
        )
        try:
            async for payload in stream:
                await items.put(_decode_item(payload))
        except (coordination_errors.CoordinationError, msgspec.MsgspecError) as error:
            self._peers.record_state(address, None, 0.0)
            await items.put(http_errors.UpstreamBrokeError(f"{address}: {error}"))
        finally:
            self._peers.add_in_flight(address, -1)
            await stream.aclose()


def _link_id(address: str) -> str:
    return f"{links_module.ADDRESS_PREFIX}{address}"


def _failure(item: _Item | Exception) -> Exception:
    match item:
        case Exception():
            return item
        case Broken(cause=cause):
            return http_errors.UpstreamBrokeError(cause)
        case _:
            return http_errors.UpstreamBrokeError(f"unexpected item {type(item).__name__}")
