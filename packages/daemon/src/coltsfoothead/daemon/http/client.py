"""HTTP/1.1 client: h11 for the protocol, streaming answers, a small pool of connections."""

import asyncio
import collections
import socket
from collections.abc import AsyncIterator, Callable

import h11

from coltsfoothead.daemon.http import errors, message

__all__ = ["Answer", "Client"]

READ_BYTES = 64 * 1024
IDLE_PER_ADDRESS = 16
# Idle connections are dropped sooner than common servers drop theirs, which is after 5 s or more.
IDLE_SECONDS = 4.0
# A request that crosses the server's close is lost, so a kept connection is dropped earlier.
KEEP_MARGIN_SECONDS = 0.5


# A VM without power or behind a partition never resets its connections. The probes end one after
# about 3 s, the time in which callers give up a silent answer at the earliest.
_PROBES = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 3000),
)
# What h11 holds after a chunk's data when nothing of the next chunk has arrived.
_BETWEEN_CHUNKS = (b"\r\n", False)


class _Connection(asyncio.Protocol):
    """One open connection.

    What arrives is parsed at once and given to the sink of a pumped body, or kept for `receive`.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._drained: asyncio.Future[None] | None = None
        self._sink: Callable[[bytes], None] | None = None
        self._failure: errors.UpstreamBrokeError | None = None
        self._news = False
        self._unread = 0
        self._received_at = 0.0
        self._timeout: float | None = None
        self._timer: asyncio.TimerHandle | None = None
        self.protocol = h11.Connection(h11.CLIENT)
        self.idle = False
        self.idle_until = 0.0
        self.keep_seconds = IDLE_SECONDS
        self.ended = False

    @property
    def writable(self) -> bool:
        """Whether the connection is open and the server has not ended its side."""
        return not self.ended and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Takes the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parses what arrived."""
        self._received_at = self._loop.time()
        if not self.idle:
            self.protocol.receive_data(data)
        if self._sink is not None:
            self._push()
            return
        if self.idle:
            # Surplus bytes belong to no request; the next answer on this connection would be wrong.
            self.close()
            return
        self._unread += len(data)
        if self._unread > READ_BYTES:
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Ends the body; the parser tells whether it was whole."""
        self._end()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Ends the body; after an error nothing more is parsed."""
        if error is not None:
            self._failure = errors.UpstreamBrokeError(str(error))
        self._end()
        self.resume_writing()

    def pause_writing(self) -> None:
        """Makes `send` wait until the server has read more."""
        self._drained = self._loop.create_future()

    def resume_writing(self) -> None:
        """Lets `send` go on."""
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        self._drained = None

    def close(self) -> None:
        """Drops the connection."""
        self._transport.abort()

    def detect_silence(self) -> None:
        """Lets the system probe the connection, which ends it when the other VM is gone."""
        connected = self._transport.get_extra_info("socket")
        for level, option, value in _PROBES:
            connected.setsockopt(level, option, value)

    async def send(self, data: bytes) -> None:
        """Writes and waits while the server reads too slowly."""
        if self._transport.is_closing():
            raise self._failure or errors.UpstreamBrokeError("connection is closed")
        self._transport.write(data)
        if self._drained is not None:
            await self._drained

    def ready_event(self) -> object:
        """Returns the next event of what was received, or `h11.NEED_DATA`."""
        if self._failure is not None:
            raise self._failure
        try:
            return self.protocol.next_event()
        except h11.RemoteProtocolError as error:
            raise errors.UpstreamBrokeError(f"malformed answer: {error}") from error

    async def receive(self, timeout: float | None) -> None:
        """Waits until something arrived after the last call; an end shows in the next event."""
        self._unread = 0
        if not self._news:
            self._transport.resume_reading()
            self._received_at = self._loop.time()
            await self._wait(timeout)
        self._news = False

    def expect_another(self) -> None:
        """Reads what follows a whole answer as the answer to the request that was sent."""
        surplus, closed = self.protocol.trailing_data
        if self.protocol.their_state is not h11.DONE:
            raise errors.UpstreamBrokeError("connection closed before the answer")
        self.protocol = h11.Connection(h11.CLIENT)
        # The bytes went out on the connection long ago; only the parser has to know of them.
        self.protocol.send(h11.Request(method="GET", target="/", headers=[("host", "-")]))
        self.protocol.send(h11.EndOfMessage())
        if surplus:
            self.protocol.receive_data(surplus)
        if closed or self.ended:
            self.protocol.receive_data(b"")

    async def next_event(self, timeout: float | None) -> object:
        """Returns the next event."""
        while (event := self.ready_event()) is h11.NEED_DATA:
            await self.receive(timeout)
        return event

    async def pump(self, sink: Callable[[bytes], None], silence_seconds: float | None) -> None:
        """Gives parts of the body to `sink` as they arrive; returns at the body's end."""
        self._sink = sink
        self._received_at = self._loop.time()
        self._transport.resume_reading()
        # The sink and the parser run inside the event loop's callbacks; what they raise is
        # handed to this task through the waiter.
        self._loop.call_soon(self._push)
        try:
            await self._wait(silence_seconds)
        finally:
            self._sink = None

    async def _wait(self, timeout: float | None) -> None:
        """Waits for the waiter, and fails if nothing arrives for `timeout` seconds."""
        self._waiter = self._loop.create_future()
        self._timeout = timeout
        if timeout is not None:
            self._timer = self._loop.call_later(timeout, self._check_silence)
        try:
            await self._waiter
        finally:
            self._waiter = None
            if self._timer is not None:
                self._timer.cancel()
                self._timer = None

    def _check_silence(self) -> None:
        # Moving the timer with every read would cost more than looking at the time here.
        due = self._received_at + self._timeout
        if self._loop.time() < due:
            self._timer = self._loop.call_at(due, self._check_silence)
            return
        self._timer = None
        self._wake(errors.SilentUpstreamError(f"nothing received for {self._timeout} s"))

    def _wake(self, error: BaseException | None = None) -> None:
        self._news = True
        waiter = self._waiter
        if waiter is None or waiter.done():
            return
        if error is None:
            waiter.set_result(None)
        else:
            waiter.set_exception(error)

    def _end(self) -> None:
        if self.ended:
            return
        self.ended = True
        self.protocol.receive_data(b"")
        if self._sink is None:
            self._wake()
        else:
            self._push()

    def _push(self) -> None:
        """Gives the sink what was received and ends the wait at the body's end."""
        sink = self._sink
        # A cancelled or failed wait takes nothing more, even before its task has run.
        if sink is None or self._waiter.done():
            return
        try:
            data, whole = self._take_body()
            if data:
                sink(data)
            if whole:
                self._sink = None
                self._wake()
        except Exception as error:
            self._sink = None
            self._wake(error)

    def _take_body(self) -> tuple[bytes, bool]:
        """Returns the received part of the body and whether the body is whole."""
        event = self.ready_event()
        # Mostly one read brings one chunk. Asking h11 once more after it costs 4 us.
        single = type(event) is h11.Data and event.chunk_end
        if single and self.protocol.trailing_data == _BETWEEN_CHUNKS:
            return event.data, False
        parts: list[bytes] = []
        while type(event) is h11.Data:
            parts.append(event.data)
            event = self.ready_event()
        whole = type(event) is h11.EndOfMessage
        if not whole and event is not h11.NEED_DATA:
            raise errors.UpstreamBrokeError("connection closed in the middle of the body")
        return b"".join(parts), whole


class Answer:
    """Status and headers of an answer whose body is read as it arrives."""

    def __init__(
        self, client: "Client", address: str, connection: _Connection, head: h11.Response
    ) -> None:
        self._client = client
        self._address = address
        self._connection = connection
        self.status: int = head.status_code
        self.headers = tuple(
            (name.decode("latin-1").lower(), value.decode("latin-1"))
            for name, value in head.headers
        )

    async def chunks(self, silence_seconds: float | None) -> AsyncIterator[bytes]:
        """Yields parts of the body.

        Raises
        ------
        SilentUpstreamError
            If nothing arrives for `silence_seconds`.
        UpstreamBrokeError
            If the connection fails before the body is whole.
        """
        connection = self._connection
        parts: list[bytes] = []
        while True:
            event = connection.ready_event()
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                continue
            # What one read brought is handed on together: a step of the generator for every
            # small chunk costs more than parsing the chunk.
            if parts:
                yield b"".join(parts)
                parts.clear()
            match event:
                case h11.NEED_DATA:
                    await connection.receive(silence_seconds)
                case h11.EndOfMessage():
                    self._client.release(self._address, connection)
                    return
                case _:
                    raise errors.UpstreamBrokeError("connection closed in the middle of the body")

    async def pump(self, sink: Callable[[bytes], None], silence_seconds: float | None) -> None:
        """Calls `sink` with parts of the body as they arrive, until the body is whole.

        `sink` runs in the event loop's callback of a read, so it must not block. An error that it
        raises ends the call and is raised here.

        Raises
        ------
        SilentUpstreamError
            If nothing arrives for `silence_seconds`.
        UpstreamBrokeError
            If the connection fails before the body is whole.
        """
        await self._connection.pump(sink, silence_seconds)
        self._client.release(self._address, self._connection)

    async def read(self, silence_seconds: float | None, limit_bytes: int) -> bytes:
        """Returns the whole body; raises `UpstreamBrokeError` if it exceeds `limit_bytes`."""
        body = bytearray()
        async for chunk in self.chunks(silence_seconds):
            body += chunk
            if len(body) > limit_bytes:
                self.close()
                raise errors.UpstreamBrokeError(f"answer exceeds {limit_bytes} bytes")
        return bytes(body)

    def close(self) -> None:
        """Drops the connection; does nothing after the body was read whole."""
        if self._connection.protocol.our_state is not h11.IDLE:
            self._connection.close()


class Client:
    """Opens connections and keeps idle ones for a short time.

    Parameters
    ----------
    connect_seconds : float
        Bound on opening a connection.
    keep_host : bool
        Send a request's own ``host`` header instead of the address.
    """

    def __init__(self, connect_seconds: float, keep_host: bool = False) -> None:
        self._connect_seconds = connect_seconds
        self._keep_host = keep_host
        self._idle: dict[str, collections.deque[_Connection]] = {}

    async def send(
        self,
        address: str,
        request: message.Request,
        timeout: float | None,
        fresh: bool = False,
        ready: Callable[[], None] | None = None,
        belongs: Callable[[h11.Response], bool] | None = None,
    ) -> Answer:
        """Sends a request and returns the answer's head.

        Parameters
        ----------
        address : str
            ``IP:port``.
        request : Request
        timeout : float or None
            Seconds to wait for each read until the head is complete.
        fresh : bool
            Use a new connection. A kept one may have been closed by the server, and then it is
            unknown whether the request ran.
        ready : callable, optional
            Called once connected, right before the first byte is written. What it raises is
            raised here, and nothing was sent.
        belongs : callable, optional
            Tells whether an answer's head belongs to this request. An answer that does not, left
            over from an earlier request, is skipped.

        Raises
        ------
        ConnectError
            If nothing was sent.
        UpstreamBrokeError
            If bytes may have been sent.
        """
        connection = None if fresh else self._take(address)
        if connection is None:
            connection = await self._connect(address)
        try:
            if ready is not None:
                ready()
            head = await self._exchange(connection, address, request, timeout)
            while belongs is not None and not belongs(head):
                head = await self._skip(connection, timeout)
        except BaseException:
            connection.close()
            raise
        connection.keep_seconds = _keep_seconds(head)
        return Answer(self, address, connection, head)

    @staticmethod
    async def _skip(connection: _Connection, timeout: float | None) -> h11.Response:
        """Reads an answer that belongs to no request here, and returns the head of the next."""
        while not isinstance(await connection.next_event(timeout), h11.EndOfMessage):
            pass
        connection.expect_another()
        event = await connection.next_event(timeout)
        if not isinstance(event, h11.Response):
            raise errors.UpstreamBrokeError("connection closed before the answer")
        return event

    def release(self, address: str, connection: _Connection) -> None:
        """Keeps a connection whose answer was read whole, if it may serve again."""
        protocol = connection.protocol
        whole = protocol.our_state is h11.DONE and protocol.their_state is h11.DONE
        if not whole or protocol.trailing_data[0] or not connection.writable:
            connection.close()
            return
        protocol.start_next_cycle()
        idle = self._idle.setdefault(address, collections.deque())
        connection.idle = True
        connection.idle_until = asyncio.get_running_loop().time() + connection.keep_seconds
        idle.append(connection)
        while len(idle) > IDLE_PER_ADDRESS:
            idle.popleft().close()

    def close(self) -> None:
        """Closes the idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()

    def _take(self, address: str) -> _Connection | None:
        idle = self._idle.get(address)
        now = asyncio.get_running_loop().time()
        while idle:
            connection = idle.pop()
            if now < connection.idle_until and connection.writable:
                connection.idle = False
                return connection
            connection.close()
        self._idle.pop(address, None)
        return None

    async def _connect(self, address: str) -> _Connection:
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(self._connect_seconds):
                _, connection = await asyncio.get_running_loop().create_connection(
                    _Connection, host.strip("[]"), int(port)
                )
        except (OSError, TimeoutError) as error:
            raise errors.ConnectError(f"{address}: {error or 'timed out'}") from error
        connection.detect_silence()
        return connection

    async def _exchange(
        self,
        connection: _Connection,
        address: str,
        request: message.Request,
        timeout: float | None,
    ) -> h11.Response:
        host = request.header("host") if self._keep_host else None
        headers = [each for each in request.headers if each[0] not in ("host", "content-length")]
        headers.insert(0, ("host", host or address))
        if request.body or request.method not in ("GET", "HEAD", "OPTIONS"):
            headers.append(("content-length", str(len(request.body))))
        protocol = connection.protocol
        data = protocol.send(
            h11.Request(method=request.method, target=request.target, headers=headers)
        )
        if request.body:
            data += protocol.send(h11.Data(data=request.body))
        data += protocol.send(h11.EndOfMessage())
        await connection.send(data)
        while True:
            event = await connection.next_event(timeout)
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise errors.UpstreamBrokeError("connection closed before the answer")


def _keep_seconds(head: h11.Response) -> float:
    """Returns how long the connection may be kept idle after an answer."""
    for name, value in head.headers:
        if name == b"keep-alive":
            for part in value.split(b","):
                key, _, number = part.strip().partition(b"=")
                if key.lower() == b"timeout" and number.isdigit():
                    # The server counts from when it sent the answer.
                    return max(0.0, int(number) - KEEP_MARGIN_SECONDS)
    return IDLE_SECONDS
