"""Tests of the data folder: torn writes, corruption, identity and snapshots."""

import contextlib
import pathlib
import random
import tempfile
import unittest

import hypothesis
import storage_builders
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

RNG = random.Random(1)
HARD_STATE = schema.HardState(3, "b")


def make_entries(first, last, term=1):
    return tuple(schema.Entry(i, term, 1, b"data-%d" % i) for i in range(first, last + 1))


def open_folder(data, cluster="cluster", replica="a"):
    return folder.ReplicaFolder(data, cluster, replica, RNG)


def last_segment(data):
    return [name for name in data.names() if name.startswith("log-")][-1]


class FolderTest(unittest.TestCase):
    def setUp(self):
        self.disk = memory.MemoryDisk()

    def test_synced_state_survives_a_crash(self):
        """Guards against a write that returns before its data is durable."""
        stored = open_folder(self.disk)
        record = {"p": schema.PeerRecord(2, 7, 5)}
        stored.append(HARD_STATE, make_entries(1, 5), record)
        stored.append(HARD_STATE, make_entries(4, 4, term=2), {})
        self.disk.crash()
        reopened = open_folder(self.disk)
        self.assertEqual(reopened.hard_state, HARD_STATE)
        self.assertEqual(reopened.pop_entries(), [*make_entries(1, 3), *make_entries(4, 4, term=2)])
        self.assertEqual(reopened.peers, record)
        self.assertEqual(reopened.identity.incarnation, 2)
        self.assertNotEqual(reopened.identity.boot, stored.identity.boot)

    def test_torn_tail_is_truncated(self):
        """Guards against a failed start, or entries read from garbage, after a torn last write."""
        for seed in range(50):
            data = memory.MemoryDisk()
            open_folder(data).append(HARD_STATE, make_entries(1, 3), {})
            name = last_segment(data)
            size = len(data.read(name))
            data.append(name, records.encode(b"x" * 40, size)[:-1])
            data.crash(random.Random(seed))
            reopened = open_folder(data)
            self.assertEqual(reopened.entries, list(make_entries(1, 3)))
            reopened.append(HARD_STATE, make_entries(4, 4), {})
            self.assertEqual(open_folder(data).entries, list(make_entries(1, 4)))

    def test_invalid_record_before_valid_ones_is_corruption(self):
        """Guards against truncating synced entries after a damaged sector."""
        stored = open_folder(self.disk)
        stored.append(HARD_STATE, make_entries(1, 3), {})
        start = len(self.disk.read(last_segment(self.disk)))
        stored.append(HARD_STATE, make_entries(4, 6), {})
        stored.append(HARD_STATE, make_entries(7, 9), {})
        name = last_segment(self.disk)
        content = self.disk.read(name)
        # The length field and the payload are damaged in turn.
        for position in (start, start + 2, start + records.HEADER_BYTES + 3):
            damaged = bytearray(content)
            damaged[position] ^= 0x55
            self.disk.write(name, bytes(damaged))
            with self.assertRaises(errors.CorruptionError):
                open_folder(self.disk)

    def test_torn_payload_with_a_framed_record_is_not_corruption(self):
        """Guards against reading bytes inside a torn payload as a later valid record."""
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
            stored.append(HARD_STATE, make_entries(1, 5), {})
            snapshot = schema.Snapshot(4, 1, {}, b"state")
            stored.save_snapshot(snapshot, (4, 1), make_entries(5, 5), HARD_STATE, {})
            for name in [name for name in data.names() if name.startswith(prefix)]:
                data.remove(name)
            with self.assertRaises(errors.CorruptionError, msg=prefix):
                open_folder(data)

    def test_damaged_snapshot_is_refused(self):
        """Guards against restoring a state machine from a damaged snapshot."""
        stored = open_folder(self.disk)
        stored.append(HARD_STATE, make_entries(1, 5), {})
        stored.save_snapshot(schema.Snapshot(4, 1, {}, b"s" * 99), (4, 1), (), HARD_STATE, {})
        name = next(name for name in self.disk.names() if name.startswith("snapshot-"))
        content = self.disk.read(name)
        self.disk.write(name, content[:-9] + b"?" + content[-8:])
        with self.assertRaises(errors.CorruptionError):
            open_folder(self.disk)

    def test_segments_rotate_and_are_removed(self):
        """Guards against a log that grows without bound or recovers without one of its segments."""
        log = segments.SegmentLog(self.disk, segment_bytes=100)
        log.append(schema.Batch(HARD_STATE, base=(0, 0)))
        for index in range(1, 31):
            log.append(schema.Batch(HARD_STATE, make_entries(index, index)))
        self.assertGreater(len(self.disk.names()), 5)
        self.assertEqual(len(segments.SegmentLog(self.disk, 100).batches), 31)
        middle = self.disk.names()[3]
        broken = self.disk.copy()
        broken.remove(middle)
        with self.assertRaises(errors.CorruptionError):
            segments.SegmentLog(broken, 100)
        log.append(schema.Batch(HARD_STATE, base=(30, 1)))
        self.assertEqual(len(self.disk.names()), 1)

    @hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
    @hypothesis.given(strategies.integers(0, 2**32), strategies.integers(0, 40))
    def test_crash_at_any_operation_keeps_what_was_synced(self, seed, crash_after):
        """Guards against a crash that loses synced data during an append or a snapshot."""
        rng = random.Random(seed)
        data = memory.MemoryDisk()
        stored = open_folder(data)
        synced_term = 0
        data.operations_until_crash = crash_after
        try:
            for last in range(1, 12):
                stored.append(schema.HardState(last, ""), make_entries(last, last), {})
                synced_term = last
                if rng.random() < 0.3:
                    first = rng.randint(0, last)
                    snapshot = schema.Snapshot(last, 1, {}, b"state")
                    base = (first, 1 if first else 0)
                    kept = make_entries(first + 1, last)
                    stored.save_snapshot(snapshot, base, kept, stored.hard_state, {})
        except memory.SimulatedCrashError:
            pass
        data.crash(rng)
        reopened = open_folder(data)
        self.assertIn(reopened.hard_state.term, (synced_term, synced_term + 1))
        last = reopened.base[0] + len(reopened.entries)
        self.assertIn(last, (synced_term, synced_term + 1))
        self.assertEqual(tuple(reopened.entries), make_entries(reopened.base[0] + 1, last))

    @hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
    @hypothesis.given(strategies.integers(0, 2**32), strategies.integers(0, 4000))
    def test_a_full_disk_keeps_what_was_synced(self, seed, room_bytes):
        """Guards against a replica that cannot start again once its full disk has room.

        Beside appends, the disk fills up while a snapshot is stored and while the folder is opened.
        """
        rng = random.Random(seed)
        data = storage_builders.LimitedDisk(rng)
        stored = open_folder(data)
        synced_term = 0
        for _ in range(3):
            data.room_bytes = room_bytes
            with contextlib.suppress(OSError):
                for last in range(synced_term + 1, synced_term + 9):
                    entries = make_entries(last, last)
                    stored.append(schema.HardState(last, ""), entries, {})
                    synced_term = last
                    if rng.random() < 0.3:
                        snapshot = schema.Snapshot(last, 1, {}, b"state" * rng.randint(1, 100))
                        stored.save_snapshot(snapshot, (last, 1), (), stored.hard_state, {})
            for data.room_bytes in (0, rng.randint(0, 40), rng.randint(0, 200)):
                with contextlib.suppress(OSError):
                    open_folder(data)
            data.room_bytes = None
            stored = open_folder(data)
            last = stored.base[0] + len(stored.entries)
            self.assertIn(last, (synced_term, synced_term + 1))
            self.assertEqual(tuple(stored.entries), make_entries(stored.base[0] + 1, last))
            synced_term = last

    def test_crash_while_a_received_snapshot_is_installed(self):
        """Guards against a log that disagrees with a snapshot stored right before a crash."""
        outcomes = set()
        for crash_after in range(12):
            data = memory.MemoryDisk()
            stored = open_folder(data)
            stored.append(HARD_STATE, make_entries(1, 5), {})
            data.operations_until_crash = crash_after
            snapshot = schema.Snapshot(50, 2, {}, b"state")
            with contextlib.suppress(memory.SimulatedCrashError):
                stored.save_snapshot(snapshot, (50, 2), (), HARD_STATE, {})
            data.crash(random.Random(crash_after))
            reopened = open_folder(data)
            self.assertEqual(reopened.hard_state, HARD_STATE)
            outcomes.add((reopened.base, len(reopened.entries), reopened.snapshot is not None))
        self.assertEqual(outcomes, {((0, 0), 5, False), ((50, 2), 0, True)})


class DirectoryDiskTest(unittest.TestCase):
    def test_folder_on_the_file_system(self):
        """Guards against a difference between the in-memory disk and real files."""
        with tempfile.TemporaryDirectory() as path:
            root = pathlib.Path(path) / "data"
            stored = open_folder(disk.DirectoryDisk(root))
            with self.assertRaises(errors.FolderLockedError):
                disk.DirectoryDisk(root)
            stored.append(HARD_STATE, make_entries(1, 5), {})
            stored.save_snapshot(
                schema.Snapshot(4, 1, {}, b"state"), (3, 1), make_entries(4, 5), HARD_STATE, {}
            )
            stored.append(HARD_STATE, make_entries(6, 6), {})
            stored.close()
            with open(max(root.glob("log-*")), "ab") as log:
                log.write(b"torn")
            reopened = open_folder(disk.DirectoryDisk(root))
            self.assertEqual(reopened.entries, list(make_entries(4, 6)))
            self.assertEqual(reopened.snapshot.data, b"state")
            reopened.close()
