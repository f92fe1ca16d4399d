"""Idempotency keys, scoped by organisation and service."""

import hashlib
import uuid

import msgspec

__all__ = ["Key", "digest", "expired_by_age"]

# 128 bits: callers choose the keys, so finding a digest collision must be infeasible.
_DIGEST_BYTES = 16
_UUID_TEXT_LENGTH = 36
_UUID_VERSION_POSITION = 14


class Key(msgspec.Struct, frozen=True, array_like=True):
    """Idempotency key of a caller with its scope."""

    organisation: str
    service: str
    value: str


def digest(key: Key) -> bytes:
    """Returns the digest under which the ledger records a key."""
    # msgpack prefixes each field with its length, so different scopes cannot encode alike.
    return hashlib.blake2b(msgspec.msgpack.encode(key), digest_size=_DIGEST_BYTES).digest()


def expired_by_age(value: str, now: int, retention_ms: int) -> bool:
    """Returns whether a key is a UUIDv7 whose timestamp is older than the retention.

    Parameters
    ----------
    value : str
        The caller's key. Only a UUIDv7 in hyphenated form has a known age; any other key is
        never expired by age.
    now : int
        Wall-clock time in milliseconds.
    retention_ms : int
        Retention of answers in milliseconds.

    Notes
    -----
    The gateway process that accepts the call checks this before it proposes a claim, so that
    expired keys do not add log entries.
    """
    if len(value) != _UUID_TEXT_LENGTH or value[_UUID_VERSION_POSITION] != "7":
        return False
    try:
        parsed = uuid.UUID(value)
    except ValueError:
        return False
    return now - (parsed.int >> 80) > retention_ms
