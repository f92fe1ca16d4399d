"""Tree over the members along which the configuration and its lease travel."""

import dataclasses
from collections.abc import Iterable, Sequence

__all__ = ["DEFAULT_ARITY", "Member", "ParentChoice", "order", "parents"]

# 1,200 members are at most four steps from the leader, and a parent answers 16 polls a second.
DEFAULT_ARITY = 8
# One lease length: a parent that was silent is asked again once its answer would matter anew.
_RETRY_SECONDS = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A daemon as the tree sees it."""

    name: str
    region: str
    zone: str
    voter: bool = False


def order(members: Iterable[Member], leader: str | None) -> list[Member]:
    """Returns the members in tree order: leader, voters, then the others by region and zone."""
    return sorted(
        members,
        key=lambda member: (
            member.name != leader,
            not member.voter,
            member.region,
            member.zone,
            member.name,
        ),
    )


def parents(
    name: str, members: Iterable[Member], leader: str | None, arity: int = DEFAULT_ARITY
) -> list[str]:
    """Returns whom a member asks, in order of preference.

    Parameters
    ----------
    name : str
        The asking member.
    members : iterable of Member
        All live members.
    leader : str or None
        The leader, if it is known.
    arity : int
        Children per member.

    Returns
    -------
    list of str
        The parent, its ancestors up to the root, then the remaining voters. Empty for the leader
        and for a member that is not in `members`.

    Notes
    -----
    Members may disagree about the tree. A cycle is harmless, since a lease passed around only
    becomes shorter.
    """
    ordered = order(members, leader)
    positions = {member.name: position for position, member in enumerate(ordered)}
    if name not in positions or name == leader:
        return []
    chain = []
    position = positions[name]
    while position > 0:
        position = (position - 1) // arity
        chain.append(ordered[position].name)
    voters = [member.name for member in ordered if member.voter and member.name != name]
    return list(dict.fromkeys(chain + voters))


class ParentChoice:
    """Chooses whom to ask now, passing over parents that did not answer lately."""

    def __init__(self) -> None:
        self._silent_since: dict[str, float] = {}

    def choose(self, candidates: Sequence[str], now: float) -> str | None:
        """Returns the first candidate that is not known to be silent.

        Notes
        -----
        If all are, the one that has been passed over longest is asked. None means that there is no
        candidate.
        """
        self._silent_since = {
            name: since for name, since in self._silent_since.items() if name in candidates
        }
        for name in candidates:
            since = self._silent_since.get(name)
            if since is None or now - since >= _RETRY_SECONDS:
                return name
        return min(candidates, key=self._silent_since.__getitem__, default=None)

    def answered(self, name: str) -> None:
        """Records an answer."""
        self._silent_since.pop(name, None)

    def unanswered(self, name: str, now: float) -> None:
        """Records that a poll was given up."""
        self._silent_since[name] = now
