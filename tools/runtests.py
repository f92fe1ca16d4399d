"""Runs every test module of the workspace in its own process, a few at a time.

Tests listed in KNOWN-RED.txt are run and printed, but do not fail the run. An entry of that file
starts with a line ``test: MODULE.CLASS.METHOD``; the lines below it describe the case.
"""

import argparse
import asyncio
import dataclasses
import json
import os
import pathlib
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
PARALLEL_MODULES = 4
MODULE_TIMEOUT_SECONDS = 240


@dataclasses.dataclass(frozen=True, slots=True)
class ModuleResult:
    """Outcome of one test module.

    Attributes
    ----------
    ran, skipped : int
        Number of tests; `ran` includes the skipped ones.
    failures : dict of str to str
        Traceback by test ID.
    output : str
        Standard output and standard error of the module's process.
    """

    path: pathlib.Path
    ran: int
    skipped: int
    failures: dict[str, str]
    output: str


def find_modules(patterns):
    """Returns the test modules whose path contains any of `patterns`, or all of them."""
    modules = sorted(
        [*ROOT.glob("packages/*/tests/test_*.py"), *ROOT.glob("platform/tests/test_*.py")]
    )
    if not patterns:
        return modules
    return [path for path in modules if any(pattern in str(path) for pattern in patterns)]


def read_known_red():
    """Returns the IDs of the tests that KNOWN-RED.txt lists."""
    if not KNOWN_RED_FILE.exists():
        return frozenset()
    lines = KNOWN_RED_FILE.read_text(encoding="utf-8").splitlines()
    return frozenset(line[5:].strip() for line in lines if line.startswith("test:"))


def run_module_in_process(path, report):
    """Runs one module in this process and writes its result to `report` as JSON."""
    sys.path.insert(0, str(path.parent))
    suite = unittest.defaultTestLoader.loadTestsFromName(path.stem)
    outcome = unittest.TextTestRunner(verbosity=2, stream=sys.stdout).run(suite)
    failures = {test.id(): text for test, text in outcome.failures + outcome.errors}
    for test in outcome.unexpectedSuccesses:
        failures[test.id()] = "unexpected success"
    data = {"ran": outcome.testsRun, "skipped": len(outcome.skipped), "failures": failures}
    pathlib.Path(report).write_text(json.dumps(data), encoding="utf-8")


async def run_module_in_subprocess(path, semaphore):
    """Runs one module in a child process and returns its result."""
    async with semaphore:
        with tempfile.NamedTemporaryFile(suffix=".json") as report:
            child = await asyncio.create_subprocess_exec(
                sys.executable,
                __file__,
                "--one",
                str(path),
                "--report",
                report.name,
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.STDOUT,
                env={**os.environ, "PYTHONHASHSEED": "0"},
            )
            try:
                output, _ = await asyncio.wait_for(child.communicate(), MODULE_TIMEOUT_SECONDS)
            except TimeoutError:
                child.kill()
                output, _ = await child.communicate()
            text = output.decode(errors="replace")
            content = pathlib.Path(report.name).read_text(encoding="utf-8")
    if not content:
        return ModuleResult(path, 1, 0, {path.stem: "module did not finish"}, text)
    data = json.loads(content)
    return ModuleResult(path, data["ran"], data["skipped"], data["failures"], text)


async def run_all(paths):
    """Runs the modules and prints the failures; returns the exit code of the process."""
    semaphore = asyncio.Semaphore(PARALLEL_MODULES)
    results = await asyncio.gather(*(run_module_in_subprocess(path, semaphore) for path in paths))
    known_red = read_known_red()
    failed = {}
    known_red_failures = []
    for result in results:
        print(f"{result.path.relative_to(ROOT)}: {result.ran} run, {len(result.failures)} failed")
        for test, text in result.failures.items():
            if test in known_red:
                known_red_failures.append(test)
            else:
                failed[test] = text
                print(f"FAIL {test}\n{text}")
        if result.failures.keys() - known_red:
            print(result.output[-4000:])
    for test in known_red_failures:
        print(f"KNOWN-RED {test}")
    skipped = sum(result.skipped for result in results)
    # A test with subtests has one failure for each that failed.
    failed_tests = {test.partition(" ")[0] for test in [*failed, *known_red_failures]}
    passed = sum(result.ran for result in results) - skipped - len(failed_tests)
    print(f"{passed} passed, {len(failed)} failed, {skipped + len(known_red_failures)} skipped")
    return 1 if failed or not passed else 0


def main():
    """Parses the arguments and runs the tests."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("patterns", nargs="*", help="run only modules whose path contains one")
    parser.add_argument("--one", type=pathlib.Path, help=argparse.SUPPRESS)
    parser.add_argument("--report", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.one:
        run_module_in_process(options.one, options.report)
        return 0
    return asyncio.run(run_all(find_modules(options.patterns)))


if __name__ == "__main__":
    sys.exit(main())
