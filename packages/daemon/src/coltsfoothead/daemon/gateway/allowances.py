"""An entry's allowances: the parts of the organisations' quotas that it may spend itself."""

import copy
import random
from collections.abc import Awaitable, Callable, Mapping

from coltsfoothead.daemon.gateway import clock
from coltsfoothead.kernel.traffic import document, quota

__all__ = ["Allowances"]

# Fraction of a burst that an entry may spend before the leader has granted it an allowance.
INITIAL_BURST_FRACTION = 0.05
# After a refused draw, draws of the same or a larger amount are refused locally for this long, so
# that a flood does not reach the leader; the bucket refills by a few requests meanwhile.
REFUSED_DRAW_BACKOFF_SECONDS = 0.15


class Allowances:
    """Admits requests against the allowances of the organisations.

    Parameters
    ----------
    rng : random.Random
    draw : callable
        Asks the leader for an amount of an organisation's quota for one request. Returns whether
        the leader granted it, or None if no leader answered.
    """

    def __init__(
        self, rng: random.Random, draw: Callable[[str, float], Awaitable[bool | None]]
    ) -> None:
        self._rng = rng
        self._draw = draw
        self._refused_draws: dict[str, tuple[float, float]] = {}
        self._allowances: dict[str, quota.Allowance] = {}
        self._requested: dict[str, float] = {}

    def copy(
        self, rng: random.Random, draw: Callable[[str, float], Awaitable[bool | None]]
    ) -> "Allowances":
        """Returns independent allowances with the same balances, for a request that is not sent."""
        copied = Allowances(rng, draw)
        copied._refused_draws = dict(self._refused_draws)
        copied._allowances = copy.deepcopy(self._allowances)
        return copied

    def renew(self, grants: Mapping[str, quota.Grant], now: float) -> None:
        """Renews the allowances with the leader's grants; `now` is a time of `clock.steady`."""
        for name, grant in grants.items():
            if name in self._allowances:
                self._allowances[name].renew(grant, now)
            else:
                self._allowances[name] = quota.Allowance(grant, now)

    async def admit(self, organisation: document.Organisation, amount: float) -> bool:
        """Charges `amount` to an organisation's quota; returns whether the request is admitted.

        An amount that the allowance does not cover is drawn from the leader. If no leader answers,
        the rest of the allowance decides.
        """
        limit = organisation.quota
        if limit is None:
            return True
        name, now = organisation.name, clock.steady()
        self._requested[name] = self._requested.get(name, 0.0) + amount
        allowance = self._allowance(name, limit, now)
        if allowance.covers(amount, now):
            return allowance.try_spend(amount, now, self._rng)
        backoff_until, refused_amount = self._refused_draws.get(name, (now, amount))
        if now < backoff_until and amount >= refused_amount:
            return False
        granted = await self._draw(name, amount)
        if granted is None:
            return allowance.try_spend(amount, clock.steady(), self._rng)
        if not granted:
            self._refused_draws[name] = (clock.steady() + REFUSED_DRAW_BACKOFF_SECONDS, amount)
        return granted

    def balance(self, organisation: document.Organisation) -> float | None:
        """Returns what the allowance of an organisation covers; None without a quota."""
        limit, now = organisation.quota, clock.steady()
        if limit is None:
            return None
        return self._allowance(organisation.name, limit, now).balance(now)

    def refund(self, organisation: document.Organisation, amount: float) -> None:
        """Refunds the amount that was charged for a request that did not run."""
        allowance = self._allowances.get(organisation.name)
        if allowance is not None:
            allowance.refund(amount)

    def pop_requested(self) -> dict[str, float]:
        """Returns and clears the amounts requested of each quota since the last call."""
        requested, self._requested = self._requested, {}
        return requested

    def pop_spent(self) -> dict[str, float]:
        """Returns and clears the amounts spent of each quota since the last call."""
        spent = {name: each.pop_spent() for name, each in self._allowances.items()}
        return {name: amount for name, amount in spent.items() if amount}

    def _allowance(self, name: str, limit: document.Quota, now: float) -> quota.Allowance:
        if name not in self._allowances:
            initial_grant = quota.Grant(
                INITIAL_BURST_FRACTION * limit.burst, INITIAL_BURST_FRACTION * limit.rate_per_second
            )
            self._allowances[name] = quota.Allowance(initial_grant, now)
        return self._allowances[name]
