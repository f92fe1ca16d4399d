"""Fake of the platform's load balancer: TCP round robin over the ready backends."""

import asyncio
import contextlib

from coltsfoothead.testsupport import errors, fake, web, webclient

__all__ = ["Balancer", "main"]

_POLL_INTERVAL_SECONDS = 0.2
_POLL_TIMEOUT_SECONDS = 0.2
_COPY_BYTES = 65536


class Balancer(fake.Fake):
    """Spreads new connections over ready backends; open connections stay with their backend.

    Parameters
    ----------
    backends : list of str
        Addresses that receive the traffic and answer `GET /readyz`. For `ADDRESS=READY_ADDRESS`,
        the readiness is polled at READY_ADDRESS.
    traffic_listen : str
        Address that accepts the traffic; the fake's own address serves the test control.
    """

    def __init__(self, backends: list[str] | None = None, traffic_listen: str = "127.0.0.1:0"):
        super().__init__()
        self.traffic_address = ""
        self.ready: list[str] = []
        self._backends: list[str] = list(backends or [])
        self._traffic_listen = traffic_listen
        self._next_backend = 0
        self._listener: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        self.background = [self._poll]
        self.router.route("GET", "/status")(self._status)
        self.controls["backends"] = self.set_backends

    def set_backends(self, backends: list[str]) -> None:
        """Replaces the backends; a new one gets traffic after a successful readiness poll."""
        self._backends = list(backends)
        self.ready = [backend for backend in self.ready if backend in self._backends]

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        listen = webclient.split_address(self._traffic_listen)
        self._listener = await asyncio.start_server(self._accept, *listen)
        traffic_host, traffic_port = self._listener.sockets[0].getsockname()[:2]
        self.traffic_address = f"{traffic_host}:{traffic_port}"
        return await super().start(host, port)

    async def close(self) -> None:
        self._listener.close()
        for task in list(self._connections):
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)
        await super().close()

    async def _poll(self) -> None:
        while True:
            backends = list(self._backends)
            states = await asyncio.gather(*(_is_ready(backend) for backend in backends))
            self.ready = [
                backend
                for backend, ready in zip(backends, states, strict=True)
                if ready and backend in self._backends
            ]
            await asyncio.sleep(_POLL_INTERVAL_SECONDS)

    async def _status(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "traffic_address": self.traffic_address,
                "backends": self._backends,
                "ready": self.ready,
            }
        )

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._connections.add(task)
        writers = [writer]
        try:
            target_reader, target_writer = await self._connect()
            writers.append(target_writer)
            async with asyncio.TaskGroup() as group:
                group.create_task(_copy(reader, target_writer))
                group.create_task(_copy(target_reader, writer))
            for open_writer in writers:
                open_writer.close()
        except* (OSError, errors.ConnectError, asyncio.CancelledError):
            for open_writer in writers:
                open_writer.transport.abort()
        finally:
            self._connections.discard(task)

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        for _ in range(len(self.ready)):
            backend = self.ready[self._next_backend % len(self.ready)]
            self._next_backend += 1
            with contextlib.suppress(OSError):
                address = webclient.split_address(backend.partition("=")[0])
                return await asyncio.open_connection(*address)
        raise errors.ConnectError("no backend is ready")


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(_COPY_BYTES):
        writer.write(data)
        await writer.drain()
    writer.write_eof()


async def _is_ready(backend: str) -> bool:
    address, _, ready_address = backend.partition("=")
    try:
        reply = await webclient.fetch(
            ready_address or address, "GET", "/readyz", timeout_seconds=_POLL_TIMEOUT_SECONDS
        )
    except (errors.TestSupportError, TimeoutError):
        return False
    return reply.status == 200


def main() -> None:
    """Runs the balancer from the command line."""
    parser = fake.parser(__doc__)
    parser.add_argument("--traffic-listen", default="127.0.0.1:0")
    parser.add_argument("--backend", action="append", default=[], help="IP:PORT[=READY_IP:PORT]")
    options = parser.parse_args()
    fake.run(lambda: Balancer(options.backend, options.traffic_listen), options.listen)


if __name__ == "__main__":
    main()
