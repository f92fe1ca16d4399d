"""Lower bound of the cost at which a trace could have been served."""

import dataclasses
from collections.abc import Mapping, Sequence

from coltsfoothead.kernel.capacity import offers as catalogue

__all__ = ["Interval", "lower_bound"]

_SECONDS_PER_HOUR = 3_600.0
_MAX_EXACT_VMS = 40  # above it, whole VMs cost hardly more than fractions


@dataclasses.dataclass(frozen=True, slots=True)
class Interval:
    """Part of a trace in which the demand and the offers, by model, are constant."""

    seconds: float
    tokens_per_second: Mapping[str, float]
    offers: Mapping[str, Sequence[catalogue.Offer]]
    important_share: float = 0.0


def lower_bound(trace: Sequence[Interval]) -> float:
    """Returns a cost below which no fleet could have served the trace.

    Notes
    -----
    Every interval is priced independently, as if VMs started instantly and were never reclaimed.
    With one model the bound counts whole VMs; with several it counts fractions of VMs, because a
    VM may change its model.
    """
    return sum(_price_per_hour(each) * each.seconds / _SECONDS_PER_HOUR for each in trace)


def _price_per_hour(interval: Interval) -> float:
    demands = {model: rate for model, rate in interval.tokens_per_second.items() if rate > 0}
    total_cost = 0.0
    for model, demand in demands.items():
        offers = interval.offers[model]
        zone_prices: dict[str, float] = {}
        for offer in offers:
            price = offer.price_per_hour / offer.tokens_per_second
            zone_prices[offer.zone] = min(price, zone_prices.get(offer.zone, price))
        important = demand * interval.important_share
        cost = catalogue.cheapest_capacity(zone_prices, demand, important)
        if cost is None:
            cost = demand * min(zone_prices.values(), default=0.0)
        if len(demands) == 1:
            cost = max(cost, _whole_vm_price(offers, demand))
        total_cost += cost
    return total_cost


def _whole_vm_price(offers: Sequence[catalogue.Offer], demand: float) -> float:
    """Returns the price of the cheapest whole VMs that serve the demand, in any zones."""
    kinds = {(each.price_per_hour, each.tokens_per_second) for each in offers}
    ordered = sorted(kinds, key=lambda kind: kind[0] / kind[1])
    if not ordered or demand / min(speed for _, speed in ordered) > _MAX_EXACT_VMS:
        return 0.0
    lowest_cost = float("inf")

    def search(index: int, unmet: float, cost: float) -> None:
        nonlocal lowest_cost
        if unmet <= 0:
            lowest_cost = min(lowest_cost, cost)
            return
        if index == len(ordered):
            return
        price, speed = ordered[index]
        if cost + unmet * price / speed >= lowest_cost:
            return
        for count in range(int(-(-unmet // speed)), -1, -1):
            search(index + 1, unmet - count * speed, cost + count * price)

    search(0, demand, 0.0)
    return lowest_cost
