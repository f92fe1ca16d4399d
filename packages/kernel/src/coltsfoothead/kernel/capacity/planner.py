"""Plans VM starts and drains as the difference between a target mix and the cloud's VM list."""

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


_LISTING_TIMEOUT_SECONDS = 120.0  # an accepted start that is not listed by then is lost


class VmState(enum.Enum):
    """State of a VM in the cloud's VM list."""

    STARTING = "starting"
    RUNNING = "running"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """One VM in the cloud's VM list; a VM with a reclaim notice is `LEAVING`."""

    vm: str
    client_token: str
    offer: catalogue.Offer
    model: str
    state: VmState


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Demand for a model, and the share that must survive the loss of any one zone."""

    model: str
    tokens_per_second: float
    important_share: float


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Start a VM; the client token makes repeated starts idempotent."""

    client_token: str
    offer: catalogue.Offer
    model: str


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Drain a superfluous VM, then stop it."""

    vm: str


@dataclasses.dataclass(frozen=True, slots=True)
class Shortfall:
    """No mix of the available offers covers the demand of the model."""

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
    """Settings of the planner.

    Parameters
    ----------
    headroom : float
        Planned capacity as a multiple of the demand.
    reclaim_cost_hours : float
        Cost of one reclaim, by replacement and recomputation, in hours of the VM's price.
    held_price_factor : float
        Factor on the price of VMs that are held, which avoids churn between nearly equal prices.
    surplus_seconds : float
        Time for which a VM must be surplus before it is drained.
    """

    headroom: float = 1.1
    reclaim_cost_hours: float = 0.1
    held_price_factor: float = 0.9
    surplus_seconds: float = 120.0


@registry.register("capacity", "cheapestmix")
class CapacityPlanner:
    """Plans the cheapest VM mix that serves the important share without any one zone.

    Notes
    -----
    The plan is the difference between the target mix and the cloud's VM list, so a new lease holder
    doesn't buy VMs that exist already. A start counts as held until the list shows its token, and
    is repeated with the same token until it is accepted or refused. Leaving VMs don't count, so
    their replacements are ordered by the first plan after the reclaim notice.
    """

    def __init__(self, fence: int, settings: CapacitySettings | None = None):
        self._fence = fence
        self._settings = settings or CapacitySettings()
        self._backoff = starts.StartBackoff()
        self._pending: dict[str, Start] = {}
        self._accepted_at: dict[str, float] = {}
        self._step = 0
        self._surplus_since: dict[str, float] = {}

    def record_refused(self, start: Start, now: float, rng: random.Random) -> None:
        """Records that the cloud refused a start; other zones and VM classes are used meanwhile."""
        if self._pending.pop(start.client_token, None) is not None:
            self._backoff.record_refused(start.offer.kind, now, rng)

    def record_withdrawn(self, start: Start) -> None:
        """Removes a start that was not sent to the cloud, for example because of the budget."""
        self._pending.pop(start.client_token, None)

    def record_accepted(self, start: Start, now: float) -> None:
        """Records that the cloud accepted a start, which its VM list will show."""
        self._backoff.record_accepted(start.offer.kind)
        self._accepted_at.setdefault(start.client_token, now)

    def plan(
        self,
        demands: Sequence[Demand],
        available: Mapping[str, Sequence[catalogue.Offer]],
        listed: Sequence[Vm],
        now: float,
    ) -> Plan:
        """Returns the orders that lead from the cloud's VM list to the target mix.

        `available` holds the offers by model, because their speeds differ by model.
        """
        self._remove_settled_starts(listed, now)
        repeated = tuple(self._pending.values())
        ordered: list[Start] = []
        drains: list[Drain] = []
        shortfalls: list[Shortfall] = []
        for demand in demands:
            held = [vm for vm in listed if vm.model == demand.model and vm.state != VmState.LEAVING]
            counts = collections.Counter(vm.offer for vm in held)
            counts.update(s.offer for s in repeated if s.model == demand.model)
            offers = available.get(demand.model, ())
            target_mix = self._cheapest_mix(demand, offers, counts, now)
            if target_mix is None:
                shortfalls.append(self._shortfall(demand, counts))
                target_mix = self._best_effort(demand, offers, counts, now)
            for offer, count in sorted(target_mix.items()):
                for _ in range(count - counts[offer]):
                    ordered.append(self._start(offer, demand.model))
            drains += self._drains(demand, held, target_mix, now)
        unlisted = self._surplus_since.keys() - {vm.vm for vm in listed}
        for vm in unlisted:
            del self._surplus_since[vm]
        return Plan((*repeated, *ordered), tuple(drains), tuple(shortfalls))

    def _remove_settled_starts(self, listed: Sequence[Vm], now: float) -> None:
        """Removes pending starts that are listed, or that were accepted but never listed."""
        settled = {vm.client_token for vm in listed}
        accepted_before = now - _LISTING_TIMEOUT_SECONDS
        settled |= {token for token, at in self._accepted_at.items() if at < accepted_before}
        for token in settled:
            self._pending.pop(token, None)
            self._accepted_at.pop(token, None)
            fence, _, step = token.partition("-")
            if fence == str(self._fence) and step.isdigit():
                # A start that reuses a token of this fence would not buy a VM.
                self._step = max(self._step, int(step))

    def _required_rates(self, demand: Demand) -> tuple[float, float]:
        total = demand.tokens_per_second * self._settings.headroom
        return total, demand.tokens_per_second * demand.important_share

    def _cheapest_mix(
        self,
        demand: Demand,
        available: Sequence[catalogue.Offer],
        counts: Mapping[catalogue.Offer, int],
        now: float,
    ) -> dict[catalogue.Offer, int] | None:
        mixes = catalogue.candidate_mixes(
            self._supply(available, counts, now), *self._required_rates(demand)
        )

        def cost(mix: Mapping[catalogue.Offer, int]) -> float:
            price_factor = self._settings.held_price_factor
            return sum(
                self._price(offer) * (count - (1 - price_factor) * min(count, counts.get(offer, 0)))
                for offer, count in mix.items()
            )

        return min(mixes, key=cost, default=None)

    def _price(self, offer: catalogue.Offer) -> float:
        risk = offer.reclaims_per_hour * self._settings.reclaim_cost_hours
        return offer.price_per_hour * (1.0 + risk)

    def _supply(
        self,
        available: Sequence[catalogue.Offer],
        counts: Mapping[catalogue.Offer, int],
        now: float,
    ) -> list[catalogue.PricedVms]:
        """Returns the available VMs; VMs of refused offers only as far as they are held."""
        supply = []
        for offer in {*available, *counts}:
            price = self._price(offer)
            if offer in available and not self._backoff.is_blocked(offer.kind, now):
                supply.append(catalogue.PricedVms(offer, math.inf, price))
            held = counts.get(offer, 0)
            if held:
                held_price = price * self._settings.held_price_factor
                supply.append(catalogue.PricedVms(offer, held, held_price))
        return supply

    def _best_effort(
        self,
        demand: Demand,
        available: Sequence[catalogue.Offer],
        counts: Mapping[catalogue.Offer, int],
        now: float,
    ) -> dict[catalogue.Offer, int]:
        """Returns the held VMs plus the cheapest mix that ignores the loss of a zone, if any."""
        total, _ = self._required_rates(demand)
        mixes = catalogue.candidate_mixes(self._supply(available, counts, now), total, 0.0)
        merged = dict(counts)
        for offer, count in (mixes[0] if mixes else {}).items():
            merged[offer] = max(count, merged.get(offer, 0))
        return merged

    def _shortfall(self, demand: Demand, counts: Mapping[catalogue.Offer, int]) -> Shortfall:
        total, important = self._required_rates(demand)
        zone_capacity: collections.Counter[str] = collections.Counter()
        for offer, count in counts.items():
            zone_capacity[offer.zone] += count * offer.tokens_per_second
        total_held = sum(zone_capacity.values())
        remaining = total_held - max(zone_capacity.values(), default=0.0)
        return Shortfall(demand.model, max(0.0, total - total_held, important - remaining))

    def _start(self, offer: catalogue.Offer, model: str) -> Start:
        self._step += 1
        start = Start(f"{self._fence}-{self._step}", offer, model)
        self._pending[start.client_token] = start
        return start

    def _drains(
        self,
        demand: Demand,
        held: Sequence[Vm],
        target_mix: Mapping[catalogue.Offer, int],
        now: float,
    ) -> list[Drain]:
        """Drains VMs with a lasting surplus, as far as the other running VMs cover the demand."""
        running = collections.Counter(vm.offer for vm in held if vm.state is VmState.RUNNING)
        surplus = collections.Counter(vm.offer for vm in held)
        surplus.subtract(target_mix)
        drains = []
        for vm in sorted(held, key=lambda each: each.vm, reverse=True):
            if surplus[vm.offer] <= 0:
                self._surplus_since.pop(vm.vm, None)
                continue
            surplus[vm.offer] -= 1
            surplus_since = self._surplus_since.setdefault(vm.vm, now)
            if now - surplus_since < self._settings.surplus_seconds:
                continue
            remaining = running.copy()
            remaining[vm.offer] -= vm.state is VmState.RUNNING
            if catalogue.covers_demand(remaining, *self._required_rates(demand)):
                running = remaining
                drains.append(Drain(vm.vm))
        return drains
