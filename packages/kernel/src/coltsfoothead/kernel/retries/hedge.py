"""Hedged requests: a second attempt once the first is later than most."""

import collections
import dataclasses
import enum

from coltsfoothead.kernel import registry, sketch
from coltsfoothead.kernel.retries import budget as budgets

__all__ = [
    "Fire",
    "HedgeAfter",
    "HedgePolicy",
    "HedgeRace",
    "Late",
    "NoHedge",
    "NoHedgeReason",
    "Winner",
]

_QUANTILE = 0.95
_MINIMUM_SAMPLES = 40  # below this the p95 rests on fewer than two samples
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
class Fire:
    """Send the second attempt now; the budget has been charged."""

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Winner:
    """The first answer; the other attempts are to be cancelled."""

    attempt: int
    cancel: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Late:
    """The answer of an attempt that has lost; it is dropped."""

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

    def add(self) -> int:
        """Adds an attempt and returns its number."""
        self._attempts.append(len(self._attempts) + 1)
        return self._attempts[-1]

    def answered(self, attempt: int) -> Winner | Late | None:
        """Takes the first part of an answer; None for further parts of the winner."""
        if self._winner is None:
            self._winner = attempt
            return Winner(attempt, tuple(each for each in self._attempts if each != attempt))
        return None if attempt == self._winner else Late(attempt)


@registry.register("hedge", "p95")
class HedgePolicy:
    """Hedges after the observed p95 of the time to the first token, per group of requests."""

    def __init__(self, budget: budgets.RetryBudget):
        self._budget = budget
        self._seconds: collections.OrderedDict[str, sketch.QuantileSketch] = (
            collections.OrderedDict()
        )

    def observe(self, group: str, seconds: float) -> None:
        """Counts the time to the first token of an attempt that was not cancelled."""
        if group not in self._seconds:
            self._seconds[group] = sketch.QuantileSketch(smallest=0.001)
        self._seconds.move_to_end(group)
        self._seconds[group].add(seconds)
        if len(self._seconds) > _MAX_GROUPS:
            self._seconds.popitem(last=False)

    def plan(self, group: str, repeatable: bool, seconds_left: float) -> HedgeAfter | NoHedge:
        """Decides, when a request is sent, whether and when it is hedged."""
        if not repeatable:
            return NoHedge(NoHedgeReason.NOT_REPEATABLE)
        seen = self._seconds.get(group)
        if seen is None or seen.total < _MINIMUM_SAMPLES:
            return NoHedge(NoHedgeReason.TOO_FEW_SAMPLES)
        delay = seen.quantile(_QUANTILE)
        if delay >= seconds_left:
            return NoHedge(NoHedgeReason.DEADLINE)
        return HedgeAfter(delay)

    def fire(self, organisation: str, race: HedgeRace) -> Fire | NoHedge:
        """Starts the second attempt if there is no answer yet and the budget allows it."""
        if race.winner is not None:
            return NoHedge(NoHedgeReason.ANSWERED)
        if self._budget.spend(organisation) is not None:
            return NoHedge(NoHedgeReason.BUDGET)
        return Fire(race.add())
