"""Distribution tree of the members for the configuration and its lease."""

import dataclasses
from collections.abc import Iterable, Sequence

__all__ = ["DEFAULT_ARITY", "Member", "ParentSelector", "order", "parent_candidates"]

# 1,200 members are at most four hops from the leader, and a parent answers 16 polls per second.
DEFAULT_ARITY = 8
# One lease length: a failed parent is polled again once its answer can extend a lease again.
_PARENT_RETRY_SECONDS = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Node of the tree: a daemon with the attributes that determine its position."""

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


def parent_candidates(
    name: str, members: Iterable[Member], leader: str | None, arity: int = DEFAULT_ARITY
) -> list[str]:
    """Returns the members that a member may poll, in order of preference.

    Parameters
    ----------
    name : str
        The polling member.
    members : iterable of Member
        All live members.
    leader : str or None
        The leader, if it is known.
    arity : int
        Largest number of children per member.

    Returns
    -------
    list of str
        The parent, its ancestors up to the root, then the remaining voters. Empty for the leader
        and for a member that is not in `members`.

    Notes
    -----
    Members may have different views of the tree. A cycle is harmless, since a lease only becomes
    shorter with every hop.
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


class ParentSelector:
    """Selects the parent to poll, skipping candidates that failed recently."""

    def __init__(self) -> None:
        self._failed_at: dict[str, float] = {}

    def choose(self, candidates: Sequence[str], now: float) -> str | None:
        """Returns the first candidate that has not failed recently.

        Notes
        -----
        If all have failed, the one whose failure is the oldest is returned; None if there are no
        candidates.
        """
        self._failed_at = {
            name: failed_at for name, failed_at in self._failed_at.items() if name in candidates
        }
        for name in candidates:
            failed_at = self._failed_at.get(name)
            if failed_at is None or now - failed_at >= _PARENT_RETRY_SECONDS:
                return name
        return min(candidates, key=self._failed_at.__getitem__, default=None)

    def record_success(self, name: str) -> None:
        """Records that a candidate granted a lease."""
        self._failed_at.pop(name, None)

    def record_failure(self, name: str, now: float) -> None:
        """Records that a poll timed out or granted no lease."""
        self._failed_at[name] = now
