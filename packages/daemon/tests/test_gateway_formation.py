"""Tests of when the leader changes the voters of the control log."""

import asyncio
import types
import unittest
import unittest.mock

from coltsfoothead.coordination.replication import errors as replication_errors
from coltsfoothead.daemon.control import loghost
from coltsfoothead.daemon.gateway import eventlog, exchange, formation


class FakeLogTask:
    """Leader's replica that refuses changes of its members until the last one is committed."""

    def __init__(self):
        self.accepts_member_changes = False
        self.members = {"r1": ("10.0.0.1:7", "a")}
        self.added = []

    def status(self):
        return types.SimpleNamespace(role="leader", voters=("r1",))

    async def add_learner(self, replica, address, zone, timeout):
        if not self.accepts_member_changes:
            raise replication_errors.MembershipChangeError("an earlier change is not committed yet")
        self.added.append(replica)


class VoterChangeTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_change_waits_until_the_last_one_is_committed(self):
        """Guards against changes that are refused because the log is still busy with another.

        A new leader is known before the first entry of its term is committed.
        """
        task = FakeLogTask()
        logs = types.SimpleNamespace(tasks={loghost.CONTROL: task}, leads=lambda name: True)
        events = unittest.mock.create_autospec(eventlog.EventLog, instance=True)
        own = exchange.JoinRequest("r1", "10.0.0.1:7", "a")
        managed = formation.Formation(logs, None, own, events)
        managed.answer_join(exchange.encode(exchange.JoinRequest("r2", "10.0.0.2:7", "b")))
        with unittest.mock.patch.object(formation, "CHECK_INTERVAL_SECONDS", 0.0):
            managing = asyncio.create_task(managed.manage_voters())
            for _ in range(20):
                await asyncio.sleep(0)
            self.assertEqual((task.added, events.write.mock_calls), ([], []))
            task.accepts_member_changes = True
            for _ in range(20):
                await asyncio.sleep(0)
            managing.cancel()
            await asyncio.gather(managing, return_exceptions=True)
        self.assertEqual(task.added[0], "r2")


if __name__ == "__main__":
    unittest.main()
