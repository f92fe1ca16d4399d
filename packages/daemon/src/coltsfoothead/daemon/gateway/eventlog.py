"""Structured log lines on standard output, bounded in volume and never waited for."""

import logging
import os
import time

import msgspec

from coltsfoothead.daemon.gateway import clock

__all__ = ["EventLog", "set_up"]

# Lines per second in the long run and at once. 200 lines of 300 bytes a second are 60 KB/s, which
# the pipes of common log collectors take.
LINES_PER_SECOND = 200.0
LINES_AT_ONCE = 1000.0

_logger = logging.getLogger("coltsfoothead.events")


class _OutputHandler(logging.Handler):
    """Writes lines to a file descriptor; what it would have to wait for is dropped and counted."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._level = LINES_AT_ONCE
        self._at = clock.steady()
        self._dropped = 0
        self._rest = b""

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one record."""
        now = clock.steady()
        self._level = min(LINES_AT_ONCE, self._level + (now - self._at) * LINES_PER_SECOND)
        self._at = now
        if self._level < 1:
            self._dropped += 1
            return
        self._level -= 1
        if self._dropped:
            line = msgspec.json.encode({"event": "log_lines_dropped", "count": self._dropped})
            self._dropped = 0
            self._write(line + b"\n")
        self._write(self.format(record).encode() + b"\n")

    def _write(self, line: bytes) -> None:
        if self._rest:
            self._rest = self._rest[self._try_write(self._rest) :]
        if self._rest:
            self._dropped += 1
        else:
            self._rest = line[self._try_write(line) :]

    def _try_write(self, data: bytes) -> int:
        try:
            return os.write(self._descriptor, data)
        except BlockingIOError:
            return 0
        except OSError:
            # Nobody reads the output any more; serving goes on without it.
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


def set_up(descriptor: int = 1) -> None:
    """Sends all log records of this process to standard output as JSON lines."""
    handler = _OutputHandler(descriptor)
    handler.setFormatter(_JsonFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    logging.getLogger("coltsfoothead").setLevel(logging.INFO)


class EventLog:
    """Writes one line per decision.

    Parameters
    ----------
    process : str
        Name of this process, a field of every line.
    """

    def __init__(self, process: str) -> None:
        self._process = process

    def write(self, event: str, **fields: object) -> None:
        """Writes a line; the fields are the inputs of the decision and its outcome."""
        self._log(logging.INFO, event, fields)

    def warn(self, event: str, **fields: object) -> None:
        """Writes a line about something that needs attention."""
        self._log(logging.WARNING, event, fields)

    def _log(self, level: int, event: str, fields: dict[str, object]) -> None:
        extra = {"fields": {"event": event, "process": self._process, **fields}}
        _logger.log(level, event, extra=extra)
