"""How many runners of each kind to order in each zone.

Reclaimable runners cost a fraction of the others, and all of a zone may be taken away at once. The
plan spreads enough reclaimable ones over the zones that the loss of one zone leaves what the demand
needs, and fills in with others only while reclaimable ones cannot be had.
"""

import collections
import dataclasses
import math
from collections.abc import Collection

from coltsfoothead.kernel.traffic import demandmeter, document, upstreams

__all__ = ["Order", "PlanState", "RunnerPlan", "runners_needed"]

# Tokens that one runner reads per second beside the requests that it serves, and generates per
# second for about thirty requests at once; from the step times of the platform's sheets.
READ_TOKENS_PER_SECOND = 56_000.0
WRITE_TOKENS_PER_SECOND = 5_000.0
# Part of a runner's time that demand may take, so that prompts need not wait for each other.
BUSY_PART = 0.5
# Part of it that is borne while reclaimable runners cannot be had.
STRAINED_PART = 0.6
# Part of what is needed then that has to outlive the next loss of a zone's reclaimable runners.
# Losses follow each other within seconds, and a runner takes seconds to start.
FIRM_PART = 0.75
# Runners that are kept for a demand that is not known yet.
LEAST_RUNNERS = 3
# Time in which the noted peak of the demand falls to a half; callers come in waves of 40 s. The
# dear runners follow a peak that falls faster.
PEAK_SECONDS = 30.0
DEAR_PEAK_SECONDS = 5.0
# A new plan waits for this long, in which every runner announces itself once. One that goes on with
# the state of another holder does not.
SETTLE_SECONDS = 2.0
# The runners of the start are replaced one for one until the demand was seen for this long.
LEARNING_SECONDS = 15.0
# An order is given again if its runners have not appeared this long after their boot time.
APPEAR_SECONDS = 2.0
# A cloud that had none is asked again after this time.
RETRY_SECONDS = 2.0
# Others that fill in are given back once they have been too many for this time.
GIVE_BACK_SECONDS = 5.0
# Zones whose reclaimable runners may be taken away while the rest carries the demand.
ZONES_LOST = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Number of runners of one kind in one zone."""

    zone: str
    count: int
    reclaimable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class GivenOrder:
    """An order with its outcome; `age_seconds` is the time since it was given."""

    order: Order
    taken: bool
    age_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class PlanState:
    """What a plan has to know to go on elsewhere.

    Attributes
    ----------
    given : tuple of GivenOrder
        The last order of each zone and kind.
    peak, dear_peak : DemandRates
        Peaks that the reclaimable runners and the others follow.
    present : int
        Runners that were there before the demand was known.
    known_seconds : float or None
        For how long the demand has been known.
    """

    given: tuple[GivenOrder, ...]
    peak: demandmeter.DemandRates
    dear_peak: demandmeter.DemandRates
    present: int
    known_seconds: float | None


@dataclasses.dataclass(slots=True)
class _Given:
    count: int
    at: float
    taken: bool


def runners_needed(demand: demandmeter.DemandRates, busy_part: float) -> int:
    """Returns the runners that a demand keeps busy for `busy_part` of their time."""
    seconds = demand.prompt_tokens / READ_TOKENS_PER_SECOND
    seconds += demand.output_tokens / WRITE_TOKENS_PER_SECOND
    return math.ceil(seconds / busy_part)


class RunnerPlan:
    """Plans the runners of one service.

    Parameters
    ----------
    service : Service
    state : PlanState, optional
        Of the previous holder of the duty.
    now : float, optional
        Steady seconds; needed with a state.
    """

    def __init__(
        self, service: document.Service, state: PlanState | None = None, now: float = 0.0
    ) -> None:
        assert service.scaling is not None
        self._service = service
        self._scaling = service.scaling
        self._zones = sorted(self._scaling.zone_prices, key=self._scaling.zone_prices.__getitem__)
        self._given: dict[tuple[str, bool], _Given] = {}
        self._surplus_since: float | None = None
        self._peak = self._dear_peak = demandmeter.DemandRates()
        self._noted_at: float | None = None
        # Runners that were there before the demand was known, and since when it is.
        self._began_at: float | None = None
        self._present = LEAST_RUNNERS
        self._known_at: float | None = None
        if state is not None:
            self._go_on(state, now)

    @property
    def service(self) -> document.Service:
        """The service as it was when the plan was made."""
        return self._service

    def state(self, now: float) -> PlanState:
        """Returns what another holder of the duty needs to go on."""
        return PlanState(
            tuple(
                GivenOrder(Order(zone, given.count, reclaimable), given.taken, now - given.at)
                for (zone, reclaimable), given in self._given.items()
            ),
            self._peak,
            self._dear_peak,
            self._present,
            now - self._known_at if self._known_at is not None else None,
        )

    def _go_on(self, state: PlanState, now: float) -> None:
        for each in state.given:
            key = (each.order.zone, each.order.reclaimable)
            self._given[key] = _Given(each.order.count, now - each.age_seconds, each.taken)
        self._peak, self._dear_peak = state.peak, state.dear_peak
        self._noted_at = now
        self._present = state.present
        if state.known_seconds is not None:
            self._known_at = now - state.known_seconds
        self._began_at = now - SETTLE_SECONDS

    def orders(
        self, known: Collection[upstreams.Upstream], demand: demandmeter.DemandRates, now: float
    ) -> list[Order]:
        """Returns the orders to give now.

        Parameters
        ----------
        known : collection of Upstream
            The service's runners.
        demand : DemandRates
        now : float
            Steady seconds.
        """
        if not self._zones:
            return []
        self._note_peaks(demand, now)
        self._began_at = now if self._began_at is None else self._began_at
        if now - self._began_at < SETTLE_SECONDS:
            return []
        ready = [each for each in known if each.state is upstreams.State.READY]
        cheap = collections.Counter(each.zone for each in ready if each.reclaimable)
        other = collections.Counter(each.zone for each in ready if not each.reclaimable)
        if self._peak.requests == 0:
            # Runners that announce themselves after they were given back count as well.
            first = sum(not each.reclaimable for each in known)
            self._present = max(self._present, first)
        elif self._known_at is None:
            self._known_at = now
        wanted_cheap = self._reclaimable(now)
        wanted_other = self._others(wanted_cheap, cheap, other, now)
        due = []
        for zone in self._zones:
            for count, have, kind in (
                (wanted_cheap[zone], cheap[zone], True),
                (wanted_other[zone], other[zone], False),
            ):
                if self._due(zone, kind, count, have, now):
                    due.append(Order(zone, count, kind))
        # What is cheap and what adds runners comes before what gives them back.
        return sorted(due, key=lambda order: not order.reclaimable)

    def ordered(self, order: Order, taken: bool, now: float) -> None:
        """Notes the outcome of an order."""
        self._given[(order.zone, order.reclaimable)] = _Given(order.count, now, taken)

    def _note_peaks(self, demand: demandmeter.DemandRates, now: float) -> None:
        seconds = now - self._noted_at if self._noted_at is not None else float("inf")
        self._noted_at = now
        self._peak = _decayed(self._peak, demand, seconds, PEAK_SECONDS)
        self._dear_peak = _decayed(self._dear_peak, demand, seconds, DEAR_PEAK_SECONDS)

    def _reclaimable(self, now: float) -> dict[str, int]:
        """Returns the reclaimable runners wanted per zone."""
        left = max(1, len(self._zones) - ZONES_LOST)
        needed = max(runners_needed(self._peak, BUSY_PART), LEAST_RUNNERS)
        each = math.ceil(needed / left)
        if self._known_at is None or now - self._known_at < LEARNING_SECONDS:
            each = max(each, math.ceil(self._present / len(self._zones)))
        each = min(self._scaling.maximum, each)
        return dict.fromkeys(self._zones, each)

    def _others(
        self,
        wanted: dict[str, int],
        cheap: collections.Counter[str],
        other: collections.Counter[str],
        now: float,
    ) -> dict[str, int]:
        """Returns the others wanted per zone, to fill in for reclaimable ones that are missing."""
        # Another holder of the duty may have ordered what is there.
        held = {zone: other[zone] if self._known_at is not None else 0 for zone in self._zones}
        for (zone, reclaimable), given in self._given.items():
            if not reclaimable and zone in held:
                held[zone] = given.count
        needed = runners_needed(self._dear_peak, STRAINED_PART)
        if any(not given.taken for (_, kind), given in self._given.items() if kind):
            needed = max(needed, LEAST_RUNNERS)
        short = needed - sum(cheap.values())
        if any(cheap[zone] < wanted[zone] for zone in self._zones):
            firm = math.ceil(FIRM_PART * needed)
            short = max(short, firm - sum(cheap.values()) + max(cheap.values(), default=0))
        surplus = sum(held.values()) - max(0, short)
        if surplus <= 0:
            self._surplus_since = None
            return self._more(held, cheap, -surplus)
        self._surplus_since = now if self._surplus_since is None else self._surplus_since
        if now - self._surplus_since < GIVE_BACK_SECONDS:
            return held
        return self._fewer(held, surplus)

    def _more(
        self, held: dict[str, int], cheap: collections.Counter[str], count: int
    ) -> dict[str, int]:
        """Adds runners where there are fewest, within the bound of each zone."""
        for _ in range(count):
            fitting = [
                zone for zone in self._zones if cheap[zone] + held[zone] < self._scaling.maximum
            ]
            if not fitting:
                break
            held[min(fitting, key=lambda zone: cheap[zone] + held[zone])] += 1
        return held

    def _fewer(self, held: dict[str, int], count: int) -> dict[str, int]:
        """Takes runners away where there are most."""
        for _ in range(count):
            held[max(self._zones, key=lambda zone: held[zone])] -= 1
        return held

    def _due(self, zone: str, reclaimable: bool, count: int, have: int, now: float) -> bool:
        given = self._given.get((zone, reclaimable))
        if given is None:
            return True
        if not given.taken:
            return now - given.at >= RETRY_SECONDS
        if given.count != count:
            return True
        return have < count and now - given.at >= self._scaling.boot_seconds + APPEAR_SECONDS


def _decayed(
    peak: demandmeter.DemandRates,
    demand: demandmeter.DemandRates,
    seconds: float,
    half_life: float,
) -> demandmeter.DemandRates:
    """Returns the higher of a demand and a peak that was noted some seconds ago."""
    kept = 0.5 ** (seconds / half_life)
    return demandmeter.DemandRates(
        max(demand.requests, peak.requests * kept),
        max(demand.prompt_tokens, peak.prompt_tokens * kept),
        max(demand.output_tokens, peak.output_tokens * kept),
    )
