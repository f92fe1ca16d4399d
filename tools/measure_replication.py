"""Measures proposals per second and disk syncs per proposal of three replicas in one process.

The replicas write to a temporary folder below `--folder`, which selects the file system.
"""

import argparse
import asyncio
import pathlib
import random
import tempfile
import time

from coltsfoothead.coordination.replication import settings, task
from coltsfoothead.coordination.storage import disk, folder

_COMMAND_BYTES = 200


class _CountingDisk(disk.DirectoryDisk):
    """Disk that counts syncs of files and folders."""

    syncs = 0

    def sync(self, name):
        self.syncs += 1
        super().sync(name)

    def sync_folder(self):
        self.syncs += 1
        super().sync_folder()


class _Counter:
    """State machine that counts commands."""

    def __init__(self):
        self._count = 0

    def apply(self, index, command):
        self._count += 1
        return b""

    def snapshot(self):
        return b"%d" % self._count

    def restore(self, data):
        self._count = int(data)


async def _start(root, names):
    tasks, disks = {}, {}
    voters = {name: (name, f"zone-{name}") for name in names}
    loop = asyncio.get_running_loop()

    def send_from(source):
        return lambda peer, payload: loop.call_soon(tasks[peer].receive, source, payload)

    for name in names:
        disks[name] = _CountingDisk(root / name)
        replica_folder = folder.ReplicaFolder(disks[name], "measure", name, random.Random())
        tasks[name] = task.LogTask(
            replica_folder,
            _Counter(),
            send_from(name),
            time.monotonic,
            random.Random(name),
            settings.Settings(),
            voters,
        )
    for log in tasks.values():
        await log.start()
    while not any(log.status().quorum_contact for log in tasks.values()):
        await asyncio.sleep(0.05)
    return tasks, disks


async def _measure(root, writers, seconds):
    tasks, disks = await _start(root, ("a", "b", "c"))
    leader = next(log for log in tasks.values() if log.status().role == "leader")
    latencies = []
    syncs_before = sum(counting_disk.syncs for counting_disk in disks.values())
    started_at = time.monotonic()

    async def propose_repeatedly():
        while time.monotonic() < started_at + seconds:
            proposed_at = time.monotonic()
            await leader.propose(b"x" * _COMMAND_BYTES)
            latencies.append(time.monotonic() - proposed_at)

    await asyncio.gather(*(propose_repeatedly() for _ in range(writers)))
    elapsed_seconds = time.monotonic() - started_at
    syncs = sum(counting_disk.syncs for counting_disk in disks.values()) - syncs_before
    for log in tasks.values():
        await log.stop()
    latencies.sort()
    count = len(latencies)
    p50, p99 = latencies[count // 2] * 1000, latencies[count * 99 // 100] * 1000
    print(
        f"writers {writers}: {count / elapsed_seconds:.0f} proposals/s, "
        f"{syncs / count:.3f} syncs per proposal (all replicas), "
        f"p50 {p50:.2f} ms, p99 {p99:.2f} ms"
    )


def main():
    """Runs the measurement with several numbers of concurrent writers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--folder", type=pathlib.Path, default=None)
    parser.add_argument("--seconds", type=float, default=5.0)
    options = parser.parse_args()
    for writers in (1, 16, 128, 512):
        with tempfile.TemporaryDirectory(dir=options.folder) as path:
            asyncio.run(_measure(pathlib.Path(path), writers, options.seconds))


if __name__ == "__main__":
    main()
