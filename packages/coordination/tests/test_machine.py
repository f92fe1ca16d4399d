"""Tests of the state machine host, of arbitration, and of snapshots of all state machines."""

import unittest

import hypothesis
import machine_builders as builders
from hypothesis import strategies as st

from coltsfoothead.coordination import arbitration, lease, ledger
from coltsfoothead.coordination.machine import errors, host, registry

SMALL_LIMITS = {
    "ledger": ledger.Settings(retention_ms=20, tombstone_ms=20, expire_batch=2),
    "arbitration": arbitration.Settings(retired_members=2),
}

incarnations = st.integers(1, 3)
name = st.sampled_from(["a", "b", "c"])
key = st.builds(builders.key, name)
log_indexes = st.integers(1, 40)
pair = (name, incarnations, name, incarnations)
command = st.one_of(
    st.builds(builders.change, name, st.integers(0, 3), st.just(""), name),
    st.builds(
        lambda change, version, old, new: builders.change(
            change, version, builders.digest(old), new, applied_at=version
        ),
        name,
        st.integers(0, 4),
        name,
        name,
    ),
    st.builds(
        lease.Grant, name, name, incarnations, st.sampled_from([0.0, 5.0, float("nan")]), name
    ),
    st.builds(lease.Renew, name, name, incarnations, log_indexes),
    st.builds(lease.Release, name, name, incarnations, log_indexes),
    st.builds(lease.Expire, name, log_indexes, log_indexes),
    st.builds(arbitration.TakeOver, *pair),
    st.builds(arbitration.Replace, *pair),
    st.builds(arbitration.Retire, name, incarnations),
    st.builds(builders.claim, name, name, name, incarnations, st.integers(0, 100)),
    st.builds(ledger.Complete, key, name, log_indexes, st.just(ledger.Answer(200, (), b"answer"))),
    st.builds(ledger.Release, key, name, log_indexes),
    st.builds(ledger.Abandon, key, name, log_indexes),
    st.builds(ledger.Expire, st.integers(0, 100)),
    st.builds(ledger.OwnerGone, name, incarnations),
)


class HostTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, max_examples=300, deadline=None, database=None)
    @hypothesis.given(st.lists(command, min_size=40, max_size=80), st.integers(0, 60))
    def test_a_restored_replica_has_the_same_future(self, commands, cut):
        """Guards against state missing from a snapshot, and against dependence on set order."""
        log = builders.Log(SMALL_LIMITS)
        before = [log(command) for command in commands[:cut]]
        self.assertEqual(len(before), min(cut, len(commands)))
        copy = log.copy()
        for command in commands[cut:]:
            self.assertEqual(log(command), copy(command))
        self.assertEqual(log.machine.snapshot(), copy.machine.snapshot())
        self.assertEqual(
            log.machine.state("ledger").state_bytes(), copy.machine.state("ledger").state_bytes()
        )

    def test_a_command_of_another_log_is_refused(self):
        """Guards against decoding a ledger release as a lease release."""
        machine = host.StateMachineHost(host.CONTROL_STATE_MACHINES)
        data = registry.encode(ledger.Release(builders.key(), "a", 1))
        for call in (lambda: machine.check(data), lambda: machine.apply(1, data)):
            with self.assertRaisesRegex(errors.MalformedCommandError, "configuration, lease"):
                call()
        self.assertEqual(machine.apply(1, b""), b"")

    def test_a_foreign_snapshot_is_refused(self):
        """Guards against restoring a ledger replica from a snapshot of the control log."""
        data = host.StateMachineHost(host.CONTROL_STATE_MACHINES).snapshot()
        for snapshot in (data, b"junk"):
            with self.assertRaises(errors.SnapshotMismatchError):
                host.StateMachineHost(host.LEDGER_STATE_MACHINES).restore(snapshot)
        with self.assertRaisesRegex(errors.UnknownKindError, "known: arbitration"):
            host.StateMachineHost(("other",))


class ArbitrationTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None, database=None)
    @hypothesis.given(
        st.lists(
            st.one_of(
                st.builds(arbitration.TakeOver, *pair),
                st.builds(arbitration.Replace, *pair),
                st.builds(arbitration.Retire, name, incarnations),
            ),
            min_size=20,
            max_size=40,
        )
    )
    def test_a_pair_never_has_two_winners(self, commands):
        """Guards against a second owner, also after the pair's decision was removed."""
        log = builders.Log(state_machines=host.CONTROL_STATE_MACHINES)
        winners = {}
        for command in commands:
            result = log(command)
            if isinstance(result, arbitration.Decided):
                pair = (command.owner, command.owner_incarnation)
                pair += (command.guard, command.guard_incarnation)
                self.assertEqual(winners.setdefault(pair, result.winner), result.winner)
                proposed = isinstance(command, arbitration.TakeOver)
                self.assertEqual(result.won, (result.winner == "take_over") == proposed)

    def test_retired_pairs_are_removed(self):
        """Guards against decisions that accumulate with every restart."""
        log = builders.Log(state_machines=host.CONTROL_STATE_MACHINES)
        for incarnation in range(1, 5):
            log(arbitration.TakeOver("a", incarnation, "b", 1))
        self.assertEqual(log(arbitration.Retire("a", 3)), arbitration.Retired(3))
        self.assertEqual(
            log(arbitration.Replace("a", 2, "b", 1)), arbitration.RetiredMember("a", 2)
        )
        self.assertEqual(
            log(arbitration.Replace("a", 4, "b", 1)), arbitration.Decided("take_over", 4, False)
        )
