"""Externally visible state of a replica."""

import dataclasses

__all__ = ["Status"]


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """Externally visible state of a replica.

    Attributes
    ----------
    role : str
        ``leader``, ``follower``, ``pre-candidate``, ``candidate`` or ``learner``.
    voters, learners : tuple of str
        IDs of the members in the newest committed membership entry.
    quorum_contact : float or None
        Start (monotonic seconds) of the last heartbeat round that a majority acknowledged; None
        unless this replica is the leader.
    """

    role: str
    term: int
    leader: str | None
    commit_index: int
    applied_index: int
    last_index: int
    snapshot_index: int
    voters: tuple[str, ...]
    learners: tuple[str, ...]
    quorum_contact: float | None
