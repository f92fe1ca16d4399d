"""Plans which VMs to start and which to drain, as a difference to the cloud's own list."""

import collections
import dataclasses
import enum
import math
import random
from collections.abc import Mapping, Sequence

from coltsfoothead.kernel import registry
from coltsfoothead.kernel.capacity import offers as catalogue
from coltsfoothead.kernel.capacity import starts

__all__ = [
    "CapacityPlanner",
    "CapacitySettings",
    "Demand",
    "Drain",
    "Plan",
    "Shortfall",
    "Start",
    "Vm",
    "VmState",
]


_LISTED_WITHIN_SECONDS = 120.0  # an accepted start missing from the list for longer is lost


class VmState(enum.Enum):
    """State of a VM in the cloud's list."""

    STARTING = "starting"
    RUNNING = "running"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """One VM in the cloud's list; a VM under a reclaim notice is leaving."""

    vm: str
    client_token: str
    offer: catalogue.Offer
    model: str
    state: VmState


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Tokens per second of a model, and the share that must survive the loss of a zone."""

    model: str
    tokens_per_second: float
    important_share: float


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Start a VM; repeating the token does not buy a second one."""

    client_token: str
    offer: catalogue.Offer
    model: str


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Drain a VM that is not needed, then stop it."""

    vm: str


@dataclasses.dataclass(frozen=True, slots=True)
class Shortfall:
    """No mix of what can be bought now covers the demand of the model."""

    model: str
    missing_tokens_per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Orders of one planning step."""

    starts: tuple[Start, ...]
    drains: tuple[Drain, ...]
    shortfalls: tuple[Shortfall, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CapacitySettings:
    """Constants of the plan.

    Parameters
    ----------
    headroom : float
        Capacity planned per demand.
    reclaim_cost_hours : float
        Hours of price that one reclaim costs in replacement and recomputation.
    keep_discount : float
        Factor on the price of VMs that are held, so that nearly equal prices cause no churn.
    surplus_seconds : float
        Time for which a VM must be superfluous before it is drained.
    """

    headroom: float = 1.1
    reclaim_cost_hours: float = 0.1
    keep_discount: float = 0.9
    surplus_seconds: float = 120.0


@registry.register("capacity", "cheapestmix")
class CapacityPlanner:
    """Holds the cheapest mix of VMs that keeps the important share without any one zone.

    Notes
    -----
    The plan is the difference between the wanted mix and the cloud's list, so a new lease holder
    buys nothing that exists. A start is counted as held until the list shows its token, and is
    repeated with the same token until it is accepted or refused. Leaving VMs count for nothing,
    so their replacement is ordered with the first plan after the notice.
    """

    def __init__(self, fence: int, settings: CapacitySettings | None = None):
        self._fence = fence
        self._settings = settings or CapacitySettings()
        self._backoff = starts.StartBackoff()
        self._pending: dict[str, Start] = {}
        self._accepted_at: dict[str, float] = {}
        self._step = 0
        self._surplus_since: dict[str, float] = {}

    def refused(self, start: Start, now: float, rng: random.Random) -> None:
        """Notes that the cloud refused a start; other zones and classes are planned meanwhile."""
        if self._pending.pop(start.client_token, None) is not None:
            self._backoff.refused(start.offer.kind, now, rng)

    def withdrawn(self, start: Start) -> None:
        """Forgets a start that the cloud was never asked for, for example beyond the budget."""
        self._pending.pop(start.client_token, None)

    def accepted(self, start: Start, now: float) -> None:
        """Notes that the cloud accepted a start, which its list will show."""
        self._backoff.started(start.offer.kind)
        self._accepted_at.setdefault(start.client_token, now)

    def plan(
        self,
        demands: Sequence[Demand],
        available: Mapping[str, Sequence[catalogue.Offer]],
        listed: Sequence[Vm],
        now: float,
    ) -> Plan:
        """Returns the orders that lead from the cloud's list to the wanted mix.

        `available` holds the offers by model, because their speeds differ by model.
        """
        self._settle(listed, now)
        repeated = tuple(self._pending.values())
        ordered: list[Start] = []
        drains: list[Drain] = []
        shortfalls: list[Shortfall] = []
        for demand in demands:
            held = [vm for vm in listed if vm.model == demand.model and vm.state != VmState.LEAVING]
            counts = collections.Counter(vm.offer for vm in held)
            counts.update(s.offer for s in repeated if s.model == demand.model)
            offers = available.get(demand.model, ())
            wanted = self._wanted(demand, offers, counts, now)
            if wanted is None:
                shortfalls.append(self._shortfall(demand, counts))
                wanted = self._best_effort(demand, offers, counts, now)
            for offer, count in sorted(wanted.items()):
                for _ in range(count - counts[offer]):
                    ordered.append(self._start(offer, demand.model))
            drains += self._drains(demand, held, wanted, now)
        gone = self._surplus_since.keys() - {vm.vm for vm in listed}
        for vm in gone:
            del self._surplus_since[vm]
        return Plan((*repeated, *ordered), tuple(drains), tuple(shortfalls))

    def _settle(self, listed: Sequence[Vm], now: float) -> None:
        """Forgets the starts that the list shows, or that were accepted and then vanished."""
        shown = {vm.client_token for vm in listed}
        limit = now - _LISTED_WITHIN_SECONDS
        shown |= {token for token, at in self._accepted_at.items() if at < limit}
        for token in shown:
            self._pending.pop(token, None)
            self._accepted_at.pop(token, None)
            fence, _, step = token.partition("-")
            if fence == str(self._fence) and step.isdigit():
                # A token used twice under one fence would buy nothing.
                self._step = max(self._step, int(step))

    def _needs(self, demand: Demand) -> tuple[float, float]:
        total = demand.tokens_per_second * self._settings.headroom
        return total, demand.tokens_per_second * demand.important_share

    def _wanted(
        self,
        demand: Demand,
        available: Sequence[catalogue.Offer],
        counts: Mapping[catalogue.Offer, int],
        now: float,
    ) -> dict[catalogue.Offer, int] | None:
        found = catalogue.mixes(self._lots(available, counts, now), *self._needs(demand))

        def cost(mix: Mapping[catalogue.Offer, int]) -> float:
            kept = self._settings.keep_discount
            return sum(
                self._price(offer) * (count - (1 - kept) * min(count, counts.get(offer, 0)))
                for offer, count in mix.items()
            )

        return min(found, key=cost, default=None)

    def _price(self, offer: catalogue.Offer) -> float:
        risk = offer.reclaims_per_hour * self._settings.reclaim_cost_hours
        return offer.price_per_hour * (1.0 + risk)

    def _lots(
        self,
        available: Sequence[catalogue.Offer],
        counts: Mapping[catalogue.Offer, int],
        now: float,
    ) -> list[catalogue.Lot]:
        """Returns what can be had; refused offers only as far as they are held."""
        lots = []
        for offer in {*available, *counts}:
            price = self._price(offer)
            if offer in available and not self._backoff.is_blocked(offer.kind, now):
                lots.append(catalogue.Lot(offer, math.inf, price))
            held = counts.get(offer, 0)
            if held:
                discounted = price * self._settings.keep_discount
                lots.append(catalogue.Lot(offer, held, discounted))
        return lots

    def _best_effort(
        self,
        demand: Demand,
        available: Sequence[catalogue.Offer],
        counts: Mapping[catalogue.Offer, int],
        now: float,
    ) -> dict[catalogue.Offer, int]:
        """Returns the cheapest mix that ignores the loss of a zone, or else what is held."""
        total, _ = self._needs(demand)
        whole = catalogue.mixes(self._lots(available, counts, now), total, 0.0)
        merged = dict(counts)
        for offer, count in (whole[0] if whole else {}).items():
            merged[offer] = max(count, merged.get(offer, 0))
        return merged

    def _shortfall(self, demand: Demand, counts: Mapping[catalogue.Offer, int]) -> Shortfall:
        total, important = self._needs(demand)
        zones: collections.Counter[str] = collections.Counter()
        for offer, count in counts.items():
            zones[offer.zone] += count * offer.tokens_per_second
        held = sum(zones.values())
        remaining = held - max(zones.values(), default=0.0)
        return Shortfall(demand.model, max(0.0, total - held, important - remaining))

    def _start(self, offer: catalogue.Offer, model: str) -> Start:
        self._step += 1
        start = Start(f"{self._fence}-{self._step}", offer, model)
        self._pending[start.client_token] = start
        return start

    def _drains(
        self,
        demand: Demand,
        held: Sequence[Vm],
        wanted: Mapping[catalogue.Offer, int],
        now: float,
    ) -> list[Drain]:
        """Drains lasting surplus, but only while the running VMs cover the demand without it."""
        running = collections.Counter(vm.offer for vm in held if vm.state is VmState.RUNNING)
        spare = collections.Counter(vm.offer for vm in held)
        spare.subtract(wanted)
        drains = []
        for vm in sorted(held, key=lambda each: each.vm, reverse=True):
            if spare[vm.offer] <= 0:
                self._surplus_since.pop(vm.vm, None)
                continue
            spare[vm.offer] -= 1
            since = self._surplus_since.setdefault(vm.vm, now)
            if now - since < self._settings.surplus_seconds:
                continue
            without = running.copy()
            without[vm.offer] -= vm.state is VmState.RUNNING
            if catalogue.covers(without, *self._needs(demand)):
                running = without
                drains.append(Drain(vm.vm))
        return drains
