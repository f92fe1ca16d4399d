"""Registry of the cells of the fault matrix."""

import dataclasses
import enum
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

__all__ = ["FAULTS", "REACH", "CellFailedError", "Fault", "Step", "fault", "reach"]


class CellFailedError(Exception):
    """A property did not hold in a cell; the message says which."""


class Step(enum.StrEnum):
    """The column: how far the work is when the fault comes."""

    BEFORE = "before-acceptance"
    LEDGER = "ledger-written"
    SENT = "sent"
    FIRST = "first-token"
    MIDDLE = "mid-stream"
    LAST = "last-token"
    HANDOVER = "hand-over"
    ELECTION = "election"
    COMMIT = "commit"
    VOTERS = "voter-change"
    DRAIN = "drain"


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """The row: `run(world, scene)` injects the fault and repairs what it broke."""

    name: str
    run: Callable[[Any, Any], Awaitable[None]]
    steps: tuple[Step, ...]
    not_applicable: Mapping[Step, str]


FAULTS: dict[str, Fault] = {}
REACH: dict[Step, Callable[[Any], Awaitable[Any]]] = {}


def fault(name: str, *, otherwise: str = "", **reasons: str):
    """Registers a fault for all steps but those with a reason.

    Parameters
    ----------
    name : str
    otherwise : str
        If given, the reason for every step that is neither in `reasons` nor given an empty one.
    **reasons : str
        Why a step is not applicable, by the step's name in lower case; empty if it is applicable.
    """
    given = {Step[key.upper()]: reason for key, reason in reasons.items()}
    excluded = {step: given.get(step, otherwise) for step in Step}
    steps = tuple(step for step in Step if not excluded[step])

    def register(run):
        excluded_only = {step: reason for step, reason in excluded.items() if reason}
        FAULTS[name] = Fault(name, run, steps, excluded_only)
        return run

    return register


def reach(step: Step):
    """Registers the coroutine function that brings a world to a step and returns the scene."""

    def register(run):
        REACH[step] = run
        return run

    return register
