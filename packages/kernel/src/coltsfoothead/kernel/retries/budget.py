"""Retries from a budget per organisation and one for the fleet."""

import dataclasses
import enum
import random

from coltsfoothead.kernel import registry

__all__ = ["GiveUp", "GiveUpReason", "Retry", "RetryBudget", "RetryPolicy", "RetrySettings"]

_REQUESTS_PER_RETRY = 10  # a budget of 10%; whole numbers keep the bound exact
_MAX_ORGANISATIONS = 4_096


class GiveUpReason(enum.Enum):
    """Why a request is not sent again."""

    NOT_REPEATABLE = "request may have run and may not be repeated"
    ATTEMPTS = "attempts are used up"
    DEADLINE = "deadline is too close"
    ORGANISATION_BUDGET = "retry budget of the organisation is used up"
    FLEET_BUDGET = "retry budget of the fleet is used up"


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Send the request again after the delay; the budget has been charged."""

    delay_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """Do not send the request again."""

    reason: GiveUpReason


class RetryBudget:
    """Token buckets that each request fills by a tenth of a retry.

    They start empty, so that attempts never exceed 1.1 times the requests.

    Parameters
    ----------
    burst : int
        Retries that an organisation can save up; the fleet saves up ten times as many.
    """

    def __init__(self, burst: int = 20):
        self._cap = burst * _REQUESTS_PER_RETRY
        self._fleet_cap = 10 * self._cap
        self._organisations: dict[str, int] = {}
        self._fleet = 0

    def request(self, organisation: str) -> None:
        """Counts a first attempt."""
        level = self._organisations.pop(organisation, 0)
        self._organisations[organisation] = min(self._cap, level + 1)
        self._fleet = min(self._fleet_cap, self._fleet + 1)
        if len(self._organisations) > _MAX_ORGANISATIONS:
            del self._organisations[next(iter(self._organisations))]

    def spend(self, organisation: str) -> GiveUp | None:
        """Charges one further attempt to both budgets, or says which one is used up."""
        level = self._organisations.get(organisation, 0)
        if level < _REQUESTS_PER_RETRY:
            return GiveUp(GiveUpReason.ORGANISATION_BUDGET)
        if self._fleet < _REQUESTS_PER_RETRY:
            return GiveUp(GiveUpReason.FLEET_BUDGET)
        self._organisations[organisation] = level - _REQUESTS_PER_RETRY
        self._fleet -= _REQUESTS_PER_RETRY
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class RetrySettings:
    """Attempts in all, and the exponential backoff between them."""

    attempts: int = 3
    first_delay_seconds: float = 0.05
    longest_delay_seconds: float = 2.0


@registry.register("retry", "budget")
class RetryPolicy:
    """Decides whether a failed attempt is followed by another one."""

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

        A request that may not be repeated is sent again only if it certainly did not run.
        """
        settings = self._settings
        if not (repeatable or not_run):
            return GiveUp(GiveUpReason.NOT_REPEATABLE)
        if attempt >= settings.attempts:
            return GiveUp(GiveUpReason.ATTEMPTS)
        longest = settings.first_delay_seconds * 2.0 ** (attempt - 1)
        # Full jitter spreads the retries of requests that failed together.
        delay = rng.uniform(0.0, min(longest, settings.longest_delay_seconds))
        if delay >= seconds_left:
            return GiveUp(GiveUpReason.DEADLINE)
        return self._budget.spend(organisation) or Retry(delay)
