"""Tests of the document that a process acts on."""

import asyncio
import unittest
import unittest.mock

from coltsfoothead.coordination import configuration
from coltsfoothead.coordination.configuration import lease
from coltsfoothead.daemon.gateway import clock, documentcopy, eventlog
from coltsfoothead.kernel.traffic import document


class Dialect:
    """Reads every document as one without routes."""

    def decode_document(self, content):
        return document.RoutingDocument(1, (), {}, (), document.CallerLimits())


class TableSoonTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.state = configuration.ConfigurationState()
        content = documentcopy.pack(b"routes")
        self.state.apply(1, configuration.Supersede("operator", 1, content, 0))
        self.copy = documentcopy.DocumentCopy(Dialect(), eventlog.EventLog("entry-1"))

    def take(self, seconds):
        poll = self.copy.poll(clock.steady())
        self.copy.receive(lease.answer_poll(poll, seconds, self.state))

    async def test_requests_wait_for_the_election_after_a_restart(self):
        """Load pattern: callers that come while all processes start again.

        Seen in scale-2 of kakanfo-router: 223 requests were sent away for 1 to 2 s, 0.4 s before
        the document came.
        """
        waiting = [asyncio.ensure_future(self.copy.table_soon()) for _ in range(20)]
        await asyncio.sleep(0.02)
        self.assertFalse(any(each.done() for each in waiting))
        self.take(4.0)
        async with asyncio.timeout(1.0):
            tables = await asyncio.gather(*waiting)
        self.assertTrue(all(table is not None for table in tables))

    async def test_an_entry_that_is_cut_off_does_not_hold_its_callers(self):
        """Guards against holding what cannot be served."""
        with unittest.mock.patch.object(documentcopy, "FORMING_SECONDS", 0.05):
            self.assertIsNone(await self.copy.table_soon())
            began = clock.steady()
            self.assertIsNone(await self.copy.table_soon())
            self.assertLess(clock.steady() - began, 0.04)

    async def test_a_lease_that_has_run_out_is_waited_for_as_well(self):
        """Guards against refusals while a leader is elected after a long loss of the quorum."""
        self.take(0.03)
        self.assertIsNotNone(await self.copy.table_soon())
        await asyncio.sleep(0.05)
        self.assertFalse(self.copy.valid())
        waiting = asyncio.ensure_future(self.copy.table_soon())
        await asyncio.sleep(0.01)
        self.take(4.0)
        self.assertIsNotNone(await asyncio.wait_for(waiting, 1.0))


if __name__ == "__main__":
    unittest.main()
