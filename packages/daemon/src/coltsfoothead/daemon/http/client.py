"""HTTP/1.1 client on h11 with streamed responses and a small connection pool."""

import asyncio
import collections
import socket
from collections.abc import AsyncIterator, Callable

import h11

from coltsfoothead.daemon.http import errors, message

__all__ = ["StreamedResponse", "Client"]

READ_BYTES = 64 * 1024
MAX_IDLE_CONNECTIONS_PER_ADDRESS = 16
# Shorter than the keep-alive time of common servers (5 s or more), so that the client closes first.
DEFAULT_KEEP_ALIVE_SECONDS = 4.0
# A request sent while the server closes the idle connection is lost, so the client drops the
# connection this much earlier.
KEEP_ALIVE_MARGIN_SECONDS = 0.5

# A VM without power or behind a partition never resets its connections. The probes end such a
# connection after about 3 s, the shortest time after which a silent response is given up.
_KEEPALIVE_PROBE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 3000),
)
# Time within which the rest of a response's head arrives after its first byte.
HEAD_TIMEOUT_SECONDS = 2.0
# Informational responses (1xx) before the response to one request.
MAX_INFORMATIONAL_RESPONSES = 8
# Unrelated responses that are skipped before the response to one request, and their largest body.
MAX_SKIPPED_RESPONSES = 4
MAX_SKIPPED_BYTES = 1024 * 1024
# h11's `trailing_data` after a chunk's data when no byte of the next chunk has arrived.
_TRAILING_DATA_BETWEEN_CHUNKS = (b"\r\n", False)


class _Connection(asyncio.Protocol):
    """One open connection.

    Received data is parsed at once and passed to the sink while `pump` runs; otherwise it stays
    buffered in the parser until the next event is read.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._write_resumed: asyncio.Future[None] | None = None
        self._sink: Callable[[bytes], None] | None = None
        self._failure: errors.UpstreamBrokeError | None = None
        self._input_pending = False
        self._unread_bytes = 0
        self._last_received_at = 0.0
        self._timeout_seconds: float | None = None
        self._timeout_timer: asyncio.TimerHandle | None = None
        self.protocol = h11.Connection(h11.CLIENT)
        self.idle = False
        self.idle_until = 0.0
        self.keep_alive_seconds = DEFAULT_KEEP_ALIVE_SECONDS
        self.ended = False

    @property
    def writable(self) -> bool:
        """Whether the connection is open and the server has not ended its side."""
        return not self.ended and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Stores the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parses received data, and passes it to the sink while `pump` runs."""
        if not self.idle:
            self.protocol.receive_data(data)
        if self._sink is not None:
            self._deliver_to_sink()
            return
        self._last_received_at = self._loop.time()
        if self.idle:
            # Bytes on an idle connection belong to no request; the next request would read them as
            # its response.
            self.close()
            return
        self._unread_bytes += len(data)
        if self._unread_bytes > READ_BYTES:
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Ends the body; the parser detects whether it is complete."""
        self._handle_end()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Ends the body; after a connection error no further events are parsed."""
        if error is not None:
            # Other errors of the network do not tell what became of the upstream.
            closed = isinstance(error, ConnectionError)
            kind = errors.UpstreamClosedError if closed else errors.UpstreamBrokeError
            self._failure = kind(str(error))
        self._handle_end()
        self.resume_writing()

    def pause_writing(self) -> None:
        """Makes `send` wait until the write buffer has drained."""
        self._write_resumed = self._loop.create_future()

    def resume_writing(self) -> None:
        """Lets a waiting `send` continue."""
        if self._write_resumed is not None and not self._write_resumed.done():
            self._write_resumed.set_result(None)
        self._write_resumed = None

    def close(self) -> None:
        """Aborts the connection."""
        self._transport.abort()

    def enable_keepalive_probes(self) -> None:
        """Enables TCP keepalive probes, which end the connection when the peer VM is gone."""
        tcp_socket = self._transport.get_extra_info("socket")
        for level, option, value in _KEEPALIVE_PROBE_OPTIONS:
            tcp_socket.setsockopt(level, option, value)

    async def send(self, data: bytes) -> None:
        """Writes data and waits while the server reads too slowly."""
        if self._transport.is_closing():
            raise self._failure or errors.UpstreamClosedError("connection is closed")
        self._transport.write(data)
        if self._write_resumed is not None:
            await self._write_resumed

    def next_buffered_event(self) -> object:
        """Returns the next event in the received data, or `h11.NEED_DATA`."""
        if self._failure is not None:
            raise self._failure
        try:
            return self.protocol.next_event()
        except h11.RemoteProtocolError as error:
            kind = errors.UpstreamClosedError if self.ended else errors.UpstreamBrokeError
            raise kind(f"malformed answer: {error}") from error

    async def receive(self, timeout_seconds: float | None) -> None:
        """Waits for input since the last call; a closed connection shows in the next event."""
        self._unread_bytes = 0
        if not self._input_pending:
            self._transport.resume_reading()
            self._last_received_at = self._loop.time()
            await self._wait(timeout_seconds)
        self._input_pending = False

    def restart_parser(self) -> None:
        """Parses the data after a complete response as another response to the sent request."""
        surplus_bytes, closed = self.protocol.trailing_data
        if self.protocol.their_state is not h11.DONE:
            raise errors.UpstreamClosedError("connection closed before the answer")
        self.protocol = h11.Connection(h11.CLIENT)
        # The real request was sent before; this one only brings the parser into the state in which
        # it accepts a response.
        self.protocol.send(h11.Request(method="GET", target="/", headers=[("host", "-")]))
        self.protocol.send(h11.EndOfMessage())
        if surplus_bytes:
            self.protocol.receive_data(surplus_bytes)
        if closed or self.ended:
            self.protocol.receive_data(b"")

    async def next_event(self, timeout_seconds: float | None) -> object:
        """Returns the next event, waiting up to `timeout_seconds` for each read."""
        while (event := self.next_buffered_event()) is h11.NEED_DATA:
            await self.receive(timeout_seconds)
        return event

    async def next_head(self, timeout_seconds: float | None) -> h11.Response:
        """Returns the head of the next final response.

        Raises
        ------
        SilentUpstreamError
            If no byte of it arrives for `timeout_seconds`.
        UpstreamBrokeError
            If the connection fails, if the head is malformed or longer than the parser accepts, if
            its rest does not arrive in time, or after too many informational responses.
        """
        for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
            event = await self._next_head_event(timeout_seconds)
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise errors.UpstreamClosedError("connection closed before the answer")
        raise errors.UpstreamBrokeError("too many informational responses")

    async def _next_head_event(self, timeout_seconds: float | None) -> object:
        """Returns the next event; once a part of a head has arrived, the rest is due soon."""
        event = self.next_buffered_event()
        while event is h11.NEED_DATA and not self.protocol.trailing_data[0]:
            await self.receive(timeout_seconds)
            event = self.next_buffered_event()
        if event is not h11.NEED_DATA:
            return event
        try:
            async with asyncio.timeout(HEAD_TIMEOUT_SECONDS):
                return await self.next_event(None)
        except TimeoutError:
            raise errors.UpstreamBrokeError(
                f"the head of the answer is incomplete after {HEAD_TIMEOUT_SECONDS} s"
            ) from None

    async def pump(
        self, sink: Callable[[bytes], bool | None], silence_seconds: float | None
    ) -> None:
        """Passes parts of the body to `sink` as they arrive; returns at the end of the body."""
        self._sink = sink
        self._last_received_at = self._loop.time()
        self._transport.resume_reading()
        # The sink and the parser run inside the event loop's callbacks; their exceptions reach
        # this task through the waiter.
        self._loop.call_soon(self._deliver_to_sink)
        try:
            await self._wait(silence_seconds)
        finally:
            self._sink = None

    async def _wait(self, timeout_seconds: float | None) -> None:
        """Waits for `_wake`; raises `SilentUpstreamError` without data for the timeout."""
        self._waiter = self._loop.create_future()
        self._timeout_seconds = timeout_seconds
        if timeout_seconds is not None:
            self._timeout_timer = self._loop.call_later(timeout_seconds, self._check_timeout)
        try:
            await self._waiter
        finally:
            self._waiter = None
            if self._timeout_timer is not None:
                self._timeout_timer.cancel()
                self._timeout_timer = None

    def _check_timeout(self) -> None:
        # Rescheduling the timer at every read would cost more than comparing the time here.
        due = self._last_received_at + self._timeout_seconds
        if self._loop.time() < due:
            self._timeout_timer = self._loop.call_at(due, self._check_timeout)
            return
        self._timeout_timer = None
        self._wake(errors.SilentUpstreamError(f"nothing received for {self._timeout_seconds} s"))

    def _wake(self, error: BaseException | None = None) -> None:
        self._input_pending = True
        waiter = self._waiter
        if waiter is None or waiter.done():
            return
        if error is None:
            waiter.set_result(None)
        else:
            waiter.set_exception(error)

    def _handle_end(self) -> None:
        if self.ended:
            return
        self.ended = True
        self.protocol.receive_data(b"")
        if self._sink is None:
            self._wake()
        else:
            self._deliver_to_sink()

    def _deliver_to_sink(self) -> None:
        """Passes received parts of the body to the sink; ends `pump` at the end of the body."""
        sink = self._sink
        # After `pump` was cancelled or failed, the sink gets no more data, even if the task of
        # `pump` has not resumed yet.
        if sink is None or self._waiter.done():
            return
        try:
            data, complete = self._read_buffered_body()
            if data and sink(data) is not False:
                self._last_received_at = self._loop.time()
            if complete:
                self._sink = None
                self._wake()
        except Exception as error:
            self._sink = None
            self._wake(error)

    def _read_buffered_body(self) -> tuple[bytes, bool]:
        """Returns the received part of the body and whether the body is complete."""
        event = self.next_buffered_event()
        # A read usually holds exactly one chunk. One more call of h11 after it would cost 4 us.
        single = type(event) is h11.Data and event.chunk_end
        if single and self.protocol.trailing_data == _TRAILING_DATA_BETWEEN_CHUNKS:
            return event.data, False
        parts: list[bytes] = []
        while type(event) is h11.Data:
            parts.append(event.data)
            event = self.next_buffered_event()
        complete = type(event) is h11.EndOfMessage
        if not complete and event is not h11.NEED_DATA:
            raise errors.UpstreamClosedError("connection closed in the middle of the body")
        return b"".join(parts), complete


class StreamedResponse:
    """Status and headers of a response whose body is read as it arrives."""

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

    @property
    def framed(self) -> bool:
        """Whether the body has a length or chunks; otherwise the connection's end completes it."""
        names = {name for name, _ in self.headers}
        return bool(names & {"content-length", "transfer-encoding"})

    async def chunks(self, silence_seconds: float | None) -> AsyncIterator[bytes]:
        """Yields parts of the body.

        Raises
        ------
        SilentUpstreamError
            If nothing arrives for `silence_seconds`.
        UpstreamBrokeError
            If the connection fails before the body is complete.
        """
        connection = self._connection
        parts: list[bytes] = []
        while True:
            event = connection.next_buffered_event()
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                continue
            # The chunks of one read are yielded together: a generator step for every small chunk
            # costs more than parsing the chunk.
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
                    raise errors.UpstreamClosedError("connection closed in the middle of the body")

    async def pump(
        self, sink: Callable[[bytes], bool | None], silence_seconds: float | None
    ) -> None:
        """Calls `sink` with parts of the body as they arrive, until the body is complete.

        `sink` runs in the read callback of the event loop, so it must not block. If it raises, this
        call ends with the same exception. It returns False for a part that brings no progress;
        such parts count as silence. After a `SilentUpstreamError` the body can be pumped further.

        Raises
        ------
        SilentUpstreamError
            If nothing that brings progress arrives for `silence_seconds`.
        UpstreamBrokeError
            If the connection fails before the body is complete.
        """
        await self._connection.pump(sink, silence_seconds)
        self._client.release(self._address, self._connection)

    async def read(self, silence_seconds: float | None, limit_bytes: int) -> bytes:
        """Returns the body; raises `UpstreamBrokeError` if it exceeds `limit_bytes`."""
        body = bytearray()
        try:
            async for chunk in self.chunks(silence_seconds):
                body += chunk
                if len(body) > limit_bytes:
                    raise errors.UpstreamBrokeError(f"answer exceeds {limit_bytes} bytes")
        finally:
            self.close()
        return bytes(body)

    def close(self) -> None:
        """Aborts the connection; does nothing if the body was read to its end."""
        if self._connection.protocol.our_state is not h11.IDLE:
            self._connection.close()


class Client:
    """Sends requests over pooled connections.

    Idle connections stay open for a short time.

    Parameters
    ----------
    connect_seconds : float
        Timeout for opening a connection.
    preserve_host : bool
        Send the ``host`` header of each request unchanged instead of the address.
    """

    def __init__(self, connect_seconds: float, preserve_host: bool = False) -> None:
        self._connect_seconds = connect_seconds
        self._preserve_host = preserve_host
        self._idle: dict[str, collections.deque[_Connection]] = {}

    async def send(
        self,
        address: str,
        request: message.Request,
        timeout_seconds: float | None,
        new_connection: bool = False,
        before_send: Callable[[], None] | None = None,
        matches_request: Callable[[h11.Response, bool], bool] | None = None,
    ) -> StreamedResponse:
        """Sends a request and returns the response once its head has arrived.

        Parameters
        ----------
        address : str
            ``IP:port``.
        request : Request
        timeout_seconds : float or None
            Seconds to wait for each read until the head is complete.
        new_connection : bool
            Use a new connection. The server may have closed an idle one, and then it is unknown
            whether the request ran.
        before_send : callable, optional
            Called once connected, right before the first byte is written. If it raises, nothing
            is sent and the exception propagates.
        matches_request : callable, optional
            Returns whether a response head belongs to this request; the second argument tells
            whether the connection carried an earlier request. Other responses, left over from an
            earlier request, are skipped. If it raises, the connection is closed.

        Raises
        ------
        ConnectError
            If nothing was sent.
        UpstreamBrokeError
            If bytes may have been sent.
        """
        connection = None if new_connection else self._pop_idle(address)
        reused = connection is not None
        if connection is None:
            connection = await self._connect(address)
        try:
            if before_send is not None:
                before_send()
            head = await self._send_and_receive_head(connection, address, request, timeout_seconds)
            skipped = 0
            while matches_request is not None and not matches_request(head, reused):
                skipped += 1
                if skipped > MAX_SKIPPED_RESPONSES:
                    raise errors.UpstreamBrokeError(f"{skipped} answers to other requests")
                head = await self._skip_response(connection, timeout_seconds)
        except BaseException:
            connection.close()
            raise
        connection.keep_alive_seconds = _keep_alive_seconds(head)
        return StreamedResponse(self, address, connection, head)

    @staticmethod
    async def _skip_response(
        connection: _Connection, timeout_seconds: float | None
    ) -> h11.Response:
        """Skips the body of an unrelated response and returns the head of the next one."""
        skipped_bytes = 0
        while not isinstance(
            event := await connection.next_event(timeout_seconds), h11.EndOfMessage
        ):
            if not isinstance(event, h11.Data):
                raise errors.UpstreamBrokeError("connection closed in an answer to another request")
            skipped_bytes += len(event.data)
            if skipped_bytes > MAX_SKIPPED_BYTES:
                raise errors.UpstreamBrokeError(
                    f"an answer to another request exceeds {MAX_SKIPPED_BYTES} bytes"
                )
        connection.restart_parser()
        return await connection.next_head(timeout_seconds)

    def release(self, address: str, connection: _Connection) -> None:
        """Returns a connection to the pool if its response is complete and it is reusable."""
        protocol = connection.protocol
        complete = protocol.our_state is h11.DONE and protocol.their_state is h11.DONE
        if not complete or protocol.trailing_data[0] or not connection.writable:
            connection.close()
            return
        protocol.start_next_cycle()
        idle = self._idle.setdefault(address, collections.deque())
        connection.idle = True
        connection.idle_until = asyncio.get_running_loop().time() + connection.keep_alive_seconds
        idle.append(connection)
        while len(idle) > MAX_IDLE_CONNECTIONS_PER_ADDRESS:
            idle.popleft().close()

    def close(self) -> None:
        """Closes the idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()

    def _pop_idle(self, address: str) -> _Connection | None:
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
        connection.enable_keepalive_probes()
        return connection

    async def _send_and_receive_head(
        self,
        connection: _Connection,
        address: str,
        request: message.Request,
        timeout_seconds: float | None,
    ) -> h11.Response:
        host = request.header("host") if self._preserve_host else None
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
        return await connection.next_head(timeout_seconds)


def _keep_alive_seconds(head: h11.Response) -> float:
    """Returns the seconds for which the connection may stay idle after a response."""
    for name, value in head.headers:
        if name == b"keep-alive":
            for part in value.split(b","):
                key, _, number = part.strip().partition(b"=")
                if key.lower() == b"timeout" and number.isdigit():
                    # The server counts from the time at which it sent the response.
                    return max(0.0, int(number) - KEEP_ALIVE_MARGIN_SECONDS)
    return DEFAULT_KEEP_ALIVE_SECONDS
