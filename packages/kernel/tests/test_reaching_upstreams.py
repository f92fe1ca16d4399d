"""Tests of what an entry concludes from failed connections, and of the choice of its peers."""

import random
import unittest

from coltsfoothead.kernel.traffic import peering, placement, reachability

UPSTREAMS = [f"u{number}" for number in range(18)]


class ReachabilityTest(unittest.TestCase):
    def setUp(self):
        self.paths = reachability.Reachability()

    def fail(self, names, now, refused=False):
        """Records failed attempts to connect to some upstreams."""
        for name in names:
            self.paths.record_failed(name, refused, now)

    def test_a_cut_from_many_upstreams_is_noticed_after_a_few(self):
        """Guards against probing every upstream of a large service before the cut is noticed."""
        self.paths.record_opened("u17", 1.0)
        self.fail(UPSTREAMS[:5], 2.0)
        self.assertFalse(self.paths.isolated(UPSTREAMS))
        self.fail(UPSTREAMS[5:6], 2.3)
        self.assertTrue(self.paths.isolated(UPSTREAMS))
        self.paths.record_opened("u3", 3.0)
        self.assertFalse(self.paths.isolated(UPSTREAMS))

    def test_upstreams_that_stop_while_others_accept_connections_are_no_cut(self):
        """Guards against an entry that takes itself for cut off when a data centre is lost."""
        for number in range(12):
            self.fail([UPSTREAMS[number]], float(number))
            self.paths.record_opened("u17", number + 0.1)
            self.assertFalse(self.paths.isolated(UPSTREAMS))
        # Further failures of the same upstreams are no news.
        self.fail(UPSTREAMS[:12], 20.0)
        self.assertFalse(self.paths.isolated(UPSTREAMS))

    def test_all_upstreams_of_a_small_service_have_to_fail(self):
        """Guards against taking two of three upstreams that stop for a cut."""
        self.fail(["a", "b"], 1.0)
        self.assertFalse(self.paths.isolated(["a", "b", "c"]))
        self.fail(["c"], 1.0, refused=True)
        self.assertTrue(self.paths.isolated(["a", "b", "c"]))
        self.assertFalse(self.paths.refused(["a", "b", "c"]))
        self.assertTrue(self.paths.refused(["c"]))
        self.assertFalse(self.paths.isolated([]))


class PeeringTest(unittest.TestCase):
    def setUp(self):
        self.entries = [
            peering.Peer(f"10.{zone}.0.{number}:7600", f"z{zone}")
            for zone in range(6)
            for number in range(14)
        ]
        self.distances = placement.Distances("z0", {f"z{zone}": "r" for zone in range(6)})

    def test_the_entries_of_a_zone_spread_over_the_others(self):
        """Guards against one entry that all entries of a zone that is cut off choose."""
        ring = peering.PeerRing(self.entries)
        counts = {each.address: 0 for each in self.entries}
        for entry in self.entries[:14]:
            peers = ring.peers(entry.address)
            self.assertNotIn(entry, peers)
            self.assertEqual(len({each.zone for each in peers}), 6)
            for each in peers:
                counts[each.address] += 1
        self.assertLessEqual(max(counts[each.address] for each in self.entries[14:]), 10)

    def test_only_peers_that_say_so_reach_a_service(self):
        """Guards against passing requests to entries that are cut off, silent or full."""
        table = peering.PeerTable(self.distances.distance, random.Random(1))
        near, far, cut, full, silent = self.entries[1], self.entries[20], *self.entries[2:5]
        table.set_peers([near, far, cut, full, silent])
        table.record_state(near.address, peering.PeerState((), 5), 1.0)
        table.record_state(far.address, peering.PeerState((), 5), 1.0)
        table.record_state(cut.address, peering.PeerState(("models",), 5), 1.0)
        table.record_state(full.address, peering.PeerState((), 0), 1.0)
        self.assertEqual(table.reaching("models", 2.0), [near.address, far.address])
        self.assertEqual(table.reaching("models", 3.0), [])

    def test_a_peer_that_is_no_longer_listed_keeps_its_requests(self):
        """Guards against breaking requests in flight when the leader names other peers."""
        table = peering.PeerTable(self.distances.distance, random.Random(1))
        old, new = self.entries[1], self.entries[2]
        table.set_peers([old])
        table.record_state(old.address, peering.PeerState((), 5), 1.0)
        table.add_in_flight(old.address, 1)
        table.set_peers([new])
        self.assertEqual(set(table.addresses), {old.address, new.address})
        self.assertEqual(table.reaching("models", 1.0), [])
        self.assertEqual(table.digest, peering.digest([new]))
        table.add_in_flight(old.address, -1)
        table.set_peers([new])
        self.assertEqual(table.addresses, (new.address,))


if __name__ == "__main__":
    unittest.main()
