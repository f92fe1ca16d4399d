"""An entry's allowances of the organisations' quotas."""

import random
from collections.abc import Mapping

from coltsfoothead.kernel.traffic import document, quota

__all__ = ["Allowances"]

# Part of a burst that an entry may spend before the leader has given it an allowance.
FIRST_PART = 0.05


class Allowances:
    """Allowances by organisation.

    Parameters
    ----------
    rng : random.Random
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._allowances: dict[str, quota.Allowance] = {}
        self._asked: dict[str, float] = {}

    def renew(self, grants: Mapping[str, quota.Grant], now: float) -> None:
        """Takes the allowances that the leader gave, at a steady time."""
        for name, grant in grants.items():
            if name in self._allowances:
                self._allowances[name].renew(grant, now)
            else:
                self._allowances[name] = quota.Allowance(grant, now)

    def admit(self, organisation: document.Organisation, amount: float, now: float) -> bool:
        """Takes `amount` from an organisation's allowance; returns whether it is admitted."""
        limit = organisation.quota
        if limit is None:
            return True
        name = organisation.name
        self._asked[name] = self._asked.get(name, 0.0) + amount
        if name not in self._allowances:
            first = quota.Grant(FIRST_PART * limit.burst, FIRST_PART * limit.rate_per_second)
            self._allowances[name] = quota.Allowance(first, now)
        return self._allowances[name].take(amount, now, self._rng)

    def give_back(self, organisation: document.Organisation, amount: float) -> None:
        """Returns what was taken for a request that did not run."""
        allowance = self._allowances.get(organisation.name)
        if allowance is not None:
            allowance.give_back(amount)

    def take_asked(self) -> dict[str, float]:
        """Returns what callers asked of each quota since the last call."""
        asked, self._asked = self._asked, {}
        return asked

    def take_spent(self) -> dict[str, float]:
        """Returns what was spent of each quota since the last call."""
        spent = {name: each.take_spent() for name, each in self._allowances.items()}
        return {name: amount for name, amount in spent.items() if amount}
