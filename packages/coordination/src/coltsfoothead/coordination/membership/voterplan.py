"""Plans the next change of the voters of a Raft log; runs on its leader."""

import dataclasses
from collections.abc import Collection, Mapping

__all__ = ["Admit", "Candidate", "Promote", "Remove", "next_change"]


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A process that holds a replica or is available to hold one.

    Attributes
    ----------
    silent_seconds : float
        Seconds since the last message of the process.
    """

    replica: str
    address: str
    zone: str
    silent_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Admit:
    """Add a replica as learner."""

    candidate: Candidate


@dataclasses.dataclass(frozen=True, slots=True)
class Promote:
    """Make a learner a voter."""

    replica: str


@dataclasses.dataclass(frozen=True, slots=True)
class Remove:
    """Remove a voter or learner."""

    replica: str


def next_change(
    leader_replica: str,
    addresses: Mapping[str, str],
    voters: Collection[str],
    candidates: Collection[Candidate],
    listened_seconds: float,
    target_voters: int,
    silence_timeout_seconds: float,
) -> Admit | Promote | Remove | None:
    """Returns the next change, or None if no change is needed.

    Parameters
    ----------
    leader_replica : str
        Replica of the leader, which is never removed.
    addresses : mapping of str to str
        Address of every member of the log, voters and learners, by replica.
    voters : collection of str
        Replicas of the voters.
    candidates : collection of Candidate
        Every process that has sent a message, including members of the log.
    listened_seconds : float
        Seconds for which the leader has received messages as leader. No member has been silent for
        longer, whether it has sent a message or not.
    target_voters : int
        Target number of voters.
    silence_timeout_seconds : float
        Seconds without a message after which a member may be replaced.

    Notes
    -----
    A silent voter is removed only if a standby can replace it at once. A voter that is merely
    suspended or partitioned does no harm, and removing it would lower the number of lost disks
    that the log survives.

    A voter is removed only while the live ones are a majority of the remaining voters. The removal
    is in force as soon as the leader has appended it, and could otherwise never be committed.
    """
    live = {
        candidate.replica: candidate
        for candidate in candidates
        if candidate.silent_seconds <= silence_timeout_seconds
    }
    silent = addresses.keys() - live.keys() if listened_seconds > silence_timeout_seconds else ()
    for name in addresses:
        if name in voters:
            continue
        if name in silent:
            return Remove(name)
        if len(voters) < target_voters:
            return Promote(name) if name in live else None
    standbys = [candidate for name, candidate in sorted(live.items()) if name not in addresses]
    for standby in standbys:
        # A new replica at the address of a member means that the disk of the old one was lost.
        replaced = [name for name, at in addresses.items() if at == standby.address]
        if not replaced and len(voters) < target_voters:
            return Admit(standby)
        for name in replaced or sorted(silent):
            if name != leader_replica and _can_commit_without(name, voters, live):
                return Remove(name)
    return None


def _can_commit_without(replica: str, voters: Collection[str], live: Collection[str]) -> bool:
    """Returns whether the live voters are a majority of the voters without a replica."""
    remaining = [name for name in voters if name != replica]
    return 2 * sum(name in live for name in remaining) > len(remaining)
