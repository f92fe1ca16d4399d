"""Clocks of leases: when the leader may end one, and how long a holder may act on one."""

from collections.abc import Iterable

from coltsfoothead.coordination import clock
from coltsfoothead.coordination.lease import commands

__all__ = ["LeaseHolder", "LeaseKeeper", "fence_wait"]

# Leaves two further tries within the time to live.
_RENEW_AT = 1 / 3


class LeaseKeeper:
    """Leader side: decides when an `Expire` may be proposed.

    Parameters
    ----------
    drift : float
        Largest rate error of any clock against true time.

    Notes
    -----
    A lease may end ``ttl * (1 + drift)`` after this leader applied its last renewal. A new leader
    does not know when its predecessor applied it, and counts from its own election.
    """

    def __init__(self, drift: float = clock.MAX_DRIFT) -> None:
        self._drift = drift
        self._leading = False
        self._seen: dict[str, tuple[commands.Lease, float]] = {}

    def elected(self, now: float, leases: Iterable[commands.Lease]) -> None:
        """Starts a full period for every lease in force."""
        self._leading = True
        self._seen = {lease.resource: (lease, now) for lease in leases}

    def deposed(self) -> None:
        """Ends all decisions until the next election."""
        self._leading = False
        self._seen = {}

    def applied(self, now: float, resource: str, lease: commands.Lease | None) -> None:
        """Takes a resource's lease (or its absence) after a command on it was applied.

        Notes
        -----
        A lease whose last renewal is known keeps its deadline, so it is harmless to call this
        after refused and repeated commands.
        """
        if not self._leading:
            return
        if lease is None:
            self._seen.pop(resource, None)
            return
        seen = self._seen.get(resource)
        if seen is None or seen[0].renewal != lease.renewal:
            self._seen[resource] = (lease, now)

    def due(self, now: float) -> list[commands.Expire]:
        """Returns the commands that may be proposed now; proposing one twice is harmless."""
        return [
            commands.Expire(lease.resource, lease.fence, lease.renewal)
            for lease, since in self._seen.values()
            if now - since >= lease.ttl * (1 + self._drift)
        ]


class LeaseHolder:
    """Holder side of one resource.

    Parameters
    ----------
    drift : float
        Largest rate error of any clock against true time.

    Notes
    -----
    The holder counts from before it asked and stops at ``ttl * (1 - drift)``. The caller keeps the
    moment at which it asked and gives it back with the answer.
    """

    def __init__(self, drift: float = clock.MAX_DRIFT) -> None:
        self._drift = drift
        self._fence = 0
        self._ended_fence = 0
        self._asked_at = 0.0
        self._ttl = 0.0

    @property
    def fence(self) -> int:
        """Fencing number of the newest grant, or 0."""
        return self._fence

    def granted(self, asked_at: float, answer: commands.Granted | commands.Renewed) -> None:
        """Takes the answer to a `Grant` or `Renew` that was asked at `asked_at`."""
        if answer.fence < self._fence:
            return
        if answer.fence > self._fence:
            self._fence = answer.fence
            self._asked_at = asked_at
        self._asked_at = max(self._asked_at, asked_at)
        self._ttl = answer.ttl

    def ended(self) -> None:
        """Stops holding for good under the present number: before a release, or on `NotHeld`."""
        self._ended_fence = self._fence

    def remaining(self, now: float) -> float:
        """Returns the seconds for which the resource may still be acted on."""
        if self._fence <= self._ended_fence:
            return 0.0
        return max(0.0, self._asked_at + self._ttl * (1 - self._drift) - now)

    def held(self, now: float) -> bool:
        """Whether the resource may be acted on at `now`."""
        return self.remaining(now) > 0

    def should_renew(self, now: float) -> bool:
        """Whether to send a `Renew`."""
        return self.held(now) and now - self._asked_at >= self._ttl * _RENEW_AT


def fence_wait(longest_ttl: float, order_seconds: float, drift: float = clock.MAX_DRIFT) -> float:
    """Returns how long a new holder waits before it orders an upstream that ignores fences.

    Parameters
    ----------
    longest_ttl : float
        Longest time to live that any holder of the resource uses, in seconds.
    order_seconds : float
        Time after which the previous holder's orders are no longer under way.

    Notes
    -----
    The log grants only after the old holder's period is over by its own clock. An old holder that
    was suspended between its check and its order can still be late; the further period covers a
    suspension of up to one time to live.
    """
    return longest_ttl * (1 + drift) + order_seconds
