"""Backoff of VM starts that the cloud refused."""

import random

__all__ = ["StartBackoff"]

_FIRST_SECONDS = 5.0
_LONGEST_SECONDS = 600.0
_LONGEST_DOUBLING = 10


class StartBackoff:
    """Remembers until when each kind of start is not to be tried again."""

    def __init__(self) -> None:
        self._refusals: dict[object, int] = {}
        self._until: dict[object, float] = {}

    def refused(self, kind: object, now: float, rng: random.Random) -> float:
        """Notes a refused start and returns when the kind may be tried again."""
        count = self._refusals.get(kind, 0)
        self._refusals[kind] = min(_LONGEST_DOUBLING, count + 1)
        longest = min(_LONGEST_SECONDS, _FIRST_SECONDS * 2.0**count)
        # Half of the delay is random, so refused kinds do not all come back at once.
        self._until[kind] = now + longest * rng.uniform(0.5, 1.0)
        return self._until[kind]

    def started(self, kind: object) -> None:
        """Notes a start that the cloud accepted."""
        self._refusals.pop(kind, None)
        self._until.pop(kind, None)

    def is_blocked(self, kind: object, now: float) -> bool:
        """Returns whether the kind is not to be tried now."""
        return now < self._until.get(kind, now)
