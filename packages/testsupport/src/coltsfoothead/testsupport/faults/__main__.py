"""Command line of the fault matrix; exits with 1 if a cell fails."""

import argparse
import asyncio
import dataclasses
import json
import sys
import time

from coltsfoothead.testsupport.faults import matrix

__all__ = ["main"]


def main() -> int:
    """Runs the matrix and returns the exit code."""
    matrix.load()
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", default="", metavar="FAULT[/STEP]")
    parser.add_argument("--json", action="store_true", help="print results as JSON")
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--parallel", type=int, default=3)
    options = parser.parse_args()
    selected = matrix.cells(options.only)
    if not selected:
        parser.error(f"no cell matches {options.only!r}")
    started = time.monotonic()

    def report(result: matrix.Result) -> None:
        outcome = "FAIL" if result.problems else "pass"
        text = f"{outcome} {result.fault}/{result.step} {result.seconds:.1f} s"
        print("\n  ".join([text, *result.problems]), file=sys.stderr, flush=True)

    results = asyncio.run(matrix.run(selected, options.seed, options.parallel, report))
    failed = sum(bool(each.problems) for each in results)
    if options.json:
        print(json.dumps([dataclasses.asdict(each) for each in results], indent=1))
    else:
        print(matrix.table(results))
        seconds = time.monotonic() - started
        print(f"{len(results)} cells, {failed} failed, seed {options.seed}, {seconds:.0f} s")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
