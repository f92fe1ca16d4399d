"""Structures that are stored in the data folder."""

import msgspec

__all__ = ["Batch", "Entry", "HardState", "Identity", "Member", "PeerRecord", "Snapshot"]


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """Entry of the replicated log; `kind` is one of the constants in `replication.logview`."""

    index: int
    term: int
    kind: int
    data: bytes


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """Current term and the candidate that got this replica's vote in it (empty if none)."""

    term: int = 0
    vote: str = ""


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Member of the replication group."""

    address: str
    zone: str
    voter: bool


class PeerRecord(msgspec.Struct, frozen=True, array_like=True):
    """Latest incarnation and boot number seen from a peer, and its highest acknowledged index."""

    incarnation: int = 0
    boot: int = 0
    acknowledged_index: int = 0


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """Group members and state machine content after applying the entries up to `index`."""

    index: int
    term: int
    members: dict[str, Member]
    data: bytes


class Identity(msgspec.Struct, frozen=True):
    """Identity of a data folder.

    `boot` is a random number drawn at each start. It tells two starts with the same incarnation
    apart, which happens when a folder is restored from a copy.
    """

    cluster: str
    replica: str
    incarnation: int
    boot: int


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """Content of one log record, written and synced at once.

    With `base` (index and term of the entry before the first one) the batch replaces the whole
    log; otherwise its entries replace those from their first index on.
    """

    hard_state: HardState
    entries: tuple[Entry, ...] = ()
    peers: dict[str, PeerRecord] = {}
    base: tuple[int, int] | None = None
