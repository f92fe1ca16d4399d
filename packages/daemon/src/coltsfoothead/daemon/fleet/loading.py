"""Loads of weights, one after the other within the rate of the weight store."""

import asyncio
import dataclasses
from collections.abc import Callable, Coroutine, Sequence

from coltsfoothead.kernel.capacity import weightloads

__all__ = ["LoadQueue"]


@dataclasses.dataclass(slots=True)
class _Running:
    load: weightloads.Load
    since: float
    task: asyncio.Task[None]


class LoadQueue:
    """Starts wanted loads in the scheduled order.

    Parameters
    ----------
    bytes_per_second : float
        Rate of the weight store that the loads may use together.
    give : callable
        Gives the order of one load; returns once it is answered.
    """

    def __init__(
        self,
        bytes_per_second: float,
        give: Callable[[weightloads.Load], Coroutine[object, object, None]],
    ) -> None:
        self._bytes_per_second = bytes_per_second
        self._give = give
        self._running: dict[tuple[str, str], _Running] = {}

    def step(self, wanted: Sequence[weightloads.Load], now: float) -> None:
        """Starts the loads that are due; loads under way go on."""
        for key in [key for key, each in self._running.items() if each.task.done()]:
            del self._running[key]
        loads = [each for each in wanted if (each.upstream, each.model) not in self._running]
        for each in self._running.values():
            left = each.load.size_bytes - (now - each.since) * self._bytes_per_second
            loads.append(dataclasses.replace(each.load, size_bytes=max(0.0, left), started=True))
        for planned in weightloads.schedule(loads, self._bytes_per_second, now):
            load = planned.load
            if not load.started and planned.starts_at <= now:
                task = asyncio.ensure_future(self._give(load))
                self._running[load.upstream, load.model] = _Running(load, now, task)

    def close(self) -> None:
        """Gives up waiting for answers."""
        for each in self._running.values():
            each.task.cancel()
        self._running.clear()
