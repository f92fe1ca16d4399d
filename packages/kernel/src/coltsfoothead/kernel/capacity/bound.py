"""Lower bound of the cost at which a trace could have been served."""

import dataclasses
from collections.abc import Mapping, Sequence

from coltsfoothead.kernel.capacity import offers as catalogue

__all__ = ["Interval", "lower_bound"]

_SECONDS_PER_HOUR = 3_600.0
_MAX_VMS = 40  # beyond it whole VMs cost hardly more than fractions


@dataclasses.dataclass(frozen=True, slots=True)
class Interval:
    """A part of a trace with constant demand and offers by model."""

    seconds: float
    tokens_per_second: Mapping[str, float]
    offers: Mapping[str, Sequence[catalogue.Offer]]
    important_share: float = 0.0


def lower_bound(trace: Sequence[Interval]) -> float:
    """Returns a cost below which no fleet could have served the trace.

    Notes
    -----
    Every interval is priced by itself, as if VMs started at once and without reclaims. With one
    model the bound counts whole VMs; with several it counts fractions, because a VM may change
    between models.
    """
    return sum(_price_per_hour(each) * each.seconds / _SECONDS_PER_HOUR for each in trace)


def _price_per_hour(interval: Interval) -> float:
    wanted = {model: rate for model, rate in interval.tokens_per_second.items() if rate > 0}
    total = 0.0
    for model, demand in wanted.items():
        offers = interval.offers[model]
        zones: dict[str, float] = {}
        for offer in offers:
            price = offer.price_per_hour / offer.tokens_per_second
            zones[offer.zone] = min(price, zones.get(offer.zone, price))
        important = demand * interval.important_share
        cost = catalogue.cheapest_capacity(zones, demand, important)
        if cost is None:
            cost = demand * min(zones.values(), default=0.0)
        if len(wanted) == 1:
            cost = max(cost, _whole_vms(offers, demand))
        total += cost
    return total


def _whole_vms(offers: Sequence[catalogue.Offer], demand: float) -> float:
    """Returns the price of the cheapest whole VMs for the demand in any zones."""
    kinds = {(each.price_per_hour, each.tokens_per_second) for each in offers}
    ordered = sorted(kinds, key=lambda kind: kind[0] / kind[1])
    if not ordered or demand / min(speed for _, speed in ordered) > _MAX_VMS:
        return 0.0
    best = float("inf")

    def search(index: int, left: float, cost: float) -> None:
        nonlocal best
        if left <= 0:
            best = min(best, cost)
            return
        if index == len(ordered):
            return
        price, speed = ordered[index]
        if cost + left * price / speed >= best:
            return
        for count in range(int(-(-left // speed)), -1, -1):
            search(index + 1, left - count * speed, cost + count * price)

    search(0, demand, 0.0)
    return best
