"""Three replicas of a log on in-memory disks elect a leader and apply a command."""

import asyncio
import random
import time

from coltsfoothead.coordination import lease
from coltsfoothead.coordination.machine import host, registry
from coltsfoothead.coordination.replication import settings, task
from coltsfoothead.coordination.storage import folder, memory

BOOTSTRAP_MEMBERS = {name: (f"address-{name}", f"zone-{name}") for name in ("a", "b", "c")}


def create(name, replicas):
    """Returns a replica that delivers each message to its peers by a direct method call."""
    rng = random.Random(name)
    stored = folder.ReplicaFolder(memory.MemoryDisk(), "example", name, rng)

    def send(peer, payload):
        replicas[peer].receive(name, payload)

    machine, options = host.StateMachineHost(host.CONTROL_STATE_MACHINES), settings.Settings()
    return task.LogTask(stored, machine, send, time.monotonic, rng, options, BOOTSTRAP_MEMBERS)


async def main():
    replicas = {}
    replicas.update((name, create(name, replicas)) for name in BOOTSTRAP_MEMBERS)
    await asyncio.gather(*(replica.start() for replica in replicas.values()))
    while not (leaders := [r for r in replicas.values() if r.status().role == "leader"]):
        await asyncio.sleep(0.05)
    command = registry.encode(lease.Grant("capacity", "vm-a", 1, 10.0, "request-1"))
    print(registry.decode_result(lease.NAME, await leaders[0].propose(command)))
    await asyncio.gather(*(replica.stop() for replica in replicas.values()))


if __name__ == "__main__":
    asyncio.run(main())
