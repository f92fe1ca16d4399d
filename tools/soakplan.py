"""Seeded plans of faults for the soak."""

import dataclasses
import random
from collections.abc import Sequence

__all__ = ["Fault", "make_plan"]

# Seconds between faults; several last longer, so that they overlap.
GAP_SECONDS = (0.1, 1.2)
# Time in which a process with an empty disk becomes a voter again; five voters bear two lost disks,
# and one loss at a time leaves room for a disk that is full.
REPAIR_SECONDS = 6.0
KINDS = {
    "kill": 4,
    "pause": 3,
    "stop": 3,
    "reload": 1,
    "wipe": 1,
    "disk_full": 1,
    "document": 4,
    "revoke": 1,
    "delay": 2,
    "cut": 2,
    "reset": 2,
    "silence": 1,
}
ON_CONTROLS = {"wipe", "disk_full"}
ON_PROCESSES = {"kill", "pause", "stop", "reload"}
ON_LINKS = {"delay", "cut", "reset", "silence"}


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    Attributes
    ----------
    at_seconds : float
        From the start of the load.
    kind : str
    target : str
        Address of a process, or name of a link to an upstream; empty for the document.
    seconds : float
        How long it lasts.
    """

    at_seconds: float
    kind: str
    target: str
    seconds: float


def make_plan(
    seed: int, seconds: float, controls: Sequence[str], entries: Sequence[str], links: Sequence[str]
) -> list[Fault]:
    """Returns the faults of a seed in the order of their times."""
    rng = random.Random(seed)
    plan: list[Fault] = []
    at, wiped_at, revoked = 0.0, -REPAIR_SECONDS, False
    while True:
        at += rng.uniform(*GAP_SECONDS)
        if at >= seconds:
            return plan
        kind = rng.choices(list(KINDS), list(KINDS.values()))[0]
        if kind in ON_CONTROLS:
            if at - wiped_at < REPAIR_SECONDS:
                continue
            wiped_at = at
        if kind == "revoke":
            if revoked:
                continue
            revoked = True
        target = ""
        if kind in ON_CONTROLS:
            target = rng.choice(controls)
        elif kind in ON_PROCESSES:
            target = rng.choice([*controls, *entries])
        elif kind in ON_LINKS:
            target = rng.choice(links)
        plan.append(Fault(at, kind, target, rng.uniform(0.2, 2.5)))
