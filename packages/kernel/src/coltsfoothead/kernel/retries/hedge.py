"""Hedged requests: a second attempt once the first exceeds a latency quantile."""

import collections
import dataclasses
import enum

from coltsfoothead.kernel import registry, sketch
from coltsfoothead.kernel.retries import budget as budgets

__all__ = [
    "HedgeAfter",
    "HedgePolicy",
    "HedgeRace",
    "LateAnswer",
    "NoHedge",
    "NoHedgeReason",
    "SendHedge",
    "Winner",
]

_HEDGE_QUANTILE = 0.95
_MIN_SAMPLES = 40  # below it, fewer than two samples lie above the p95
_MAX_GROUPS = 256


class NoHedgeReason(enum.Enum):
    """Why no second attempt is made."""

    NOT_REPEATABLE = "request may not be repeated"
    TOO_FEW_SAMPLES = "too few latencies were observed"
    DEADLINE = "deadline comes before the hedge"
    ANSWERED = "an attempt has answered"
    BUDGET = "retry budget is used up"


@dataclasses.dataclass(frozen=True, slots=True)
class HedgeAfter:
    """Call `fire` if there is no answer after the delay."""

    delay_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class NoHedge:
    """No second attempt is made."""

    reason: NoHedgeReason


@dataclasses.dataclass(frozen=True, slots=True)
class SendHedge:
    """Send the second attempt now; the budget has been charged."""

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Winner:
    """The first attempt that answered, and the attempts to cancel."""

    attempt: int
    cancel: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LateAnswer:
    """The answer of an attempt that did not win; it is discarded."""

    attempt: int


class HedgeRace:
    """The attempts of one request, numbered from 1; the first answer wins."""

    def __init__(self) -> None:
        self._attempts = [1]
        self._winner: int | None = None

    @property
    def winner(self) -> int | None:
        """Number of the attempt that answered first."""
        return self._winner

    def add_attempt(self) -> int:
        """Adds an attempt and returns its number."""
        self._attempts.append(len(self._attempts) + 1)
        return self._attempts[-1]

    def record_answer(self, attempt: int) -> Winner | LateAnswer | None:
        """Records a part of an answer; returns None for further parts of the winner's answer."""
        if self._winner is None:
            self._winner = attempt
            return Winner(attempt, tuple(each for each in self._attempts if each != attempt))
        return None if attempt == self._winner else LateAnswer(attempt)


@registry.register("hedge", "p95")
class HedgePolicy:
    """Hedges after the observed p95 of the time to the first token, per group of requests."""

    def __init__(self, budget: budgets.RetryBudget):
        self._budget = budget
        self._first_token_seconds: collections.OrderedDict[str, sketch.QuantileSketch] = (
            collections.OrderedDict()
        )

    def observe(self, group: str, seconds: float) -> None:
        """Records the time to the first token of an attempt that was not cancelled."""
        if group not in self._first_token_seconds:
            self._first_token_seconds[group] = sketch.QuantileSketch(min_value=0.001)
        self._first_token_seconds.move_to_end(group)
        self._first_token_seconds[group].add(seconds)
        if len(self._first_token_seconds) > _MAX_GROUPS:
            self._first_token_seconds.popitem(last=False)

    def plan(self, group: str, repeatable: bool, seconds_left: float) -> HedgeAfter | NoHedge:
        """Decides on sending a request whether and when it is hedged."""
        if not repeatable:
            return NoHedge(NoHedgeReason.NOT_REPEATABLE)
        latencies = self._first_token_seconds.get(group)
        if latencies is None or latencies.total < _MIN_SAMPLES:
            return NoHedge(NoHedgeReason.TOO_FEW_SAMPLES)
        delay_seconds = latencies.quantile(_HEDGE_QUANTILE)
        if delay_seconds >= seconds_left:
            return NoHedge(NoHedgeReason.DEADLINE)
        return HedgeAfter(delay_seconds)

    def fire(self, organisation: str, race: HedgeRace) -> SendHedge | NoHedge:
        """Starts the second attempt if there is no answer yet and the budget allows it."""
        if race.winner is not None:
            return NoHedge(NoHedgeReason.ANSWERED)
        if self._budget.spend(organisation) is not None:
            return NoHedge(NoHedgeReason.BUDGET)
        return SendHedge(race.add_attempt())
