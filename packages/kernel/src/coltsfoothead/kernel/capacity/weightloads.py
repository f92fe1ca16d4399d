"""Order in which upstreams load model weights from the rate-limited weight store."""

import dataclasses
from collections.abc import Sequence

__all__ = ["ScheduledLoad", "WeightLoad", "schedule"]


@dataclasses.dataclass(frozen=True, slots=True)
class WeightLoad:
    """A load of model weights; `useful_tokens_per_second` is the unmet demand it would serve."""

    upstream: str
    model: str
    size_bytes: float
    useful_tokens_per_second: float
    started: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ScheduledLoad:
    """A weight load with its planned start and end."""

    load: WeightLoad
    starts_at: float
    ends_at: float


def schedule(
    loads: Sequence[WeightLoad], bytes_per_second: float, now: float
) -> tuple[ScheduledLoad, ...]:
    """Returns the loads in sequence, ordered by descending demand per byte.

    Notes
    -----
    By Smith's rule this order serves the most tokens while loads wait. Sharing the store's rate
    among loads would only delay the first ones. Started loads are not interrupted; their
    `size_bytes` is the remaining size.
    """

    def priority(load: WeightLoad) -> tuple[bool, float, str, str]:
        demand_per_byte = load.useful_tokens_per_second / max(1.0, load.size_bytes)
        return not load.started, -demand_per_byte, load.model, load.upstream

    scheduled = []
    for load in sorted(loads, key=priority):
        ends_at = now + load.size_bytes / bytes_per_second
        scheduled.append(ScheduledLoad(load, now, ends_at))
        now = ends_at
    return tuple(scheduled)
