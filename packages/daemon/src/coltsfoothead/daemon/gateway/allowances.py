"""An entry's allowances of the organisations' quotas."""

import random
from collections.abc import Awaitable, Callable, Mapping

from coltsfoothead.daemon.gateway import clock
from coltsfoothead.kernel.traffic import document, quota

__all__ = ["Allowances"]

# Part of a burst that an entry may spend before the leader has given it an allowance.
FIRST_PART = 0.05
# After a refused draw, draws of as much or more are not tried for this long, so that a flood does
# not reach the leader; a bucket gains a few requests meanwhile.
DRY_SECONDS = 0.15


class Allowances:
    """Allowances by organisation.

    Parameters
    ----------
    rng : random.Random
    draw : callable
        Asks the leader for an amount of an organisation's quota for one request. Returns whether it
        gave it, or None if no leader answered.
    """

    def __init__(
        self, rng: random.Random, draw: Callable[[str, float], Awaitable[bool | None]]
    ) -> None:
        self._rng = rng
        self._draw = draw
        self._dry: dict[str, tuple[float, float]] = {}
        self._allowances: dict[str, quota.Allowance] = {}
        self._asked: dict[str, float] = {}

    def renew(self, grants: Mapping[str, quota.Grant], now: float) -> None:
        """Takes the allowances that the leader gave, at a steady time."""
        for name, grant in grants.items():
            if name in self._allowances:
                self._allowances[name].renew(grant, now)
            else:
                self._allowances[name] = quota.Allowance(grant, now)

    async def admit(self, organisation: document.Organisation, amount: float) -> bool:
        """Takes `amount` of an organisation's quota; returns whether the request is admitted.

        What the allowance does not cover is drawn from the leader. Without a leader, what is left
        of the allowance decides.
        """
        limit = organisation.quota
        if limit is None:
            return True
        name, now = organisation.name, clock.steady()
        self._asked[name] = self._asked.get(name, 0.0) + amount
        if name not in self._allowances:
            first = quota.Grant(FIRST_PART * limit.burst, FIRST_PART * limit.rate_per_second)
            self._allowances[name] = quota.Allowance(first, now)
        allowance = self._allowances[name]
        if allowance.covers(amount, now):
            return allowance.try_spend(amount, now, self._rng)
        dry_until, refused = self._dry.get(name, (now, amount))
        if now < dry_until and amount >= refused:
            return False
        drawn = await self._draw(name, amount)
        if drawn is None:
            return allowance.try_spend(amount, clock.steady(), self._rng)
        if not drawn:
            self._dry[name] = (clock.steady() + DRY_SECONDS, amount)
        return drawn

    def give_back(self, organisation: document.Organisation, amount: float) -> None:
        """Returns what was taken for a request that did not run."""
        allowance = self._allowances.get(organisation.name)
        if allowance is not None:
            allowance.refund(amount)

    def take_asked(self) -> dict[str, float]:
        """Returns what callers asked of each quota since the last call."""
        asked, self._asked = self._asked, {}
        return asked

    def take_spent(self) -> dict[str, float]:
        """Returns what was spent of each quota since the last call."""
        spent = {name: each.pop_spent() for name, each in self._allowances.items()}
        return {name: amount for name, amount in spent.items() if amount}
