"""Lease state machine."""

from collections.abc import Collection

import msgspec

from coltsfoothead.coordination.lease import commands
from coltsfoothead.coordination.machine import registry

__all__ = ["MAX_TTL_SECONDS", "LeaseState"]

# A new leader waits for a full time to live before it expires a lease, so the resource of a failed
# holder stays blocked for up to this long.
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
    The state machine has no clock. A lease ends by `Release` or by `Expire`; when to propose the
    latter is determined by the `LeaseExpiryTracker` of the leader.
    """

    def __init__(self) -> None:
        self._leases: dict[str, commands.Lease] = {}

    @property
    def leases(self) -> Collection[commands.Lease]:
        """All leases in force."""
        return self._leases.values()

    def lease(self, resource: str) -> commands.Lease | None:
        """Returns the lease of a resource, or None if it is not leased."""
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
        """Returns the serialized state."""
        return msgspec.msgpack.encode(list(self._leases.values()))

    def restore(self, data: bytes) -> None:
        """Replaces the state by a snapshot."""
        leases = msgspec.msgpack.decode(data, type=list[commands.Lease])
        self._leases = {lease.resource: lease for lease in leases}

    def _grant(self, index: int, command: commands.Grant) -> msgspec.Struct:
        # Negated comparison, so that NaN is rejected too.
        if not 0 < command.ttl <= MAX_TTL_SECONDS:
            return commands.InvalidTtl(MAX_TTL_SECONDS)
        current = self._leases.get(command.resource)
        if current is None:
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
        if (current.holder, current.holder_incarnation, current.request_id) == (
            command.holder,
            command.holder_incarnation,
            command.request_id,
        ):
            return commands.Granted(current.fence, current.ttl)
        return commands.Held(current)

    def _renew(self, index: int, command: commands.Renew) -> msgspec.Struct:
        current = self._leases.get(command.resource)
        if not _matches(current, command):
            return commands.NotHeld(current)
        self._leases[command.resource] = msgspec.structs.replace(current, renewal=index)
        return commands.Renewed(current.fence, current.ttl)

    def _release(self, command: commands.Release) -> msgspec.Struct:
        current = self._leases.get(command.resource)
        if not _matches(current, command):
            return commands.NotHeld(current)
        del self._leases[command.resource]
        return commands.Released(current.fence)

    def _expire(self, command: commands.Expire) -> msgspec.Struct:
        current = self._leases.get(command.resource)
        if current is None or (current.fence, current.renewal) != (command.fence, command.renewal):
            return commands.NotHeld(current)
        del self._leases[command.resource]
        return commands.Expired(current.fence)


def _matches(current: commands.Lease | None, command: commands.Renew | commands.Release) -> bool:
    return current is not None and (current.holder, current.holder_incarnation, current.fence) == (
        command.holder,
        command.holder_incarnation,
        command.fence,
    )
