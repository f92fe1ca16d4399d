"""Faults of durable state: a torn last write and a lost data folder."""

import shutil

from coltsfoothead.testsupport.faults import registry, world

__all__ = []

fault = registry.fault


@fault(
    "torn last write",
    first_token="same as mid-stream",
    handover="same as drain",
    drain="the stop closes the folder",
)
async def torn(w: world.World, scenario: world.Scenario) -> None:
    """Kills the victim and appends a partial record to the newest segment of each log."""
    w.kill(scenario.victim)
    await w.children.processes[scenario.victim].wait()
    for log in ("control", "ledger"):
        newest = max((w.cluster.data_folder(scenario.victim) / log).glob("log-*"))
        with newest.open("ab") as segment:
            segment.write(w.rng.randbytes(w.rng.randrange(1, 40)))
    await w.restart(scenario.victim)


@fault(
    "disk lost",
    first_token="same as mid-stream",
    last_token="same as mid-stream",
    voter_change="is a replacement itself",
    handover="same as kill -9",
    drain="same as kill -9",
)
async def lost(w: world.World, scenario: world.Scenario) -> None:
    """Kills the victim and deletes its data; the spare joins in its zone and replaces it."""
    victim = scenario.victim
    w.kill(victim)
    await w.children.processes[victim].wait()
    shutil.rmtree(w.cluster.data_folder(victim))
    w.names.remove(victim)
    w.cluster.move_spare(w.cluster.daemon_specs[victim].zone)
    await w.cluster.start_daemons([world.SPARE])
    w.names.append(world.SPARE)
    place = {
        "id": world.SPARE,
        "address": w.cluster.peer_addresses[world.SPARE],
        "zone": w.cluster.daemon_specs[world.SPARE].zone,
    }
    other = w.names[0]
    await w.request_any_daemon(other, "POST", "/voters/add", place)
    answer = await w.request_any_daemon(other, "POST", "/voters/remove", {"id": victim})
    voters = sorted(each["id"] for each in answer["voters"])
    if voters != sorted(w.names):
        w.problems.append(f"voters: {voters} in place of {sorted(w.names)}")
