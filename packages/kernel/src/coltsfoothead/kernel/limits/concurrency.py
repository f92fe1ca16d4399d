"""Adaptive concurrency limit (AIMD) of a group of upstreams."""

import dataclasses

from coltsfoothead.kernel import registry

__all__ = ["ConcurrencyLimit", "ConcurrencySettings"]


@dataclasses.dataclass(frozen=True, slots=True)
class ConcurrencySettings:
    """Settings of the additive-increase, multiplicative-decrease (AIMD) limit.

    Parameters
    ----------
    window_seconds, minimum_samples : float, int
        The limit is adjusted once a window has lasted this long and has this many samples.
    tolerated_late_share : float
        Share of late samples in a window up to which the limit is not lowered.
    decrease : float
        Factor by which the limit is lowered.
    increase : float
        Share of the limit that is added when it is raised, at least one request.
    min_utilisation : float
        Share of the limit that must have been in use before it is raised.
    """

    initial: float = 32.0
    minimum: float = 2.0
    maximum: float = 4_096.0
    window_seconds: float = 1.0
    minimum_samples: int = 10
    tolerated_late_share: float = 0.05
    decrease: float = 0.9
    increase: float = 0.05
    min_utilisation: float = 0.8


@registry.register("concurrency", "aimd")
class ConcurrencyLimit:
    """Raises the limit while latency is on target and the limit is in use; lowers it otherwise.

    Each latency sample, such as the time to the first token, is compared with its own target. The
    time of a complete answer is unsuitable, because it depends mostly on the answer's length.
    """

    def __init__(self, settings: ConcurrencySettings | None = None):
        self._settings = settings or ConcurrencySettings()
        self._limit = self._settings.initial
        self._window_end = 0.0
        self._samples = 0
        self._late_samples = 0
        self._peak_inflight = 0

    @property
    def limit(self) -> int:
        """Maximum number of requests in flight in the group."""
        return int(self._limit)

    def record_latency(
        self, seconds: float, target_seconds: float, inflight: int, now: float
    ) -> None:
        """Records one measured latency with its target and the number of requests in flight."""
        if not self._samples:
            self._window_end = now + self._settings.window_seconds
        self._samples += 1
        self._late_samples += seconds > target_seconds
        self._peak_inflight = max(self._peak_inflight, inflight)
        if now >= self._window_end and self._samples >= self._settings.minimum_samples:
            self._close_window()

    def _close_window(self) -> None:
        settings = self._settings
        if self._late_samples > settings.tolerated_late_share * self._samples:
            self._limit = max(settings.minimum, self._limit * settings.decrease)
        elif self._peak_inflight >= settings.min_utilisation * self._limit:
            step = max(1.0, settings.increase * self._limit)
            self._limit = min(settings.maximum, self._limit + step)
        self._samples = self._late_samples = self._peak_inflight = 0
