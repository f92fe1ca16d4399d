"""Admission decisions."""

import dataclasses
import enum

__all__ = ["Admitted", "Decision", "Queued", "Refused", "RefusedReason"]


class RefusedReason(enum.Enum):
    """Why a request was refused before it ran."""

    DEADLINE = "deadline cannot be met"
    QUEUE_FULL = "queue of the organisation is full"
    DISPLACED = "queue is full and the organisation holds the largest part of it"


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request may be routed now."""

    request: str


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """The request waits; a later decision admits or refuses it."""

    request: str
    expected_wait_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request did not run; `retry_after_seconds` is None if a retry cannot succeed."""

    request: str
    reason: RefusedReason
    retry_after_seconds: float | None


Decision = Admitted | Queued | Refused
