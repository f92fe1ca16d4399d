"""Faults around operators: races, lost answers, and a daemon that missed many changes."""

import asyncio
import contextlib

from coltsfoothead.testsupport import cluster, errors
from coltsfoothead.testsupport.faults import registry, world

__all__ = []

CHANGES = 300
fault = registry.fault


@fault(
    "operators race",
    otherwise="requests do not matter",
    before="",
    ledger="",
    election="",
    commit="",
    voters="",
    drain="",
)
async def race(w: world.World, scene: world.Scene) -> None:
    """Three operators send different changes on the same version and digest; one wins."""
    live = [name for name in w.names if name != scene.victim] or w.names
    current = await w.try_operators(live[0], "GET", "/config")
    bodies = [
        w.cluster.change(current, cluster.document(comment=f"racer {n}"), f"racer-{n}", False)
        for n in range(3)
    ]
    answers = await asyncio.gather(
        *(w.send_change(live[n % len(live)], body) for n, body in enumerate(bodies))
    )
    won = [answer for answer in answers if answer["outcome"] == "accepted"]
    if len(won) > 1:
        w.problems.append(f"P7 race: {len(won)} changes of version {current['version']} accepted")
    for answer in answers:
        lost = answer["outcome"] == "conflict" and won
        if lost and answer["winner_version"] < won[0]["version"]:
            w.problems.append(f"P7 race: conflict does not name the winner: {answer}")


@fault(
    "operator's answer lost",
    otherwise="requests do not matter",
    before="",
    ledger="",
    election="",
    commit="",
    voters="",
    drain="",
)
async def resent(w: world.World, scene: world.Scene) -> None:
    """An operator's connection breaks after the change was sent; it is sent again twice."""
    live = [name for name in w.names if name != scene.victim] or w.names
    current = await w.try_operators(live[0], "GET", "/config")
    text = cluster.document(comment="sent again")
    body = w.cluster.change(current, text, "sent-again", False)
    with contextlib.suppress(errors.TestSupportError, TimeoutError):
        await w.cluster.operators(live[0], "POST", "/config/apply", body, 0.005)
    answers = [await w.send_change(name, body) for name in (live[-1], live[0])]
    outcomes = {(each["outcome"], each.get("version")) for each in answers}
    if len(outcomes) != 1:
        w.problems.append(f"P7 sent-again: answers differ: {answers}")


@fault(
    "restart after 300 changes",
    otherwise="same as before-acceptance",
    before="",
    ledger="",
    middle="",
)
async def missed(w: world.World, scene: world.Scene) -> None:
    """The victim is down while 300 changes are accepted."""
    w.kill(scene.victim)
    name = next(name for name in w.names if name != scene.victim)
    current = await w.try_operators(name, "GET", "/config")
    for number in range(CHANGES):
        text = cluster.document(comment=f"change {number} of many")
        body = w.cluster.change(current, text, f"many-{number}", False)
        answer = await w.send_change(name, body)
        if answer["outcome"] != "accepted":
            raise registry.CellFailedError(f"change {number}: {answer}")
        current = answer
    await w.restart(scene.victim)


@fault("all restarted", otherwise="same as before-acceptance", before="", commit="", ledger="")
async def all_restarted(w: world.World, scene: world.Scene) -> None:
    """Every daemon is killed and started again."""
    for name in w.names:
        w.kill(name)
    for name in w.names:
        await w.children.processes[name].wait()
    w.killed.clear()
    await w.cluster.start_daemons(w.names)
