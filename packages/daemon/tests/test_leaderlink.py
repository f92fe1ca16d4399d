"""Tests of how a process finds the control leader."""

import random
import unittest

from coltsfoothead.coordination.transport import errors as link_errors
from coltsfoothead.daemon.gateway import eventlog, leaderlink


class RecordingLinks:
    """Records the peers, and answers calls to the addresses in `up`."""

    def __init__(self, up=()):
        self.up = up
        self.peers = {}

    def set_peers(self, peers):
        self.peers = dict(peers)

    async def call(self, name, method, payload, timeout):
        if self.peers.get(name) not in self.up:
            raise link_errors.LinkTimeoutError("no answer")
        return b"answer"


def link(links, seeds=("10.0.0.1:7", "10.0.0.2:7")):
    """Returns a link to the leader."""
    return leaderlink.LeaderLink(links, seeds, eventlog.EventLog("test"), random.Random(1))


class LeaderLinkTest(unittest.IsolatedAsyncioTestCase):
    def test_a_leader_that_is_not_a_seed_stays_known(self):
        """Guards against dropping the link to the leader while a call to it is in progress.

        The fault kept a VM with an empty disk from ever joining.
        """
        links = RecordingLinks()
        leader_link = link(links)
        leader_link.set_leader("10.0.0.9:7")
        leader_link.set_controls(["10.0.0.1:7"])
        self.assertIn("10.0.0.9:7", links.peers.values())
        self.assertEqual(leader_link.targets()[0], "10.0.0.9:7")

    async def test_an_unreachable_leader_is_not_called_first_again(self):
        """Guards against waiting for a dead leader in every report exchange."""
        leader_link = link(RecordingLinks(up=["10.0.0.2:7"]))
        leader_link.set_leader("10.0.0.1:7")
        with self.assertRaises(leaderlink.LeaderUnreachableError):
            await leader_link.call("10.0.0.1:7", "sync", b"", 0.1)
        self.assertIsNone(leader_link.leader)
        self.assertEqual(await leader_link.call("10.0.0.2:7", "sync", b"", 0.1), b"answer")

    def test_new_seeds_replace_the_old_ones(self):
        """Guards against calling seeds that have been removed from the settings."""
        links = RecordingLinks()
        leader_link = link(links)
        leader_link.set_seeds(["10.0.0.5:7"])
        self.assertEqual(leader_link.targets(), ["10.0.0.5:7"])


if __name__ == "__main__":
    unittest.main()
