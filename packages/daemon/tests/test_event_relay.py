"""Tests of relaying events when upstreams break the connection."""

import unittest

import hypothesis
from hypothesis import strategies as st

from coltsfoothead.daemon.gateway import relay


class FakeCaller:
    """Records what the relay writes."""

    def __init__(self):
        self.written = b""
        self.begin_count = 0

    def write_soon(self, data):
        self.written += data
        return True

    def begin(self):
        self.begin_count += 1


def event(number):
    """Returns an event of a stream."""
    return f"id: {number}\ndata: token {number}\n\n".encode()


class EventRelayTest(unittest.TestCase):
    def setUp(self):
        self.caller = FakeCaller()
        self.relay = relay.EventRelay(self.caller)

    def feed(self, data):
        self.relay.feed(data, self.caller.begin)

    @hypothesis.settings(derandomize=True, max_examples=100, deadline=None, database=None)
    @hypothesis.given(st.lists(st.integers(1, 40), max_size=30))
    def test_any_split_into_reads_gives_the_same_events(self, sizes):
        """Guards against events that are lost or duplicated at the boundaries of reads."""
        stream = b"".join(map(event, range(1, 9)))
        caller = FakeCaller()
        relayed = relay.EventRelay(caller)
        rest = stream
        for size in sizes:
            relayed.feed(rest[:size], caller.begin)
            rest = rest[size:]
        relayed.feed(rest, caller.begin)
        self.assertEqual((caller.written, caller.begin_count), (stream, 1))
        self.assertEqual(
            (relayed.event_count, relayed.last_event_id, relayed.has_partial_event), (8, "8", False)
        )

    def test_a_stream_resumes_after_its_last_complete_event(self):
        """Guards against an event that joins the output of two upstreams."""
        self.feed(event(1) + event(2)[:9])
        self.assertTrue(self.relay.has_partial_event)
        self.assertEqual(self.relay.last_event_id, "1")
        self.relay.drop_partial()
        self.feed(event(2) + event(3))
        self.assertEqual(self.caller.written, event(1) + event(2) + event(3))
        self.assertEqual(self.caller.begin_count, 1)

    def test_data_without_an_end_of_event_fails_the_attempt(self):
        """Guards against unbounded buffering of a stream without an end of event."""
        with self.assertRaises(relay.MalformedStreamError):
            for _ in range(100):
                self.feed(b"x" * 10_000)
        self.assertEqual(self.caller.written, b"")


if __name__ == "__main__":
    unittest.main()
