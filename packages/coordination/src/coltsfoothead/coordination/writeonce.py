"""State machine of write-once registers: the first value committed under a key is final."""

import collections

import msgspec

from coltsfoothead.coordination.machine import registry

__all__ = ["NAME", "Registers", "Value", "Write"]

NAME = "writeonce"

# The oldest registers are dropped first; their keys must not be written again.
MAX_REGISTERS = 512


class _Message(msgspec.Struct, frozen=True, tag=lambda name: f"{NAME}.{name}"):
    pass


class Write(_Message, frozen=True):
    """Writes a register unless it already has a value."""

    key: str
    value: bytes


class Value(_Message, frozen=True):
    """Value of the register after the write."""

    value: bytes


@registry.register(NAME, commands=(Write,), results=(Value,))
class Registers:
    """Write-once registers by key, in the order of their first writes."""

    def __init__(self) -> None:
        self._values: collections.OrderedDict[str, bytes] = collections.OrderedDict()

    def read(self, key: str) -> bytes | None:
        """Returns the value of a register, or None if it was not written or was dropped."""
        return self._values.get(key)

    def read_all(self, prefix: str) -> dict[str, bytes]:
        """Returns the registers whose keys start with `prefix`, by the rest of the key."""
        return {
            key.removeprefix(prefix): value
            for key, value in self._values.items()
            if key.startswith(prefix)
        }

    def apply(self, index: int, command: Write) -> Value:
        """Applies one command."""
        value = self._values.setdefault(command.key, command.value)
        while len(self._values) > MAX_REGISTERS:
            self._values.popitem(last=False)
        return Value(value)

    def snapshot(self) -> bytes:
        """Returns the serialized state."""
        return msgspec.msgpack.encode(list(self._values.items()))

    def restore(self, data: bytes) -> None:
        """Replaces the state by a snapshot."""
        pairs = msgspec.msgpack.decode(data, type=list[tuple[str, bytes]])
        self._values = collections.OrderedDict(pairs)
