"""Relays the complete events of a stream to a caller, also if several upstreams produce it."""

from collections.abc import Callable

from coltsfoothead.daemon import errors
from coltsfoothead.daemon.http import server

__all__ = ["EventRelay", "MalformedStreamError"]

_EVENT_END = b"\n\n"
# An event holds a few tokens; a longer one is malformed.
MAX_EVENT_BYTES = 256 * 1024
# A stream of a model's longest answer takes less; an endless one has to end.
MAX_STREAM_BYTES = 4 * 1024 * 1024


class MalformedStreamError(errors.DaemonError):
    """An upstream's stream is not a sequence of events."""


class EventRelay:
    """Splits received data into events and writes the complete ones to the caller.

    Parameters
    ----------
    caller : Exchange
    """

    def __init__(self, caller: server.Exchange) -> None:
        self._caller = caller
        self._buffer = b""
        # Comments before the first event, which are no answer yet.
        self._held_comments = b""
        self._received_bytes = 0
        self._last_event_id: str | None = None
        self._event_count = 0

    @property
    def last_event_id(self) -> str | None:
        """ID of the last event that was written, or None."""
        return self._last_event_id

    @property
    def event_count(self) -> int:
        """Number of events written."""
        return self._event_count

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer.strip())

    def drop_partial(self) -> None:
        """Discards what was not written; the next upstream sends it again."""
        self._buffer = self._held_comments = b""

    def write_comments(self) -> None:
        """Writes the comments of a stream that has ended without an event."""
        if self._held_comments:
            self._caller.write_soon(self._held_comments)
            self._held_comments = b""

    def feed(self, data: bytes, on_first_event: Callable[[], None]) -> None:
        """Adds received data and writes the events that it completes.

        Parameters
        ----------
        data : bytes
        on_first_event : callable
            Called right before the first event of the whole stream is written.

        Raises
        ------
        CallerGoneError
            If the caller's connection is closed.
        MalformedStreamError
            If an event or the stream is too long.
        """
        self._received_bytes += len(data)
        if self._received_bytes > MAX_STREAM_BYTES:
            raise MalformedStreamError(f"the stream exceeds {MAX_STREAM_BYTES} bytes")
        data = self._buffer + data
        end = data.rfind(_EVENT_END)
        if end < 0:
            if len(data) > MAX_EVENT_BYTES:
                raise MalformedStreamError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
            self._buffer = data
            return
        complete, self._buffer = data[: end + len(_EVENT_END)], data[end + len(_EVENT_END) :]
        events = [event for event in complete.split(_EVENT_END) if _is_event(event)]
        if not events and not self._event_count:
            self._held_comments += complete
            if len(self._held_comments) > MAX_EVENT_BYTES:
                raise MalformedStreamError(f"{MAX_EVENT_BYTES} bytes of comments before an event")
            return
        for event in events:
            self._record_event_id(event)
        if not self._event_count:
            on_first_event()
            complete, self._held_comments = self._held_comments + complete, b""
        self._event_count += len(events)
        self._caller.write_soon(complete)

    def _record_event_id(self, event: bytes) -> None:
        for line in event.split(b"\n"):
            if line.startswith(b"id:"):
                self._last_event_id = line[3:].strip().decode("latin-1")


def _is_event(block: bytes) -> bool:
    """Returns whether a block of a stream is an event; one of comments only is none."""
    return any(line.strip() and not line.startswith(b":") for line in block.split(b"\n"))
