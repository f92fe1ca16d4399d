"""Clocks of the gateway's programs."""

import time

__all__ = ["WallClock", "steady"]

# The wall clock is followed once it has stayed at a new offset for this long; shorter steps are
# undone by whoever made them.
SETTLE_SECONDS = 20.0
# Difference of the wall clock from the steady one that counts as a step.
STEP_SECONDS = 0.2


def steady() -> float:
    """Returns seconds that also count while the VM is suspended.

    Leases are measured by it: a process that was suspended must not take an old lease for a
    fresh one.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class WallClock:
    """Wall-clock time that ignores steps which are undone soon after."""

    def __init__(self) -> None:
        self._offset = time.time() - steady()
        self._stepped_since: float | None = None
        self._stepped_to = 0.0

    def now(self) -> float:
        """Returns seconds since the start of 1970."""
        at = steady()
        offset = time.time() - at
        if abs(offset - self._offset) < STEP_SECONDS:
            self._offset = offset
            self._stepped_since = None
        elif self._stepped_since is None or abs(offset - self._stepped_to) >= STEP_SECONDS:
            self._stepped_since, self._stepped_to = at, offset
        elif at - self._stepped_since >= SETTLE_SECONDS:
            self._offset, self._stepped_since = offset, None
        return at + self._offset
