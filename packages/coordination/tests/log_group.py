"""Group of `LogTask` objects in one event loop."""

import asyncio
import random
import time

import raft_simulation

from coltsfoothead.coordination.replication import settings, task
from coltsfoothead.coordination.storage import folder, memory

FAST_SETTINGS = settings.Settings(
    heartbeat_seconds=0.05,
    election_timeout_min_seconds=0.2,
    election_timeout_max_seconds=0.4,
    tick_seconds=0.005,
    peer_flush_seconds=0.05,
    snapshot_entries=100,
    retained_entries=20,
)


class LogGroup:
    """Replicas with an in-process transport that drops messages from and to `isolated` ones."""

    def __init__(self, voters=3, config=FAST_SETTINGS, make_disk=lambda name: memory.MemoryDisk()):
        self.config = config
        self.make_disk = make_disk
        self.bootstrap = {f"n{i}": (f"addr-{i}", f"z{i}") for i in range(1, voters + 1)}
        self.disks, self.tasks, self.machines = {}, {}, {}
        self.isolated = set()

    async def start(self, *names):
        for name in names or self.bootstrap:
            if name not in self.disks:
                self.disks[name] = self.make_disk(name)
            replica_folder = folder.ReplicaFolder(self.disks[name], "c", name, random.Random())
            self.machines[name] = raft_simulation.ListMachine()
            self.tasks[name] = task.LogTask(
                replica_folder,
                self.machines[name],
                lambda peer, payload, name=name: self.send(name, peer, payload),
                time.monotonic,
                random.Random(name),
                self.config,
                self.bootstrap,
            )
            await self.tasks[name].start()

    def send(self, source, target, payload):
        if target in self.tasks and not {source, target} & self.isolated:
            asyncio.get_running_loop().call_soon(self.tasks[target].receive, source, payload)

    async def stop(self, *names):
        for name in names or list(self.tasks):
            await self.tasks.pop(name).stop()

    async def leader(self):
        """Returns the name and task of a leader that a majority has acknowledged."""
        for _ in range(1000):
            for name, log in self.tasks.items():
                status = log.status()
                if status.quorum_contact is not None and name not in self.isolated:
                    return name, log
            await asyncio.sleep(0.01)
        raise AssertionError("no leader was elected")

    async def wait_until(self, condition):
        for _ in range(1000):
            if condition():
                return
            await asyncio.sleep(0.01)
        raise AssertionError("the condition did not become true in 10 s")
