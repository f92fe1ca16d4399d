"""HTTP/1.1 server: h11 for the protocol, one task per connection."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable, Iterator

import h11

from coltsfoothead.daemon.http import errors, message

__all__ = ["Bounds", "Exchange", "Server"]

READ_BYTES = 64 * 1024
DISCARD_SECONDS = 1.0
# Connections that the system holds until they are accepted; a burst beyond it waits for a resend.
BACKLOG = 1024
LINGER_SECONDS = 0.3
_CLOSE = ("connection", "close")

Handler = Callable[["Exchange"], Awaitable[None]]
ErrorEncoder = Callable[[int, errors.HttpError], message.Response]

# Status with which a receiving error is answered.
_STATUS = {
    errors.MalformedRequestError: 400,
    errors.ReceiveTimeoutError: 408,
    errors.BodyTooLargeError: 413,
    errors.HeadersTooLargeError: 431,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """What one connection may use.

    Attributes
    ----------
    body_bytes, header_bytes : int
        Largest body and largest header block.
    receive_seconds : float
        Time in which a whole request must arrive after its first byte.
    idle_seconds : float
        Time a connection may stay open without a request.
    connections : int
        Connections open at once.
    """

    body_bytes: int
    header_bytes: int
    receive_seconds: float
    idle_seconds: float
    connections: int


class _CallerProtocol(asyncio.StreamReaderProtocol):
    """Stream protocol that tells at once when the caller closes its side."""

    def __init__(self, reader: asyncio.StreamReader, accept: Callable[..., object]) -> None:
        super().__init__(reader, accept)
        self.on_gone: Callable[[], object] | None = None
        self.gone = False

    def eof_received(self) -> bool | None:
        """Notes the end of what the caller sends."""
        self._note_gone()
        return super().eof_received()

    def connection_lost(self, error: Exception | None) -> None:
        """Notes the loss of the connection."""
        self._note_gone()
        super().connection_lost(error)

    def _note_gone(self) -> None:
        if not self.gone:
            self.gone = True
            if self.on_gone is not None:
                self.on_gone()


class _Outbox:
    """Writes what the exchanges of a server put off until all reads of the loop are handled.

    A write that wakes a sleeping process costs five times one that finds it awake, so writes to
    callers are made in a row. Parts for the same caller become one write.
    """

    def __init__(self) -> None:
        self._due: list[Exchange] = []

    def add(self, exchange: "Exchange") -> None:
        """Adds an exchange that has something to write."""
        if not self._due:
            asyncio.get_running_loop().call_soon(self._flush)
        self._due.append(exchange)

    def _flush(self) -> None:
        due, self._due = self._due, []
        framed = [(exchange, exchange.take_framed()) for exchange in due]
        for exchange, data in framed:
            if data:
                exchange.transport.write(data)


class Exchange:
    """One request and the response being written to it.

    A handler either calls `respond` once, or `start`, any number of `write` and then `end`.
    """

    def __init__(
        self,
        request: message.Request,
        connection: h11.Connection,
        writer: asyncio.StreamWriter,
        outbox: _Outbox,
    ) -> None:
        self.request = request
        self._connection = connection
        self._writer = writer
        self._outbox = outbox
        self._parts: list[bytes] = []
        self._closing = False
        self.transport = writer.transport
        self._high_water_bytes = self.transport.get_write_buffer_limits()[1]
        self._started = False

    @property
    def started(self) -> bool:
        """Whether the response's status has been written."""
        return self._started

    @property
    def caller_gone(self) -> bool:
        """Whether the connection is closed."""
        return self._writer.is_closing()

    @contextlib.contextmanager
    def cancelled_when_gone(self) -> Iterator[None]:
        """Cancels the current task once the caller closes its side of the connection."""
        protocol = self.transport.get_protocol()
        assert isinstance(protocol, _CallerProtocol)
        task = asyncio.current_task()
        assert task is not None
        protocol.on_gone = task.cancel
        if protocol.gone:
            task.cancel()
        try:
            yield
        finally:
            protocol.on_gone = None

    def close_after(self) -> None:
        """Tells the caller that the connection closes after this response."""
        self._closing = True

    async def respond(self, response: message.Response) -> None:
        """Writes a complete response."""
        length = ("content-length", str(len(response.body)))
        headers = [each for each in response.headers if each[0].lower() != "content-length"]
        if self._closing:
            headers.append(_CLOSE)
        self._started = True
        # One write for the whole response: each write is a system call that may wake the caller.
        head = h11.Response(status_code=response.status, headers=[*headers, length])
        events = [head, h11.EndOfMessage()]
        if response.body and self.request.method != "HEAD":
            events.insert(1, h11.Data(data=response.body))
        self._send(*events)
        await self._drain()

    async def start(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Writes status and headers; without a content length the body is chunked."""
        self.begin(status, headers)
        await self._drain()

    def begin(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Writes status and headers without waiting for a caller that reads slowly."""
        self._started = True
        closing = (_CLOSE,) if self._closing else ()
        self._send(h11.Response(status_code=status, headers=[*headers, *closing]))

    async def write(self, data: bytes) -> None:
        """Writes a part of the body and waits while the caller reads too slowly.

        Raises
        ------
        CallerGoneError
            If the connection is closed.
        """
        if data:
            self._send(h11.Data(data=data))
        elif self._parts:
            self.transport.write(self.take_framed())
        await self._drain()

    def write_soon(self, data: bytes) -> bool:
        """Writes a part of the body once the reads that are ready now are handled.

        Returns
        -------
        bool
            Whether the caller keeps up. If not, the next part has to wait until `write` returns.

        Raises
        ------
        CallerGoneError
            If the connection is closed.
        """
        if self.transport.is_closing():
            raise errors.CallerGoneError("connection is closed")
        if not self._parts:
            self._outbox.add(self)
        self._parts.append(data)
        return self.transport.get_write_buffer_size() <= self._high_water_bytes

    def take_framed(self) -> bytes:
        """Returns what `write_soon` took since the last call, framed; empty if there is none."""
        parts, self._parts = self._parts, []
        if not parts or self.transport.is_closing():
            return b""
        try:
            return self._connection.send(h11.Data(data=b"".join(parts)))
        except h11.LocalProtocolError:
            # Raised into the outbox it would cost the other exchanges their parts.
            self.transport.abort()
            return b""

    async def end(self) -> None:
        """Ends the response."""
        self._send(h11.EndOfMessage())
        await self._drain()

    def abort(self) -> None:
        """Closes the connection after what is written, so that the response stays incomplete."""
        self._writer.close()

    def _send(self, *events: h11.Event) -> None:
        if self.transport.is_closing():
            raise errors.CallerGoneError("connection is closed")
        data = self.take_framed() + b"".join(map(self._connection.send, events))
        if data:
            self.transport.write(data)

    async def _drain(self) -> None:
        try:
            await self._writer.drain()
        except OSError as error:
            raise errors.CallerGoneError(str(error)) from error


class Server:
    """Accepts connections and gives each request to a handler.

    Parameters
    ----------
    handler : callable
        Takes an `Exchange`; exceptions that it lets through close the connection.
    encode_error : callable
        Turns a status and a receiving error into a response.
    bounds : Bounds
    """

    def __init__(self, handler: Handler, encode_error: ErrorEncoder, bounds: Bounds) -> None:
        self._handler = handler
        self._encode_error = encode_error
        self._bounds = bounds
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        self._idle: set[asyncio.StreamWriter] = set()
        self._closing = False
        self._outbox = _Outbox()

    @property
    def connections(self) -> int:
        """Connections that are open now."""
        return len(self._connections)

    def set_bounds(self, bounds: Bounds) -> None:
        """Replaces the bounds; the header limit counts for new connections."""
        self._bounds = bounds

    async def start(self, host: str, port: int) -> str:
        """Starts listening and returns the bound address as ``IP:port``."""
        loop = asyncio.get_running_loop()

        def protocol() -> _CallerProtocol:
            reader = asyncio.StreamReader(limit=READ_BYTES, loop=loop)
            return _CallerProtocol(reader, self._accept)

        self._server = await loop.create_server(protocol, host, port, backlog=BACKLOG)
        bound = self._server.sockets[0].getsockname()
        return f"{bound[0]}:{bound[1]}"

    def close_idle(self) -> None:
        """Closes the connections on which no request is under way."""
        for writer in list(self._idle):
            writer.close()

    async def stop(self, grace_seconds: float) -> None:
        """Stops listening, lets running exchanges end, then closes what is left.

        Requests that are on their way on open connections are still answered for a moment;
        without it a caller that has just connected would see its connection reset.
        """
        if self._server is not None:
            self._server.close()
        if self._connections:
            await asyncio.sleep(min(LINGER_SECONDS, grace_seconds))
        self._closing = True
        self.close_idle()
        if self._connections:
            await asyncio.wait(self._connections, timeout=grace_seconds)
        for task in list(self._connections):
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        if len(self._connections) >= self._bounds.connections:
            writer.transport.abort()
            return
        self._connections.add(task)
        try:
            await self._serve(reader, writer)
        except (OSError, errors.HttpError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(task)
            self._idle.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = h11.Connection(h11.SERVER, max_incomplete_event_size=self._bounds.header_bytes)
        while not self._closing:
            self._idle.add(writer)
            try:
                request = await self._receive(connection, reader, writer)
            except errors.HttpError as error:
                await self._refuse(connection, writer, reader, error)
                return
            finally:
                self._idle.discard(writer)
            if request is None:
                return
            exchange = Exchange(request, connection, writer, self._outbox)
            await self._handler(exchange)
            if connection.our_state is not h11.DONE or connection.their_state is not h11.DONE:
                return
            connection.start_next_cycle()

    async def _receive(
        self, connection: h11.Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> message.Request | None:
        """Returns the next request, or None if the peer closed between requests."""
        loop = asyncio.get_running_loop()
        head: h11.Request | None = None
        body = bytearray()
        deadline = loop.time() + self._bounds.idle_seconds
        started = False
        while True:
            event = self._next_event(connection)
            match event:
                case h11.Request():
                    head = event
                    self._check_framing(event)
                    if connection.they_are_waiting_for_100_continue:
                        go_on = h11.InformationalResponse(status_code=100, headers=[])
                        writer.write(connection.send(go_on))
                case h11.Data():
                    body += event.data
                    if len(body) > self._bounds.body_bytes:
                        limit = self._bounds.body_bytes
                        raise errors.BodyTooLargeError(f"body exceeds {limit} bytes")
                case h11.EndOfMessage():
                    assert head is not None
                    return _request(head, bytes(body))
                case h11.ConnectionClosed():
                    return None
                case h11.PAUSED:
                    return None
                case _:
                    data = await self._read(reader, deadline, started)
                    if data and not started:
                        started = True
                        self._idle.discard(writer)
                        deadline = loop.time() + self._bounds.receive_seconds
                    connection.receive_data(data)

    def _check_framing(self, head: h11.Request) -> None:
        """Checks what the header says of the body, before any of it is read.

        A request with both a length and a transfer encoding is read differently by different
        parsers, and what one takes for the body is the next request for the other.
        """
        names = [name for name, _ in head.headers]
        if b"content-length" in names and b"transfer-encoding" in names:
            raise errors.MalformedRequestError("both content-length and transfer-encoding")
        for name, value in head.headers:
            if name == b"content-length" and int(value) > self._bounds.body_bytes:
                raise errors.BodyTooLargeError(f"body exceeds {self._bounds.body_bytes} bytes")

    @staticmethod
    def _next_event(connection: h11.Connection) -> object:
        try:
            return connection.next_event()
        except h11.RemoteProtocolError as error:
            if error.error_status_hint == 431:
                raise errors.HeadersTooLargeError(str(error)) from error
            raise errors.MalformedRequestError(str(error)) from error

    async def _read(self, reader: asyncio.StreamReader, deadline: float, started: bool) -> bytes:
        try:
            async with asyncio.timeout_at(deadline):
                return await reader.read(READ_BYTES)
        except TimeoutError:
            if not started:
                return b""
            raise errors.ReceiveTimeoutError("request did not arrive in time") from None

    async def _refuse(
        self,
        connection: h11.Connection,
        writer: asyncio.StreamWriter,
        reader: asyncio.StreamReader,
        error: errors.HttpError,
    ) -> None:
        if connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        response = self._encode_error(_STATUS.get(type(error), 400), error)
        headers = [
            *response.headers,
            ("content-length", str(len(response.body))),
            ("connection", "close"),
        ]
        head = h11.Response(status_code=response.status, headers=headers)
        writer.write(connection.send(head) + connection.send(h11.Data(data=response.body)))
        await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
        # Closing with unread bytes resets the connection, and the caller may lose the answer.
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(_discard(reader), DISCARD_SECONDS)


async def _discard(reader: asyncio.StreamReader) -> None:
    while await reader.read(READ_BYTES):
        pass


def _request(head: h11.Request, body: bytes) -> message.Request:
    headers = tuple(
        (name.decode("latin-1").lower(), value.decode("latin-1")) for name, value in head.headers
    )
    return message.Request(
        head.method.decode("ascii"), head.target.decode("latin-1"), headers, body
    )
