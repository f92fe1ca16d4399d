"""Moving averages of the demand for a service."""

import dataclasses

__all__ = ["DemandMeter", "DemandRates", "decayed_peak"]

# Time constant of the moving averages: after it they reflect two thirds of a change. It is shorter
# than the bursts of callers.
TIME_CONSTANT_SECONDS = 3.0
# Shorter intervals count as this one, so that a single request does not look like a burst.
MIN_INTERVAL_SECONDS = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class DemandRates:
    """Demand as rates per second.

    Attributes
    ----------
    requests : float
        Requests that callers sent.
    prompt_tokens : float
        Prompt tokens to prefill, including those of refused requests.
    output_tokens : float
        Tokens generated or expected.
    refused : float
        Requests that were refused after they had been admitted.
    finished : float
        Streams that ended or were refused for lack of capacity.
    late : float
        Those of `finished` that missed an objective, the refused ones included.
    """

    requests: float = 0.0
    prompt_tokens: float = 0.0
    output_tokens: float = 0.0
    refused: float = 0.0
    finished: float = 0.0
    late: float = 0.0

    @property
    def late_fraction(self) -> float:
        """Fraction of the finished streams that were late; 0 if none has finished."""
        return self.late / self.finished if self.finished > 0 else 0.0

    def __add__(self, other: "DemandRates") -> "DemandRates":
        return DemandRates(
            self.requests + other.requests,
            self.prompt_tokens + other.prompt_tokens,
            self.output_tokens + other.output_tokens,
            self.refused + other.refused,
            self.finished + other.finished,
            self.late + other.late,
        )


class DemandMeter:
    """Measures the demand for one service at one entry."""

    def __init__(self) -> None:
        self._rates = self._counts = DemandRates()

    def count(self, **counts: float) -> None:
        """Adds to the counts since the last call of `update`; names are those of the rates."""
        self._counts += DemandRates(**counts)

    def update(self, seconds: float) -> DemandRates:
        """Updates the rates with the counts of the last `seconds` and returns them."""
        weight = min(1.0, seconds / TIME_CONSTANT_SECONDS)
        counts, self._counts = self._counts, DemandRates()
        old, new = dataclasses.astuple(self._rates), dataclasses.astuple(counts)
        seconds = max(MIN_INTERVAL_SECONDS, seconds)
        self._rates = DemandRates(
            *(
                rate + weight * (count / seconds - rate)
                for rate, count in zip(old, new, strict=True)
            )
        )
        return self._rates


def decayed_peak(
    peak: DemandRates,
    demand: DemandRates,
    seconds: float,
    half_life_seconds: float,
) -> DemandRates:
    """Returns the maximum of the demand and of a peak recorded `seconds` ago, after its decay."""
    factor = 0.5 ** (seconds / half_life_seconds)
    return DemandRates(
        max(demand.requests, peak.requests * factor),
        max(demand.prompt_tokens, peak.prompt_tokens * factor),
        max(demand.output_tokens, peak.output_tokens * factor),
    )
