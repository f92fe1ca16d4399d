"""Tests of the origins of streams, as entries and control processes exchange them."""

import unittest

from coltsfoothead.kernel.traffic import streamorigins

OLD = streamorigins.Origin("models", "v1")
NEW = streamorigins.Origin("models", "v2")


class OriginTableTest(unittest.TestCase):
    def setUp(self):
        self.table = streamorigins.OriginTable()

    def test_the_first_origin_holds(self):
        """Guards against a stream that changes its version when it is taken up (ORDER)."""
        self.table.record("a", OLD, 0.0)
        self.table.record("a", NEW, 1.0)
        self.table.merge([streamorigins.OriginBatch(NEW, ("a", "b"))], 2.0)
        self.assertEqual((self.table.origin("a"), self.table.origin("b")), (OLD, NEW))

    def test_a_stream_in_use_outlives_the_retention(self):
        """Guards against forgetting a stream that its caller goes on taking up."""
        for step in range(10):
            self.table.record("a", OLD, 0.5 * step * streamorigins.RETENTION_SECONDS)
        self.assertEqual(self.table.origin("a"), OLD)
        self.table.record("b", OLD, 10 * streamorigins.RETENTION_SECONDS)
        self.assertIsNone(self.table.origin("a"))

    def test_the_number_of_streams_is_bounded(self):
        """Guards against memory that callers can fill with streams."""
        for number in range(streamorigins.MAX_ORIGINS + 5):
            self.table.record(str(number), OLD, 0.0)
        kept = sum(len(batch.stream_ids) for batch in self.table.since(0))
        self.assertEqual(kept, streamorigins.MAX_ORIGINS)

    def test_only_what_is_newer_is_sent(self):
        """Guards against exchanges that grow with the number of streams."""
        self.table.record("a", OLD, 0.0)
        number = self.table.number
        self.table.record("b", OLD, 0.1)
        self.table.record("c", NEW, 0.2)
        batches = {each.origin: each.stream_ids for each in self.table.since(number)}
        self.assertEqual(batches, {OLD: ("b",), NEW: ("c",)})
        self.assertEqual(self.table.since(self.table.number), ())


class EntryOriginsTest(unittest.TestCase):
    def setUp(self):
        self.origins = streamorigins.EntryOrigins()
        self.leader = streamorigins.OriginTable()
        self.origins.record("a", OLD, 0.0)

    def exchange(self, leadership, answered=True):
        """Sends a report to the leader; returns the IDs in it."""
        batches = self.origins.report()
        self.leader.merge(batches, 0.0)
        if answered:
            self.origins.confirm(leadership)
        return {stream_id for batch in batches for stream_id in batch.stream_ids}

    def test_an_unanswered_report_is_repeated(self):
        """Guards against streams that are lost with one message."""
        self.assertEqual(self.exchange("l/1", answered=False), {"a"})
        self.assertEqual(self.exchange("l/1"), {"a"})

    def test_a_new_leader_gets_all_streams(self):
        """Guards against a change of leader after which nobody knows the streams (LOST)."""
        for _ in range(3):
            self.exchange("l/1")
        self.origins.record("b", NEW, 1.0)
        self.assertEqual(self.exchange("l/1"), {"b"})
        self.leader = streamorigins.OriginTable()
        self.exchange("m/2")
        self.exchange("m/2")
        self.assertEqual((self.leader.origin("a"), self.leader.origin("b")), (OLD, NEW))
        self.assertEqual(self.exchange("m/2"), set())


if __name__ == "__main__":
    unittest.main()
