"""Directory of upstreams: the authoritative one at the leader, and copies at other processes."""

import asyncio
import dataclasses
from collections.abc import Callable, Mapping

from coltsfoothead.daemon.gateway import clock, exchange
from coltsfoothead.kernel.traffic import upstreams

__all__ = ["Directory", "DirectoryCopy"]

# An upstream counts as lost after this many intervals without an announcement. Announcements may
# arrive seconds late; one that is not answered is repeated at another process within a second.
LOST_AFTER_INTERVALS = 3.5
# How long the record of a gone or lost upstream is kept, so that a delayed older announcement is
# recognised as such. A network partition can delay announcements for as long as it lasts.
TOMBSTONE_SECONDS = 60.0
# A copy that lags by more changes gets the full directory instead of the changes.
MAX_INCREMENTAL_CHANGES = 512
# Time from a copy's first update within which all running upstreams announce themselves: one
# announcement interval, and half of one for calls made while control processes were still starting.
DISCOVERY_SECONDS = 1.0
# Number of records from which on no unknown upstream of an unlisted service is added.
MAX_RECORDS_WITH_UNLISTED = 4096
# Sequence number of a record that follows every announcement after the same start.
LAST_SEQUENCE = 2**63 - 1

# Within one start, an upstream never returns to a state with a lower number.
_STATE_ORDER = {
    upstreams.State.READY: 0,
    upstreams.State.LOST: 0,
    upstreams.State.DRAINING: 1,
    upstreams.State.GONE: 2,
}


@dataclasses.dataclass(slots=True)
class _Record:
    upstream: upstreams.Upstream
    updated_at: float
    change_number: int


class Directory:
    """The authoritative directory, which the leader builds from the upstreams' announcements.

    Parameters
    ----------
    leadership_id : str
        Identifies one leader's term. Change numbers of different terms are not comparable.
    announcement_interval_seconds : float
        Interval at which an upstream announces itself.
    inherited : mapping of str to Upstream
        Records from this process's copy as a follower. An upstream that does not announce itself
        to the new leader in time is marked as lost.
    now : float
        Steady time in seconds.
    """

    def __init__(
        self,
        leadership_id: str,
        announcement_interval_seconds: float,
        inherited: Mapping[str, upstreams.Upstream],
        now: float,
    ) -> None:
        self._leadership_id = leadership_id
        self._lost_after_seconds = LOST_AFTER_INTERVALS * announcement_interval_seconds
        self._change_number = 1
        # Steady times of the latest announcements by service and software version.
        self._versions: dict[tuple[str, str], float] = {}
        self._records = {name: _Record(each, now, 1) for name, each in inherited.items()}

    @property
    def leadership_id(self) -> str:
        """ID of the leader's term."""
        return self._leadership_id

    @property
    def change_number(self) -> int:
        """Number of the newest change."""
        return self._change_number

    @property
    def records(self) -> list[upstreams.Upstream]:
        """The newest record of every upstream, including gone and lost ones."""
        return [record.upstream for record in self._records.values()]

    def announce(self, upstream: upstreams.Upstream, now: float) -> bool:
        """Applies an announcement; returns whether it is a change that the copies need."""
        return self._announce(upstream, now, claims_address=True)

    def announce_unlisted(self, upstream: upstreams.Upstream, now: float) -> bool:
        """Applies an announcement of a service that the document in force does not name.

        The document may have left the service out for a while, so that a known upstream of it is
        kept up to date, and an unknown one is recorded once it drains. Nothing else is changed, as
        the announcement may be malformed: it takes neither the ID nor the address of an upstream.

        Returns
        -------
        bool
            Whether it is a change that the copies need.
        """
        known = self._records.get(upstream.id)
        if known is None:
            drains = upstream.state is upstreams.State.DRAINING
            if not drains or len(self._records) >= MAX_RECORDS_WITH_UNLISTED:
                return False
        elif known.upstream.service != upstream.service:
            return False
        return self._announce(upstream, now, claims_address=False)

    def _announce(self, upstream: upstreams.Upstream, now: float, claims_address: bool) -> bool:
        known = self._records.get(upstream.id)
        if known is not None:
            if upstream.recency_key < known.upstream.recency_key:
                return False
            same_start = upstream.born == known.upstream.born
            if same_start and known.upstream.state is upstreams.State.GONE and upstream.born:
                # An upstream's start ends only once; this announcement was sent before the end.
                return False
            same_service = known.upstream.service in ("", upstream.service)
            if same_start and same_service and known.upstream.state is upstreams.State.DRAINING:
                # A draining upstream never becomes ready again within the same start.
                upstream = dataclasses.replace(upstream, state=upstreams.State.DRAINING)
        if claims_address and self._address_taken(upstream):
            return False
        self._versions[upstream.service, upstream.version] = now
        if known is not None and _stable_fields(known.upstream) == _stable_fields(upstream):
            known.upstream, known.updated_at = upstream, now
            return False
        self._change(upstream, now)
        return True

    def withdraw(self, upstream_id: str, born: int, now: float) -> bool:
        """Marks an upstream as gone; returns whether that changed its record.

        Parameters
        ----------
        upstream_id : str
        born : int
            The start that ended, or 0 for the current one. The end of an older start is ignored.
        now : float
        """
        known = self._records.get(upstream_id)
        start = born or (known.upstream.born if known is not None else 0)
        if known is None:
            return self.restore_end(upstream_id, start, upstreams.State.GONE, now)
        if start < known.upstream.born:
            return False
        if known.upstream.state is upstreams.State.GONE and start == known.upstream.born:
            return False
        # Copies may hold later announcements of the start than this leader has heard.
        sequence = LAST_SEQUENCE if start else known.upstream.sequence
        gone = dataclasses.replace(
            known.upstream, state=upstreams.State.GONE, born=start, sequence=sequence
        )
        self._change(gone, now)
        return True

    def drain(self, upstream_id: str, born: int, now: float) -> bool:
        """Marks an upstream as draining that said so in an answer; returns whether that is new.

        Parameters
        ----------
        upstream_id : str
        born : int
            The start that ends. That of another start is ignored.
        now : float
        """
        known = self._records.get(upstream_id)
        if known is None or known.upstream.born != born:
            return False
        if known.upstream.state not in (upstreams.State.READY, upstreams.State.LOST):
            return False
        draining = dataclasses.replace(known.upstream, state=upstreams.State.DRAINING)
        updated_at = known.updated_at
        self._change(draining, now)
        self._records[upstream_id].updated_at = updated_at
        return True

    def restore_end(self, upstream_id: str, born: int, state: upstreams.State, now: float) -> bool:
        """Records that a start drains or is gone, of which this directory may know nothing.

        An announcement that was delayed since before the end is recognised by it.

        Parameters
        ----------
        upstream_id : str
        born : int
            The start; 0 changes nothing.
        state : State
            `DRAINING` or `GONE`.
        now : float

        Returns
        -------
        bool
            Whether that changed the record.
        """
        known = self._records.get(upstream_id)
        if not born:
            return False
        if known is None or 0 < known.upstream.born < born:
            sequence = LAST_SEQUENCE if state is upstreams.State.GONE else 0
            ended = upstreams.Upstream(upstream_id, "", "", "", 1, state, born, sequence)
            self._change(ended, now)
            return True
        same_start = known.upstream.born == born
        if not same_start or _STATE_ORDER[state] <= _STATE_ORDER[known.upstream.state]:
            return False
        self._change(dataclasses.replace(known.upstream, state=state), now)
        return True

    def upstream(self, upstream_id: str) -> upstreams.Upstream | None:
        """Returns the newest record of an upstream, or None if it is not known."""
        known = self._records.get(upstream_id)
        return known.upstream if known is not None else None

    def zone_of(self, upstream_id: str) -> str | None:
        """Returns the zone of an upstream, or None if it is not known."""
        known = self._records.get(upstream_id)
        return known.upstream.zone if known is not None else None

    def versions_since(self, service: str, since: float) -> set[str]:
        """Returns the software versions that upstreams of a service have announced since then."""
        versions = {
            version
            for (name, version), announced_at in self._versions.items()
            if name == service and announced_at >= since
        }
        # A silent upstream may still have served since its last announcement.
        return versions | {each.version for each in self.records if each.service == service}

    def expire(self, now: float) -> list[upstreams.Upstream]:
        """Marks silent upstreams as lost, removes old tombstones; returns the lost ones."""
        lost = []
        for key, announced_at in list(self._versions.items()):
            if now - announced_at > TOMBSTONE_SECONDS:
                del self._versions[key]
        for name, record in list(self._records.items()):
            silent_seconds = now - record.updated_at
            if record.upstream.state in (upstreams.State.GONE, upstreams.State.LOST):
                if silent_seconds > TOMBSTONE_SECONDS:
                    del self._records[name]
            elif silent_seconds > self._lost_after_seconds:
                lost.append(record.upstream)
                self._change(dataclasses.replace(record.upstream, state=upstreams.State.LOST), now)
        return lost

    def postpone_expiry(self, seconds: float, now: float) -> None:
        """Does not count time in which no announcement could arrive as silence of upstreams."""
        for record in self._records.values():
            record.updated_at = min(now, record.updated_at + seconds)

    def update_since(self, version: tuple[str, int]) -> exchange.DirectoryUpdate:
        """Returns the changes since a copy's version, its leadership ID and change number."""
        leadership_id, number = version
        send_all = (
            leadership_id != self._leadership_id
            or self._change_number - number > MAX_INCREMENTAL_CHANGES
        )
        changed = tuple(
            record.upstream
            for record in self._records.values()
            if send_all or record.change_number > number
        )
        return exchange.DirectoryUpdate(self._leadership_id, self._change_number, send_all, changed)

    def _address_taken(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether a newer upstream has this address; marks older ones there as gone."""
        for record in list(self._records.values()):
            other = record.upstream
            if other.id == upstream.id or other.address != upstream.address:
                continue
            if other.state is upstreams.State.GONE:
                continue
            if other.born > upstream.born:
                return True
            if other.born < upstream.born:
                gone = dataclasses.replace(other, state=upstreams.State.GONE)
                self._change(gone, record.updated_at)
        return False

    def _change(self, upstream: upstreams.Upstream, now: float) -> None:
        self._change_number += 1
        self._records[upstream.id] = _Record(upstream, now, self._change_number)


def _stable_fields(upstream: upstreams.Upstream) -> upstreams.Upstream:
    """Returns the record without the fields that change with every announcement."""
    return dataclasses.replace(upstream, sequence=0, warm_in_seconds=0.0, leaves_in_seconds=None)


class DirectoryCopy:
    """Copy of the directory at a process that is not the leader.

    Parameters
    ----------
    retention_seconds : float, optional
        Time since the last update of an earlier leader for which upstreams are kept that a new
        leader does not list. It has not heard them yet, which does not mean that they are silent.
    """

    def __init__(self, retention_seconds: float = 0.0) -> None:
        self._retention_seconds = retention_seconds
        # Upstreams that the current leader has not listed, and until when they are kept.
        self._unlisted: set[str] = set()
        self._unlisted_until = float("-inf")
        self._updated_at = self._confirmed_at = float("-inf")
        self._version = ("", 0)
        self._upstreams: dict[str, upstreams.Upstream] = {}
        self._listeners: list[Callable[[upstreams.Upstream], None]] = []
        self._first_update_at: float | None = None
        self._changed = asyncio.Event()

    @property
    def version(self) -> tuple[str, int]:
        """Leadership ID and change number of this copy."""
        return self._version

    @property
    def records(self) -> Mapping[str, upstreams.Upstream]:
        """The newest record of every upstream by ID."""
        return self._upstreams

    def add_listener(self, listener: Callable[[upstreams.Upstream], None]) -> None:
        """Registers a callback for the new record of every upstream that changes."""
        self._listeners.append(listener)

    def age_seconds(self, now: float) -> float:
        """Returns the time since this copy matched the leader's directory."""
        return now - self._confirmed_at

    def receive(self, update: exchange.DirectoryUpdate, requested_at: float | None = None) -> None:
        """Applies an update from the leader.

        Parameters
        ----------
        update : DirectoryUpdate
        requested_at : float, optional
            Steady time at which the update was requested; now by default.

        Notes
        -----
        A new leader may lack the last announcements that its predecessor acknowledged. A record
        that is older than the known one is therefore dropped, and a start that ended stays ended.
        """
        if update.leadership == self._version[0] and update.number < self._version[1]:
            return
        now = clock.steady()
        if update.whole:
            if update.leadership != self._version[0] and not self._unlisted:
                self._unlisted_until = self._updated_at + self._retention_seconds
            self._unlisted = set(self._upstreams)
        for upstream in update.changed:
            self._unlisted.discard(upstream.id)
            self._apply(upstream)
        if self._unlisted and now >= self._unlisted_until:
            for name in self._unlisted:
                self._apply(dataclasses.replace(self._upstreams[name], state=upstreams.State.LOST))
            self._unlisted = set()
        self._updated_at = now
        self._confirmed_at = now if requested_at is None else requested_at
        self._version = (update.leadership, update.number)
        if self._first_update_at is None:
            self._first_update_at = now
        if update.changed:
            self._changed.set()
            self._changed = asyncio.Event()

    async def wait_for_change(self) -> bool:
        """Waits for the next change while upstreams are still being discovered.

        After a restart of all processes the upstreams appear one by one, and without this wait the
        first of them would get all requests.

        Returns
        -------
        bool
            Whether the directory changed; False as soon as the discovery time is over.
        """
        first_at = clock.steady() if self._first_update_at is None else self._first_update_at
        left = first_at + DISCOVERY_SECONDS - clock.steady()
        if left <= 0:
            return False
        try:
            async with asyncio.timeout(left):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True

    def ready_upstreams(self, service_name: str) -> list[upstreams.Upstream]:
        """Returns the upstreams of a service that accept new requests."""
        return [
            upstream
            for upstream in self._upstreams.values()
            if upstream.service == service_name and upstream.state is upstreams.State.READY
        ]

    def _apply(self, upstream: upstreams.Upstream) -> None:
        known = self._upstreams.get(upstream.id)
        if known is not None:
            if upstream == known:
                return
            same_start = known.born and known.born == upstream.born
            advance = _STATE_ORDER[upstream.state] - _STATE_ORDER[known.state]
            if upstream.recency_key < known.recency_key:
                if not same_start or advance <= 0:
                    return
                # The leader knows the end of the start, but has not heard all announcements of it.
                upstream = dataclasses.replace(known, state=upstream.state)
            gone = known.state is upstreams.State.GONE
            same_service = known.service in ("", upstream.service)
            if same_start and advance < 0 and (gone or same_service):
                return
        self._upstreams[upstream.id] = upstream
        for listener in self._listeners:
            listener(upstream)
