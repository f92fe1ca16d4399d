"""Child processes of the harness."""

import asyncio
import atexit
import contextlib
import os
import pathlib
import signal

from coltsfoothead.testsupport import errors

__all__ = ["Process", "live_pids"]

_LOG_TAIL_BYTES = 2000

live_pids: set[int] = set()


@atexit.register
def _kill_live() -> None:
    """Kills the children that are left when the interpreter exits without leaving a harness."""
    for pid in live_pids:
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, signal.SIGKILL)


class Process:
    """A child process; its output is in the file `log`."""

    def __init__(
        self, name: str, child: asyncio.subprocess.Process, log: pathlib.Path, log_start: int = 0
    ):
        self.name = name
        self.log = log
        self.address = ""
        self._child = child
        self._log_start = log_start

    @property
    def pid(self) -> int:
        return self._child.pid

    @property
    def returncode(self) -> int | None:
        return self._child.returncode

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal; SIGKILL, SIGSTOP, SIGCONT and SIGTERM are the usual ones."""
        if self._child.returncode is None:
            self._child.send_signal(number)

    def kill(self) -> None:
        self.send_signal(signal.SIGKILL)

    def freeze(self) -> None:
        self.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        self.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        self.send_signal(signal.SIGTERM)

    async def wait(self, seconds: float = 30.0) -> int:
        """Waits for the end and returns the exit code, which is negative after a signal."""
        try:
            async with asyncio.timeout(seconds):
                return await self._child.wait()
        except TimeoutError:
            message = f"{self.name} (PID {self.pid}) did not end within {seconds} s"
            raise errors.NotReadyError(message) from None

    def output(self) -> str:
        """Returns what this process wrote; an earlier one of the same name is left out."""
        return self.log.read_bytes()[self._log_start :].decode(errors="replace")

    def check_running(self) -> None:
        """Raises ProcessEndedError, with the end of the log, if the process has ended."""
        if self.returncode is not None:
            tail = self.output()[-_LOG_TAIL_BYTES:]
            raise errors.ProcessEndedError(f"{self.name} ended with {self.returncode}:\n{tail}")
