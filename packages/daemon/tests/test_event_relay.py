"""Tests of the relay of events across upstreams that break off."""

import unittest

import hypothesis
from hypothesis import strategies as st

from coltsfoothead.daemon.gateway import relay


class Caller:
    """Takes what the relay writes."""

    def __init__(self):
        self.written = b""
        self.begun = 0

    def write_soon(self, data):
        self.written += data
        return True

    def begin(self):
        self.begun += 1


def event(number):
    """Returns an event of a stream."""
    return f"id: {number}\ndata: token {number}\n\n".encode()


class EventRelayTest(unittest.TestCase):
    def setUp(self):
        self.caller = Caller()
        self.relay = relay.EventRelay(self.caller)

    def feed(self, data):
        self.relay.feed(data, self.caller.begin)

    @hypothesis.settings(derandomize=True, max_examples=100, deadline=None, database=None)
    @hypothesis.given(st.lists(st.integers(1, 40), max_size=30))
    def test_any_cut_gives_the_same_events(self, cuts):
        """Guards against events that are lost or doubled where reads end."""
        stream = b"".join(map(event, range(1, 9)))
        caller = Caller()
        relayed = relay.EventRelay(caller)
        rest = stream
        for cut in cuts:
            relayed.feed(rest[:cut], caller.begin)
            rest = rest[cut:]
        relayed.feed(rest, caller.begin)
        self.assertEqual((caller.written, caller.begun), (stream, 1))
        self.assertEqual((relayed.count, relayed.last_id, relayed.partial), (8, "8", False))

    def test_a_stream_goes_on_after_its_last_whole_event(self):
        """Guards against pieces of two runs joined within an event."""
        self.feed(event(1) + event(2)[:9])
        self.assertTrue(self.relay.partial)
        self.assertEqual(self.relay.last_id, "1")
        self.relay.drop_partial()
        self.feed(event(2) + event(3))
        self.assertEqual(self.caller.written, event(1) + event(2) + event(3))
        self.assertEqual(self.caller.begun, 1)

    def test_bytes_that_are_no_events_end_the_attempt(self):
        """Guards against memory that grows with a stream without an end of event."""
        with self.assertRaises(relay.MalformedStreamError):
            for _ in range(100):
                self.feed(b"x" * 10_000)
        self.assertEqual(self.caller.written, b"")


if __name__ == "__main__":
    unittest.main()
