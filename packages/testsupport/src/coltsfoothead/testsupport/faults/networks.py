"""Faults of the network: cuts in one or both directions and silent connections."""

import asyncio

from coltsfoothead.testsupport.faults import processes, registry, world

__all__ = []

CUT_SECONDS = 5.0
LONG_CUT_SECONDS = 12.0
SILENCE_SECONDS = 4.0
fault = registry.fault


@fault("cut in one direction", first="same as mid-stream", last="same as mid-stream")
async def one_way(w: world.World, scene: world.Scene) -> None:
    """The victim hears the others and is not heard."""
    await _cut(w, [(scene.victim, other) for other in _others(w, scene.victim)], CUT_SECONDS)


@fault("cut in both", first="same as mid-stream", last="same as mid-stream")
async def both_ways(w: world.World, scene: world.Scene) -> None:
    """The victim is cut off from the others."""
    await _cut(w, _around(w, [scene.victim]), CUT_SECONDS)


@fault(
    "control VM cut off for long",
    otherwise="same as cut in both",
    middle="",
    ledger="",
    sent="",
    commit="",
    voters="",
)
async def long_cut(w: world.World, scene: world.Scene) -> None:
    """The victim is cut off for longer than the failure detector's bound; a change is accepted."""
    others = _others(w, scene.victim)
    cut = asyncio.create_task(_cut(w, _around(w, [scene.victim]), LONG_CUT_SECONDS))
    await asyncio.sleep(2.5)
    await w.change(others[0], "while one is cut off", "while-cut-off")
    await cut


@fault(
    "regions cut", first="same as mid-stream", last="same as mid-stream", handover="same as drain"
)
async def regions(w: world.World, scene: world.Scene) -> None:
    """The away region is cut off from home; a change is accepted at home."""
    away = [name for name in w.names if w.cluster.places[name].region == "away"]
    cut = asyncio.create_task(_cut(w, _around(w, away), CUT_SECONDS + 3.0))
    await asyncio.sleep(2.5)
    home = next(name for name in w.names if name not in away and w.running(name))
    await w.change(home, "while regions are apart", "while-apart")
    await cut


@fault(
    "peer connections go silent",
    first="same as mid-stream",
    last="same as mid-stream",
    before="no message under way",
)
async def freeze_peers(w: world.World, scene: world.Scene) -> None:
    """All open connections of the victim to its peers stay silent; new ones work."""
    w.proxy.freeze(f"{scene.victim}>*")
    w.proxy.freeze(f"*>{scene.victim}")
    await asyncio.sleep(SILENCE_SECONDS)


@fault("upstream connection goes silent", otherwise="no stream", first="", middle="", drain="")
async def freeze_upstream(w: world.World, scene: world.Scene) -> None:
    """The open connections to the engine of the stream stay silent; new ones work."""
    w.proxy.freeze(f"e{processes.busy(w) + 1}")
    await asyncio.sleep(SILENCE_SECONDS)


def _others(w: world.World, name: str) -> list[str]:
    return [other for other in (*w.names, world.SPARE) if other != name]


def _around(w: world.World, inside: list[str]) -> list[tuple[str, str]]:
    everyone = {*w.names, world.SPARE}
    pairs = [(a, b) for a in inside for b in everyone - set(inside)]
    return pairs + [(b, a) for a, b in pairs]


async def _cut(w: world.World, pairs: list[tuple[str, str]], seconds: float) -> None:
    for sender, receiver in pairs:
        w.mesh.cut_way(sender, receiver)
    await asyncio.sleep(seconds)
    for sender, receiver in pairs:
        w.mesh.cut_way(sender, receiver, heal=True)
