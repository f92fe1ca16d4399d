"""Timings and limits of the replicated log."""

import dataclasses

__all__ = ["Settings"]


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Timings in seconds and limits.

    Attributes
    ----------
    election_timeout_min_seconds, election_timeout_max_seconds : float
        Range of the randomised election timeout. A voter refuses its vote for the minimum after
        the last message of a leader; a leader steps down after the maximum without a response
        from a majority.
    tick_seconds : float
        Longest time between two ticks of `LogTask`.
    peer_flush_seconds : float
        Longest time for which a higher acknowledged index of a peer may stay unwritten.
    max_batch_entries, max_batch_bytes : int
        Limits of the entries in one message; `max_batch_entries` also limits the commands that
        are submitted at once.
    max_inflight_entries : int
        Unacknowledged entries beyond which nothing more is sent to a peer.
    max_inbox_messages : int
        Received messages that may be queued; further ones are dropped, like lost messages.
    snapshot_chunk_bytes : int
        Size of a snapshot chunk in one message.
    snapshot_entries : int
        Applied entries after which a new snapshot is taken.
    retained_entries : int
        Entries kept in the log before a snapshot, so that a replica that was down briefly needs
        no snapshot transfer.
    require_zone_spread : bool
        Whether to reject a change that gives one zone a majority of the voters.
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
