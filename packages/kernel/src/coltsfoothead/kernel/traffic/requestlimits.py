"""Limits of the requests that an upstream accepts from all entries together.

An upstream in need names a rate in its answers for as long as the need lasts. An entry sees only
the answers to its own requests, so that the entries report what they have heard to the leader. The
leader divides each rate among a few entries; the others send nothing to that upstream. The entries
that share a rate also notice when it is no longer named.
"""

import dataclasses
from collections.abc import Iterable, Mapping

from coltsfoothead.kernel.traffic import placement

__all__ = ["EntryLimits", "LimitShare", "LimitTable", "NamedLimit", "divide"]

# An answer replaces what another process has heard if it is newer by more than the delay of an
# exchange. Of answers within this time the one with the lower rate holds.
MIN_NEWER_SECONDS = 0.25
# What was heard about an upstream is forgotten after this time without an answer of it.
RETENTION_SECONDS = 60.0
# Least rate that one entry gets, as long as the upstream's rate suffices.
MIN_SHARE_PER_SECOND = 1.0
# Rate at which an upstream is asked that accepts fewer requests, to notice the end of its need.
PROBE_RATE_PER_SECOND = 0.2
# Time without an answer after which an entry with a share prefers the limited upstream.
PROBE_AFTER_SECONDS = 3.0
# The entries that share a rate change after this time. Every other time they may be in other zones,
# since all entries of one zone may be cut off from the upstream.
ROTATION_SECONDS = 15.0
# Bound of the memory and messages that faulty upstreams can cause.
MAX_LIMITS = 512


@dataclasses.dataclass(frozen=True, slots=True)
class NamedLimit:
    """What the latest answer of an upstream said.

    Attributes
    ----------
    upstream_id : str
    rate : float or None
        Requests per second from all entries together; None once the upstream names no limit.
    age_seconds : float
        Time since the answer.
    """

    upstream_id: str
    rate: float | None
    age_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class LimitShare:
    """What the leader knows of an upstream's limit, and the share of one entry.

    Attributes
    ----------
    limit : NamedLimit
    share : float
        Requests per second that the entry may send; 0 if others share the rate.
    """

    limit: NamedLimit
    share: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Heard:
    rate: float | None
    at: float


class LimitTable:
    """Limits that upstreams have named, as one process knows them."""

    def __init__(self) -> None:
        self._heard: dict[str, _Heard] = {}

    def record(self, upstream_id: str, rate: float | None, now: float) -> bool:
        """Records an answer that this process received; returns whether it changed the rate."""
        known = self._heard.get(upstream_id)
        if known is None and rate is None:
            return False
        self._put(upstream_id, _Heard(rate, now))
        return known is None or known.rate != rate

    def merge(self, limits: Iterable[NamedLimit], now: float) -> None:
        """Merges what another process knows; repeated and older messages change nothing."""
        for limit in limits:
            heard = _Heard(limit.rate, now - limit.age_seconds)
            known = self._heard.get(limit.upstream_id)
            if known is None or _supersedes(heard, known):
                self._put(limit.upstream_id, heard)

    def rate(self, upstream_id: str) -> float | None:
        """Returns the rate that an upstream names, or None if it names none."""
        known = self._heard.get(upstream_id)
        return known.rate if known is not None else None

    def limits(self, now: float) -> tuple[NamedLimit, ...]:
        """Returns what is known, also of upstreams that no longer name a limit."""
        if not self._heard:
            return ()
        for upstream_id, heard in list(self._heard.items()):
            if now - heard.at > RETENTION_SECONDS:
                del self._heard[upstream_id]
        return tuple(
            NamedLimit(upstream_id, heard.rate, now - heard.at)
            for upstream_id, heard in self._heard.items()
        )

    def _put(self, upstream_id: str, heard: _Heard) -> None:
        self._heard.pop(upstream_id, None)
        self._heard[upstream_id] = heard
        while len(self._heard) > MAX_LIMITS:
            del self._heard[next(iter(self._heard))]


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Token bucket that holds at most one request."""

    rate: float
    level: float
    updated_at: float

    def refill(self, now: float) -> None:
        self.level = min(1.0, self.level + max(0.0, now - self.updated_at) * self.rate)
        self.updated_at = now


class EntryLimits:
    """Keeps one entry to its shares of the limits that upstreams name."""

    def __init__(self) -> None:
        self._table = LimitTable()
        self._buckets: dict[str, _Bucket] = {}
        self._asked_at: dict[str, float] = {}

    def record_answer(self, upstream_id: str, rate: float | None, now: float) -> bool:
        """Records the rate that an answer names, or None; returns whether it changed."""
        return self._table.record(upstream_id, rate, now)

    def report(self, now: float) -> tuple[NamedLimit, ...]:
        """Returns what this entry knows, for the leader."""
        return self._table.limits(now)

    def receive(self, shares: Iterable[LimitShare], now: float) -> None:
        """Applies the leader's answer."""
        buckets = {}
        for each in shares:
            self._table.merge([each.limit], now)
            upstream_id = each.limit.upstream_id
            bucket = self._buckets.get(upstream_id) or _Bucket(0.0, 0.0, now)
            bucket.refill(now)
            # A new share starts empty, as the entry that had it before may just have used it.
            bucket.level = bucket.level if each.share and bucket.rate else 0.0
            bucket.rate = each.share
            buckets[upstream_id] = bucket
        self._buckets = buckets
        self._asked_at = {name: at for name, at in self._asked_at.items() if name in buckets}

    def may_send(self, upstream_id: str, now: float) -> bool:
        """Returns whether a request may be sent to an upstream."""
        if self._table.rate(upstream_id) is None:
            return True
        bucket = self._buckets.get(upstream_id)
        if bucket is None:
            return False
        bucket.refill(now)
        return bucket.level >= 1.0

    def probe_due(self, upstream_id: str, now: float) -> bool:
        """Returns whether this entry should ask a limited upstream again."""
        if self._table.rate(upstream_id) is None or not self.may_send(upstream_id, now):
            return False
        return now - self._asked_at.get(upstream_id, float("-inf")) >= PROBE_AFTER_SECONDS

    def take(self, upstream_id: str, now: float) -> None:
        """Counts a request that is sent to an upstream."""
        bucket = self._buckets.get(upstream_id)
        if bucket is not None and self._table.rate(upstream_id) is not None:
            bucket.refill(now)
            bucket.level -= 1.0
            self._asked_at[upstream_id] = now


def divide(
    limit: NamedLimit, zone: str | None, entry_zones: Mapping[str, str], now: float
) -> dict[str, float]:
    """Divides the rate of a limit among entries.

    Parameters
    ----------
    limit : NamedLimit
    zone : str or None
        Zone of the upstream.
    entry_zones : mapping of str to str
        Zones of the entries that may be serving.
    now : float
        Steady time in seconds.

    Returns
    -------
    dict of str to float
        Requests per second by entry, without the entries that have no share. They add up to the
        rate, or to `PROBE_RATE_PER_SECOND` if it is lower.
    """
    if limit.rate is None or not entry_zones:
        return {}
    rate = max(limit.rate, PROBE_RATE_PER_SECOND)
    count = max(1, min(len(entry_zones), int(rate / MIN_SHARE_PER_SECOND)))
    period = int(now // ROTATION_SECONDS)
    prefers_zone = period % 2 == 0
    ranked = sorted(
        entry_zones,
        key=lambda entry: (
            prefers_zone and entry_zones[entry] == zone,
            placement.rendezvous_hash(f"{limit.upstream_id}|{period}", entry),
        ),
        reverse=True,
    )
    return dict.fromkeys(ranked[:count], rate / count)


def _supersedes(heard: _Heard, known: _Heard) -> bool:
    newer_seconds = heard.at - known.at
    if abs(newer_seconds) > MIN_NEWER_SECONDS:
        return newer_seconds > 0
    return heard.rate is not None and (known.rate is None or heard.rate < known.rate)
