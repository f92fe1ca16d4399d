"""Tests of request replication over a network that loses, duplicates and reorders messages."""

import dataclasses
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from coltsfoothead.coordination.guard import batcher, guardian, messages, owner, placement

CHUNK_COUNT = 40


@dataclasses.dataclass(frozen=True)
class Member:
    id: str
    region: str
    zone: str


class Upstream:
    """Produces numbered chunks marked with their run, as two runs generate different text."""

    def __init__(self, request, run_number):
        self.attempt = request.start_attempt()
        self.position = request.token_count
        self.run_number = run_number

    def step(self, request):
        if self.position < CHUNK_COUNT:
            data = f"{self.position}/{self.run_number}".encode()
            if request.append(self.attempt, messages.Chunk(data, 1)):
                self.position += 1
        else:
            request.finish(self.attempt, b"stop")


class Simulation:
    """Owner a, its guards, and the owner after a take-over, with one caller at each owner."""

    def __init__(self, seed, loss_rate):
        self.random = random.Random(seed)
        self.loss_rate = loss_rate
        self.now = 0.0
        self.guards = {name: guardian.CopyStore(1) for name in "bcd"}
        self.owners = {"a": owner.OwnerRequest("r", 1, b"d", owner.Guard("b", 1))}
        self.upstreams = [("a", Upstream(self.owners["a"], 0))]
        self.delivered = {}
        self.network = []

    def send(self, sender, target, message):
        for _ in range(self.random.choice([1, 1, 2])):
            if self.random.random() >= self.loss_rate:
                self.network.append((sender, target, messages.Batch((message,))))

    def step(self):
        self.now += self.random.choice([0.01, 0.1, 0.3])
        for name, upstream in self.upstreams:
            if self.random.random() < 0.6:
                upstream.step(self.owners[name])
        for name, request in self.owners.items():
            for message in request.outgoing(self.now):
                self.send(name, request._guard.member_id, message)
            delivered = self.delivered.setdefault(name, [])
            if name == "a" or self.random.random() < 0.5:
                delivered += request.deliverable(self.first_offset(name) + len(delivered))
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
            self.send(target, sender, answer)

    def first_offset(self, name):
        """Returns the offset of the caller's first chunk from that owner."""
        return 0 if name == "a" else self.resumed_at

    def second_attempt(self):
        request = self.owners["a"]
        if request.result is None and request._result is None:
            self.upstreams.append(("a", Upstream(request, len(self.upstreams))))

    def take_over(self, new_owner):
        """Makes a guard the owner; the caller of the partitioned owner a reconnects to it."""
        held = self.guards[new_owner].take_over("r", 2, self.now)
        new = owner.OwnerRequest("r", 2, held.description, owner.Guard("d", 1), held)
        self.owners[new_owner] = new
        if held.result is None:
            self.upstreams.append((new_owner, Upstream(new, len(self.upstreams))))

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
        loss_rate=st.sampled_from([0.0, 0.3, 0.7]),
        replaced=st.booleans(),
        steps=st.tuples(*[st.integers(0, 60)] * 3),
    )
    def test_caller_gets_one_consistent_answer(self, seed, loss_rate, replaced, steps):
        """Guards against gaps, repeats and mixed runs in an answer that two owners deliver."""
        simulation = Simulation(seed, loss_rate)
        simulation.run_until(lambda: simulation.owners["a"].accepted)
        for _ in range(steps[0]):
            simulation.step()
        simulation.second_attempt()
        for _ in range(steps[1]):
            simulation.step()
        new_owner = "b"
        if replaced:
            new_owner = "c"
            simulation.owners["a"].change_guard(owner.Guard("c", 1))
            simulation.run_until(lambda: simulation.owners["a"].accepted)
        # The old owner does not learn of the take-over and still delivers acknowledged chunks.
        held = simulation.guards[new_owner].find_copy("r")
        simulation.take_over(new_owner)
        simulation.resumed_at = 10**9
        for _ in range(steps[2]):
            simulation.step()
        simulation.resumed_at = len(simulation.delivered.get("a", []))
        simulation.delivered[new_owner] = []
        delivered_before = list(simulation.delivered["a"])
        simulation.run_until(lambda: simulation.owners[new_owner].result is not None)
        simulation.run_until(
            lambda: simulation.resumed_at + len(simulation.delivered[new_owner]) >= CHUNK_COUNT
        )
        self.assertEqual(simulation.delivered["a"][: len(delivered_before)], delivered_before)
        full_answer = delivered_before + simulation.delivered[new_owner]
        self.assertEqual(full_answer, simulation.owners[new_owner].deliverable(0))
        positions = [int(chunk.data.split(b"/")[0]) for chunk in full_answer]
        self.assertEqual(positions, list(range(CHUNK_COUNT)))
        self.assertLessEqual(len(delivered_before), len(held.chunks))
        self.assertEqual(simulation.guards["d"].find_copy("r").chunks, tuple(full_answer))

    def test_old_owner_is_fenced(self):
        """Guards against delivery by a fenced owner, and old copies in a restarted guard."""
        guard = guardian.CopyStore(1)
        request = owner.OwnerRequest("r", 1, b"d", owner.Guard("g", 1))
        attempt = request.start_attempt()
        (copy,) = request.outgoing(0.0)
        request.receive("g", guard.receive("a", copy, 0.0))
        guard.take_over("r", 2, 0.0)
        request.append(attempt, messages.Chunk(b"x", 1))
        (append,) = request.outgoing(0.0)
        for message in (append, copy):
            request.receive("g", guard.receive("a", message, 0.0))
            self.assertEqual((request.refusal_reason, request.deliverable(0)), ("superseded", []))
        answer = guardian.CopyStore(2).receive("a", copy, 0.0)
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
        acknowledge = guardian.CopyStore(1).receive("a", copy, 0.0)
        request.receive("g", acknowledge)
        self.assertEqual((len(request.deliverable(0)), request.token_count), (1, 3))
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
        """Guards against finished answers that are kept for ever or beyond the size limit."""
        guard = guardian.CopyStore(1, guardian.Settings(finished_limit_bytes=100))

        def finish(name, now):
            chunk = messages.Chunk(bytes(40), 1)
            guard.receive("a", messages.Copy(name, 1, 1, b"", (chunk,), b"stop", 1, 1), now)

        for number in range(4):
            finish(f"r{number}", float(number))
        self.assertEqual(
            [guard.find_copy(f"r{n}") is not None for n in range(4)], [False, False, True, True]
        )
        finish("r9", 602.5)
        self.assertEqual(
            [guard.find_copy(name) is not None for name in ("r2", "r3")], [False, True]
        )

    def test_batcher(self):
        """Guards against more than one batch per guard and interval."""
        queue = batcher.Batcher(interval_seconds=1 / 64)
        sent = []
        for step in range(100):
            queue.add("g", messages.Acknowledge("r", 1, step, False, 1))
            sent += queue.take_due(step / 1024)
        self.assertEqual(len(sent), 7)
        self.assertEqual(queue.wake_at, 112 / 1024)
        sent += queue.take_due(112 / 1024)
        offsets = [message.offset for _, batch in sent for message in batch.messages]
        self.assertEqual(offsets, list(range(100)))

    def test_placement(self):
        """Guards against a guard in the owner's zone, and a ranking that a lost member reorders."""
        members = [Member(f"m{n}", "r1" if n < 6 else "r2", f"z{n % 3}") for n in range(9)]
        for number in range(200):
            chosen = placement.choose_guard(f"q{number}", members, members[0])
            self.assertTrue(chosen.region == "r1" and chosen.zone != "z0")
            ranked = placement.rank_members(f"q{number}", members)
            remaining = [member for member in members if member != ranked[4]]
            self.assertEqual(
                placement.rank_members(f"q{number}", remaining),
                [member for member in ranked if member != ranked[4]],
            )
        self.assertEqual(
            placement.choose_guard("q", [members[0], members[7]], members[0]), members[7]
        )
        self.assertIsNone(placement.choose_guard("q", [members[0], members[3]], members[0]))


if __name__ == "__main__":
    unittest.main()
