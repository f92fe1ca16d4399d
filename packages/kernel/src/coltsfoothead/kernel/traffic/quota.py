"""Quotas of organisations over all entries.

The leader keeps one token bucket per organisation. It grants each entry an allowance, which the
entry may spend until its next exchange with the leader. The sum of all allowances never exceeds a
fraction of the bucket's level. The rest is for requests larger than an allowance; for each of these
an entry draws on the bucket itself. While no leader renews an allowance, it grows by the entry's
share of the rate, so that callers within their quota are served until a new leader is elected.
"""

import dataclasses
import random
from collections.abc import Mapping

from coltsfoothead.kernel.traffic import document

__all__ = ["Allowance", "Grant", "TokenBucket", "Tolerance", "cost", "divide", "share"]

# Fraction of a bucket's level that is granted as allowances; the rest is for draws. The longest
# prompts of the platform's specification cost nearly half of a burst, of which the allowance of one
# entry is only a fraction.
GRANTED_FRACTION = 0.6
# Fraction of an amount that is divided equally, so that an entry without recent demand can admit
# requests.
EQUAL_FRACTION = 0.25
# Fraction of the tolerance that is used; the rest covers requests larger than an allowance.
USED_TOLERANCE_FRACTION = 0.5
# Fraction of the burst with which a new bucket starts, as earlier spending is unknown.
INITIAL_FRACTION = 0.5
# Time without renewal after which an allowance grows; entries exchange messages with the leader at
# least twice a second.
RENEWAL_TIMEOUT_SECONDS = 0.75


@dataclasses.dataclass(frozen=True, slots=True)
class Tolerance:
    """How far a quota may be exceeded.

    Attributes
    ----------
    overage : float
        Fraction of the rate and of the burst.
    slack : float
        Further units, requests or tokens.
    """

    overage: float = 0.0
    slack: float = 0.0


def cost(quota: document.Quota, tokens: int | None) -> float:
    """Returns the cost of a request in units of the quota, 1 or its tokens."""
    if not quota.counts_tokens:
        return 1.0
    return float(tokens) if tokens is not None else quota.default_tokens


def divide(amount: float, demands: Mapping[str, float]) -> dict[str, float]:
    """Divides an amount among entries.

    Parameters
    ----------
    amount : float
        Units of the quota.
    demands : mapping of str to float
        Demand at each entry in units per second.

    Returns
    -------
    dict of str to float
        Amounts by entry. They add up to `amount`, or are all 0 if it is negative.
    """
    total = sum(demands.values())
    amount = max(0.0, amount)
    return {entry: amount * share(demand, total, len(demands)) for entry, demand in demands.items()}


def share(demand: float, total_demand: float, entries: int) -> float:
    """Returns the fraction of an amount that an entry receives.

    Parameters
    ----------
    demand, total_demand : float
        Demand at this entry and at all entries in units per second.
    entries : int
        Number of entries.
    """
    demand_fraction = demand / total_demand if total_demand > 0 else 1 / entries
    return EQUAL_FRACTION / entries + (1 - EQUAL_FRACTION) * demand_fraction


class TokenBucket:
    """Token bucket of one organisation at the leader.

    Parameters
    ----------
    quota : Quota
    tolerance : Tolerance
    now : float
        Steady time in seconds.
    """

    def __init__(self, quota: document.Quota, tolerance: Tolerance, now: float) -> None:
        self._tolerance = tolerance
        self._updated_at = now
        self._level = 0.0
        self.set_quota(quota, now)
        self._level = INITIAL_FRACTION * self._burst

    def set_quota(self, quota: document.Quota, now: float) -> None:
        """Sets the quota; reduces the level to the new burst if it is higher."""
        if self._updated_at < now:
            self.level(now)
        factor = 1 + USED_TOLERANCE_FRACTION * self._tolerance.overage
        self._rate = quota.rate_per_second * factor
        self._burst = quota.burst * factor + USED_TOLERANCE_FRACTION * self._tolerance.slack
        self._level = min(self._level, self._burst)

    def debit(self, amount: float) -> None:
        """Deducts an amount that an entry has spent; the level may become negative."""
        self._level -= amount

    def draw(self, amount: float, now: float) -> bool:
        """Deducts the cost of one request if the part that is not granted as allowances covers it.

        Returns
        -------
        bool
            Whether the amount was deducted.
        """
        if amount > (1 - GRANTED_FRACTION) * self.level(now):
            return False
        self._level -= amount
        return True

    def level(self, now: float) -> float:
        """Returns the level at a steady time in seconds."""
        refill = max(0.0, now - self._updated_at) * self._rate
        self._level = min(self._burst, self._level + refill)
        self._updated_at = max(self._updated_at, now)
        return self._level


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Permission of the leader for an entry to spend units of a quota.

    Attributes
    ----------
    amount : float
        Units that the entry may spend until its next exchange with the leader.
    rate : float
        Units per second that are added while the leader does not renew the grant.
    """

    amount: float
    rate: float = 0.0


class Allowance:
    """Units of one organisation's quota that an entry may spend until its next exchange.

    A request that costs more than the balance is admitted with the probability balance / cost.
    Large requests are thus neither always refused nor do they exceed the grant on average.

    Parameters
    ----------
    grant : Grant
    now : float
        Steady time in seconds.
    """

    def __init__(self, grant: Grant, now: float) -> None:
        self._spent = 0.0
        self.renew(grant, now)

    def renew(self, grant: Grant, now: float) -> None:
        """Replaces the balance by a new grant of the leader."""
        self._balance = grant.amount
        self._rate = grant.rate
        self._grows_from = now + RENEWAL_TIMEOUT_SECONDS

    def covers(self, amount: float, now: float) -> bool:
        """Returns whether the balance is at least `amount`."""
        return self.balance(now) >= amount

    def balance(self, now: float) -> float:
        """Returns the balance at a steady time in seconds."""
        if now > self._grows_from:
            self._balance += (now - self._grows_from) * self._rate
            self._grows_from = now
        return self._balance

    def try_spend(self, amount: float, now: float, rng: random.Random) -> bool:
        """Spends the cost of a request if it is admitted; returns whether it is."""
        if not self.covers(amount, now) and rng.random() * amount >= self._balance:
            return False
        # The balance may become negative, so that repeated large requests do not exceed the grant.
        self._balance -= amount
        self._spent += amount
        return True

    def refund(self, amount: float) -> None:
        """Adds back the cost of a request that did not run."""
        self._balance += amount
        self._spent -= amount

    def pop_spent(self) -> float:
        """Returns the amount spent since the last call."""
        spent, self._spent = self._spent, 0.0
        return spent
