"""Operators' calls about rollouts, and their outcomes."""

import dataclasses

from coltsfoothead.kernel.rollouts import orders

__all__ = [
    "AbortRollout",
    "Conflict",
    "ReadRollout",
    "Rejected",
    "RolloutState",
    "StartRollout",
]


@dataclasses.dataclass(frozen=True, slots=True)
class StartRollout:
    """An operator orders that a service moves to a version of its software.

    Attributes
    ----------
    duration_seconds : float
        Time within which the rollout completes or is rolled back.
    """

    service: str
    target: str
    duration_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRollout:
    """An operator reads the state of a service's newest rollout."""

    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class AbortRollout:
    """An operator rolls a service's running rollout back."""

    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The call contradicts an order that is being carried out."""

    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The call is well-formed, but names something that does not exist."""

    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutState:
    """State of a service's newest rollout; it was accepted if the call ordered it.

    Attributes
    ----------
    cause : str
        Why the rollout has ended; empty while it runs.
    """

    service: str
    target: str
    phase: orders.Phase
    number: int = 0
    cause: str = ""
