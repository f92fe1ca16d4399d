"""HTTP/1.1 client: h11 for the protocol, streaming answers, a small pool of connections."""

import asyncio
import collections
from collections.abc import AsyncIterator

import h11

from coltsfoothead.daemon.http import errors, message

__all__ = ["Answer", "Client"]

READ_BYTES = 64 * 1024
IDLE_PER_ADDRESS = 16
# Idle connections are dropped sooner than common servers drop theirs, which is after 5 s or more.
IDLE_SECONDS = 4.0


class _Connection:
    """One open connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.protocol = h11.Connection(h11.CLIENT)
        self.idle_since = 0.0

    def close(self) -> None:
        self.writer.transport.abort()

    def ready_event(self) -> object:
        """Returns the next event of what was received, or `h11.NEED_DATA`."""
        try:
            return self.protocol.next_event()
        except h11.RemoteProtocolError as error:
            raise errors.UpstreamBrokeError(f"malformed answer: {error}") from error

    async def receive(self, timeout: float | None) -> None:
        """Reads once; an ended stream shows in the next event."""
        try:
            async with asyncio.timeout(timeout):
                data = await self.reader.read(READ_BYTES)
        except TimeoutError:
            raise errors.SilentUpstreamError(f"nothing received for {timeout} s") from None
        except OSError as error:
            raise errors.UpstreamBrokeError(str(error)) from error
        self.protocol.receive_data(data)

    async def next_event(self, timeout: float | None) -> object:
        """Returns the next event."""
        while (event := self.ready_event()) is h11.NEED_DATA:
            await self.receive(timeout)
        return event


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
    """

    def __init__(self, connect_seconds: float) -> None:
        self._connect_seconds = connect_seconds
        self._idle: dict[str, collections.deque[_Connection]] = {}

    async def send(
        self,
        address: str,
        request: message.Request,
        timeout: float | None,
        fresh: bool = False,
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
            head = await self._exchange(connection, address, request, timeout)
        except BaseException:
            connection.close()
            raise
        return Answer(self, address, connection, head)

    def release(self, address: str, connection: _Connection) -> None:
        """Keeps a connection whose answer was read whole, if it may serve again."""
        protocol = connection.protocol
        if protocol.our_state is not h11.DONE or protocol.their_state is not h11.DONE:
            connection.close()
            return
        protocol.start_next_cycle()
        idle = self._idle.setdefault(address, collections.deque())
        connection.idle_since = asyncio.get_running_loop().time()
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
            fit = now - connection.idle_since < IDLE_SECONDS and not connection.reader.at_eof()
            if fit and not connection.writer.is_closing():
                return connection
            connection.close()
        self._idle.pop(address, None)
        return None

    async def _connect(self, address: str) -> _Connection:
        host, _, port = address.rpartition(":")
        try:
            opening = asyncio.open_connection(host.strip("[]"), int(port))
            reader, writer = await asyncio.wait_for(opening, self._connect_seconds)
        except (OSError, TimeoutError) as error:
            raise errors.ConnectError(f"{address}: {error or 'timed out'}") from error
        return _Connection(reader, writer)

    @staticmethod
    async def _exchange(
        connection: _Connection, address: str, request: message.Request, timeout: float | None
    ) -> h11.Response:
        headers = [each for each in request.headers if each[0] not in ("host", "content-length")]
        headers.append(("host", address))
        if request.body or request.method not in ("GET", "HEAD", "OPTIONS"):
            headers.append(("content-length", str(len(request.body))))
        protocol = connection.protocol
        data = protocol.send(
            h11.Request(method=request.method, target=request.target, headers=headers)
        )
        if request.body:
            data += protocol.send(h11.Data(data=request.body))
        data += protocol.send(h11.EndOfMessage())
        try:
            connection.writer.write(data)
            await connection.writer.drain()
        except OSError as error:
            raise errors.UpstreamBrokeError(str(error)) from error
        while True:
            event = await connection.next_event(timeout)
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise errors.UpstreamBrokeError("connection closed before the answer")
