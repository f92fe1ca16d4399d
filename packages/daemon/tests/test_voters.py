"""Tests of the changes of voters."""

import asyncio
import types
import unittest

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


if __name__ == "__main__":
    unittest.main()
