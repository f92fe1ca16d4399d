"""Counters and latency histograms of one daemon."""

import collections
import dataclasses
from collections.abc import Mapping

from hdrh import histogram

__all__ = ["HistogramSummary", "Metrics"]

LOWEST_TRACKABLE_VALUE = 1
HIGHEST_TRACKABLE_VALUE = 3_600_000_000
SIGNIFICANT_DIGITS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class HistogramSummary:
    """Count, percentiles and maximum of a histogram, in the unit at the end of its name."""

    count: int
    p50: float
    p95: float
    p99: float
    max: float


class Metrics:
    """Named counters and histograms; the name of a histogram ends with its unit."""

    def __init__(self) -> None:
        self._counters: collections.Counter[str] = collections.Counter()
        self._histograms: dict[str, histogram.HdrHistogram] = {}

    @property
    def counters(self) -> Mapping[str, int]:
        """A copy of the counters."""
        return dict(self._counters)

    def count(self, name: str, amount: int = 1) -> None:
        """Adds `amount` to a counter."""
        self._counters[name] += amount

    def record(self, name: str, value: float) -> None:
        """Records a value; one outside 1 to 3,600,000,000 is replaced by the nearest bound."""
        if name not in self._histograms:
            self._histograms[name] = histogram.HdrHistogram(
                LOWEST_TRACKABLE_VALUE, HIGHEST_TRACKABLE_VALUE, SIGNIFICANT_DIGITS
            )
        self._histograms[name].record_value(
            min(max(int(value), LOWEST_TRACKABLE_VALUE), HIGHEST_TRACKABLE_VALUE)
        )

    def summaries(self) -> dict[str, HistogramSummary]:
        """Returns a summary of every histogram."""
        return {name: _summary(each) for name, each in sorted(self._histograms.items())}


def _summary(recorded: histogram.HdrHistogram) -> HistogramSummary:
    p50, p95, p99 = (
        recorded.get_value_at_percentile(percentile) for percentile in (50.0, 95.0, 99.0)
    )
    return HistogramSummary(recorded.get_total_count(), p50, p95, p99, recorded.get_max_value())
