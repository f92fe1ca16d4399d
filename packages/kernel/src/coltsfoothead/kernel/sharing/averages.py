"""Moving averages of rates that are counted between updates at irregular times."""

from collections.abc import Hashable, Mapping
from typing import Generic, TypeVar

__all__ = ["RateAverages"]

Key = TypeVar("Key", bound=Hashable)

# Averages below this are dropped, in units a second.
MIN_RATE = 1e-6


class RateAverages(Generic[Key]):
    """Average rates by key; the first updates count like a plain mean.

    Parameters
    ----------
    time_constant_seconds : float
        After this time the averages reflect two thirds of a change.
    """

    def __init__(self, time_constant_seconds: float) -> None:
        self._time_constant_seconds = time_constant_seconds
        self._seconds = 0.0
        self._rates: dict[Key, float] = {}

    @property
    def rates(self) -> Mapping[Key, float]:
        """Rates per second; keys without recent amounts are missing."""
        return self._rates

    def update(self, amounts: Mapping[Key, float], seconds: float) -> None:
        """Adds the amounts that were counted in the last `seconds`."""
        self._seconds += seconds
        weight = min(1.0, max(seconds / self._time_constant_seconds, seconds / self._seconds))
        averaged = {
            key: rate + weight * (amounts.get(key, 0.0) / seconds - rate)
            for key in self._rates.keys() | amounts.keys()
            for rate in (self._rates.get(key, 0.0),)
        }
        self._rates = {key: rate for key, rate in averaged.items() if abs(rate) > MIN_RATE}
