"""Brings an installation to each step of the work."""

import asyncio
import contextlib
import time

from coltsfoothead.testsupport import cluster, errors, harness, webclient
from coltsfoothead.testsupport.faults import registry, world

__all__ = ["FROZEN_LEADER_SECONDS"]

REACH_SECONDS = 10.0
FROZEN_LEADER_SECONDS = 3.0
ENTRY = "d1"
Step = registry.Step


@registry.reach(Step.BEFORE)
async def before(w: world.World) -> world.Scene:
    """Half a call has been sent; it may never run. A whole one follows after the fault."""
    scene = world.Scene(Step.BEFORE, ENTRY, w.new_caller(ENTRY))
    w.forbidden_keys.add("half")
    host, port = webclient.split_address(w.cluster.addresses[ENTRY]["callers"])
    _, writer = await asyncio.open_connection(host, port)
    key = cluster.api_key(world.ORGANISATION)
    head = f"POST /services/parts/half HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n"
    writer.write(f'{head}idempotency-key: half\r\ncontent-length: 99\r\n\r\n{{"a":'.encode())
    await writer.drain()

    async def finish() -> None:
        writer.transport.abort()
        await scene.front.call("parts", "/holds", body={"a": 1}, key="whole")
        await scene.front.chat("after the fault len=20")

    scene.finish.append(finish)
    return scene


@registry.reach(Step.LEDGER)
async def ledger(w: world.World) -> world.Scene:
    """A call is claimed in the ledger and none of its bytes has reached the service."""
    scene = world.Scene(Step.LEDGER, ENTRY, w.new_caller(ENTRY))
    w.proxy.cut("s[12]")
    scene.tasks.append(_call(w, scene))
    routes = [w.proxy.routes["s1"], w.proxy.routes["s2"]]
    held = lambda: any(route.connections for route in routes)  # noqa: E731
    await harness.wait_until(held, REACH_SECONDS, "call on its way")

    async def heal() -> None:
        await asyncio.sleep(0.5)
        w.proxy.heal("s[12]")

    scene.tasks.append(asyncio.create_task(heal()))
    return scene


@registry.reach(Step.SENT)
async def sent(w: world.World) -> world.Scene:
    """A call runs at the service, which answers later."""
    scene = world.Scene(Step.SENT, ENTRY, w.new_caller(ENTRY))
    for each in w.services:
        each.controls["delay_ms"](1500)
    scene.tasks.append(_call(w, scene))
    await harness.wait_until(lambda: w.executed("hold"), REACH_SECONDS, "call at the service")
    return scene


@registry.reach(Step.FIRST)
async def first(w: world.World) -> world.Scene:
    """A stream has delivered its first token."""
    return await _stream(w, Step.FIRST, 80, 1)


@registry.reach(Step.MIDDLE)
async def middle(w: world.World) -> world.Scene:
    """A stream is under way."""
    # What is left takes 3 s: longer than a listener's grace of 2 s, shorter than a notice.
    return await _stream(w, Step.MIDDLE, 120, 20)


@registry.reach(Step.LAST)
async def last(w: world.World) -> world.Scene:
    """The engine has finished; the caller's connection breaks before the last tokens."""
    address = await w.proxy.add_route("front", w.cluster.addresses[ENTRY]["callers"])
    scene = world.Scene(Step.LAST, ENTRY, w.new_caller(ENTRY))
    await _start_stream(scene, 40, 5, address)
    w.proxy.cut("front", "down")
    idle = lambda: not any(each.batch.running for each in w.engines)  # noqa: E731
    await harness.wait_until(idle, REACH_SECONDS, "end of the engine's work")

    async def heal() -> None:
        await asyncio.sleep(1.0)
        w.proxy.reset("front")
        w.proxy.heal("front")

    scene.tasks.append(asyncio.create_task(heal()))
    return scene


@registry.reach(Step.HANDOVER)
async def handover(w: world.World) -> world.Scene:
    """A daemon stops whose stream is too long for the time it has."""
    scene = await _stream(w, Step.HANDOVER, 250, 10)
    await w.drain(scene.victim, 2.0)
    await asyncio.sleep(0.3)
    scene.finish.append(lambda: _back(w, scene.victim))
    return scene


@registry.reach(Step.DRAIN)
async def drain(w: world.World) -> world.Scene:
    """A daemon stops gracefully with a stream and a call under way."""
    scene = await sent(w)
    scene.step = Step.DRAIN
    await _start_stream(scene, 80, 1, w.cluster.addresses[ENTRY]["callers"])
    await w.drain(scene.victim)
    await asyncio.sleep(0.2)
    scene.finish.append(lambda: _back(w, scene.victim))
    return scene


@registry.reach(Step.ELECTION)
async def election(w: world.World) -> world.Scene:
    """The leader of the control log is silent and the others elect a new one."""
    leader = await w.leader()
    victim = next(name for name in w.names if name != leader)
    scene = world.Scene(Step.ELECTION, victim, w.new_caller(victim))
    process = w.children.processes[leader]
    process.freeze()

    async def thaw() -> None:
        await asyncio.sleep(FROZEN_LEADER_SECONDS)
        process.thaw()

    scene.tasks += [asyncio.create_task(thaw()), _call(w, scene)]
    await asyncio.sleep(0.8)
    scene.finish.append(lambda: _change(w, w.names[0]))
    return scene


@registry.reach(Step.COMMIT)
async def commit(w: world.World) -> world.Scene:
    """The leader has committed a change and not answered yet; the operator sends it again."""
    leader = await w.leader()
    scene = world.Scene(Step.COMMIT, leader, w.new_caller(leader))
    current = await w.cluster.operators(leader, "GET", "/config")
    body = w.cluster.change(current, cluster.document(comment="resent"), "resent", True)

    async def send() -> None:
        with contextlib.suppress(errors.TestSupportError, TimeoutError):
            answer = await w.cluster.operators(leader, "POST", "/config/apply", body, 5.0)
            if answer.get("outcome") == "accepted":
                w.note_accepted(answer)

    async def resend() -> None:
        answer = await w.send_change(leader, body)
        if answer["outcome"] != "accepted":
            w.problems.append(f"P7 resent: {answer}")

    scene.tasks.append(asyncio.create_task(send()))
    await asyncio.sleep(0.3)
    scene.finish.append(resend)
    return scene


@registry.reach(Step.VOTERS)
async def voters(w: world.World) -> world.Scene:
    """A new voter is being added; the victim is the voter that it replaces."""
    await w.cluster.start_daemons([world.SPARE])
    scene = world.Scene(Step.VOTERS, ENTRY, w.new_caller(ENTRY))
    scene.tasks.append(asyncio.create_task(_add_spare(w, suppress=True)))
    await asyncio.sleep(0.1)
    scene.tasks.append(_call(w, scene))

    async def complete() -> None:
        await _add_spare(w)
        await _change(w, "d2")

    scene.finish.append(complete)
    return scene


async def _add_spare(w: world.World, suppress: bool = False) -> None:
    place = {
        "id": world.SPARE,
        "address": w.cluster.peer_addresses[world.SPARE],
        "zone": w.cluster.places[world.SPARE].zone,
    }
    if suppress:
        with contextlib.suppress(errors.TestSupportError, TimeoutError):
            await w.cluster.operators("d2", "POST", "/voters/add", place, 20.0)
        return
    answer = await w.try_operators("d2", "POST", "/voters/add", place)
    if world.SPARE not in [each["id"] for each in answer["voters"]]:
        w.problems.append(f"voters: {world.SPARE} is missing: {answer}")


async def _change(w: world.World, name: str) -> None:
    answer = await w.change(name, "after the fault", "after-the-fault")
    if answer["outcome"] != "accepted":
        w.problems.append(f"P7 after-the-fault: {answer}")


async def _back(w: world.World, name: str) -> None:
    """Starts a daemon again that has drained, unless the fault's repair did."""
    status = None
    if w.running(name):
        with contextlib.suppress(errors.TestSupportError, TimeoutError):
            status = await w.cluster.operators(name, "GET", "/status", seconds=2.0)
    if status is None or status["draining"]:
        await w.restart(name)


def _call(w: world.World, scene: world.Scene) -> asyncio.Task:
    return asyncio.create_task(_insist(w, scene))


async def _insist(w: world.World, scene: world.Scene) -> None:
    """Calls, and calls the victim again while it refuses the call as not run."""
    record = await scene.front.call("parts", "/holds", body={"a": 1}, key="hold")
    deadline = time.monotonic() + REACH_SECONDS
    address = w.cluster.addresses[scene.victim]["callers"]
    while (record.error() or {}).get("execution") == "not_run" and time.monotonic() < deadline:
        await asyncio.sleep(0.2)
        await scene.front.repeat(record, address)


async def _stream(w: world.World, step: Step, length: int, tokens: int) -> world.Scene:
    scene = world.Scene(step, ENTRY, w.new_caller(ENTRY))
    await _start_stream(scene, length, tokens, w.cluster.addresses[ENTRY]["callers"])
    return scene


async def _start_stream(scene: world.Scene, length: int, tokens: int, address: str) -> None:
    chat = scene.front.chat(f"a long answer len={length}", address=address)
    scene.tasks.append(asyncio.create_task(chat))
    under_way = lambda: bool(  # noqa: E731
        scene.front.records
        and scene.front.records[-1].kind == "chat"
        and len(scene.front.records[-1].tokens()) >= tokens
    )
    await harness.wait_until(under_way, REACH_SECONDS, f"token {tokens}")
