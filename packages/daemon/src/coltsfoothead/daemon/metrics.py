"""Counters and latency histograms of one daemon."""

import collections
import dataclasses
from collections.abc import Mapping

from hdrh import histogram

__all__ = ["HistogramSummary", "Metrics"]

LOWEST = 1
HIGHEST = 3_600_000_000
SIGNIFICANT_DIGITS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class HistogramSummary:
    """Count and percentiles of a histogram, in the unit that its name ends with."""

    count: int
    p50: float
    p95: float
    p99: float
    max: float


class Metrics:
    """Named counters and histograms; a histogram's name ends with its unit."""

    def __init__(self) -> None:
        self._counters: collections.Counter[str] = collections.Counter()
        self._histograms: dict[str, histogram.HdrHistogram] = {}

    @property
    def counters(self) -> Mapping[str, int]:
        """A copy of the counters."""
        return dict(self._counters)

    def count(self, name: str, amount: int = 1) -> None:
        """Adds to a counter."""
        self._counters[name] += amount

    def record(self, name: str, value: float) -> None:
        """Records one value; values below 1 count as 1."""
        if name not in self._histograms:
            self._histograms[name] = histogram.HdrHistogram(LOWEST, HIGHEST, SIGNIFICANT_DIGITS)
        self._histograms[name].record_value(min(max(int(value), LOWEST), HIGHEST))

    def summaries(self) -> dict[str, HistogramSummary]:
        """Returns a summary of every histogram."""
        return {name: _summary(each) for name, each in sorted(self._histograms.items())}


def _summary(source: histogram.HdrHistogram) -> HistogramSummary:
    p50, p95, p99 = (source.get_value_at_percentile(rank) for rank in (50.0, 95.0, 99.0))
    return HistogramSummary(source.get_total_count(), p50, p95, p99, source.get_max_value())
