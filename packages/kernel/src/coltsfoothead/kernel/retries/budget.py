"""Retry policy with one budget per organisation and one for the fleet."""

import dataclasses
import enum
import random

from coltsfoothead.kernel import registry

__all__ = ["GiveUp", "GiveUpReason", "Retry", "RetryBudget", "RetryPolicy", "RetrySettings"]

_REQUESTS_PER_RETRY = 10  # a budget of 10%; integer arithmetic keeps the bound exact
_MAX_ORGANISATIONS = 4_096


class GiveUpReason(enum.Enum):
    """Why a request is not retried."""

    NOT_REPEATABLE = "request may have run and may not be repeated"
    ATTEMPTS = "attempts are used up"
    DEADLINE = "deadline is too close"
    ORGANISATION_BUDGET = "retry budget of the organisation is used up"
    FLEET_BUDGET = "retry budget of the fleet is used up"


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Retry the request after the delay; the budget has been charged."""

    delay_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """Do not retry the request."""

    reason: GiveUpReason


class RetryBudget:
    """Token buckets to which each request adds a tenth of a retry.

    The buckets start empty, so that attempts never exceed 1.1 times the requests.

    Parameters
    ----------
    burst : int
        Capacity of an organisation's bucket in retries; the fleet's bucket holds ten times as many.
    """

    def __init__(self, burst: int = 20):
        self._max_level = burst * _REQUESTS_PER_RETRY
        self._fleet_max_level = 10 * self._max_level
        self._organisation_levels: dict[str, int] = {}
        self._fleet_level = 0

    def record_request(self, organisation: str) -> None:
        """Counts a first attempt."""
        level = self._organisation_levels.pop(organisation, 0)
        self._organisation_levels[organisation] = min(self._max_level, level + 1)
        self._fleet_level = min(self._fleet_max_level, self._fleet_level + 1)
        if len(self._organisation_levels) > _MAX_ORGANISATIONS:
            del self._organisation_levels[next(iter(self._organisation_levels))]

    def spend(self, organisation: str) -> GiveUp | None:
        """Charges one retry to both budgets; returns a refusal if one of them is used up."""
        level = self._organisation_levels.get(organisation, 0)
        if level < _REQUESTS_PER_RETRY:
            return GiveUp(GiveUpReason.ORGANISATION_BUDGET)
        if self._fleet_level < _REQUESTS_PER_RETRY:
            return GiveUp(GiveUpReason.FLEET_BUDGET)
        self._organisation_levels[organisation] = level - _REQUESTS_PER_RETRY
        self._fleet_level -= _REQUESTS_PER_RETRY
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class RetrySettings:
    """Maximum number of attempts, and the exponential backoff between them."""

    max_attempts: int = 3
    initial_delay_seconds: float = 0.05
    max_delay_seconds: float = 2.0


@registry.register("retry", "budget")
class RetryPolicy:
    """Decides whether a failed attempt is retried."""

    def __init__(self, budget: RetryBudget, settings: RetrySettings | None = None):
        self._budget = budget
        self._settings = settings or RetrySettings()

    def decide(
        self,
        organisation: str,
        attempt: int,
        repeatable: bool,
        not_run: bool,
        seconds_left: float,
        rng: random.Random,
    ) -> Retry | GiveUp:
        """Decides after attempt number `attempt` (from 1) has failed.

        A request that is not repeatable is retried only if it certainly did not run.
        """
        settings = self._settings
        if not (repeatable or not_run):
            return GiveUp(GiveUpReason.NOT_REPEATABLE)
        if attempt >= settings.max_attempts:
            return GiveUp(GiveUpReason.ATTEMPTS)
        max_delay_seconds = settings.initial_delay_seconds * 2.0 ** (attempt - 1)
        # Full jitter spreads the retries of requests that failed together.
        delay_seconds = rng.uniform(0.0, min(max_delay_seconds, settings.max_delay_seconds))
        if delay_seconds >= seconds_left:
            return GiveUp(GiveUpReason.DEADLINE)
        return self._budget.spend(organisation) or Retry(delay_seconds)
