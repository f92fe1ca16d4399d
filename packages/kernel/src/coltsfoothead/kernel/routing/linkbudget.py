"""Byte budget of the inter-region link."""

import dataclasses
import math

__all__ = ["Deferred", "Granted", "LinkBudget"]


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The bytes may be sent over the link."""


@dataclasses.dataclass(frozen=True, slots=True)
class Deferred:
    """The budget is too small for the bytes now."""

    retry_after_seconds: float


class LinkBudget:
    """Token bucket in bytes per second.

    Parameters
    ----------
    bytes_per_second : float
        Sustained rate.
    burst_bytes : float
        Capacity of the bucket.
    """

    def __init__(self, bytes_per_second: float, burst_bytes: float, now: float):
        self._bytes_per_second = bytes_per_second
        self._burst_bytes = burst_bytes
        self._available_bytes = burst_bytes
        self._refilled_at = now

    def available(self, now: float) -> float:
        """Returns the bytes that may be sent now; negative after `charge` overdrew the budget."""
        if now > self._refilled_at:
            self._available_bytes = min(
                self._burst_bytes,
                self._available_bytes + (now - self._refilled_at) * self._bytes_per_second,
            )
            self._refilled_at = now
        return self._available_bytes

    def spend(self, size_bytes: float, now: float) -> Granted | Deferred:
        """Charges bytes before they are sent, if the budget allows.

        A request larger than the burst is granted when the bucket is full and overdraws it;
        otherwise it could never be sent.
        """
        wait_seconds = self.retry_after(size_bytes, now)
        if wait_seconds > 0:
            return Deferred(wait_seconds)
        self._available_bytes -= size_bytes
        return Granted()

    def charge(self, size_bytes: float, now: float) -> None:
        """Charges bytes that have already been sent, for example beyond an estimate."""
        self.available(now)
        self._available_bytes -= size_bytes

    def retry_after(self, size_bytes: float, now: float) -> float:
        """Returns the seconds until `size_bytes` can be spent."""
        missing_bytes = min(size_bytes, self._burst_bytes) - self.available(now)
        if missing_bytes <= 0:
            return 0.0
        return missing_bytes / self._bytes_per_second if self._bytes_per_second > 0 else math.inf
