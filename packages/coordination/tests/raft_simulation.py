"""Simulated group of replicas on in-memory disks, with a checked history."""

import dataclasses
import random

import msgspec

from coltsfoothead.coordination.replication import errors, logview, messages, raft, settings
from coltsfoothead.coordination.replication.state import Role
from coltsfoothead.coordination.storage import folder, memory, schema

ZONES = ("z1", "z2", "z3")
SETTINGS = settings.Settings(snapshot_entries=40, retained_entries=10, snapshot_chunk_bytes=200)


class ListMachine:
    """State machine that remembers every command with its index."""

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
    """One replica, its disk and its clock."""

    def __init__(self, name, disk):
        self.name = name
        self.disk = disk
        self.replica = None
        self.machine = ListMachine()
        self.applied = 0
        self.rate = 1.0
        self.offset = 0.0


class Simulation:
    """Virtual network, clocks and crashes; raises AssertionError if a safety property breaks."""

    def __init__(self, seed, voters=3, config=SETTINGS, drift=0.0, loss=0.0, duplication=0.0):
        self.random = random.Random(seed)
        self.config = config
        self.drift, self.loss, self.duplication = drift, loss, duplication
        self.now = 0.0
        self.queue = []
        self.blocked = set()
        self.leaders = {}
        self.committed = {}
        self.proposed = {}
        self.acknowledged = {}
        self.ready_reads = {}
        self.refusals = {}
        self.counter = 0
        self.nodes = {}
        names = [f"n{i}" for i in range(1, voters + 1)]
        self.bootstrap = {n: (f"addr-{n}", ZONES[i % 3]) for i, n in enumerate(names)}
        for name in names:
            self.add(name)

    def add(self, name, disk=None):
        self.nodes[name] = Node(name, disk or memory.MemoryDisk())
        self.start(name)

    def clock(self, node):
        return self.now * node.rate + node.offset

    def start(self, name, config=None):
        node = self.nodes[name]
        replica_folder = folder.ReplicaFolder(node.disk, "cluster", name, self.random)
        if replica_folder.fresh and name in self.bootstrap:
            replica_folder.bootstrap(*raft.bootstrap_entries(self.bootstrap, True))
        node.folder, node.machine, node.applied = replica_folder, ListMachine(), 0
        if replica_folder.snapshot:
            node.machine.restore(replica_folder.snapshot.data)
            node.applied = replica_folder.snapshot.index
        node.rate = 1 + self.random.uniform(-self.drift, self.drift)
        node.offset = self.random.uniform(0, 1000)
        node.replica = raft.Replica(replica_folder, self.config, self.random, self.clock(node))

    def crash(self, name, torn=True):
        node = self.nodes[name]
        node.replica = None
        node.disk.crash(self.random if torn else None)

    def up(self):
        return [node for node in self.nodes.values() if node.replica]

    def leader(self):
        leading = [node for node in self.up() if node.replica.role is Role.LEADER]
        return max(leading, key=lambda node: node.replica.state.term, default=None)

    def call(self, node, method, *arguments):
        """Calls the replica and carries the effects out; a typed refusal returns None."""
        try:
            result = getattr(node.replica, method)(*arguments, self.clock(node))
        except (errors.NotLeaderError, errors.MembershipChangeError):
            return None
        value, work = result if isinstance(result, tuple) else (None, result)
        if method == "propose":
            for index, command in zip(value, arguments[0], strict=True):
                self.proposed[(index, node.replica.state.term)] = (node.name, command)
        self.carry_out(node, work)
        return value

    def carry_out(self, node, work):
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
            first = self.leaders.setdefault(replica.state.term, node.name)
            assert first == node.name, f"two leaders in term {replica.state.term}"
        for peer, envelope in work.messages:
            self.transmit(node.name, peer, messages.encode(envelope))
        for entry in work.committed:
            self.apply(node, entry)
        self.ready_reads.setdefault(node.name, set()).update(work.reads)
        known = replica.state.snapshot.index if replica.state.snapshot else 0
        if node.applied - known >= self.config.snapshot_entries:
            self.take_snapshot(node)

    def apply(self, node, entry):
        assert entry.index == node.applied + 1, "an entry was skipped or applied twice"
        first = self.committed.setdefault(entry.index, entry)
        assert first == entry, f"committed entry {entry.index} changed"
        node.applied = entry.index
        if entry.kind == logview.COMMAND:
            node.machine.apply(entry.index, entry.data)
            proposer, command = self.proposed[(entry.index, entry.term)]
            if proposer == node.name:
                self.acknowledged[entry.index] = command

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
        copies = 1 + (self.random.random() < self.duplication)
        for _ in range(copies):
            if self.random.random() >= self.loss:
                delay = self.random.uniform(0.001, 0.02)
                if self.loss and self.random.random() < 0.05:
                    delay = self.random.uniform(0.02, 3.0)
                self.queue.append((self.now + delay, source, target, payload))

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += 0.01
            due = [item for item in self.queue if item[0] <= self.now]
            self.queue = [item for item in self.queue if item[0] > self.now]
            for _, source, target, payload in sorted(due):
                node = self.nodes.get(target)
                pair = frozenset((source, target))
                if node and node.replica and pair not in self.blocked:
                    self.deliver(node, payload)
            for node in self.up():
                self.call(node, "tick")

    def deliver(self, node, payload):
        try:
            self.call(node, "step", messages.decode(payload))
        except errors.RolledBackError as error:
            self.refusals[node.name] = error
            node.replica = None

    def isolate(self, *names):
        inside = set(names)
        self.blocked |= {frozenset((a, b)) for a in inside for b in self.nodes if b not in inside}

    def heal(self):
        self.blocked.clear()

    def wait_leader(self, limit=10.0):
        end = self.now + limit
        while self.now < end:
            self.run(0.05)
            node = self.leader()
            if node and node.replica.state.commit_index >= node.replica.state.term_start_index:
                return node
        raise AssertionError("no leader was elected")

    def propose(self, count=1):
        """Proposes through the current leader, one command at a time."""
        for _ in range(count):
            node = self.leader()
            if node:
                self.counter += 1
                self.call(node, "propose", [b"command-%d" % self.counter])

    def change(self, method, *arguments, limit=10.0):
        """Makes a membership change and waits until it is committed."""
        end = self.now + limit
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
        """Heals everything and checks that all members hold the same acknowledged history."""
        self.loss = self.duplication = 0.0
        self.heal()
        for node in self.nodes.values():
            node.disk.crash_after = None
            if not node.replica:
                self.crash(node.name)
                self.start(node.name)
        self.wait_leader(limit=30)
        self.run(1)
        self.propose()
        self.run(2)
        leader = self.leader()
        histories = [self.nodes[n].machine.commands for n in leader.replica.state.members]
        for commands in histories:
            assert commands == histories[0], "members hold different histories"
        final = dict(histories[0])
        for index, command in self.acknowledged.items():
            assert final.get(index) == command, f"acknowledged command {index} was lost"
        assert not self.refusals, "an intact replica was refused"
