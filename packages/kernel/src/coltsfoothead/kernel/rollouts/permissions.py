"""What entries and the leader tell each other while a rollout runs.

The counts of an entry are totals since the order, so that a repeated report changes nothing and a
new leader learns them from the next one.
"""

import dataclasses
from typing import NamedTuple

import xxhash

from coltsfoothead.kernel.rollouts import orders

__all__ = [
    "EntryAnswer",
    "EntryReport",
    "Permission",
    "ServiceReport",
    "Tally",
    "UNLIMITED",
    "digest",
]

# Limit of a permission for as many requests as there are.
UNLIMITED = 2**62


class Tally(NamedTuple):
    """Outcomes of the requests that one entry sent to upstreams of a service.

    Attributes
    ----------
    route, zone : str
        Route of the requests and zone of the upstreams.
    upstream_id : str
        Upstream of the target version; empty for all others of the zone together.
    answered : int
        Requests that were answered, or that take longer than the limit for slow answers.
    failed : int
        Failures that an upstream answered, and requests that it did not answer in time.
    broken : int
        Answers that broke off.
    slow : int
        Answered requests that took longer than the limit.
    log_seconds : float
        Sum of the logarithms of the answer times in seconds.
    """

    route: str
    zone: str
    upstream_id: str
    answered: int = 0
    failed: int = 0
    broken: int = 0
    slow: int = 0
    log_seconds: float = 0.0


class ServiceReport(NamedTuple):
    """What an entry reports about one running rollout.

    Attributes
    ----------
    number : int
        Number of the order.
    serial, limit : int
        The permission that the entry holds.
    requests, exposed : int
        Requests to the service since the order, and those sent to the target version.
    others_in_flight : int
        Requests that upstreams of other versions have not answered.
    tallies : tuple of Tally
        Those that changed since the last answer of the same leader.
    """

    service: str
    number: int
    serial: int
    limit: int
    requests: int
    exposed: int
    others_in_flight: int
    tallies: tuple[Tally, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class EntryReport:
    """What a process reports about rollouts.

    Attributes
    ----------
    known : int
        Digest of the rules that the process knows.
    services : tuple of ServiceReport
    """

    known: int = 0
    services: tuple[ServiceReport, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Permission:
    """Permission of one entry to send requests to the target version.

    Attributes
    ----------
    serial : int
        Orders the permissions of an entry; a newer one replaces the older.
    limit : int
        Number of requests that the entry may have sent there since the order.
    seconds : float
        Time for which the permission is valid, from the report that it answers.
    shares : dict of str to float
        Share of the requests of each route; other routes use the share of the route "".
    upstreams : tuple of str
        Upstreams of the target version that may get them; all of them if empty.
    slow_seconds : dict of str to float
        By route, the time from which an answer counts as slow.
    """

    service: str
    number: int
    serial: int
    limit: int
    seconds: float
    shares: dict[str, float]
    upstreams: tuple[str, ...] = ()
    slow_seconds: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class EntryAnswer:
    """What the leader answers.

    Attributes
    ----------
    rules : tuple of Rule or None
        All rules; None if the process knows them.
    permissions : tuple of Permission
    elapsed : dict of str to float
        Seconds since the order by service, for running rollouts. Only control followers get it, so
        that the next leader needs no wall clock.
    """

    rules: tuple[orders.Rule, ...] | None = None
    permissions: tuple[Permission, ...] = ()
    elapsed: dict[str, float] = dataclasses.field(default_factory=dict)


def digest(rules: tuple[orders.Rule, ...]) -> int:
    """Returns a number that differs for different rules; 0 if there are none."""
    if not rules:
        return 0
    fields = [
        (each.service, each.number, each.target, each.phase.value, each.excluded)
        for each in sorted(rules, key=lambda each: each.service)
    ]
    return xxhash.xxh32_intdigest(repr(fields).encode()) or 1
