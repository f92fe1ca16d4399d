"""How many runners of each kind to order in each zone."""

import dataclasses
from collections.abc import Iterable

from coltsfoothead.kernel.traffic import document, upstreams

__all__ = ["Demand", "Order", "RunnerPlan"]

# An order that could not be met is tried again after this time.
RETRY_SECONDS = 3.0
# Runners per zone that no reclaim can take.
BASE = 1
# Runners per zone in all.
WANTED = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Rates per second that callers ask of a service."""

    requests: float
    prompt_tokens: float
    output_tokens: float


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Number of runners of one kind in one zone."""

    zone: str
    count: int
    reclaimable: bool


class RunnerPlan:
    """Plans the runners of one service.

    Parameters
    ----------
    service : Service
    """

    def __init__(self, service: document.Service) -> None:
        assert service.scaling is not None
        self._scaling = service.scaling
        self._ordered: dict[tuple[str, bool], int] = {}
        self._refused: dict[tuple[str, bool], float] = {}

    def orders(
        self, known: Iterable[upstreams.Upstream], demand: Demand, now: float
    ) -> list[Order]:
        """Returns the orders that differ from those given before."""
        ready = [each for each in known if each.state is upstreams.State.READY]
        due = []
        for zone in sorted(self._scaling.zone_prices):
            here = [each for each in ready if each.zone == zone]
            cheap = max(0, min(self._scaling.maximum, WANTED) - BASE)
            held = sum(each.reclaimable for each in here)
            missing = cheap - held if self._refused.get((zone, True)) else 0
            for order in (Order(zone, BASE + missing, False), Order(zone, cheap, True)):
                key = (zone, order.reclaimable)
                tried = self._refused.get(key)
                if self._ordered.get(key) != order.count or (
                    tried is not None and now - tried >= RETRY_SECONDS
                ):
                    due.append(order)
        return due

    def ordered(self, order: Order, taken: bool, now: float) -> None:
        """Notes the outcome of an order."""
        key = (order.zone, order.reclaimable)
        self._ordered[key] = order.count
        if taken:
            self._refused.pop(key, None)
        else:
            self._refused[key] = now
