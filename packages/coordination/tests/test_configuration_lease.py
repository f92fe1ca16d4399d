"""Tests of the configuration lease and of the tree along which it travels."""

import unittest

import machine_builders as builders
import msgspec

from coltsfoothead.coordination.configuration import delta, documents, lease, tree

DRIFT = 0.1
NODES = 4
KINDS = ["round", "change"] + ["poll", "request", "answer"] * 3
WAITS = [0.0, 0.01, 0.1, 0.4]


def document(version):
    content = f"version = {version}\nsame line in all versions\n".encode()
    return documents.Document(version, delta.digest(content), content)


class LeaseTest(unittest.TestCase):
    @builders.schedules(400)
    def test_no_child_outlives_the_leader(self, random):
        """Guards against a daemon that serves on a replaced document after the lease ended."""
        source, held = lease.LeaseSource(), documents.Documents(2)
        held.add(document(1))
        clients = [lease.LeaseClient(DRIFT) for _ in range(NODES)]
        rates = [random.choice((1 - DRIFT, 1.0, 1 + DRIFT)) for _ in range(NODES + 1)]
        requests, answers, now, committed = [], [], 0.0, [(0.0, 1)]
        for _ in range(150):
            kind, node, parent = (
                random.choice(KINDS),
                random.randrange(NODES),
                random.randrange(NODES),
            )
            # Members disagree about their parents; the leader is -1.
            parent = random.choice((parent, -1))
            now += random.choice(WAITS)
            clocks = [now * rate for rate in rates]
            before = [client.document.version for client in clients]
            if kind == "round":
                source.confirmed(clocks[-1])
            elif kind == "change":
                held.add(document(len(committed) + 1))
                committed.append((now, len(committed) + 1))
            elif kind == "poll" and node != parent:
                requests.append((node, parent, clients[node].poll(clocks[node])))
            elif kind == "request" and requests:
                node, parent, request = random.choice(requests)
                giver = clients[parent] if parent >= 0 else source
                store = giver.store if parent >= 0 else held
                answer = lease.answer(request, giver.remaining(clocks[parent]), store)
                answers.append((node, answer))
            elif kind == "answer" and answers:
                node, answer = random.choice(answers[-6:])
                encoded = msgspec.msgpack.encode(answer)
                clients[node].receive(msgspec.msgpack.decode(encoded, type=lease.PollAnswer))
                if random.random() < 0.7:
                    answers.remove((node, answer))
            bound = now - lease.LEASE_SECONDS / (1 - DRIFT)
            needed = max((version for at, version in committed if at < bound), default=0)
            for client, clock, version in zip(clients, clocks, before, strict=False):
                self.assertGreaterEqual(client.document.version, version)
                if client.valid(clock):
                    self.assertTrue(source.valid(clocks[-1]))
                    self.assertGreaterEqual(client.document.version, needed)

    def test_a_child_counts_from_its_question(self):
        """Guards against counting a delayed answer from its arrival."""
        source, held = lease.LeaseSource(), documents.Documents(2)
        held.add(document(1))
        source.confirmed(100.0)
        client = lease.LeaseClient(0.0)
        request = client.poll(5.0)
        answer = lease.answer(request, source.remaining(101.0), held)
        self.assertTrue(client.receive(answer))
        self.assertFalse(client.receive(answer))
        self.assertTrue(client.valid(6.9))
        self.assertFalse(client.valid(7.0))

    def test_a_failed_delta_leads_to_the_whole_document(self):
        """Guards against a lease on a damaged document, and against asking for it for ever."""
        client = lease.LeaseClient()
        client.receive(lease.PollAnswer(client.poll(0.0).poll_id, 0.0, documents.Full(document(1))))
        bad = documents.Delta(1, 2, document(2).digest, (b"damaged",))
        self.assertFalse(client.receive(lease.PollAnswer(client.poll(0.0).poll_id, 3.0, bad)))
        self.assertFalse(client.valid(0.1))
        self.assertEqual(client.document, document(1))
        request = client.poll(0.2)
        self.assertEqual(request.have_version, 0)
        forked = document(2)
        forked = documents.Document(1, forked.digest, forked.content)
        client.receive(lease.PollAnswer(client.poll(0.2).poll_id, 3.0, documents.Full(forked)))
        self.assertFalse(client.valid(0.3))
        whole = documents.Full(document(2))
        self.assertTrue(client.receive(lease.PollAnswer(request.poll_id, 3.0, whole)))
        self.assertTrue(client.valid(0.3))


class TreeTest(unittest.TestCase):
    def test_every_member_reaches_the_leader_in_few_steps(self):
        """Guards against members outside the tree, and against deep or overloaded trees."""
        members = [
            tree.Member(f"m{number:04}", f"r{number % 5}", f"z{number % 17}", number < 5)
            for number in range(1200)
        ]
        choices = {member.name: tree.parents(member.name, members, "m0003") for member in members}
        self.assertEqual(choices["m0003"], [])
        children = {}
        for name, candidates in choices.items():
            if candidates:
                children[candidates[0]] = children.get(candidates[0], 0) + 1
                self.assertLessEqual(candidates.index("m0003"), 3)
                self.assertTrue({f"m000{n}" for n in range(5)} - {name} <= set(candidates))
        self.assertEqual(max(children.values()), tree.DEFAULT_ARITY)
        self.assertEqual(tree.parents("stranger", members, "m0003"), [])

    def test_a_silent_parent_is_passed_over_for_a_while(self):
        """Guards against a child whose lease ends because its parent died."""
        choice = tree.ParentChoice()
        self.assertEqual(choice.choose(["p", "q"], 0.0), "p")
        choice.unanswered("p", 1.0)
        self.assertEqual(choice.choose(["p", "q"], 1.0), "q")
        choice.unanswered("q", 1.5)
        self.assertEqual(choice.choose(["p", "q"], 2.0), "p")
        choice.answered("q")
        self.assertEqual(choice.choose(["p", "q"], 2.0), "q")
        self.assertEqual(choice.choose(["p", "q"], 4.0), "p")
        self.assertIsNone(choice.choose([], 0.0))
