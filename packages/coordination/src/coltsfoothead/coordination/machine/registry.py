"""Registry of state machines with their names, command types and result types."""

import dataclasses
import functools
from collections.abc import Callable
from typing import Any, Protocol, TypeVar, Union

import msgspec

from coltsfoothead.coordination.machine import errors

__all__ = ["Registration", "StateMachine", "decode_result", "encode", "register", "resolve"]


class StateMachine(Protocol):
    """Interface of a deterministic replicated state machine.

    Notes
    -----
    `apply` may depend only on its arguments, the state and the settings. The settings must be the
    same on every replica of a log.
    """

    def apply(self, index: int, command: Any) -> msgspec.Struct:
        """Applies the decoded command at a log index and returns a typed result."""

    def snapshot(self) -> bytes:
        """Returns the serialized state."""

    def restore(self, data: bytes) -> None:
        """Replaces the state by a snapshot."""


@dataclasses.dataclass(frozen=True, slots=True)
class Registration:
    """Name, factory, command types and result types of a state machine."""

    name: str
    factory: Callable[..., StateMachine]
    commands: tuple[type[msgspec.Struct], ...]
    results: tuple[type[msgspec.Struct], ...]


_Factory = TypeVar("_Factory", bound=Callable[..., StateMachine])
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
        Tagged structs. Tags start with the name of the state machine, so that a command proposed
        to the wrong log is rejected and not confused with one of the same class name.

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
    """Returns the registration with this name.

    Raises
    ------
    UnknownKindError
        If there is none; the message lists the registered names.
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
    """Decodes a result of `StateMachineHost.apply` for a command of the state machine `name`."""
    return _result_decoder(name).decode(data)


@functools.cache
def _result_decoder(name: str) -> msgspec.msgpack.Decoder:
    return msgspec.msgpack.Decoder(Union[resolve(name).results])  # noqa: UP007
