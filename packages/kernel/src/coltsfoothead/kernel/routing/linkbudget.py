"""Byte budget of the link between regions."""

import dataclasses
import math

__all__ = ["Deferred", "Granted", "LinkBudget"]


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The bytes may cross the link."""


@dataclasses.dataclass(frozen=True, slots=True)
class Deferred:
    """The budget cannot take the bytes now."""

    retry_after_seconds: float


class LinkBudget:
    """Token bucket in bytes per second.

    Parameters
    ----------
    bytes_per_second : float
        Rate that may be used in the long run.
    burst_bytes : float
        Bytes that may cross at once after a quiet time.
    """

    def __init__(self, bytes_per_second: float, burst_bytes: float, now: float):
        self._rate = bytes_per_second
        self._burst = burst_bytes
        self._level = burst_bytes
        self._at = now

    def available(self, now: float) -> float:
        """Returns the bytes that may cross now; negative after bytes beyond the estimate."""
        if now > self._at:
            self._level = min(self._burst, self._level + (now - self._at) * self._rate)
            self._at = now
        return self._level

    def spend(self, size_bytes: float, now: float) -> Granted | Deferred:
        """Takes bytes from the budget before they are sent.

        A request larger than the burst is granted from a full budget, which then owes the rest;
        otherwise it could never be sent.
        """
        wait = self.retry_after(size_bytes, now)
        if wait > 0:
            return Deferred(wait)
        self._level -= size_bytes
        return Granted()

    def charge(self, size_bytes: float, now: float) -> None:
        """Takes bytes that have already crossed, for example beyond an estimate."""
        self.available(now)
        self._level -= size_bytes

    def retry_after(self, size_bytes: float, now: float) -> float:
        """Returns the seconds until `size_bytes` can be spent."""
        missing = min(size_bytes, self._burst) - self.available(now)
        if missing <= 0:
            return 0.0
        return missing / self._rate if self._rate > 0 else math.inf
