"""Learned speed of the runners of one service, for the runner plan.

Load: a service whose runners work at 0.7 to 1.7 of the speed of others, or whose engine is twice as
fast as the specification's. Runners counted by heads are too few of slow ones, and too many of
fast ones on a calm day.
"""

import dataclasses
import math
from collections.abc import Collection, Mapping

from coltsfoothead.kernel.speeds import rates
from coltsfoothead.kernel.traffic import demandmeter, upstreams

__all__ = ["EQUAL", "FleetSpeeds", "ZoneChoice"]

# Bounds of learned rates as multiples of the nominal ones, so that an error in the estimate cannot
# release most runners of a service.
MIN_RATE_FACTOR = 0.4
MAX_RATE_FACTOR = 2.5
# Time constant of the mean speed of a service's runners, by which capacity is counted in runners.
SPEED_SMOOTHING_SECONDS = 10.0
# Margin of the rounding of capacity to runners.
ROUNDING = 1e-6
# Runners of mean speed as which a zone counts beside its own ones.
MEAN_RUNNERS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class FleetSpeeds:
    """Speeds of the runners of one service.

    Attributes
    ----------
    median_rates : Rates
        Rates of a runner of the median speed.
    speeds : mapping of str to float
        Speeds as multiples of the median by upstream ID. Others have the median speed.
    learned : bool
        Whether they are learned; otherwise all runners are equal.
    """

    median_rates: rates.Rates = rates.NOMINAL
    speeds: Mapping[str, float] = dataclasses.field(default_factory=dict)
    learned: bool = False

    def busy_runners(self, demand: demandmeter.DemandRates) -> float:
        """Returns the number of runners of the median speed that a demand keeps busy."""
        prefill = _bounded(
            self.median_rates.sustained_prefill_tokens_per_second,
            rates.IDLE_PREFILL_TOKENS_PER_SECOND,
        )
        decode = _bounded(
            self.median_rates.decode_tokens_per_second, rates.DECODE_TOKENS_PER_SECOND
        )
        return demand.prompt_tokens / prefill + demand.output_tokens / decode

    def capacity(self, runners: Collection[upstreams.Upstream]) -> float:
        """Returns the capacity of some runners, in runners of the median speed."""
        return sum((self.speeds.get(each.id, 1.0) for each in runners), 0.0)

    def mean_speed(self, runners: Collection[upstreams.Upstream]) -> float:
        """Returns the mean speed of some runners; 1 if there are none."""
        return self.capacity(runners) / len(runners) if runners else 1.0

    def zone_capacities(self, runners: Collection[upstreams.Upstream]) -> list[float]:
        """Returns the capacity of the runners of each zone, the largest first."""
        zones: dict[str, float] = {}
        for each in runners:
            zones[each.zone] = zones.get(each.zone, 0.0) + self.speeds.get(each.id, 1.0)
        return sorted(zones.values(), reverse=True)

    def zone_speeds(self, runners: Collection[upstreams.Upstream]) -> dict[str, float]:
        """Returns the mean speed of the runners of each zone, shrunk to that of all of them."""
        mean = self.mean_speed(runners)
        zones: dict[str, list[upstreams.Upstream]] = {}
        for each in runners:
            zones.setdefault(each.zone, []).append(each)
        return {
            zone: (self.capacity(own) + MEAN_RUNNERS * mean) / (len(own) + MEAN_RUNNERS)
            for zone, own in zones.items()
        }


def _bounded(rate: float, nominal: float) -> float:
    return min(MAX_RATE_FACTOR * nominal, max(MIN_RATE_FACTOR * nominal, rate))


EQUAL = FleetSpeeds()


class ZoneChoice:
    """Chooses the zones that get runners, or release them, by prices and learned speeds.

    Parameters
    ----------
    prices : mapping of str to float
        Price of a runner by zone.
    """

    def __init__(self, prices: Mapping[str, float]) -> None:
        self._prices = prices
        self._learned = False
        self._zone_speeds: dict[str, float] = {}
        self._mean_speed = 1.0

    def update(
        self, speeds: FleetSpeeds, ready: Collection[upstreams.Upstream], seconds: float
    ) -> None:
        """Takes over the speeds of the runners that serve, `seconds` after the last call."""
        self._learned = speeds.learned
        self._zone_speeds = speeds.zone_speeds(ready)
        weight = min(1.0, seconds / SPEED_SMOOTHING_SECONDS)
        self._mean_speed += weight * (speeds.mean_speed(ready) - self._mean_speed)

    def heads(self, capacity: float) -> int:
        """Returns the number of runners of mean speed that have a capacity."""
        return math.ceil(capacity / self._mean_speed - ROUNDING)

    def dearest(self, surplus: Mapping[str, int]) -> str:
        """Returns the zone that releases a runner: the one with the most.

        If speeds are learned, it is the zone with the highest price per speed of those that have
        too many.
        """
        return max(
            surplus,
            key=lambda zone: (
                self._price_of_speed(zone) if self._learned and surplus[zone] > 0 else 0.0,
                surplus[zone],
            ),
        )

    def cheapest(self, counts: Mapping[str, int]) -> str:
        """Returns the zone that gets a runner, evenly but more in zones where they are cheap."""
        return min(counts, key=lambda zone: self._price_of_speed(zone) * (counts[zone] + 1))

    def _price_of_speed(self, zone: str) -> float:
        return self._prices[zone] / self._zone_speeds.get(zone, self._mean_speed)
