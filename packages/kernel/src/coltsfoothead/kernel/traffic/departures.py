"""Upstreams that say in their answers that they leave, or that they want a pause."""

import dataclasses
from collections.abc import Iterable

from coltsfoothead.kernel.traffic import upstreams

__all__ = ["Departure", "DepartureTable", "PauseTable"]

# A departure is forgotten after this time; by then all processes know that the upstream drains.
RETENTION_SECONDS = 60.0
# Bound of the memory and messages that faulty upstreams can cause.
MAX_UPSTREAMS = 512


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """An upstream said that it leaves.

    Attributes
    ----------
    upstream_id : str
    born : int
        The start of the upstream that ends; a later start under the same ID serves again.
    """

    upstream_id: str
    born: int


class DepartureTable:
    """Departures that one entry has heard of in answers."""

    def __init__(self) -> None:
        self._heard: dict[Departure, float] = {}

    def record(self, upstream: upstreams.Upstream, now: float) -> bool:
        """Records that an upstream leaves; returns whether that is new."""
        departure = Departure(upstream.id, upstream.born)
        if departure in self._heard:
            return False
        self._heard[departure] = now
        while len(self._heard) > MAX_UPSTREAMS:
            del self._heard[next(iter(self._heard))]
        return True

    def leaves(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether an upstream has said that it leaves."""
        return Departure(upstream.id, upstream.born) in self._heard

    def report(self, now: float) -> tuple[Departure, ...]:
        """Returns the departures for the leader; each is repeated until it is forgotten."""
        expired = [each for each, at in self._heard.items() if now - at > RETENTION_SECONDS]
        for each in expired:
            del self._heard[each]
        return tuple(self._heard)


class PauseTable:
    """Pauses that upstreams have asked one entry for."""

    def __init__(self) -> None:
        self._until: dict[Departure, float] = {}

    def record(self, upstream: upstreams.Upstream, seconds: float, now: float) -> None:
        """Records that an upstream wants no requests of this entry for some seconds."""
        key = Departure(upstream.id, upstream.born)
        self._until[key] = max(now + seconds, self._until.pop(key, now))
        self._until = {each: until for each, until in self._until.items() if until > now}
        while len(self._until) > MAX_UPSTREAMS:
            del self._until[min(self._until, key=self._until.__getitem__)]

    def remaining_seconds(self, upstream: upstreams.Upstream, now: float) -> float:
        """Returns how long an upstream still wants no requests; 0 without a pause."""
        if not self._until:
            return 0.0
        return max(0.0, self._until.get(Departure(upstream.id, upstream.born), now) - now)

    def shortest_seconds(self, group: Iterable[upstreams.Upstream], now: float) -> float:
        """Returns the time until the first of some upstreams accepts requests again."""
        return min((self.remaining_seconds(each, now) for each in group), default=0.0)
