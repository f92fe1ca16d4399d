"""Quotas of organisations over all entries.

The leader keeps one token bucket per organisation. An entry may spend an allowance until its next
exchange with the leader; the allowances that are out together never exceed a part of what the
bucket holds. The rest is for requests larger than an allowance, which entries draw one by one.
While no leader renews an allowance it grows by the entry's part of the rate, so that callers within
their quota are served until another leader is elected.
"""

import dataclasses
import random
from collections.abc import Mapping

from coltsfoothead.kernel.traffic import document

__all__ = ["Allowance", "Grant", "Pool", "Tolerance", "cost", "divide", "share"]

# Part of what a bucket holds that is handed out as allowances; the rest is for draws. The longest
# prompts of the sheets are near half of a burst, and an entry's allowance is a fraction of it.
HANDED_PART = 0.6
# Part of what is left that is divided evenly, so that an entry without recent demand can admit.
EVEN_PART = 0.25
# Part of the tolerance that is used; the rest covers requests that are larger than an allowance.
USED_PART = 0.5
# Part of its burst that a bucket holds whose past is not known.
FIRST_PART = 0.5
# An allowance that was not renewed for this long grows by itself; exchanges come twice a second or
# more often.
RENEWAL_SECONDS = 0.75


@dataclasses.dataclass(frozen=True, slots=True)
class Tolerance:
    """By how much the platform lets a quota be exceeded.

    Attributes
    ----------
    overage : float
        Part of rate and burst.
    slack : float
        Units besides.
    """

    overage: float = 0.0
    slack: float = 0.0


def cost(quota: document.Quota, tokens: int | None) -> float:
    """Returns what a request counts against a quota."""
    if not quota.counts_tokens:
        return 1.0
    return float(tokens) if tokens is not None else quota.default_tokens


def divide(amount: float, demand: Mapping[str, float]) -> dict[str, float]:
    """Divides what a bucket holds among entries.

    Parameters
    ----------
    amount : float
    demand : mapping of str to float
        Units per second that callers asked of each entry.

    Returns
    -------
    dict of str to float
        The parts add up to `amount`, or are 0 if there is nothing left.
    """
    total = sum(demand.values())
    amount = max(0.0, amount)
    return {entry: amount * share(wanted, total, len(demand)) for entry, wanted in demand.items()}


def share(wanted: float, total: float, entries: int) -> float:
    """Returns the part of an amount that an entry gets.

    Parameters
    ----------
    wanted, total : float
        Units per second that callers asked of this entry and of all.
    entries : int
    """
    asked = wanted / total if total > 0 else 1 / entries
    return EVEN_PART / entries + (1 - EVEN_PART) * asked


class Pool:
    """Token bucket of one organisation at the leader.

    Parameters
    ----------
    quota : Quota
    tolerance : Tolerance
    now : float
        Steady seconds.
    """

    def __init__(self, quota: document.Quota, tolerance: Tolerance, now: float) -> None:
        self._tolerance = tolerance
        self._at = now
        self._level = 0.0
        self.set_quota(quota, now)
        self._level = FIRST_PART * self._burst

    def set_quota(self, quota: document.Quota, now: float) -> None:
        """Takes a changed quota; nothing above a smaller burst is kept."""
        if self._at < now:
            self.level(now)
        part = 1 + USED_PART * self._tolerance.overage
        self._rate = quota.rate_per_second * part
        self._burst = quota.burst * part + USED_PART * self._tolerance.slack
        self._level = min(self._level, self._burst)

    def spend(self, amount: float) -> None:
        """Takes what an entry has spent; the bucket may go below zero."""
        self._level -= amount

    def draw(self, amount: float, now: float) -> bool:
        """Takes a single request's amount, if what is not handed out as allowances covers it."""
        if amount > (1 - HANDED_PART) * self.level(now):
            return False
        self._level -= amount
        return True

    def level(self, now: float) -> float:
        """Returns what the bucket holds."""
        gained = max(0.0, now - self._at) * self._rate
        self._level = min(self._burst, self._level + gained)
        self._at = max(self._at, now)
        return self._level


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """What the leader lets an entry spend: an amount, and a rate per second if it falls silent."""

    amount: float
    rate: float = 0.0


class Allowance:
    """What one entry may spend of one organisation's quota until its next exchange.

    A request larger than what is left is admitted with the probability that its part is left, so
    that large requests are neither always refused nor admitted beyond the allowance on average.

    Parameters
    ----------
    grant : Grant
    now : float
        Steady seconds.
    """

    def __init__(self, grant: Grant, now: float) -> None:
        self._spent = 0.0
        self.renew(grant, now)

    def renew(self, grant: Grant, now: float) -> None:
        """Replaces the allowance by a new one of the leader."""
        self._left = grant.amount
        self._rate = grant.rate
        self._grows_from = now + RENEWAL_SECONDS

    def covers(self, amount: float, now: float) -> bool:
        """Returns whether the allowance is at least `amount`."""
        if now > self._grows_from:
            self._left += (now - self._grows_from) * self._rate
            self._grows_from = now
        return self._left >= amount

    def take(self, amount: float, now: float, rng: random.Random) -> bool:
        """Takes `amount`; returns whether the request is admitted."""
        if not self.covers(amount, now) and rng.random() * amount >= self._left:
            return False
        # What is taken beyond the allowance is owed, so that many tries do not add up to more.
        self._left -= amount
        self._spent += amount
        return True

    def give_back(self, amount: float) -> None:
        """Returns what was taken for a request that did not run."""
        self._left += amount
        self._spent -= amount

    def take_spent(self) -> float:
        """Returns what was spent since the last call."""
        spent, self._spent = self._spent, 0.0
        return spent
