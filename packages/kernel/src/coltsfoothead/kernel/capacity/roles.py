"""Changes of role, model version or adapters by drain."""

import dataclasses
import math
from collections.abc import Mapping, Sequence

__all__ = ["Order", "Resume", "Serving", "StopNewWork", "next_steps"]


@dataclasses.dataclass(frozen=True, slots=True)
class Serving:
    """What an upstream serves now; `role` names role, model and version together."""

    upstream: str
    zone: str
    role: str
    draining: bool
    inflight: int


@dataclasses.dataclass(frozen=True, slots=True)
class StopNewWork:
    """Route no new work to the upstream; running requests finish."""

    upstream: str


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Order the drained upstream to take the role, with the fencing number."""

    upstream: str
    role: str
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Resume:
    """Route new work to the upstream again; it has its role."""

    upstream: str


def next_steps(
    upstreams: Sequence[Serving],
    wanted: Mapping[str, str],
    fence: int,
    maximum_share: float = 0.25,
) -> tuple[StopNewWork | Order | Resume, ...]:
    """Returns the next orders towards the wanted roles.

    Parameters
    ----------
    maximum_share : float
        Share of the upstreams that may be draining at once, though always one. They are all in
        one zone, so that the loss of another one does not come on top in two.
    """
    steps: list[StopNewWork | Order | Resume] = []
    draining = [each for each in upstreams if each.draining]
    for each in draining:
        role = wanted.get(each.upstream, each.role)
        if role == each.role:
            steps.append(Resume(each.upstream))
        elif not each.inflight:
            steps.append(Order(each.upstream, role, fence))
    waiting = [
        each
        for each in upstreams
        if not each.draining and wanted.get(each.upstream, each.role) != each.role
    ]
    waiting.sort(key=lambda each: (each.zone, each.inflight, each.upstream))
    zones = {each.zone for each in draining} or {each.zone for each in waiting[:1]}
    free = max(1, math.floor(maximum_share * len(upstreams))) - len(draining)
    chosen = [each for each in waiting if zones == {each.zone}][: max(0, free)]
    return (*steps, *(StopNewWork(each.upstream) for each in chosen))
