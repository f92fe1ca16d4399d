"""Errors raised by the state machine host."""

from coltsfoothead.coordination import errors

__all__ = [
    "DuplicateKindError",
    "MalformedCommandError",
    "SnapshotMismatchError",
    "UnknownKindError",
]


class DuplicateKindError(errors.CoordinationError):
    """Two state machines were registered under one name."""


class UnknownKindError(errors.CoordinationError):
    """No state machine is registered under the requested name."""


class MalformedCommandError(errors.CoordinationError):
    """A log entry cannot be decoded as a command of any selected state machine."""


class SnapshotMismatchError(errors.CoordinationError):
    """A snapshot cannot be decoded, or has another format or other state machines."""
