"""Faults of upstreams: death, slowness and lost answers."""

import asyncio

from coltsfoothead.testsupport.faults import processes, registry, world

__all__ = []

SLOW_SECONDS = 3.0
fault = registry.fault


@fault("upstream dies", default_reason="no stream", first_token="", mid_stream="", drain="")
async def death(w: world.World, scenario: world.Scenario) -> None:
    """The engine that serves the stream ends without warning."""
    await w.engines[processes.busy_engine_index(w)].close()


@fault(
    "upstream slow",
    default_reason="no upstream at work",
    before_acceptance="",
    ledger_written="",
    sent="",
    first_token="",
    mid_stream="",
    handover="",
    drain="",
)
async def slow(w: world.World, scenario: world.Scenario) -> None:
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
    default_reason="no call at the service",
    before_acceptance="",
    ledger_written="",
    sent="",
    drain="",
    voter_change="",
    election="",
)
async def lost_answer(w: world.World, scenario: world.Scenario) -> None:
    """Services execute the next call and close without an answer; the caller repeats it."""
    for each in w.services:
        each.controls["lose_answers"](1)
    await asyncio.sleep(1.0)


@fault(
    "closed before it was read",
    default_reason="only between claim and execution",
    before_acceptance="",
    ledger_written="",
)
async def closed(w: world.World, scenario: world.Scenario) -> None:
    """Services close the next connection before they read the call, so nothing is executed."""
    for each in w.services:
        each.controls["close_before_reading"](1)
    await asyncio.sleep(1.0)
