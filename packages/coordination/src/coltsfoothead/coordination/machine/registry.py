"""Registry in which state machines register themselves by name and command types."""

import dataclasses
import functools
from collections.abc import Callable
from typing import Any, Protocol, TypeVar, Union

import msgspec

from coltsfoothead.coordination.machine import errors

__all__ = ["Kind", "Registration", "decode_result", "encode", "register", "resolve"]


class Kind(Protocol):
    """One deterministic state machine.

    Notes
    -----
    `apply` may depend only on its arguments, the state and the settings. The settings must be the
    same on every replica of a log.
    """

    def apply(self, index: int, command: Any) -> msgspec.Struct:
        """Applies the decoded command at a log index and returns a typed result."""

    def snapshot(self) -> bytes:
        """Returns the whole state."""

    def restore(self, data: bytes) -> None:
        """Replaces the state by that of a snapshot."""


@dataclasses.dataclass(frozen=True, slots=True)
class Registration:
    """A state machine with the types it takes and returns."""

    name: str
    factory: Callable[..., Kind]
    commands: tuple[type[msgspec.Struct], ...]
    results: tuple[type[msgspec.Struct], ...]


_Factory = TypeVar("_Factory", bound=Callable[..., Kind])
_registrations: dict[str, Registration] = {}
_encoder = msgspec.msgpack.Encoder()


def register(
    name: str,
    *,
    commands: tuple[type[msgspec.Struct], ...],
    results: tuple[type[msgspec.Struct], ...],
) -> Callable[[_Factory], _Factory]:
    """Returns a class decorator that registers a state machine.

    Parameters
    ----------
    name : str
        Name by which a host selects the state machine.
    commands, results : tuple of type
        Tagged structs. Tags start with the name, so that a command proposed to the wrong log is
        refused instead of taken for another one of the same class name.

    Raises
    ------
    DuplicateKindError
        If the name is taken.
    """

    def decorate(factory: _Factory) -> _Factory:
        if name in _registrations:
            raise errors.DuplicateKindError(f"state machine {name!r} is registered twice")
        _registrations[name] = Registration(name, factory, commands, results)
        return factory

    return decorate


def resolve(name: str) -> Registration:
    """Returns a registration by name.

    Raises
    ------
    UnknownKindError
        If there is none; the message lists those that exist.
    """
    try:
        return _registrations[name]
    except KeyError:
        known = ", ".join(sorted(_registrations)) or "none"
        raise errors.UnknownKindError(
            f"no state machine is named {name!r}; known: {known}"
        ) from None


def encode(message: msgspec.Struct) -> bytes:
    """Encodes a command or a result."""
    return _encoder.encode(message)


def decode_result(name: str, data: bytes) -> Any:
    """Decodes what `Machine.apply` returned for a command of the state machine `name`."""
    return _result_decoder(name).decode(data)


@functools.cache
def _result_decoder(name: str) -> msgspec.msgpack.Decoder:
    return msgspec.msgpack.Decoder(Union[resolve(name).results])  # noqa: UP007
