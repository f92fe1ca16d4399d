"""Timings and limits of the replicated log."""

import dataclasses

__all__ = ["Settings"]


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Timings in seconds and limits.

    Attributes
    ----------
    election_timeout_min_seconds, election_timeout_max_seconds : float
        Range of the randomised election timeout. A voter refuses to vote for the minimum after
        it heard from a leader; a leader steps down after the maximum without a majority.
    tick_seconds : float
        Longest time between two ticks of `LogTask`.
    max_inbox_messages : int
        Received messages that may wait; more are dropped, as if the network had lost them.
    snapshot_entries : int
        Applied entries after which a new snapshot is taken.
    retained_entries : int
        Entries kept before a snapshot, so that a short absence needs no snapshot transfer.
    require_zone_spread : bool
        Whether to refuse a change that gives one zone a majority of the voters.
    """

    heartbeat_seconds: float = 0.150
    election_timeout_min_seconds: float = 0.600
    election_timeout_max_seconds: float = 1.200
    tick_seconds: float = 0.075
    peer_flush_seconds: float = 1.0
    max_batch_entries: int = 512
    max_batch_bytes: int = 1024 * 1024
    max_inflight_entries: int = 4096
    max_inbox_messages: int = 8192
    snapshot_chunk_bytes: int = 64 * 1024
    snapshot_entries: int = 10_000
    retained_entries: int = 1_000
    require_zone_spread: bool = True
