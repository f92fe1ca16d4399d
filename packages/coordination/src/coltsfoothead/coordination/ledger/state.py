"""Ledger state machine."""

import collections
import itertools
import sys
from typing import Any

import msgspec

from coltsfoothead.coordination.ledger import commands, keys, limits
from coltsfoothead.coordination.machine import registry

__all__ = ["LedgerState"]

# Memory of one entry without its variable parts: key digest, record, integers, string and bytes
# headers, table slots. Fitted to tracemalloc on CPython 3.11 with 5,000 to 100,000 records.
_RUNNING_FIXED_BYTES = 300
_SETTLED_FIXED_BYTES = 400
_ANSWER_FIXED_BYTES = 200
_TOMBSTONE_BYTES = 180


class _Running(msgspec.Struct, frozen=True, array_like=True, tag=1, gc=False):
    owner: str
    owner_incarnation: int
    request_id: str
    body_digest: bytes
    claim: int


class _Settled(msgspec.Struct, frozen=True, array_like=True, tag=2, gc=False):
    # An answer of None means unknown.
    owner: str
    request_id: str
    body_digest: bytes
    claim: int
    settled_at: int
    answer: commands.Answer | commands.AnswerDigest | None


class _Snapshot(msgspec.Struct, frozen=True, array_like=True):
    clock: int
    records: list[tuple[bytes, _Running | _Settled]]
    settled: list[bytes]
    tombstones: list[tuple[bytes, int]]
    gone: list[tuple[str, int, int]]


_snapshot_decoder = msgspec.msgpack.Decoder(_Snapshot)


@registry.register(
    commands.NAME,
    commands=(
        commands.Claim,
        commands.Complete,
        commands.Release,
        commands.Abandon,
        commands.Expire,
        commands.OwnerGone,
    ),
    results=(
        commands.Claimed,
        commands.Stored,
        commands.Running,
        commands.Unknown,
        commands.KeyReused,
        commands.KeyExpired,
        commands.OwnerRefused,
        commands.Completed,
        commands.Released,
        commands.Abandoned,
        commands.NotClaimant,
        commands.Expired,
        commands.OwnerRemoved,
    ),
)
class LedgerState:
    """Records by key digest: running, then settled (answer or unknown), then a tombstone.

    Notes
    -----
    Time is the highest `now` of any applied command. Records settle in log order, so the queues
    below are ordered by time and expiry looks only at their heads.
    """

    def __init__(self, settings: limits.Settings = limits.Settings()) -> None:  # noqa: B008
        self._settings = settings
        self._clear()

    @property
    def clock(self) -> int:
        """Time of the log in wall-clock milliseconds."""
        return self._clock

    @property
    def counts(self) -> dict[str, int]:
        """Number of records by state."""
        return {
            "running": len(self._records) - len(self._settled),
            "settled": len(self._settled),
            "tombstones": len(self._tombstones),
        }

    def state_bytes(self) -> int:
        """Returns the estimated memory of all records in bytes."""
        return self._bytes

    def apply(self, index: int, command: Any) -> msgspec.Struct:
        """Applies one command."""
        match command:
            case commands.Claim():
                self._clock = max(self._clock, command.now)
                return self._claim(index, command)
            case commands.Complete():
                return self._complete(command)
            case commands.Release():
                return self._release(command)
            case commands.Abandon():
                return self._abandon(command)
            case commands.OwnerGone():
                return self._owner_gone(command)
            case commands.Expire():
                self._clock = max(self._clock, command.now)
                return self._expire()

    def snapshot(self) -> bytes:
        """Returns the whole state."""
        gone = [(owner, *entry) for owner, entry in self._gone.items()]
        return msgspec.msgpack.encode(
            _Snapshot(
                self._clock,
                list(self._records.items()),
                list(self._settled),
                [(digest, self._tombstones[digest]) for digest in self._tombstone_order],
                gone,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replaces the state by that of a snapshot."""
        snapshot = _snapshot_decoder.decode(data)
        self._clear()
        self._clock = snapshot.clock
        for digest, record in snapshot.records:
            record = msgspec.structs.replace(record, owner=sys.intern(record.owner))
            self._put(digest, record)
            if isinstance(record, _Running):
                self._running_of.setdefault(record.owner, {})[digest] = None
        self._settled.extend(snapshot.settled)
        for digest, since in snapshot.tombstones:
            self._bury(digest, since)
        self._gone = {owner: (incarnation, at) for owner, incarnation, at in snapshot.gone}

    def _clear(self) -> None:
        self._clock = 0
        self._bytes = 0
        self._records: dict[bytes, _Running | _Settled] = {}
        self._settled: collections.deque[bytes] = collections.deque()
        self._tombstones: dict[bytes, int] = {}
        self._tombstone_order: collections.deque[bytes] = collections.deque()
        # Digests in claim order: a set would settle them in an order that differs by replica.
        self._running_of: dict[str, dict[bytes, None]] = {}
        self._gone: dict[str, tuple[int, int]] = {}

    def _claim(self, index: int, command: commands.Claim) -> msgspec.Struct:
        if keys.expired_by_age(command.key.value, self._clock, self._settings.retention_ms):
            return commands.KeyExpired()
        digest = keys.digest(command.key)
        record = self._records.get(digest)
        if record is not None:
            return self._duplicate(record, command)
        if digest in self._tombstones:
            return commands.KeyExpired()
        gone = self._gone.get(command.owner)
        if gone is not None and command.owner_incarnation <= gone[0]:
            # Such a record would stay running for ever: its OwnerGone was applied already.
            return commands.OwnerRefused(gone[0])
        owner = sys.intern(command.owner)
        self._put(
            digest,
            _Running(
                owner, command.owner_incarnation, command.request_id, command.body_digest, index
            ),
        )
        self._running_of.setdefault(owner, {})[digest] = None
        return commands.Claimed(index)

    def _duplicate(self, record: _Running | _Settled, command: commands.Claim) -> msgspec.Struct:
        if isinstance(record, _Settled) and self._is_old(record):
            return commands.KeyExpired()
        if record.body_digest != command.body_digest:
            return commands.KeyReused(record.request_id)
        if isinstance(record, _Running):
            if (record.owner, record.owner_incarnation, record.request_id) == (
                command.owner,
                command.owner_incarnation,
                command.request_id,
            ):
                return commands.Claimed(record.claim)
            return commands.Running(record.owner, record.owner_incarnation, record.request_id)
        match record.answer:
            case commands.Answer():
                return commands.Stored(record.request_id, record.answer)
            case commands.AnswerDigest():
                return commands.Unknown(record.request_id, record.answer.status)
        return commands.Unknown(record.request_id)

    def _complete(self, command: commands.Complete) -> msgspec.Struct:
        digest, record = self._find(command)
        if record is None:
            return commands.NotClaimant()
        answer = limits.capped(command.answer, self._settings.answer_limit_bytes)
        if isinstance(record, _Running):
            self._settle(digest, record, answer)
        elif record.answer is None:
            # The owner was given up or gave up, and the answer arrived after all. The place in the
            # queue stays, so the time must stay too.
            self._put(digest, msgspec.structs.replace(record, answer=answer))
        return commands.Completed()

    def _release(self, command: commands.Release) -> msgspec.Struct:
        digest, record = self._find(command)
        if record is None:
            return commands.Released() if digest not in self._records else commands.NotClaimant()
        if not isinstance(record, _Running):
            return commands.NotClaimant()
        self._forget_running(digest, record)
        self._drop(digest)
        return commands.Released()

    def _abandon(self, command: commands.Abandon) -> msgspec.Struct:
        digest, record = self._find(command)
        if record is None:
            return commands.NotClaimant()
        if isinstance(record, _Running):
            self._settle(digest, record, None)
        return commands.Abandoned()

    def _owner_gone(self, command: commands.OwnerGone) -> msgspec.Struct:
        known = self._gone.pop(command.owner, (-1, 0))[0]
        self._gone[command.owner] = (max(known, command.incarnation), self._clock)
        unknown = 0
        for digest in list(self._running_of.get(command.owner, ())):
            record = self._records[digest]
            if record.owner_incarnation <= command.incarnation:
                self._settle(digest, record, None)
                unknown += 1
        return commands.OwnerRemoved(unknown)

    def _expire(self) -> msgspec.Struct:
        budget = self._settings.expire_batch
        shrunk = removed = 0
        while shrunk < budget and self._has_old_record():
            digest = self._settled.popleft()
            due = self._records[digest].settled_at + self._settings.retention_ms
            self._drop(digest)
            self._bury(digest, due)
            shrunk += 1
        while shrunk + removed < budget and self._has_old_tombstone():
            digest = self._tombstone_order.popleft()
            del self._tombstones[digest]
            self._bytes -= _TOMBSTONE_BYTES
            removed += 1
        self._expire_gone(budget)
        more = self._has_old_record() or self._has_old_tombstone()
        return commands.Expired(shrunk, removed, more)

    def _expire_gone(self, budget: int) -> None:
        # A claim that was under way for as long as a tombstone lives has long been dropped.
        for owner, (_, since) in list(itertools.islice(self._gone.items(), budget)):
            if since + self._settings.tombstone_ms > self._clock:
                return
            del self._gone[owner]

    def _is_old(self, record: _Settled) -> bool:
        return record.settled_at + self._settings.retention_ms <= self._clock

    def _has_old_record(self) -> bool:
        return bool(self._settled) and self._is_old(self._records[self._settled[0]])

    def _has_old_tombstone(self) -> bool:
        if not self._tombstone_order:
            return False
        since = self._tombstones[self._tombstone_order[0]]
        return since + self._settings.tombstone_ms <= self._clock

    def _find(
        self, command: commands.Complete | commands.Release | commands.Abandon
    ) -> tuple[bytes, _Running | _Settled | None]:
        digest = keys.digest(command.key)
        record = self._records.get(digest)
        if record is None or (record.owner, record.claim) != (command.owner, command.claim):
            return digest, None
        return digest, record

    def _settle(
        self,
        digest: bytes,
        record: _Running,
        answer: commands.Answer | commands.AnswerDigest | None,
    ) -> None:
        self._forget_running(digest, record)
        self._put(
            digest,
            _Settled(
                record.owner,
                record.request_id,
                record.body_digest,
                record.claim,
                self._clock,
                answer,
            ),
        )
        self._settled.append(digest)

    def _forget_running(self, digest: bytes, record: _Running) -> None:
        running = self._running_of[record.owner]
        del running[digest]
        if not running:
            del self._running_of[record.owner]

    def _put(self, digest: bytes, record: _Running | _Settled) -> None:
        old = self._records.get(digest)
        if old is not None:
            self._bytes -= _record_bytes(old)
        self._records[digest] = record
        self._bytes += _record_bytes(record)

    def _drop(self, digest: bytes) -> None:
        self._bytes -= _record_bytes(self._records.pop(digest))

    def _bury(self, digest: bytes, since: int) -> None:
        self._tombstones[digest] = since
        self._tombstone_order.append(digest)
        self._bytes += _TOMBSTONE_BYTES


def _record_bytes(record: _Running | _Settled) -> int:
    size = len(record.request_id) + len(record.body_digest)
    if isinstance(record, _Running):
        return size + _RUNNING_FIXED_BYTES
    size += _SETTLED_FIXED_BYTES
    if record.answer is not None:
        size += _ANSWER_FIXED_BYTES + limits.answer_bytes(record.answer)
    return size
