"""Routes of the fault-injecting proxy: listener, connections and faults per direction."""

import asyncio
import socket
import struct
import time

from coltsfoothead.testsupport import ratelimit, webclient

__all__ = ["DIRECTIONS", "Connection", "Direction", "Route"]

DIRECTIONS = ("up", "down")

_CHUNK_BYTES = 8192
_MAX_QUEUED_CHUNKS = 64
_SO_LINGER_RESET = struct.pack("ii", 1, 0)


class Direction:
    """Faults of one direction of one route."""

    def __init__(self, pipe: ratelimit.RateLimit | None):
        self.latency_seconds = 0.0
        self.limit = ratelimit.RateLimit(None)
        self.open = asyncio.Event()
        self.open.set()
        self._pipe = pipe

    async def admit(self, size_bytes: int) -> None:
        """Waits until the rate limits of the route and of its pipe admit `size_bytes`."""
        await self.limit.acquire(size_bytes)
        if self._pipe:
            await self._pipe.acquire(size_bytes)


class Connection:
    """One proxied connection; a direction ends once its end of file has been forwarded."""

    def __init__(self, route: "Route", writer: asyncio.StreamWriter):
        self.frozen = asyncio.Event()
        self._route = route
        self._writers = [writer]

    async def run(self, reader: asyncio.StreamReader) -> None:
        route = self._route
        # The TCP handshake needs packets in both directions.
        for name in DIRECTIONS:
            await route.directions[name].open.wait()
        target_reader, target_writer = await asyncio.open_connection(*route.target)
        self._writers.append(target_writer)
        client_writer = self._writers[0]
        async with asyncio.TaskGroup() as group:
            group.create_task(self._forward(reader, target_writer, route.directions["up"]))
            group.create_task(self._forward(target_reader, client_writer, route.directions["down"]))
        for writer in self._writers:
            writer.close()

    async def _forward(self, reader, writer, direction: Direction) -> None:
        queue: asyncio.Queue[tuple[float, bytes | None]] = asyncio.Queue(_MAX_QUEUED_CHUNKS)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._receive(reader, queue, direction))
            group.create_task(self._deliver(writer, queue, direction))

    async def _receive(self, reader, queue, direction: Direction) -> None:
        data: bytes | None = b"-"
        while data:
            try:
                data = await reader.read(_CHUNK_BYTES)
            except OSError:
                # A reset is queued like data, so that a cut or frozen connection hides it.
                data = None
            await direction.admit(len(data or b""))
            await queue.put((time.monotonic() + direction.latency_seconds, data))

    async def _deliver(self, writer, queue, direction: Direction) -> None:
        while True:
            due_at, data = await queue.get()
            await asyncio.sleep(max(0.0, due_at - time.monotonic()))
            await direction.open.wait()
            if self.frozen.is_set():
                await asyncio.Event().wait()
            if data is None:
                raise ConnectionResetError("reset by the other side")
            if not data:
                writer.write_eof()
                return
            writer.write(data)
            await writer.drain()

    def reset(self) -> None:
        """Aborts both sides with a TCP reset."""
        for writer in self._writers:
            if writer.transport.is_closing():
                continue
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _SO_LINGER_RESET
            )
            writer.transport.abort()


class Route:
    """One listener and its target."""

    def __init__(self, target: str, pipes: dict[str, ratelimit.RateLimit | None]):
        self.target = webclient.split_address(target)
        self.address = ""
        self.directions = {name: Direction(pipes[name]) for name in DIRECTIONS}
        self.refuses = False
        self.connections: dict[asyncio.Task[None], Connection] = {}
        self._server: asyncio.Server | None = None

    async def start(self, listen: str) -> str:
        host, port = webclient.split_address(listen)
        self._server = await asyncio.start_server(self.accept, host, port)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self.address

    async def close(self) -> None:
        if self._server:
            self._server.close()
        tasks = list(self.connections)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def accept(self, reader, writer) -> None:
        """Forwards one connection until it ends; listeners that routes share call it as well."""
        task = asyncio.current_task()
        connection = Connection(self, writer)
        self.connections[task] = connection
        try:
            if self.refuses:
                connection.reset()
            else:
                await connection.run(reader)
        except* (OSError, asyncio.CancelledError):
            connection.reset()
        finally:
            self.connections.pop(task)
