"""Setup of each step of the fault matrix: brings an installation to the step."""

import asyncio
import contextlib
import time

from coltsfoothead.testsupport import cluster, errors, harness, webclient
from coltsfoothead.testsupport.faults import registry, world

__all__ = ["FROZEN_LEADER_SECONDS"]

SETUP_TIMEOUT_SECONDS = 10.0
FROZEN_LEADER_SECONDS = 3.0
ENTRY_DAEMON = "d1"
Step = registry.Step


@registry.step_setup(Step.BEFORE_ACCEPTANCE)
async def before(w: world.World) -> world.Scenario:
    """Half of a call has been sent and must never run; a whole call follows after the fault."""
    scenario = world.Scenario(Step.BEFORE_ACCEPTANCE, ENTRY_DAEMON, w.new_caller(ENTRY_DAEMON))
    w.forbidden_keys.add("half")
    host, port = webclient.split_address(w.cluster.addresses[ENTRY_DAEMON]["callers"])
    _, writer = await asyncio.open_connection(host, port)
    key = cluster.api_key(world.ORGANISATION)
    head = f"POST /services/parts/half HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n"
    writer.write(f'{head}idempotency-key: half\r\ncontent-length: 99\r\n\r\n{{"a":'.encode())
    await writer.drain()

    async def finish() -> None:
        writer.transport.abort()
        await scenario.client.call("parts", "/holds", body={"a": 1}, key="whole")
        await scenario.client.chat("after the fault len=20")

    scenario.completions.append(finish)
    return scenario


@registry.step_setup(Step.LEDGER_WRITTEN)
async def ledger(w: world.World) -> world.Scenario:
    """A call is claimed in the ledger, but none of its bytes has reached the service."""
    scenario = world.Scenario(Step.LEDGER_WRITTEN, ENTRY_DAEMON, w.new_caller(ENTRY_DAEMON))
    w.proxy.cut("s[12]")
    scenario.tasks.append(_start_call(w, scenario))
    routes = [w.proxy.routes["s1"], w.proxy.routes["s2"]]
    connected = lambda: any(route.connections for route in routes)  # noqa: E731
    await harness.wait_until(
        connected, SETUP_TIMEOUT_SECONDS, "connection of the call to a service"
    )

    async def heal() -> None:
        await asyncio.sleep(0.5)
        w.proxy.heal("s[12]")

    scenario.tasks.append(asyncio.create_task(heal()))
    return scenario


@registry.step_setup(Step.SENT)
async def sent(w: world.World) -> world.Scenario:
    """A call is being executed by the service, which answers after a delay."""
    scenario = world.Scenario(Step.SENT, ENTRY_DAEMON, w.new_caller(ENTRY_DAEMON))
    for each in w.services:
        each.controls["delay_ms"](1500)
    scenario.tasks.append(_start_call(w, scenario))
    await harness.wait_until(
        lambda: w.has_executed("hold"), SETUP_TIMEOUT_SECONDS, "execution of the call"
    )
    return scenario


@registry.step_setup(Step.FIRST_TOKEN)
async def first(w: world.World) -> world.Scenario:
    """A stream has delivered its first token."""
    return await _scenario_with_stream(w, Step.FIRST_TOKEN, 80, 1)


@registry.step_setup(Step.MID_STREAM)
async def middle(w: world.World) -> world.Scenario:
    """A stream is in progress."""
    # The rest takes 3 s: longer than a listener's grace period of 2 s, shorter than a notice.
    return await _scenario_with_stream(w, Step.MID_STREAM, 120, 20)


@registry.step_setup(Step.LAST_TOKEN)
async def last(w: world.World) -> world.Scenario:
    """The engine has finished; the caller's connection breaks before the last tokens arrive."""
    address = await w.proxy.add_route("front", w.cluster.addresses[ENTRY_DAEMON]["callers"])
    scenario = world.Scenario(Step.LAST_TOKEN, ENTRY_DAEMON, w.new_caller(ENTRY_DAEMON))
    await _start_stream(scenario, 40, 5, address)
    w.proxy.cut("front", "down")
    engines_idle = lambda: not any(each.batch.running for each in w.engines)  # noqa: E731
    await harness.wait_until(engines_idle, SETUP_TIMEOUT_SECONDS, "idle engines")

    async def heal() -> None:
        await asyncio.sleep(1.0)
        w.proxy.reset("front")
        w.proxy.heal("front")

    scenario.tasks.append(asyncio.create_task(heal()))
    return scenario


@registry.step_setup(Step.HANDOVER)
async def handover(w: world.World) -> world.Scenario:
    """A daemon drains with a deadline that is too short for its stream."""
    scenario = await _scenario_with_stream(w, Step.HANDOVER, 250, 10)
    await w.drain(scenario.victim, 2.0)
    await asyncio.sleep(0.3)
    scenario.completions.append(lambda: _restart_if_drained(w, scenario.victim))
    return scenario


@registry.step_setup(Step.DRAIN)
async def drain(w: world.World) -> world.Scenario:
    """A daemon drains while a stream and a call are in progress."""
    scenario = await sent(w)
    scenario.step = Step.DRAIN
    await _start_stream(scenario, 80, 1, w.cluster.addresses[ENTRY_DAEMON]["callers"])
    await w.drain(scenario.victim)
    await asyncio.sleep(0.2)
    scenario.completions.append(lambda: _restart_if_drained(w, scenario.victim))
    return scenario


@registry.step_setup(Step.ELECTION)
async def election(w: world.World) -> world.Scenario:
    """The leader of the control log is frozen, and the other voters elect a new one."""
    leader = await w.leader()
    victim = next(name for name in w.names if name != leader)
    scenario = world.Scenario(Step.ELECTION, victim, w.new_caller(victim))
    process = w.children.processes[leader]
    process.freeze()

    async def thaw() -> None:
        await asyncio.sleep(FROZEN_LEADER_SECONDS)
        process.thaw()

    scenario.tasks += [asyncio.create_task(thaw()), _start_call(w, scenario)]
    await asyncio.sleep(0.8)
    scenario.completions.append(lambda: _apply_change_after_fault(w, w.names[0]))
    return scenario


@registry.step_setup(Step.COMMIT)
async def commit(w: world.World) -> world.Scenario:
    """The leader has committed a change but not answered yet; the operator sends it again."""
    leader = await w.leader()
    scenario = world.Scenario(Step.COMMIT, leader, w.new_caller(leader))
    current = await w.cluster.request_operators_api(leader, "GET", "/config")
    body = w.cluster.change_body(current, cluster.document(comment="resent"), "resent", True)

    async def send() -> None:
        with contextlib.suppress(errors.TestSupportError, TimeoutError):
            answer = await w.cluster.request_operators_api(
                leader, "POST", "/config/apply", body, 5.0
            )
            if answer.get("outcome") == "accepted":
                w.record_accepted(answer)

    async def resend() -> None:
        answer = await w.send_change(leader, body)
        if answer["outcome"] != "accepted":
            w.problems.append(f"P7 resent: {answer}")

    scenario.tasks.append(asyncio.create_task(send()))
    await asyncio.sleep(0.3)
    scenario.completions.append(resend)
    return scenario


@registry.step_setup(Step.VOTER_CHANGE)
async def voters(w: world.World) -> world.Scenario:
    """A new voter is being added; the victim is the voter that it replaces."""
    await w.cluster.start_daemons([world.SPARE])
    scenario = world.Scenario(Step.VOTER_CHANGE, ENTRY_DAEMON, w.new_caller(ENTRY_DAEMON))
    scenario.tasks.append(asyncio.create_task(_add_spare_voter(w, suppress=True)))
    await asyncio.sleep(0.1)
    scenario.tasks.append(_start_call(w, scenario))

    async def complete() -> None:
        await _add_spare_voter(w)
        await _apply_change_after_fault(w, "d2")

    scenario.completions.append(complete)
    return scenario


async def _add_spare_voter(w: world.World, suppress: bool = False) -> None:
    place = {
        "id": world.SPARE,
        "address": w.cluster.peer_addresses[world.SPARE],
        "zone": w.cluster.daemon_specs[world.SPARE].zone,
    }
    if suppress:
        with contextlib.suppress(errors.TestSupportError, TimeoutError):
            await w.cluster.request_operators_api("d2", "POST", "/voters/add", place, 20.0)
        return
    answer = await w.request_any_daemon("d2", "POST", "/voters/add", place)
    if world.SPARE not in [each["id"] for each in answer["voters"]]:
        w.problems.append(f"voters: {world.SPARE} is missing: {answer}")


async def _apply_change_after_fault(w: world.World, name: str) -> None:
    answer = await w.apply_change(name, "after the fault", "after-the-fault")
    if answer["outcome"] != "accepted":
        w.problems.append(f"P7 after-the-fault: {answer}")


async def _restart_if_drained(w: world.World, name: str) -> None:
    """Restarts a drained daemon, unless the repair of the fault has already restarted it."""
    status = None
    if w.is_running(name):
        with contextlib.suppress(errors.TestSupportError, TimeoutError):
            status = await w.cluster.request_operators_api(name, "GET", "/status", seconds=2.0)
    if status is None or status["draining"]:
        await w.restart(name)


def _start_call(w: world.World, scenario: world.Scenario) -> asyncio.Task:
    return asyncio.create_task(_call_until_accepted(w, scenario))


async def _call_until_accepted(w: world.World, scenario: world.Scenario) -> None:
    """Calls the service, and repeats the call at the victim while it is refused as not run."""
    record = await scenario.client.call("parts", "/holds", body={"a": 1}, key="hold")
    deadline = time.monotonic() + SETUP_TIMEOUT_SECONDS
    address = w.cluster.addresses[scenario.victim]["callers"]
    while (record.error() or {}).get("execution") == "not_run" and time.monotonic() < deadline:
        await asyncio.sleep(0.2)
        await scenario.client.repeat(record, address)


async def _scenario_with_stream(
    w: world.World, step: Step, length: int, tokens: int
) -> world.Scenario:
    scenario = world.Scenario(step, ENTRY_DAEMON, w.new_caller(ENTRY_DAEMON))
    await _start_stream(scenario, length, tokens, w.cluster.addresses[ENTRY_DAEMON]["callers"])
    return scenario


async def _start_stream(scenario: world.Scenario, length: int, tokens: int, address: str) -> None:
    chat = scenario.client.chat(f"a long answer len={length}", address=address)
    scenario.tasks.append(asyncio.create_task(chat))
    delivered = lambda: bool(  # noqa: E731
        scenario.client.records
        and scenario.client.records[-1].kind == "chat"
        and len(scenario.client.records[-1].tokens()) >= tokens
    )
    await harness.wait_until(delivered, SETUP_TIMEOUT_SECONDS, f"token {tokens}")
