"""What the caller of a replica has to do."""

import dataclasses

from coltsfoothead.coordination.replication import messages as messages_module
from coltsfoothead.coordination.storage import schema

__all__ = ["Effects", "Install", "merge"]


@dataclasses.dataclass(frozen=True, slots=True)
class Install:
    """Snapshot to store, with the log that stays after it, and to restore the machine from."""

    snapshot: schema.Snapshot
    base: tuple[int, int]
    entries: tuple[schema.Entry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Effects:
    """Work in the order in which it must be done.

    Attributes
    ----------
    install : Install or None
        Snapshot received from the leader.
    hard_state : HardState or None
        Term and vote to sync, if they changed.
    entries : tuple of Entry
        Entries to sync; they replace the log from their first index on.
    peers : dict of str to PeerRecord
        Changed records of peers.
    sync : bool
        Whether there is anything that must be synced before the messages are sent.
    messages : tuple
        Pairs of peer and envelope to send after the sync.
    committed : tuple of Entry
        Entries to apply after the sync.
    reads : tuple of int
        Barriers that hold once `committed` is applied.
    """

    install: Install | None = None
    hard_state: schema.HardState | None = None
    entries: tuple[schema.Entry, ...] = ()
    peers: dict[str, schema.PeerRecord] = dataclasses.field(default_factory=dict)
    sync: bool = False
    messages: tuple[tuple[str, messages_module.Envelope], ...] = ()
    committed: tuple[schema.Entry, ...] = ()
    reads: tuple[int, ...] = ()


def merge(first: Effects, second: Effects) -> Effects:
    """Returns the effects of two calls as one; `second` must not contain an install."""
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
