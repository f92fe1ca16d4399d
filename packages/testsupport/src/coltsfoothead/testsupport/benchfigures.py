"""Figures of the benchmark, worked out from the outcomes of its requests."""

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
    """What counts as within target."""

    first_token_seconds: float
    token_gap_seconds: float
    service_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What became of one request; seconds count from its intended send time.

    `first` and `last` are the arrival of the first token and of the end of the answer; both are
    infinite if the answer did not come whole.
    """

    kind: str
    organisation: str
    tokens: int
    first: float
    last: float

    def within(self, targets: Targets) -> bool:
        """Tells whether the answer was whole and in time."""
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


def ratio(upper: float, lower: float) -> float:
    """Returns `upper / lower`, or NaN if it has no meaning."""
    if math.isinf(upper) and math.isfinite(lower):
        return math.inf
    return upper / lower if lower and math.isfinite(lower) else math.nan


def short_p99(outcomes: Iterable[Outcome]) -> float:
    """Returns the p99 of short requests; one without a whole answer counts as infinite."""
    return percentile((each.last for each in outcomes if each.kind == "short"), 0.99)


def _model(outcomes: Iterable[Outcome]) -> list[Outcome]:
    return [each for each in outcomes if each.kind != "service"]


def cost_per_thousand(
    outcomes: Iterable[Outcome],
    targets: Targets,
    price_per_hour: float,
    held_seconds: float,
) -> float:
    """Returns the cost of 1,000 model requests answered within target."""
    good = sum(each.within(targets) for each in _model(outcomes))
    return ratio(price_per_hour * held_seconds / 3600 * 1000, good)


def goodput(outcomes: Iterable[Outcome], targets: Targets, seconds: float) -> float:
    """Returns model requests answered within target per second of the trace."""
    return sum(each.within(targets) for each in _model(outcomes)) / seconds


def share_by_organisation(outcomes: Iterable[Outcome], targets: Targets) -> dict[str, float]:
    """Returns the share of requests answered within target of each organisation."""
    grouped = collections.defaultdict(list)
    for each in outcomes:
        grouped[each.organisation].append(each.within(targets))
    return {name: statistics.fmean(met) for name, met in sorted(grouped.items())}


def worst_loss(quiet: Mapping[str, float], flooded: Mapping[str, float], flooding: str) -> float:
    """Returns the largest loss of share within target, in points, of the other organisations."""
    return max(100 * (quiet[name] - flooded.get(name, 0)) for name in quiet if name != flooding)


def amplification(executions: int, requests: int) -> float:
    """Returns executions at upstreams per request."""
    return ratio(executions, requests)


def spread(runs: Sequence[Sequence[Figure]]) -> list[tuple[Figure, float, float]]:
    """Returns each figure's median over the runs with its lowest and highest value."""
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
