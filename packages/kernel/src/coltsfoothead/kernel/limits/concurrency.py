"""Adaptive concurrency limit of a group of upstreams, by additive increase."""

import dataclasses

from coltsfoothead.kernel import registry

__all__ = ["ConcurrencyLimit", "ConcurrencySettings"]


@dataclasses.dataclass(frozen=True, slots=True)
class ConcurrencySettings:
    """Constants of the limit.

    Parameters
    ----------
    tolerated_share : float
        Share of late samples in a window up to which the limit is not lowered.
    saturation : float
        Share of the limit that must have been in use before it is raised.
    """

    initial: float = 32.0
    minimum: float = 2.0
    maximum: float = 4_096.0
    window_seconds: float = 1.0
    minimum_samples: int = 10
    tolerated_share: float = 0.05
    decrease: float = 0.9
    increase: float = 0.05
    saturation: float = 0.8


@registry.register("concurrency", "aimd")
class ConcurrencyLimit:
    """Raises the limit while latency is on target and the limit is in use; lowers it otherwise.

    The latency is compared with a target per sample, such as the time to the first token. Whole
    answers do not suit, because their time depends mostly on their length.
    """

    def __init__(self, settings: ConcurrencySettings | None = None):
        self._settings = settings or ConcurrencySettings()
        self._limit = self._settings.initial
        self._window_end = 0.0
        self._samples = 0
        self._late = 0
        self._peak = 0

    @property
    def limit(self) -> int:
        """Requests that may be in flight in the group."""
        return int(self._limit)

    def sample(self, seconds: float, target_seconds: float, inflight: int, now: float) -> None:
        """Takes one measured latency with its target and the requests in flight."""
        if not self._samples:
            self._window_end = now + self._settings.window_seconds
        self._samples += 1
        self._late += seconds > target_seconds
        self._peak = max(self._peak, inflight)
        if now >= self._window_end and self._samples >= self._settings.minimum_samples:
            self._close_window()

    def _close_window(self) -> None:
        settings = self._settings
        if self._late > settings.tolerated_share * self._samples:
            self._limit = max(settings.minimum, self._limit * settings.decrease)
        elif self._peak >= settings.saturation * self._limit:
            step = max(1.0, settings.increase * self._limit)
            self._limit = min(settings.maximum, self._limit + step)
        self._samples = self._late = self._peak = 0
