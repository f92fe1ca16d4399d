"""What the cloud offers, and the cheapest mix that survives the loss of a zone."""

import dataclasses
import math
from collections.abc import Iterable, Mapping

__all__ = ["Lot", "Offer", "cheapest_capacity", "covers", "mixes"]


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Offer:
    """A kind of VM that can be bought, with the speed at which it serves a certain model."""

    zone: str
    vm_class: str
    reclaimable: bool
    price_per_hour: float
    tokens_per_second: float
    reclaims_per_hour: float = 0.0

    @property
    def kind(self) -> tuple[str, str, bool]:
        """What the cloud is asked for; it does not depend on the model."""
        return self.zone, self.vm_class, self.reclaimable


@dataclasses.dataclass(frozen=True, slots=True)
class Lot:
    """A number of VMs of one offer at an effective price; `count` may be infinite."""

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
        Tokens per second in all, and those that must remain without any one zone.

    Returns
    -------
    float or None
        None if a single zone would have to survive its own loss.
    """
    prices = sorted(unit_prices.values())
    costs = [
        sum(price * each for price, each in zip(prices, fill, strict=False))
        for fill in _fills(len(prices), demand, important)
    ]
    return min(costs, default=None)


def _fills(zones: int, demand: float, important: float) -> list[list[float]]:
    """Returns candidate capacities per zone, cheapest zone first.

    Notes
    -----
    With capacity T in all, no zone may hold more than T - important, and the cheapest zones are
    filled first. The cost is piecewise linear in T with corners at T = demand and where j zones
    are full, T = important * j / (j - 1), so these contain the optimum.
    """
    if zones and important <= 0:
        return [[demand]]
    fills = []
    for used in range(2, zones + 1):
        total = max(demand, important * used / (used - 1))
        cap, left, fill = total - important, total, []
        for _ in range(zones):
            fill.append(min(cap, left))
            left -= fill[-1]
        if left <= 1e-9 * total:
            fills.append(fill)
    return fills


def covers(held: Mapping[Offer, int], demand: float, important: float) -> bool:
    """Returns whether the VMs serve the demand, and the important part without any one zone."""
    zones: dict[str, float] = {}
    for offer, count in held.items():
        zones[offer.zone] = zones.get(offer.zone, 0.0) + count * offer.tokens_per_second
    total = sum(zones.values())
    slack = 1e-9 * max(1.0, demand)
    return total >= demand - slack and total - max(zones.values(), default=0.0) >= important - slack


def mixes(lots: Iterable[Lot], demand: float, important: float) -> list[dict[Offer, int]]:
    """Returns whole-VM mixes that cover the demand, one per number of zones used."""
    zones: dict[str, list[Lot]] = {}
    for lot in sorted(lots, key=lambda each: (each.unit_price, each.offer)):
        zones.setdefault(lot.offer.zone, []).append(lot)
    ordered = sorted(zones.values(), key=lambda each: (each[0].unit_price, each[0].offer))
    found = []
    for fill in _fills(len(ordered), demand, important):
        mix: dict[Offer, int] = {}
        for zone_lots, wanted in zip(ordered, fill, strict=False):
            _buy(mix, zone_lots, wanted)
        missing = [lot for each in ordered for lot in each]
        _top_up(mix, missing, demand, important)
        if covers(mix, demand, important):
            _prune(mix, {lot.offer: lot.unit_price for lot in missing}, demand, important)
            found.append(mix)
    return found


def _buy(mix: dict[Offer, int], lots: list[Lot], wanted: float) -> None:
    for lot in lots:
        if wanted <= 1e-9:
            return
        count = min(lot.count, math.ceil(wanted / lot.offer.tokens_per_second - 1e-9))
        mix[lot.offer] = mix.get(lot.offer, 0) + int(count)
        wanted -= count * lot.offer.tokens_per_second


def _top_up(mix: dict[Offer, int], lots: list[Lot], demand: float, important: float) -> None:
    """Adds VMs of other zones where a zone's lots were too small, cheapest first."""
    for lot in sorted(lots, key=lambda each: (each.unit_price, each.offer)):
        used = mix.get(lot.offer, 0)
        limit = min(lot.count, math.ceil((demand + important) / lot.offer.tokens_per_second) + 1)
        while used < limit and not covers(mix, demand, important):
            used += 1
            mix[lot.offer] = used


def _prune(
    mix: dict[Offer, int], prices: Mapping[Offer, float], demand: float, important: float
) -> None:
    """Drops VMs that rounding up made superfluous, dearest first."""
    for offer in sorted(mix, key=lambda each: (prices[each], each), reverse=True):
        while mix[offer]:
            mix[offer] -= 1
            if not covers(mix, demand, important):
                mix[offer] += 1
                break
        if not mix[offer]:
            del mix[offer]
