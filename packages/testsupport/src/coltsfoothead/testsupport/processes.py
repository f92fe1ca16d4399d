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
def _kill_remaining_children() -> None:
    """Kills the children that still run when the interpreter exits without closing a harness."""
    for pid in live_pids:
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, signal.SIGKILL)


class Process:
    """Child process whose standard output and error go to the file `log`.

    Parameters
    ----------
    name : str
        Name of the process within its harness.
    child : asyncio.subprocess.Process
        The running process.
    log : Path
        Log file, which earlier processes of the same name may share.
    log_start : int
        Offset in bytes at which the output of this process begins in the log.
    """

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
        """Waits until the process exits and returns its exit code, negative after a signal.

        Raises
        ------
        NotReadyError
            If the process did not exit in time.
        """
        try:
            async with asyncio.timeout(seconds):
                return await self._child.wait()
        except TimeoutError:
            message = f"{self.name} (PID {self.pid}) did not end within {seconds} s"
            raise errors.NotReadyError(message) from None

    def output(self) -> str:
        """Returns the output of this process, without that of earlier ones of the same name."""
        return self.log.read_bytes()[self._log_start :].decode(errors="replace")

    def check_running(self) -> None:
        """Raises ProcessEndedError, with the end of the log, if the process has exited."""
        if self.returncode is not None:
            tail = self.output()[-_LOG_TAIL_BYTES:]
            raise errors.ProcessEndedError(f"{self.name} ended with {self.returncode}:\n{tail}")
