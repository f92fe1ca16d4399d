"""Figures of the benchmark, computed from the outcomes of its requests."""

import collections
import dataclasses
import math
import statistics
from collections.abc import Iterable, Mapping, Sequence

__all__ = [
    "Figure",
    "Outcome",
    "Targets",
    "amplification",
    "cost_per_thousand",
    "goodput",
    "percentile",
    "ratio",
    "share_by_organisation",
    "short_p99",
    "spread",
    "table",
    "worst_loss",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Targets:
    """Service-level targets: an answer that meets them counts as within target."""

    first_token_seconds: float
    token_gap_seconds: float
    service_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Result of one request.

    `first` and `last` are the seconds from the intended send time until the first token and until
    the end of the answer; both are infinite if the answer is incomplete.
    """

    kind: str
    organisation: str
    tokens: int
    first: float
    last: float

    def meets(self, targets: Targets) -> bool:
        """Returns whether the answer was complete and within the targets."""
        if self.kind == "service":
            return self.last <= targets.service_seconds
        if not math.isfinite(self.last):
            return False
        gap = (self.last - self.first) / max(1, self.tokens - 1)
        return self.first <= targets.first_token_seconds and gap <= targets.token_gap_seconds


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """One row of the table; `bound` is the target and `at_least` its direction."""

    number: int
    name: str
    value: float
    bound: float | None = None
    at_least: bool = False

    @property
    def verdict(self) -> str:
        """Returns `met`, `missed` or an empty text where there is no target."""
        if self.bound is None:
            return ""
        if math.isnan(self.value):
            return "missed"
        met = self.value >= self.bound if self.at_least else self.value <= self.bound
        return "met" if met else "missed"


def percentile(values: Iterable[float], share: float) -> float:
    """Returns the nearest-rank percentile, or NaN without values."""
    ordered = sorted(values)
    if not ordered:
        return math.nan
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def ratio(numerator: float, denominator: float) -> float:
    """Returns `numerator / denominator`, or NaN if the ratio is undefined."""
    if math.isinf(numerator) and math.isfinite(denominator):
        return math.inf
    return numerator / denominator if denominator and math.isfinite(denominator) else math.nan


def short_p99(outcomes: Iterable[Outcome]) -> float:
    """Returns the p99 latency of short requests in seconds; incomplete answers are infinite."""
    return percentile((each.last for each in outcomes if each.kind == "short"), 0.99)


def _model_requests(outcomes: Iterable[Outcome]) -> list[Outcome]:
    return [each for each in outcomes if each.kind != "service"]


def cost_per_thousand(
    outcomes: Iterable[Outcome],
    targets: Targets,
    price_per_hour: float,
    rented_seconds: float,
) -> float:
    """Returns the cost of 1,000 model requests answered within target.

    Parameters
    ----------
    outcomes : iterable of Outcome
    targets : Targets
    price_per_hour : float
        Price of all VMs.
    rented_seconds : float
        Time for which the VMs are paid.
    """
    answered_in_time = sum(each.meets(targets) for each in _model_requests(outcomes))
    return ratio(price_per_hour * rented_seconds / 3600 * 1000, answered_in_time)


def goodput(outcomes: Iterable[Outcome], targets: Targets, seconds: float) -> float:
    """Returns the rate per second of model requests that were answered within target."""
    return sum(each.meets(targets) for each in _model_requests(outcomes)) / seconds


def share_by_organisation(outcomes: Iterable[Outcome], targets: Targets) -> dict[str, float]:
    """Returns the share of requests answered within target of each organisation."""
    grouped = collections.defaultdict(list)
    for each in outcomes:
        grouped[each.organisation].append(each.meets(targets))
    return {name: statistics.fmean(met) for name, met in sorted(grouped.items())}


def worst_loss(baseline: Mapping[str, float], flooded: Mapping[str, float], flooding: str) -> float:
    """Returns the largest loss of an organisation that does not flood, in percentage points."""
    return max(
        100 * (baseline[name] - flooded.get(name, 0)) for name in baseline if name != flooding
    )


def amplification(executions: int, requests: int) -> float:
    """Returns the number of executions at upstreams per request."""
    return ratio(executions, requests)


def spread(runs: Sequence[Sequence[Figure]]) -> list[tuple[Figure, float, float]]:
    """Returns the median of each figure over the runs, with its lowest and highest value."""
    grouped: dict[tuple[int, str], list[Figure]] = {}
    for run in runs:
        for figure in run:
            grouped.setdefault((figure.number, figure.name), []).append(figure)
    rows = []
    for figures in grouped.values():
        values = [figure.value for figure in figures]
        median = statistics.median_low(values)
        rows.append((dataclasses.replace(figures[0], value=median), min(values), max(values)))
    return rows


def table(rows: Iterable[tuple[Figure, float, float]]) -> str:
    """Returns the rows as a Markdown table."""
    lines = ["| figure | median | lowest - highest | target | |", "|---|---|---|---|---|"]
    for figure, low, high in sorted(rows, key=lambda row: row[0].number):
        sign = ">=" if figure.at_least else "<="
        target = "" if figure.bound is None else f"{sign} {figure.bound:g}"
        lines.append(
            f"| {figure.number}. {figure.name} | {figure.value:.4g} | {low:.4g} - {high:.4g} "
            f"| {target} | {figure.verdict} |"
        )
    return "\n".join(lines)
