"""One client connection: parses received responses and passes their bodies on as they arrive."""

import asyncio
import dataclasses
import fcntl
import socket
import struct
import termios
from collections.abc import Callable

import h11

from coltsfoothead.daemon.http import errors, message

__all__ = ["DEFAULT_KEEP_ALIVE_SECONDS", "Connection", "Endpoint"]

READ_BYTES = 64 * 1024
# Shorter than the keep-alive time of common servers (5 s or more), so that the client closes first.
DEFAULT_KEEP_ALIVE_SECONDS = 4.0

# A VM without power or behind a partition never resets its connections. The probes end such a
# connection after 3 s, the shortest time after which a silent response is given up: the kernel
# checks at each probe whether the user timeout has passed, whatever the count of probes.
_KEEPALIVE_PROBE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2500),
)
# Time within which the rest of a response's head arrives after its first byte.
HEAD_TIMEOUT_SECONDS = 2.0
# Informational responses (1xx) before the response to one request.
MAX_INFORMATIONAL_RESPONSES = 8
# After an answer without a length, time within which the server reads the rest of the request, and
# the time by which a reset that follows the end of its side has arrived.
READ_REQUEST_SECONDS = 2.0
RESET_DELAY_SECONDS = 0.005
# State of a connection in the first byte of Linux's `tcp_info` after a reset.
_TCP_CLOSE = 7
# h11's `trailing_data` after a chunk's data when no byte of the next chunk has arrived.
_TRAILING_DATA_BETWEEN_CHUNKS = (b"\r\n", False)


@dataclasses.dataclass(slots=True)
class Endpoint:
    """What all connections to one address have in common.

    Attributes
    ----------
    contact_at : float
        Event loop time at which a connection was opened or data arrived last.
    opened_at : float
        Event loop time at which a connection was opened last.
    """

    contact_at: float = float("-inf")
    opened_at: float = float("-inf")


class Connection(asyncio.Protocol):
    """One open connection.

    Received data is parsed at once and passed to the sink while `pump` runs; otherwise it stays
    buffered in the parser until the next event is read.

    Parameters
    ----------
    endpoint : Endpoint
    """

    def __init__(self, endpoint: Endpoint) -> None:
        self._loop = asyncio.get_running_loop()
        self._endpoint = endpoint
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
        self._endpoint.contact_at = self._endpoint.opened_at = self._loop.time()

    def data_received(self, data: bytes) -> None:
        """Parses received data, and passes it to the sink while `pump` runs."""
        self._endpoint.contact_at = self._loop.time()
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
        """Ends the body; the parser detects whether it is complete.

        A connection with a request stays open, so that a reset that follows is seen.
        """
        self._handle_end()
        return not self.idle

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

    async def confirm_end(self) -> None:
        """Checks that the server has ended the connection and not reset it.

        The end of the connection completes a body without a length. A server that closes while it
        has not read the whole request resets the connection, perhaps right after that end.

        Raises
        ------
        UpstreamClosedError
            If the connection was reset, or the server does not read the rest of the request.
        """
        give_up_at = self._loop.time() + READ_REQUEST_SECONDS
        while True:
            sent = not self._unread_by_server()
            await asyncio.sleep(RESET_DELAY_SECONDS)
            if self._was_reset():
                raise self._failure or errors.UpstreamClosedError("connection reset after its end")
            if sent:
                return
            if self._loop.time() > give_up_at:
                raise errors.UpstreamClosedError("connection ended before the request was read")

    def _unread_by_server(self) -> bool:
        """Returns whether a part of the request was not sent, or not acknowledged."""
        if self._transport.is_closing():
            return False
        if self._transport.get_write_buffer_size():
            return True
        tcp_socket = self._transport.get_extra_info("socket")
        [unacknowledged] = struct.unpack("i", fcntl.ioctl(tcp_socket, termios.TIOCOUTQ, bytes(4)))
        return unacknowledged > 0

    def _was_reset(self) -> bool:
        if self._transport.is_closing():
            return self._failure is not None
        tcp_socket = self._transport.get_extra_info("socket")
        return tcp_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == _TCP_CLOSE

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
            its status is invalid, if its rest does not arrive in time, or after too many
            informational responses.
        """
        for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
            event = await self._next_head_event(timeout_seconds)
            if isinstance(event, h11.Response):
                if event.status_code not in message.FINAL_STATUSES:
                    raise errors.UpstreamBrokeError(f"invalid status {event.status_code}")
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
