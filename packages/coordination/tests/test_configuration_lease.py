"""Tests of the configuration lease and of its distribution tree."""

import unittest

import machine_builders as builders
import msgspec

from coltsfoothead.coordination.configuration import delta, documents, lease, tree

DRIFT = 0.1
CHILD_COUNT = 4
STEP_KINDS = ["round", "change"] + ["poll", "request", "answer"] * 3
STEP_SECONDS = [0.0, 0.01, 0.1, 0.4]


def document(version):
    content = f"version = {version}\nsame line in all versions\n".encode()
    return documents.Document(version, delta.digest(content), content)


class LeaseTest(unittest.TestCase):
    @builders.schedules(400)
    def test_no_child_lease_outlives_that_of_the_leader(self, random):
        """Guards against a daemon that uses a document for too long after it was replaced."""
        leader_lease, history = lease.LeaderLease(), documents.DocumentHistory(2)
        history.add(document(1))
        clients = [lease.LeaseClient(DRIFT) for _ in range(CHILD_COUNT)]
        rates = [random.choice((1 - DRIFT, 1.0, 1 + DRIFT)) for _ in range(CHILD_COUNT + 1)]
        requests, answers, now, committed = [], [], 0.0, [(0.0, 1)]
        for _ in range(150):
            kind, node, parent = (
                random.choice(STEP_KINDS),
                random.randrange(CHILD_COUNT),
                random.randrange(CHILD_COUNT),
            )
            # Any member may be polled, since views of the tree differ; the leader is -1.
            parent = random.choice((parent, -1))
            now += random.choice(STEP_SECONDS)
            clocks = [now * rate for rate in rates]
            before = [client.document.version for client in clients]
            if kind == "round":
                leader_lease.extend(clocks[-1])
            elif kind == "change":
                history.add(document(len(committed) + 1))
                committed.append((now, len(committed) + 1))
            elif kind == "poll" and node != parent:
                requests.append((node, parent, clients[node].poll(clocks[node])))
            elif kind == "request" and requests:
                node, parent, request = random.choice(requests)
                parent_lease = clients[parent] if parent >= 0 else leader_lease
                parent_history = parent_lease.history if parent >= 0 else history
                answer = lease.answer_poll(
                    request, parent_lease.remaining(clocks[parent]), parent_history
                )
                answers.append((node, answer))
            elif kind == "answer" and answers:
                node, answer = random.choice(answers[-6:])
                encoded = msgspec.msgpack.encode(answer)
                clients[node].receive(msgspec.msgpack.decode(encoded, type=lease.PollAnswer))
                if random.random() < 0.7:
                    answers.remove((node, answer))
            latest_commit_time = now - lease.LEASE_SECONDS / (1 - DRIFT)
            required_version = max(
                (version for at, version in committed if at < latest_commit_time), default=0
            )
            for client, clock, version in zip(clients, clocks, before, strict=False):
                self.assertGreaterEqual(client.document.version, version)
                if client.valid(clock):
                    self.assertTrue(leader_lease.valid(clocks[-1]))
                    self.assertGreaterEqual(client.document.version, required_version)

    def test_a_child_counts_from_its_poll(self):
        """Guards against counting the lease of a delayed answer from its arrival."""
        leader_lease, history = lease.LeaderLease(), documents.DocumentHistory(2)
        history.add(document(1))
        leader_lease.extend(100.0)
        client = lease.LeaseClient(0.0)
        request = client.poll(5.0)
        answer = lease.answer_poll(request, leader_lease.remaining(101.0), history)
        self.assertTrue(client.receive(answer))
        self.assertFalse(client.receive(answer))
        self.assertTrue(client.valid(6.9))
        self.assertFalse(client.valid(7.0))

    def test_a_failed_delta_leads_to_a_request_for_the_full_document(self):
        """Guards against a lease on a corrupt document, and against requesting it for ever."""
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
        full = documents.Full(document(2))
        self.assertTrue(client.receive(lease.PollAnswer(request.poll_id, 3.0, full)))
        self.assertTrue(client.valid(0.3))


class TreeTest(unittest.TestCase):
    def test_every_member_reaches_the_leader_in_few_hops(self):
        """Guards against members missing from the tree, and against too many hops or children."""
        members = [
            tree.Member(f"m{number:04}", f"r{number % 5}", f"z{number % 17}", number < 5)
            for number in range(1200)
        ]
        choices = {
            member.name: tree.parent_candidates(member.name, members, "m0003") for member in members
        }
        self.assertEqual(choices["m0003"], [])
        children = {}
        for name, candidates in choices.items():
            if candidates:
                children[candidates[0]] = children.get(candidates[0], 0) + 1
                self.assertLessEqual(candidates.index("m0003"), 3)
                self.assertTrue({f"m000{n}" for n in range(5)} - {name} <= set(candidates))
        self.assertEqual(max(children.values()), tree.DEFAULT_ARITY)
        self.assertEqual(tree.parent_candidates("stranger", members, "m0003"), [])

    def test_a_failed_parent_is_skipped_for_a_while(self):
        """Guards against a child whose lease ends because its parent failed."""
        selector = tree.ParentSelector()
        self.assertEqual(selector.choose(["p", "q"], 0.0), "p")
        selector.record_failure("p", 1.0)
        self.assertEqual(selector.choose(["p", "q"], 1.0), "q")
        selector.record_failure("q", 1.5)
        self.assertEqual(selector.choose(["p", "q"], 2.0), "p")
        selector.record_success("q")
        self.assertEqual(selector.choose(["p", "q"], 2.0), "q")
        self.assertEqual(selector.choose(["p", "q"], 4.0), "p")
        self.assertIsNone(selector.choose([], 0.0))
