"""Tests of the Raft state machine over simulated networks, clocks and crashes."""

import dataclasses
import unittest

import hypothesis
import raft_simulation
from hypothesis import strategies

from coltsfoothead.coordination.replication import errors, membership, messages, raft
from coltsfoothead.coordination.replication.state import Role


def random_schedule(simulation, steps):
    """Applies random faults, proposals and membership changes."""
    rng = simulation.rng
    added = 0
    for _ in range(steps):
        action = rng.choices(
            ["propose", "crash", "crash_write", "restart", "isolate", "heal", "move", "member"],
            [10, 1, 1, 3, 1, 3, 1, 2],
        )[0]
        names = sorted(simulation.nodes)
        running = [node.name for node in simulation.running_nodes()]
        leader = simulation.leader()
        if action == "propose":
            simulation.propose(rng.randint(1, 12))
        elif action == "crash" and running:
            simulation.crash(rng.choice(running))
        elif action == "crash_write" and running:
            simulation.nodes[rng.choice(running)].disk.operations_until_crash = rng.randint(0, 6)
        elif action == "restart":
            for name in set(names) - set(running):
                simulation.start(name)
        elif action == "isolate":
            simulation.isolate(*rng.sample(names, rng.randint(1, len(names) // 2)))
        elif action == "heal":
            simulation.heal()
        elif action == "move" and leader:
            simulation.call(leader, "transfer", None)
        elif action == "member" and leader:
            added += change_members(simulation, leader, added)
        simulation.run(rng.uniform(0.05, 0.8))


def change_members(simulation, leader, added):
    """Adds a learner, promotes one or removes a member; returns the number of new replicas."""
    rng = simulation.rng
    members = leader.replica.state.members
    learners = sorted(members.keys() - membership.voters(members))
    kind = rng.randrange(3)
    if kind == 0 and added < 3:
        name = f"x{added}"
        simulation.add(name)
        zone = rng.choice(raft_simulation.ZONES)
        simulation.call(leader, "add_learner", name, f"addr-{name}", zone)
        return 1
    if kind == 1 and learners:
        simulation.call(leader, "promote", rng.choice(learners))
    elif kind == 2 and len(membership.voters(members)) > 2:
        simulation.call(leader, "remove", rng.choice(sorted(members)))
    return 0


class ScheduleTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
    @hypothesis.given(strategies.integers(0, 2**32), strategies.sampled_from([3, 5]))
    def test_random_schedules_are_safe(self, seed, voters):
        """Guards against two leaders in a term and lost committed entries or acknowledged commands.

        The schedules lose, duplicate and reorder messages, crash replicas inside writes, split
        the network, change members and let the clocks drift by 5%.
        """
        simulation = raft_simulation.Simulation(
            seed, voters, drift=0.05, loss=0.05, duplication=0.05
        )
        random_schedule(simulation, 40)
        simulation.settle()


class ElectionTest(unittest.TestCase):
    def test_single_voter_leads_at_once(self):
        """Guards against a single voter that waits for an election timeout."""
        simulation = raft_simulation.Simulation(1, voters=1)
        simulation.run(0.01)
        self.assertEqual(simulation.leader().name, "n1")
        simulation.propose()
        self.assertEqual(len(simulation.acknowledged_commands), 1)

    def test_returning_voter_does_not_raise_the_term(self):
        """Guards against a long-isolated voter that deposes the leader when it returns."""
        for seed in range(10):
            simulation = raft_simulation.Simulation(seed)
            leader = simulation.wait_leader()
            term = leader.replica.state.term
            isolated = next(name for name in simulation.nodes if name != leader.name)
            simulation.isolate(isolated)
            simulation.run(30)
            simulation.heal()
            simulation.run(5)
            self.assertIs(simulation.leader(), leader)
            self.assertEqual({n.replica.state.term for n in simulation.running_nodes()}, {term})

    def test_isolated_leader_steps_down(self):
        """Guards against leadership and a lease that outlast the contact to a majority."""
        simulation = raft_simulation.Simulation(2)
        leader = simulation.wait_leader()
        simulation.run(1)
        before = simulation.clock(leader)
        self.assertLess(before - leader.replica.quorum_contact(), 0.4)
        simulation.isolate(leader.name)
        simulation.run(0.5)
        self.assertLess(leader.replica.quorum_contact(), before + 0.05)
        simulation.run(1.0)
        self.assertIsNot(leader.replica.role, Role.LEADER)
        self.assertIsNone(leader.replica.quorum_contact())

    def test_stale_candidate_cannot_win(self):
        """Guards against a vote for a candidate that lacks committed entries."""
        simulation = raft_simulation.Simulation(3)
        leader = simulation.wait_leader()
        stale = next(name for name in simulation.nodes if name != leader.name)
        simulation.isolate(stale)
        simulation.propose(5)
        simulation.run(1)
        simulation.crash(leader.name)
        simulation.heal()
        self.assertNotEqual(simulation.wait_leader().name, stale)

    def test_vote_survives_a_crash(self):
        """Guards against two votes in one term after a restart."""
        simulation = raft_simulation.Simulation(4)
        simulation.isolate("n1")
        node = simulation.nodes["n1"]

        def request_vote(sender):
            request = messages.VoteRequest(9, 50, 8, True)
            envelope = messages.Envelope("cluster", sender, 1, 1, 50, request)
            work = node.replica.step(envelope, simulation.clock(node))
            simulation.execute_effects(node, work)
            return work.messages[-1][1].body.granted

        self.assertTrue(request_vote("n2"))
        simulation.crash("n1")
        simulation.start("n1")
        self.assertFalse(request_vote("n3"))
        self.assertTrue(request_vote("n2"))

    def test_transfer(self):
        """Guards against a planned stop after which the group waits for an election timeout."""
        simulation = raft_simulation.Simulation(5)
        old = simulation.wait_leader()
        simulation.propose(20)
        target = simulation.call(old, "transfer", None)
        simulation.run(0.2)
        self.assertEqual(simulation.leader().name, target)
        simulation.settle()

    def test_barrier_needs_a_majority(self):
        """Guards against a stale read at a leader that has been cut off."""
        simulation = raft_simulation.Simulation(6)
        leader = simulation.wait_leader()
        read = simulation.call(leader, "barrier")
        simulation.run(0.1)
        self.assertIn(read, simulation.ready_reads[leader.name])
        simulation.isolate(leader.name)
        read = simulation.call(leader, "barrier")
        simulation.run(3)
        self.assertNotIn(read, simulation.ready_reads[leader.name])


class CatchUpTest(unittest.TestCase):
    def check_catch_up(self, config, expects_snapshot):
        simulation = raft_simulation.Simulation(7, config=config)
        leader = simulation.wait_leader()
        stopped = next(name for name in simulation.nodes if name != leader.name)
        simulation.crash(stopped)
        for _ in range(300):
            simulation.propose()
            simulation.run(0.01)
        simulation.start(stopped)
        simulation.run(2)
        node = simulation.nodes[stopped]
        self.assertEqual(len(node.machine.commands), 300)
        self.assertEqual(node.machine.commands, leader.machine.commands)
        self.assertEqual(node.folder.snapshot is not None, expects_snapshot)
        simulation.settle()

    def test_through_the_log(self):
        """Guards against a restarted voter that cannot fetch 300 missed entries."""
        config = dataclasses.replace(raft_simulation.SETTINGS, snapshot_entries=10_000)
        self.check_catch_up(config, False)

    def test_through_a_snapshot(self):
        """Guards against a restarted voter whose missed entries were compacted away."""
        self.check_catch_up(raft_simulation.SETTINGS, True)


class MembershipTest(unittest.TestCase):
    def test_replacement_and_second_loss(self):
        """Guards against a replacement that counts as voter before it has the committed entries."""
        simulation = raft_simulation.Simulation(8)
        leader = simulation.wait_leader()
        simulation.propose(150)
        simulation.run(1)
        lost = sorted(name for name in simulation.nodes if name != leader.name)
        simulation.crash(lost[0])
        zone = simulation.bootstrap[lost[0]][1]
        del simulation.nodes[lost[0]]
        simulation.add("new")
        simulation.change("add_learner", "new", "addr-new", zone)
        simulation.change("promote", "new")
        simulation.change("remove", lost[0])
        simulation.crash(lost[1])
        simulation.propose(10)
        simulation.run(2)
        new = simulation.nodes["new"]
        self.assertEqual(len(simulation.acknowledged_commands), 160)
        self.assertEqual(new.machine.commands, simulation.leader().machine.commands)
        simulation.settle()

    def test_learner_that_lags_is_not_promoted(self):
        """Guards against a quorum that counts a new voter which lacks committed entries."""
        simulation = raft_simulation.Simulation(9)
        leader = simulation.wait_leader()
        simulation.add("new")
        simulation.change("add_learner", "new", "addr-new", "z1")
        simulation.isolate("new")
        simulation.propose(5)
        simulation.run(1)
        with self.assertRaises(errors.NotCaughtUpError):
            leader.replica.promote("new", simulation.clock(leader))

    def test_learner_does_not_count_for_a_majority(self):
        """Guards against a learner without entries that blocks commits."""
        simulation = raft_simulation.Simulation(16, voters=1)
        simulation.wait_leader()
        simulation.change("add_learner", "absent", "addr", "z2")
        simulation.propose(3)
        self.assertEqual(len(simulation.acknowledged_commands), 3)

    def test_one_change_at_a_time(self):
        """Guards against two uncommitted configurations without a common voter."""
        simulation = raft_simulation.Simulation(10)
        leader = simulation.wait_leader()
        simulation.isolate(leader.name)
        now = simulation.clock(leader)
        leader.replica.add_learner("x", "addr", "z1", now)
        with self.assertRaises(errors.MembershipChangeError):
            leader.replica.add_learner("y", "addr", "z1", now)

    def test_zone_majority_is_refused(self):
        """Guards against a quorum that lies in one zone."""
        simulation = raft_simulation.Simulation(11)
        leader = simulation.wait_leader()
        other_zones = {n: z for n, (_, z) in simulation.bootstrap.items() if n != leader.name}
        (other, _), (_, zone) = other_zones.items()
        simulation.add("new")
        simulation.change("add_learner", "new", "addr-new", zone)
        simulation.change("promote", "new")
        with self.assertRaises(errors.ZoneSpreadError):
            leader.replica.remove(other, simulation.clock(leader))
        one_zone = {"a": ("1", "z1"), "b": ("2", "z1"), "c": ("3", "z1")}
        raft.bootstrap_entries(one_zone, True)
        two_zones = {**one_zone, "c": ("3", "z2")}
        raft.bootstrap_entries(two_zones, False)
        with self.assertRaises(errors.ZoneSpreadError):
            raft.bootstrap_entries(two_zones, True)

    def test_removed_leader_steps_down(self):
        """Guards against a removed replica that remains leader after the commit of its removal."""
        simulation = raft_simulation.Simulation(12)
        leader = simulation.wait_leader()
        simulation.call(leader, "remove", leader.name)
        simulation.run(3)
        self.assertIs(leader.replica.role, Role.LEARNER)
        self.assertNotEqual(simulation.wait_leader().name, leader.name)


class RollbackTest(unittest.TestCase):
    def rolled_back(self, restarts, settle_seconds=0):
        """Restores the folder of a follower from a copy that lacks its latest state."""
        simulation = raft_simulation.Simulation(13)
        leader = simulation.wait_leader()
        name = next(name for name in simulation.nodes if name != leader.name)
        simulation.run(settle_seconds)
        copy = simulation.nodes[name].disk.copy()
        if not settle_seconds:
            simulation.propose(20)
        simulation.run(3)
        for _ in range(restarts):
            simulation.crash(name)
            simulation.start(name)
            simulation.run(1)
        simulation.crash(name)
        simulation.nodes[name].disk = copy
        simulation.start(name)
        return simulation, name

    def test_folder_is_refused(self):
        """Guards against a replica that lost acknowledged entries or the record of its starts."""
        for restarts in (0, 1, 2):
            simulation, name = self.rolled_back(restarts)
            simulation.run(3)
            self.assertIsInstance(simulation.rollback_errors.get(name), errors.RolledBackError)

    def test_same_incarnation_of_another_start_is_refused(self):
        """Guards against a restored copy that lacks a vote, but no entry and no incarnation."""
        simulation, name = self.rolled_back(1, settle_seconds=2)
        self.assertEqual(simulation.nodes[name].folder.identity.incarnation, 2)
        simulation.run(3)
        self.assertIsInstance(simulation.rollback_errors.get(name), errors.RolledBackError)

    def test_refusal_survives_restarts_of_the_peers(self):
        """Guards against peer records that are lost when the peers restart."""
        simulation, name = self.rolled_back(1)
        for peer in sorted(simulation.nodes.keys() - {name}):
            simulation.crash(peer)
            simulation.start(peer)
        simulation.run(5)
        self.assertIsInstance(simulation.rollback_errors.get(name), errors.RolledBackError)

    def test_late_message_of_an_earlier_start_is_no_rollback(self):
        """Guards against stopping an intact replica because of a delayed message."""
        simulation = raft_simulation.Simulation(14)
        simulation.wait_leader()
        simulation.run(1)
        late = [m for m in simulation.in_flight if m[1] == "n2"]
        simulation.crash("n2")
        simulation.start("n2")
        simulation.run(2)
        simulation.in_flight.extend((simulation.now, *m[1:]) for m in late)
        simulation.run(2)
        self.assertEqual(simulation.rollback_errors, {})
        self.assertEqual(len(simulation.running_nodes()), 3)

    def test_other_cluster_is_refused(self):
        """Guards against accepting a message from another cluster."""
        simulation = raft_simulation.Simulation(15)
        body = messages.PreVoteRequest(1, 1, 1)
        envelope = messages.Envelope("other", "n2", 1, 1, 1, body)
        with self.assertRaises(errors.MessageError):
            simulation.nodes["n1"].replica.step(envelope, 0.0)
