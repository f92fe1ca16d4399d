"""Attribution of crashes of upstreams to the parts and requests whose answers they began."""

import dataclasses
from collections.abc import Container, Iterable

from coltsfoothead.kernel.traffic import quarantine

__all__ = ["FIRST_QUARANTINE_SECONDS", "CrashAttribution"]

# Entries exchange messages with the leader at least twice a second. A crash counts after this time,
# in which every entry has reported the answers that have begun since.
SETTLE_SECONDS = 0.6
# Crashes within this time count as one episode, since upstreams that share a cause end together.
EPISODE_SECONDS = 0.1
# Crashes from which all parts are quarantined that occurred in the same ones.
INSEPARABLE_CRASHES = 4
# Length of the first quarantine of a part, and the longest one.
FIRST_QUARANTINE_SECONDS = 30.0
MAX_QUARANTINE_SECONDS = 600.0
# By whether the part is a request: factor by which each further quarantine is longer. Callers go on
# sending a request that crashes upstreams, and each probe of it costs one more.
_QUARANTINE_GROWTH = {False: 2.0, True: 20.0}
# A probe without an outcome after this time is lost, and another one may be sent.
PROBE_TIMEOUT_SECONDS = 20.0
# Crashes without an answer in between after which each attempt of a request is a trial.
TRIAL_CRASHES = 2
# A trial without an outcome after this time is lost, and another one may be sent.
TRIAL_TIMEOUT_SECONDS = 3.0
# Bound of the messages that callers can cause.
MAX_SUSPECTS = 128
MAX_TRIALS = 128
# Time for which the lists of suspects and trials hold.
LISTS_SECONDS = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class _Threshold:
    """Crashes without an answer in between, and their episodes, that quarantine a part."""

    crashes: int
    episodes: int


# By whether an answer on a shared part has begun within `START_RETENTION_SECONDS`.
_THRESHOLDS = {False: _Threshold(3, 2), True: _Threshold(5, 4)}
_REQUEST_THRESHOLD = _Threshold(3, 2)


@dataclasses.dataclass(frozen=True, slots=True)
class _HeardCrash:
    at: float
    heard_at: float


class CrashAttribution:
    """Attributes the crashes that the entries report to prompt parts; run by the leader.

    Parameters
    ----------
    table : quarantine.QuarantineTable
        Receives the quarantines.
    """

    def __init__(self, table: quarantine.QuarantineTable) -> None:
        self._table = table
        self._crashes: dict[str, dict[str, _HeardCrash]] = {}
        self._starts: dict[str, float] = {}
        self._probed_at: dict[str, float] = {}
        self._tried_at: dict[str, float] = {}
        self._lists: tuple[tuple[str, ...], tuple[str, ...]] = ((), ())
        self._listed_at = float("-inf")

    def record(self, report: quarantine.PartReport, now: float) -> None:
        """Adds the report of an entry."""
        self._table.merge(report.quarantines, now)
        for crash in report.crashes:
            heard = self._crashes.setdefault(crash.part_id, {})
            heard.setdefault(crash.upstream, _HeardCrash(now - crash.age_seconds, now))
        for part_id, age in report.start_ages.items():
            self._starts[part_id] = max(self._starts.get(part_id, float("-inf")), now - age)

    def decisions(self, now: float) -> quarantine.PartDecisions:
        """Returns the answer for the entries and for the other control processes."""
        if not 0 <= now - self._listed_at < LISTS_SECONDS:
            self._lists, self._listed_at = (self._suspects(now), self._trials(now)), now
        suspects, trials = self._lists
        trial_crashes = tuple(
            quarantine.Crash(part_id, upstream, now - each.at)
            for part_id in trials
            for upstream, each in self._crashes.get(part_id, {}).items()
        )
        return quarantine.PartDecisions(suspects, self._table.states(now), trial_crashes)

    def _suspects(self, now: float) -> tuple[str, ...]:
        """Returns the parts whose starts decide, those with the most crashes first."""
        quarantined = [each.part_id for each in self._table.states(now) if not each.released]
        by_crashes = sorted(self._crashes, key=lambda each: -len(self._crashes[each]))
        return tuple(dict.fromkeys([*quarantined, *by_crashes]))[:MAX_SUSPECTS]

    def _trials(self, now: float) -> tuple[str, ...]:
        """Returns the requests that need permission, those with the most crashes first."""
        if not self._crashes:
            return ()
        counts = {
            part_id: len(self._pending(part_id))
            for part_id in self._crashes
            if quarantine.is_request(part_id)
        }
        listed = [name for name, count in counts.items() if count >= TRIAL_CRASHES]
        return tuple(sorted(listed, key=lambda name: -counts[name])[:MAX_TRIALS])

    def crashed_upstreams(self) -> set[str]:
        """Returns the upstreams that have crashed within the retention time."""
        return {upstream for heard in self._crashes.values() for upstream in heard}

    def evaluate(self, now: float) -> list[quarantine.Quarantine]:
        """Quarantines and releases parts; returns the states that changed."""
        if not self._crashes and not self._table.states(now):
            return []
        self._forget_old(now)
        changes = self._review_active(now)
        while culprits := self._find_culprits(now):
            for part_id in culprits:
                changes.append(self._change(part_id, now, released=False))
        return changes

    def grant_probe(self, part_id: str, now: float, can_spare: bool = True) -> bool:
        """Returns whether one request may be sent as a probe, or as a trial.

        Parameters
        ----------
        part_id : str
            Part whose quarantine has run out, or request that needs a trial.
        now : float
        can_spare : bool
            Whether the service goes on if a trial crashes one of its upstreams.
        """
        state = self._table.state(part_id, now)
        if state is None or state.released:
            return can_spare and self._grant_trial(part_id, now)
        probed_at = self._probed_at.get(part_id, float("-inf"))
        if state.remaining_seconds > 0 or now - probed_at < PROBE_TIMEOUT_SECONDS:
            return False
        self._probed_at[part_id] = now
        return True

    def _grant_trial(self, part_id: str, now: float) -> bool:
        """Returns whether a request may be tried: one at a time of those that share crashes.

        The outcomes tell the request that crashes the upstreams from those that were beside it.
        """
        crashes = self._crashes.get(part_id, {})
        if any(now - each.heard_at < SETTLE_SECONDS for each in crashes.values()):
            return False
        for other, tried_at in self._tried_at.items():
            shared = other == part_id or not crashes.keys().isdisjoint(self._crashes.get(other, ()))
            open_since = now - tried_at < TRIAL_TIMEOUT_SECONDS
            if shared and open_since and not self._has_outcome(other, tried_at):
                return False
        self._tried_at[part_id] = now
        return True

    def _has_outcome(self, part_id: str, tried_at: float) -> bool:
        """Returns whether a request has crashed an upstream, or been answered, since its trial."""
        crashes = self._crashes.get(part_id, {}).values()
        latest = max((each.at for each in crashes), default=float("-inf"))
        return max(latest, self._starts.get(part_id, float("-inf"))) > tried_at

    def _change(self, part_id: str, now: float, released: bool) -> quarantine.Quarantine:
        known = self._table.state(part_id, now)
        revision = known.revision + 1 if known is not None else 1
        strikes = known.strikes if known is not None else 0
        seconds = 0.0
        if not released:
            strikes += 1
            growth = _QUARANTINE_GROWTH[quarantine.is_request(part_id)]
            seconds = FIRST_QUARANTINE_SECONDS * growth ** min(strikes - 1, 16)
        state = quarantine.Quarantine(
            part_id, revision, min(seconds, MAX_QUARANTINE_SECONDS), strikes, released
        )
        self._table.put(state, now)
        self._probed_at.pop(part_id, None)
        return state

    def _review_active(self, now: float) -> list[quarantine.Quarantine]:
        """Releases parts on which an answer has begun, and extends those that crashed a probe."""
        changes = []
        for state in self._table.states(now):
            if state.released:
                continue
            part_id, end = state.part_id, now + state.remaining_seconds
            others = self._explained(now, except_parts={part_id})
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

    def _explained(self, now: float, except_parts: Container[str] = ()) -> set[str]:
        """Returns the upstreams whose crashes are attributed to quarantined parts."""
        return {
            upstream
            for state in self._table.states(now)
            if not state.released and state.part_id not in except_parts
            for upstream in self._crashes.get(state.part_id, ())
        }

    def _pending(self, part_id: str, explained: Container[str] = ()) -> dict[str, _HeardCrash]:
        """Returns the crashes since the last answer that nothing else explains, by upstream."""
        started_at = self._starts.get(part_id, float("-inf"))
        return {
            upstream: each
            for upstream, each in self._crashes[part_id].items()
            if upstream not in explained and each.at > started_at
        }

    def _find_culprits(self, now: float) -> list[str]:
        """Returns parts to quarantine: the one with the most crashes, or several inseparable ones.

        Requests that wait beside the culprit share some of its crashes. Once it is quarantined,
        these no longer count against the other parts. A shared part is accused only if no single
        request has all of its crashes.
        """
        active = [state.part_id for state in self._table.states(now) if not state.released]
        requests = {name for name in self._crashes if quarantine.is_request(name)}
        explained = self._explained(now)
        explained_by_parts = self._explained(now, except_parts=requests)
        cases = {}
        for part_id in self._crashes.keys() - set(active):
            is_request = part_id in requests
            if sum(quarantine.is_request(each) == is_request for each in active) >= (
                quarantine.MAX_QUARANTINES
            ):
                continue
            pending = self._pending(part_id, explained if is_request else explained_by_parts)
            if is_request and pending:
                # Its earlier crashes may be its own, too, although another request explains them:
                # one more crash after that one was quarantined is enough.
                is_conclusive = _is_conclusive(
                    self._pending(part_id).values(), _REQUEST_THRESHOLD, now
                )
            else:
                threshold = _THRESHOLDS[part_id in self._starts]
                is_conclusive = _is_conclusive(pending.values(), threshold, now) and not any(
                    pending.keys() <= self._crashes[each].keys() for each in requests
                )
            if is_conclusive:
                cases[part_id] = pending.keys()
        for part_id in sorted(cases, key=lambda each: -len(cases[each])):
            own = cases[part_id]
            rivals = [name for name in cases if len(cases[name]) >= len(own) and cases[name] & own]
            most = max(len(cases[name]) for name in rivals)
            if len(rivals) == 1 or most == len(own) >= INSEPARABLE_CRASHES:
                return [name for name in rivals if cases[name] == own]
        return []

    def _forget_old(self, now: float) -> None:
        for part_id, heard in list(self._crashes.items()):
            for upstream, each in list(heard.items()):
                if now - each.at > quarantine.CRASH_RETENTION_SECONDS:
                    del heard[upstream]
            if not heard:
                del self._crashes[part_id]
        for part_id, at in list(self._starts.items()):
            if now - at > quarantine.START_RETENTION_SECONDS:
                del self._starts[part_id]
        for part_id, at in list(self._tried_at.items()):
            if now - at > TRIAL_TIMEOUT_SECONDS:
                del self._tried_at[part_id]


def _is_conclusive(crashes: Iterable[_HeardCrash], threshold: _Threshold, now: float) -> bool:
    """Returns whether crashes without a start in between suffice to quarantine a part."""
    settled = sorted(each.at for each in crashes if now - each.heard_at >= SETTLE_SECONDS)
    if len(settled) < threshold.crashes:
        return False
    pairs = zip(settled, settled[1:], strict=False)
    return 1 + sum(later - at > EPISODE_SECONDS for at, later in pairs) >= threshold.episodes
