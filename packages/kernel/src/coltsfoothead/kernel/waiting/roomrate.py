"""Rate at which room arises for a service at one entry.

Load pattern: callers ask for more than the upstreams can start, so that each request that is
admitted takes the room that another one has left.
"""

import math

__all__ = ["RoomRate"]

# Time constant of the smoothing. The admissions of an entry that has little of the room are rare,
# and the room changes with the upstreams, which start within seconds.
SMOOTHING_SECONDS = 3.0
# Below this rate nothing can be said about the next admission.
MIN_RATE_PER_SECOND = 0.05


class RoomRate:
    """Smoothed rate of the admissions of a service.

    While others are refused it is the rate at which room arises. Before that it is a lower bound
    of it, as far as callers have asked for the room.
    """

    def __init__(self) -> None:
        self._admissions = 0.0
        self._counted_at = 0.0

    def record_admission(self, now: float) -> None:
        """Records that a request was admitted."""
        self._admissions = self._decayed(now) + 1.0
        self._counted_at = now

    def rate(self, now: float) -> float | None:
        """Returns the admissions per second, or None if there were hardly any."""
        rate = self._decayed(now) / SMOOTHING_SECONDS
        return rate if rate >= MIN_RATE_PER_SECOND else None

    def _decayed(self, now: float) -> float:
        return self._admissions * math.exp(-(now - self._counted_at) / SMOOTHING_SECONDS)
