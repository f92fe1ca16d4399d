"""Admission of requests at one entry by the shares that the leader has granted.

Each organisation that wants more than its share has a token bucket. A request is admitted while the
level is above the threshold of its rank and may then take it below: sizes do not matter, as the
debt is paid back before the next request. More urgent requests have lower thresholds than those
that just fit, and less urgent ones higher thresholds, so that the least urgent are refused first.
"""

import dataclasses
import random
from collections.abc import Iterable

from coltsfoothead.kernel.sharing import work as work_module

__all__ = ["EntryShares", "ShareDecision"]

# Capacity of a bucket: seconds of its rate, but this many requests of the mean size at least.
# An entry has a small part of a share, and a bucket of less than a request has no room for ranks.
BURST_SECONDS = 2.0
BURST_REQUESTS = 4.0
# Weight of a new request in the mean size.
SIZE_WEIGHT = 0.1
# Multiple of the mean size for which a new request counts in it at most. Callers name the lengths
# of their answers, and one of them must not change the capacity for all.
MOST_SIZE = 10.0
# Thresholds by distance to the marginal rank, as fractions of the capacity. More urgent requests
# may take the bucket into debt; less urgent ones only pass while it is nearly full.
URGENT_THRESHOLD = -0.5
LESS_URGENT_THRESHOLD = 0.75
RANK_STEP = 0.02
MAX_DISTANCE = 10
# Added for a request whose answer cannot start in time; less than the step between ranks, but more
# at the marginal rank, where both kinds compete.
LATE_STEP = 0.01
MARGINAL_LATE_THRESHOLD = 0.5
# Time since the last division for which it holds, and in which it then becomes equal parts.
HOLD_SECONDS = 1.5
DECAY_SECONDS = 4.0
# Time since the last division after which nothing is limited: the leader does not divide.
EXPIRY_SECONDS = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class ShareDecision:
    """Whether a request is within its organisation's share, with the values that decided it.

    Attributes
    ----------
    admitted : bool
    short : bool
        Whether the room of the service is short.
    rate : float
        Runner-seconds a second that the organisation has at this entry; infinite if not limited.
    level, threshold : float
        Level of its bucket before the request, and the one that the request needs, in
        runner-seconds.
    seconds : float
        Time until the bucket covers the request; 0 if it does.
    charge : float
        What was taken from the bucket, in runner-seconds; 0 if the organisation is not limited.
    """

    admitted: bool
    short: bool
    rate: float = float("inf")
    level: float = 0.0
    threshold: float = 0.0
    seconds: float = 0.0
    charge: float = 0.0


@dataclasses.dataclass(slots=True)
class _Bucket:
    share: work_module.OrganisationShare
    updated_at: float
    level: float = 0.0
    mean_work: float = 0.0
    limited: bool = True

    def capacity(self, rate: float) -> float:
        return max(BURST_SECONDS * rate, BURST_REQUESTS * self.mean_work)

    def count_size(self, work: float) -> None:
        counted = min(work, MOST_SIZE * self.mean_work)
        self.mean_work += SIZE_WEIGHT * (counted - self.mean_work)

    def refill(self, rate: float, now: float) -> None:
        added = max(0.0, now - self.updated_at) * rate
        capacity = self.capacity(rate)
        self.level = max(-capacity, min(capacity, self.level + added))
        self.updated_at = max(self.updated_at, now)


@dataclasses.dataclass(slots=True)
class _ShortService:
    share: work_module.ServiceShare
    buckets: dict[str, _Bucket]


@dataclasses.dataclass(slots=True)
class _Counts:
    offered: float = 0.0
    admitted: float = 0.0


@dataclasses.dataclass(slots=True)
class _Admitted:
    prompt_work: float = 0.0
    requests: int = 0
    largest: float = 0.0


class EntryShares:
    """Shares of the organisations at one entry.

    Parameters
    ----------
    rng : random.Random
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._services: dict[str, _ShortService] = {}
        self._counts: dict[tuple[str, str, int], _Counts] = {}
        self._admitted: dict[str, _Admitted] = {}
        self._received_at = float("-inf")
        self._entry_count = 1

    def receive(
        self,
        shares: Iterable[work_module.ServiceShare] | None,
        entry_count: int,
        now: float,
    ) -> None:
        """Replaces the division by a new one of the leader.

        Parameters
        ----------
        shares : iterable of ServiceShare or None
            Services whose room is short; None if the leader does not know yet, or does not divide.
        entry_count : int
        now : float
            Steady time in seconds.
        """
        self._entry_count = max(1, entry_count)
        if shares is None:
            return
        services = {}
        for share in shares:
            known = self._services.get(share.service)
            # An organisation that wants about its share is limited at some times only.
            buckets = known.buckets if known is not None else {}
            limited = {each.organisation: each for each in share.limited}
            for name, bucket in buckets.items():
                bucket.refill(self._decayed(bucket.share.rate, bucket.share.total_rate, now), now)
                bucket.limited = name in limited
            for name, each in limited.items():
                buckets.setdefault(name, _Bucket(each, now)).share = each
            services[share.service] = _ShortService(share, buckets)
        self._services = services
        self._received_at = now

    def admit(
        self,
        service: str,
        organisation: str | None,
        rank: int,
        work: work_module.RequestWork,
        can_be_in_time: bool,
        now: float,
    ) -> ShareDecision:
        """Decides whether a request is within the share of its organisation, and charges it.

        Parameters
        ----------
        service : str
        organisation : str or None
            Requests without an organisation share as if of one.
        rank : int
            Urgency; 0 is the most urgent.
        work : RequestWork
        can_be_in_time : bool
            Whether its answer can still start within the objective of its route.
        now : float
            Steady time in seconds.
        """
        name = organisation or work_module.NO_ORGANISATION
        counts = self._counts.setdefault((service, name, rank), _Counts())
        counts.offered += work.total
        short = self._short_service(service, now)
        bucket = short.buckets.get(name) if short is not None else None
        decision = ShareDecision(True, short is not None)
        if bucket is not None and bucket.limited:
            decision = self._decide(bucket, rank, work.total, can_be_in_time, now)
        if decision.admitted:
            counts.admitted += work.total
            admitted = self._admitted.setdefault(service, _Admitted())
            admitted.prompt_work += work.prompt
            admitted.requests += 1
            admitted.largest = max(admitted.largest, work.total)
        return decision

    def _decide(
        self, bucket: _Bucket, rank: int, work: float, can_be_in_time: bool, now: float
    ) -> ShareDecision:
        if not bucket.mean_work:
            # As if requests had been admitted before, at a random time in each of the entries.
            bucket.mean_work = work
            bucket.level, bucket.updated_at = -work * self._rng.random(), now
        # A refused request may lower the mean only: callers repeat it.
        bucket.count_size(min(work, bucket.mean_work))
        rate = self._decayed(bucket.share.rate, bucket.share.total_rate, now)
        bucket.refill(rate, now)
        fraction = _threshold(rank - bucket.share.marginal_rank, can_be_in_time)
        capacity = bucket.capacity(rate)
        threshold, level = fraction * capacity, bucket.level
        if level >= threshold:
            # The debt is bounded; the leader charges the rest to all entries.
            charge = min(work, level + capacity)
            bucket.level -= charge
            bucket.count_size(work)
            return ShareDecision(True, True, rate, level, threshold, charge=charge)
        seconds = (threshold - level) / rate if rate > 0 else float("inf")
        return ShareDecision(False, True, rate, level, threshold, seconds)

    def refund(
        self,
        service: str,
        organisation: str | None,
        rank: int,
        work: work_module.RequestWork,
        charge: float,
    ) -> None:
        """Gives back the work of an admitted request that did not run.

        Parameters
        ----------
        service : str
        organisation : str or None
        rank : int
        work : RequestWork
        charge : float
            What the decision on the request took from the bucket.
        """
        name = organisation or work_module.NO_ORGANISATION
        self._counts.setdefault((service, name, rank), _Counts()).admitted -= work.total
        admitted = self._admitted.setdefault(service, _Admitted())
        admitted.prompt_work -= work.prompt
        admitted.requests -= 1
        short = self._services.get(service)
        if short is not None and name in short.buckets:
            short.buckets[name].level += charge

    def retract(
        self, service: str, organisation: str | None, rank: int, work: work_module.RequestWork
    ) -> None:
        """Takes back that a request was offered, before it is decided on once more."""
        name = organisation or work_module.NO_ORGANISATION
        self._counts.setdefault((service, name, rank), _Counts()).offered -= work.total

    def room_rate(self, service: str, now: float) -> float | None:
        """Returns the runner-seconds a second that this entry may admit; None if not short."""
        short = self._short_service(service, now)
        if short is None:
            return None
        return self._decayed(short.share.rate, short.share.total_rate, now)

    def pop_work(self) -> tuple[work_module.ServiceWork, ...]:
        """Returns and clears the work since the last call; only services that had any."""
        ranks: dict[str, list[work_module.RankWork]] = {}
        for (service, organisation, rank), counts in self._counts.items():
            if counts.offered or counts.admitted:
                each = work_module.RankWork(organisation, rank, counts.offered, counts.admitted)
                ranks.setdefault(service, []).append(each)
        admitted = self._admitted
        self._counts, self._admitted = {}, {}
        none = _Admitted()
        return tuple(
            work_module.ServiceWork(
                service, each.prompt_work, tuple(rows), each.requests, each.largest
            )
            for service, rows in ranks.items()
            for each in (admitted.get(service, none),)
        )

    def _short_service(self, service: str, now: float) -> _ShortService | None:
        expired = now - self._received_at > EXPIRY_SECONDS
        return None if expired else self._services.get(service)

    def _decayed(self, rate: float, total_rate: float, now: float) -> float:
        """Returns a granted rate; without a newer division it becomes an equal part."""
        age_seconds = now - self._received_at - HOLD_SECONDS
        decayed = min(1.0, max(0.0, age_seconds / DECAY_SECONDS))
        return rate + decayed * (total_rate / self._entry_count - rate)


def _threshold(distance: int, can_be_in_time: bool) -> float:
    """Returns the threshold at a distance from the marginal rank, as a fraction of the capacity."""
    late = 0.0 if can_be_in_time else LATE_STEP
    if distance == 0:
        return 0.0 if can_be_in_time else MARGINAL_LATE_THRESHOLD
    base = URGENT_THRESHOLD if distance < 0 else LESS_URGENT_THRESHOLD
    return base + RANK_STEP * max(-MAX_DISTANCE, min(MAX_DISTANCE, distance)) + late
