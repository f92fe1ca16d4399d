"""Minimal HTTP/1.1 server on asyncio streams and h11; `webclient` is the client."""

import asyncio
import contextlib
import dataclasses
import re
import traceback
import urllib.parse
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from typing import Any

import h11
import msgspec

from coltsfoothead.testsupport import errors

__all__ = [
    "Request",
    "Response",
    "Router",
    "Server",
    "Stream",
    "json_response",
    "next_event",
]

_READ_BYTES = 65536
_NO_HEADERS: Mapping[str, str] = {}


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request as a handler sees it; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes = b""
    match: dict[str, str] = dataclasses.field(default_factory=dict)

    def json(self) -> Any:
        return msgspec.json.decode(self.body) if self.body else {}


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete response."""

    status: int = 200
    body: bytes = b""
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """A response sent in chunks; the generator is closed when the client disconnects."""

    chunks: AsyncIterator[bytes]
    status: int = 200
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)


Handler = Callable[[Request], Awaitable[Response | Stream]]


def json_response(value: Any, status: int = 200, headers: Mapping[str, str] = _NO_HEADERS):
    """Returns a response whose body is `value` as JSON."""
    body = msgspec.json.encode(value)
    return Response(status, body, {"content-type": "application/json", **headers})


class Router:
    """Maps method and path to a handler; the first matching route wins.

    A path may contain `{name}` for one segment and `{name*}` for the rest. The method `*` matches
    any method.
    """

    def __init__(self) -> None:
        self._routes: list[tuple[str, re.Pattern[str], Handler]] = []

    def route(self, method: str, path: str) -> Callable[[Handler], Handler]:
        pattern = re.sub(r"\{(\w+)\*\}", r"(?P<\1>.*)", path)
        pattern = re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", pattern)

        def decorate(handler: Handler) -> Handler:
            self._routes.append((method, re.compile(pattern), handler))
            return handler

        return decorate

    async def dispatch(self, request: Request) -> Response | Stream:
        for method, pattern, handler in self._routes:
            found = pattern.fullmatch(request.path)
            if found and method in ("*", request.method):
                return await handler(dataclasses.replace(request, match=found.groupdict()))
        return json_response({"error": {"message": f"no route {request.path}"}}, 404)


class Server:
    """Serves a router on one listening socket.

    Parameters
    ----------
    router : Router
        Handlers of the requests.
    before_body : callable, optional
        Called with each request before its body is read; True drops the connection.
    """

    def __init__(self, router: Router, before_body: Callable[[Request], bool] | None = None):
        self._router = router
        self._before_body = before_body or (lambda request: False)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Starts listening and returns the address as IP:PORT."""
        self._server = await asyncio.start_server(self._accept, host, port, backlog=1024)
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def close(self) -> None:
        """Stops listening and aborts all connections."""
        if self._server:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await _ServerConnection(self._router, self._before_body, reader, writer).run()
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            self._tasks.discard(task)


class _ServerConnection:
    """Serves the requests of one accepted connection one after the other."""

    def __init__(self, router, before_body, reader, writer):
        self._router = router
        self._before_body = before_body
        self._reader = reader
        self._writer = writer
        self._http = h11.Connection(h11.SERVER)

    async def run(self) -> None:
        try:
            while await self._exchange():
                self._http.start_next_cycle()
            self._writer.close()
        except (OSError, h11.ProtocolError, errors.DropConnectionError):
            self._writer.transport.abort()

    async def _exchange(self) -> bool:
        head = await next_event(self._http, self._reader)
        if not isinstance(head, h11.Request):
            return False
        request = _parse_request(head)
        if self._before_body(request):
            raise errors.DropConnectionError(f"dropped before the body of {request.path}")
        body = bytearray()
        while isinstance(event := await next_event(self._http, self._reader), h11.Data):
            body += event.data
        await self._respond_or_disconnect(dataclasses.replace(request, body=bytes(body)))
        return self._http.our_state is h11.DONE and self._http.their_state is h11.DONE

    async def _respond_or_disconnect(self, request: Request) -> None:
        responder = asyncio.ensure_future(self._respond(request))
        disconnect_watcher = asyncio.ensure_future(self._wait_for_disconnect())
        try:
            await asyncio.wait({responder, disconnect_watcher}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            finished = responder.done()
            disconnect_watcher.cancel()
            responder.cancel()
            results = await asyncio.gather(responder, disconnect_watcher, return_exceptions=True)
        if not finished:
            raise errors.DropConnectionError("client disconnected")
        if isinstance(results[0], BaseException):
            raise results[0]

    async def _wait_for_disconnect(self) -> None:
        """Returns when the client disconnects; keeps pipelined bytes for the next request."""
        with contextlib.suppress(OSError):
            while data := await self._reader.read(_READ_BYTES):
                self._http.receive_data(data)

    async def _respond(self, request: Request) -> None:
        try:
            answer = await self._router.dispatch(request)
        except (errors.DropConnectionError, asyncio.CancelledError):
            raise
        except Exception as error:
            traceback.print_exc()
            answer = json_response({"error": {"message": repr(error)}}, 500)
        match answer:
            case Response(status, body, headers):
                self._send_head(status, {**headers, "content-length": str(len(body))})
                if body and request.method != "HEAD":
                    self._send(h11.Data(body))
            case Stream(chunks, status, headers):
                self._send_head(status, {**headers, "transfer-encoding": "chunked"})
                async with contextlib.aclosing(chunks):
                    async for chunk in chunks:
                        self._send(h11.Data(chunk))
                        await self._writer.drain()
        self._send(h11.EndOfMessage())
        await self._writer.drain()

    def _send_head(self, status: int, headers: Mapping[str, str]) -> None:
        self._send(h11.Response(status_code=status, headers=list(headers.items())))

    def _send(self, event: Any) -> None:
        if data := self._http.send(event):
            self._writer.write(data)


def _parse_request(head: h11.Request) -> Request:
    parts = urllib.parse.urlsplit(head.target.decode())
    headers = {name.decode().lower(): value.decode() for name, value in head.headers}
    query = dict(urllib.parse.parse_qsl(parts.query))
    return Request(head.method.decode(), urllib.parse.unquote(parts.path), query, headers)


async def next_event(http: h11.Connection, reader: asyncio.StreamReader) -> Any:
    """Returns the next h11 event of a connection, reading from the socket as needed."""
    while (event := http.next_event()) is h11.NEED_DATA:
        http.receive_data(await reader.read(_READ_BYTES))
    return event
