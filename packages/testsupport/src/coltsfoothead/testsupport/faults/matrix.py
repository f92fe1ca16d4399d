"""Runs the cells of the fault matrix and formats the table of results."""

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

__all__ = ["CELL_TIMEOUT_SECONDS", "Result", "cells", "load", "run", "run_cell", "table"]

CELL_TIMEOUT_SECONDS = 90.0
_COLUMN_CHARACTERS = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Result of one cell; it passed if there are no problems."""

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
    """Runs one cell with its own installation."""
    load()
    return asyncio.run(_run_cell_with_timeout(name, step, seed))


async def _run_cell_with_timeout(name: str, step: registry.Step, seed: int) -> Result:
    started = time.monotonic()
    try:
        async with asyncio.timeout(CELL_TIMEOUT_SECONDS):
            problems = await _run_in_new_world(name, step, seed)
    except Exception as error:
        frame = traceback.extract_tb(error.__traceback__)[-1]
        problems = [f"{type(error).__name__}: {error} ({frame.name}:{frame.lineno})"]
    return Result(name, step.value, time.monotonic() - started, tuple(problems))


async def _run_in_new_world(name: str, step: registry.Step, seed: int) -> list[str]:
    async with world.World(seed) as w:
        scenario = await registry.STEP_SETUPS[step](w)
        await registry.FAULTS[name].run(w, scenario)
        await w.settle(scenario)
        return await w.check()


async def run(
    selected: Sequence[tuple[str, registry.Step]],
    seed: int,
    parallel: int,
    report: Callable[[Result], None],
) -> list[Result]:
    """Runs cells in worker processes and returns their results in the order of the cells.

    Parameters
    ----------
    selected : sequence of tuple
        Fault name and step of each cell.
    seed : int
        Seed of the random choices in every cell.
    parallel : int
        Number of worker processes.
    report : callable
        Called with each result as soon as its cell has ended.

    Notes
    -----
    In a single process the fakes and callers of all cells would share one core, and their delays
    would look like failures of the daemons.
    """
    loop = asyncio.get_running_loop()
    spawn = multiprocessing.get_context("spawn")

    async def run_in_worker(name: str, step: registry.Step) -> Result:
        result = await loop.run_in_executor(pool, run_cell, name, step, seed)
        report(result)
        return result

    with concurrent.futures.ProcessPoolExecutor(parallel, spawn) as pool:
        return await asyncio.gather(*(run_in_worker(*cell) for cell in selected))


def table(results: Sequence[Result]) -> str:
    """Returns the table, the reasons why cells are not applicable, and the failures."""
    results_by_cell = {(each.fault, each.step): each for each in results}
    reasons: dict[str, int] = {}
    width = max(len(name) for name in registry.FAULTS) + 1
    steps = list(registry.Step)
    lines = [f"{number:2} {step.value}" for number, step in enumerate(steps, 1)]
    header = "".join(f"{number:>{_COLUMN_CHARACTERS}}" for number in range(1, len(steps) + 1))
    lines += ["", " " * width + header]
    for fault in registry.FAULTS.values():
        row_cells = []
        for step in steps:
            reason = fault.not_applicable.get(step)
            if reason:
                row_cells.append(f"n/a{reasons.setdefault(reason, len(reasons) + 1)}")
            elif (fault.name, step.value) in results_by_cell:
                failed = results_by_cell[fault.name, step.value].problems
                row_cells.append("FAIL" if failed else "pass")
            else:
                row_cells.append("-")
        lines.append(
            fault.name.ljust(width) + "".join(f"{cell:>{_COLUMN_CHARACTERS}}" for cell in row_cells)
        )
    lines += ["", "'-' was not run."]
    lines += [f"n/a{number}: {reason}" for reason, number in reasons.items()]
    for each in results:
        lines += [f"FAIL {each.fault}/{each.step}: {problem}" for problem in each.problems]
    return "\n".join(lines)
