"""Request replication over a network that loses, duplicates and reorders."""

import dataclasses
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from coltsfoothead.coordination.guard import batcher, guardian, messages, owner, placement

LENGTH = 40


@dataclasses.dataclass(frozen=True)
class Site:
    id: str
    region: str
    zone: str


class Upstream:
    """Produces numbered chunks; a chunk names its attempt, since two runs differ in text."""

    def __init__(self, request, run):
        self.attempt = request.start_attempt()
        self.position = request.tokens
        self.run = run

    def step(self, request):
        if self.position < LENGTH:
            data = f"{self.position}/{self.run}".encode()
            if request.append(self.attempt, messages.Chunk(data, 1)):
                self.position += 1
        else:
            request.finish(self.attempt, b"stop")


class Run:
    """Owner a, its guards and later owner b, with a reader at each owner."""

    def __init__(self, seed, loss):
        self.random = random.Random(seed)
        self.loss = loss
        self.now = 0.0
        self.guards = {name: guardian.Guardian(1) for name in "bcd"}
        self.owners = {"a": owner.OwnerRequest("r", 1, b"d", owner.Guard("b", 1))}
        self.upstreams = [("a", Upstream(self.owners["a"], 0))]
        self.got = {}
        self.network = []

    def post(self, sender, target, message):
        for _ in range(self.random.choice([1, 1, 2])):
            if self.random.random() >= self.loss:
                self.network.append((sender, target, messages.Batch((message,))))

    def step(self):
        self.now += self.random.choice([0.01, 0.1, 0.3])
        for name, upstream in self.upstreams:
            if self.random.random() < 0.6:
                upstream.step(self.owners[name])
        for name, request in self.owners.items():
            for message in request.outgoing(self.now):
                self.post(name, request._guard.member_id, message)
            got = self.got.setdefault(name, [])
            if name == "a" or self.random.random() < 0.5:
                got += request.deliverable(self.start(name) + len(got))
        self.random.shuffle(self.network)
        for _ in range(self.random.randint(0, len(self.network))):
            sender, target, batch = self.network.pop()
            for message in messages.decode(messages.encode(batch)).messages:
                self.receive(sender, target, message)

    def receive(self, sender, target, message):
        if isinstance(message, messages.Acknowledge | messages.Refuse):
            if target in self.owners:
                self.owners[target].receive(sender, message)
        else:
            answer = self.guards[target].receive(sender, message, self.now)
            self.post(target, sender, answer)

    def start(self, name):
        """Returns the offset of the caller's first chunk from that owner."""
        return 0 if name == "a" else self.resumed_at

    def second_attempt(self):
        request = self.owners["a"]
        if request.result is None and request._result is None:
            self.upstreams.append(("a", Upstream(request, len(self.upstreams))))

    def take_over(self, by):
        """The caller of the cut-off owner a comes back to the new owner."""
        held = self.guards[by].take_over("r", 2, self.now)
        new = owner.OwnerRequest("r", 2, held.description, owner.Guard("d", 1), held)
        self.owners[by] = new
        if held.result is None:
            self.upstreams.append((by, Upstream(new, len(self.upstreams))))

    def run_until(self, condition):
        for _ in range(5000):
            if condition():
                return
            self.step()
        raise AssertionError("no progress")


class GuardTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(
        seed=st.integers(0, 2**32),
        loss=st.sampled_from([0.0, 0.3, 0.7]),
        replaced=st.booleans(),
        steps=st.tuples(*[st.integers(0, 60)] * 3),
    )
    def test_caller_gets_one_consistent_answer(self, seed, loss, replaced, steps):
        """Guards against gaps, repeats and mixed runs in what a caller gets from two owners."""
        run = Run(seed, loss)
        run.run_until(lambda: run.owners["a"].accepted)
        for _ in range(steps[0]):
            run.step()
        run.second_attempt()
        for _ in range(steps[1]):
            run.step()
        by = "b"
        if replaced:
            by = "c"
            run.owners["a"].change_guard(owner.Guard("c", 1))
            run.run_until(lambda: run.owners["a"].accepted)
        # The old owner is not told; it goes on and delivers what its guard acknowledges.
        held = run.guards[by].held("r")
        run.take_over(by)
        run.resumed_at = 10**9
        for _ in range(steps[2]):
            run.step()
        run.resumed_at = len(run.got.get("a", []))
        run.got[by] = []
        frozen = list(run.got["a"])
        run.run_until(lambda: run.owners[by].result is not None)
        run.run_until(lambda: run.resumed_at + len(run.got[by]) >= LENGTH)
        self.assertEqual(run.got["a"][: len(frozen)], frozen)
        whole = frozen + run.got[by]
        self.assertEqual(whole, run.owners[by].deliverable(0))
        positions = [int(chunk.data.split(b"/")[0]) for chunk in whole]
        self.assertEqual(positions, list(range(LENGTH)))
        self.assertLessEqual(len(frozen), len(held.chunks))
        self.assertEqual(run.guards["d"].held("r").chunks, tuple(whole))

    def test_old_owner_is_fenced(self):
        """Guards against an old owner that delivers after a take-over, and a restarted guard."""
        guard = guardian.Guardian(1)
        request = owner.OwnerRequest("r", 1, b"d", owner.Guard("g", 1))
        attempt = request.start_attempt()
        (copy,) = request.outgoing(0.0)
        request.receive("g", guard.receive("a", copy, 0.0))
        guard.take_over("r", 2, 0.0)
        request.append(attempt, messages.Chunk(b"x", 1))
        (append,) = request.outgoing(0.0)
        for message in (append, copy):
            request.receive("g", guard.receive("a", message, 0.0))
            self.assertEqual((request.refusal, request.deliverable(0)), ("superseded", []))
        answer = guardian.Guardian(2).receive("a", copy, 0.0)
        self.assertEqual(answer.reason, "restarted")
        with self.assertRaises(guardian.CopyUnknownError):
            guard.take_over("other", 2, 0.0)

    def test_late_chunks_and_change_of_guard(self):
        """Guards against chunks of an old attempt, and delivery before the new guard has a copy."""
        request = owner.OwnerRequest("r", 1, b"d", owner.Guard("g", 1))
        first, second = request.start_attempt(), request.start_attempt()
        self.assertFalse(request.append(first, messages.Chunk(b"old", 1)))
        self.assertTrue(request.append(second, messages.Chunk(b"new", 3)))
        self.assertFalse(request.finish(first, b"stop"))
        (copy,) = request.outgoing(0.0)
        acknowledge = guardian.Guardian(1).receive("a", copy, 0.0)
        request.receive("g", acknowledge)
        self.assertEqual((len(request.deliverable(0)), request.tokens), (1, 3))
        request.change_guard(owner.Guard("h", 1))
        request.receive("g", acknowledge)
        self.assertEqual(request.deliverable(0), [])
        request.change_guard(owner.Guard("g", 2))
        request.receive("g", acknowledge)
        self.assertEqual((request.accepted, request.deliverable(0)), (False, []))
        alone = owner.OwnerRequest("r", 1, b"d", None)
        alone.append(alone.start_attempt(), messages.Chunk(b"x", 1))
        self.assertEqual((alone.accepted, len(alone.deliverable(0))), (True, 1))

    def test_finished_answers_are_bounded(self):
        """Guards against finished answers kept for ever or beyond the byte bound."""
        guard = guardian.Guardian(1, guardian.Settings(finished_bytes=100))

        def finish(name, now):
            chunk = messages.Chunk(bytes(40), 1)
            guard.receive("a", messages.Copy(name, 1, 1, b"", (chunk,), b"stop", 1, 1), now)

        for number in range(4):
            finish(f"r{number}", float(number))
        self.assertEqual(
            [guard.held(f"r{n}") is not None for n in range(4)], [False, False, True, True]
        )
        finish("r9", 602.5)
        self.assertEqual([guard.held(name) is not None for name in ("r2", "r3")], [False, True])

    def test_batcher(self):
        """Guards against more than one batch per guard and interval."""
        queue = batcher.Batcher(interval_seconds=1 / 64)
        sent = []
        for step in range(100):
            queue.add("g", messages.Acknowledge("r", 1, step, False, 1))
            sent += queue.due(step / 1024)
        self.assertEqual(len(sent), 7)
        self.assertEqual(queue.wake_at, 112 / 1024)
        sent += queue.due(112 / 1024)
        offsets = [message.offset for _, batch in sent for message in batch.messages]
        self.assertEqual(offsets, list(range(100)))

    def test_placement(self):
        """Guards against a guard in the owner's zone or a choice that moves without need."""
        sites = [Site(f"m{n}", "r1" if n < 6 else "r2", f"z{n % 3}") for n in range(9)]
        for number in range(200):
            chosen = placement.choose_guard(f"q{number}", sites, sites[0])
            self.assertTrue(chosen.region == "r1" and chosen.zone != "z0")
            ranked = placement.rank(f"q{number}", sites)
            rest = [site for site in sites if site != ranked[4]]
            self.assertEqual(
                placement.rank(f"q{number}", rest), [site for site in ranked if site != ranked[4]]
            )
        self.assertEqual(placement.choose_guard("q", [sites[0], sites[7]], sites[0]), sites[7])
        self.assertIsNone(placement.choose_guard("q", [sites[0], sites[3]], sites[0]))


if __name__ == "__main__":
    unittest.main()
