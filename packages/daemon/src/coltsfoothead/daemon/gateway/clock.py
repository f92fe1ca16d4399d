"""Clocks of the gateway's processes."""

import time

__all__ = ["WallClock", "steady"]

# A step of the wall clock is adopted once it has lasted for this long. A shorter one is ignored,
# because whatever caused it reverts it.
STEP_CONFIRM_SECONDS = 20.0
# Least change of the offset between wall clock and steady clock that counts as a step.
MIN_STEP_SECONDS = 0.2


def steady() -> float:
    """Returns the seconds of a monotonic clock that also runs while the VM is suspended.

    Leases are measured by it, since a process that was suspended must not consider an expired lease
    valid.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class WallClock:
    """Wall clock that ignores steps which are reverted soon after."""

    def __init__(self) -> None:
        self._offset = time.time() - steady()
        self._stepped_since: float | None = None
        self._stepped_offset = 0.0

    def now(self) -> float:
        """Returns the Unix time in seconds."""
        steady_now = steady()
        offset = time.time() - steady_now
        if abs(offset - self._offset) < MIN_STEP_SECONDS:
            self._offset = offset
            self._stepped_since = None
        elif self._stepped_since is None or abs(offset - self._stepped_offset) >= MIN_STEP_SECONDS:
            self._stepped_since, self._stepped_offset = steady_now, offset
        elif steady_now - self._stepped_since >= STEP_CONFIRM_SECONDS:
            self._offset, self._stepped_since = offset, None
        return steady_now + self._offset
