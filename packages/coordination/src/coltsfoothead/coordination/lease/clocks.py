"""Lease timing: when the leader may expire a lease, and how long a holder may use it."""

from collections.abc import Iterable

from coltsfoothead.coordination import clock
from coltsfoothead.coordination.lease import commands

__all__ = ["LeaseExpiryTracker", "LeaseHolder", "unfenced_wait_seconds"]

# Leaves time for two more attempts within the time to live.
_RENEW_TTL_FRACTION = 1 / 3


class LeaseExpiryTracker:
    """Leader side: determines which leases may be expired by an `Expire` command.

    Parameters
    ----------
    drift : float
        Largest rate error of any clock against true time.

    Notes
    -----
    A lease may be expired ``ttl * (1 + drift)`` seconds after this leader applied its last
    renewal. A new leader does not know when its predecessor applied it, and therefore counts from
    its own election.
    """

    def __init__(self, drift: float = clock.MAX_DRIFT) -> None:
        self._drift = drift
        self._is_leader = False
        self._renewals: dict[str, tuple[commands.Lease, float]] = {}

    def start_leading(self, now: float, leases: Iterable[commands.Lease]) -> None:
        """Starts tracking after an election; every lease in force gets its full time to live."""
        self._is_leader = True
        self._renewals = {lease.resource: (lease, now) for lease in leases}

    def stop_leading(self) -> None:
        """Stops tracking until the next election."""
        self._is_leader = False
        self._renewals = {}

    def record_applied(self, now: float, resource: str, lease: commands.Lease | None) -> None:
        """Records the lease of a resource, or None, after a command on it was applied.

        Notes
        -----
        A lease whose last renewal is already recorded keeps its deadline, so calls after refused
        and repeated commands have no effect.
        """
        if not self._is_leader:
            return
        if lease is None:
            self._renewals.pop(resource, None)
            return
        known = self._renewals.get(resource)
        if known is None or known[0].renewal != lease.renewal:
            self._renewals[resource] = (lease, now)

    def due_expirations(self, now: float) -> list[commands.Expire]:
        """Returns the `Expire` commands that may be proposed now; repeating one is harmless."""
        return [
            commands.Expire(lease.resource, lease.fence, lease.renewal)
            for lease, renewed_at in self._renewals.values()
            if now - renewed_at >= lease.ttl * (1 + self._drift)
        ]


class LeaseHolder:
    """Holder side: determines how long the holder of one resource may use its lease.

    Parameters
    ----------
    drift : float
        Largest rate error of any clock against true time.

    Notes
    -----
    The time to live is counted from the moment at which the request was sent, and ends after
    ``ttl * (1 - drift)`` seconds. The caller records that moment and passes it in with the answer.
    """

    def __init__(self, drift: float = clock.MAX_DRIFT) -> None:
        self._drift = drift
        self._fence = 0
        self._ended_fence = 0
        self._requested_at = 0.0
        self._ttl = 0.0

    @property
    def fence(self) -> int:
        """Fencing number of the newest grant, or 0 before the first one."""
        return self._fence

    def extend(self, requested_at: float, answer: commands.Granted | commands.Renewed) -> None:
        """Starts or extends the lease by the answer to a request sent at `requested_at`."""
        if answer.fence < self._fence:
            return
        if answer.fence > self._fence:
            self._fence = answer.fence
            self._requested_at = requested_at
        self._requested_at = max(self._requested_at, requested_at)
        self._ttl = answer.ttl

    def mark_ended(self) -> None:
        """Ends the lease under its present fencing number: before a release, or on `NotHeld`."""
        self._ended_fence = self._fence

    def remaining(self, now: float) -> float:
        """Returns the seconds for which the lease may still be used."""
        if self._fence <= self._ended_fence:
            return 0.0
        return max(0.0, self._requested_at + self._ttl * (1 - self._drift) - now)

    def is_held(self, now: float) -> bool:
        """Whether the lease may be used at `now`."""
        return self.remaining(now) > 0

    def should_renew(self, now: float) -> bool:
        """Whether a `Renew` is due."""
        return self.is_held(now) and now - self._requested_at >= self._ttl * _RENEW_TTL_FRACTION


def unfenced_wait_seconds(
    max_ttl_seconds: float, command_timeout_seconds: float, drift: float = clock.MAX_DRIFT
) -> float:
    """Returns how long a new holder waits before it commands an upstream without fencing.

    Parameters
    ----------
    max_ttl_seconds : float
        Longest time to live that any holder of the resource uses, in seconds.
    command_timeout_seconds : float
        Seconds after which no command of the previous holder is still in flight.

    Notes
    -----
    A new lease is granted only after the previous one has ended by the clock of its holder. A
    previous holder that was suspended between its check and its command can still send it late;
    the additional time to live covers a suspension of up to that length.
    """
    return max_ttl_seconds * (1 + drift) + command_timeout_seconds
