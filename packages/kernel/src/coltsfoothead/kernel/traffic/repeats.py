"""Retry budget of one entry, per service.

Over all entries, the retries within a window are limited to a ratio of the requests plus a fixed
number. Each entry applies the ratio to its own requests and may use an equal share of the fixed
number.
"""

import collections

__all__ = ["RetryBudget"]

# Fraction of the limit that is used; the margin is needed as windows of entries are not aligned.
USED_FRACTION = 0.7


class RetryBudget:
    """Counts requests and retries in sliding windows.

    Parameters
    ----------
    ratio : float
        Retries allowed per request.
    fixed : float
        Further retries allowed per window over all entries.
    window_seconds : float
        Length of the sliding window.
    """

    def __init__(self, ratio: float, fixed: float, window_seconds: float) -> None:
        self._ratio = ratio
        self._fixed = fixed
        self._window_seconds = window_seconds
        self._requests: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}

    def record_request(self, service: str, now: float) -> None:
        """Counts a caller's request to a service at a steady time in seconds."""
        self._recent(self._requests, service, now).append(now)

    def allows(self, service: str, entries: int, now: float) -> bool:
        """Returns whether the budget allows a retry.

        Parameters
        ----------
        service : str
        entries : int
            Number of entries that share the fixed number of retries.
        now : float
            Steady time in seconds.
        """
        requests = len(self._recent(self._requests, service, now))
        retries = len(self._recent(self._retries, service, now))
        allowed = USED_FRACTION * (self._ratio * requests + self._fixed / max(1, entries))
        return retries + 1 <= allowed

    def try_spend(self, service: str, entries: int, now: float) -> bool:
        """Returns whether the budget allows a retry, and counts the retry if so."""
        allowed = self.allows(service, entries, now)
        if allowed:
            self._retries[service].append(now)
        return allowed

    def _recent(
        self, times_by_service: dict[str, collections.deque[float]], service: str, now: float
    ) -> collections.deque[float]:
        times = times_by_service.setdefault(service, collections.deque())
        while times and times[0] <= now - self._window_seconds:
            times.popleft()
        return times
