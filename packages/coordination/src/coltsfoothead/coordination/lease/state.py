"""Lease state machine."""

from collections.abc import Collection

import msgspec

from coltsfoothead.coordination.lease import commands
from coltsfoothead.coordination.machine import registry

__all__ = ["MAX_TTL_SECONDS", "LeaseState"]

# A new leader waits out a whole period, so a longer lease would block its resource for as long.
MAX_TTL_SECONDS = 3600.0


@registry.register(
    commands.NAME,
    commands=(commands.Grant, commands.Renew, commands.Release, commands.Expire),
    results=(
        commands.Granted,
        commands.Held,
        commands.InvalidTtl,
        commands.Renewed,
        commands.NotHeld,
        commands.Released,
        commands.Expired,
    ),
)
class LeaseState:
    """Leases by resource.

    Notes
    -----
    The state machine has no clock. A lease ends by `Release` or by an `Expire`, which only
    `LeaseKeeper` at the leader decides to propose.
    """

    def __init__(self) -> None:
        self._leases: dict[str, commands.Lease] = {}

    @property
    def leases(self) -> Collection[commands.Lease]:
        """All leases in force."""
        return self._leases.values()

    def lease(self, resource: str) -> commands.Lease | None:
        """Returns the lease of a resource, or None."""
        return self._leases.get(resource)

    def apply(self, index: int, command: msgspec.Struct) -> msgspec.Struct:
        """Applies one command."""
        match command:
            case commands.Grant():
                return self._grant(index, command)
            case commands.Renew():
                return self._renew(index, command)
            case commands.Release():
                return self._release(command)
            case commands.Expire():
                return self._expire(command)

    def snapshot(self) -> bytes:
        """Returns the whole state."""
        return msgspec.msgpack.encode(list(self._leases.values()))

    def restore(self, data: bytes) -> None:
        """Replaces the state by that of a snapshot."""
        leases = msgspec.msgpack.decode(data, type=list[commands.Lease])
        self._leases = {lease.resource: lease for lease in leases}

    def _grant(self, index: int, command: commands.Grant) -> msgspec.Struct:
        # Written so that NaN is refused too.
        if not 0 < command.ttl <= MAX_TTL_SECONDS:
            return commands.InvalidTtl(MAX_TTL_SECONDS)
        held = self._leases.get(command.resource)
        if held is None:
            self._leases[command.resource] = commands.Lease(
                command.resource,
                command.holder,
                command.holder_incarnation,
                index,
                index,
                command.ttl,
                command.request_id,
            )
            return commands.Granted(index, command.ttl)
        if (held.holder, held.holder_incarnation, held.request_id) == (
            command.holder,
            command.holder_incarnation,
            command.request_id,
        ):
            return commands.Granted(held.fence, held.ttl)
        return commands.Held(held)

    def _renew(self, index: int, command: commands.Renew) -> msgspec.Struct:
        held = self._leases.get(command.resource)
        if not _fits(held, command):
            return commands.NotHeld(held)
        self._leases[command.resource] = msgspec.structs.replace(held, renewal=index)
        return commands.Renewed(held.fence, held.ttl)

    def _release(self, command: commands.Release) -> msgspec.Struct:
        held = self._leases.get(command.resource)
        if not _fits(held, command):
            return commands.NotHeld(held)
        del self._leases[command.resource]
        return commands.Released(held.fence)

    def _expire(self, command: commands.Expire) -> msgspec.Struct:
        held = self._leases.get(command.resource)
        if held is None or (held.fence, held.renewal) != (command.fence, command.renewal):
            return commands.NotHeld(held)
        del self._leases[command.resource]
        return commands.Expired(held.fence)


def _fits(held: commands.Lease | None, command: commands.Renew | commands.Release) -> bool:
    return held is not None and (held.holder, held.holder_incarnation, held.fence) == (
        command.holder,
        command.holder_incarnation,
        command.fence,
    )
