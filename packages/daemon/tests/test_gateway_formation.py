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

    def __init__(self, member_count=1):
        self.accepts_member_changes = False
        self.members = {
            f"r{number}": (f"10.0.0.{number}:7", "a") for number in range(1, member_count + 1)
        }
        self.added = []
        self.removed = []
        self.role = "leader"
        self.response_times = {}

    def status(self):
        return types.SimpleNamespace(role=self.role, term=1, voters=tuple(self.members))

    def peer_response_times(self):
        return dict(self.response_times)

    async def remove(self, replica, timeout):
        self.removed.append(replica)

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


class SilentVoterTest(unittest.TestCase):
    """Formation of the leader of five voters, r1, on a clock of the test's own."""

    def setUp(self):
        self.now = 100.0
        patched = unittest.mock.patch.object(formation.clock, "steady", lambda: self.now)
        patched.start()
        self.addCleanup(patched.stop)
        self.task = FakeLogTask(5)
        self.task.accepts_member_changes = True
        logs = types.SimpleNamespace(
            tasks={loghost.CONTROL: self.task}, leads=lambda name: self.task.role == "leader"
        )
        events = unittest.mock.create_autospec(eventlog.EventLog, instance=True)
        own = exchange.JoinRequest("r1", "10.0.0.1:7", "a")
        self.managed = formation.Formation(logs, None, own, events)

    def join(self, *numbers, suffix=""):
        """Delivers a join request of each of some processes."""
        for number in numbers:
            request = exchange.JoinRequest(f"r{number}{suffix}", f"10.0.0.{number}:7", "a")
            self.managed.answer_join(exchange.encode(request))

    def removed_within(self, seconds, *numbers):
        """Manages the voters for some time in which processes send join requests.

        Returns
        -------
        list of str
            Replicas that were removed.
        """

        async def manage():
            managing = asyncio.create_task(self.managed.manage_voters())
            for _ in range(round(seconds / formation.CHECK_INTERVAL_SECONDS)):
                self.now += formation.CHECK_INTERVAL_SECONDS
                self.join(*numbers)
                for _ in range(4):
                    await asyncio.sleep(0)
            managing.cancel()
            await asyncio.gather(managing, return_exceptions=True)

        interval = formation.CHECK_INTERVAL_SECONDS
        sleep = asyncio.sleep
        with unittest.mock.patch.object(
            formation.asyncio, "sleep", lambda time: sleep(0 if time == interval else time)
        ):
            asyncio.run(manage())
        return self.task.removed

    def test_a_new_leader_keeps_voters_that_it_has_not_heard_yet(self):
        """Guards against a new leader that removes healthy voters as silent."""
        self.assertEqual(self.removed_within(2.0, 2, 6), [])

    def test_a_new_leader_replaces_a_voter_that_stays_silent(self):
        """Guards against a lost voter that is never replaced."""
        self.assertEqual(self.removed_within(2.4, 2, 3, 4, 6), [])
        self.assertIn("r5", self.removed_within(1.0, 2, 3, 4, 6))

    def test_a_voter_that_answers_in_the_log_is_not_silent(self):
        """Guards against removing a voter whose join requests alone do not arrive."""
        self.task.response_times = {"r5": self.now}
        self.assertEqual(self.removed_within(2.0, 2, 3, 4, 6), [])
        self.task.response_times = {"r5": self.now}
        self.assertEqual(self.removed_within(2.0, 2, 3, 4, 6), [])

    def test_a_leader_that_was_suspended_keeps_its_voters(self):
        """Guards against a leader that takes its own suspension for the silence of its voters."""
        self.assertEqual(self.removed_within(4.0, 2, 3, 4, 5, 6), [])
        self.now += 30.0
        self.assertEqual(self.removed_within(1.0, 6), [])

    def test_members_that_are_not_heard_yet_count_as_live(self):
        """Guards against a new leader that lists itself as the only control process."""
        self.join(2)
        everyone = [f"10.0.0.{number}:7" for number in range(1, 6)]
        self.assertEqual(self.managed.live_controls(), everyone)
        self.removed_within(3.0, 2, 3, 4)
        self.assertEqual(self.managed.live_controls(), everyone[:4])

    def test_a_follower_lists_all_members(self):
        """Guards against a follower that takes processes that report to the leader for silent."""
        self.task.role = "follower"
        self.removed_within(4.0)
        self.assertEqual(len(self.managed.live_controls()), 5)

    def test_an_old_request_of_a_wiped_process_makes_no_standby(self):
        """Guards against removing the new replica of a process whose disk was lost."""
        self.task.members["r5~new"] = self.task.members.pop("r5")
        self.join(5)
        self.join(5, suffix="~new")
        self.assertEqual(self.removed_within(0.4, 2, 3, 4), [])


if __name__ == "__main__":
    unittest.main()
