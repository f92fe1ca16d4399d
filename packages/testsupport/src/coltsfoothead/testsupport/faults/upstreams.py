"""Faults of upstreams: death, slowness and lost answers."""

import asyncio

from coltsfoothead.testsupport.faults import processes, registry, world

__all__ = []

SLOW_SECONDS = 3.0
fault = registry.fault


@fault("upstream dies", otherwise="no stream", first="", middle="", drain="")
async def death(w: world.World, scene: world.Scene) -> None:
    """The engine that serves the stream ends without notice."""
    await w.engines[processes.busy(w)].close()


@fault(
    "upstream slow",
    otherwise="no upstream at work",
    before="",
    ledger="",
    sent="",
    first="",
    middle="",
    handover="",
    drain="",
)
async def slow(w: world.World, scene: world.Scene) -> None:
    """All upstreams work at a tenth of their speed for a while."""
    for each in w.engines:
        each.controls["slowness"](10)
    for each in w.services:
        each.controls["delay_ms"](SLOW_SECONDS * 1000)
    await asyncio.sleep(SLOW_SECONDS)
    for each in w.engines:
        each.controls["slowness"](1)
    for each in w.services:
        each.controls["delay_ms"](0)


@fault(
    "answer lost after it ran",
    otherwise="no call at the service",
    before="",
    ledger="",
    sent="",
    drain="",
    voters="",
    election="",
)
async def lost_answer(w: world.World, scene: world.Scene) -> None:
    """Services run the next calls and close without an answer; the caller asks again."""
    for each in w.services:
        each.controls["lose_answers"](1)
    await asyncio.sleep(1.0)


@fault(
    "closed before it was read",
    otherwise="only between claim and execution",
    before="",
    ledger="",
)
async def closed(w: world.World, scene: world.Scene) -> None:
    """Services close the next connections before they read the call, and run nothing."""
    for each in w.services:
        each.controls["close_before_reading"](1)
    await asyncio.sleep(1.0)
