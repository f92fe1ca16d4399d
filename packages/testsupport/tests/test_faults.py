"""Tests of the fault matrix and of a part of its cells."""

import asyncio
import unittest

from coltsfoothead.testsupport import harness
from coltsfoothead.testsupport.faults import matrix, registry, watch

PARALLEL = 3
# One cell of each family; the whole matrix is `make faults`.
CELLS = (
    ("kill -9", registry.Step.SENT),
    ("torn last write", registry.Step.COMMIT),
    ("cut in both", registry.Step.ELECTION),
    ("disk lost", registry.Step.BEFORE_ACCEPTANCE),
    ("upstream dies", registry.Step.MID_STREAM),
    ("reclaim of a VM", registry.Step.SENT),
    ("operators race", registry.Step.COMMIT),
)


class CellsTest(unittest.IsolatedAsyncioTestCase):
    async def test_cells_pass(self):
        """Guards the properties P1 to P7 under one fault of each family."""
        matrix.load()
        results = await matrix.run(CELLS, 0, PARALLEL, lambda result: None)
        for result in results:
            with self.subTest(fault=result.fault, step=result.step):
                self.assertEqual(result.problems, ())


class MatrixTest(unittest.TestCase):
    def setUp(self):
        matrix.load()

    def test_every_cell_runs_or_has_a_reason(self):
        """Guards against a cell that is left out silently."""
        self.assertEqual(set(registry.STEP_SETUPS), set(registry.Step))
        for fault in registry.FAULTS.values():
            covered = {*fault.steps, *fault.not_applicable}
            self.assertEqual(covered, set(registry.Step), fault.name)
            self.assertTrue(all(fault.not_applicable.values()), fault.name)

    def test_only_selects_cells(self):
        """Guards against an option that runs other cells than it names."""
        self.assertEqual(matrix.cells("kill -9/sent"), [("kill -9", registry.Step.SENT)])
        self.assertEqual({name for name, _ in matrix.cells("disk lost")}, {"disk lost"})
        self.assertEqual(matrix.cells("no such fault"), [])

    def test_table_names_failures(self):
        """Guards against a failure that the table does not show."""
        failed = matrix.Result("kill -9", "sent", 1.0, ("P4 hold: executed 2 times",))
        text = matrix.table([failed])
        self.assertIn("FAIL kill -9/sent: P4 hold: executed 2 times", text)
        row = next(line for line in text.splitlines() if line.startswith("kill -9"))
        self.assertEqual(row.split()[2:5], ["-", "-", "FAIL"])


class FakeCluster:
    """Answers `/status` from a list and repeats the last entry."""

    def __init__(self, *statuses):
        self.statuses = [
            {"ready": ready, "config_version": version, "config_digest": digest}
            for ready, version, digest in statuses
        ]

    async def request_operators_api(self, name, method, path, seconds):
        return self.statuses.pop(0) if len(self.statuses) > 1 else self.statuses[0]


class WatchTest(unittest.IsolatedAsyncioTestCase):
    async def problems_of(self, accepted, *statuses):
        """Returns the problems of a daemon that answers these statuses."""
        fake = FakeCluster(*statuses)
        config_watch = watch.Watch(fake)
        config_watch.accepted += accepted
        task = asyncio.create_task(config_watch.run("d1"))
        await harness.wait_until(lambda: len(fake.statuses) == 1, 5.0, "statuses")
        await asyncio.sleep(0.3)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return config_watch.problems

    async def test_problems_of_a_configuration(self):
        """Guards the check of P7 itself: old, reverted and different documents are found."""
        late = watch.AcceptedChange("c2", 2, "b", -100.0)
        good = await self.problems_of([late], (False, 1, "a"), (True, 2, "b"))
        self.assertEqual(good, [])
        for statuses, text in (
            ([(True, 1, "a")], "after the bound"),
            ([(True, 3, "c"), (True, 2, "b")], "ready with version 2 after 3"),
            ([(True, 2, "x")], "another document"),
        ):
            found = await self.problems_of([late], *statuses)
            self.assertIn(text, " ".join(found))


if __name__ == "__main__":
    unittest.main()
