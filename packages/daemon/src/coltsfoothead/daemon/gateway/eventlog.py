"""Structured log lines on standard output, limited in rate and written without blocking."""

import logging
import os
import time

import msgspec

from coltsfoothead.daemon.gateway import clock

__all__ = ["EventLog", "set_up_logging"]

# Sustained rate and burst of the log. 200 lines of 300 bytes a second are 60 KB/s, which the pipes
# of common log collectors accept.
LINES_PER_SECOND = 200.0
BURST_LINES = 1000.0

_logger = logging.getLogger("coltsfoothead.events")


class _OutputHandler(logging.Handler):
    """Writes lines to a descriptor; drops and counts those that exceed the rate or would block."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._available_lines = BURST_LINES
        self._refilled_at = clock.steady()
        self._dropped = 0
        self._unwritten = b""

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one record."""
        now = clock.steady()
        self._available_lines = min(
            BURST_LINES, self._available_lines + (now - self._refilled_at) * LINES_PER_SECOND
        )
        self._refilled_at = now
        if self._available_lines < 1:
            self._dropped += 1
            return
        self._available_lines -= 1
        if self._dropped:
            line = msgspec.json.encode({"event": "log_lines_dropped", "count": self._dropped})
            self._dropped = 0
            self._write(line + b"\n")
        self._write(self.format(record).encode() + b"\n")

    def _write(self, line: bytes) -> None:
        if self._unwritten:
            self._unwritten = self._unwritten[self._try_write(self._unwritten) :]
        if self._unwritten:
            self._dropped += 1
        else:
            self._unwritten = line[self._try_write(line) :]

    def _try_write(self, data: bytes) -> int:
        try:
            return os.write(self._descriptor, data)
        except BlockingIOError:
            return 0
        except OSError:
            # The reader has closed the output; the process continues without its log.
            return len(data)


class _JsonFormatter(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        fields = getattr(record, "fields", None)
        if fields is None:
            fields = {"event": "message", "source": record.name, "text": record.getMessage()}
            if record.exc_info:
                fields["error"] = self.formatException(record.exc_info)
        line = {"at": round(time.time(), 3), "level": record.levelname.lower(), **fields}
        return msgspec.json.encode(line, enc_hook=str).decode()


def set_up_logging(descriptor: int = 1) -> None:
    """Sends all log records of this process to standard output as JSON lines."""
    handler = _OutputHandler(descriptor)
    handler.setFormatter(_JsonFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    logging.getLogger("coltsfoothead").setLevel(logging.INFO)


class EventLog:
    """Writes one line per event.

    Parameters
    ----------
    process : str
        Name of this process, a field of every line.
    """

    def __init__(self, process: str) -> None:
        self._process = process

    def write(self, event: str, **fields: object) -> None:
        """Writes a line; the fields hold the inputs and the outcome of the decision."""
        self._log(logging.INFO, event, fields)

    def warn(self, event: str, **fields: object) -> None:
        """Writes a line about a condition that needs an operator's attention."""
        self._log(logging.WARNING, event, fields)

    def _log(self, level: int, event: str, fields: dict[str, object]) -> None:
        extra = {"fields": {"event": event, "process": self._process, **fields}}
        _logger.log(level, event, extra=extra)
