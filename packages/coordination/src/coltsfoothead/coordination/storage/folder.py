"""Data folder of one replica."""

import random

import msgspec

from coltsfoothead.coordination.storage import disk as disk_module
from coltsfoothead.coordination.storage import errors, records, schema, segments

__all__ = ["ReplicaFolder"]

_IDENTITY_FILE = "identity"
_SNAPSHOT_PREFIX = "snapshot-"
_TEMPORARY_SUFFIX = ".tmp"


class ReplicaFolder:
    """Durable state of one replica; each opening increments the incarnation.

    Parameters
    ----------
    disk : Disk
        Data folder.
    cluster, replica : str
        IDs of the cluster and the replica. A folder with other IDs is refused; an empty folder
        gets these.
    rng : random.Random
        Random source for the boot number.

    Raises
    ------
    WrongClusterError, WrongReplicaError
        If the folder belongs to another cluster or replica.
    CorruptionError
        If synced data is damaged or missing.

    Attributes
    ----------
    identity : Identity
        Identity with the incarnation and boot number of this start.
    fresh : bool
        Whether the folder contained no term, entry or snapshot before this start.
    hard_state : HardState
        Term and vote.
    base : tuple of int
        Index and term of the entry before the first one in `entries`.
    entries : list of Entry
        Entries found at opening or given to `bootstrap`; empty after `pop_entries`.
    peers : dict of str to PeerRecord
        Latest start and highest acknowledged index seen per peer.
    snapshot : Snapshot or None
        Latest snapshot.
    """

    def __init__(self, disk: disk_module.Disk, cluster: str, replica: str, rng: random.Random):
        self._disk = disk
        previous = self._read_identity(cluster, replica)
        self._remove_temporary_files()
        self.hard_state = schema.HardState()
        self.base = (0, 0)
        self.entries: list[schema.Entry] = []
        self.peers: dict[str, schema.PeerRecord] = {}
        self.snapshot = self._read_snapshot()
        self._log = segments.SegmentLog(disk)
        self._replay(previous)
        self.fresh = self.snapshot is None and not self.entries and not self.hard_state.term
        self.identity = schema.Identity(
            cluster=cluster,
            replica=replica,
            incarnation=(previous.incarnation if previous else 0) + 1,
            boot=rng.getrandbits(63),
        )
        self._write_atomically(_IDENTITY_FILE, msgspec.msgpack.encode(self.identity))

    def bootstrap(self, hard_state: schema.HardState, entries: tuple[schema.Entry, ...]) -> None:
        """Stores the first entries of a new cluster; the folder must be fresh."""
        if not self.fresh:
            raise errors.StorageError("only an empty folder can be bootstrapped")
        self.append(hard_state, entries, {})
        self.entries = list(entries)
        self.fresh = False

    def pop_entries(self) -> list[schema.Entry]:
        """Returns the entries found at opening and drops the reference to them."""
        entries, self.entries = self.entries, []
        return entries

    def append(
        self,
        hard_state: schema.HardState,
        entries: tuple[schema.Entry, ...],
        peers: dict[str, schema.PeerRecord],
    ) -> None:
        """Appends one batch to the log and syncs it.

        Parameters
        ----------
        hard_state : HardState
            Current term and vote.
        entries : tuple of Entry
            Entries to write; they replace stored ones from the index of the first on.
        peers : dict of str to PeerRecord
            Changed records of peers.
        """
        self.hard_state = hard_state
        self.peers.update(peers)
        self._log.append(schema.Batch(hard_state, entries, peers))

    def save_snapshot(
        self,
        snapshot: schema.Snapshot,
        base: tuple[int, int],
        entries: tuple[schema.Entry, ...],
        hard_state: schema.HardState,
        peers: dict[str, schema.PeerRecord],
    ) -> None:
        """Stores a snapshot, then replaces the log by `base` and `entries`.

        Parameters
        ----------
        snapshot : Snapshot
            Snapshot; its index must lie between `base` and the last entry.
        base : tuple of int
            Index and term of the entry before the first of `entries`.
        entries : tuple of Entry
            Entries that stay in the log.
        hard_state : HardState
            Current term and vote.
        peers : dict of str to PeerRecord
            Changed records of peers.
        """
        name = f"{_SNAPSHOT_PREFIX}{snapshot.index:020d}"
        self._write_atomically(name, msgspec.msgpack.encode(snapshot))
        self.snapshot = snapshot
        self.hard_state = hard_state
        self.peers.update(peers)
        self._log.append(schema.Batch(hard_state, entries, self.peers, base))
        for other in self._disk.names():
            if other.startswith(_SNAPSHOT_PREFIX) and other != name:
                self._disk.remove(other)

    def close(self) -> None:
        """Releases the disk."""
        self._disk.close()

    def _write_atomically(self, name: str, payload: bytes) -> None:
        temporary = name + _TEMPORARY_SUFFIX
        self._disk.write(temporary, records.encode(payload, 0))
        self._disk.sync(temporary)
        self._disk.rename(temporary, name)
        self._disk.sync_folder()

    def _remove_temporary_files(self) -> None:
        for name in self._disk.names():
            if name.endswith(_TEMPORARY_SUFFIX):
                self._disk.remove(name)

    def _read_identity(self, cluster: str, replica: str) -> schema.Identity | None:
        if _IDENTITY_FILE not in self._disk.names():
            return None
        identity = self._read_struct(_IDENTITY_FILE, schema.Identity)
        if identity.cluster != cluster:
            raise errors.WrongClusterError(
                f"folder belongs to cluster {identity.cluster!r}, not {cluster!r}"
            )
        if identity.replica != replica:
            raise errors.WrongReplicaError(
                f"folder belongs to replica {identity.replica!r}, not {replica!r}"
            )
        return identity

    def _read_struct(self, name: str, struct_type):
        payload = records.decode_one(self._disk.read(name), name)
        try:
            return msgspec.msgpack.decode(payload, type=struct_type)
        except msgspec.MsgspecError as error:
            raise errors.CorruptionError(f"file {name!r}: {error}") from error

    def _read_snapshot(self) -> schema.Snapshot | None:
        names = [name for name in self._disk.names() if name.startswith(_SNAPSHOT_PREFIX)]
        return self._read_struct(names[-1], schema.Snapshot) if names else None

    def _replay(self, previous: schema.Identity | None) -> None:
        batches = self._log.batches
        if previous is None and (self.snapshot or len(batches) > 1):
            raise errors.CorruptionError("the identity file is missing")
        if previous is not None and not batches:
            raise errors.CorruptionError("the log is missing")
        if not batches:
            # The log is created before the identity file, so a folder with an identity has a log.
            self._log.append(schema.Batch(self.hard_state, base=self.base))
            return
        for batch in batches:
            self._replay_batch(batch)
        self._log.batches = []
        self._reconcile_with_snapshot()

    def _replay_batch(self, batch: schema.Batch) -> None:
        self.hard_state = batch.hard_state
        if batch.base is not None:
            self.base, self.entries = batch.base, []
        self.peers.update(batch.peers)
        if batch.entries:
            kept_count = batch.entries[0].index - self.base[0] - 1
            if not 0 <= kept_count <= len(self.entries):
                raise errors.CorruptionError(
                    f"gap in the log before entry {batch.entries[0].index}"
                )
            del self.entries[kept_count:]
            self.entries.extend(batch.entries)

    def _reconcile_with_snapshot(self) -> None:
        snapshot = self.snapshot
        if snapshot is None or snapshot.index < self.base[0]:
            if self.base[0]:
                raise errors.CorruptionError(f"no snapshot covers index {self.base[0]}")
            return
        position = snapshot.index - self.base[0]
        term = self.base[1]
        if position:
            in_log = position <= len(self.entries)
            term = self.entries[position - 1].term if in_log else None
        if term != snapshot.term:
            # A crash came after a received snapshot was stored and before the log was reset.
            self.base, self.entries = (snapshot.index, snapshot.term), []
            self._log.append(schema.Batch(self.hard_state, (), self.peers, self.base))
