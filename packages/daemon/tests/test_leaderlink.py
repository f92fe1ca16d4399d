"""Tests of how a process finds the control leader."""

import random
import unittest

from coltsfoothead.coordination.transport import errors as link_errors
from coltsfoothead.daemon.gateway import eventlog, leaderlink


class RecordingLinks:
    """Notes the peers, and answers calls to those in `up`."""

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
    def test_a_leader_that_is_no_seed_stays_known(self):
        """Guards against dropping the link to the leader while a call to it is under way.

        Seen in hunt-daa7-11 of vaahto-reititin: a VM with an empty disk never joined.
        """
        links = RecordingLinks()
        known = link(links)
        known.follow("10.0.0.9:7")
        known.set_controls(["10.0.0.1:7"])
        self.assertIn("10.0.0.9:7", links.peers.values())
        self.assertEqual(known.targets()[0], "10.0.0.9:7")

    async def test_a_lost_leader_is_not_asked_first_again(self):
        """Guards against waiting for a dead leader at every exchange."""
        known = link(RecordingLinks(up=["10.0.0.2:7"]))
        known.follow("10.0.0.1:7")
        with self.assertRaises(leaderlink.LeaderUnreachableError):
            await known.ask("10.0.0.1:7", "sync", b"", 0.1)
        self.assertIsNone(known.leader)
        self.assertEqual(await known.ask("10.0.0.2:7", "sync", b"", 0.1), b"answer")

    def test_new_seeds_replace_the_old_ones(self):
        """Guards against going on with seeds that the settings no longer name."""
        links = RecordingLinks()
        known = link(links)
        known.set_seeds(["10.0.0.5:7"])
        self.assertEqual(known.targets(), ["10.0.0.5:7"])


if __name__ == "__main__":
    unittest.main()
