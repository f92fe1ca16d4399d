"""VMs that are drained, until they are empty."""

from collections.abc import Callable, Collection, Sequence

from coltsfoothead.coordination.membership import upstreams

__all__ = ["Retiring"]

# An entry routes to an upstream for 2 s after its last renewal; the third second covers the
# period of the reports.
EMPTY_SECONDS = 3.0
# Entries may see an upstream that is cut off from this daemon, so its silence proves little.
ABSENT_SECONDS = 30.0


class Retiring:
    """Follows the VMs that are drained.

    Parameters
    ----------
    clock : callable
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._idle_since: dict[str, float | None] = {}
        self._absent_since: dict[str, float | None] = {}

    @property
    def vms(self) -> Collection[str]:
        """The VMs that are drained."""
        return self._idle_since.keys()

    def add(self, vm: str) -> None:
        """Begins to drain a VM."""
        self._idle_since.setdefault(vm, None)
        self._absent_since.setdefault(vm, None)

    def keep(self, listed: Collection[str]) -> None:
        """Forgets the VMs that the cloud's list no longer shows."""
        for vm in self.vms - listed:
            del self._idle_since[vm], self._absent_since[vm]

    def clear(self) -> None:
        """Forgets all VMs."""
        self._idle_since.clear()
        self._absent_since.clear()

    def is_empty(self, vm: str, served: Sequence[upstreams.Upstream]) -> bool:
        """Returns whether the VM serves nothing and has been idle for long enough."""
        now = self._clock()
        idle = served and not any(
            record.models or record.load.running or record.load.waiting for record in served
        )
        self._idle_since[vm] = (self._idle_since[vm] or now) if idle else None
        self._absent_since[vm] = None if served else self._absent_since[vm] or now
        return _lasts(self._idle_since[vm], EMPTY_SECONDS, now) or _lasts(
            self._absent_since[vm], ABSENT_SECONDS, now
        )


def _lasts(since: float | None, seconds: float, now: float) -> bool:
    return since is not None and now - since >= seconds
