"""Idempotency keys in the scope of an organisation and a service."""

import hashlib
import uuid

import msgspec

__all__ = ["Key", "digest", "expired_by_age"]

# 128 bits: callers choose keys, so finding two keys of one digest must be out of reach.
_DIGEST_BYTES = 16
_UUID_TEXT_LENGTH = 36
_UUID_VERSION_POSITION = 14


class Key(msgspec.Struct, frozen=True, array_like=True):
    """The caller's idempotency key with its scope."""

    organisation: str
    service: str
    value: str


def digest(key: Key) -> bytes:
    """Returns the digest under which the ledger records a key."""
    # The encoding states each part's length, so no two scopes run into each other.
    return hashlib.blake2b(msgspec.msgpack.encode(key), digest_size=_DIGEST_BYTES).digest()


def expired_by_age(value: str, now: int, retention_ms: int) -> bool:
    """Whether a key is a UUIDv7 that was made longer ago than the retention.

    Parameters
    ----------
    value : str
        The caller's key. Anything but a UUIDv7 in its hyphenated form has no known age.
    now : int
        Wall-clock time in milliseconds.
    retention_ms : int
        Retention of answers.

    Notes
    -----
    An entry calls this before it proposes a claim, so such keys cost no log entry.
    """
    if len(value) != _UUID_TEXT_LENGTH or value[_UUID_VERSION_POSITION] != "7":
        return False
    try:
        parsed = uuid.UUID(value)
    except ValueError:
        return False
    return now - (parsed.int >> 80) > retention_ms
