"""Ledger state machine."""

import collections
import itertools
import sys
from typing import Any

import msgspec

from coltsfoothead.coordination.ledger import commands, keys, limits
from coltsfoothead.coordination.machine import registry

__all__ = ["LedgerState"]

# Memory of one entry without its variable-length parts: key digest, record, integers, object
# headers of strings and bytes, dictionary slots. The values match tracemalloc on CPython 3.11 with
# 5,000 to 100,000 records.
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
    # `answer` is None if the outcome of the call is unknown.
    owner: str
    request_id: str
    body_digest: bytes
    claim: int
    settled_at: int
    answer: commands.Answer | commands.AnswerDigest | None


class _Snapshot(msgspec.Struct, frozen=True, array_like=True):
    clock: int
    records: list[tuple[bytes, _Running | _Settled]]
    settled_order: list[bytes]
    tombstones: list[tuple[bytes, int]]
    gone_owners: list[tuple[str, int, int]]


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
    """State machine of the ledger.

    Notes
    -----
    A record is kept under the digest of its key. It is running first, then settled (with an answer
    or as unknown), and is replaced by a tombstone after the retention.

    Time is the highest `now` of the applied commands. Records settle in log order, so the queues of
    settled records and of tombstones are ordered by time, and expiry looks only at their heads.
    """

    def __init__(self, settings: limits.Settings = limits.Settings()) -> None:  # noqa: B008
        self._settings = settings
        self._clear()

    @property
    def clock(self) -> int:
        """Highest `now` of the applied commands, in wall-clock milliseconds."""
        return self._clock

    @property
    def counts(self) -> dict[str, int]:
        """Number of records by state."""
        return {
            "running": len(self._records) - len(self._settled_order),
            "settled": len(self._settled_order),
            "tombstones": len(self._tombstones),
        }

    def state_bytes(self) -> int:
        """Returns the estimated memory of all records in bytes."""
        return self._state_bytes

    def apply(self, index: int, command: Any) -> msgspec.Struct:
        """Applies one command and returns its result."""
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
        """Returns the encoded state."""
        gone_owners = [(owner, *entry) for owner, entry in self._gone_owners.items()]
        return msgspec.msgpack.encode(
            _Snapshot(
                self._clock,
                list(self._records.items()),
                list(self._settled_order),
                [(digest, self._tombstones[digest]) for digest in self._tombstone_order],
                gone_owners,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replaces the state by that of a snapshot."""
        snapshot = _snapshot_decoder.decode(data)
        self._clear()
        self._clock = snapshot.clock
        for digest, record in snapshot.records:
            record = msgspec.structs.replace(record, owner=sys.intern(record.owner))
            self._store_record(digest, record)
            if isinstance(record, _Running):
                self._running_by_owner.setdefault(record.owner, {})[digest] = None
        self._settled_order.extend(snapshot.settled_order)
        for digest, retired_at in snapshot.tombstones:
            self._add_tombstone(digest, retired_at)
        self._gone_owners = {
            owner: (incarnation, gone_at) for owner, incarnation, gone_at in snapshot.gone_owners
        }

    def _clear(self) -> None:
        self._clock = 0
        self._state_bytes = 0
        self._records: dict[bytes, _Running | _Settled] = {}
        self._settled_order: collections.deque[bytes] = collections.deque()
        # End of the retention of the record by key digest, in wall-clock milliseconds.
        self._tombstones: dict[bytes, int] = {}
        self._tombstone_order: collections.deque[bytes] = collections.deque()
        # Dictionaries keep the digests in claim order; sets would settle them in an order that
        # differs between replicas.
        self._running_by_owner: dict[str, dict[bytes, None]] = {}
        # Highest gone incarnation and time of the latest `OwnerGone` by owner.
        self._gone_owners: dict[str, tuple[int, int]] = {}

    def _claim(self, index: int, command: commands.Claim) -> msgspec.Struct:
        if keys.expired_by_age(command.key.value, self._clock, self._settings.retention_ms):
            return commands.KeyExpired()
        digest = keys.digest(command.key)
        record = self._records.get(digest)
        if record is not None:
            return self._duplicate_result(record, command)
        if digest in self._tombstones:
            return commands.KeyExpired()
        gone = self._gone_owners.get(command.owner)
        if gone is not None and command.owner_incarnation <= gone[0]:
            # The record would stay running for ever, since its OwnerGone was already applied.
            return commands.OwnerRefused(gone[0])
        owner = sys.intern(command.owner)
        self._store_record(
            digest,
            _Running(
                owner, command.owner_incarnation, command.request_id, command.body_digest, index
            ),
        )
        self._running_by_owner.setdefault(owner, {})[digest] = None
        return commands.Claimed(index)

    def _duplicate_result(
        self, record: _Running | _Settled, command: commands.Claim
    ) -> msgspec.Struct:
        if isinstance(record, _Settled) and self._is_expired(record):
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
        digest, record = self._find_claimed(command)
        if record is None:
            return commands.NotClaimant()
        answer = limits.limit_answer_size(command.answer, self._settings.answer_limit_bytes)
        if isinstance(record, _Running):
            self._settle(digest, record, answer)
        elif record.answer is None:
            # The answer arrived after OwnerGone or Abandon. The record keeps its position in the
            # queue of settled records, so it must keep its `settled_at`.
            self._store_record(digest, msgspec.structs.replace(record, answer=answer))
        return commands.Completed()

    def _release(self, command: commands.Release) -> msgspec.Struct:
        digest, record = self._find_claimed(command)
        if record is None:
            return commands.Released() if digest not in self._records else commands.NotClaimant()
        if not isinstance(record, _Running):
            return commands.NotClaimant()
        self._remove_from_running(digest, record)
        self._delete_record(digest)
        return commands.Released()

    def _abandon(self, command: commands.Abandon) -> msgspec.Struct:
        digest, record = self._find_claimed(command)
        if record is None:
            return commands.NotClaimant()
        if isinstance(record, _Running):
            self._settle(digest, record, None)
        return commands.Abandoned()

    def _owner_gone(self, command: commands.OwnerGone) -> msgspec.Struct:
        known_incarnation = self._gone_owners.pop(command.owner, (-1, 0))[0]
        self._gone_owners[command.owner] = (
            max(known_incarnation, command.incarnation),
            self._clock,
        )
        unknown = 0
        for digest in list(self._running_by_owner.get(command.owner, ())):
            record = self._records[digest]
            if record.owner_incarnation <= command.incarnation:
                self._settle(digest, record, None)
                unknown += 1
        return commands.OwnerRemoved(unknown)

    def _expire(self) -> msgspec.Struct:
        budget = self._settings.expire_batch
        shrunk = removed = 0
        while shrunk < budget and self._has_expired_record():
            digest = self._settled_order.popleft()
            retired_at = self._records[digest].settled_at + self._settings.retention_ms
            self._delete_record(digest)
            self._add_tombstone(digest, retired_at)
            shrunk += 1
        while shrunk + removed < budget and self._has_expired_tombstone():
            digest = self._tombstone_order.popleft()
            del self._tombstones[digest]
            self._state_bytes -= _TOMBSTONE_BYTES
            removed += 1
        self._expire_gone_owners(budget)
        more = self._has_expired_record() or self._has_expired_tombstone()
        return commands.Expired(shrunk, removed, more)

    def _expire_gone_owners(self, budget: int) -> None:
        # No message from the owner is in transit for as long as the retention of tombstones, so
        # no claim of a gone incarnation can still arrive.
        for owner, (_, gone_at) in list(itertools.islice(self._gone_owners.items(), budget)):
            if gone_at + self._settings.tombstone_ms > self._clock:
                return
            del self._gone_owners[owner]

    def _is_expired(self, record: _Settled) -> bool:
        return record.settled_at + self._settings.retention_ms <= self._clock

    def _has_expired_record(self) -> bool:
        return bool(self._settled_order) and self._is_expired(self._records[self._settled_order[0]])

    def _has_expired_tombstone(self) -> bool:
        if not self._tombstone_order:
            return False
        retired_at = self._tombstones[self._tombstone_order[0]]
        return retired_at + self._settings.tombstone_ms <= self._clock

    def _find_claimed(
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
        self._remove_from_running(digest, record)
        self._store_record(
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
        self._settled_order.append(digest)

    def _remove_from_running(self, digest: bytes, record: _Running) -> None:
        running = self._running_by_owner[record.owner]
        del running[digest]
        if not running:
            del self._running_by_owner[record.owner]

    def _store_record(self, digest: bytes, record: _Running | _Settled) -> None:
        old = self._records.get(digest)
        if old is not None:
            self._state_bytes -= _record_size_bytes(old)
        self._records[digest] = record
        self._state_bytes += _record_size_bytes(record)

    def _delete_record(self, digest: bytes) -> None:
        self._state_bytes -= _record_size_bytes(self._records.pop(digest))

    def _add_tombstone(self, digest: bytes, retired_at: int) -> None:
        self._tombstones[digest] = retired_at
        self._tombstone_order.append(digest)
        self._state_bytes += _TOMBSTONE_BYTES


def _record_size_bytes(record: _Running | _Settled) -> int:
    size = len(record.request_id) + len(record.body_digest)
    if isinstance(record, _Running):
        return size + _RUNNING_FIXED_BYTES
    size += _SETTLED_FIXED_BYTES
    if record.answer is not None:
        size += _ANSWER_FIXED_BYTES + limits.answer_size_bytes(record.answer)
    return size
