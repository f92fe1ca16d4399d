"""HTTP/1.1 server on h11 with one task per connection."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable, Iterator

import h11

from coltsfoothead.daemon.http import errors, message

__all__ = ["Bounds", "Exchange", "Server"]

READ_BYTES = 64 * 1024
MAX_DISCARD_SECONDS = 1.0
# Length of the system's accept queue; a connection beyond it waits until its SYN is sent again.
MAX_PENDING_CONNECTIONS = 1024
STOP_LINGER_SECONDS = 0.3
_CONNECTION_CLOSE = ("connection", "close")

Handler = Callable[["Exchange"], Awaitable[None]]
ErrorEncoder = Callable[[int, errors.HttpError], message.Response]

# Status of the response to each error of receiving a request.
_STATUS_BY_ERROR = {
    errors.MalformedRequestError: 400,
    errors.ReceiveTimeoutError: 408,
    errors.BodyTooLargeError: 413,
    errors.HeadersTooLargeError: 431,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Limits of a server and of each of its connections.

    Attributes
    ----------
    body_bytes, header_bytes : int
        Largest request body and largest header block.
    receive_seconds : float
        Time within which the complete request must arrive after its first byte.
    idle_seconds : float
        Time for which a connection may stay open without a request.
    connections : int
        Most connections that may be open at once.
    """

    body_bytes: int
    header_bytes: int
    receive_seconds: float
    idle_seconds: float
    connections: int


class _CallerProtocol(asyncio.StreamReaderProtocol):
    """Stream protocol that reports at once when the caller closes its side."""

    def __init__(self, reader: asyncio.StreamReader, accept: Callable[..., object]) -> None:
        super().__init__(reader, accept)
        self.on_disconnect: Callable[[], object] | None = None
        self.disconnected = False
        # Whether data has arrived that the connection's task has not read yet.
        self.has_unread_data = False

    def data_received(self, data: bytes) -> None:
        """Buffers received data for the connection's task."""
        self.has_unread_data = True
        super().data_received(data)

    def eof_received(self) -> bool | None:
        """Reports that the caller has closed its sending side."""
        self._handle_disconnect()
        return super().eof_received()

    def connection_lost(self, error: Exception | None) -> None:
        """Reports the loss of the connection."""
        self._handle_disconnect()
        super().connection_lost(error)

    def _handle_disconnect(self) -> None:
        if not self.disconnected:
            self.disconnected = True
            if self.on_disconnect is not None:
                self.on_disconnect()


class _WriteBatcher:
    """Batches deferred writes of a server's exchanges until the loop has handled all ready reads.

    A write that wakes a sleeping process costs five times as much as one to a process that is
    awake, so the writes to all callers are made in direct succession. Parts for the same caller
    become one write.
    """

    def __init__(self) -> None:
        self._pending: list[Exchange] = []

    def add(self, exchange: "Exchange") -> None:
        """Schedules the write of an exchange that has deferred parts."""
        if not self._pending:
            asyncio.get_running_loop().call_soon(self._flush)
        self._pending.append(exchange)

    def _flush(self) -> None:
        pending, self._pending = self._pending, []
        framed = [(exchange, exchange.take_pending_frame()) for exchange in pending]
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
        write_batcher: _WriteBatcher,
    ) -> None:
        self.request = request
        self._connection = connection
        self._writer = writer
        self._write_batcher = write_batcher
        self._pending_parts: list[bytes] = []
        self._close_announced = False
        self.transport = writer.transport
        self._high_water_bytes = self.transport.get_write_buffer_limits()[1]
        self._started = False

    @property
    def started(self) -> bool:
        """Whether the response's status has been written."""
        return self._started

    @property
    def caller_disconnected(self) -> bool:
        """Whether the connection to the caller is closed."""
        return self._writer.is_closing()

    @contextlib.contextmanager
    def cancel_on_disconnect(self) -> Iterator[None]:
        """Cancels the current task once the caller closes its side of the connection."""
        protocol = self.transport.get_protocol()
        assert isinstance(protocol, _CallerProtocol)
        task = asyncio.current_task()
        assert task is not None
        protocol.on_disconnect = task.cancel
        if protocol.disconnected:
            task.cancel()
        try:
            yield
        finally:
            protocol.on_disconnect = None

    def close_after_response(self) -> None:
        """Announces in the response that the connection closes after it."""
        self._close_announced = True

    async def respond(self, response: message.Response) -> None:
        """Writes a complete response."""
        length = ("content-length", str(len(response.body)))
        headers = [each for each in response.headers if each[0].lower() != "content-length"]
        if self._close_announced:
            headers.append(_CONNECTION_CLOSE)
        self._started = True
        # One write for the complete response: each write is a system call that may wake the caller.
        head = h11.Response(status_code=response.status, headers=[*headers, length])
        events = [head, h11.EndOfMessage()]
        if response.body and self.request.method != "HEAD":
            events.insert(1, h11.Data(data=response.body))
        self._send(*events)
        await self._drain()

    async def start(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Writes status and headers and waits while the caller reads too slowly.

        Without a content length the body is chunked.
        """
        self.start_nowait(status, headers)
        await self._drain()

    def start_nowait(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Writes status and headers like `start`, without waiting for a slow caller."""
        self._started = True
        closing = (_CONNECTION_CLOSE,) if self._close_announced else ()
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
        elif self._pending_parts:
            self.transport.write(self.take_pending_frame())
        await self._drain()

    def write_soon(self, data: bytes) -> bool:
        """Defers writing a part of the body until the loop has handled all ready reads.

        Returns
        -------
        bool
            Whether the caller reads fast enough. If not, await `write` before the next part.

        Raises
        ------
        CallerGoneError
            If the connection is closed.
        """
        if self.transport.is_closing():
            raise errors.CallerGoneError("connection is closed")
        if not self._pending_parts:
            self._write_batcher.add(self)
        self._pending_parts.append(data)
        return self.transport.get_write_buffer_size() <= self._high_water_bytes

    def take_pending_frame(self) -> bytes:
        """Returns the parts deferred since the last call as one chunk, or no bytes."""
        parts, self._pending_parts = self._pending_parts, []
        if not parts or self.transport.is_closing():
            return b""
        try:
            return self._connection.send(h11.Data(data=b"".join(parts)))
        except h11.LocalProtocolError:
            # If it propagated into the batch, the parts of the other exchanges would be lost.
            self.transport.abort()
            return b""

    async def end(self) -> None:
        """Ends the response."""
        self._send(h11.EndOfMessage())
        await self._drain()

    def abort(self) -> None:
        """Closes the connection after the data written so far; the response stays incomplete."""
        self._writer.close()

    def _send(self, *events: h11.Event) -> None:
        if self.transport.is_closing():
            raise errors.CallerGoneError("connection is closed")
        data = self.take_pending_frame() + b"".join(map(self._connection.send, events))
        if data:
            self.transport.write(data)

    async def _drain(self) -> None:
        try:
            await self._writer.drain()
        except OSError as error:
            raise errors.CallerGoneError(str(error)) from error


class Server:
    """Accepts connections and passes each request to a handler.

    Parameters
    ----------
    handler : callable
        Called with an `Exchange`; if it raises, the connection is closed.
    encode_error : callable
        Builds the response for a status and an error of receiving a request.
    bounds : Bounds
    """

    def __init__(self, handler: Handler, encode_error: ErrorEncoder, bounds: Bounds) -> None:
        self._handler = handler
        self._encode_error = encode_error
        self._bounds = bounds
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        self._idle: set[asyncio.StreamWriter] = set()
        self._stopping = False
        self._write_batcher = _WriteBatcher()

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def set_bounds(self, bounds: Bounds) -> None:
        """Replaces the bounds; the header limit applies to new connections only."""
        self._bounds = bounds

    async def start(self, host: str, port: int) -> str:
        """Starts listening and returns the bound address as ``IP:port``."""
        loop = asyncio.get_running_loop()

        def protocol() -> _CallerProtocol:
            reader = asyncio.StreamReader(limit=READ_BYTES, loop=loop)
            return _CallerProtocol(reader, self._accept)

        self._server = await loop.create_server(
            protocol, host, port, backlog=MAX_PENDING_CONNECTIONS
        )
        bound = self._server.sockets[0].getsockname()
        return f"{bound[0]}:{bound[1]}"

    def close_idle(self) -> None:
        """Closes the connections without a request in progress."""
        for writer in list(self._idle):
            # On a busy event loop, the task of a connection runs some time after its data arrived.
            protocol = writer.transport.get_protocol()
            if protocol is None or not protocol.has_unread_data:
                writer.close()

    async def stop(self, grace_seconds: float) -> None:
        """Stops listening, waits for running exchanges, then closes the remaining connections.

        For up to 0.3 s, requests that arrive on open connections are still answered; otherwise
        a caller that has just connected would see its connection reset.

        Parameters
        ----------
        grace_seconds : float
            Longest time to wait for running exchanges.
        """
        if self._server is not None:
            # Connections that the system has accepted already would be reset.
            await _let_loop_accept()
            self._server.close()
            await _let_loop_accept()
        if self._connections:
            await asyncio.sleep(min(STOP_LINGER_SECONDS, grace_seconds))
        self._stopping = True
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
        while not self._stopping:
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
            exchange = Exchange(request, connection, writer, self._write_batcher)
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
        # None if the connection is closed already.
        protocol = writer.transport.get_protocol()
        deadline = loop.time() + self._bounds.idle_seconds
        started = False
        while True:
            event = self._next_event(connection)
            match event:
                case h11.Request():
                    head = event
                    self._check_framing(event)
                    if connection.they_are_waiting_for_100_continue:
                        continue_response = h11.InformationalResponse(status_code=100, headers=[])
                        writer.write(connection.send(continue_response))
                case h11.Data():
                    body += event.data
                    if len(body) > self._bounds.body_bytes:
                        limit = self._bounds.body_bytes
                        raise errors.BodyTooLargeError(f"body exceeds {limit} bytes")
                case h11.EndOfMessage():
                    assert head is not None
                    return _build_request(head, bytes(body))
                case h11.ConnectionClosed():
                    return None
                case h11.PAUSED:
                    return None
                case _:
                    data = await self._read(reader, deadline, started)
                    if protocol is not None:
                        protocol.has_unread_data = False
                    if data and not started:
                        started = True
                        self._idle.discard(writer)
                        deadline = loop.time() + self._bounds.receive_seconds
                    connection.receive_data(data)

    def _check_framing(self, head: h11.Request) -> None:
        """Checks the framing headers before any of the body is read.

        Parsers differ in how they read a request with both a content length and a transfer
        encoding: what one reads as the body, another reads as the next request (request
        smuggling).
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
        response = self._encode_error(_STATUS_BY_ERROR.get(type(error), 400), error)
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
        # Closing a connection with unread bytes resets it, and the caller may lose the response.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_DISCARD_SECONDS):
                await _discard_input(reader)


async def _let_loop_accept() -> None:
    """Lets the event loop accept pending connections and start the tasks of accepted ones."""
    for _ in range(3):
        await asyncio.sleep(0)


async def _discard_input(reader: asyncio.StreamReader) -> None:
    while await reader.read(READ_BYTES):
        pass


def _build_request(head: h11.Request, body: bytes) -> message.Request:
    headers = tuple(
        (name.decode("latin-1").lower(), value.decode("latin-1")) for name, value in head.headers
    )
    return message.Request(
        head.method.decode("ascii"), head.target.decode("latin-1"), headers, body
    )
