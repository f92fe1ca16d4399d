"""Directory of upstreams: the leader's, which orders announcements, and the others' copies."""

import asyncio
import dataclasses
from collections.abc import Callable, Mapping

from coltsfoothead.daemon.gateway import clock, exchange
from coltsfoothead.kernel.traffic import upstreams

__all__ = ["Directory", "DirectoryCopy"]

# An upstream is taken for lost after this many intervals without an announcement. Announcements
# may come seconds late, and a lost one is repeated at another process within a second.
SILENT_INTERVALS = 3.5
# How long the last word of an upstream that is gone is kept, so that a delayed earlier one is
# recognised. Delayed announcements come within the time of a partition.
REMEMBER_SECONDS = 60.0
# Changes kept for updates; a copy that is further behind gets the whole directory.
CHANGES_KEPT = 512
# Time from a copy's first update in which upstreams that are there announce themselves: one
# interval, and half a one for calls that found the control processes still starting.
FILLING_SECONDS = 1.0


@dataclasses.dataclass(slots=True)
class _Entry:
    upstream: upstreams.Upstream
    heard_at: float
    changed: int


class Directory:
    """The leader's directory.

    Parameters
    ----------
    leadership : str
        Unique to one leader's term; change numbers of another one mean nothing here.
    interval_seconds : float
        Interval of the announcements.
    inherited : mapping of str to Upstream
        What this process knew as a follower. It has to be confirmed by an announcement soon.
    now : float
    """

    def __init__(
        self,
        leadership: str,
        interval_seconds: float,
        inherited: Mapping[str, upstreams.Upstream],
        now: float,
    ) -> None:
        self._leadership = leadership
        self._silent_seconds = SILENT_INTERVALS * interval_seconds
        self._number = 1
        self._entries = {name: _Entry(each, now, 1) for name, each in inherited.items()}

    @property
    def records(self) -> list[upstreams.Upstream]:
        """The newest word of every upstream, also of those that are gone."""
        return [entry.upstream for entry in self._entries.values()]

    def announce(self, upstream: upstreams.Upstream, now: float) -> bool:
        """Takes an announcement; returns whether it changed what the others need to know."""
        known = self._entries.get(upstream.id)
        if known is not None:
            if upstream.recency_key < known.upstream.recency_key:
                return False
            same_start = upstream.born == known.upstream.born
            if same_start and known.upstream.state is upstreams.State.GONE and upstream.born:
                # A start ends once; this announcement was sent before its end.
                return False
            if same_start and known.upstream.state is upstreams.State.DRAINING:
                # An upstream that leaves never comes back under the same start.
                upstream = dataclasses.replace(upstream, state=upstreams.State.DRAINING)
        if self._address_taken(upstream):
            return False
        if known is not None and _matters(known.upstream) == _matters(upstream):
            known.upstream, known.heard_at = upstream, now
            return False
        self._change(upstream, now)
        return True

    def withdraw(self, upstream_id: str, born: int, now: float) -> bool:
        """Takes an upstream's word that it is gone; returns whether it was known before."""
        known = self._entries.get(upstream_id)
        if known is None or known.upstream.state is upstreams.State.GONE:
            return False
        if born and born < known.upstream.born:
            return False
        self._change(dataclasses.replace(known.upstream, state=upstreams.State.GONE), now)
        return True

    def expire(self, now: float) -> list[upstreams.Upstream]:
        """Takes silent upstreams for lost and forgets old ones; returns the lost ones."""
        lost = []
        for name, entry in list(self._entries.items()):
            silent = now - entry.heard_at
            if entry.upstream.state in (upstreams.State.GONE, upstreams.State.LOST):
                if silent > REMEMBER_SECONDS:
                    del self._entries[name]
            elif silent > self._silent_seconds:
                lost.append(entry.upstream)
                self._change(dataclasses.replace(entry.upstream, state=upstreams.State.LOST), now)
        return lost

    def update(self, have: tuple[str, int]) -> exchange.DirectoryUpdate:
        """Returns what a copy needs that has this leadership and change number."""
        leadership, number = have
        whole = leadership != self._leadership or self._number - number > CHANGES_KEPT
        changed = tuple(
            entry.upstream for entry in self._entries.values() if whole or entry.changed > number
        )
        return exchange.DirectoryUpdate(self._leadership, self._number, whole, changed)

    def _address_taken(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether a younger upstream has the address, and retires older ones there."""
        for entry in list(self._entries.values()):
            other = entry.upstream
            if other.id == upstream.id or other.address != upstream.address:
                continue
            if other.state is upstreams.State.GONE:
                continue
            if other.born > upstream.born:
                return True
            if other.born < upstream.born:
                gone = dataclasses.replace(other, state=upstreams.State.GONE)
                self._change(gone, entry.heard_at)
        return False

    def _change(self, upstream: upstreams.Upstream, now: float) -> None:
        self._number += 1
        self._entries[upstream.id] = _Entry(upstream, now, self._number)


def _matters(upstream: upstreams.Upstream) -> upstreams.Upstream:
    """Returns the announcement without what changes with each one."""
    return dataclasses.replace(upstream, sequence=0, warm_in_seconds=0.0, leaves_in_seconds=None)


class DirectoryCopy:
    """What a process other than the leader knows of the upstreams."""

    def __init__(self) -> None:
        self._have = ("", 0)
        self._upstreams: dict[str, upstreams.Upstream] = {}
        self._listeners: list[Callable[[upstreams.Upstream], None]] = []
        self._first_at: float | None = None
        self._changed = asyncio.Event()

    @property
    def have(self) -> tuple[str, int]:
        """Leadership and change number of this copy."""
        return self._have

    @property
    def records(self) -> Mapping[str, upstreams.Upstream]:
        """The newest word of every upstream by ID."""
        return self._upstreams

    def on_change(self, listener: Callable[[upstreams.Upstream], None]) -> None:
        """Calls `listener` with every upstream that changed."""
        self._listeners.append(listener)

    def receive(self, update: exchange.DirectoryUpdate) -> None:
        """Takes an update of the leader.

        Notes
        -----
        A new leader may have missed the last words that its predecessor acknowledged, so a word
        that is older than the known one is dropped, and an end of a start is final.
        """
        if update.leadership == self._have[0] and update.number < self._have[1]:
            return
        if update.whole:
            named = {upstream.id for upstream in update.changed}
            for name in self._upstreams.keys() - named:
                self._take(dataclasses.replace(self._upstreams[name], state=upstreams.State.LOST))
        for upstream in update.changed:
            self._take(upstream)
        self._have = (update.leadership, update.number)
        if self._first_at is None:
            self._first_at = clock.steady()
        if update.changed:
            self._changed.set()
            self._changed = asyncio.Event()

    async def more(self) -> bool:
        """Waits for the next change if the upstreams are only now announcing themselves.

        Returns False at once when they have had the time to do so. After a restart of all processes
        they appear one by one, and the first would get all requests.
        """
        first_at = clock.steady() if self._first_at is None else self._first_at
        left = first_at + FILLING_SECONDS - clock.steady()
        if left <= 0:
            return False
        try:
            async with asyncio.timeout(left):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True

    def service(self, name: str) -> list[upstreams.Upstream]:
        """Returns the upstreams of a service that take new work."""
        return [
            upstream
            for upstream in self._upstreams.values()
            if upstream.service == name and upstream.state is upstreams.State.READY
        ]

    def _take(self, upstream: upstreams.Upstream) -> None:
        known = self._upstreams.get(upstream.id)
        if known is not None:
            if upstream.recency_key < known.recency_key or upstream == known:
                return
            same_start = known.born and known.born == upstream.born
            if same_start and _STATE_ORDER[upstream.state] < _STATE_ORDER[known.state]:
                return
        self._upstreams[upstream.id] = upstream
        for listener in self._listeners:
            listener(upstream)


# A start never moves back to a lower step.
_STATE_ORDER = {
    upstreams.State.READY: 0,
    upstreams.State.LOST: 0,
    upstreams.State.DRAINING: 1,
    upstreams.State.GONE: 2,
}
