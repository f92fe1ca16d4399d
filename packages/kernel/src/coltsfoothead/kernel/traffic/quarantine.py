"""Quarantine of prompt parts, and of requests, on which upstreams crash.

A part of a prompt may crash every upstream that begins an answer on it, a query of death [1]_. As
long as callers send such requests, one upstream after another ends, and the answers that run beside
them break off. Each entry sees only some of the crashes, so that the leader attributes them: it
compares the upstreams that crashed before an answer on a part had begun with the answers that have
begun on the same part since. A part without such answers is quarantined. Entries refuse its
requests until the quarantine has run out; after that single requests probe whether it still
crashes upstreams.

A request counts as one more part of itself, so that one that crashes upstreams without the help of
a shared part is found, too. Callers repeat it with the same content, and requests of plain services
have no other part. Before it is quarantined, the entries need the leader's permission for each
attempt: a trial.

References
----------
.. [1] B. Beyer et al. (eds.), Site Reliability Engineering, O'Reilly 2016, chapter 22.
"""

import collections
import dataclasses
from collections.abc import Iterable

from coltsfoothead.kernel.traffic import upstreams

__all__ = [
    "Crash",
    "PartDecisions",
    "PartObserver",
    "PartReport",
    "Quarantine",
    "QuarantineTable",
    "is_request",
    "request_part_id",
    "upstream_key",
]

# Prefix of the part IDs that stand for whole requests. IDs that callers send have no colon.
REQUEST_PREFIX = "request:"

# Crashes and starts of answers are compared over this time. Crashes are kept longer, so that a
# start never outlives the crashes that followed it.
START_RETENTION_SECONDS = 60.0
CRASH_RETENTION_SECONDS = 65.0
# Entries adopt no older crashes from the leader. Otherwise the delays of messages would keep them
# in circulation for ever.
ADOPTION_SECONDS = 60.0
# Time for which a request that no leader lists any more is still sent with permission only; a new
# leader may lack the reports about it.
TRIAL_RETENTION_SECONDS = 2.0
# Time after which a released quarantine, or one without requests, is forgotten.
RECORD_RETENTION_SECONDS = 600.0
# Parts with longer IDs are not observed.
MAX_PART_ID_LENGTH = 128
# Bounds of the memory and messages that callers can cause, for shared parts and for requests each.
MAX_OBSERVED_PARTS = 4096
MAX_REPORTED_CRASHES = 256
MAX_QUARANTINES = 64


def upstream_key(upstream: upstreams.Upstream) -> str:
    """Returns the name of one start of an upstream."""
    return f"{upstream.id}/{upstream.born}"


def request_part_id(digest: str) -> str:
    """Returns the part ID of the request with a digest."""
    return REQUEST_PREFIX + digest


def is_request(part_id: str) -> bool:
    """Returns whether a part ID stands for a whole request."""
    return part_id.startswith(REQUEST_PREFIX)


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """Crash of an upstream before its answer to a request with a prompt part had begun.

    Attributes
    ----------
    part_id : str
    upstream : str
        ID and start of the upstream.
    age_seconds : float
        Time since the crash.
    """

    part_id: str
    upstream: str
    age_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantine:
    """State of the quarantine of one prompt part.

    Attributes
    ----------
    part_id : str
    revision : int
        Number of changes of this state; of two states of a part, that with more of them holds.
    remaining_seconds : float
        Time until requests with the part may be probed; negative once they may.
    strikes : int
        How often the part was quarantined.
    released : bool
        Whether the quarantine has ended. The state is kept so that it replaces older ones.
    """

    part_id: str
    revision: int
    remaining_seconds: float
    strikes: int
    released: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PartReport:
    """What an entry reports to the leader about prompt parts.

    Attributes
    ----------
    crashes : tuple of Crash
        All crashes of the retention time, so that a repeated report changes nothing and a new
        leader learns them too.
    start_ages : dict of str to float
        Seconds since the latest answer began on each suspected part.
    quarantines : tuple of Quarantine
        States that the entry knows, which a new leader may lack.
    """

    crashes: tuple[Crash, ...] = ()
    start_ages: dict[str, float] = dataclasses.field(default_factory=dict)
    quarantines: tuple[Quarantine, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class PartDecisions:
    """What the leader answers about prompt parts.

    Attributes
    ----------
    suspects : tuple of str
        Parts whose starts the entries should report.
    quarantines : tuple of Quarantine
    trial_crashes : tuple of Crash
        Crashes under the requests whose attempts need the leader's permission. The entries report
        them, too, so that neither a new leader nor a restart of the entries that saw them loses
        them.
    """

    suspects: tuple[str, ...] = ()
    quarantines: tuple[Quarantine, ...] = ()
    trial_crashes: tuple[Crash, ...] = ()


class QuarantineTable:
    """Quarantines by part, as one process knows them.

    States of several processes are merged in any order, and any number of times, with the same
    result.
    """

    def __init__(self) -> None:
        self._states: dict[str, Quarantine] = {}
        # Steady times at which the states' remaining times end.
        self._ends: dict[str, float] = {}

    def merge(self, states: Iterable[Quarantine], now: float) -> list[Quarantine]:
        """Merges states from another process; returns those that replaced known ones."""
        newer = []
        for state in states:
            known = self._states.get(state.part_id)
            if known is None or _precedence(state) > _precedence(known):
                self.put(state, now)
                newer.append(state)
        return newer

    def put(self, state: Quarantine, now: float) -> None:
        """Replaces the state of a part; beyond `MAX_QUARANTINES` drops released ones first."""
        self._states.pop(state.part_id, None)
        self._states[state.part_id] = state
        self._ends[state.part_id] = now + state.remaining_seconds
        alike = [name for name in self._states if is_request(name) == is_request(state.part_id)]
        if len(alike) > MAX_QUARANTINES:
            released = (name for name in alike if self._states[name].released)
            dropped = next(released, alike[0])
            del self._states[dropped], self._ends[dropped]

    def state(self, part_id: str, now: float) -> Quarantine | None:
        """Returns the state of a part with its remaining time, or None."""
        known = self._states.get(part_id)
        if known is None:
            return None
        return dataclasses.replace(known, remaining_seconds=self._ends[part_id] - now)

    def states(self, now: float) -> tuple[Quarantine, ...]:
        """Returns all states, and forgets the old ones."""
        for part_id, end in list(self._ends.items()):
            if now - end > RECORD_RETENTION_SECONDS:
                del self._states[part_id], self._ends[part_id]
        return tuple(self.state(part_id, now) for part_id in self._states)

    def active(self, part_ids: Iterable[str], now: float) -> Quarantine | None:
        """Returns the longest quarantine among the parts of a prompt that is not released."""
        if not self._states:
            return None
        states = (self.state(part_id, now) for part_id in part_ids)
        active = [each for each in states if each is not None and not each.released]
        return max(active, key=lambda each: each.remaining_seconds, default=None)


class _Observations:
    """Crashes and starts of answers by part, the oldest ones first."""

    def __init__(self) -> None:
        self.crashes: collections.OrderedDict[tuple[str, str], float] = collections.OrderedDict()
        self.starts: collections.OrderedDict[str, float] = collections.OrderedDict()

    def record_crash(self, part_id: str, upstream: str, now: float) -> None:
        self.crashes.setdefault((part_id, upstream), now)
        if len(self.crashes) > MAX_REPORTED_CRASHES:
            self.crashes.popitem(last=False)

    def record_start(self, part_id: str, now: float) -> None:
        self.starts[part_id] = now
        self.starts.move_to_end(part_id)
        if len(self.starts) > MAX_OBSERVED_PARTS:
            self.starts.popitem(last=False)

    def forget_old(self, now: float) -> None:
        while self.crashes and now - next(iter(self.crashes.values())) > CRASH_RETENTION_SECONDS:
            self.crashes.popitem(last=False)


class PartObserver:
    """What one entry has seen of prompt parts: crashes, and answers that have begun.

    Parameters
    ----------
    table : QuarantineTable
        Receives the leader's quarantines.
    """

    def __init__(self, table: QuarantineTable) -> None:
        self._table = table
        # By whether the part is a request: requests are far more and must not displace the parts.
        self._observations = {False: _Observations(), True: _Observations()}
        self._suspects: frozenset[str] = frozenset()
        self._trials: dict[str, float] = {}

    def record_crash(self, part_ids: Iterable[str], upstream: str, now: float) -> None:
        """Records the crash of an upstream before its answer on the parts had begun."""
        for part_id in part_ids:
            if len(part_id) <= MAX_PART_ID_LENGTH:
                self._observations[is_request(part_id)].record_crash(part_id, upstream, now)

    def record_start(self, part_ids: Iterable[str], now: float) -> None:
        """Records that an answer on the parts has begun."""
        for part_id in part_ids:
            self._observations[is_request(part_id)].record_start(part_id, now)

    def needs_trial(self, part_id: str, now: float) -> bool:
        """Returns whether a request may be sent with the leader's permission only."""
        return now - self._trials.get(part_id, float("-inf")) <= TRIAL_RETENTION_SECONDS

    def receive(self, decisions: PartDecisions, now: float) -> list[Quarantine]:
        """Applies the leader's answer; returns the quarantines that are new."""
        self._suspects = frozenset(decisions.suspects)
        for part_id, listed_at in list(self._trials.items()):
            if now - listed_at > TRIAL_RETENTION_SECONDS:
                del self._trials[part_id]
        for crash in decisions.trial_crashes:
            self._trials[crash.part_id] = now
            if crash.age_seconds <= ADOPTION_SECONDS:
                at = now - crash.age_seconds
                self._observations[True].record_crash(crash.part_id, crash.upstream, at)
        return self._table.merge(decisions.quarantines, now)

    def report(self, now: float) -> PartReport:
        """Returns the report for the leader."""
        for each in self._observations.values():
            each.forget_old(now)
        crashes = tuple(
            Crash(part_id, upstream, now - at)
            for each in self._observations.values()
            for (part_id, upstream), at in each.crashes.items()
            if now - at <= CRASH_RETENTION_SECONDS
        )
        return PartReport(crashes, self._start_ages(now), self._table.states(now))

    def _start_ages(self, now: float) -> dict[str, float]:
        suspects = set(self._suspects)
        for each in self._observations.values():
            suspects.update(part_id for part_id, _ in each.crashes)
        started_at = (
            (name, self._observations[is_request(name)].starts.get(name, float("-inf")))
            for name in suspects
        )
        return {name: now - at for name, at in started_at if now - at <= START_RETENTION_SECONDS}


def _precedence(state: Quarantine) -> tuple[int, bool]:
    """Returns the sort key of the states of one part; the state with the greatest key holds."""
    return (state.revision, not state.released)
