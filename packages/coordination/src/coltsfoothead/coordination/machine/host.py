"""Host that dispatches log entries to the selected state machines."""

from collections.abc import Iterable, Mapping
from typing import Any, Union

import msgspec

from coltsfoothead.coordination import arbitration, configuration, lease, ledger
from coltsfoothead.coordination.machine import errors, registry

__all__ = ["CONTROL_STATE_MACHINES", "LEDGER_STATE_MACHINES", "StateMachineHost"]

CONTROL_STATE_MACHINES = (configuration.NAME, lease.NAME, arbitration.NAME)
LEDGER_STATE_MACHINES = (ledger.NAME,)

_SNAPSHOT_FORMAT = 1


class _Snapshot(msgspec.Struct, frozen=True):
    format: int
    index: int
    parts: dict[str, bytes]


class StateMachineHost:
    """The state machines that one replicated log drives, applied and snapshotted as one.

    Parameters
    ----------
    names : iterable of str
        Names of the state machines, for example `CONTROL_STATE_MACHINES`.
    settings : mapping of str to object, optional
        Settings by state machine name. They must be equal on all replicas of the log.

    Examples
    --------
    >>> machine = StateMachineHost(LEDGER_STATE_MACHINES)
    >>> machine.apply(1, registry.encode(ledger.Expire(now=0)))  # doctest: +SKIP
    """

    def __init__(self, names: Iterable[str], settings: Mapping[str, Any] | None = None) -> None:
        self._registrations = tuple(registry.resolve(name) for name in names)
        settings = settings or {}
        self._machines: dict[str, registry.StateMachine] = {}
        self._by_command: dict[type, registry.StateMachine] = {}
        for registration in self._registrations:
            arguments = [settings[registration.name]] if registration.name in settings else []
            machine = registration.factory(*arguments)
            self._machines[registration.name] = machine
            self._by_command.update(dict.fromkeys(registration.commands, machine))
        self._decoder = msgspec.msgpack.Decoder(Union[tuple(self._by_command)])  # noqa: UP007
        self._index = 0

    @property
    def index(self) -> int:
        """Log index of the last command applied."""
        return self._index

    def state(self, name: str) -> Any:
        """Returns the state machine with this name, for reads only."""
        return self._machines[name]

    def check(self, command: bytes) -> None:
        """Checks a command before it is proposed.

        Raises
        ------
        MalformedCommandError
            If it is not a command of any selected state machine.
        """
        self._decode(command)

    def apply(self, index: int, command: bytes) -> bytes:
        """Applies one committed log entry and returns the encoded result.

        Parameters
        ----------
        index : int
            Log index of the entry.
        command : bytes
            Encoded command. An empty entry is a no-op with an empty result.

        Raises
        ------
        MalformedCommandError
            If the entry cannot be decoded. Skipping it would let replicas of different releases
            diverge, so the replica must stop. `check` keeps such entries out of the log.
        """
        if not command:
            self._index = index
            return b""
        decoded = self._decode(command)
        result = self._by_command[type(decoded)].apply(index, decoded)
        self._index = index
        return registry.encode(result)

    def snapshot(self) -> bytes:
        """Returns a snapshot of all state machines."""
        parts = {name: machine.snapshot() for name, machine in self._machines.items()}
        return msgspec.msgpack.encode(_Snapshot(_SNAPSHOT_FORMAT, self._index, parts))

    def restore(self, data: bytes) -> None:
        """Replaces the state of all state machines by a snapshot.

        Raises
        ------
        SnapshotMismatchError
            If the snapshot cannot be decoded, or has another format or other state machines.
        """
        try:
            snapshot = msgspec.msgpack.decode(data, type=_Snapshot)
        except msgspec.MsgspecError as error:
            raise errors.SnapshotMismatchError(f"snapshot cannot be decoded: {error}") from error
        if snapshot.format != _SNAPSHOT_FORMAT or snapshot.parts.keys() != self._machines.keys():
            raise errors.SnapshotMismatchError(
                f"snapshot of format {snapshot.format} with {sorted(snapshot.parts)} does not fit "
                f"format {_SNAPSHOT_FORMAT} with {sorted(self._machines)}"
            )
        for name, machine in self._machines.items():
            machine.restore(snapshot.parts[name])
        self._index = snapshot.index

    def _decode(self, command: bytes) -> Any:
        try:
            return self._decoder.decode(command)
        except msgspec.MsgspecError as error:
            names = ", ".join(self._machines)
            raise errors.MalformedCommandError(
                f"entry is not a command of {names}: {error}"
            ) from error
