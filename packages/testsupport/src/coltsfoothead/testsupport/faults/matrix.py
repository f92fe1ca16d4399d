"""Runs the cells and prints the table."""

import asyncio
import concurrent.futures
import dataclasses
import importlib
import multiprocessing
import pkgutil
import time
import traceback
from collections.abc import Callable, Sequence

from coltsfoothead.testsupport import faults
from coltsfoothead.testsupport.faults import registry, world

__all__ = ["CELL_SECONDS", "Result", "cells", "load", "run", "run_cell", "table"]

CELL_SECONDS = 90.0
_COLUMN_CHARACTERS = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What became of one cell; no problems means it passed."""

    fault: str
    step: str
    seconds: float
    problems: tuple[str, ...]


def load() -> None:
    """Imports the modules of this package, whose cells register themselves."""
    for module in pkgutil.iter_modules(faults.__path__):
        if module.name != "__main__":
            importlib.import_module(f"{faults.__name__}.{module.name}")


def cells(only: str = "") -> list[tuple[str, registry.Step]]:
    """Returns the applicable cells; `only` is FAULT or FAULT/STEP, empty for all."""
    name, _, step = only.partition("/")
    return [
        (fault.name, each)
        for fault in registry.FAULTS.values()
        for each in fault.steps
        if name in ("", fault.name) and step in ("", each.value)
    ]


def run_cell(name: str, step: registry.Step, seed: int = 0) -> Result:
    """Runs one cell with an installation of its own."""
    load()
    return asyncio.run(_bounded(name, step, seed))


async def _bounded(name: str, step: registry.Step, seed: int) -> Result:
    started = time.monotonic()
    try:
        async with asyncio.timeout(CELL_SECONDS):
            problems = await _run(name, step, seed)
    except Exception as error:
        place = traceback.extract_tb(error.__traceback__)[-1]
        problems = [f"{type(error).__name__}: {error} ({place.name}:{place.lineno})"]
    return Result(name, step.value, time.monotonic() - started, tuple(problems))


async def _run(name: str, step: registry.Step, seed: int) -> list[str]:
    async with world.World(seed) as w:
        scene = await registry.REACH[step](w)
        await registry.FAULTS[name].run(w, scene)
        await w.settle(scene)
        return await w.check()


async def run(
    wanted: Sequence[tuple[str, registry.Step]],
    seed: int,
    parallel: int,
    report: Callable[[Result], None],
) -> list[Result]:
    """Runs cells, a few at a time, each in a worker process.

    Notes
    -----
    In one process the fakes and callers of all cells would share one core, and their delays would
    come out as failures of the daemons.
    """
    loop = asyncio.get_running_loop()
    spawn = multiprocessing.get_context("spawn")

    async def one(name: str, step: registry.Step) -> Result:
        result = await loop.run_in_executor(pool, run_cell, name, step, seed)
        report(result)
        return result

    with concurrent.futures.ProcessPoolExecutor(parallel, spawn) as pool:
        return await asyncio.gather(*(one(*cell) for cell in wanted))


def table(results: Sequence[Result]) -> str:
    """Returns the table, the reasons of what is not applicable, and the failures."""
    found = {(each.fault, each.step): each for each in results}
    reasons: dict[str, int] = {}
    width = max(len(name) for name in registry.FAULTS) + 1
    steps = list(registry.Step)
    lines = [f"{number:2} {step.value}" for number, step in enumerate(steps, 1)]
    head = "".join(f"{number:>{_COLUMN_CHARACTERS}}" for number in range(1, len(steps) + 1))
    lines += ["", " " * width + head]
    for fault in registry.FAULTS.values():
        marks = []
        for step in steps:
            reason = fault.not_applicable.get(step)
            if reason:
                marks.append(f"n/a{reasons.setdefault(reason, len(reasons) + 1)}")
            elif (fault.name, step.value) in found:
                failed = found[fault.name, step.value].problems
                marks.append("FAIL" if failed else "pass")
            else:
                marks.append("-")
        lines.append(
            fault.name.ljust(width) + "".join(f"{mark:>{_COLUMN_CHARACTERS}}" for mark in marks)
        )
    lines += ["", "'-' was not run."]
    lines += [f"n/a{number}: {reason}" for reason, number in reasons.items()]
    for each in results:
        lines += [f"FAIL {each.fault}/{each.step}: {problem}" for problem in each.problems]
    return "\n".join(lines)
