"""Rates at which callers ask of a service."""

import dataclasses

__all__ = ["DemandMeter", "DemandRates"]

# Time in which a change of demand is followed to two thirds; shorter than the bursts of callers.
FOLLOW_SECONDS = 3.0
# Counts of a shorter time are taken as those of this time, so that one request is no burst.
LEAST_SECONDS = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class DemandRates:
    """Rates per second.

    Attributes
    ----------
    requests : float
    prompt_tokens : float
        Tokens that upstreams have to read or would have had to.
    output_tokens : float
        Tokens generated or expected.
    refused : float
        Requests that were refused after they had been admitted.
    """

    requests: float = 0.0
    prompt_tokens: float = 0.0
    output_tokens: float = 0.0
    refused: float = 0.0

    def __add__(self, other: "DemandRates") -> "DemandRates":
        return DemandRates(
            self.requests + other.requests,
            self.prompt_tokens + other.prompt_tokens,
            self.output_tokens + other.output_tokens,
            self.refused + other.refused,
        )


class DemandMeter:
    """Follows the demand for one service at one entry."""

    def __init__(self) -> None:
        self._rates = self._counts = DemandRates()

    def count(
        self,
        requests: float = 0.0,
        prompt_tokens: float = 0.0,
        output_tokens: float = 0.0,
        refused: float = 0.0,
    ) -> None:
        """Adds to the counts since the last call of `follow`."""
        self._counts += DemandRates(requests, prompt_tokens, output_tokens, refused)

    def follow(self, seconds: float) -> DemandRates:
        """Takes the counts of the last `seconds` in and returns the rates."""
        part = min(1.0, seconds / FOLLOW_SECONDS)
        counts, self._counts = self._counts, DemandRates()
        old, new = dataclasses.astuple(self._rates), dataclasses.astuple(counts)
        seconds = max(LEAST_SECONDS, seconds)
        self._rates = DemandRates(
            *(rate + part * (count / seconds - rate) for rate, count in zip(old, new, strict=True))
        )
        return self._rates
