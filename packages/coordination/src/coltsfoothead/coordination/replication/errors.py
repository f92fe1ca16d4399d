"""Errors of the replication package."""

from coltsfoothead.coordination import errors

__all__ = [
    "LogSafetyError",
    "MembershipChangeError",
    "MessageError",
    "NotCaughtUpError",
    "NotLeaderError",
    "ProposalLostError",
    "QuorumLostError",
    "ReplicationError",
    "RolledBackError",
    "StoppedError",
    "ZoneSpreadError",
]


class ReplicationError(errors.CoordinationError):
    """Base class of replication errors."""


class NotLeaderError(ReplicationError):
    """This replica is not the leader; the request had no effect.

    Attributes
    ----------
    leader : str or None
        ID of the replica to contact instead, if known.
    """

    def __init__(self, leader: str | None):
        super().__init__(f"this replica is not the leader; the leader is {leader or 'unknown'}")
        self.leader = leader


class ProposalLostError(ReplicationError):
    """The outcome of a proposal is unknown: it may be applied later or never."""


class QuorumLostError(ReplicationError):
    """No majority of voters was reached in time; the request had no effect."""


class MembershipChangeError(ReplicationError):
    """The membership change is not possible now."""


class NotCaughtUpError(MembershipChangeError):
    """The learner has not synced all committed entries yet."""


class ZoneSpreadError(MembershipChangeError):
    """The change would give one zone a majority of the voters."""


class RolledBackError(ReplicationError):
    """The data folder of this replica is older than a state that a peer has recorded of it."""


class LogSafetyError(ReplicationError):
    """A message contradicts a committed entry."""


class MessageError(ReplicationError):
    """A received message cannot be decoded or belongs to another cluster."""


class StoppedError(ReplicationError):
    """The replica has stopped."""
