"""Capacity plan: how many reclaimable and on-demand runners to order in each zone.

Reclaimable runners cost a fraction of the price of on-demand ones, but the cloud may reclaim all
those of a zone at once. The plan spreads reclaimable runners over the zones so that the rest meets
the demand when one zone loses its own. While a zone has none to offer, the other zones get its
share. On-demand runners only substitute for reclaimable ones that are not available. Reclaimable
runners are released a tenth at a time, and only while answers meet their objectives.
"""

import collections
import dataclasses
import math
from collections.abc import Collection

from coltsfoothead.kernel.speeds import fleet, rates
from coltsfoothead.kernel.traffic import demandmeter, document, runnercapacity, upstreams

__all__ = ["Order", "PlanState", "RunnerPlan", "busy_runners", "required_runners"]

# Rates of a runner of nominal speed.
PREFILL_TOKENS_PER_SECOND = rates.IDLE_PREFILL_TOKENS_PER_SECOND
DECODE_TOKENS_PER_SECOND = rates.DECODE_TOKENS_PER_SECOND
# Fraction of the runners required at that utilisation that has to survive the next loss of a zone's
# reclaimable runners. Losses follow each other within seconds, and a runner takes seconds to start.
SURVIVING_FRACTION = 0.75
# Fraction of the runners required that has to survive the next two losses together, while a zone
# offers no reclaimable runners. Several zones may lose theirs within a second.
DOUBLE_LOSS_FRACTION = 0.5
# Runners that are kept while the demand is not known yet.
MIN_RUNNERS = 3
# Half-life of the recorded peak of the demand; callers come in waves of 40 s. The on-demand runners
# follow a peak that decays faster.
PEAK_HALF_LIFE_SECONDS = 30.0
ON_DEMAND_PEAK_HALF_LIFE_SECONDS = 5.0
# Time that a new plan waits before its first orders, in which every runner announces itself once. A
# plan that continues from the state of another process does not wait.
DISCOVERY_SECONDS = 2.0
# Time since the first demand until which the initial runners are replaced one for one.
LEARNING_SECONDS = 15.0
# An order is repeated if its runners have not announced themselves this long after their boot time.
ANNOUNCEMENT_GRACE_SECONDS = 2.0
# Time after which an order that the cloud refused is repeated.
RETRY_SECONDS = 2.0
# On-demand runners are released after there have been too many of them for this time.
RELEASE_DELAY_SECONDS = 5.0
# Interval at which reclaimable runners are released while there are too many, and the fraction
# that is released at once. The effect of one step shows in the latencies before the next one.
RECLAIMABLE_RELEASE_INTERVAL_SECONDS = 6.0
RECLAIMABLE_RELEASE_FRACTION = 0.1
# Number of zones that may lose their reclaimable runners while the rest still meets the demand.
TOLERATED_ZONE_LOSSES = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """The number of reclaimable or on-demand runners that a zone should have."""

    zone: str
    count: int
    reclaimable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class IssuedOrder:
    """An order with its outcome.

    Attributes
    ----------
    order : Order
    taken : bool
        Whether the cloud accepted the order.
    age_seconds : float
        Time since the order was issued.
    """

    order: Order
    taken: bool
    age_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class PlanState:
    """State from which another process continues a plan.

    Attributes
    ----------
    given : tuple of IssuedOrder
        The last order for each zone and kind of runner.
    peak, dear_peak : DemandRates
        Decaying peaks of the demand that determine the numbers of reclaimable and of on-demand
        runners.
    present : int
        Number of initial runners, which were there before the first demand.
    known_seconds : float or None
        Time since the first demand; None before it.
    load_per_runner : float
        Load that one runner carries within the objectives.
    """

    given: tuple[IssuedOrder, ...]
    peak: demandmeter.DemandRates
    dear_peak: demandmeter.DemandRates
    present: int
    known_seconds: float | None
    load_per_runner: float = runnercapacity.INITIAL_LOAD_PER_RUNNER


@dataclasses.dataclass(slots=True)
class _LastOrder:
    count: int
    issued_at: float
    accepted: bool


def busy_runners(demand: demandmeter.DemandRates) -> float:
    """Returns the number of runners that a demand keeps busy at their nominal rates."""
    return fleet.EQUAL.busy_runners(demand)


def required_runners(
    demand: demandmeter.DemandRates,
    load_per_runner: float,
    speeds: fleet.FleetSpeeds = fleet.EQUAL,
) -> int:
    """Returns the number of runners among which each gets at most `load_per_runner`."""
    return math.ceil(speeds.busy_runners(demand) / load_per_runner)


class RunnerPlan:
    """Plans the runners of one service.

    Parameters
    ----------
    service : Service
    state : PlanState, optional
        State of the plan at the process that planned before.
    now : float, optional
        Steady time in seconds; needed with a state.
    """

    def __init__(
        self, service: document.Service, state: PlanState | None = None, now: float = 0.0
    ) -> None:
        assert service.scaling is not None
        self._service = service
        self._scaling = service.scaling
        self._zones = sorted(self._scaling.zone_prices, key=self._scaling.zone_prices.__getitem__)
        # By zone and whether the runners are reclaimable.
        self._last_orders: dict[tuple[str, bool], _LastOrder] = {}
        self._surplus_since: float | None = None
        self._reclaimable_surplus_since: float | None = None
        self._capacity = runnercapacity.RunnerCapacity(self._scaling.boot_seconds)
        self._peak = self._on_demand_peak = demandmeter.DemandRates()
        self._peaks_updated_at: float | None = None
        self._planning_since: float | None = None
        # Number of runners before the first demand, and the time of the first demand.
        self._initial_runners = MIN_RUNNERS
        self._demand_since: float | None = None
        self._speeds = fleet.EQUAL
        self._zone_choice = fleet.ZoneChoice(self._scaling.zone_prices)
        if state is not None:
            self._restore(state, now)

    @property
    def service(self) -> document.Service:
        """The service at the time when the plan was created."""
        return self._service

    @property
    def load_per_runner(self) -> float:
        """Load that one runner carries within the objectives, as learned so far."""
        return self._capacity.load_per_runner

    def state(self, now: float) -> PlanState:
        """Returns the state from which another process can continue the plan."""
        return PlanState(
            tuple(
                IssuedOrder(
                    Order(zone, last.count, reclaimable), last.accepted, now - last.issued_at
                )
                for (zone, reclaimable), last in self._last_orders.items()
            ),
            self._peak,
            self._on_demand_peak,
            self._initial_runners,
            now - self._demand_since if self._demand_since is not None else None,
            self._capacity.load_per_runner,
        )

    def _restore(self, state: PlanState, now: float) -> None:
        for each in state.given:
            key = (each.order.zone, each.order.reclaimable)
            self._last_orders[key] = _LastOrder(
                each.order.count, now - each.age_seconds, each.taken
            )
        self._peak, self._on_demand_peak = state.peak, state.dear_peak
        self._peaks_updated_at = now
        self._initial_runners = state.present
        self._capacity = runnercapacity.RunnerCapacity(
            self._scaling.boot_seconds, state.load_per_runner
        )
        if state.known_seconds is not None:
            self._demand_since = now - state.known_seconds
        self._planning_since = now - DISCOVERY_SECONDS

    def due_orders(
        self,
        runners: Collection[upstreams.Upstream],
        demand: demandmeter.DemandRates,
        now: float,
        speeds: fleet.FleetSpeeds = fleet.EQUAL,
    ) -> list[Order]:
        """Returns the orders to issue now.

        Parameters
        ----------
        runners : collection of Upstream
            Runners of the service, in any state.
        demand : DemandRates
        now : float
            Steady time in seconds.
        speeds : FleetSpeeds, optional
            Speeds of the runners.
        """
        if not self._zones:
            return []
        ready = [each for each in runners if each.state is upstreams.State.READY]
        self._speeds = speeds
        self._zone_choice.update(speeds, ready, self._seconds_since_update(now))
        self._update_peaks(demand, now)
        self._planning_since = now if self._planning_since is None else self._planning_since
        if now - self._planning_since < DISCOVERY_SECONDS:
            return []
        ready_reclaimable = collections.Counter(each.zone for each in ready if each.reclaimable)
        ready_on_demand = collections.Counter(each.zone for each in ready if not each.reclaimable)
        if self._peak.requests == 0:
            # Includes runners whose first announcement arrives after their release was ordered.
            on_demand_runners = sum(not each.reclaimable for each in runners)
            self._initial_runners = max(self._initial_runners, on_demand_runners)
        elif self._demand_since is None:
            self._demand_since = now
        capacity = self._speeds.capacity(ready)
        self._capacity.update(self._speeds.busy_runners(demand), capacity, demand, now)
        wanted_reclaimable = self._wanted_reclaimable(now)
        wanted_on_demand = self._wanted_on_demand(
            wanted_reclaimable, [each for each in ready if each.reclaimable], ready_on_demand, now
        )
        due = []
        for zone in self._zones:
            for count, ready_count, reclaimable in (
                (wanted_reclaimable[zone], ready_reclaimable[zone], True),
                (wanted_on_demand[zone], ready_on_demand[zone], False),
            ):
                if self._is_due(zone, reclaimable, count, ready_count, now):
                    due.append(Order(zone, count, reclaimable))
        # Reclaimable runners are cheaper and are ordered before on-demand ones are released.
        return sorted(due, key=lambda order: not order.reclaimable)

    def record_outcome(self, order: Order, accepted: bool, now: float) -> None:
        """Records whether the cloud accepted an order."""
        self._last_orders[(order.zone, order.reclaimable)] = _LastOrder(order.count, now, accepted)

    def _seconds_since_update(self, now: float) -> float:
        return now - self._peaks_updated_at if self._peaks_updated_at is not None else math.inf

    def _update_peaks(self, demand: demandmeter.DemandRates, now: float) -> None:
        seconds = self._seconds_since_update(now)
        self._peaks_updated_at = now
        self._peak = demandmeter.decayed_peak(self._peak, demand, seconds, PEAK_HALF_LIFE_SECONDS)
        self._on_demand_peak = demandmeter.decayed_peak(
            self._on_demand_peak, demand, seconds, ON_DEMAND_PEAK_HALF_LIFE_SECONDS
        )

    def _wanted_reclaimable(self, now: float) -> dict[str, int]:
        """Returns the wanted number of reclaimable runners by zone."""
        capacity = required_runners(self._peak, self._capacity.load_per_runner, self._speeds)
        required = max(self._zone_choice.heads(capacity), MIN_RUNNERS)
        if self._demand_since is None or now - self._demand_since < LEARNING_SECONDS:
            share = self._initial_runners / len(self._zones)
            required = max(required, math.ceil(share) * (len(self._zones) - TOLERATED_ZONE_LOSSES))
        offering = [zone for zone in self._zones if self._offers_reclaimable(zone)]
        per_zone = self._reclaimable_per_zone(required, len(self._zones))
        per_offering_zone = self._reclaimable_per_zone(required, len(offering))
        targets = {
            zone: per_offering_zone if zone in offering else per_zone for zone in self._zones
        }
        return self._released_stepwise(targets, now)

    def _reclaimable_per_zone(self, required: int, zone_count: int) -> int:
        """Returns the runners of each of some zones that together outlast the loss of one zone."""
        surviving_zones = max(1, zone_count - TOLERATED_ZONE_LOSSES)
        return min(self._scaling.maximum, math.ceil(required / surviving_zones))

    def _offers_reclaimable(self, zone: str) -> bool:
        """Returns whether the cloud did not refuse the last order in a zone."""
        last = self._last_orders.get((zone, True))
        return last is None or last.accepted

    def _released_stepwise(self, targets: dict[str, int], now: float) -> dict[str, int]:
        """Returns the reclaimable runners that each zone keeps on the way to lower numbers."""
        kept = {}
        for zone, target in targets.items():
            last = self._last_orders.get((zone, True))
            kept[zone] = max(target, last.count if last is not None and last.accepted else 0)
        surplus = sum(kept.values()) - sum(targets.values())
        if not surplus or self._capacity.answers_late:
            self._reclaimable_surplus_since = None
            return kept
        if self._reclaimable_surplus_since is None:
            self._reclaimable_surplus_since = now
        if now - self._reclaimable_surplus_since < RECLAIMABLE_RELEASE_INTERVAL_SECONDS:
            return kept
        self._reclaimable_surplus_since = now
        step = max(1, int(RECLAIMABLE_RELEASE_FRACTION * sum(kept.values())))
        for _ in range(min(surplus, step)):
            kept[
                self._zone_choice.dearest({zone: kept[zone] - targets[zone] for zone in kept})
            ] -= 1
        return kept

    def _wanted_on_demand(
        self,
        wanted_reclaimable: dict[str, int],
        reclaimable: list[upstreams.Upstream],
        ready_on_demand: collections.Counter[str],
        now: float,
    ) -> dict[str, int]:
        """Returns the wanted number of on-demand runners by zone.

        They substitute for reclaimable runners that are missing.
        """
        ready_reclaimable = collections.Counter(each.zone for each in reclaimable)
        # Runners without an order of this plan may have been ordered by another process.
        counts = {
            zone: ready_on_demand[zone] if self._demand_since is not None else 0
            for zone in self._zones
        }
        for (zone, is_reclaimable), last in self._last_orders.items():
            if not is_reclaimable and zone in counts:
                counts[zone] = last.count
        strained_load = self._capacity.strained_load_per_runner
        required = required_runners(self._on_demand_peak, strained_load, self._speeds)
        ready_total = self._speeds.capacity(reclaimable)
        largest = self._speeds.zone_capacities(reclaimable)
        dry = not all(self._offers_reclaimable(zone) for zone in self._zones)
        if dry:
            required = max(required, MIN_RUNNERS)
        shortage = required - ready_total
        if any(ready_reclaimable[zone] < wanted_reclaimable[zone] for zone in self._zones):
            surviving = math.ceil(SURVIVING_FRACTION * required)
            shortage = max(shortage, surviving - ready_total + sum(largest[:1]))
        if dry:
            surviving = math.ceil(DOUBLE_LOSS_FRACTION * required)
            shortage = max(shortage, surviving - ready_total + sum(largest[:2]))
        surplus = sum(counts.values()) - max(0, self._zone_choice.heads(shortage))
        if surplus <= 0:
            self._surplus_since = None
            return self._add_runners(counts, ready_reclaimable, -surplus)
        self._surplus_since = now if self._surplus_since is None else self._surplus_since
        if now - self._surplus_since < RELEASE_DELAY_SECONDS:
            return counts
        return self._remove_runners(counts, surplus)

    def _add_runners(
        self, counts: dict[str, int], ready_reclaimable: collections.Counter[str], added: int
    ) -> dict[str, int]:
        """Adds runners up to the maximum of each zone, evenly but more in cheaper zones."""
        for _ in range(added):
            open_zones = [
                zone
                for zone in self._zones
                if ready_reclaimable[zone] + counts[zone] < self._scaling.maximum
            ]
            if not open_zones:
                break
            heads = {zone: ready_reclaimable[zone] + counts[zone] for zone in open_zones}
            counts[self._zone_choice.cheapest(heads)] += 1
        return counts

    def _remove_runners(self, counts: dict[str, int], removed: int) -> dict[str, int]:
        """Removes runners in the zones with the most, or in those where they are slow and dear."""
        for _ in range(removed):
            counts[self._zone_choice.dearest({zone: counts[zone] for zone in self._zones})] -= 1
        return counts

    def _is_due(
        self, zone: str, reclaimable: bool, count: int, ready_count: int, now: float
    ) -> bool:
        """Returns whether an order for `count` runners should be issued now."""
        last = self._last_orders.get((zone, reclaimable))
        if last is None:
            return True
        if not last.accepted:
            return now - last.issued_at >= RETRY_SECONDS
        if last.count != count:
            return True
        return (
            ready_count < count
            and now - last.issued_at >= self._scaling.boot_seconds + ANNOUNCEMENT_GRACE_SECONDS
        )
