"""Tests of the data folder: torn tails, corruption, identity and snapshots."""

import contextlib
import pathlib
import random
import tempfile
import unittest

import hypothesis
from hypothesis import strategies

from coltsfoothead.coordination.storage import (
    disk,
    errors,
    folder,
    memory,
    records,
    schema,
    segments,
)

RANDOM = random.Random(1)
STATE = schema.HardState(3, "b")


def entries(first, last, term=1):
    return tuple(schema.Entry(i, term, 1, b"data-%d" % i) for i in range(first, last + 1))


def open_folder(data, cluster="cluster", replica="a"):
    return folder.ReplicaFolder(data, cluster, replica, RANDOM)


def last_segment(data):
    return [name for name in data.names() if name.startswith("log-")][-1]


class FolderTest(unittest.TestCase):
    def setUp(self):
        self.disk = memory.MemoryDisk()

    def test_synced_state_survives_a_crash(self):
        """Guards against a write that returns before it is durable."""
        stored = open_folder(self.disk)
        record = {"p": schema.PeerRecord(2, 7, 5)}
        stored.append(STATE, entries(1, 5), record)
        stored.append(STATE, entries(4, 4, term=2), {})
        self.disk.crash()
        again = open_folder(self.disk)
        self.assertEqual(again.hard_state, STATE)
        self.assertEqual(again.take_entries(), [*entries(1, 3), *entries(4, 4, term=2)])
        self.assertEqual(again.peers, record)
        self.assertEqual(again.identity.incarnation, 2)
        self.assertNotEqual(again.identity.boot, stored.identity.boot)

    def test_torn_tail_is_cut(self):
        """Guards against refusing to start, or reading garbage, after a torn last write."""
        for seed in range(50):
            data = memory.MemoryDisk()
            open_folder(data).append(STATE, entries(1, 3), {})
            name = last_segment(data)
            size = len(data.read(name))
            data.append(name, records.encode(b"x" * 40, size)[:-1])
            data.crash(random.Random(seed))
            again = open_folder(data)
            self.assertEqual(again.entries, list(entries(1, 3)))
            again.append(STATE, entries(4, 4), {})
            self.assertEqual(open_folder(data).entries, list(entries(1, 4)))

    def test_bad_record_before_good_ones_is_corruption(self):
        """Guards against cutting off synced entries after a damaged sector."""
        stored = open_folder(self.disk)
        stored.append(STATE, entries(1, 3), {})
        start = len(self.disk.read(last_segment(self.disk)))
        stored.append(STATE, entries(4, 6), {})
        stored.append(STATE, entries(7, 9), {})
        name = last_segment(self.disk)
        content = self.disk.read(name)
        # The length field and the payload are damaged in turn.
        for position in (start, start + 2, start + records.HEADER_BYTES + 3):
            damaged = bytearray(content)
            damaged[position] ^= 0x55
            self.disk.write(name, bytes(damaged))
            with self.assertRaises(errors.CorruptionError):
                open_folder(self.disk)

    def test_payload_with_a_framed_record_is_no_corruption(self):
        """Guards against taking bytes inside a torn payload for a later good record."""
        inner = records.encode(b"inner record", 0)
        data = records.encode(b"first", 0)
        torn = records.encode(b"pad" + inner + b"end", len(data))[:-2]
        self.assertEqual(records.scan(data + torn, "log"), ([b"first"], len(data)))

    def test_foreign_folder_is_refused(self):
        """Guards against joining a cluster with the data of another one."""
        open_folder(self.disk)
        with self.assertRaises(errors.WrongClusterError):
            open_folder(self.disk, cluster="other")
        with self.assertRaises(errors.WrongReplicaError):
            open_folder(self.disk, replica="b")

    def test_missing_files_are_corruption(self):
        """Guards against starting empty after part of the folder was deleted."""
        for prefix in ("identity", "log-", "snapshot-"):
            data = memory.MemoryDisk()
            stored = open_folder(data)
            stored.append(STATE, entries(1, 5), {})
            snapshot = schema.Snapshot(4, 1, {}, b"state")
            stored.save_snapshot(snapshot, (4, 1), entries(5, 5), STATE, {})
            for name in [name for name in data.names() if name.startswith(prefix)]:
                data.remove(name)
            with self.assertRaises(errors.CorruptionError, msg=prefix):
                open_folder(data)

    def test_damaged_snapshot_is_refused(self):
        """Guards against restoring a machine from damaged bytes."""
        stored = open_folder(self.disk)
        stored.append(STATE, entries(1, 5), {})
        stored.save_snapshot(schema.Snapshot(4, 1, {}, b"s" * 99), (4, 1), (), STATE, {})
        name = next(name for name in self.disk.names() if name.startswith("snapshot-"))
        content = self.disk.read(name)
        self.disk.write(name, content[:-9] + b"?" + content[-8:])
        with self.assertRaises(errors.CorruptionError):
            open_folder(self.disk)

    def test_segments_roll_and_are_dropped(self):
        """Guards against a log that grows for ever or loses a rolled segment."""
        log = segments.SegmentLog(self.disk, segment_bytes=100)
        log.append(schema.Batch(STATE, base=(0, 0)))
        for index in range(1, 31):
            log.append(schema.Batch(STATE, entries(index, index)))
        self.assertGreater(len(self.disk.names()), 5)
        self.assertEqual(len(segments.SegmentLog(self.disk, 100).batches), 31)
        middle = self.disk.names()[3]
        broken = self.disk.copy()
        broken.remove(middle)
        with self.assertRaises(errors.CorruptionError):
            segments.SegmentLog(broken, 100)
        log.append(schema.Batch(STATE, base=(30, 1)))
        self.assertEqual(len(self.disk.names()), 1)

    @hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
    @hypothesis.given(strategies.integers(0, 2**32), strategies.integers(0, 40))
    def test_crash_at_any_operation_keeps_what_was_synced(self, seed, crash_after):
        """Guards against a window in writing or snapshots in which a crash loses data."""
        chance = random.Random(seed)
        data = memory.MemoryDisk()
        stored = open_folder(data)
        done = 0
        data.crash_after = crash_after
        try:
            for last in range(1, 12):
                stored.append(schema.HardState(last, ""), entries(last, last), {})
                done = last
                if chance.random() < 0.3:
                    first = chance.randint(0, last)
                    snapshot = schema.Snapshot(last, 1, {}, b"state")
                    base = (first, 1 if first else 0)
                    kept = entries(first + 1, last)
                    stored.save_snapshot(snapshot, base, kept, stored.hard_state, {})
        except memory.SimulatedCrashError:
            pass
        data.crash(chance)
        again = open_folder(data)
        self.assertIn(again.hard_state.term, (done, done + 1))
        last = again.base[0] + len(again.entries)
        self.assertIn(last, (done, done + 1))
        self.assertEqual(tuple(again.entries), entries(again.base[0] + 1, last))

    def test_crash_while_a_received_snapshot_is_installed(self):
        """Guards against a log that does not fit the snapshot which was just stored."""
        found = set()
        for crash_after in range(12):
            data = memory.MemoryDisk()
            stored = open_folder(data)
            stored.append(STATE, entries(1, 5), {})
            data.crash_after = crash_after
            snapshot = schema.Snapshot(50, 2, {}, b"state")
            with contextlib.suppress(memory.SimulatedCrashError):
                stored.save_snapshot(snapshot, (50, 2), (), STATE, {})
            data.crash(random.Random(crash_after))
            again = open_folder(data)
            self.assertEqual(again.hard_state, STATE)
            found.add((again.base, len(again.entries), again.snapshot is not None))
        self.assertEqual(found, {((0, 0), 5, False), ((50, 2), 0, True)})


class DirectoryDiskTest(unittest.TestCase):
    def test_folder_on_the_file_system(self):
        """Guards against a difference between the in-memory disk and real files."""
        with tempfile.TemporaryDirectory() as path:
            root = pathlib.Path(path) / "data"
            stored = open_folder(disk.DirectoryDisk(root))
            with self.assertRaises(errors.FolderLockedError):
                disk.DirectoryDisk(root)
            stored.append(STATE, entries(1, 5), {})
            stored.save_snapshot(
                schema.Snapshot(4, 1, {}, b"state"), (3, 1), entries(4, 5), STATE, {}
            )
            stored.append(STATE, entries(6, 6), {})
            stored.close()
            with open(max(root.glob("log-*")), "ab") as log:
                log.write(b"torn")
            again = open_folder(disk.DirectoryDisk(root))
            self.assertEqual(again.entries, list(entries(4, 6)))
            self.assertEqual(again.snapshot.data, b"state")
            again.close()
