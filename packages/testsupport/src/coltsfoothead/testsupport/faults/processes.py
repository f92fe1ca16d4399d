"""Faults of processes and VMs: kills, freezes and reclaims."""

import asyncio
import functools
import time

from coltsfoothead.testsupport.faults import registry, world

__all__ = ["kill"]

DOWN_SECONDS = 1.5
# A configuration lease lasts 3 s; a daemon must notice its expiry as soon as it is thawed.
FROZEN_SECONDS = 4.5
NOTICE_SECONDS = 5.0
fault = registry.fault


@fault("kill -9")
async def kill(w: world.World, scenario: world.Scenario) -> None:
    """Kills the victim and starts it again."""
    w.kill(scenario.victim)
    await asyncio.sleep(DOWN_SECONDS)
    await w.restart(scenario.victim)


@fault("SIGSTOP, SIGCONT")
async def freeze(w: world.World, scenario: world.Scenario) -> None:
    """Freezes the victim for longer than its leases last."""
    process = w.children.processes[scenario.victim]
    process.freeze()
    await asyncio.sleep(FROZEN_SECONDS)
    process.thaw()


@fault("reclaim of a VM", first_token="same as mid-stream")
async def reclaim(w: world.World, scenario: world.Scenario) -> None:
    """Gives notice of a reclaim to the victim's VM; it must exit in time and cut off no request."""
    w.cloud.give_notice(f"vm-{scenario.victim}", NOTICE_SECONDS)
    await _restart_after_reclaim(w, scenario.victim)


@fault("reclaim of an engine", default_reason="no stream", first_token="", mid_stream="", drain="")
async def reclaim_engine(w: world.World, scenario: world.Scenario) -> None:
    """Makes the engine of the stream leave while new requests arrive at every entry daemon."""
    leaving_engine = w.engines[busy_engine_index(w)]
    leaving_engine.controls["leave"]({"deadline_ms": NOTICE_SECONDS * 1000})
    clients = [w.new_caller(name) for name in w.names if name != scenario.victim]
    deadline = time.monotonic() + NOTICE_SECONDS
    while time.monotonic() < deadline:
        await asyncio.gather(*(client.chat("new work len=2") for client in clients))
    await leaving_engine.close()


@fault(
    "reclaim of a zone",
    first_token="same as mid-stream",
    last_token="same as mid-stream",
    handover="same as drain",
)
async def reclaim_zone(w: world.World, scenario: world.Scenario) -> None:
    """Gives notice to the victim's VM and makes all upstreams of its zone leave."""
    zone = w.cluster.daemon_specs[scenario.victim].zone
    upstreams = [each for each in (*w.engines, *w.services) if each.announcer.zone == zone]
    w.cloud.give_notice(f"vm-{scenario.victim}", NOTICE_SECONDS)
    for each in upstreams:
        each.controls["leave"]({"deadline_ms": NOTICE_SECONDS * 1000})
    await asyncio.sleep(NOTICE_SECONDS)
    for each in upstreams:
        await each.close()
    await _restart_after_reclaim(w, scenario.victim)


@fault(
    "death in a reclaim",
    first_token="same as mid-stream",
    last_token="same as mid-stream",
    before_acceptance="same as kill -9",
)
async def death_in_reclaim(w: world.World, scenario: world.Scenario) -> None:
    """Kills the victim while it drains after the notice of a reclaim."""
    w.cloud.give_notice(f"vm-{scenario.victim}", NOTICE_SECONDS)
    await asyncio.sleep(0.5)
    await kill(w, scenario)


@fault(
    "second loss after repair",
    first_token="same as mid-stream",
    last_token="same as mid-stream",
    handover="same as kill -9",
    drain="same as kill -9",
)
async def second_loss(w: world.World, scenario: world.Scenario) -> None:
    """Kills another daemon as soon as the first one is ready again."""
    await kill(w, scenario)
    process = w.children.processes[scenario.victim]
    await w.children.wait_ready(process, "/readyz", world.SETTLE_TIMEOUT_SECONDS)
    other = w.rng.choice([name for name in w.names if name != scenario.victim])
    w.kill(other)
    await asyncio.sleep(DOWN_SECONDS)
    await w.restart(other)


@fault(
    "entry and upstream die",
    default_reason="no stream",
    first_token="",
    mid_stream="",
    drain="",
    handover="",
)
async def entry_and_engine(w: world.World, scenario: world.Scenario) -> None:
    """Kills the victim and the engine that serves its stream at the same time."""
    await asyncio.gather(kill(w, scenario), w.engines[busy_engine_index(w)].close())


@fault(
    "same one twice",
    first_token="same as mid-stream",
    last_token="same as mid-stream",
    handover="same as kill -9",
    drain="same as kill -9",
)
async def twice(w: world.World, scenario: world.Scenario) -> None:
    """Kills the victim again as soon as it answers."""
    await kill(w, scenario)
    await kill(w, scenario)


@fault("rolling restart", default_reason="same as mid-stream", sent="", mid_stream="", commit="")
async def rolling(w: world.World, scenario: world.Scenario) -> None:
    """Restarts the daemons gracefully one by one, with callers at every entry daemon."""
    ended = asyncio.Event()
    load = [asyncio.create_task(_send_load(w, name, ended)) for name in w.names]
    for name in w.names:
        process = w.children.processes[name]
        process.terminate()
        await w.restart(name)
        await w.children.wait_ready(
            w.children.processes[name], "/readyz", world.SETTLE_TIMEOUT_SECONDS
        )
    ended.set()
    await asyncio.gather(*load)


async def _send_load(w: world.World, name: str, ended: asyncio.Event) -> None:
    """Sends requests until `ended` is set.

    A daemon that stops gracefully may refuse a request but must not cut one off.
    """
    client = w.new_caller(name)
    number = 0
    while not ended.is_set():
        number += 1
        chat = await client.chat(f"load {number} of {name} len=20")
        await w.finish_chat(client, chat)
        key = f"load-{name}-{number}"
        call = await client.call("parts", "/load", body={"turn": number}, key=key)
        await w.finish_call(client, call)
        for part in (*chat.parts, *call.parts):
            if part.ended in ("broken", "timeout"):
                w.problems.append(f"P6 {part.path}: {part.status} {part.ended} {part.error}")


def busy_engine_index(w: world.World) -> int:
    """Returns the index of the engine that runs the stream.

    Raises
    ------
    CellFailedError
        If no engine is running a request.
    """
    found = [number for number, each in enumerate(w.engines) if each.batch.running]
    if not found:
        raise registry.CellFailedError("no engine runs the stream")
    return found[0]


async def _restart_after_reclaim(w: world.World, name: str) -> None:
    is_running = functools.partial(w.is_running, name)
    for _ in range(int(NOTICE_SECONDS * 20) + 20):
        if not is_running():
            break
        await asyncio.sleep(0.05)
    await w.restart(name)
