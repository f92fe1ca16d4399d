"""Faults around operators: races, lost answers, and a daemon that missed many changes."""

import asyncio
import contextlib

from coltsfoothead.testsupport import cluster, errors
from coltsfoothead.testsupport.faults import registry, world

__all__ = []

CHANGE_COUNT = 300
fault = registry.fault


@fault(
    "operators race",
    default_reason="requests do not matter",
    before_acceptance="",
    ledger_written="",
    election="",
    commit="",
    voter_change="",
    drain="",
)
async def race(w: world.World, scenario: world.Scenario) -> None:
    """Three operators send different changes on top of the same version; at most one succeeds."""
    available = [name for name in w.names if name != scenario.victim] or w.names
    current = await w.request_any_daemon(available[0], "GET", "/config")
    bodies = [
        w.cluster.change_body(current, cluster.document(comment=f"racer {n}"), f"racer-{n}", False)
        for n in range(3)
    ]
    answers = await asyncio.gather(
        *(w.send_change(available[n % len(available)], body) for n, body in enumerate(bodies))
    )
    accepted = [answer for answer in answers if answer["outcome"] == "accepted"]
    if len(accepted) > 1:
        w.problems.append(
            f"P7 race: {len(accepted)} changes of version {current['version']} accepted"
        )
    for answer in answers:
        refused = answer["outcome"] == "conflict" and accepted
        if refused and answer["winner_version"] < accepted[0]["version"]:
            w.problems.append(f"P7 race: conflict does not name the winner: {answer}")


@fault(
    "operator's answer lost",
    default_reason="requests do not matter",
    before_acceptance="",
    ledger_written="",
    election="",
    commit="",
    voter_change="",
    drain="",
)
async def answer_lost(w: world.World, scenario: world.Scenario) -> None:
    """An operator's connection breaks after a change was sent; the change is sent twice more."""
    available = [name for name in w.names if name != scenario.victim] or w.names
    current = await w.request_any_daemon(available[0], "GET", "/config")
    text = cluster.document(comment="sent again")
    body = w.cluster.change_body(current, text, "sent-again", False)
    with contextlib.suppress(errors.TestSupportError, TimeoutError):
        await w.cluster.request_operators_api(available[0], "POST", "/config/apply", body, 0.005)
    answers = [await w.send_change(name, body) for name in (available[-1], available[0])]
    outcomes = {(each["outcome"], each.get("version")) for each in answers}
    if len(outcomes) != 1:
        w.problems.append(f"P7 sent-again: answers differ: {answers}")


@fault(
    "restart after 300 changes",
    default_reason="same as before-acceptance",
    before_acceptance="",
    ledger_written="",
    mid_stream="",
)
async def restart_after_changes(w: world.World, scenario: world.Scenario) -> None:
    """The victim is down while 300 changes are accepted."""
    w.kill(scenario.victim)
    name = next(name for name in w.names if name != scenario.victim)
    current = await w.request_any_daemon(name, "GET", "/config")
    for number in range(CHANGE_COUNT):
        text = cluster.document(comment=f"change {number} of many")
        body = w.cluster.change_body(current, text, f"many-{number}", False)
        answer = await w.send_change(name, body)
        if answer["outcome"] != "accepted":
            raise registry.CellFailedError(f"change {number}: {answer}")
        current = answer
    await w.restart(scenario.victim)


@fault(
    "all restarted",
    default_reason="same as before-acceptance",
    before_acceptance="",
    commit="",
    ledger_written="",
)
async def all_restarted(w: world.World, scenario: world.Scenario) -> None:
    """Every daemon is killed and started again."""
    for name in w.names:
        w.kill(name)
    for name in w.names:
        await w.children.processes[name].wait()
    w.killed.clear()
    await w.cluster.start_daemons(w.names)
