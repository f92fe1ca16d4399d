"""Offers of the cloud, and VM mixes that survive the loss of a zone."""

import dataclasses
import math
from collections.abc import Iterable, Mapping

__all__ = ["Offer", "PricedVms", "candidate_mixes", "cheapest_capacity", "covers_demand"]


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Offer:
    """A kind of VM that can be bought, with the rate at which it serves a certain model."""

    zone: str
    vm_class: str
    reclaimable: bool
    price_per_hour: float
    tokens_per_second: float
    reclaims_per_hour: float = 0.0

    @property
    def kind(self) -> tuple[str, str, bool]:
        """Zone, VM class and market in a start request; they don't depend on the model."""
        return self.zone, self.vm_class, self.reclaimable


@dataclasses.dataclass(frozen=True, slots=True)
class PricedVms:
    """VMs of one offer at an effective price per VM; `count` may be infinite."""

    offer: Offer
    count: float
    price_per_hour: float

    @property
    def unit_price(self) -> float:
        """Effective price of one token per second."""
        return self.price_per_hour / self.offer.tokens_per_second


def cheapest_capacity(
    unit_prices: Mapping[str, float], demand: float, important: float
) -> float | None:
    """Returns the lowest price of fractional capacity that survives the loss of any one zone.

    Parameters
    ----------
    unit_prices : mapping of str to float
        Lowest price of one token per second by zone.
    demand, important : float
        Tokens per second in total, and those that must remain after the loss of any one zone.

    Returns
    -------
    float or None
        None if there is no zone, or a single one whose loss `important` would have to survive.
    """
    prices = sorted(unit_prices.values())
    costs = [
        sum(price * each for price, each in zip(prices, fill, strict=False))
        for fill in _zone_capacities(len(prices), demand, important)
    ]
    return min(costs, default=None)


def _zone_capacities(zones: int, demand: float, important: float) -> list[list[float]]:
    """Returns candidate capacities per zone, cheapest zone first.

    Notes
    -----
    With total capacity T, no zone may hold more than T - important, and the cheapest zones are
    filled first. The cost is piecewise linear in T with corners at T = demand and where j zones
    are full, T = important * j / (j - 1), so these contain the optimum.
    """
    if zones and important <= 0:
        return [[demand]]
    fills = []
    for zones_used in range(2, zones + 1):
        total = max(demand, important * zones_used / (zones_used - 1))
        zone_limit, unassigned, fill = total - important, total, []
        for _ in range(zones):
            fill.append(min(zone_limit, unassigned))
            unassigned -= fill[-1]
        if unassigned <= 1e-9 * total:
            fills.append(fill)
    return fills


def covers_demand(held: Mapping[Offer, int], demand: float, important: float) -> bool:
    """Returns whether VMs serve the demand, and the important part without any one zone."""
    zone_capacity: dict[str, float] = {}
    for offer, count in held.items():
        zone_capacity[offer.zone] = (
            zone_capacity.get(offer.zone, 0.0) + count * offer.tokens_per_second
        )
    total = sum(zone_capacity.values())
    tolerance = 1e-9 * max(1.0, demand)
    return (
        total >= demand - tolerance
        and total - max(zone_capacity.values(), default=0.0) >= important - tolerance
    )


def candidate_mixes(
    supply: Iterable[PricedVms], demand: float, important: float
) -> list[dict[Offer, int]]:
    """Returns mixes of whole VMs that cover the demand, at most one per number of zones used."""
    supply_by_zone: dict[str, list[PricedVms]] = {}
    for priced in sorted(supply, key=lambda each: (each.unit_price, each.offer)):
        supply_by_zone.setdefault(priced.offer.zone, []).append(priced)
    ordered = sorted(supply_by_zone.values(), key=lambda each: (each[0].unit_price, each[0].offer))
    covering_mixes = []
    for fill in _zone_capacities(len(ordered), demand, important):
        mix: dict[Offer, int] = {}
        for zone_supply, capacity in zip(ordered, fill, strict=False):
            _add_vms(mix, zone_supply, capacity)
        all_supply = [priced for each in ordered for priced in each]
        _top_up(mix, all_supply, demand, important)
        if covers_demand(mix, demand, important):
            _prune(
                mix, {priced.offer: priced.unit_price for priced in all_supply}, demand, important
            )
            covering_mixes.append(mix)
    return covering_mixes


def _add_vms(mix: dict[Offer, int], supply: list[PricedVms], capacity: float) -> None:
    for priced in supply:
        if capacity <= 1e-9:
            return
        count = min(priced.count, math.ceil(capacity / priced.offer.tokens_per_second - 1e-9))
        mix[priced.offer] = mix.get(priced.offer, 0) + int(count)
        capacity -= count * priced.offer.tokens_per_second


def _top_up(
    mix: dict[Offer, int], supply: list[PricedVms], demand: float, important: float
) -> None:
    """Adds the cheapest VMs of any zone until the demand is covered or the supply is used up."""
    for priced in sorted(supply, key=lambda each: (each.unit_price, each.offer)):
        count = mix.get(priced.offer, 0)
        limit = min(
            priced.count, math.ceil((demand + important) / priced.offer.tokens_per_second) + 1
        )
        while count < limit and not covers_demand(mix, demand, important):
            count += 1
            mix[priced.offer] = count


def _prune(
    mix: dict[Offer, int], prices: Mapping[Offer, float], demand: float, important: float
) -> None:
    """Removes VMs that are superfluous because of rounding up, most expensive first."""
    for offer in sorted(mix, key=lambda each: (prices[each], each), reverse=True):
        while mix[offer]:
            mix[offer] -= 1
            if not covers_demand(mix, demand, important):
                mix[offer] += 1
                break
        if not mix[offer]:
            del mix[offer]
