"""Tests of the upstream directory with late, repeated and reordered announcements."""

import asyncio
import dataclasses
import unittest
import unittest.mock

from coltsfoothead.daemon.gateway import directory, exchange
from coltsfoothead.kernel.traffic import upstreams

INTERVAL = 1.0
READY, LOST = upstreams.State.READY, upstreams.State.LOST
DRAINING, GONE = upstreams.State.DRAINING, upstreams.State.GONE


def upstream(sequence=1, state=READY, born=100, name="i-1", address="10.0.0.1:80"):
    """Returns an announcement."""
    return upstreams.Upstream(name, "model", address, "z", 8, state, born, sequence)


def update(leadership, *changed):
    """Returns an update with the full directory."""
    return exchange.DirectoryUpdate(leadership, 1, True, changed)


class DirectoryTest(unittest.TestCase):
    def setUp(self):
        self.leader = directory.Directory("a/1", INTERVAL, {}, 0.0)

    def state(self, name="i-1"):
        return next(each.state for each in self.leader.records if each.id == name)

    def test_a_late_announcement_does_not_revive_a_draining_upstream(self):
        """Guards against new requests to an upstream that has announced that it drains."""
        self.leader.announce(upstream(5, DRAINING), 0.0)
        self.leader.announce(upstream(4), 0.1)
        self.assertIs(self.state(), DRAINING)
        self.leader.announce(upstream(6), 0.2)
        self.assertIs(self.state(), DRAINING)
        self.leader.withdraw("i-1", 0, 0.3)
        self.leader.announce(upstream(7), 0.4)
        self.assertIs(self.state(), GONE)

    def test_an_upstream_of_an_unlisted_service_drains(self):
        """Guards against an end that is forgotten while a document leaves its service out (DRAIN).

        The next document names the service again.
        """
        for known in (True, False):
            with self.subTest(known=known):
                self.leader = directory.Directory("a/1", INTERVAL, {}, 0.0)
                copy = directory.DirectoryCopy(3.5)
                copy.receive(update("z/0", upstream(4)))
                if known:
                    self.leader.announce(upstream(4), 0.0)
                self.assertTrue(self.leader.announce_unlisted(upstream(5, DRAINING), 0.1))
                self.leader.announce(upstream(6), 0.2)
                copy.receive(self.leader.update_since(copy.version))
                self.assertIs(self.state(), DRAINING)
                self.assertEqual(copy.ready_upstreams("model"), [])

    def test_a_known_upstream_of_an_unlisted_service_is_not_lost(self):
        """Guards against a service without upstreams right after a document names it again."""
        self.leader.announce(upstream(1), 0.0)
        for sequence in range(2, 8):
            self.leader.announce_unlisted(upstream(sequence), 1.0 * sequence)
            self.leader.expire(1.0 * sequence)
        self.assertIs(self.state(), READY)

    def test_an_announcement_of_an_unlisted_service_takes_nothing(self):
        """Guards against a malformed announcement that takes an ID or an address in use."""
        self.leader.announce(upstream(1), 0.0)
        for state in (READY, DRAINING):
            for name in ("i-1", "i-copy"):
                odd = dataclasses.replace(upstream(9, state, 200, name), service="nowhere")
                self.leader.announce_unlisted(odd, 0.1)
            self.assertIs(self.state(), READY)
        # An upstream that the directory does not know yet is not bound by it either.
        odd = dataclasses.replace(upstream(1, DRAINING, name="i-2"), service="nowhere")
        self.leader.announce_unlisted(odd, 0.2)
        copy = directory.DirectoryCopy()
        copy.receive(self.leader.update_since(copy.version))
        self.leader.announce(upstream(2, name="i-2", address="10.0.0.2:80"), 0.3)
        copy.receive(self.leader.update_since(copy.version))
        self.assertIs(self.state("i-2"), READY)
        self.assertIn("i-2", [each.id for each in copy.ready_upstreams("model")])

    def test_unknown_upstreams_of_unlisted_services_are_bounded(self):
        """Guards against a directory that malformed announcements fill."""
        with unittest.mock.patch.object(directory, "MAX_RECORDS_WITH_UNLISTED", 3):
            for number in range(5):
                self.leader.announce_unlisted(upstream(1, DRAINING, name=f"i-{number}"), 0.0)
        self.assertEqual(len(self.leader.records), 3)

    def test_a_new_start_under_the_same_name_counts(self):
        """Guards against a restarted upstream that gets no requests as its sequence starts anew."""
        self.leader.announce(upstream(50), 0.0)
        self.leader.withdraw("i-1", 0, 0.1)
        self.leader.announce(upstream(1, born=200), 0.2)
        self.assertIs(self.state(), READY)
        self.leader.announce(upstream(60), 0.3)
        self.assertEqual(self.leader.records[0].born, 200)

    def test_a_silent_upstream_is_lost_and_may_come_back(self):
        """Guards against requests to a dead upstream, and the loss of one that was partitioned."""
        self.leader.announce(upstream(1), 0.0)
        self.assertEqual(self.leader.expire(3.0), [])
        self.assertEqual([each.id for each in self.leader.expire(3.6)], ["i-1"])
        self.assertIs(self.state(), LOST)
        self.leader.announce(upstream(2), 4.0)
        self.assertIs(self.state(), READY)

    def test_an_address_belongs_to_the_newest_upstream(self):
        """Guards against a delayed announcement of the previous upstream at a reused address."""
        self.leader.announce(upstream(1, name="i-old", born=100), 0.0)
        self.leader.announce(upstream(1, name="i-new", born=200), 1.0)
        self.assertIs(self.state("i-old"), GONE)
        self.leader.announce(upstream(9, name="i-other", born=150), 1.1)
        self.assertNotIn("i-other", [each.id for each in self.leader.records])

    def test_a_tombstone_stops_a_delayed_announcement_only(self):
        """Guards against reviving an ended start that this leader never knew.

        The directory is lost when all control processes restart; the log keeps the ends.
        """
        self.leader.restore_end("i-1", 100, GONE, 0.0)
        self.assertFalse(self.leader.announce(upstream(9), 0.1))
        self.assertIs(self.state(), GONE)
        self.leader.announce(upstream(1, born=200), 0.2)
        self.assertIs(self.state(), READY)
        self.leader.restore_end("i-1", 100, GONE, 0.3)
        self.assertIs(self.state(), READY)
        self.leader.restore_end("i-1", 200, GONE, 0.4)
        self.assertIs(self.state(), GONE)

    def test_a_restored_drain_stops_a_delayed_announcement(self):
        """Guards against requests to a draining upstream after the leader that knew it died."""
        for inherited in ({}, {"i-1": upstream(3)}, {"i-1": upstream(3, born=50)}):
            with self.subTest(inherited):
                self.leader = directory.Directory("b/2", INTERVAL, inherited, 0.0)
                copy = directory.DirectoryCopy(3.5)
                copy.receive(update("a/1", upstream(3)))
                self.leader.restore_end("i-1", 100, DRAINING, 0.1)
                copy.receive(self.leader.update_since(copy.version))
                self.assertEqual(copy.ready_upstreams("model"), [])
                self.leader.announce(upstream(4), 0.2)
                copy.receive(self.leader.update_since(copy.version))
                self.assertIs(self.state(), DRAINING)
                self.assertEqual(copy.ready_upstreams("model"), [])
                self.leader.announce(upstream(1, born=200), 0.3)
                self.assertIs(self.state(), READY)
                self.leader.restore_end("i-1", 100, GONE, 0.4)
                self.assertIs(self.state(), READY)

    def test_the_end_of_an_unheard_start_is_kept(self):
        """Guards against an end that is acknowledged and forgotten, as its start is not listed.

        A new leader has not heard the start, or has heard less of it than the copies.
        """
        for known in (None, upstream(3), upstream(3, born=50)):
            with self.subTest(known):
                inherited = {"i-1": known} if known is not None else {}
                self.leader = directory.Directory("b/2", INTERVAL, inherited, 0.0)
                copy = directory.DirectoryCopy(3.5)
                copy.receive(update("a/1", upstream(7)))
                self.assertTrue(self.leader.withdraw("i-1", 100, 0.1))
                self.assertFalse(self.leader.withdraw("i-1", 100, 0.2))
                self.leader.announce(upstream(8), 0.3)
                copy.receive(self.leader.update_since(copy.version))
                self.assertIs(self.state(), GONE)
                self.assertEqual(copy.ready_upstreams("model"), [])

    def test_repeated_announcements_are_no_change(self):
        """Guards against updates that grow with the number of announcements."""
        self.leader.announce(upstream(1), 0.0)
        before = self.leader.update_since(("", 0)).number
        for sequence in range(2, 50):
            self.leader.announce(upstream(sequence), sequence * 0.1)
        update = self.leader.update_since(("a/1", before))
        self.assertEqual((update.number, update.changed), (before, ()))


class CopyTest(unittest.TestCase):
    def setUp(self):
        self.leader = directory.Directory("a/1", INTERVAL, {}, 0.0)
        self.copy = directory.DirectoryCopy()

    def sync(self):
        self.copy.receive(self.leader.update_since(self.copy.version))

    def test_changes_arrive_once(self):
        """Guards against a copy that misses a change, or is sent all of them again."""
        seen = []
        self.copy.add_listener(lambda each: seen.append((each.id, each.state)))
        self.leader.announce(upstream(1), 0.0)
        self.leader.announce(upstream(1, name="i-2", address="10.0.0.2:80"), 0.0)
        self.sync()
        self.leader.announce(upstream(2, DRAINING), 0.1)
        self.sync()
        self.sync()
        self.assertEqual(sorted(seen[:2]), [("i-1", READY), ("i-2", READY)])
        self.assertEqual(seen[2:], [("i-1", DRAINING)])
        self.assertEqual([each.id for each in self.copy.ready_upstreams("model")], ["i-2"])

    def test_a_new_leader_with_an_older_state_reverts_no_change(self):
        """Guards against requests to a draining upstream after the leader that knew of it died."""
        self.leader.announce(upstream(1), 0.0)
        self.sync()
        old = dict(self.copy.records)
        self.leader.announce(upstream(2, DRAINING), 0.1)
        self.sync()
        self.leader = directory.Directory("b/2", INTERVAL, old, 1.0)
        self.sync()
        self.assertEqual(self.copy.ready_upstreams("model"), [])

    def test_an_upstream_unknown_to_a_new_leader_is_lost_not_gone(self):
        """Guards against removing an upstream before it announces itself to the new leader."""
        self.leader.announce(upstream(1), 0.0)
        self.sync()
        self.leader = directory.Directory("b/2", INTERVAL, {}, 1.0)
        self.sync()
        self.assertIs(self.copy.records["i-1"].state, LOST)
        self.leader.announce(upstream(2), 1.5)
        self.sync()
        self.assertIs(self.copy.records["i-1"].state, READY)

    def test_upstreams_that_a_new_leader_has_not_heard_are_kept_for_a_while(self):
        """Guards against a copy without upstreams after a restart of all control processes."""
        self.copy = directory.DirectoryCopy(3.5)
        with unittest.mock.patch.object(directory.clock, "steady") as steady:
            steady.return_value = 100.0
            self.leader.announce(upstream(1), 0.0)
            self.leader.announce(upstream(1, name="i-2", address="10.0.0.2:80"), 0.0)
            self.sync()
            self.leader = directory.Directory("b/2", INTERVAL, {}, 1.0)
            steady.return_value = 101.0
            self.sync()
            self.assertEqual(len(self.copy.ready_upstreams("model")), 2)
            self.leader.announce(upstream(2), 1.5)
            self.leader = directory.Directory("c/3", INTERVAL, {"i-1": upstream(2)}, 2.0)
            for steady.return_value, ready in ((103.4, 2), (103.5, 1)):
                self.sync()
                self.assertEqual(len(self.copy.ready_upstreams("model")), ready)
            self.assertIs(self.copy.records["i-2"].state, LOST)
            self.assertIs(self.copy.records["i-1"].state, READY)

    def test_an_old_update_is_dropped(self):
        """Guards against two answers of the leader that arrive in reverse order."""
        self.leader.announce(upstream(1), 0.0)
        first = self.leader.update_since(("", 0))
        self.leader.announce(upstream(2, DRAINING), 0.1)
        self.sync()
        self.copy.receive(first)
        self.assertIs(self.copy.records["i-1"].state, DRAINING)

    def test_a_new_leader_that_missed_the_last_announcement_restores_no_older_one(self):
        """Guards against requests to an address that the upstream has left."""
        self.copy.receive(update("a/1", upstream(5, address="10.0.0.2:80")))
        self.copy.receive(update("b/2", upstream(4, address="10.0.0.1:80")))
        self.assertEqual(self.copy.records["i-1"].address, "10.0.0.2:80")

    def test_the_end_of_a_start_is_final_at_the_entries_too(self):
        """Guards against requests to a gone upstream that a later record of its start has ready."""
        self.copy.receive(update("a/1", upstream(5, GONE)))
        self.copy.receive(update("b/2", upstream(6)))
        self.assertIs(self.copy.records["i-1"].state, GONE)


class DiscoveryTest(unittest.IsolatedAsyncioTestCase):
    async def test_requests_wait_while_upstreams_announce_themselves(self):
        """Guards against refusing requests that arrive right after a restart of all processes.

        Without the wait, 92 requests were refused in the half second in which only the first four
        of 21 upstreams were known.
        """
        copy = directory.DirectoryCopy()
        copy.receive(exchange.DirectoryUpdate("a/1", 0, True, ()))
        waiting = asyncio.ensure_future(copy.wait_for_change())
        await asyncio.sleep(0.01)
        self.assertFalse(waiting.done())
        copy.receive(exchange.DirectoryUpdate("a/1", 1, False, (upstream(),)))
        self.assertTrue(await asyncio.wait_for(waiting, 0.5))

    async def test_a_complete_copy_does_not_delay_requests(self):
        """Guards against delaying requests that no upstream can serve."""
        copy = directory.DirectoryCopy()
        with unittest.mock.patch.object(directory, "DISCOVERY_SECONDS", 0.05):
            copy.receive(exchange.DirectoryUpdate("a/1", 0, True, ()))
            self.assertFalse(await copy.wait_for_change())
            self.assertFalse(await asyncio.wait_for(copy.wait_for_change(), 0.02))


if __name__ == "__main__":
    unittest.main()
