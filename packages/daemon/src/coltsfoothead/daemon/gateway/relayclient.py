"""Passes requests to upstreams through other entries that reach them."""

import asyncio
from collections.abc import Callable

import msgspec

from coltsfoothead.coordination import errors as coordination_errors
from coltsfoothead.coordination.transport import links as links_module
from coltsfoothead.daemon import errors
from coltsfoothead.daemon.gateway import eventlog, relaymessages
from coltsfoothead.daemon.http import buffers, message
from coltsfoothead.daemon.http import errors as http_errors
from coltsfoothead.kernel.traffic import peering

__all__ = ["NotSentError", "RelayClient", "RelayedResponse"]

# Peers that are tried for one request while none has sent it.
MAX_PEERS_TRIED = 3
# Parts of an answer that wait to be read, beside those that the link holds.
MAX_BUFFERED_PARTS = 16
# Time beyond the deadline of a request after which its answer is no longer waited for.
DEADLINE_MARGIN_SECONDS = 2.0
# Interval at which peers are asked while a service cannot be reached, and the time-out of a call.
ASK_INTERVAL_SECONDS = 0.4
ASK_TIMEOUT_SECONDS = 0.3


class NotSentError(errors.DaemonError):
    """No peer sent the request to the upstream."""


class RelayedResponse:
    """Response of an upstream that arrives through another entry.

    It has the interface of `http.client.StreamedResponse`.
    """

    def __init__(
        self,
        head: relaymessages.Head,
        items: asyncio.Queue[relaymessages.Item | Exception],
        end: Callable[[], None],
    ) -> None:
        self.status = head.status
        self.headers = head.headers
        self._items = items
        self._end = end

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
                case relaymessages.Data(content=content):
                    if sink(content) is not False:
                        progress_at = loop.time()
                case relaymessages.End():
                    return
                case _:
                    raise _failure(item)

    async def read(
        self, silence_seconds: float | None, limit_bytes: int, buffer: buffers.Buffer
    ) -> bytes:
        """Returns the body; raises `UpstreamBrokeError` if it exceeds a limit."""

        def collect(content: bytes) -> None:
            buffer.append(content)
            if buffer.size > limit_bytes:
                raise http_errors.UpstreamBrokeError(f"answer exceeds {limit_bytes} bytes")

        try:
            await self.pump(collect, silence_seconds)
        finally:
            self.close()
        return buffer.take()

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

    def knows_peer(self, service: str) -> bool:
        """Returns whether a peer is known to reach a service, without asking any."""
        return bool(self._peers.usable(service, asyncio.get_running_loop().time()))

    async def find_peers(self, service: str) -> list[str]:
        """Returns the peers that reach a service, the preferred one first."""
        now = asyncio.get_running_loop().time()
        known = self._peers.reaching(service, now)
        asking = self._asking is not None and not self._asking.done()
        if not known and (asking or now - self._asked_at >= ASK_INTERVAL_SECONDS):
            await self.ask_peers()
            known = self._peers.reaching(service, asyncio.get_running_loop().time())
        return known

    async def _ask_all(self) -> None:
        self._asked_at = asyncio.get_running_loop().time()
        await asyncio.gather(*(self._ask(each) for each in self._peers.addresses))

    async def _ask(self, address: str) -> None:
        state = None
        try:
            answer = await self._links.call(
                _link_id(address), relaymessages.PEER_STATE, b"", ASK_TIMEOUT_SECONDS
            )
            state = relaymessages.decode_state(answer)
        except (coordination_errors.CoordinationError, msgspec.MsgspecError) as error:
            self._events.write("peer_not_answering", peer=address, cause=str(error))
        self._peers.record_state(address, state, asyncio.get_running_loop().time())

    async def send(
        self, service: str, relayed: relaymessages.RelayRequest, before_send: Callable[[], None]
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
        addresses = (await self.find_peers(service))[:MAX_PEERS_TRIED]
        if addresses:
            before_send()
        for address in addresses:
            waited = asyncio.get_running_loop().time() - started_at
            current = msgspec.structs.replace(
                relayed, seconds_left=max(0.0, relayed.seconds_left - waited)
            )
            items: asyncio.Queue[relaymessages.Item | Exception] = asyncio.Queue(MAX_BUFFERED_PARTS)
            reading = asyncio.create_task(self._read(address, current, items))
            self._answers.add(reading)
            reading.add_done_callback(self._answers.discard)
            try:
                first = await items.get()
            except BaseException:
                reading.cancel()
                raise
            match first:
                case relaymessages.Head(status=status) if status not in message.FINAL_STATUSES:
                    # Peers of earlier versions pass such a status on.
                    reading.cancel()
                    raise http_errors.UpstreamBrokeError(f"invalid status {status}")
                case relaymessages.Head():
                    return RelayedResponse(first, items, reading.cancel)
                case relaymessages.NotSent():
                    cause = f"{address}: {first.cause}"
                case _:
                    raise _failure(first)
        raise NotSentError(cause)

    async def _read(
        self,
        address: str,
        relayed: relaymessages.RelayRequest,
        items: asyncio.Queue[relaymessages.Item | Exception],
    ) -> None:
        """Reads the items of one answer until its end."""
        self._peers.add_in_flight(address, 1)
        stream = self._links.stream(
            _link_id(address),
            relaymessages.RELAY,
            relaymessages.encode(relayed),
            relayed.seconds_left + DEADLINE_MARGIN_SECONDS,
        )
        try:
            async for payload in stream:
                await items.put(relaymessages.decode_item(payload))
        except (coordination_errors.CoordinationError, msgspec.MsgspecError) as error:
            self._peers.record_state(address, None, 0.0)
            await items.put(http_errors.UpstreamBrokeError(f"{address}: {error}"))
        finally:
            self._peers.add_in_flight(address, -1)
            await stream.aclose()


def _link_id(address: str) -> str:
    return f"{links_module.ADDRESS_PREFIX}{address}"


def _failure(item: relaymessages.Item | Exception) -> Exception:
    match item:
        case Exception():
            return item
        case relaymessages.Broken(cause=cause):
            return http_errors.UpstreamBrokeError(cause)
        case _:
            return http_errors.UpstreamBrokeError(f"unexpected item {type(item).__name__}")
