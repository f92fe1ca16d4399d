"""Relays the events of a stream to a caller, whole events only, across several upstreams."""

from collections.abc import Callable

from coltsfoothead.daemon import errors
from coltsfoothead.daemon.http import server

__all__ = ["EventRelay", "MalformedStreamError"]

_END = b"\n\n"
# An event holds a few tokens; anything longer is no event of this protocol.
EVENT_BYTES = 256 * 1024


class MalformedStreamError(errors.DaemonError):
    """An upstream's stream holds bytes that are no events."""


class EventRelay:
    """Cuts what arrives into events and writes whole ones.

    Parameters
    ----------
    caller : Exchange
    """

    def __init__(self, caller: server.Exchange) -> None:
        self._caller = caller
        self._rest = b""
        self._last_id: str | None = None
        self._count = 0

    @property
    def last_id(self) -> str | None:
        """ID of the last event that was written."""
        return self._last_id

    @property
    def count(self) -> int:
        """Number of events written."""
        return self._count

    @property
    def partial(self) -> bool:
        """Whether the last event has not arrived whole."""
        return bool(self._rest.strip())

    def drop_partial(self) -> None:
        """Forgets the begun event, which the next upstream sends again."""
        self._rest = b""

    def feed(self, data: bytes, begin: Callable[[], None]) -> None:
        """Takes what arrived and writes the events that it completes.

        Parameters
        ----------
        data : bytes
        begin : callable
            Called right before the first event of the whole stream is written.

        Raises
        ------
        CallerGoneError
            If the caller's connection is closed.
        MalformedStreamError
            If the data is no sequence of events.
        """
        data = self._rest + data
        end = data.rfind(_END)
        if end < 0:
            if len(data) > EVENT_BYTES:
                raise MalformedStreamError(f"an event exceeds {EVENT_BYTES} bytes")
            self._rest = data
            return
        whole, self._rest = data[: end + len(_END)], data[end + len(_END) :]
        events = [event for event in whole.split(_END) if event.strip()]
        if not events:
            return
        for event in events:
            self._note_id(event)
        if not self._count:
            begin()
        self._count += len(events)
        self._caller.write_soon(whole)

    def _note_id(self, event: bytes) -> None:
        for line in event.split(b"\n"):
            if line.startswith(b"id:"):
                self._last_id = line[3:].strip().decode("latin-1")
