"""Faults of processes and VMs: kills, freezes and reclaims."""

import asyncio
import functools
import time

from coltsfoothead.testsupport.faults import registry, world

__all__ = ["kill"]

DOWN_SECONDS = 1.5
# A configuration lease lasts 3 s; a frozen daemon must notice at once that it has ended.
FROZEN_SECONDS = 4.5
NOTICE_SECONDS = 5.0
fault = registry.fault


@fault("kill -9")
async def kill(w: world.World, scene: world.Scene) -> None:
    """Kills the victim and starts it again."""
    w.kill(scene.victim)
    await asyncio.sleep(DOWN_SECONDS)
    await w.restart(scene.victim)


@fault("SIGSTOP, SIGCONT")
async def freeze(w: world.World, scene: world.Scene) -> None:
    """Freezes the victim for longer than its leases last."""
    process = w.children.processes[scene.victim]
    process.freeze()
    await asyncio.sleep(FROZEN_SECONDS)
    process.thaw()


@fault("reclaim of a VM", first="same as mid-stream")
async def reclaim(w: world.World, scene: world.Scene) -> None:
    """Announces the end of the victim's VM; it must be gone by then, without a request cut off."""
    w.cloud.give_notice(f"vm-{scene.victim}", NOTICE_SECONDS)
    await _replace(w, scene.victim)


@fault("reclaim of an engine", otherwise="no stream", first="", middle="", drain="")
async def reclaim_engine(w: world.World, scene: world.Scene) -> None:
    """Announces the end of the engine that serves the stream, with new work at every entry."""
    leaver = w.engines[busy(w)]
    leaver.controls["leave"]({"deadline_ms": NOTICE_SECONDS * 1000})
    fronts = [w.new_caller(name) for name in w.names if name != scene.victim]
    deadline = time.monotonic() + NOTICE_SECONDS
    while time.monotonic() < deadline:
        await asyncio.gather(*(front.chat("new work len=2") for front in fronts))
    await leaver.close()


@fault(
    "reclaim of a zone",
    first="same as mid-stream",
    last="same as mid-stream",
    handover="same as drain",
)
async def reclaim_zone(w: world.World, scene: world.Scene) -> None:
    """Announces the end of the victim's VM and of all upstreams of its zone."""
    zone = w.cluster.places[scene.victim].zone
    upstreams = [each for each in (*w.engines, *w.services) if each.announcer.zone == zone]
    w.cloud.give_notice(f"vm-{scene.victim}", NOTICE_SECONDS)
    for each in upstreams:
        each.controls["leave"]({"deadline_ms": NOTICE_SECONDS * 1000})
    await asyncio.sleep(NOTICE_SECONDS)
    for each in upstreams:
        await each.close()
    await _replace(w, scene.victim)


@fault(
    "death in a reclaim",
    first="same as mid-stream",
    last="same as mid-stream",
    before="same as kill -9",
)
async def death_in_reclaim(w: world.World, scene: world.Scene) -> None:
    """Kills the victim while it prepares for its announced end."""
    w.cloud.give_notice(f"vm-{scene.victim}", NOTICE_SECONDS)
    await asyncio.sleep(0.5)
    await kill(w, scene)


@fault(
    "second loss after repair",
    first="same as mid-stream",
    last="same as mid-stream",
    handover="same as kill -9",
    drain="same as kill -9",
)
async def second_loss(w: world.World, scene: world.Scene) -> None:
    """Kills another daemon as soon as the first one is ready again."""
    await kill(w, scene)
    process = w.children.processes[scene.victim]
    await w.children.wait_ready(process, "/readyz", world.SETTLE_SECONDS)
    other = w.rng.choice([name for name in w.names if name != scene.victim])
    w.kill(other)
    await asyncio.sleep(DOWN_SECONDS)
    await w.restart(other)


@fault("entry and upstream die", otherwise="no stream", first="", middle="", drain="", handover="")
async def together(w: world.World, scene: world.Scene) -> None:
    """Kills the victim and the engine that serves its stream at once."""
    await asyncio.gather(kill(w, scene), w.engines[busy(w)].close())


@fault(
    "same one twice",
    first="same as mid-stream",
    last="same as mid-stream",
    handover="same as kill -9",
    drain="same as kill -9",
)
async def twice(w: world.World, scene: world.Scene) -> None:
    """Kills the victim again as soon as it answers."""
    await kill(w, scene)
    await kill(w, scene)


@fault("rolling restart", otherwise="same as mid-stream", sent="", middle="", commit="")
async def rolling(w: world.World, scene: world.Scene) -> None:
    """Restarts one daemon after the other gracefully, with callers at every entry."""
    ended = asyncio.Event()
    load = [asyncio.create_task(_load(w, name, ended)) for name in w.names]
    for name in w.names:
        process = w.children.processes[name]
        process.terminate()
        await w.restart(name)
        await w.children.wait_ready(w.children.processes[name], "/readyz", world.SETTLE_SECONDS)
    ended.set()
    await asyncio.gather(*load)


async def _load(w: world.World, name: str, ended: asyncio.Event) -> None:
    """Sends work until told to end; a graceful stop may refuse it, and may not cut it off."""
    front = w.new_caller(name)
    turn = 0
    while not ended.is_set():
        turn += 1
        chat = await front.chat(f"load {turn} of {name} len=20")
        await w.finish_chat(front, chat)
        key = f"load-{name}-{turn}"
        call = await front.call("parts", "/load", body={"turn": turn}, key=key)
        await w.finish_call(front, call)
        for part in (*chat.parts, *call.parts):
            if part.ended in ("broken", "timeout"):
                w.problems.append(f"P6 {part.path}: {part.status} {part.ended} {part.error}")


def busy(w: world.World) -> int:
    """Returns the index of the engine that runs the stream."""
    found = [number for number, each in enumerate(w.engines) if each.batch.running]
    if not found:
        raise registry.CellFailedError("no engine runs the stream")
    return found[0]


async def _replace(w: world.World, name: str) -> None:
    gone = functools.partial(w.running, name)
    for _ in range(int(NOTICE_SECONDS * 20) + 20):
        if not gone():
            break
        await asyncio.sleep(0.05)
    await w.restart(name)
