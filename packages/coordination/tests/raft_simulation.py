"""Simulated group of replicas on in-memory disks, whose history is checked for safety."""

import dataclasses
import random

import msgspec

from coltsfoothead.coordination.replication import errors, logview, messages, raft, settings
from coltsfoothead.coordination.replication.state import Role
from coltsfoothead.coordination.storage import folder, memory, schema

ZONES = ("z1", "z2", "z3")
SETTINGS = settings.Settings(snapshot_entries=40, retained_entries=10, snapshot_chunk_bytes=200)


class ListMachine:
    """State machine that lists every applied command with its index."""

    def __init__(self):
        self.commands = []

    def apply(self, index, command):
        self.commands.append((index, command))
        return command

    def snapshot(self):
        return msgspec.msgpack.encode(self.commands)

    def restore(self, data):
        self.commands = msgspec.msgpack.decode(data, type=list[tuple[int, bytes]])


class Node:
    """Replica with its disk, state machine and clock."""

    def __init__(self, name, disk):
        self.name = name
        self.disk = disk
        self.replica = None
        self.machine = ListMachine()
        self.applied = 0
        self.clock_rate = 1.0
        self.clock_offset = 0.0


class Simulation:
    """Simulates network, clocks and crashes; raises AssertionError if safety is violated.

    Times are in simulated seconds.
    """

    def __init__(self, seed, voters=3, config=SETTINGS, drift=0.0, loss=0.0, duplication=0.0):
        self.rng = random.Random(seed)
        self.config = config
        self.drift, self.loss, self.duplication = drift, loss, duplication
        self.now = 0.0
        self.in_flight = []
        self.blocked_pairs = set()
        self.leader_by_term = {}
        self.committed_entries = {}
        self.proposed_commands = {}
        self.acknowledged_commands = {}
        self.ready_reads = {}
        self.rollback_errors = {}
        self.proposed_count = 0
        self.nodes = {}
        names = [f"n{i}" for i in range(1, voters + 1)]
        self.bootstrap = {n: (f"addr-{n}", ZONES[i % 3]) for i, n in enumerate(names)}
        for name in names:
            self.add(name)

    def add(self, name, disk=None):
        self.nodes[name] = Node(name, disk or memory.MemoryDisk())
        self.start(name)

    def clock(self, node):
        return self.now * node.clock_rate + node.clock_offset

    def start(self, name, config=None):
        node = self.nodes[name]
        replica_folder = folder.ReplicaFolder(node.disk, "cluster", name, self.rng)
        if replica_folder.fresh and name in self.bootstrap:
            replica_folder.bootstrap(*raft.bootstrap_entries(self.bootstrap, True))
        node.folder, node.machine, node.applied = replica_folder, ListMachine(), 0
        if replica_folder.snapshot:
            node.machine.restore(replica_folder.snapshot.data)
            node.applied = replica_folder.snapshot.index
        node.clock_rate = 1 + self.rng.uniform(-self.drift, self.drift)
        node.clock_offset = self.rng.uniform(0, 1000)
        node.replica = raft.Replica(replica_folder, self.config, self.rng, self.clock(node))

    def crash(self, name, torn=True):
        node = self.nodes[name]
        node.replica = None
        node.disk.crash(self.rng if torn else None)

    def running_nodes(self):
        return [node for node in self.nodes.values() if node.replica]

    def leader(self):
        leading = [node for node in self.running_nodes() if node.replica.role is Role.LEADER]
        return max(leading, key=lambda node: node.replica.state.term, default=None)

    def call(self, node, method, *arguments):
        """Calls a method of the replica and executes its effects.

        Returns None if the replica is not the leader or rejects the membership change.
        """
        try:
            result = getattr(node.replica, method)(*arguments, self.clock(node))
        except (errors.NotLeaderError, errors.MembershipChangeError):
            return None
        value, work = result if isinstance(result, tuple) else (None, result)
        if method == "propose":
            for index, command in zip(value, arguments[0], strict=True):
                self.proposed_commands[(index, node.replica.state.term)] = (node.name, command)
        self.execute_effects(node, work)
        return value

    def execute_effects(self, node, work):
        replica = node.replica
        hard_state = work.hard_state or node.folder.hard_state
        try:
            if work.install:
                data = dataclasses.astuple(work.install)[1:]
                node.folder.save_snapshot(work.install.snapshot, *data, hard_state, work.peers)
                node.machine.restore(work.install.snapshot.data)
                node.applied = work.install.snapshot.index
            elif work.sync:
                node.folder.append(hard_state, work.entries, work.peers)
        except memory.SimulatedCrashError:
            self.crash(node.name)
            return
        if replica.state.role is Role.LEADER:
            known_leader = self.leader_by_term.setdefault(replica.state.term, node.name)
            assert known_leader == node.name, f"two leaders in term {replica.state.term}"
        for peer, envelope in work.messages:
            self.transmit(node.name, peer, messages.encode(envelope))
        for entry in work.committed:
            self.apply(node, entry)
        self.ready_reads.setdefault(node.name, set()).update(work.reads)
        snapshot_index = replica.state.snapshot.index if replica.state.snapshot else 0
        if node.applied - snapshot_index >= self.config.snapshot_entries:
            self.take_snapshot(node)

    def apply(self, node, entry):
        assert entry.index == node.applied + 1, "an entry was skipped or applied twice"
        known_entry = self.committed_entries.setdefault(entry.index, entry)
        assert known_entry == entry, f"committed entry {entry.index} changed"
        node.applied = entry.index
        if entry.kind == logview.COMMAND:
            node.machine.apply(entry.index, entry.data)
            proposer, command = self.proposed_commands[(entry.index, entry.term)]
            if proposer == node.name:
                self.acknowledged_commands[entry.index] = command

    def take_snapshot(self, node):
        index = node.applied
        term = node.replica.state.log.term_at(index)
        members = node.replica.members_at(index)
        snapshot = schema.Snapshot(index, term, members, node.machine.snapshot())
        install = node.replica.compact(snapshot)
        try:
            node.folder.save_snapshot(
                snapshot, install.base, install.entries, node.folder.hard_state, {}
            )
        except memory.SimulatedCrashError:
            self.crash(node.name)

    def transmit(self, source, target, payload):
        copies = 1 + (self.rng.random() < self.duplication)
        for _ in range(copies):
            if self.rng.random() >= self.loss:
                delay = self.rng.uniform(0.001, 0.02)
                if self.loss and self.rng.random() < 0.05:
                    delay = self.rng.uniform(0.02, 3.0)
                self.in_flight.append((self.now + delay, source, target, payload))

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += 0.01
            due = [item for item in self.in_flight if item[0] <= self.now]
            self.in_flight = [item for item in self.in_flight if item[0] > self.now]
            for _, source, target, payload in sorted(due):
                node = self.nodes.get(target)
                pair = frozenset((source, target))
                if node and node.replica and pair not in self.blocked_pairs:
                    self.deliver(node, payload)
            for node in self.running_nodes():
                self.call(node, "tick")

    def deliver(self, node, payload):
        try:
            self.call(node, "step", messages.decode(payload))
        except errors.RolledBackError as error:
            self.rollback_errors[node.name] = error
            node.replica = None

    def isolate(self, *names):
        inside = set(names)
        self.blocked_pairs |= {
            frozenset((a, b)) for a in inside for b in self.nodes if b not in inside
        }

    def heal(self):
        self.blocked_pairs.clear()

    def wait_leader(self, timeout=10.0):
        end = self.now + timeout
        while self.now < end:
            self.run(0.05)
            node = self.leader()
            if node and node.replica.state.commit_index >= node.replica.state.term_start_index:
                return node
        raise AssertionError("no leader was elected")

    def propose(self, count=1):
        """Proposes commands at the current leader, one at a time."""
        for _ in range(count):
            node = self.leader()
            if node:
                self.proposed_count += 1
                self.call(node, "propose", [b"command-%d" % self.proposed_count])

    def change(self, method, *arguments, timeout=10.0):
        """Proposes a membership change and waits until it is committed."""
        end = self.now + timeout
        while self.now < end:
            node = self.leader()
            index = node and self.call(node, method, *arguments)
            while index and node.replica and self.now < end:
                if node.replica.state.commit_index >= index:
                    return
                self.run(0.05)
            self.run(0.05)
        raise AssertionError(f"{method} {arguments} did not commit")

    def settle(self):
        """Ends all faults and checks the history.

        All members must have the same commands, among them every acknowledged one.
        """
        self.loss = self.duplication = 0.0
        self.heal()
        for node in self.nodes.values():
            node.disk.operations_until_crash = None
            if not node.replica:
                self.crash(node.name)
                self.start(node.name)
        self.wait_leader(timeout=30)
        self.run(1)
        self.propose()
        self.run(2)
        leader = self.leader()
        histories = [self.nodes[n].machine.commands for n in leader.replica.state.members]
        for commands in histories:
            assert commands == histories[0], "members hold different histories"
        final = dict(histories[0])
        for index, command in self.acknowledged_commands.items():
            assert final.get(index) == command, f"acknowledged command {index} was lost"
        assert not self.rollback_errors, "an intact replica was refused"
