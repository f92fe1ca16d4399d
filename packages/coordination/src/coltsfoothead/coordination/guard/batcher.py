"""Batches messages per guard."""

import math

from coltsfoothead.coordination.guard import messages

__all__ = ["Batcher"]


class Batcher:
    """Lets at most one batch per guard go out in each interval.

    Parameters
    ----------
    interval_seconds : float, optional
        The first message after a quiet interval goes out at once.
    """

    def __init__(self, interval_seconds=0.01):
        self._interval = interval_seconds
        self._queued = {}
        self._next = {}

    @property
    def wake_at(self):
        """When `due` has something to return."""
        return min((self._next.get(guard, -math.inf) for guard in self._queued), default=math.inf)

    def add(self, guard, message):
        """Queues a message."""
        self._queued.setdefault(guard, []).append(message)

    def due(self, now):
        """Returns ``(guard, Batch)`` for each guard whose interval is over."""
        ready = [guard for guard in self._queued if self._next.get(guard, -math.inf) <= now]
        self._next = {guard: at for guard, at in self._next.items() if at > now}
        for guard in ready:
            self._next[guard] = now + self._interval
        return [(guard, messages.Batch(tuple(self._queued.pop(guard)))) for guard in ready]
