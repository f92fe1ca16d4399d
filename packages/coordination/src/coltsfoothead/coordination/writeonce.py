"""Write-once registers: the first value committed under a key stays."""

import collections

import msgspec

from coltsfoothead.coordination.machine import registry

__all__ = ["NAME", "Registers", "Value", "Write"]

NAME = "writeonce"

# Registers kept; the oldest are dropped first, and their keys must not be written again.
KEPT = 512


class _Message(msgspec.Struct, frozen=True, tag=lambda name: f"{NAME}.{name}"):
    pass


class Write(_Message, frozen=True):
    """Writes a register unless it holds a value already."""

    key: str
    value: bytes


class Value(_Message, frozen=True):
    """What the register holds now."""

    value: bytes


@registry.register(NAME, commands=(Write,), results=(Value,))
class Registers:
    """Registers by key, in the order of their writes."""

    def __init__(self) -> None:
        self._values: collections.OrderedDict[str, bytes] = collections.OrderedDict()

    def read(self, key: str) -> bytes | None:
        """Returns the value of a register, or None."""
        return self._values.get(key)

    def apply(self, index: int, command: Write) -> Value:
        """Applies one command."""
        held = self._values.setdefault(command.key, command.value)
        while len(self._values) > KEPT:
            self._values.popitem(last=False)
        return Value(held)

    def snapshot(self) -> bytes:
        """Returns the whole state."""
        return msgspec.msgpack.encode(list(self._values.items()))

    def restore(self, data: bytes) -> None:
        """Replaces the state by that of a snapshot."""
        pairs = msgspec.msgpack.decode(data, type=list[tuple[str, bytes]])
        self._values = collections.OrderedDict(pairs)
