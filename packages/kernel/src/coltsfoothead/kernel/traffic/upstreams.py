"""What is known of an upstream when a request is placed."""

import dataclasses
import enum

__all__ = ["State", "Upstream"]


class State(enum.Enum):
    """Whether an upstream takes new work.

    A silent upstream is lost and may come back; one that said that it ends is gone for good.
    """

    READY = "ready"
    LOST = "lost"
    DRAINING = "draining"
    GONE = "gone"


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """The newest announcement of an upstream.

    Attributes
    ----------
    born : int
        Unix milliseconds of its start, or 0; orders two starts under one ID.
    sequence : int
        Orders the announcements of one start.
    warm_in_seconds : float
        How long it is still slow after its start.
    reclaimable : bool
        Whether the cloud may take its VM away.
    leaves_in_seconds : float or None
        Time left before it is taken away, if it is known.
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

    @property
    def order(self) -> tuple[int, int]:
        """Key by which the newer of two announcements of one ID is known."""
        return (self.born, self.sequence)
