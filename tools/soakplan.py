"""Seeded plans of faults for the soak."""

import dataclasses
import random
from collections.abc import Sequence

__all__ = ["Fault", "make_plan"]

# Least and greatest time between the starts of two faults. Faults may last longer and overlap.
FAULT_GAP_RANGE_SECONDS = (0.1, 1.2)
# Least time between two faults of a disk: a process with an empty disk needs it to become a voter
# again. Five voters tolerate two lost disks; one lost at a time leaves room for a full disk.
VOTER_REPAIR_SECONDS = 6.0
# Relative frequency of each kind of fault.
KIND_WEIGHTS = {
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
CONTROL_DISK_FAULTS = {"wipe", "disk_full"}
PROCESS_FAULTS = {"kill", "pause", "stop", "reload"}
LINK_FAULTS = {"delay", "cut", "reset", "silence"}


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    Attributes
    ----------
    at_seconds : float
        Start of the fault, counted from the start of the load.
    kind : str
        One of `KIND_WEIGHTS`.
    target : str
        Address of a process, or name of a link to an upstream; empty for the document.
    seconds : float
        Duration; not used by kinds that take effect at a single moment.
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
    at, wiped_at, revoked = 0.0, -VOTER_REPAIR_SECONDS, False
    while True:
        at += rng.uniform(*FAULT_GAP_RANGE_SECONDS)
        if at >= seconds:
            return plan
        kind = rng.choices(list(KIND_WEIGHTS), list(KIND_WEIGHTS.values()))[0]
        if kind in CONTROL_DISK_FAULTS:
            if at - wiped_at < VOTER_REPAIR_SECONDS:
                continue
            wiped_at = at
        if kind == "revoke":
            if revoked:
                continue
            revoked = True
        target = ""
        if kind in CONTROL_DISK_FAULTS:
            target = rng.choice(controls)
        elif kind in PROCESS_FAULTS:
            target = rng.choice([*controls, *entries])
        elif kind in LINK_FAULTS:
            target = rng.choice(links)
        plan.append(Fault(at, kind, target, rng.uniform(0.2, 2.5)))
