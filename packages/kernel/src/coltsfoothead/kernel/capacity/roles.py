"""Changes of an upstream's role, model version or adapters, which drain it first."""

import dataclasses
import math
from collections.abc import Mapping, Sequence

__all__ = ["AssignRole", "Resume", "StopNewWork", "UpstreamRole", "next_steps"]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRole:
    """Current role of an upstream; `role` identifies role, model and version together."""

    upstream: str
    zone: str
    role: str
    draining: bool
    inflight: int


@dataclasses.dataclass(frozen=True, slots=True)
class StopNewWork:
    """Stop routing new work to the upstream; running requests finish."""

    upstream: str


@dataclasses.dataclass(frozen=True, slots=True)
class AssignRole:
    """Assign the role to the drained upstream, under the fencing token `fence`."""

    upstream: str
    role: str
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Resume:
    """Route new work to the upstream again, which has its wanted role."""

    upstream: str


def next_steps(
    upstreams: Sequence[UpstreamRole],
    wanted: Mapping[str, str],
    fence: int,
    max_draining_share: float = 0.25,
) -> tuple[StopNewWork | AssignRole | Resume, ...]:
    """Returns the next steps towards the wanted roles.

    Parameters
    ----------
    max_draining_share : float
        Share of the upstreams that may be draining at once, but at least one upstream. All of
        them are in one zone, so that with the loss of another zone only two are affected.
    """
    steps: list[StopNewWork | AssignRole | Resume] = []
    draining = [each for each in upstreams if each.draining]
    for each in draining:
        role = wanted.get(each.upstream, each.role)
        if role == each.role:
            steps.append(Resume(each.upstream))
        elif not each.inflight:
            steps.append(AssignRole(each.upstream, role, fence))
    pending = [
        each
        for each in upstreams
        if not each.draining and wanted.get(each.upstream, each.role) != each.role
    ]
    pending.sort(key=lambda each: (each.zone, each.inflight, each.upstream))
    zones = {each.zone for each in draining} or {each.zone for each in pending[:1]}
    available_drains = max(1, math.floor(max_draining_share * len(upstreams))) - len(draining)
    chosen = [each for each in pending if zones == {each.zone}][: max(0, available_drains)]
    return (*steps, *(StopNewWork(each.upstream) for each in chosen))
