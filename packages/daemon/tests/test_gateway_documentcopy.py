"""Tests of a process's copy of the routing document."""

import asyncio
import unittest
import unittest.mock

from coltsfoothead.coordination import configuration
from coltsfoothead.coordination.configuration import lease
from coltsfoothead.daemon.gateway import clock, documentcopy, eventlog
from coltsfoothead.kernel.traffic import document


class FakeDialect:
    """Decodes every document to one without routes."""

    def decode_document(self, content):
        return document.RoutingDocument(1, (), {}, (), document.CallerLimits())


class WaitForTableTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.state = configuration.ConfigurationState()
        content = documentcopy.compress(b"routes")
        self.state.apply(1, configuration.Supersede("operator", 1, content, 0))
        self.copy = documentcopy.DocumentCopy(FakeDialect(), eventlog.EventLog("entry-1"))

    def receive_lease(self, seconds):
        poll = self.copy.poll(clock.steady())
        self.copy.receive(lease.answer_poll(poll, seconds, self.state))

    async def test_requests_wait_for_the_election_after_a_restart(self):
        """Guards against refusing callers shortly before the first document arrives.

        While all processes restarted, 223 requests were refused with a retry delay of 1 to 2 s,
        only 0.4 s before the document arrived.
        """
        waiting = [asyncio.ensure_future(self.copy.wait_for_table()) for _ in range(20)]
        await asyncio.sleep(0.02)
        self.assertFalse(any(each.done() for each in waiting))
        self.receive_lease(4.0)
        async with asyncio.timeout(1.0):
            tables = await asyncio.gather(*waiting)
        self.assertTrue(all(table is not None for table in tables))

    async def test_a_partitioned_entry_does_not_delay_its_callers(self):
        """Guards against delaying requests that a partitioned entry cannot serve."""
        with unittest.mock.patch.object(documentcopy, "ELECTION_WAIT_SECONDS", 0.05):
            self.assertIsNone(await self.copy.wait_for_table())
            began = clock.steady()
            self.assertIsNone(await self.copy.wait_for_table())
            self.assertLess(clock.steady() - began, 0.04)

    async def test_requests_wait_after_the_lease_has_expired(self):
        """Guards against refusals while a leader is elected after a long loss of the quorum."""
        self.receive_lease(0.03)
        self.assertIsNotNone(await self.copy.wait_for_table())
        await asyncio.sleep(0.05)
        self.assertFalse(self.copy.valid())
        waiting = asyncio.ensure_future(self.copy.wait_for_table())
        await asyncio.sleep(0.01)
        self.receive_lease(4.0)
        self.assertIsNotNone(await asyncio.wait_for(waiting, 1.0))


if __name__ == "__main__":
    unittest.main()
