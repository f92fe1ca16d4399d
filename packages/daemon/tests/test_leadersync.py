"""Tests of the exchange with the leader, with a link and a clock that the test controls."""

import asyncio
import types
import unittest
import unittest.mock

from coltsfoothead.coordination.configuration import documents, lease
from coltsfoothead.daemon import metrics
from coltsfoothead.daemon.gateway import directory, eventlog, exchange, leadersync


def answer():
    """Returns an answer of the leader that brings no changes."""
    update = exchange.DirectoryUpdate("leader/1", 1, True, ())
    poll = lease.PollAnswer(1, 4.0, documents.Current(1))
    return exchange.Answer(poll, update, 1, {}, {}, ())


class SuspendedLink:
    """Answers each call; the process is suspended for the next of `pauses` meanwhile."""

    leader = "10.0.0.1:7"

    def __init__(self, pauses):
        self.pauses = list(pauses)
        self.now = 100.0

    def targets(self):
        return [self.leader]

    def set_leader(self, leader):
        pass

    def set_controls(self, controls):
        pass

    async def call(self, target, method, payload, timeout):
        self.now += self.pauses.pop(0)
        await asyncio.sleep(0)
        return exchange.encode(answer())


class LeaderSyncTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_answer_from_before_a_pause_is_not_applied(self):
        """Guards against loads, shares and limits that are taken for new after a suspension."""
        link = SuspendedLink([0.05, 3.0, 0.05])
        applied = []
        copy = types.SimpleNamespace(poll=lambda at: lease.PollRequest(1, 0, ""))
        copy.receive = unittest.mock.Mock()
        sync = leadersync.LeaderSync(
            link,
            copy,
            directory.DirectoryCopy(),
            lambda poll, version: exchange.Report("entry", "z", poll, version, entry=True),
            lambda received: applied.append(link.now),
            eventlog.EventLog("test"),
            metrics.Metrics(),
        )
        with unittest.mock.patch.object(leadersync.clock, "steady", lambda: link.now):
            running = asyncio.create_task(sync.run())
            while link.pauses and not running.done():
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.01)
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
        self.assertEqual(len(applied), 2)
        # The lease counts from the poll, so that it stays right.
        self.assertEqual(copy.receive.call_count, 3)


if __name__ == "__main__":
    unittest.main()
