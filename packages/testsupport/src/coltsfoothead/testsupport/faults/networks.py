"""Faults of the network: cuts in one or both directions and silent connections."""

import asyncio

from coltsfoothead.testsupport.faults import processes, registry, world

__all__ = []

CUT_SECONDS = 5.0
LONG_CUT_SECONDS = 12.0
SILENCE_SECONDS = 4.0
fault = registry.fault


@fault("cut in one direction", first_token="same as mid-stream", last_token="same as mid-stream")
async def one_way(w: world.World, scenario: world.Scenario) -> None:
    """The victim receives from the other daemons, but they receive nothing from it."""
    await _cut_for(
        w, [(scenario.victim, other) for other in _other_daemons(w, scenario.victim)], CUT_SECONDS
    )


@fault("cut in both", first_token="same as mid-stream", last_token="same as mid-stream")
async def both_ways(w: world.World, scenario: world.Scenario) -> None:
    """The victim is cut off from the other daemons."""
    await _cut_for(w, _boundary_pairs(w, [scenario.victim]), CUT_SECONDS)


@fault(
    "control VM cut off for long",
    default_reason="same as cut in both",
    mid_stream="",
    ledger_written="",
    sent="",
    commit="",
    voter_change="",
)
async def long_cut(w: world.World, scenario: world.Scenario) -> None:
    """The victim is cut off for longer than the failure detector takes; a change is accepted."""
    others = _other_daemons(w, scenario.victim)
    cut = asyncio.create_task(_cut_for(w, _boundary_pairs(w, [scenario.victim]), LONG_CUT_SECONDS))
    await asyncio.sleep(2.5)
    await w.apply_change(others[0], "while one is cut off", "while-cut-off")
    await cut


@fault(
    "regions cut",
    first_token="same as mid-stream",
    last_token="same as mid-stream",
    handover="same as drain",
)
async def regions(w: world.World, scenario: world.Scenario) -> None:
    """The away region is cut off from the home region, which accepts a change meanwhile."""
    away = [name for name in w.names if w.cluster.daemon_specs[name].region == "away"]
    cut = asyncio.create_task(_cut_for(w, _boundary_pairs(w, away), CUT_SECONDS + 3.0))
    await asyncio.sleep(2.5)
    home = next(name for name in w.names if name not in away and w.is_running(name))
    await w.apply_change(home, "while regions are apart", "while-apart")
    await cut


@fault(
    "peer connections go silent",
    first_token="same as mid-stream",
    last_token="same as mid-stream",
    before_acceptance="no message under way",
)
async def freeze_peers(w: world.World, scenario: world.Scenario) -> None:
    """All open connections between the victim and its peers go silent; new ones work."""
    w.proxy.freeze(f"{scenario.victim}>*")
    w.proxy.freeze(f"*>{scenario.victim}")
    await asyncio.sleep(SILENCE_SECONDS)


@fault(
    "upstream connection goes silent",
    default_reason="no stream",
    first_token="",
    mid_stream="",
    drain="",
)
async def freeze_upstream(w: world.World, scenario: world.Scenario) -> None:
    """The open connections to the engine that serves the stream go silent; new ones work."""
    w.proxy.freeze(f"e{processes.busy_engine_index(w) + 1}")
    await asyncio.sleep(SILENCE_SECONDS)


def _other_daemons(w: world.World, name: str) -> list[str]:
    return [other for other in (*w.names, world.SPARE) if other != name]


def _boundary_pairs(w: world.World, group: list[str]) -> list[tuple[str, str]]:
    everyone = {*w.names, world.SPARE}
    pairs = [(a, b) for a in group for b in everyone - set(group)]
    return pairs + [(b, a) for a, b in pairs]


async def _cut_for(w: world.World, pairs: list[tuple[str, str]], seconds: float) -> None:
    for sender, receiver in pairs:
        w.mesh.set_cut(sender, receiver)
    await asyncio.sleep(seconds)
    for sender, receiver in pairs:
        w.mesh.set_cut(sender, receiver, heal=True)
