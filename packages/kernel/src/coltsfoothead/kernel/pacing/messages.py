"""What entries and the leader tell each other about the upstreams in a window."""

import dataclasses

__all__ = ["Outcomes", "Pace", "PaceReport"]


@dataclasses.dataclass(frozen=True, slots=True)
class Outcomes:
    """Numbers of requests by how their upstream answered.

    Attributes
    ----------
    in_time, late : int
        Answers that began within the objective, and requests that missed it.
    refused, broken : int
        Requests that the upstream refused, and attempts that failed otherwise.
    """

    in_time: int = 0
    late: int = 0
    refused: int = 0
    broken: int = 0

    def __add__(self, other: "Outcomes") -> "Outcomes":
        return Outcomes(
            self.in_time + other.in_time,
            self.late + other.late,
            self.refused + other.refused,
            self.broken + other.broken,
        )

    @property
    def total(self) -> int:
        """Number of all requests."""
        return self.in_time + self.late + self.refused + self.broken


@dataclasses.dataclass(frozen=True, slots=True)
class PaceReport:
    """What an entry has observed at the upstreams in a window.

    Attributes
    ----------
    outcomes : dict of str to Outcomes
        Outcomes since the last report by upstream ID.
    sizes : dict of str to float
        Sizes of the windows that the entry knows by upstream ID, for a leader of a new term.
    """

    outcomes: dict[str, Outcomes] = dataclasses.field(default_factory=dict)
    sizes: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Pace:
    """Window of one upstream, as the leader tells an entry.

    Attributes
    ----------
    size : float
        Requests in flight of all entries together.
    permits : int or None
        Requests that the entry may send until its next exchange; None if the window does not bind.
    """

    size: float
    permits: int | None = None
