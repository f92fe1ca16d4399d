"""Judges the version that a rollout moves to by the answers of its upstreams.

Load patterns: a version that fails or is several times slower at once, later, under load, or on one
route only; beside it crashes of single upstreams, one that fails part of its requests, a slow data
centre and bursts, which are no fault of the version.
"""

import dataclasses
import enum
import math

from coltsfoothead.kernel.rollouts import permissions

__all__ = ["Evidence", "Finding", "Judgement"]

# Length of the windows within which answers of both versions are compared.
WINDOW_SECONDS = 1.0
# Windows that are kept, and the newest of them, within which a version may turn bad.
RETAINED_WINDOWS = 60
RECENT_WINDOWS = 5
# Answers from which a usual answer time is known.
MIN_REFERENCE_ANSWERS = 5
# An answer is slow from this multiple of the usual time; bad versions are several times slower.
SLOW_FACTOR = 2.5
# Less than this over the usual time is no sign of a slow version: new connections take as long.
MIN_SLOW_SECONDS = 0.03
# Confidence bounds of fractions lie this many standard errors from the mean.
BAD_DEVIATIONS = 2.3
# Difference of the fractions that callers may bear.
TOLERANCE = 0.03
# Failures from which a version may be bad.
MIN_FAULTS = 3
# Answers per route for a good version, or this part of the requests of a route with few.
MIN_ANSWERS = 12
MIN_ANSWER_SHARE = 0.05
# The same for all routes together.
MIN_ALL_ANSWERS = 24
MIN_ALL_SHARE = 0.2
# Part of the upstreams that is left out, those with most faults first: a crashed one is no evidence
# about its version.
LEFT_OUT_FRACTION = 0.25
# With fewer answers of the others, those that are left out count as well, with this tolerance.
MIN_CLEAN_ANSWERS = 16
FAULTY_UPSTREAM_TOLERANCE = 0.1


class Finding(enum.Enum):
    """What the evidence says about a version."""

    OPEN = "open"
    GOOD = "good"
    BAD = "bad"


@dataclasses.dataclass(frozen=True, slots=True)
class Judgement:
    """A finding and the figures that it rests on."""

    finding: Finding
    cause: str = ""


@dataclasses.dataclass(slots=True)
class _Counts:
    answered: int = 0
    failed: int = 0
    slow: int = 0
    log_seconds: float = 0.0

    @property
    def total(self) -> int:
        """Number of requests with an outcome."""
        return self.answered + self.failed

    def add(self, other: "_Counts") -> None:
        """Adds other counts to these."""
        self.answered += other.answered
        self.failed += other.failed
        self.slow += other.slow
        self.log_seconds += other.log_seconds


class Evidence:
    """Outcomes of the requests to both versions of one service, within the last minute.

    Parameters
    ----------
    resumed : bool, optional
        Whether an earlier leader has judged before. The first report of an entry then covers all
        the time since the order: which answers were slow in the same seconds is not known any
        more, so that slow ones count from then on.
    """

    def __init__(self, resumed: bool = False) -> None:
        self._resumed = resumed
        self._senders: set[str] = set()
        # Newest tally by sender, route, zone and upstream.
        self._tallies: dict[tuple[str, str, str, str], permissions.Tally] = {}
        # Counts by route, and by window, zone and upstream. The upstreams of the other versions
        # count together, under an empty ID.
        self._counts: dict[str, dict[tuple[int, str, str], _Counts]] = {}
        # Windows in which answers of an upstream broke off.
        self._breaks: set[tuple[int, str, str]] = set()
        self._forgotten_at = float("-inf")

    def record(self, sender: str, tallies: tuple[permissions.Tally, ...], now: float) -> None:
        """Adds what an entry has counted since its last report."""
        window = int(now / WINDOW_SECONDS)
        covers_past = self._resumed and sender not in self._senders
        self._senders.add(sender)
        for tally in tallies:
            key = (sender, tally.route, tally.zone, tally.upstream_id)
            known = self._tallies.get(key, permissions.Tally(*key[1:]))
            answered, failed = tally.answered - known.answered, tally.failed - known.failed
            broken, slow = tally.broken - known.broken, tally.slow - known.slow
            if min(answered, failed, broken, slow) < 0:
                # A late report, or an entry that counts anew.
                continue
            self._tallies[key] = tally
            place = (window, tally.zone, tally.upstream_id)
            counts = self._counts.setdefault(tally.route, {}).setdefault(place, _Counts())
            if tally.upstream_id and broken:
                # A crash breaks off all answers that an upstream gives at the moment.
                event = (window, tally.route, tally.upstream_id)
                broken = int(event not in self._breaks)
                self._breaks.add(event)
            counts.answered += answered
            counts.failed += failed + broken
            counts.slow += 0 if covers_past else slow
            counts.log_seconds += tally.log_seconds - known.log_seconds
        self._forget(window - RETAINED_WINDOWS)

    def slow_seconds(self, now: float) -> dict[str, float]:
        """Returns by route the time from which an answer is slow, where a usual time is known."""
        window = int(now / WINDOW_SECONDS)
        limits = {}
        for route in self._counts:
            for since in (window - RECENT_WINDOWS, window - RETAINED_WINDOWS):
                others = self._others(route, since)
                answered = sum(each.answered for each in others)
                if answered >= MIN_REFERENCE_ANSWERS:
                    mean = sum(each.log_seconds for each in others) / answered
                    usual = math.exp(mean)
                    limits[route] = max(SLOW_FACTOR * usual, usual + MIN_SLOW_SECONDS)
                    break
        return limits

    def answers(self, route: str) -> int:
        """Returns the number of requests of a route whose outcome at the target is known."""
        counts = self._counts.get(route, {})
        return sum(each.total for (_, _, name), each in counts.items() if name)

    def judge(self, now: float) -> Judgement:
        """Returns the finding about the target version."""
        window = int(now / WINDOW_SECONDS)
        open_cause, compared = "", False
        for route in sorted(self._counts):
            # A version that turns bad must not be shielded by what it answered before.
            for since in (window - RETAINED_WINDOWS, window - RECENT_WINDOWS):
                judgement = self._judge_route(route, since)
                if judgement.finding is Finding.BAD:
                    return judgement
                open_cause = open_cause or judgement.cause
            answers = self.answers(route)
            others = sum(each.total for each in self._others(route, 0))
            if others < MIN_REFERENCE_ANSWERS:
                # Nothing can be compared; another route has to decide.
                continue
            compared = True
            needed = min(MIN_ANSWERS, max(1, math.ceil(MIN_ANSWER_SHARE * others)))
            if answers < needed:
                open_cause = open_cause or f"route {route!r}: {answers} answers of {needed}"
        answers = sum(self.answers(route) for route in self._counts)
        others = sum(each.total for route in self._counts for each in self._others(route, 0))
        needed = min(MIN_ALL_ANSWERS, math.ceil(MIN_ALL_SHARE * others))
        if answers < needed:
            open_cause = open_cause or f"{answers} answers of {needed}"
        if not compared:
            open_cause = open_cause or "too few answers of the other versions"
        if open_cause:
            return Judgement(Finding.OPEN, open_cause)
        return Judgement(Finding.GOOD)

    def _judge_route(self, route: str, since: int) -> Judgement:
        """Returns the finding for one route and the windows from `since` on."""
        counts = _without_worst(self._by_upstream(route, since))
        total = sum(each.total for each in counts)
        judgement = Judgement(Finding.GOOD)
        for fault in ("failed", "slow"):
            faults = sum(getattr(each, fault) for each in counts)
            expected = self._expected(route, since, fault)
            cause = (
                f"route {route!r}: {faults} of {total} requests {fault}, "
                f"{expected:.3f} of the other versions"
            )
            allowed = min(1.0, 1.5 * expected + TOLERANCE)
            if faults >= MIN_FAULTS and _lower_bound(faults, total) > allowed:
                return Judgement(Finding.BAD, cause)
            few = total < MIN_CLEAN_ANSWERS
            if faults > 1 + total * allowed or (
                few and self._exceeds_everywhere(route, fault, allowed + FAULTY_UPSTREAM_TOLERANCE)
            ):
                judgement = Judgement(Finding.OPEN, cause)
        return judgement

    def _exceeds_everywhere(self, route: str, fault: str, allowed: float) -> bool:
        """Returns whether all upstreams together have more faults than a good version.

        The whole time counts, since a faulty upstream may have its turn in the newest windows.
        """
        counts = self._by_upstream(route, 0)
        total = sum(each.total for each in counts)
        return sum(getattr(each, fault) for each in counts) > 1 + total * allowed

    def _others(self, route: str, since: int) -> list[_Counts]:
        return [
            each
            for (window, _, name), each in self._counts.get(route, {}).items()
            if not name and window >= since
        ]

    def _by_upstream(self, route: str, since: int) -> list[_Counts]:
        """Returns the counts of the target's upstreams, those with the most faults last."""
        by_upstream: dict[str, _Counts] = {}
        for (window, _, name), each in self._counts[route].items():
            if name and window >= since:
                by_upstream.setdefault(name, _Counts()).add(each)
        return sorted(by_upstream.values(), key=lambda each: each.failed + each.slow)

    def _expected(self, route: str, since: int, fault: str) -> float:
        """Returns the fraction of faults of the other versions, in the same windows and zones."""
        counts = self._counts[route]
        weight, weighted = 0, 0.0
        for (window, zone, name), each in counts.items():
            beside = counts.get((window, zone, ""))
            if name and window >= since and beside is not None and beside.total:
                weight += each.total
                weighted += each.total * getattr(beside, fault) / beside.total
        others = self._others(route, 0)
        overall = sum(getattr(each, fault) for each in others)
        overall /= max(1, sum(each.total for each in others))
        return max(overall, weighted / weight) if weight else overall

    def _forget(self, before: int) -> None:
        """Forgets the windows before one, once for each window."""
        if before <= self._forgotten_at:
            return
        self._forgotten_at = before
        for counts in self._counts.values():
            for place in [each for each in counts if each[0] < before]:
                del counts[place]
        self._breaks = {each for each in self._breaks if each[0] >= before}


def _without_worst(counts: list[_Counts]) -> list[_Counts]:
    """Returns the counts without the last ones; a single one is kept."""
    if len(counts) < 2:
        return counts
    return counts[: len(counts) - max(1, int(LEFT_OUT_FRACTION * len(counts)))]


def _lower_bound(count: int, total: int) -> float:
    """Returns Wilson's lower confidence bound of a fraction."""
    if not total:
        return 0.0
    fraction, squared = count / total, BAD_DEVIATIONS**2
    centre = fraction + squared / (2 * total)
    spread = BAD_DEVIATIONS * math.sqrt(
        fraction * (1 - fraction) / total + squared / (4 * total**2)
    )
    return (centre - spread) / (1 + squared / total)
