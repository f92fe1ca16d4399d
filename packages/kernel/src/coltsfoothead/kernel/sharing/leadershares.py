"""Division of the room at the leader: from the entries' reports to the shares of each entry.

Beside the division, the leader keeps one token bucket for each limited organisation, as it does for
quotas: entries that admit less than their parts leave it to the others, and what entries have
borrowed is paid back by all.
"""

import dataclasses
from collections.abc import Callable, Mapping

import msgspec

from coltsfoothead.kernel.sharing import averages, division
from coltsfoothead.kernel.sharing import room as room_module
from coltsfoothead.kernel.sharing import work as work_module
from coltsfoothead.kernel.traffic import document, quota

__all__ = ["LeaderShares", "RoomChange", "ServiceState"]

# Interval of the division; several exchanges of an entry.
UPDATE_INTERVAL_SECONDS = 0.25
# Time constant of the demand by organisation, at one entry and at all.
DEMAND_SECONDS = 1.5
# Time from the start of a term in which entries keep the division that they have, and its first
# part, in which the entries report for the first time and nothing is counted.
LISTEN_SECONDS = 1.5
FIRST_REPORTS_SECONDS = 0.6
# Without a report of any entry for this long, this process was suspended or cut off, and listens
# anew: nothing that it missed is a lack of demand.
SUSPENSION_SECONDS = 1.5
# Time for which a service keeps its division while no upstream of it is ready, or this process was
# suspended; upstreams return together after a fault, and what waited for them comes at once.
HELD_SECONDS = 10.0
# Work of entries that have not reported for this long no longer counts.
SILENCE_SECONDS = 2.0
# Time in which the level of an organisation's bucket is granted.
GRANT_SECONDS = 1.0
# Bounds of the granted rate as multiples of the share. What is admitted beyond the lower one shows
# in the backlog, and is not paid back a second time.
LEAST_GRANT = 0.5
MOST_GRANT = 2.0
# Time in which the size of the largest recent request halves, unless another one comes.
LARGEST_HALF_LIFE_SECONDS = 10.0
# Fraction of a demand that a share has to cover, so that the organisation is not limited.
SERVED_WHOLE_FRACTION = 0.98


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceState:
    """What the leader knows of a service beside the reports.

    Attributes
    ----------
    waiting_tokens : int
        Prompt tokens that wait at all its upstreams.
    upstreams : int
        Upstreams that are ready.
    goal_seconds : float
        Objective of the time to the start of an answer.
    waiting_requests : int
        Requests that wait for the start of their answer.
    """

    waiting_tokens: int
    upstreams: int
    goal_seconds: float
    waiting_requests: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RoomChange:
    """A service whose room is short from now on, or no longer; rates in runner-seconds a second."""

    service: str
    short: bool
    room: float
    offered: float
    served: float
    backlog: float
    target_backlog: float
    limited: int


@dataclasses.dataclass(slots=True)
class _Entry:
    reported_at: float
    offered: averages.RateAverages[tuple[str, str]]


class _Service:
    """State of one service."""

    def __init__(self) -> None:
        self.room = room_module.Room()
        self.demand: averages.RateAverages[tuple[str, int]] = averages.RateAverages(DEMAND_SECONDS)
        self.sizes: averages.RateAverages[str] = averages.RateAverages(DEMAND_SECONDS)
        self.limited: dict[str, work_module.OrganisationShare] = {}
        self.held_seconds = 0.0
        self.buckets: dict[str, quota.TokenBucket] = {}
        # Work since the last update.
        self.offered: dict[tuple[str, int], float] = {}
        self.admitted: dict[str, float] = {}
        self.prompt_work = 0.0
        self.requests = 0
        # Work of the largest recent request, decayed with time.
        self.largest = 0.0

    def add(self, report: work_module.ServiceWork) -> None:
        """Adds the work that an entry reports."""
        self.prompt_work += report.prompt_work
        self.requests += report.requests
        self.largest = max(self.largest, report.largest)
        for each in report.ranks:
            key = (each.organisation, each.rank)
            self.offered[key] = self.offered.get(key, 0.0) + each.offered
            self.admitted[each.organisation] = (
                self.admitted.get(each.organisation, 0.0) + each.admitted
            )

    def update(self, state: ServiceState, seconds: float, now: float) -> room_module.Change | None:
        """Finds the room and divides it; returns whether room became short or sufficient."""
        admitted = sum(self.admitted.values())
        self.demand.update(self.offered, seconds)
        decoding = {"work": admitted - self.prompt_work, "requests": float(self.requests)}
        self.sizes.update(decoding, seconds)
        observation = room_module.Observation(
            sum(self.offered.values()),
            admitted,
            work_module.request_work(state.waiting_tokens, 0).total
            + state.waiting_requests * self._decoding_work(),
            state.upstreams,
            state.goal_seconds,
            self.largest,
        )
        change = self.room.update(observation, seconds)
        self._divide(now)
        self._clear()
        self.held_seconds = 0.0
        self.largest *= 0.5 ** (seconds / LARGEST_HALF_LIFE_SECONDS)
        return change

    def hold(self, seconds: float) -> bool:
        """Keeps the division without counting; returns False once it has been kept too long."""
        self._clear()
        self.held_seconds += seconds
        return self.held_seconds <= HELD_SECONDS

    def _clear(self) -> None:
        self.offered, self.admitted, self.prompt_work, self.requests = {}, {}, 0.0, 0

    def _decoding_work(self) -> float:
        """Returns the mean work on the answer to a request, beside the reading of its prompt."""
        requests = self.sizes.rates.get("requests", 0.0)
        return max(0.0, self.sizes.rates.get("work", 0.0) / requests) if requests > 0 else 0.0

    def _divide(self, now: float) -> None:
        demands: dict[str, dict[int, float]] = {}
        if self.room.short:
            for (organisation, rank), rate in self.demand.rates.items():
                demands.setdefault(organisation, {})[rank] = max(0.0, rate)
        totals = {name: sum(ranks.values()) for name, ranks in demands.items()}
        shares = division.divide(self.room.rate, totals)
        self.limited, old_buckets, self.buckets = {}, self.buckets, {}
        for name, share in shares.items():
            if share >= SERVED_WHOLE_FRACTION * totals[name]:
                continue
            limit = document.Quota(share, MOST_GRANT * GRANT_SECONDS * share, True)
            bucket = old_buckets.get(name)
            if bucket is None:
                bucket = quota.TokenBucket(limit, quota.Tolerance(), now)
            else:
                bucket.set_quota(limit, now)
                bucket.debit(self.admitted.get(name, 0.0))
            least = LEAST_GRANT * GRANT_SECONDS * share
            bucket.debit(min(0.0, bucket.level(now) - least))
            granted = bucket.level(now) / GRANT_SECONDS
            rank = division.marginal_rank(share, demands[name])
            self.buckets[name] = bucket
            self.limited[name] = work_module.OrganisationShare(name, granted, granted, rank)


class LeaderShares:
    """Shares of all entries in one term.

    Parameters
    ----------
    now : float
        Steady time at which the term begins.
    """

    def __init__(self, now: float) -> None:
        self._began_at = now
        self._updated_at = now
        self._entries: dict[str, _Entry] = {}
        self._services: dict[str, _Service] = {}
        # Demand at the entries by service and organisation.
        self._totals: dict[tuple[str, str], float] = {}

    def record(self, entry: str, reports: tuple[work_module.ServiceWork, ...], now: float) -> None:
        """Adds what an entry reports.

        The first report of an entry does not count: it is not known since when it counted.
        """
        known = self._entries.get(entry)
        if known is None:
            self._entries[entry] = _Entry(now, averages.RateAverages(DEMAND_SECONDS))
            return
        seconds = now - known.reported_at
        if seconds <= 0:
            return
        known.reported_at = now
        offered: dict[tuple[str, str], float] = {}
        for report in reports:
            self._services.setdefault(report.service, _Service()).add(report)
            for each in report.ranks:
                key = (report.service, each.organisation)
                offered[key] = offered.get(key, 0.0) + each.offered
        known.offered.update(offered, seconds)

    def update(
        self, states: Callable[[], Mapping[str, ServiceState]], now: float
    ) -> list[RoomChange]:
        """Divides the room again if it is time.

        Parameters
        ----------
        states : callable
            Returns what is known of each service with model runners.
        now : float
            Steady time in seconds.

        Returns
        -------
        list of RoomChange
            Services whose room has become short or sufficient, or is no longer divided.
        """
        seconds = now - self._updated_at
        if seconds < UPDATE_INTERVAL_SECONDS:
            return []
        self._updated_at = now
        if seconds > SUSPENSION_SECONDS:
            self._began_at = now
        changes: list[RoomChange] = []
        if now - self._began_at < FIRST_REPORTS_SECONDS:
            for name in tuple(self._services):
                self._hold(name, seconds, changes)
            return changes
        self._remove_silent(now)
        known = states()
        for name, service in tuple(self._services.items()):
            state = known.get(name)
            if state is None:
                changes += self._drop(name)
            elif not state.upstreams:
                # There is no room to divide, and all requests are refused anyway.
                self._hold(name, seconds, changes)
            elif service.update(state, seconds, now) is not None:
                changes.append(_change(name, service))
        return changes

    def end(self) -> list[RoomChange]:
        """Ends the term; returns the services whose room this leader no longer divides."""
        return [change for name in tuple(self._services) for change in self._drop(name)]

    def _hold(self, name: str, seconds: float, changes: list[RoomChange]) -> None:
        if not self._services[name].hold(seconds):
            changes += self._drop(name)

    def _drop(self, name: str) -> list[RoomChange]:
        service = self._services.pop(name)
        if not service.room.short:
            return []
        return [dataclasses.replace(_change(name, service), short=False)]

    def _remove_silent(self, now: float) -> None:
        self._entries = {
            name: each
            for name, each in self._entries.items()
            if now - each.reported_at <= SILENCE_SECONDS
        }
        self._totals = {}
        for entry in self._entries.values():
            for key, rate in entry.offered.rates.items():
                self._totals[key] = self._totals.get(key, 0.0) + max(0.0, rate)

    def shares(
        self, entry: str, entry_count: int, now: float
    ) -> tuple[work_module.ServiceShare, ...] | None:
        """Returns the shares of an entry; None while too little has been reported in this term.

        Parameters
        ----------
        entry : str
        entry_count : int
            Entries that may be serving, also those that have not reported yet.
        now : float
            Steady time in seconds.
        """
        if now - self._began_at < LISTEN_SECONDS:
            return None
        return tuple(
            self._service_share(name, service, entry, max(1, entry_count))
            for name, service in self._services.items()
            if service.room.short
        )

    def _service_share(
        self, name: str, service: _Service, entry: str, entry_count: int
    ) -> work_module.ServiceShare:
        known = self._entries.get(entry)
        own: Mapping[tuple[str, str], float] = known.offered.rates if known is not None else {}
        # Entries that have not reported yet count like an average one that has.
        scale = entry_count / max(1, len(self._entries))

        def part(organisation: str) -> float:
            key = (name, organisation)
            total = self._totals.get(key, 0.0) * scale
            return quota.share(min(total, max(0.0, own.get(key, 0.0))), total, entry_count)

        limited = tuple(
            msgspec.structs.replace(each, rate=each.total_rate * part(each.organisation))
            for each in service.limited.values()
        )
        own_total = sum(max(0.0, rate) for key, rate in own.items() if key[0] == name)
        total = scale * sum(rate for key, rate in self._totals.items() if key[0] == name)
        fraction = quota.share(min(own_total, total), total, entry_count)
        return work_module.ServiceShare(
            name, service.room.rate * fraction, service.room.rate, limited
        )


def _change(name: str, service: _Service) -> RoomChange:
    room = service.room
    return RoomChange(
        name,
        room.short,
        room.rate,
        room.offered_rate,
        room.served_rate,
        room.backlog,
        room.target_backlog,
        len(service.limited),
    )
