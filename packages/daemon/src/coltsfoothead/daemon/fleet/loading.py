"""Schedules weight loads one after the other, within the bandwidth of the weight store."""

import asyncio
import dataclasses
from collections.abc import Callable, Coroutine, Sequence

from coltsfoothead.kernel.capacity import weightloads

__all__ = ["LoadQueue"]


@dataclasses.dataclass(slots=True)
class _RunningLoad:
    load: weightloads.WeightLoad
    started_at: float
    task: asyncio.Task[None]


class LoadQueue:
    """Sends the orders of weight loads in the scheduled sequence.

    Parameters
    ----------
    bytes_per_second : float
        Bandwidth of the weight store, which all loads share.
    send_order : callable
        Orders an upstream to carry out one load; returns once the order is answered.
    """

    def __init__(
        self,
        bytes_per_second: float,
        send_order: Callable[[weightloads.WeightLoad], Coroutine[object, object, None]],
    ) -> None:
        self._bytes_per_second = bytes_per_second
        self._send_order = send_order
        self._running: dict[tuple[str, str], _RunningLoad] = {}

    def step(self, wanted: Sequence[weightloads.WeightLoad], now: float) -> None:
        """Starts the loads that are due at `now`; running loads are left alone."""
        for key in [key for key, each in self._running.items() if each.task.done()]:
            del self._running[key]
        loads = [each for each in wanted if (each.upstream, each.model) not in self._running]
        for each in self._running.values():
            remaining_bytes = (
                each.load.size_bytes - (now - each.started_at) * self._bytes_per_second
            )
            loads.append(
                dataclasses.replace(each.load, size_bytes=max(0.0, remaining_bytes), started=True)
            )
        for planned in weightloads.schedule(loads, self._bytes_per_second, now):
            load = planned.load
            if not load.started and planned.starts_at <= now:
                task = asyncio.ensure_future(self._send_order(load))
                self._running[load.upstream, load.model] = _RunningLoad(load, now, task)

    def close(self) -> None:
        """Cancels the wait for the answers to all orders sent."""
        for each in self._running.values():
            each.task.cancel()
        self._running.clear()
