"""Tests of the planning of voter changes, and of write-once registers."""

import unittest

import machine_builders as builders

from coltsfoothead.coordination import writeonce
from coltsfoothead.coordination.membership import voterplan

ADDRESSES = {name: f"10.0.0.{name}:7" for name in "12345"}


def candidate(replica, address=None, silent_seconds=0.1):
    """Returns a candidate whose last message is `silent_seconds` old."""
    return voterplan.Candidate(replica, address or f"10.0.0.{replica}:7", "z", silent_seconds)


def plan(addresses, voters, candidates, listened_seconds=60.0):
    """Returns the next change that the leader, replica 1, plans for five voters."""
    return voterplan.next_change("1", addresses, voters, candidates, listened_seconds, 5, 2.5)


class NextChangeTest(unittest.TestCase):
    def test_voters_are_added_up_to_the_target_number(self):
        """Guards against a log whose voters remain the initial three."""
        three = {name: ADDRESSES[name] for name in "123"}
        everyone = [candidate(name) for name in "12345"]
        self.assertEqual(plan(three, "123", everyone), voterplan.Admit(everyone[3]))
        with_learner = {**three, "4": ADDRESSES["4"]}
        self.assertEqual(plan(with_learner, "123", everyone), voterplan.Promote("4"))
        self.assertIsNone(plan(ADDRESSES, "12345", everyone))

    def test_a_silent_voter_stays_without_a_standby(self):
        """Guards against fewer voters, so that the loss of fewer disks destroys the log."""
        candidates = [candidate("5", silent_seconds=60.0), *(candidate(name) for name in "1234")]
        self.assertIsNone(plan(ADDRESSES, "12345", candidates))

    def test_a_standby_replaces_a_silent_voter(self):
        """Guards against a VM that is lost for good and remains a voter."""
        candidates = [candidate(name) for name in "12346"] + [candidate("5", silent_seconds=3.0)]
        self.assertEqual(plan(ADDRESSES, "12345", candidates), voterplan.Remove("5"))

    def test_a_standby_waits_while_all_voters_live(self):
        """Guards against unnecessary changes of the voters."""
        candidates = [candidate(name) for name in "123456"]
        self.assertIsNone(plan(ADDRESSES, "12345", candidates))

    def test_an_empty_disk_replaces_its_old_replica_first(self):
        """Guards against counting two replicas of one address, the old one of which is lost."""
        candidates = [candidate(name) for name in "1234"] + [candidate("5~new", ADDRESSES["5"])]
        self.assertEqual(plan(ADDRESSES, "12345", candidates), voterplan.Remove("5"))

    def test_a_learner_that_went_silent_is_removed(self):
        """Guards against a silent learner that blocks every further change."""
        members = {name: ADDRESSES[name] for name in "1234"}
        candidates = [candidate(name) for name in "123"]
        self.assertEqual(plan(members, "123", candidates), voterplan.Remove("4"))

    def test_members_that_a_new_leader_has_not_heard_stay(self):
        """Guards against a new leader that takes members for silent before they can reach it."""
        standby = candidate("6")
        self.assertIsNone(plan(ADDRESSES, "12345", [candidate("1"), standby], 2.5))
        heard = [candidate(name) for name in "123"]
        self.assertIsNone(plan(ADDRESSES, "12345", [*heard, standby], 2.5))
        self.assertEqual(plan(ADDRESSES, "12345", [*heard, standby], 2.6), voterplan.Remove("4"))
        with_learner = {name: ADDRESSES[name] for name in "1234"}
        self.assertIsNone(plan(with_learner, "123", [*heard, standby], 2.5))

    def test_no_voter_is_removed_without_a_majority_of_the_others(self):
        """Guards against a removal that is in force but can never be committed."""
        live = [candidate(name) for name in "12"]
        standby, wiped = candidate("6"), candidate("5~new", ADDRESSES["5"])
        self.assertIsNone(plan(ADDRESSES, "12345", [*live, standby]))
        self.assertIsNone(plan(ADDRESSES, "12345", [*live, wiped]))
        live.append(candidate("3"))
        self.assertEqual(plan(ADDRESSES, "12345", [*live, wiped]), voterplan.Remove("5"))

    def test_the_leader_is_never_removed(self):
        """Guards against a leader that removes itself as silent."""
        candidates = [candidate("1", silent_seconds=9.0), *(candidate(name) for name in "23456")]
        self.assertNotEqual(plan(ADDRESSES, "12345", candidates), voterplan.Remove("1"))


class RegistersTest(unittest.TestCase):
    def test_the_first_value_stays(self):
        """Guards against two reports of one window with different counts."""
        log = builders.Log(state_machines=(writeonce.NAME,))
        self.assertEqual(log(writeonce.Write("w/1", b"a")), writeonce.Value(b"a"))
        self.assertEqual(log(writeonce.Write("w/1", b"b")), writeonce.Value(b"a"))
        copied = log.copy()
        self.assertEqual(copied(writeonce.Write("w/1", b"c")), writeonce.Value(b"a"))

    def test_registers_are_bounded(self):
        """Guards against state that grows with every window without bound."""
        log = builders.Log(state_machines=(writeonce.NAME,))
        for number in range(writeonce.MAX_REGISTERS + 10):
            log(writeonce.Write(f"w/{number}", b"x"))
        state = log.machine.state(writeonce.NAME)
        self.assertIsNone(state.read("w/0"))
        self.assertEqual(state.read(f"w/{writeonce.MAX_REGISTERS + 9}"), b"x")


if __name__ == "__main__":
    unittest.main()
