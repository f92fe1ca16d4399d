"""Tests of the upstream directory under message loss, delay, duplication and reordering."""

import random
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from coltsfoothead.coordination.membership import directory, upstreams

FIELDS = {"kind": "model", "region": "r", "zone": "z", "address": "10.0.0.9:1", "slots": 1}
# Offset between the clocks of consecutive daemons.
SKEW_SECONDS = 1000.0


def upstream(sequence, state="serving", name="u"):
    return upstreams.Upstream(name, 1, sequence, state, **FIELDS)


class DirectoryTest(unittest.TestCase):
    def run_daemons(
        self, seed, loss_probability, max_delay_seconds, leave_at_seconds, duration_seconds, check
    ):
        rng = random.Random(seed)
        names = ["a", "b", "c"]
        skew = {name: SKEW_SECONDS * index for index, name in enumerate(names)}
        daemons = {name: directory.Directory(1, skew[name]) for name in names}
        for name in names:
            daemons[name].set_peers([peer for peer in names if peer != name])
        network, sequence = [], 0
        for step in range(int(duration_seconds * 20)):
            now = step / 20
            if step % 10 == 0:
                sequence += 1
                state = "serving" if now < leave_at_seconds else "leaving"
                # The leave is announced to one daemon; the others learn it or expire the record.
                announced_to = rng.choice(names) if state == "serving" else "a"
                daemons[announced_to].renew(upstream(sequence, state), now + skew[announced_to])
            for name, daemon in daemons.items():
                for peer, batch in daemon.outgoing(now + skew[name]):
                    for _ in range(rng.choice([1, 1, 2])):
                        if rng.random() >= loss_probability:
                            at = now + rng.choice([0, rng.uniform(0, max_delay_seconds)])
                            network.append((at, name, peer, upstreams.encode(batch)))
            due = [message for message in network if message[0] <= now]
            network = [message for message in network if message[0] > now]
            rng.shuffle(due)
            for _, sender, peer, data in due:
                daemons[peer].receive(sender, upstreams.decode(data), now + skew[peer])
            for name, daemon in daemons.items():
                check(now, name, daemon.routable(now + skew[name]))

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        seed=st.integers(0, 2**32),
        loss_probability=st.sampled_from([0.0, 0.5, 0.95]),
        max_delay_seconds=st.sampled_from([0.1, 3, 20]),
    )
    def test_leaving_is_routable_nowhere_after_the_expiry(
        self, seed, loss_probability, max_delay_seconds
    ):
        """Guards against routing to an upstream that announced its leave over 2 s ago."""

        def check(now, name, records):
            self.assertFalse(records and now >= 6.5 + 2, (now, name))

        # The first announcement in state leaving is at 6.5 s.
        self.run_daemons(seed, loss_probability, max_delay_seconds, 6.1, 30, check)

    def test_serving_is_routable_everywhere(self):
        """Guards against records that expire although they are renewed."""

        def check(now, name, records):
            self.assertTrue(records or now < 2, (now, name))

        self.run_daemons(1, 0.0, 0.05, 1e9, 20, check)

    def test_batches(self):
        """Guards against one message per renewal, and a leave that is delayed to the next batch."""
        view = directory.Directory(1, 0.0)
        view.set_peers(["b"])
        view.outgoing(0.0)
        for sequence in range(5):
            self.assertTrue(view.renew(upstream(sequence), 0.1))
        self.assertFalse(view.renew(upstream(4), 0.2))
        self.assertEqual(view.outgoing(0.2), [])
        self.assertEqual([len(batch.renewals) for _, batch in view.outgoing(0.25)], [1])
        self.assertTrue(view.renew(upstream(6, "leaving"), 0.3))
        ((_, batch),) = view.outgoing(0.3)
        self.assertEqual(batch.renewals, (upstreams.Renewal(upstream(6, "leaving"), 0.0),))
        self.assertEqual((view.routable(0.3), view.leaving(0.3)), ([], [upstream(6, "leaving")]))

    def test_repeated_announcement_and_other_incarnation(self):
        """Guards against extending a record by a repeated announcement or by an old echo."""
        view = directory.Directory(2, 0.0)
        view.renew(upstream(1), 0.0)
        view.renew(upstream(1), 1.9)
        self.assertEqual(view.routable(2.0), [])
        echo = upstreams.Stamp(1, 5.0)
        batch = upstreams.Batch(
            upstreams.Stamp(1, 0.0), echo, 0.0, (upstreams.Renewal(upstream(2), 0),)
        )
        self.assertEqual(view.receive("b", batch, 5.0), [upstream(2)])
        self.assertEqual(view.routable(5.0), [])

    def test_fields_are_checked(self):
        """Guards against accepting records with invalid fields, which no policy can handle."""
        valid = msgspec.to_builtins(upstream(1))
        for invalid in ({"kind": "x"}, {"slots": 0}, {"sequence": -1}, {"kind": "service"}):
            with self.assertRaises(msgspec.ValidationError):
                msgspec.convert(valid | invalid, upstreams.Upstream)


if __name__ == "__main__":
    unittest.main()
