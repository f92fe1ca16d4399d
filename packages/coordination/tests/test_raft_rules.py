"""Tests of single rules of the Raft state machine, and of the message encoding."""

import random
import unittest
import zlib

import raft_simulation

from coltsfoothead.coordination.replication import errors, membership, messages
from coltsfoothead.coordination.replication.state import Role
from coltsfoothead.coordination.storage import schema


class SafetyRuleTest(unittest.TestCase):
    """Single rules of the protocol that random schedules rarely cover."""

    def setUp(self):
        self.simulation = raft_simulation.Simulation(20)
        self.node = self.simulation.nodes["n1"]
        self.state = self.node.replica.state

    def step(self, sender, body):
        """Delivers one message; returns the bodies of the messages sent and all effects."""
        envelope = messages.Envelope("cluster", sender, 1, 1, 1000, body)
        work = self.node.replica.step(envelope, self.simulation.clock(self.node))
        self.simulation.execute_effects(self.node, work)
        return [message.body for _, message in work.messages], work

    def append(self, sender, term, previous, entries, commit=0):
        request = messages.AppendRequest(term, *previous, entries, commit, 1)
        return self.step(sender, request)

    def win_election(self, term):
        """Makes n1 leader of `term`, which must be higher than its current one."""
        self.simulation.now += 2
        self.step("n2", messages.VoteResponse(term - 1, False))
        self.simulation.now += 2
        self.simulation.call(self.node, "tick")
        self.assertIs(self.state.role, Role.PRE_CANDIDATE)
        self.step("n2", messages.PreVoteResponse(term - 1, term, True))
        self.step("n2", messages.VoteResponse(term, True))
        self.assertIs(self.state.role, Role.LEADER)

    def test_vote_in_a_known_term_is_synced(self):
        """Guards against a vote that is not synced because the term did not change with it."""
        self.simulation.now += 2
        _, work = self.step("n2", messages.VoteResponse(9, False))
        self.assertEqual(work.hard_state, schema.HardState(9, ""))
        answers, work = self.step("n2", messages.VoteRequest(9, 50, 8, False))
        self.assertTrue(answers[0].granted)
        self.assertEqual(work.hard_state, schema.HardState(9, "n2"))

    def test_entry_of_an_earlier_term_is_not_committed_by_counting(self):
        """Guards against committing an entry that a later leader may still replace."""
        self.append("n2", 2, (1, 1), (schema.Entry(2, 2, 0, b""),))
        self.win_election(4)
        self.step("n2", messages.AppendResponse(4, True, 2, 1))
        self.assertEqual(self.state.commit_index, 0)
        self.step("n2", messages.AppendResponse(4, True, 3, 1))
        self.assertEqual(self.state.commit_index, 3)

    def test_only_confirmed_entries_are_committed(self):
        """Guards against committing an entry that the leader's message did not cover."""
        self.append("n2", 2, (1, 1), (schema.Entry(2, 2, 0, b""), schema.Entry(3, 2, 0, b"")))
        self.append("n3", 3, (2, 2), (), commit=3)
        self.assertEqual(self.state.commit_index, 2)

    def test_candidates_are_ignored_while_a_leader_lives(self):
        """Guards against an election although a majority still has contact with a leader."""
        self.simulation.now += 2
        self.append("n2", 2, (1, 1), ())
        answers, _ = self.step("n3", messages.PreVoteRequest(5, 50, 5))
        self.assertFalse(answers[0].granted)
        answers, _ = self.step("n3", messages.VoteRequest(6, 50, 5, False))
        self.assertEqual((answers, self.state.term), ([], 2))

    def test_restarted_voter_waits_before_it_votes(self):
        """Guards against a vote that cuts short a lease confirmed just before the restart."""
        answers, _ = self.step("n3", messages.VoteRequest(6, 50, 5, False))
        self.assertEqual((answers, self.state.term), ([], 1))

    def test_no_change_before_the_first_commit_of_a_term(self):
        """Guards against changes by two leaders whose majorities have no common voter.

        This is the known fault of single-server membership changes.
        """
        self.win_election(4)
        self.state.commit_index = 1
        with self.assertRaises(errors.MembershipChangeError):
            self.node.replica.remove("n3", self.simulation.clock(self.node))

    def test_replaced_membership_is_undone(self):
        """Guards against keeping the voters of an uncommitted change whose entry was replaced."""
        change = membership.encode({"n2": schema.Member("addr", "z", True)})
        self.append("n2", 2, (1, 1), (schema.Entry(2, 2, 2, change),))
        self.assertEqual(self.state.voters, {"n2"})
        self.append("n3", 3, (1, 1), (schema.Entry(2, 3, 0, b""),))
        self.assertEqual(self.state.voters, {"n1", "n2", "n3"})

    def test_barrier_needs_a_round_that_began_after_it(self):
        """Guards against confirming a read by a response to a round that began before the read."""
        self.win_election(4)
        self.step("n2", messages.AppendResponse(4, True, 2, 0))
        earlier = self.state.heartbeat_round
        read = self.simulation.call(self.node, "barrier")
        _, work = self.step("n2", messages.AppendResponse(4, True, 2, earlier))
        self.assertEqual(work.reads, ())
        _, work = self.step("n2", messages.AppendResponse(4, True, 2, earlier + 1))
        self.assertEqual(work.reads, (read,))

    def test_snapshot_brings_its_members(self):
        """Guards against older members after a snapshot is installed, and after a restart."""
        members = {"n1": schema.Member("1", "z", True), "n9": schema.Member("9", "z", True)}
        data = self.node.machine.snapshot()
        checksum = zlib.crc32(data)
        request = messages.SnapshotRequest(2, 40, 2, members, 0, len(data), checksum, data, 1)
        self.step("n9", request)
        self.assertEqual(self.state.members, members)
        self.simulation.crash("n1")
        self.simulation.start("n1")
        self.assertEqual(self.node.replica.state.members, members)
        self.assertEqual(self.node.replica.state.log.last_index, 40)

    def test_leader_skips_a_conflicting_term_at_once(self):
        """Guards against backtracking one entry at a time."""
        entries = tuple(schema.Entry(i, 2, 0, b"") for i in range(2, 100))
        self.append("n2", 2, (1, 1), entries)
        self.win_election(4)
        answers, _ = self.step("n2", messages.AppendResponse(4, False, 0, 1, 50, 3))
        self.assertEqual(answers[0].previous_index, 49)
        answers, _ = self.step("n2", messages.AppendResponse(4, False, 0, 1, 10, 1))
        self.assertEqual(answers[0].previous_index, 1)


class EncodingTest(unittest.TestCase):
    def test_round_trip(self):
        """Guards against a message that cannot be decoded, and invalid bytes that can."""
        rng = random.Random(1)
        entry = schema.Entry(3, 2, 1, rng.randbytes(20))
        for body in (
            messages.AppendRequest(2, 2, 1, (entry,), 1, 7),
            messages.Refused(schema.PeerRecord(1, 2, 3)),
            messages.SnapshotRequest(
                1, 2, 1, {"a": schema.Member("x", "z", True)}, 0, 1, 5, b"d", 4
            ),
        ):
            envelope = messages.Envelope("c", "s", 1, 2, 3, body)
            self.assertEqual(messages.decode(messages.encode(envelope)), envelope)
        with self.assertRaises(errors.MessageError):
            messages.decode(b"\x00garbage")
