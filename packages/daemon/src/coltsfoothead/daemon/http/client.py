"""HTTP/1.1 client on h11 with streamed responses and a small connection pool."""

import asyncio
import collections
from collections.abc import AsyncIterator, Callable

import h11

from coltsfoothead.daemon.http import buffers, errors, message
from coltsfoothead.daemon.http import connection as connection_module

__all__ = ["StreamedResponse", "Client"]

MAX_IDLE_CONNECTIONS_PER_ADDRESS = 16
# A request sent while the server closes the idle connection is lost, so the client drops the
# connection this much earlier.
KEEP_ALIVE_MARGIN_SECONDS = 0.5

# Addresses whose last contact is remembered.
MAX_ENDPOINTS = 4096
# Unrelated responses that are skipped before the response to one request, and their largest body.
MAX_SKIPPED_RESPONSES = 4
MAX_SKIPPED_BYTES = 1024 * 1024


class StreamedResponse:
    """Status and headers of a response whose body is read as it arrives."""

    def __init__(
        self,
        client: "Client",
        address: str,
        connection: connection_module.Connection,
        head: h11.Response,
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
                    await self._finish()
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
        await self._finish()

    async def _finish(self) -> None:
        """Returns the connection to the pool; checks that a body ended by it is complete."""
        if self._connection.ended and not self.framed:
            await self._connection.confirm_end()
        self._client.release(self._address, self._connection)

    async def read(
        self,
        silence_seconds: float | None,
        limit_bytes: int,
        buffer: buffers.Buffer | None = None,
    ) -> bytes:
        """Returns the body.

        Parameters
        ----------
        silence_seconds : float or None
            Seconds to wait for each read.
        limit_bytes : int
            Largest body.
        buffer : Buffer, optional
            Holds the body within a limit that all answers share; the caller closes it.

        Raises
        ------
        UpstreamBrokeError
            If the connection fails, or a limit is exceeded.
        """
        body = buffer or buffers.BufferPool(limit_bytes + 1).open()
        try:
            async for chunk in self.chunks(silence_seconds):
                body.append(chunk)
                if body.size > limit_bytes:
                    raise errors.UpstreamBrokeError(f"answer exceeds {limit_bytes} bytes")
        finally:
            self.close()
        return body.take()

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
        self._idle: dict[str, collections.deque[connection_module.Connection]] = {}
        self._endpoints: collections.OrderedDict[str, connection_module.Endpoint] = (
            collections.OrderedDict()
        )

    def contact_age_seconds(self, address: str) -> float | None:
        """Returns the time since an address accepted a connection or sent data last.

        Returns
        -------
        float or None
            None if it never did, or too long ago to be remembered.
        """
        endpoint = self._endpoints.get(address)
        if endpoint is None or endpoint.contact_at == float("-inf"):
            return None
        return asyncio.get_running_loop().time() - endpoint.contact_at

    def opened_at(self, address: str) -> float | None:
        """Returns the event loop time at which an address accepted a connection last."""
        endpoint = self._endpoints.get(address)
        return endpoint.opened_at if endpoint is not None else None

    def has_idle(self, address: str) -> bool:
        """Returns whether a connection that is open can be used for a request."""
        now = asyncio.get_running_loop().time()
        return any(now < each.idle_until and each.writable for each in self._idle.get(address, ()))

    def drop_idle(self, address: str) -> None:
        """Closes the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.close()

    async def check_connection(self, address: str, timeout_seconds: float) -> None:
        """Opens a connection and closes it; raises `ConnectError` if that fails."""
        connection = await self._connect(address, timeout_seconds)
        connection.close()

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
            connection = await self._connect(address, self._connect_seconds)
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
        connection: connection_module.Connection, timeout_seconds: float | None
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

    def release(self, address: str, connection: connection_module.Connection) -> None:
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

    def _pop_idle(self, address: str) -> connection_module.Connection | None:
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

    def _endpoint(self, address: str) -> connection_module.Endpoint:
        endpoint = self._endpoints.setdefault(address, connection_module.Endpoint())
        self._endpoints.move_to_end(address)
        if len(self._endpoints) > MAX_ENDPOINTS:
            self._endpoints.popitem(last=False)
        return endpoint

    async def _connect(self, address: str, timeout_seconds: float) -> connection_module.Connection:
        host, _, port = address.rpartition(":")
        endpoint = self._endpoint(address)
        try:
            async with asyncio.timeout(timeout_seconds):
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: connection_module.Connection(endpoint), host.strip("[]"), int(port)
                )
        except (OSError, TimeoutError) as error:
            # The text of a `TimeoutError` is empty.
            refused = isinstance(error, ConnectionError)
            raise errors.ConnectError(f"{address}: {str(error) or 'timed out'}", refused) from error
        connection.enable_keepalive_probes()
        return connection

    async def _send_and_receive_head(
        self,
        connection: connection_module.Connection,
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
    return connection_module.DEFAULT_KEEP_ALIVE_SECONDS
