"""Base of the fakes: life cycle, test control and the command line."""

import argparse
import asyncio
import contextlib
import inspect
import signal
from collections.abc import Callable, Coroutine
from typing import Any

from coltsfoothead.testsupport import web, webclient

__all__ = ["Fake", "parser", "run"]


class Fake:
    """Base class of the fakes.

    A subclass adds routes to `router`, background coroutines to `background` and one function per
    verb to `controls`. `POST /control` with a JSON object calls the function of each key with the
    key's value and answers with the results.
    """

    def __init__(self) -> None:
        self.router = web.Router()
        self.controls: dict[str, Callable[[Any], Any]] = {}
        self.background: list[Callable[[], Coroutine[Any, Any, None]]] = []
        self.finished = asyncio.Event()
        self.address = ""
        self._server = web.Server(self.router, self.drops_before_body)
        self._tasks: list[asyncio.Task[None]] = []
        self.router.route("POST", "/control")(self._control)

    def drops_before_body(self, request: web.Request) -> bool:
        """Returns whether to drop the connection before the request's body is read."""
        return False

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Starts the server and the background tasks; returns the address."""
        self.address = await self._server.start(host, port)
        self._tasks = [asyncio.ensure_future(start()) for start in self.background]
        return self.address

    async def close(self) -> None:
        """Stops the server and the background tasks, and aborts open connections."""
        for task in self._tasks:
            task.cancel()
        await self._server.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def __aenter__(self):
        await self.start()
        return self

    async def __aexit__(self, *exception) -> None:
        await self.close()

    async def _control(self, request: web.Request) -> web.Response:
        verbs = request.json()
        unknown = sorted(verbs.keys() - self.controls.keys())
        if unknown:
            known = ", ".join(sorted(self.controls))
            return web.json_response(
                {"error": {"message": f"unknown verbs {unknown}; known: {known}"}}, 400
            )
        results = {}
        for verb, value in verbs.items():
            result = self.controls[verb](value)
            results[verb] = await result if inspect.isawaitable(result) else result
        return web.json_response(results)


def parser(description: str | None) -> argparse.ArgumentParser:
    """Returns an argument parser with the options that all fakes have."""
    created = argparse.ArgumentParser(description=description)
    created.add_argument("--listen", default="127.0.0.1:0", help="IP:PORT; port 0 picks a free one")
    return created


def run(create: Callable[[], Fake], listen: str) -> None:
    """Runs a fake until SIGTERM, SIGINT or until it has finished by itself."""

    async def serve() -> None:
        fake = create()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, fake.finished.set)
        address = await fake.start(*webclient.split_address(listen))
        print(f"listening {address}", flush=True)
        await fake.finished.wait()
        await fake.close()

    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(serve())
