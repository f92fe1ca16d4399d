"""Finds upstreams that perform worse than their peers, by median absolute deviation."""

import dataclasses
import math
import statistics
from collections.abc import Mapping

from coltsfoothead.kernel import registry, views

__all__ = ["DeviationDetector", "DeviationSettings"]

_MAD_TO_STANDARD_DEVIATION = 1.4826  # ratio for a normal distribution


@dataclasses.dataclass(frozen=True, slots=True)
class DeviationSettings:
    """Settings of the detector.

    Parameters
    ----------
    minimum_peers : int
        Minimum number of upstreams with enough samples; with fewer there is no majority to
        compare with.
    minimum_samples : float
        Number of samples below which an upstream is not assessed.
    tolerated_deviations : float
        Distance from the median, in deviations, up to which the weight stays 1.
    relative_floor : float
        Lower bound of the deviation as a share of the median, so that a group of nearly equal
        upstreams does not eject one that is only slightly slower.
    tolerated_failure_rate : float
        Failure rate above the peers' median up to which the weight stays 1.
    maximum_share : float
        Share of the group whose weight may fall below `ejected_weight`.
    probe_weight : float
        Smallest weight; it keeps enough requests on the upstream to detect its recovery.
    recovery_seconds : float
        Time in which the weight of a recovered upstream doubles.
    """

    min_peers: int = 3
    min_samples: float = 3.0
    tolerated_deviations: float = 3.0
    relative_floor: float = 0.1
    tolerated_failure_rate: float = 0.1
    max_ejected_share: float = 0.34
    ejected_weight: float = 0.5
    probe_weight: float = 0.02
    weight_doubling_seconds: float = 1.0


@registry.register("outlier", "deviation")
class DeviationDetector:
    """Gives each upstream of a group of peers a weight from `probe_weight` to 1.

    Peers are upstreams that serve the same model on the same VM class; the caller keeps one
    detector per group. A weight falls immediately and recovers gradually. The weight of an
    upstream without enough samples recovers too, so that an unused upstream is probed again.
    """

    def __init__(self, settings: DeviationSettings | None = None):
        self._settings = settings or DeviationSettings()
        self._weights: dict[str, float] = {}
        self._assessed_at: float | None = None

    def assess(self, group: Mapping[str, views.UpstreamStatistics], now: float) -> dict[str, float]:
        """Returns the weights of the group's upstreams; the state of all others is dropped."""
        settings = self._settings
        elapsed = 0.0 if self._assessed_at is None else max(0.0, now - self._assessed_at)
        growth = 2.0 ** min(60.0, elapsed / settings.weight_doubling_seconds)
        self._assessed_at = now
        target_weights = self._target_weights(group)
        weights = {}
        for upstream in group:
            recovered = min(1.0, self._weights.get(upstream, 1.0) * growth)
            weights[upstream] = min(recovered, target_weights.get(upstream, 1.0))
        self._cap_ejections(weights)
        self._weights = weights
        return dict(weights)

    def _target_weights(self, group: Mapping[str, views.UpstreamStatistics]) -> dict[str, float]:
        settings = self._settings
        token_seconds = {
            upstream: observed.seconds_per_token.value * max(1.0, observed.stall_ratio / 3.0)
            for upstream, observed in group.items()
            if observed.seconds_per_token.samples >= settings.min_samples
        }
        failures = {
            upstream: observed.failure_rate.value
            for upstream, observed in group.items()
            if observed.failure_rate.samples >= settings.min_samples
        }
        by_speed, by_failure = self._speed_weights(token_seconds), self._failure_weights(failures)
        return {
            each: by_speed.get(each, 1.0) * by_failure.get(each, 1.0)
            for each in by_speed | by_failure
        }

    def _speed_weights(self, token_seconds: Mapping[str, float]) -> dict[str, float]:
        settings = self._settings
        if len(token_seconds) < settings.min_peers:
            return {}
        median = statistics.median(token_seconds.values())
        mad = statistics.median(abs(value - median) for value in token_seconds.values())
        deviation = max(mad * _MAD_TO_STANDARD_DEVIATION, settings.relative_floor * median)
        allowed = median + settings.tolerated_deviations * deviation
        # The square gives an upstream that is 5 times slower only 4% of the sampling weight.
        return {
            upstream: (
                1.0 if value <= allowed else self._at_least_probe_weight((median / value) ** 2)
            )
            for upstream, value in token_seconds.items()
        }

    def _failure_weights(self, failures: Mapping[str, float]) -> dict[str, float]:
        settings = self._settings
        if len(failures) < settings.min_peers:
            return {}
        allowed = statistics.median(failures.values()) + settings.tolerated_failure_rate
        return {
            upstream: 1.0 if rate <= allowed else self._at_least_probe_weight((allowed / rate) ** 2)
            for upstream, rate in failures.items()
        }

    def _at_least_probe_weight(self, weight: float) -> float:
        return max(self._settings.probe_weight, weight)

    def _cap_ejections(self, weights: dict[str, float]) -> None:
        """Raises the least reduced weights so that only the allowed share is ejected."""
        settings = self._settings
        ejected = sorted(
            (each for each in weights if weights[each] < settings.ejected_weight),
            key=weights.__getitem__,
        )
        max_ejected = math.floor(settings.max_ejected_share * len(weights))
        for upstream in ejected[max_ejected:]:
            weights[upstream] = settings.ejected_weight
