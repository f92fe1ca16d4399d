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
    """Asks for a lease of `ttl` seconds. A resent `request_id` gets the same grant."""

    resource: str
    holder: str
    holder_incarnation: int
    ttl: float
    request_id: str


class Renew(_Message, frozen=True):
    """Prolongs the lease of a fencing number by its whole time to live."""

    resource: str
    holder: str
    holder_incarnation: int
    fence: int


class Release(_Message, frozen=True):
    """Gives the lease of a fencing number back."""

    resource: str
    holder: str
    holder_incarnation: int
    fence: int


class Expire(_Message, frozen=True):
    """Ends a lease whose holder has surely stopped.

    Notes
    -----
    `renewal` is the renewal that the keeper counted from. A renewal that entered the log before
    this command makes it void; without the check the holder would go on beside a new one.
    """

    resource: str
    fence: int
    renewal: int


class Granted(_Message, frozen=True):
    """The lease was granted under a fencing number."""

    fence: int
    ttl: float


class Held(_Message, frozen=True):
    """The resource has a holder already."""

    lease: Lease


class InvalidTtl(_Message, frozen=True):
    """The time to live is not above zero and at most `limit` seconds."""

    limit: float


class Renewed(_Message, frozen=True):
    """The lease was prolonged."""

    fence: int
    ttl: float


class NotHeld(_Message, frozen=True):
    """The command does not fit the lease in force, if there is one."""

    lease: Lease | None


class Released(_Message, frozen=True):
    """The lease was given back."""

    fence: int


class Expired(_Message, frozen=True):
    """The lease was ended."""

    fence: int
