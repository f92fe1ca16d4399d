"""Exponential backoff of VM starts that the cloud refused."""

import random

__all__ = ["StartBackoff"]

_FIRST_DELAY_SECONDS = 5.0
_MAX_DELAY_SECONDS = 600.0
_MAX_DOUBLINGS = 10


class StartBackoff:
    """Blocks each refused kind of start for an exponentially growing delay."""

    def __init__(self) -> None:
        self._refusals: dict[object, int] = {}
        self._blocked_until: dict[object, float] = {}

    def record_refused(self, kind: object, now: float, rng: random.Random) -> float:
        """Records a refused start and returns the time at which the kind may be tried again."""
        refusals = self._refusals.get(kind, 0)
        self._refusals[kind] = min(_MAX_DOUBLINGS, refusals + 1)
        max_delay_seconds = min(_MAX_DELAY_SECONDS, _FIRST_DELAY_SECONDS * 2.0**refusals)
        # Half of the delay is random, so refused kinds are not all retried at once.
        self._blocked_until[kind] = now + max_delay_seconds * rng.uniform(0.5, 1.0)
        return self._blocked_until[kind]

    def record_accepted(self, kind: object) -> None:
        """Records an accepted start, which ends the backoff of its kind."""
        self._refusals.pop(kind, None)
        self._blocked_until.pop(kind, None)

    def is_blocked(self, kind: object, now: float) -> bool:
        """Returns whether starts of the kind are blocked now."""
        return now < self._blocked_until.get(kind, now)
