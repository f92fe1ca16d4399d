"""State machine that decides between the owner and the guard of replicated requests.

The owner of a request executes it; its guard holds a copy and takes over if the owner fails. If
each believes that the other has failed, the first proposal committed for their pair decides.
"""

from typing import Literal

import msgspec

from coltsfoothead.coordination.machine import registry

__all__ = [
    "NAME",
    "ArbitrationState",
    "Decided",
    "Replace",
    "Retire",
    "Retired",
    "RetiredMember",
    "Settings",
    "TakeOver",
]

NAME = "arbitration"

# Owner, its incarnation, guard, its incarnation.
_Pair = tuple[str, int, str, int]
_Action = Literal["take_over", "replace"]


class _Message(msgspec.Struct, frozen=True, tag=lambda name: f"{NAME}.{name}"):
    pass


class TakeOver(_Message, frozen=True):
    """The guard proposes to take over the requests of an owner that it believes failed."""

    owner: str
    owner_incarnation: int
    guard: str
    guard_incarnation: int


class Replace(_Message, frozen=True):
    """The owner proposes to replace a guard that it cannot reach."""

    owner: str
    owner_incarnation: int
    guard: str
    guard_incarnation: int


class Retire(_Message, frozen=True):
    """Removes the decisions on pairs with incarnations of a member up to `incarnation`.

    Notes
    -----
    Later proposals with such an incarnation are rejected, because the removed decision may have
    been the opposite one. Propose this only after the requests of the member were taken over.
    """

    member: str
    incarnation: int


class Decided(_Message, frozen=True):
    """The decision on a pair; `won` tells whether it is the proposed one.

    Notes
    -----
    The decision is final for the incarnations of the pair: after ``replace`` the owner must not
    select the same incarnation of that guard again.
    """

    winner: _Action
    index: int
    won: bool


class RetiredMember(_Message, frozen=True):
    """The proposal contains a retired incarnation; nothing was decided."""

    member: str
    incarnation: int


class Retired(_Message, frozen=True):
    """Number of decisions that `Retire` removed."""

    removed: int


class Settings(msgspec.Struct, frozen=True):
    """Limits of the state; they must be equal on all replicas.

    Parameters
    ----------
    retired_members : int
        Number of members whose retired incarnation is kept. At the planned 582 failures and
        restarts a day the default covers 112 days.
    """

    retired_members: int = 65_536


class _Snapshot(msgspec.Struct, frozen=True, array_like=True):
    decisions: list[tuple[_Pair, _Action, int]]
    retired: list[tuple[str, int]]


_ACTIONS: dict[type, _Action] = {TakeOver: "take_over", Replace: "replace"}


@registry.register(
    NAME, commands=(TakeOver, Replace, Retire), results=(Decided, RetiredMember, Retired)
)
class ArbitrationState:
    """Decisions by pair of owner and guard; the first committed proposal of a pair wins."""

    def __init__(self, settings: Settings = Settings()) -> None:  # noqa: B008 - frozen
        self._settings = settings
        self._decisions: dict[_Pair, tuple[_Action, int]] = {}
        self._pairs_by_member: dict[str, dict[_Pair, None]] = {}
        self._retired: dict[str, int] = {}

    def apply(self, index: int, command: msgspec.Struct) -> msgspec.Struct:
        """Applies one command."""
        if isinstance(command, Retire):
            return self._retire(command)
        return self._decide(index, command)

    def decision(
        self, owner: str, owner_incarnation: int, guard: str, guard_incarnation: int
    ) -> tuple[str, int] | None:
        """Returns the winning action for a pair and its log index, or None."""
        return self._decisions.get((owner, owner_incarnation, guard, guard_incarnation))

    def snapshot(self) -> bytes:
        """Returns the serialized state."""
        decisions = [(pair, *decision) for pair, decision in self._decisions.items()]
        return msgspec.msgpack.encode(_Snapshot(decisions, list(self._retired.items())))

    def restore(self, data: bytes) -> None:
        """Replaces the state by a snapshot."""
        snapshot = msgspec.msgpack.decode(data, type=_Snapshot)
        self._decisions = {}
        self._pairs_by_member = {}
        self._retired = dict(snapshot.retired)
        for pair, action, index in snapshot.decisions:
            self._record(pair, action, index)

    def _decide(self, index: int, command: TakeOver | Replace) -> Decided | RetiredMember:
        pair = (
            command.owner,
            command.owner_incarnation,
            command.guard,
            command.guard_incarnation,
        )
        for member, incarnation in (pair[:2], pair[2:]):
            if incarnation <= self._retired.get(member, -1):
                return RetiredMember(member, incarnation)
        action = _ACTIONS[type(command)]
        if pair not in self._decisions:
            self._record(pair, action, index)
        winner, decided_at = self._decisions[pair]
        return Decided(winner, decided_at, winner == action)

    def _record(self, pair: _Pair, action: _Action, index: int) -> None:
        self._decisions[pair] = (action, index)
        for member in (pair[0], pair[2]):
            self._pairs_by_member.setdefault(member, {})[pair] = None

    def _retire(self, command: Retire) -> Retired:
        retired_up_to = max(command.incarnation, self._retired.pop(command.member, -1))
        self._retired[command.member] = retired_up_to
        if len(self._retired) > self._settings.retired_members:
            del self._retired[next(iter(self._retired))]
        retired_pairs = [
            pair
            for pair in self._pairs_by_member.get(command.member, ())
            if any(
                member == command.member and incarnation <= retired_up_to
                for member, incarnation in (pair[:2], pair[2:])
            )
        ]
        for pair in retired_pairs:
            self._remove(pair)
        return Retired(len(retired_pairs))

    def _remove(self, pair: _Pair) -> None:
        del self._decisions[pair]
        for member in {pair[0], pair[2]}:
            pairs = self._pairs_by_member[member]
            del pairs[pair]
            if not pairs:
                del self._pairs_by_member[member]
