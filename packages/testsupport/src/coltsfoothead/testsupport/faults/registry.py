"""Registry of the cells of the fault matrix."""

import dataclasses
import enum
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

__all__ = ["FAULTS", "STEP_SETUPS", "CellFailedError", "Fault", "Step", "fault", "step_setup"]


class CellFailedError(Exception):
    """A property did not hold in a cell; the message says which."""


class Step(enum.StrEnum):
    """Column of the matrix: the progress of the work when the fault is injected."""

    BEFORE_ACCEPTANCE = "before-acceptance"
    LEDGER_WRITTEN = "ledger-written"
    SENT = "sent"
    FIRST_TOKEN = "first-token"
    MID_STREAM = "mid-stream"
    LAST_TOKEN = "last-token"
    HANDOVER = "hand-over"
    ELECTION = "election"
    COMMIT = "commit"
    VOTER_CHANGE = "voter-change"
    DRAIN = "drain"


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Row of the matrix.

    Attributes
    ----------
    run : callable
        Coroutine function `run(world, scenario)` that injects the fault and repairs what it broke.
    steps : tuple of Step
        Steps at which the fault is injected.
    not_applicable : mapping
        Reason for every other step.
    """

    name: str
    run: Callable[[Any, Any], Awaitable[None]]
    steps: tuple[Step, ...]
    not_applicable: Mapping[Step, str]


FAULTS: dict[str, Fault] = {}
STEP_SETUPS: dict[Step, Callable[[Any], Awaitable[Any]]] = {}


def fault(name: str, *, default_reason: str = "", **reasons: str):
    """Registers a fault for all steps but those with a reason.

    Parameters
    ----------
    name : str
        Name of the fault in the table and for the option `--only`.
    default_reason : str
        If not empty, the reason for every step that is not in `reasons`.
    **reasons : str
        Why a step is not applicable, by the step's name in lower case; empty if it is applicable.
    """
    reasons_by_step = {Step[key.upper()]: reason for key, reason in reasons.items()}
    reason_or_empty = {step: reasons_by_step.get(step, default_reason) for step in Step}
    steps = tuple(step for step in Step if not reason_or_empty[step])

    def register(run):
        not_applicable = {step: reason for step, reason in reason_or_empty.items() if reason}
        FAULTS[name] = Fault(name, run, steps, not_applicable)
        return run

    return register


def step_setup(step: Step):
    """Registers the coroutine function that brings a world to a step and returns the scenario."""

    def register(run):
        STEP_SETUPS[step] = run
        return run

    return register
