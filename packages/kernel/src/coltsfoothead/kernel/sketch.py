"""Quantile sketch with logarithmic buckets, in which old samples lose weight."""

import math

__all__ = ["QuantileSketch"]

_GROWTH = 1.15  # bounds the relative error of a quantile to about 7%
_LOG_GROWTH = math.log(_GROWTH)
_BUCKETS = 160  # spans nine decades


class QuantileSketch:
    """Histogram over logarithmic buckets with a bounded total count.

    Parameters
    ----------
    min_value : float
        Values up to this one share the first bucket.
    max_samples : int
        When the total reaches this number, all counts are halved, so recent samples dominate.
    """

    __slots__ = ("_counts", "_max_samples", "_min_value", "_total")

    def __init__(self, min_value: float, max_samples: int = 512):
        self._min_value = min_value
        self._max_samples = max_samples
        self._counts: dict[int, float] = {}
        self._total = 0.0

    @property
    def total(self) -> float:
        """Effective number of samples."""
        return self._total

    def add(self, value: float) -> None:
        """Adds one sample."""
        index = 0
        if value > self._min_value:
            ratio = math.log(value / self._min_value) / _LOG_GROWTH
            index = min(_BUCKETS, math.ceil(ratio))
        self._counts[index] = self._counts.get(index, 0.0) + 1.0
        self._total += 1.0
        if self._total >= self._max_samples:
            halved = {bucket: count / 2 for bucket, count in self._counts.items()}
            # Dropping small counts keeps rare old values from staying forever.
            self._counts = {bucket: count for bucket, count in halved.items() if count > 0.05}
            self._total = sum(self._counts.values())

    def quantile(self, share: float) -> float:
        """Returns the upper edge of the bucket that holds the quantile, or 0 when empty."""
        target = share * self._total
        cumulative = 0.0
        index = 0
        for index in sorted(self._counts):  # noqa: B007
            cumulative += self._counts[index]
            if cumulative >= target:
                break
        return self._min_value * _GROWTH**index if self._total else 0.0
