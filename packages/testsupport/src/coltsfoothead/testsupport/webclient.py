"""Minimal HTTP/1.1 client on asyncio streams and h11, with streaming reads."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Mapping
from typing import Any

import h11
import msgspec

from coltsfoothead.testsupport import errors, web

__all__ = ["Connection", "Fetched", "fetch", "split_address", "stream"]

_CONNECT_TIMEOUT_SECONDS = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Fetched:
    """A complete reply."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        return msgspec.json.decode(self.body)


def split_address(address: str) -> tuple[str, int]:
    """Splits `IP:PORT` or `http://IP:PORT` into host and port."""
    host, _, port = address.removeprefix("http://").rstrip("/").rpartition(":")
    return host, int(port)


class Connection:
    """One client connection; it may carry several requests, one after the other."""

    def __init__(self, address: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self._address = address
        self._reader = reader
        self._writer = writer
        self._http = h11.Connection(h11.CLIENT)

    @classmethod
    async def open(cls, address: str) -> "Connection":
        """Connects to `address`.

        Raises
        ------
        ConnectError
            If no connection could be opened within 5 s.
        """
        host, port = split_address(address)
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_SECONDS):
                reader, writer = await asyncio.open_connection(host, port)
        except (OSError, TimeoutError) as error:
            raise errors.ConnectError(f"cannot connect to {address}: {error!r}") from error
        return cls(address, reader, writer)

    async def send(
        self,
        method: str,
        path: str,
        *,
        json: Any = None,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> tuple[int, dict[str, str]]:
        """Sends one request and returns the status and headers of its reply."""
        all_headers = {"host": self._address, **(headers or {})}
        if json is not None:
            body = msgspec.json.encode(json)
            all_headers.setdefault("content-type", "application/json")
        if body or method not in ("GET", "HEAD"):
            all_headers["content-length"] = str(len(body))
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        request = h11.Request(method=method, target=path, headers=list(all_headers.items()))
        data = self._http.send(request)
        data += self._http.send(h11.Data(body)) if body else b""
        data += self._http.send(h11.EndOfMessage())
        with self._broken_connection():
            self._writer.write(data)
            head = await web.next_event(self._http, self._reader)
            while isinstance(head, h11.InformationalResponse):
                head = await web.next_event(self._http, self._reader)
        if not isinstance(head, h11.Response):
            raise errors.BrokenConnectionError(f"{self._address} closed without a reply")
        return head.status_code, {n.decode().lower(): v.decode() for n, v in head.headers}

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body of the current reply as it arrives."""
        while True:
            with self._broken_connection():
                event = await web.next_event(self._http, self._reader)
            match event:
                case h11.Data():
                    yield bytes(event.data)
                case h11.EndOfMessage():
                    return
                case _:
                    raise errors.BrokenConnectionError(f"{self._address} closed early")

    async def read(self) -> bytes:
        """Returns the whole body of the current reply."""
        return b"".join([chunk async for chunk in self.chunks()])

    def close(self) -> None:
        """Closes the connection at once; a reply in progress is cut off."""
        self._writer.transport.abort()

    @contextlib.contextmanager
    def _broken_connection(self):
        try:
            yield
        except (OSError, h11.RemoteProtocolError) as error:
            raise errors.BrokenConnectionError(f"{self._address}: {error!r}") from error


@contextlib.asynccontextmanager
async def stream(address: str, method: str, path: str, **arguments: Any):
    """Sends one request on its own connection and yields status, headers and the connection."""
    connection = await Connection.open(address)
    try:
        status, headers = await connection.send(method, path, **arguments)
        yield status, headers, connection
    finally:
        connection.close()


async def fetch(
    address: str, method: str, path: str, *, timeout_seconds: float = 30.0, **arguments: Any
) -> Fetched:
    """Sends one request on its own connection and reads the whole reply.

    Raises
    ------
    ConnectError
        If the connection could not be opened.
    BrokenConnectionError
        If the connection ended before the reply was complete.
    TimeoutError
        If the reply was not complete in time.
    """
    async with asyncio.timeout(timeout_seconds):
        async with stream(address, method, path, **arguments) as (status, headers, connection):
            return Fetched(status, headers, await connection.read())
