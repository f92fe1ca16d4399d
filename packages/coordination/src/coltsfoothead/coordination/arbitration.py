"""Arbitration between the owner and the guard of replicated requests."""

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

_Pair = tuple[str, int, str, int]
_Action = Literal["take_over", "replace"]


class _Message(msgspec.Struct, frozen=True, tag=lambda name: f"{NAME}.{name}"):
    pass


class TakeOver(_Message, frozen=True):
    """The guard proposes to own the requests of an owner that it believes lost."""

    owner: str
    owner_incarnation: int
    guard: str
    guard_incarnation: int


class Replace(_Message, frozen=True):
    """The owner proposes to go on without a guard that it cannot reach."""

    owner: str
    owner_incarnation: int
    guard: str
    guard_incarnation: int


class Retire(_Message, frozen=True):
    """Removes the pairs of a member's incarnations up to `incarnation`.

    Notes
    -----
    Later proposals that name such an incarnation are refused, because the removed decision may
    have gone the other way. Propose it only after the member's requests have been taken over.
    """

    member: str
    incarnation: int


class Decided(_Message, frozen=True):
    """The decision for a pair; `won` says whether it is the one proposed.

    Notes
    -----
    The decision stands for the pair's incarnations: after ``replace`` the owner must not choose the
    same incarnation of that guard again.
    """

    winner: _Action
    index: int
    won: bool


class RetiredMember(_Message, frozen=True):
    """The proposal names a retired incarnation; nothing was decided."""

    member: str
    incarnation: int


class Retired(_Message, frozen=True):
    """Number of pairs that `Retire` removed."""

    removed: int


class Settings(msgspec.Struct, frozen=True):
    """Bounds of the state.

    Parameters
    ----------
    retired_members : int
        Members whose retired incarnation is remembered. At the planned 582 failures and restarts a
        day the default covers 112 days.
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
    """Decisions by pair; the first committed proposal of a pair wins."""

    def __init__(self, settings: Settings = Settings()) -> None:  # noqa: B008 - frozen
        self._settings = settings
        self._decisions: dict[_Pair, tuple[_Action, int]] = {}
        self._pairs_of: dict[str, dict[_Pair, None]] = {}
        self._retired: dict[str, int] = {}

    def apply(self, index: int, command: msgspec.Struct) -> msgspec.Struct:
        """Applies one command."""
        if isinstance(command, Retire):
            return self._retire(command)
        return self._decide(index, command)

    def decision(
        self, owner: str, owner_incarnation: int, guard: str, guard_incarnation: int
    ) -> tuple[str, int] | None:
        """Returns the winner of a pair with its log index, or None."""
        return self._decisions.get((owner, owner_incarnation, guard, guard_incarnation))

    def snapshot(self) -> bytes:
        """Returns the whole state."""
        decisions = [(pair, *decision) for pair, decision in self._decisions.items()]
        return msgspec.msgpack.encode(_Snapshot(decisions, list(self._retired.items())))

    def restore(self, data: bytes) -> None:
        """Replaces the state by that of a snapshot."""
        snapshot = msgspec.msgpack.decode(data, type=_Snapshot)
        self._decisions = {}
        self._pairs_of = {}
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
            self._pairs_of.setdefault(member, {})[pair] = None

    def _retire(self, command: Retire) -> Retired:
        floor = max(command.incarnation, self._retired.pop(command.member, -1))
        self._retired[command.member] = floor
        if len(self._retired) > self._settings.retired_members:
            del self._retired[next(iter(self._retired))]
        old = [
            pair
            for pair in self._pairs_of.get(command.member, ())
            if any(
                member == command.member and incarnation <= floor
                for member, incarnation in (pair[:2], pair[2:])
            )
        ]
        for pair in old:
            self._remove(pair)
        return Retired(len(old))

    def _remove(self, pair: _Pair) -> None:
        del self._decisions[pair]
        for member in {pair[0], pair[2]}:
            pairs = self._pairs_of[member]
            del pairs[pair]
            if not pairs:
                del self._pairs_of[member]
