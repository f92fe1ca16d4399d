"""Quarantine of prompt parts on which upstreams crash.

A part of a prompt may crash every upstream that begins an answer on it, a query of death [1]_. As
long as callers send such requests, one upstream after another ends, and the answers that run beside
them break off. Each entry sees only some of the crashes, so that the leader attributes them: it
compares the upstreams that crashed before an answer on a part had begun with the answers that have
begun on the same part since. A part without such answers is quarantined. Entries refuse its
requests until the quarantine has run out; after that single requests probe whether it still
crashes upstreams.

References
----------
.. [1] B. Beyer et al. (eds.), Site Reliability Engineering, O'Reilly 2016, chapter 22.
"""

import collections
import dataclasses
from collections.abc import Iterable

__all__ = [
    "Crash",
    "CrashAttribution",
    "PartDecisions",
    "PartObserver",
    "PartReport",
    "Quarantine",
    "QuarantineTable",
]

# Crashes and starts of answers are compared over this time. Crashes are kept longer, so that a
# start never outlives the crashes that followed it.
START_RETENTION_SECONDS = 60.0
CRASH_RETENTION_SECONDS = 65.0
# Entries exchange messages with the leader at least twice a second. A crash counts after this time,
# in which every entry has reported the answers that have begun since.
SETTLE_SECONDS = 0.6
# Crashes within this time count as one episode, since upstreams that share a cause end together.
EPISODE_SECONDS = 0.1
# Crashes from which all parts are quarantined that occurred in the same ones.
INSEPARABLE_CRASHES = 4
# Length of the first quarantine of a part, and the longest one; each further one is twice as long.
FIRST_QUARANTINE_SECONDS = 30.0
MAX_QUARANTINE_SECONDS = 600.0
# A probe without an outcome after this time is lost, and another one may be sent.
PROBE_TIMEOUT_SECONDS = 20.0
# Time after which a released quarantine, or one without requests, is forgotten.
RECORD_RETENTION_SECONDS = 600.0
# Parts with longer IDs are not observed.
MAX_PART_ID_LENGTH = 128
# Bounds of the memory and messages that callers can cause.
MAX_OBSERVED_PARTS = 4096
MAX_REPORTED_CRASHES = 256
MAX_SUSPECTS = 128
MAX_QUARANTINES = 64


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
    """

    suspects: tuple[str, ...] = ()
    quarantines: tuple[Quarantine, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class _Threshold:
    """Crashes without an answer in between, and their episodes, that quarantine a part."""

    crashes: int
    episodes: int


# By whether an answer on the part has begun within `START_RETENTION_SECONDS`.
_THRESHOLDS = {False: _Threshold(3, 2), True: _Threshold(5, 4)}


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
        """Replaces the state of a part; drops the oldest ones beyond `MAX_QUARANTINES`."""
        self._states.pop(state.part_id, None)
        self._states[state.part_id] = state
        self._ends[state.part_id] = now + state.remaining_seconds
        while len(self._states) > MAX_QUARANTINES:
            oldest = next(iter(self._states))
            del self._states[oldest], self._ends[oldest]

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


class PartObserver:
    """What one entry has seen of prompt parts: crashes, and answers that have begun.

    Parameters
    ----------
    table : QuarantineTable
        Receives the leader's quarantines.
    """

    def __init__(self, table: QuarantineTable) -> None:
        self._table = table
        self._crashes: collections.OrderedDict[tuple[str, str], float] = collections.OrderedDict()
        self._starts: collections.OrderedDict[str, float] = collections.OrderedDict()
        self._suspects: frozenset[str] = frozenset()

    def record_crash(self, part_ids: Iterable[str], upstream: str, now: float) -> None:
        """Records the crash of an upstream before its answer on the parts had begun."""
        for part_id in part_ids:
            if len(part_id) <= MAX_PART_ID_LENGTH:
                self._crashes.setdefault((part_id, upstream), now)
        while len(self._crashes) > MAX_REPORTED_CRASHES:
            self._crashes.popitem(last=False)

    def record_start(self, part_ids: Iterable[str], now: float) -> None:
        """Records that an answer on the parts has begun."""
        for part_id in part_ids:
            self._starts[part_id] = now
            self._starts.move_to_end(part_id)
        while len(self._starts) > MAX_OBSERVED_PARTS:
            self._starts.popitem(last=False)

    def receive(self, decisions: PartDecisions, now: float) -> list[Quarantine]:
        """Applies the leader's answer; returns the quarantines that are new."""
        self._suspects = frozenset(decisions.suspects)
        return self._table.merge(decisions.quarantines, now)

    def report(self, now: float) -> PartReport:
        """Returns the report for the leader."""
        while self._crashes and now - next(iter(self._crashes.values())) > CRASH_RETENTION_SECONDS:
            self._crashes.popitem(last=False)
        crashes = tuple(
            Crash(part_id, upstream, now - at) for (part_id, upstream), at in self._crashes.items()
        )
        return PartReport(crashes, self._start_ages(now), self._table.states(now))

    def _start_ages(self, now: float) -> dict[str, float]:
        suspects = self._suspects | {part_id for part_id, _ in self._crashes}
        ages = {name: now - self._starts[name] for name in suspects if name in self._starts}
        return {name: age for name, age in ages.items() if age <= START_RETENTION_SECONDS}


@dataclasses.dataclass(frozen=True, slots=True)
class _HeardCrash:
    at: float
    heard_at: float


class CrashAttribution:
    """Attributes the crashes that the entries report to prompt parts; run by the leader.

    Parameters
    ----------
    table : QuarantineTable
        Receives the quarantines.
    """

    def __init__(self, table: QuarantineTable) -> None:
        self._table = table
        self._crashes: dict[str, dict[str, _HeardCrash]] = {}
        self._starts: dict[str, float] = {}
        self._probed_at: dict[str, float] = {}

    def record(self, report: PartReport, now: float) -> None:
        """Adds the report of an entry."""
        self._table.merge(report.quarantines, now)
        for crash in report.crashes:
            heard = self._crashes.setdefault(crash.part_id, {})
            heard.setdefault(crash.upstream, _HeardCrash(now - crash.age_seconds, now))
        for part_id, age in report.start_ages.items():
            self._starts[part_id] = max(self._starts.get(part_id, float("-inf")), now - age)

    def decisions(self, now: float) -> PartDecisions:
        """Returns the answer for the entries and for the other control processes."""
        return PartDecisions(self._suspects(now), self._table.states(now))

    def _suspects(self, now: float) -> tuple[str, ...]:
        """Returns the parts whose starts decide, those with the most crashes first."""
        quarantined = [each.part_id for each in self._table.states(now) if not each.released]
        by_crashes = sorted(self._crashes, key=lambda each: -len(self._crashes[each]))
        return tuple(dict.fromkeys([*quarantined, *by_crashes]))[:MAX_SUSPECTS]

    def evaluate(self, now: float) -> list[Quarantine]:
        """Quarantines and releases parts; returns the states that changed."""
        if not self._crashes and not self._table.states(now):
            return []
        self._forget_old(now)
        changes = self._review_active(now)
        while culprits := self._find_culprits(now):
            for part_id in culprits:
                changes.append(self._change(part_id, now, released=False))
        return changes

    def grant_probe(self, part_id: str, now: float) -> bool:
        """Returns whether one request with a part may be sent whose quarantine has run out."""
        state = self._table.state(part_id, now)
        if state is None or state.released:
            return True
        probed_at = self._probed_at.get(part_id, float("-inf"))
        if state.remaining_seconds > 0 or now - probed_at < PROBE_TIMEOUT_SECONDS:
            return False
        self._probed_at[part_id] = now
        return True

    def _change(self, part_id: str, now: float, released: bool) -> Quarantine:
        known = self._table.state(part_id, now)
        revision = known.revision + 1 if known is not None else 1
        strikes = known.strikes if known is not None else 0
        seconds = 0.0
        if not released:
            strikes += 1
            seconds = FIRST_QUARANTINE_SECONDS * 2.0 ** min(strikes - 1, 16)
        state = Quarantine(
            part_id, revision, min(seconds, MAX_QUARANTINE_SECONDS), strikes, released
        )
        self._table.put(state, now)
        self._probed_at.pop(part_id, None)
        return state

    def _review_active(self, now: float) -> list[Quarantine]:
        """Releases parts on which an answer has begun, and extends those that crashed a probe."""
        changes = []
        for state in self._table.states(now):
            if state.released:
                continue
            part_id, end = state.part_id, now + state.remaining_seconds
            others = self._explained(now, except_part=part_id)
            crashed_at = [
                each.at
                for upstream, each in self._crashes.get(part_id, {}).items()
                if upstream not in others
            ]
            latest_crash = max(crashed_at, default=float("-inf"))
            if self._starts.get(part_id, float("-inf")) > latest_crash:
                changes.append(self._change(part_id, now, released=True))
            elif latest_crash > end:
                changes.append(self._change(part_id, now, released=False))
        return changes

    def _explained(self, now: float, except_part: str | None = None) -> set[str]:
        """Returns the upstreams whose crashes are attributed to quarantined parts."""
        return {
            upstream
            for state in self._table.states(now)
            if not state.released and state.part_id != except_part
            for upstream in self._crashes.get(state.part_id, ())
        }

    def _find_culprits(self, now: float) -> list[str]:
        """Returns parts to quarantine: the one with the most crashes, or several inseparable ones.

        Requests that wait beside the culprit share some of its crashes. Once it is quarantined,
        these no longer count against the other parts.
        """
        explained = self._explained(now)
        cases = {}
        for part_id, heard in self._crashes.items():
            state = self._table.state(part_id, now)
            if state is not None and not state.released:
                continue
            started_at = self._starts.get(part_id)
            pending = {
                upstream: each
                for upstream, each in heard.items()
                if upstream not in explained and (started_at is None or each.at > started_at)
            }
            if _is_conclusive(pending.values(), started_at is not None, now):
                cases[part_id] = pending.keys()
        most = max(map(len, cases.values()), default=0)
        leading = [part_id for part_id, crashed in cases.items() if len(crashed) == most]
        for part_id in leading:
            overlapping = [each for each in leading if cases[each] & cases[part_id]]
            if len(overlapping) == 1 or most >= INSEPARABLE_CRASHES:
                return [each for each in overlapping if cases[each] == cases[part_id]]
        return []

    def _forget_old(self, now: float) -> None:
        for part_id, heard in list(self._crashes.items()):
            for upstream, each in list(heard.items()):
                if now - each.at > CRASH_RETENTION_SECONDS:
                    del heard[upstream]
            if not heard:
                del self._crashes[part_id]
        for part_id, at in list(self._starts.items()):
            if now - at > START_RETENTION_SECONDS:
                del self._starts[part_id]


def _precedence(state: Quarantine) -> tuple[int, bool]:
    """Returns the sort key of the states of one part; the state with the greatest key holds."""
    return (state.revision, not state.released)


def _is_conclusive(crashes: Iterable[_HeardCrash], started: bool, now: float) -> bool:
    """Returns whether crashes without a start in between suffice to quarantine a part."""
    threshold = _THRESHOLDS[started]
    settled = sorted(each.at for each in crashes if now - each.heard_at >= SETTLE_SECONDS)
    if len(settled) < threshold.crashes:
        return False
    pairs = zip(settled, settled[1:], strict=False)
    return 1 + sum(later - at > EPISODE_SECONDS for at, later in pairs) >= threshold.episodes
