"""Order in which upstreams load weights from the rate-limited store."""

import dataclasses
from collections.abc import Sequence

__all__ = ["Load", "ScheduledLoad", "schedule"]


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """A wanted load; `useful_tokens_per_second` is the unmet demand that it would serve."""

    upstream: str
    model: str
    size_bytes: float
    useful_tokens_per_second: float
    started: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ScheduledLoad:
    """A load with its start and end."""

    load: Load
    starts_at: float
    ends_at: float


def schedule(
    loads: Sequence[Load], bytes_per_second: float, now: float
) -> tuple[ScheduledLoad, ...]:
    """Returns the loads one after the other, the most useful per byte first.

    Notes
    -----
    By Smith's rule this order serves the most tokens while loads wait. Sharing the store's rate
    among loads would only delay the first ones. Loads that have started are not interrupted;
    their `size_bytes` is what remains.
    """

    def urgency(load: Load) -> tuple[bool, float, str, str]:
        usefulness = load.useful_tokens_per_second / max(1.0, load.size_bytes)
        return not load.started, -usefulness, load.model, load.upstream

    scheduled = []
    for load in sorted(loads, key=urgency):
        ends_at = now + load.size_bytes / bytes_per_second
        scheduled.append(ScheduledLoad(load, now, ends_at))
        now = ends_at
    return tuple(scheduled)
