"""Announced state of the upstreams."""

import dataclasses
import enum

__all__ = ["State", "Upstream"]


class State(enum.Enum):
    """Whether an upstream accepts new requests.

    An upstream whose announcements have stopped is `LOST` and may return. One that announced its
    end is `GONE` for good.
    """

    READY = "ready"
    LOST = "lost"
    DRAINING = "draining"
    GONE = "gone"


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """The latest announcement of an upstream.

    Attributes
    ----------
    slots : int
        Requests that the upstream serves at once.
    born : int
        Unix time of its start in milliseconds, or 0 if unknown; orders two starts under one ID.
    sequence : int
        Orders the announcements after one start.
    warm_in_seconds : float
        Time left until the upstream has warmed up and reaches its full speed.
    reclaimable : bool
        Whether the cloud may reclaim its vm.
    leaves_in_seconds : float or None
        Time left until its vm is reclaimed, if known.
    version : str
        Version of its software; empty if it names none.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    state: State
    born: int = 0
    sequence: int = 0
    warm_in_seconds: float = 0.0
    reclaimable: bool = False
    leaves_in_seconds: float | None = None
    version: str = ""

    @property
    def recency_key(self) -> tuple[int, int]:
        """Sort key of the announcements of one ID; the latest one has the greatest key."""
        return (self.born, self.sequence)
