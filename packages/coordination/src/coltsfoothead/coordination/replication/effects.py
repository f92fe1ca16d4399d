"""Effects of a step of the Raft state machine, for the caller to execute."""

import dataclasses

from coltsfoothead.coordination.replication import messages as messages_module
from coltsfoothead.coordination.storage import schema

__all__ = ["Effects", "SnapshotInstall", "merge"]


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotInstall:
    """Snapshot to store together with the log that replaces the stored one.

    Attributes
    ----------
    snapshot : Snapshot
        Snapshot; one received from the leader also replaces the content of the state machine.
    base : tuple of int
        Index and term of the entry before the first of `entries`.
    entries : tuple of Entry
        Entries that stay in the log.
    """

    snapshot: schema.Snapshot
    base: tuple[int, int]
    entries: tuple[schema.Entry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Effects:
    """Effects of one or more calls of a replica, in the order in which they must be executed.

    Attributes
    ----------
    install : SnapshotInstall or None
        Snapshot received from the leader.
    hard_state : HardState or None
        Term and vote to sync; None if they did not change.
    entries : tuple of Entry
        Entries to sync; they replace the stored log from their first index on.
    peers : dict of str to PeerRecord
        Changed peer records, by replica ID; synced if `sync` is true.
    sync : bool
        Whether a write must be synced before the messages are sent.
    messages : tuple
        Pairs of receiver ID and envelope to send after the sync.
    committed : tuple of Entry
        Newly committed entries to apply after the sync.
    reads : tuple of int
        IDs of the read barriers that are complete once `committed` is applied.
    """

    install: SnapshotInstall | None = None
    hard_state: schema.HardState | None = None
    entries: tuple[schema.Entry, ...] = ()
    peers: dict[str, schema.PeerRecord] = dataclasses.field(default_factory=dict)
    sync: bool = False
    messages: tuple[tuple[str, messages_module.Envelope], ...] = ()
    committed: tuple[schema.Entry, ...] = ()
    reads: tuple[int, ...] = ()


def merge(first: Effects, second: Effects) -> Effects:
    """Combines the effects of two successive calls; `second.install` must be None."""
    entries = first.entries
    if second.entries:
        start = second.entries[0].index
        entries = tuple(entry for entry in entries if entry.index < start) + second.entries
    return Effects(
        install=first.install,
        hard_state=second.hard_state or first.hard_state,
        entries=entries,
        peers={**first.peers, **second.peers},
        sync=first.sync or second.sync,
        messages=first.messages + second.messages,
        committed=first.committed + second.committed,
        reads=first.reads + second.reads,
    )
