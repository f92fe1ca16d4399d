"""Budget of second tries of one entry, per service.

The platform bounds repeats over all entries by a ratio of the requests and a fixed number per
window. Each entry may use its own requests' part of the ratio and an even part of the fixed number.
"""

import collections

__all__ = ["RepeatBudget"]

# Part of the bound that is used; windows of the entries are not aligned.
USED_PART = 0.7


class RepeatBudget:
    """Sliding count of requests and repeats.

    Parameters
    ----------
    ratio : float
        Repeats allowed per request.
    fixed : float
        Repeats allowed per window besides, over all entries.
    window_seconds : float
    """

    def __init__(self, ratio: float, fixed: float, window_seconds: float) -> None:
        self._ratio = ratio
        self._fixed = fixed
        self._window_seconds = window_seconds
        self._requests: dict[str, collections.deque[float]] = {}
        self._repeats: dict[str, collections.deque[float]] = {}

    def request(self, service: str, now: float) -> None:
        """Counts a caller's request for a service."""
        self._recent(self._requests, service, now).append(now)

    def spend(self, service: str, entries: int, now: float) -> bool:
        """Counts one repeat if the budget allows it; returns whether it does."""
        requests = len(self._recent(self._requests, service, now))
        repeats = self._recent(self._repeats, service, now)
        allowed = USED_PART * (self._ratio * requests + self._fixed / max(1, entries))
        if len(repeats) + 1 > allowed:
            return False
        repeats.append(now)
        return True

    def _recent(
        self, counts: dict[str, collections.deque[float]], service: str, now: float
    ) -> collections.deque[float]:
        times = counts.setdefault(service, collections.deque())
        while times and times[0] <= now - self._window_seconds:
            times.popleft()
        return times
