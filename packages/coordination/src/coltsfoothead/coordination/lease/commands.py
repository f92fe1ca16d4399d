"""Commands and results of the lease state machine."""

import msgspec

__all__ = [
    "NAME",
    "Expire",
    "Expired",
    "Grant",
    "Granted",
    "Held",
    "InvalidTtl",
    "Lease",
    "NotHeld",
    "Release",
    "Released",
    "Renew",
    "Renewed",
]

NAME = "lease"


class Lease(msgspec.Struct, frozen=True):
    """A lease in force.

    Parameters
    ----------
    fence : int
        Fencing number: the log index of the grant.
    renewal : int
        Log index of the last renewal, or of the grant.
    ttl : float
        Seconds.
    """

    resource: str
    holder: str
    holder_incarnation: int
    fence: int
    renewal: int
    ttl: float
    request_id: str


class _Message(msgspec.Struct, frozen=True, tag=lambda name: f"{NAME}.{name}"):
    pass


class Grant(_Message, frozen=True):
    """Requests a lease of `ttl` seconds; a resent `request_id` returns the same grant."""

    resource: str
    holder: str
    holder_incarnation: int
    ttl: float
    request_id: str


class Renew(_Message, frozen=True):
    """Extends the lease with this fencing number by its full time to live."""

    resource: str
    holder: str
    holder_incarnation: int
    fence: int


class Release(_Message, frozen=True):
    """Releases the lease with this fencing number."""

    resource: str
    holder: str
    holder_incarnation: int
    fence: int


class Expire(_Message, frozen=True):
    """Ends a lease that its holder can no longer use.

    Notes
    -----
    `renewal` is the renewal from which the leader counted the time to live. If a later renewal
    precedes this command in the log, the command has no effect; otherwise the holder would keep
    using the lease beside a new holder.
    """

    resource: str
    fence: int
    renewal: int


class Granted(_Message, frozen=True):
    """The lease was granted under a fencing number."""

    fence: int
    ttl: float


class Held(_Message, frozen=True):
    """The resource is already leased; `lease` is the lease in force."""

    lease: Lease


class InvalidTtl(_Message, frozen=True):
    """The time to live is not above zero and at most `limit` seconds."""

    limit: float


class Renewed(_Message, frozen=True):
    """The lease was extended."""

    fence: int
    ttl: float


class NotHeld(_Message, frozen=True):
    """The command does not match the lease in force, or there is none."""

    lease: Lease | None


class Released(_Message, frozen=True):
    """The lease was released."""

    fence: int


class Expired(_Message, frozen=True):
    """The lease was ended by the leader."""

    fence: int
