"""Tests of the changes of voters."""

import asyncio
import types
import unittest
import unittest.mock

import msgspec

from coltsfoothead.daemon.control import loghost, voters


class Follower:
    """Log host, links and proposer of a daemon whose replicas learn of a commit late."""

    def __init__(self, late_seconds):
        self.voters = {name: ["d1", "d2", "d3"] for name in loghost.LOGS}
        self.tasks = {
            name: types.SimpleNamespace(status=self._status(name)) for name in self.voters
        }
        self._late_seconds = late_seconds

    def _status(self, log):
        return lambda: types.SimpleNamespace(voters=tuple(self.voters[log]))

    def leads(self, log):
        return False

    def leader(self, log):
        return "d2"

    def serve(self, method, handler):
        pass

    async def call(self, member, method, payload, timeout):
        change = msgspec.msgpack.decode(payload, type=voters.Change)
        act = getattr(self.voters[change.log], {"add": "append", "remove": "remove"}[change.action])
        asyncio.get_running_loop().call_later(self._late_seconds, act, change.replica)
        return msgspec.msgpack.encode(voters.Outcome())


class FollowerTest(unittest.IsolatedAsyncioTestCase):
    async def test_answer_comes_after_the_change_is_seen(self):
        """Guards against an answer that still lists a removed voter, or lacks an added one."""
        follower = Follower(0.05)
        changes = voters.VoterChanges(follower, follower, follower, "d3")
        await changes.add("d4", "127.0.0.1:9", "home-a")
        self.assertTrue(all("d4" in each for each in follower.voters.values()))
        await changes.remove("d1")
        self.assertFalse(any("d1" in each for each in follower.voters.values()))


class LostLeader(Follower):
    """A follower whose leader ``d2`` was killed; ``d1`` is elected after `late_seconds`."""

    def __init__(self, late_seconds, took_effect):
        super().__init__(0.0)
        self._took_effect = took_effect
        self._leader = "d2"
        asyncio.get_running_loop().call_later(late_seconds, self._elect)

    def _elect(self):
        self._leader = "d1"

    def leader(self, log):
        return self._leader

    async def call(self, member, method, payload, timeout):
        change = msgspec.msgpack.decode(payload, type=voters.Change)
        if member == "d2":
            if self._took_effect:
                self.voters[change.log].remove(change.replica)
            await asyncio.sleep(timeout)
        if change.action == "remove" and change.replica not in self.voters[change.log]:
            return msgspec.msgpack.encode(voters.Outcome("voter_not_found", "not a member"))
        return await super().call(member, method, payload, timeout)


class LostLeaderTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_successor_is_asked_when_the_leader_dies_unseen(self):
        """Guards against a change that waits for a dead leader until the operator gives up."""
        follower = LostLeader(0.2, took_effect=False)
        changes = voters.VoterChanges(follower, follower, follower, "d3")
        async with asyncio.timeout(2.0):
            await changes.add("d4", "127.0.0.1:9", "home-a")
        self.assertTrue(all("d4" in each for each in follower.voters.values()))

    async def test_a_removal_that_the_lost_leader_made_is_done(self):
        """Guards against `voter_not_found` for a removal that took effect."""
        follower = LostLeader(0.2, took_effect=True)
        changes = voters.VoterChanges(follower, follower, follower, "d3")
        async with asyncio.timeout(2.0):
            await changes._request(voters.Change("control", "remove", "d1"))
        self.assertNotIn("d1", follower.voters["control"])

    async def test_no_leader_is_said_once_the_time_of_an_election_is_over(self):
        """Guards against an endless wait while there is no quorum."""
        follower = Follower(0.0)
        follower.leader = lambda log: None
        changes = voters.VoterChanges(follower, follower, follower, "d3")
        with (
            unittest.mock.patch.object(voters, "LEADER_SECONDS", 0.1),
            self.assertRaises(voters.VoterChangeError) as caught,
        ):
            await changes.add("d4", "127.0.0.1:9", "home-a")
        self.assertEqual(
            ("no_leader", "not_run"), (caught.exception.code, caught.exception.execution)
        )


if __name__ == "__main__":
    unittest.main()
