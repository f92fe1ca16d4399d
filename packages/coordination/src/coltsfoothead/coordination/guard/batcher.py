"""Batching of messages by receiving guard."""

import math

from coltsfoothead.coordination.guard import messages

__all__ = ["Batcher"]


class Batcher:
    """Queues messages and releases at most one batch per guard and interval.

    Parameters
    ----------
    interval_seconds : float, optional
        Minimum time between two batches to the same guard. A message to a guard that got no
        batch within the last interval is due at once.
    """

    def __init__(self, interval_seconds=0.01):
        self._interval_seconds = interval_seconds
        self._queued = {}
        self._next_send_at = {}

    @property
    def wake_at(self):
        """Earliest time at which `take_due` returns a batch; infinite if nothing is queued."""
        return min(
            (self._next_send_at.get(guard_id, -math.inf) for guard_id in self._queued),
            default=math.inf,
        )

    def add(self, guard_id, message):
        """Queues a message for a guard."""
        self._queued.setdefault(guard_id, []).append(message)

    def take_due(self, now):
        """Removes and returns ``(guard_id, Batch)`` for each guard whose interval has elapsed."""
        ready = [
            guard_id
            for guard_id in self._queued
            if self._next_send_at.get(guard_id, -math.inf) <= now
        ]
        self._next_send_at = {
            guard_id: at for guard_id, at in self._next_send_at.items() if at > now
        }
        for guard_id in ready:
            self._next_send_at[guard_id] = now + self._interval_seconds
        return [(guard_id, messages.Batch(tuple(self._queued.pop(guard_id)))) for guard_id in ready]
