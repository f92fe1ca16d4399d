"""Tracks draining VMs until they are idle and can be stopped."""

from collections.abc import Callable, Collection, Sequence

from coltsfoothead.coordination.membership import upstreams

__all__ = ["DrainTracker"]

# An entry daemon routes requests to an upstream for 2 s after its last renewal; the third second
# covers the interval between load reports.
IDLE_BEFORE_STOP_SECONDS = 3.0
# Entry daemons may still reach an upstream that is cut off from this daemon, so a missing record is
# weak evidence that the VM serves nothing and has to persist for longer.
ABSENT_BEFORE_STOP_SECONDS = 30.0


class DrainTracker:
    """Tracks which VMs are draining, and for how long each has been idle or without a record.

    Parameters
    ----------
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._idle_since: dict[str, float | None] = {}
        self._absent_since: dict[str, float | None] = {}

    @property
    def vms(self) -> Collection[str]:
        """IDs of the draining VMs."""
        return self._idle_since.keys()

    def add(self, vm: str) -> None:
        """Starts to track a draining VM."""
        self._idle_since.setdefault(vm, None)
        self._absent_since.setdefault(vm, None)

    def retain(self, listed: Collection[str]) -> None:
        """Drops the VMs that are missing from the cloud's list."""
        for vm in self.vms - listed:
            del self._idle_since[vm], self._absent_since[vm]

    def clear(self) -> None:
        """Drops all VMs."""
        self._idle_since.clear()
        self._absent_since.clear()

    def can_stop(self, vm: str, records: Sequence[upstreams.Upstream]) -> bool:
        """Returns whether the VM has been idle, or without upstream records, for long enough.

        `records` are the routable upstreams on the VM.
        """
        now = self._clock()
        idle = records and not any(
            record.models or record.load.running or record.load.waiting for record in records
        )
        self._idle_since[vm] = (self._idle_since[vm] or now) if idle else None
        self._absent_since[vm] = None if records else self._absent_since[vm] or now
        return _has_lasted(self._idle_since[vm], IDLE_BEFORE_STOP_SECONDS, now) or _has_lasted(
            self._absent_since[vm], ABSENT_BEFORE_STOP_SECONDS, now
        )


def _has_lasted(since: float | None, seconds: float, now: float) -> bool:
    return since is not None and now - since >= seconds
