"""Which change of the voters comes next, decided by the leader of a log."""

import dataclasses
from collections.abc import Collection, Mapping

__all__ = ["Admit", "Candidate", "Promote", "Remove", "next_change"]


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A live process that holds, or wants, a replica.

    Attributes
    ----------
    silent_seconds : float
        Since it was heard from.
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
    own: str,
    addresses: Mapping[str, str],
    voters: Collection[str],
    candidates: Collection[Candidate],
    wanted: int,
    patience_seconds: float,
) -> Admit | Promote | Remove | None:
    """Returns the next change, or None if the voters are as wanted.

    Parameters
    ----------
    own : str
        The leader's replica, which is never removed.
    addresses : mapping of str to str
        Address of every member, voters and learners.
    voters : collection of str
    candidates : collection of Candidate
        Every process that was heard from, members included.
    wanted : int
        Number of voters.
    patience_seconds : float
        Silence after which a member may be replaced.

    Notes
    -----
    A silent voter is removed only if another process can take its place at once: a voter that is
    only suspended or cut off does no harm, and removing it would lower the number of lost disks
    that the log survives.
    """
    live = {each.replica: each for each in candidates if each.silent_seconds <= patience_seconds}
    learners = [name for name in addresses if name not in voters]
    for name in learners:
        if name not in live:
            return Remove(name)
        if len(voters) < wanted:
            return Promote(name)
    standbys = [each for name, each in sorted(live.items()) if name not in addresses]
    for standby in standbys:
        replaced = [name for name, at in addresses.items() if at == standby.address]
        if replaced and replaced[0] != own:
            # The disk at this address was lost, and with it the old replica.
            return Remove(replaced[0])
        if len(voters) < wanted:
            return Admit(standby)
        silent = [name for name in sorted(voters) if name not in live and name != own]
        if silent:
            return Remove(silent[0])
    return None
