"""Tests of adding and removing voters of the replicated logs."""

import asyncio
import types
import unittest
import unittest.mock

import msgspec

from coltsfoothead.daemon.control import loghost, voters


class Follower:
    """Log host, links and proposer of a daemon whose replicas apply a commit with a delay."""

    def __init__(self, delay_seconds):
        self.voters = {name: ["d1", "d2", "d3"] for name in loghost.LOGS}
        self.tasks = {
            name: types.SimpleNamespace(status=self._status(name)) for name in self.voters
        }
        self._delay_seconds = delay_seconds

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
        update_voters = getattr(
            self.voters[change.log], {"add": "append", "remove": "remove"}[change.action]
        )
        asyncio.get_running_loop().call_later(self._delay_seconds, update_voters, change.replica)
        return msgspec.msgpack.encode(voters.Outcome())


class FollowerTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_answer_waits_for_the_local_replica(self):
        """Guards against an answer that still lists a removed voter or lacks an added one."""
        follower = Follower(0.05)
        changes = voters.VoterChanges(follower, follower, follower, "d3")
        await changes.add("d4", "127.0.0.1:9", "home-a")
        self.assertTrue(all("d4" in each for each in follower.voters.values()))
        await changes.remove("d1")
        self.assertFalse(any("d1" in each for each in follower.voters.values()))


class LostLeader(Follower):
    """A follower whose leader ``d2`` was killed; ``d1`` is elected after `delay_seconds`.

    If `removal_committed`, ``d2`` committed removals before it was killed, without answering.
    """

    def __init__(self, delay_seconds, removal_committed):
        super().__init__(0.0)
        self._removal_committed = removal_committed
        self._leader = "d2"
        asyncio.get_running_loop().call_later(delay_seconds, self._elect)

    def _elect(self):
        self._leader = "d1"

    def leader(self, log):
        return self._leader

    async def call(self, member, method, payload, timeout):
        change = msgspec.msgpack.decode(payload, type=voters.Change)
        if member == "d2":
            if self._removal_committed:
                self.voters[change.log].remove(change.replica)
            await asyncio.sleep(timeout)
        if change.action == "remove" and change.replica not in self.voters[change.log]:
            return msgspec.msgpack.encode(voters.Outcome("voter_not_found", "not a member"))
        return await super().call(member, method, payload, timeout)


class LostLeaderTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_successor_is_asked_when_the_leader_fails_undetected(self):
        """Guards against waiting for a failed leader until the operator's call times out."""
        follower = LostLeader(0.2, removal_committed=False)
        changes = voters.VoterChanges(follower, follower, follower, "d3")
        async with asyncio.timeout(2.0):
            await changes.add("d4", "127.0.0.1:9", "home-a")
        self.assertTrue(all("d4" in each for each in follower.voters.values()))

    async def test_a_removal_committed_by_the_lost_leader_succeeds(self):
        """Guards against `voter_not_found` for a removal that the lost leader committed."""
        follower = LostLeader(0.2, removal_committed=True)
        changes = voters.VoterChanges(follower, follower, follower, "d3")
        async with asyncio.timeout(2.0):
            await changes._request(voters.Change("control", "remove", "d1"))
        self.assertNotIn("d1", follower.voters["control"])

    async def test_no_leader_is_reported_after_the_time_of_an_election(self):
        """Guards against an endless wait while there is no quorum."""
        follower = Follower(0.0)
        follower.leader = lambda log: None
        changes = voters.VoterChanges(follower, follower, follower, "d3")
        with (
            unittest.mock.patch.object(voters, "ELECTION_WAIT_SECONDS", 0.1),
            self.assertRaises(voters.VoterChangeError) as caught,
        ):
            await changes.add("d4", "127.0.0.1:9", "home-a")
        self.assertEqual(
            ("no_leader", "not_run"), (caught.exception.code, caught.exception.execution)
        )


if __name__ == "__main__":
    unittest.main()
