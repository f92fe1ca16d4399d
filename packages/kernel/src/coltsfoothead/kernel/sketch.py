"""Quantile sketch with logarithmic buckets, which forgets old samples."""

import math

__all__ = ["QuantileSketch"]

_GROWTH = 1.15  # bounds the relative error of a quantile to about 7%
_LOG_GROWTH = math.log(_GROWTH)
_BUCKETS = 160  # spans nine decades


class QuantileSketch:
    """Histogram over logarithmic buckets with a bounded number of remembered samples.

    Parameters
    ----------
    smallest : float
        Values up to this one share the first bucket.
    memory : int
        When this many samples are counted, all counts are halved, so recent samples dominate.
    """

    __slots__ = ("_counts", "_memory", "_smallest", "_total")

    def __init__(self, smallest: float, memory: int = 512):
        self._smallest = smallest
        self._memory = memory
        self._counts: dict[int, float] = {}
        self._total = 0.0

    @property
    def total(self) -> float:
        """Number of samples that still count."""
        return self._total

    def add(self, value: float) -> None:
        """Counts one sample."""
        index = 0
        if value > self._smallest:
            ratio = math.log(value / self._smallest) / _LOG_GROWTH
            index = min(_BUCKETS, math.ceil(ratio))
        self._counts[index] = self._counts.get(index, 0.0) + 1.0
        self._total += 1.0
        if self._total >= self._memory:
            halved = {bucket: count / 2 for bucket, count in self._counts.items()}
            # Dropping traces keeps rare old values from staying forever.
            self._counts = {bucket: count for bucket, count in halved.items() if count > 0.05}
            self._total = sum(self._counts.values())

    def quantile(self, share: float) -> float:
        """Returns the upper edge of the bucket that holds the quantile, or 0 when empty."""
        wanted = share * self._total
        seen = 0.0
        index = 0
        for index in sorted(self._counts):  # noqa: B007
            seen += self._counts[index]
            if seen >= wanted:
                break
        return self._smallest * _GROWTH**index if self._total else 0.0
