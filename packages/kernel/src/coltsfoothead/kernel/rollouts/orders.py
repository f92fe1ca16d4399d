"""Orders of operators to move a service to another software version.

Load pattern: two operators, or one who repeats an order whose confirmation was lost, beside a
change of the leader.
"""

import dataclasses
import enum
import math
from collections.abc import Collection, Sequence

from coltsfoothead.kernel import errors

__all__ = [
    "InvalidOrderError",
    "Order",
    "OrderConflictError",
    "Phase",
    "Rollout",
    "RolloutError",
    "Rule",
    "UnknownServiceError",
    "UnknownVersionError",
    "decide_order",
    "rule",
]

# An equal order after a rollback counts as a repetition for this time, and as a new one later.
# Operators' clients repeat an order without confirmation for a few seconds.
REPETITION_SECONDS = 30.0
MAX_DURATION_SECONDS = 7 * 86400.0
# Longest version that upstreams may announce.
MAX_VERSION_LENGTH = 256


class RolloutError(errors.KernelError):
    """Base class of the reasons for which an order is not accepted."""


class InvalidOrderError(RolloutError):
    """The order names no usable duration."""


class UnknownServiceError(RolloutError):
    """The routing document in force has no such service."""


class UnknownVersionError(RolloutError):
    """The order names no version that an upstream could announce."""


class OrderConflictError(RolloutError):
    """Another rollout of the service is running."""


class Phase(enum.Enum):
    """Progress of a rollout.

    A `PROBING` rollout exposes few requests to the target version; a `SHIFTING` one moves all
    requests there.
    """

    PROBING = "probing"
    SHIFTING = "shifting"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def running(self) -> bool:
        """Whether the rollout has not ended."""
        return self in (Phase.PROBING, Phase.SHIFTING)


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An accepted order.

    Attributes
    ----------
    number : int
        Orders the rollouts of one service, from 1.
    target : str
        Version to which the service is moved.
    duration_seconds : float
        Time from the order within which the rollout ends.
    ordered_at : float
        Unix time in seconds.
    """

    service: str
    number: int
    target: str
    duration_seconds: float
    ordered_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Rollout:
    """A rollout as the control log has it.

    Attributes
    ----------
    order : Order
    phase : Phase
    cause : str
        Why it ended.
    replaced : tuple of str
        Versions that a completed rollout has replaced.
    """

    order: Order
    phase: Phase = Phase.PROBING
    cause: str = ""
    replaced: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Rule:
    """Which versions of a service get requests.

    Attributes
    ----------
    number : int
        Number of the newest order.
    excluded : tuple of str
        Versions that were rolled back or replaced. Later ones that no order names may serve.
    """

    service: str
    number: int
    target: str
    phase: Phase
    excluded: tuple[str, ...] = ()

    def allows(self, version: str, exposed: bool) -> bool:
        """Returns whether a version may get a request.

        Parameters
        ----------
        version : str
        exposed : bool
            Whether a permission exposes the request to the target version.
        """
        if version == self.target and self.phase is not Phase.COMPLETED:
            return self.phase.running and exposed
        return version not in self.excluded


def rule(rollouts: Sequence[Rollout]) -> Rule:
    """Returns the rule that follows from the rollouts of one service, the newest last."""
    excluded: set[str] = set()
    for each in rollouts:
        excluded.discard(each.order.target)
        if each.phase is Phase.ROLLED_BACK:
            excluded.add(each.order.target)
        excluded.update(each.replaced)
    newest = rollouts[-1]
    order = newest.order
    return Rule(order.service, order.number, order.target, newest.phase, tuple(sorted(excluded)))


def decide_order(
    rollouts: Sequence[Rollout],
    service: str,
    target: str,
    duration_seconds: float,
    services: Collection[str],
    now: float,
) -> Order | None:
    """Returns the order to record, or None if the order repeats an accepted one.

    The target need not have upstreams yet, since operators start them after the order.

    Parameters
    ----------
    rollouts : sequence of Rollout
        Rollouts of the service, the newest last.
    service, target : str
    duration_seconds : float
    services : collection of str
        Services of the routing document in force.
    now : float
        Unix time in seconds.

    Raises
    ------
    RolloutError
        If the order is not accepted.
    """
    newest = rollouts[-1] if rollouts else None
    if newest is not None and _repeats(newest, target, duration_seconds, now):
        return None
    if not (math.isfinite(duration_seconds) and 0 < duration_seconds <= MAX_DURATION_SECONDS):
        raise InvalidOrderError(f"the duration {duration_seconds} s is not a usable one")
    if not 0 < len(target) <= MAX_VERSION_LENGTH:
        raise UnknownVersionError("the order names no version that an upstream can have")
    if service not in services:
        raise UnknownServiceError(f"there is no service {service!r}")
    if newest is not None and newest.phase.running:
        raise OrderConflictError(
            f"{service!r} is being moved to {newest.order.target!r}, order {newest.order.number}"
        )
    number = newest.order.number + 1 if newest is not None else 1
    return Order(service, number, target, duration_seconds, now)


def _repeats(newest: Rollout, target: str, duration_seconds: float, now: float) -> bool:
    order = newest.order
    if (order.target, order.duration_seconds) != (target, duration_seconds):
        return False
    if newest.phase is not Phase.ROLLED_BACK:
        return True
    return abs(now - order.ordered_at) <= order.duration_seconds + REPETITION_SECONDS
