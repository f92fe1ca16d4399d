"""Finds upstreams that perform worse than their peers, by median absolute deviation."""

import dataclasses
import math
import statistics
from collections.abc import Mapping

from coltsfoothead.kernel import registry, views

__all__ = ["DeviationDetector", "DeviationSettings"]

_MAD_TO_DEVIATION = 1.4826  # makes the MAD of a normal distribution its standard deviation


@dataclasses.dataclass(frozen=True, slots=True)
class DeviationSettings:
    """Limits of the detector.

    Parameters
    ----------
    minimum_peers : int
        With fewer judged upstreams there is no majority to compare with.
    minimum_samples : float
        Own samples below which an upstream is not judged.
    tolerated_deviations : float
        Distance from the median, in deviations, up to which the weight stays 1.
    relative_floor : float
        The deviation counts as at least this share of the median, so that a group of nearly
        equal upstreams does not eject one that is a little slower.
    tolerated_failure_rate : float
        Failure rate above the peers' median up to which the weight stays 1.
    maximum_share : float
        Share of the group whose weight may fall below `ejected_weight`.
    probe_weight : float
        Smallest weight; it keeps a trickle of requests that shows a recovery.
    recovery_seconds : float
        Time in which a weight doubles again once the readings are good.
    """

    minimum_peers: int = 3
    minimum_samples: float = 3.0
    tolerated_deviations: float = 3.0
    relative_floor: float = 0.1
    tolerated_failure_rate: float = 0.1
    maximum_share: float = 0.34
    ejected_weight: float = 0.5
    probe_weight: float = 0.02
    recovery_seconds: float = 1.0


@registry.register("outlier", "deviation")
class DeviationDetector:
    """Gives each upstream of a group of peers a weight from `probe_weight` to 1.

    Peers are upstreams that serve the same model on the same VM class; the caller keeps one
    detector per group. A weight falls at once and recovers gradually. An upstream without enough
    samples recovers as well, which is how an unused one is probed again.
    """

    def __init__(self, settings: DeviationSettings | None = None):
        self._settings = settings or DeviationSettings()
        self._weights: dict[str, float] = {}
        self._at: float | None = None

    def assess(self, group: Mapping[str, views.Figures], now: float) -> dict[str, float]:
        """Returns the weights of the group's upstreams; others are forgotten."""
        settings = self._settings
        elapsed = 0.0 if self._at is None else max(0.0, now - self._at)
        growth = 2.0 ** min(60.0, elapsed / settings.recovery_seconds)
        self._at = now
        raw = self._raw_weights(group)
        weights = {}
        for upstream in group:
            recovered = min(1.0, self._weights.get(upstream, 1.0) * growth)
            weights[upstream] = min(recovered, raw.get(upstream, 1.0))
        self._limit(weights)
        self._weights = weights
        return dict(weights)

    def _raw_weights(self, group: Mapping[str, views.Figures]) -> dict[str, float]:
        settings = self._settings
        speed = {
            upstream: figures.seconds_per_token.value * max(1.0, figures.stall_ratio / 3.0)
            for upstream, figures in group.items()
            if figures.seconds_per_token.samples >= settings.minimum_samples
        }
        failing = {
            upstream: figures.failure_rate.value
            for upstream, figures in group.items()
            if figures.failure_rate.samples >= settings.minimum_samples
        }
        slow, failed = self._slowness(speed), self._failures(failing)
        return {each: slow.get(each, 1.0) * failed.get(each, 1.0) for each in slow | failed}

    def _slowness(self, speed: Mapping[str, float]) -> dict[str, float]:
        settings = self._settings
        if len(speed) < settings.minimum_peers:
            return {}
        median = statistics.median(speed.values())
        mad = statistics.median(abs(value - median) for value in speed.values())
        deviation = max(mad * _MAD_TO_DEVIATION, settings.relative_floor * median)
        allowed = median + settings.tolerated_deviations * deviation
        # The square makes an upstream that is 5 times slower nearly disappear from the sampling.
        return {
            upstream: 1.0 if value <= allowed else self._floor((median / value) ** 2)
            for upstream, value in speed.items()
        }

    def _failures(self, failing: Mapping[str, float]) -> dict[str, float]:
        settings = self._settings
        if len(failing) < settings.minimum_peers:
            return {}
        allowed = statistics.median(failing.values()) + settings.tolerated_failure_rate
        return {
            upstream: 1.0 if rate <= allowed else self._floor((allowed / rate) ** 2)
            for upstream, rate in failing.items()
        }

    def _floor(self, weight: float) -> float:
        return max(self._settings.probe_weight, weight)

    def _limit(self, weights: dict[str, float]) -> None:
        """Raises the weights of the least bad so that only the allowed share is ejected."""
        settings = self._settings
        ejected = sorted(
            (each for each in weights if weights[each] < settings.ejected_weight),
            key=weights.__getitem__,
        )
        allowed = math.floor(settings.maximum_share * len(weights))
        for upstream in ejected[allowed:]:
            weights[upstream] = settings.ejected_weight
