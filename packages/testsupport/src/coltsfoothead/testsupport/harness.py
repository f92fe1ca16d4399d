"""Process harness: runs daemons and fakes as child processes and always stops them."""

import argparse
import asyncio
import contextlib
import itertools
import os
import pathlib
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from typing import Any

import tomli_w

from coltsfoothead.testsupport import errors, processes, webclient

__all__ = ["Harness", "free_ports", "main", "wait_until"]

_POLL_INTERVAL_SECONDS = 0.02
# By default Linux takes the local ports of outgoing connections from 32768 upwards.
_FIRST_PORT = 10_000
_PORT_COUNT = 22_768
# Processes that choose ports at the same time start at different offsets, so that they do not
# choose the same port before one of them has bound it.
_port_offsets = itertools.count(os.getpid() * 64)
_READY_TIMEOUT_SECONDS = 15.0
_DAEMON_MODULE = "coltsfoothead.daemon.main"


def free_ports(count: int) -> list[int]:
    """Returns distinct free TCP ports below the range of outgoing connections.

    Notes
    -----
    A port of that range could be taken by any outgoing connection between two starts of a daemon.
    Another process may still take a port before it is used, so prefer port 0 where possible.
    """
    ports: set[int] = set()
    while len(ports) < count:
        port = _FIRST_PORT + next(_port_offsets) % _PORT_COUNT
        with socket.socket() as opened, contextlib.suppress(OSError):
            # Nothing listens here. The bind fails if the port is taken at any loopback address,
            # and daemons of one cluster use several of these.
            opened.bind(("", port))
            ports.add(port)
    return list(ports)


async def wait_until(
    condition: Callable[[], bool | Awaitable[bool]], seconds: float, description: str
) -> None:
    """Waits until a condition is true.

    Parameters
    ----------
    condition : callable
        Function or coroutine function that returns whether the condition holds.
    seconds : float
        Timeout.
    description : str
        What is awaited, for the error message.

    Raises
    ------
    NotReadyError
        If the condition was not true in time.
    """
    deadline = time.monotonic() + seconds
    while True:
        result = condition()
        if await result if isinstance(result, Awaitable) else result:
            return
        if time.monotonic() >= deadline:
            raise errors.NotReadyError(f"{description}: not within {seconds} s")
        await asyncio.sleep(_POLL_INTERVAL_SECONDS)


class Harness:
    """Context manager that owns a temporary folder and child processes.

    Parameters
    ----------
    keep : bool
        Keeps the folder with settings and logs, for example after a failure.
    """

    def __init__(self, keep: bool = False):
        self.processes: dict[str, processes.Process] = {}
        self.folder = pathlib.Path()
        self._keep = keep

    async def __aenter__(self) -> "Harness":
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="coltsfoothead-"))
        return self

    async def __aexit__(self, *exception) -> None:
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            await process.wait()
            processes.live_pids.discard(process.pid)
        if not self._keep:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def start_fake(
        self, module: str, *arguments: str, name: str | None = None
    ) -> processes.Process:
        """Starts `python -m coltsfoothead.testsupport.MODULE` and waits until it listens."""
        name = name or f"{module}-{len(self.processes) + 1}"
        process = await self.spawn(name, f"coltsfoothead.testsupport.{module}", *arguments)

        def listening() -> bool:
            process.check_running()
            lines = [line for line in process.output().splitlines() if line.startswith("listening")]
            process.address = lines[0].split()[1] if lines else ""
            return bool(lines)

        await wait_until(listening, _READY_TIMEOUT_SECONDS, f"address of {name}")
        return process

    async def start_daemon(
        self,
        name: str,
        settings: dict[str, Any],
        ready_address: str,
        *,
        ready_path: str = "/readyz",
        seconds: float = _READY_TIMEOUT_SECONDS,
        module: str = _DAEMON_MODULE,
        wait: bool = True,
    ) -> processes.Process:
        """Writes a settings file and starts a daemon with it.

        Parameters
        ----------
        name : str
            Name of the process, the settings file and the log.
        settings : dict
            Content of the settings file.
        ready_address, ready_path : str
            Where `GET` answers 200 once the daemon is ready.
        seconds : float
            Timeout for the daemon to become ready.
        module : str
            Module to run as the daemon.
        wait : bool
            False returns before the daemon is ready, for example to start all voters at the same
            time; call `wait_ready` later.
        """
        path = self.write_settings(name, settings)
        process = await self.spawn(name, module, "run", str(path))
        process.address = ready_address
        if wait:
            await self.wait_ready(process, ready_path, seconds)
        return process

    async def wait_ready(
        self,
        process: processes.Process,
        path: str = "/readyz",
        seconds: float = _READY_TIMEOUT_SECONDS,
    ) -> None:
        """Waits until `GET path` at the process's address answers 200."""

        async def ready() -> bool:
            process.check_running()
            try:
                reply = await webclient.fetch(process.address, "GET", path, timeout_seconds=1.0)
            except (errors.TestSupportError, TimeoutError):
                return False
            return reply.status == 200

        await wait_until(ready, seconds, f"{path} of {process.name}")

    def write_settings(self, name: str, settings: dict[str, Any]) -> pathlib.Path:
        """Writes a settings file and returns its path."""
        path = self.folder / f"{name}.toml"
        path.write_text(tomli_w.dumps(settings), "utf-8")
        return path

    async def spawn(self, name: str, module: str, *arguments: str) -> processes.Process:
        """Starts `python -m MODULE`; a restarted process appends to the log of its name.

        Raises
        ------
        TestSupportError
            If a process of this name is still running.
        """
        previous = self.processes.get(name)
        if previous and previous.returncode is None:
            raise errors.TestSupportError(f"process {name} is still running")
        log = self.folder / f"{name}.log"
        log_start = log.stat().st_size if log.exists() else 0
        with log.open("ab") as output:
            child = await asyncio.create_subprocess_exec(
                sys.executable,
                *("-m", module, *arguments),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        processes.live_pids.add(child.pid)
        if previous:
            processes.live_pids.discard(previous.pid)
        self.processes[name] = processes.Process(name, child, log, log_start)
        return self.processes[name]


def main() -> None:
    """Starts fakes, prints their addresses and stops them on SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("fakes", nargs="+", help="for example 'engine --slots 4'")
    options = parser.parse_args()

    async def serve() -> None:
        stopped = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, stopped.set)
        async with Harness() as harness:
            for line in options.fakes:
                process = await harness.start_fake(*shlex.split(line))
                print(f"{process.name} {process.address}", flush=True)
            await stopped.wait()

    asyncio.run(serve())


if __name__ == "__main__":
    main()
