"""Upstreams that fall over if they have to reject too many requests for want of room.

A brittle upstream names in its answers how many rejections a second it survives. All entries
together have to stay below that, so that what one has heard is reported to the leader, which tells
the others. An entry sends to a brittle upstream only while it has free slots, and not for a while
after it has rejected a request of any entry.
"""

import dataclasses
from collections.abc import Iterable

from coltsfoothead.kernel.traffic import placement, requestlimits, upstreams

__all__ = ["BrittleTable", "Rejection"]

# Slots of a brittle upstream that are used. Loads of other entries are up to one exchange old.
USED_SLOT_FRACTION = 0.7
# Loads of other entries that are older do not count as known.
LOAD_MAX_AGE_SECONDS = 1.0
# Time after a rejection within which no request is sent. Rejections count within one second.
PAUSE_SECONDS = 1.3
# Bound of the memory and messages that faulty upstreams can cause.
MAX_REJECTIONS = 512


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """The latest rejection by a brittle upstream.

    Attributes
    ----------
    upstream_id : str
    age_seconds : float
    """

    upstream_id: str
    age_seconds: float


class BrittleTable:
    """Brittle upstreams and their latest rejections, as one process knows them."""

    def __init__(self) -> None:
        # The number is that of rejections a second, which spreads like a limit of the requests.
        self._tolerances = requestlimits.LimitTable()
        self._rejected_at: dict[str, float] = {}

    def record_answer(self, upstream_id: str, tolerated: float | None, now: float) -> bool:
        """Records what an answer says; returns whether it changes what is known.

        Parameters
        ----------
        upstream_id : str
        tolerated : float or None
            Rejections a second that the upstream survives; None if it is not brittle.
        now : float
        """
        return self._tolerances.record(upstream_id, tolerated, now)

    def record_rejection(self, upstream_id: str, now: float) -> None:
        """Records that an upstream rejected a request for want of room."""
        if self.is_brittle(upstream_id):
            self._put(upstream_id, now)

    def is_brittle(self, upstream_id: str) -> bool:
        """Returns whether an upstream is brittle."""
        return self._tolerances.rate(upstream_id) is not None

    def tolerances(self, now: float) -> tuple[requestlimits.NamedLimit, ...]:
        """Returns what is known, also of upstreams that are no longer brittle."""
        return self._tolerances.limits(now)

    def rejections(self, now: float) -> tuple[Rejection, ...]:
        """Returns the rejections that still keep requests away."""
        if not self._rejected_at:
            return ()
        self._rejected_at = {
            name: at for name, at in self._rejected_at.items() if now - at < PAUSE_SECONDS
        }
        return tuple(Rejection(name, now - at) for name, at in self._rejected_at.items())

    def merge(
        self,
        tolerances: Iterable[requestlimits.NamedLimit],
        rejections: Iterable[Rejection],
        now: float,
    ) -> None:
        """Merges what another process knows; repeated and older messages change nothing."""
        self._tolerances.merge(tolerances, now)
        for each in rejections:
            at = now - each.age_seconds
            if at > self._rejected_at.get(each.upstream_id, float("-inf")):
                self._put(each.upstream_id, at)

    def may_send(
        self,
        upstream: upstreams.Upstream,
        own: placement.Load,
        total: placement.Load,
        load_age_seconds: float,
        entries: int,
        now: float,
    ) -> bool:
        """Returns whether a request may be sent to an upstream without risk of a rejection.

        Parameters
        ----------
        upstream : Upstream
        own, total : Load
            Requests in flight of this entry and of all entries.
        load_age_seconds : float
            Age of what is known of the other entries' requests.
        entries : int
            Number of entries that share the upstream's slots.
        now : float
        """
        if not self.is_brittle(upstream.id):
            return True
        if now - self._rejected_at.get(upstream.id, float("-inf")) < PAUSE_SECONDS:
            return False
        slots = USED_SLOT_FRACTION * upstream.slots
        if load_age_seconds > LOAD_MAX_AGE_SECONDS:
            return own.running + own.waiting + 1 <= slots / max(1, entries)
        return total.running + total.waiting + 1 <= slots

    def _put(self, upstream_id: str, at: float) -> None:
        self._rejected_at[upstream_id] = at
        while len(self._rejected_at) > MAX_REJECTIONS:
            del self._rejected_at[min(self._rejected_at, key=self._rejected_at.__getitem__)]
