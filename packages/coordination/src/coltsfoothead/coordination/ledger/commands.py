"""Commands and results of the ledger state machine."""

import msgspec

from coltsfoothead.coordination.ledger import keys

__all__ = [
    "NAME",
    "Abandon",
    "Abandoned",
    "Answer",
    "AnswerDigest",
    "Claim",
    "Claimed",
    "Complete",
    "Completed",
    "Expire",
    "Expired",
    "KeyExpired",
    "KeyReused",
    "NotClaimant",
    "OwnerGone",
    "OwnerRefused",
    "OwnerRemoved",
    "Release",
    "Released",
    "Running",
    "Stored",
    "Unknown",
]

NAME = "ledger"


class _Message(msgspec.Struct, frozen=True, tag=lambda name: f"{NAME}.{name}"):
    pass


class Answer(_Message, frozen=True, gc=False):
    """Complete response of an upstream."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class AnswerDigest(_Message, frozen=True, gc=False):
    """Replaces an answer above the size limit.

    `digest` is the SHA-256 of the body and `size` the length of the body in bytes.
    """

    status: int
    digest: bytes
    size: int


class Claim(_Message, frozen=True):
    """Claims a key; must be committed before the first byte is sent upstream.

    Notes
    -----
    A claim that is resent by the same request, owner and incarnation returns the same `Claimed`.
    The owner must therefore send each request upstream at most once.

    `now` is the wall-clock time in milliseconds.
    """

    key: keys.Key
    body_digest: bytes
    request_id: str
    owner: str
    owner_incarnation: int
    now: int


class Complete(_Message, frozen=True):
    """Stores the answer of a claim.

    Notes
    -----
    `claim` is the number from `Claimed`. The owner alone does not identify a claim: a resent
    `Release` could otherwise remove a later claim of the same owner whose request was already
    sent upstream.
    """

    key: keys.Key
    owner: str
    claim: int
    answer: Answer | AnswerDigest


class Release(_Message, frozen=True):
    """Withdraws a claim whose request was not sent upstream."""

    key: keys.Key
    owner: str
    claim: int


class Abandon(_Message, frozen=True):
    """Settles a claim whose outcome is unknown."""

    key: keys.Key
    owner: str
    claim: int


class Expire(_Message, frozen=True):
    """Replaces expired records by tombstones and removes expired tombstones.

    One command processes at most `Settings.expire_batch` of them. `now` is the wall-clock time in
    milliseconds.
    """

    now: int


class OwnerGone(_Message, frozen=True):
    """Settles the running records of an owner's incarnations up to `incarnation` as unknown."""

    owner: str
    incarnation: int


class Claimed(_Message, frozen=True):
    """The request may be sent upstream once. `claim` is the log index of the claim."""

    claim: int


class Stored(_Message, frozen=True):
    """The call was completed; `answer` is its stored answer."""

    request_id: str
    answer: Answer


class Running(_Message, frozen=True):
    """The call is in progress at the owner of another request with the same key."""

    owner: str
    owner_incarnation: int
    request_id: str


class Unknown(_Message, frozen=True):
    """The call may have run; `status` is set if it ran and its answer was too large to store."""

    request_id: str
    status: int | None = None


class KeyReused(_Message, frozen=True):
    """The key was already used with a different request body."""

    request_id: str


class KeyExpired(_Message, frozen=True):
    """The key is past its retention; the call must not run again."""


class OwnerRefused(_Message, frozen=True):
    """An `OwnerGone` already covers the claiming incarnation; nothing was claimed."""

    gone_incarnation: int


class Completed(_Message, frozen=True):
    """The answer is stored."""


class Released(_Message, frozen=True):
    """The claim is no longer held; the key is free unless it was claimed again."""


class Abandoned(_Message, frozen=True):
    """The record is settled as unknown, or keeps the answer that was stored before."""


class NotClaimant(_Message, frozen=True):
    """No record in the required state matches the owner and claim number of the command."""


class Expired(_Message, frozen=True):
    """Number of records and tombstones that `Expire` processed.

    `shrunk` records became tombstones and `removed` tombstones were deleted. `more` is true if
    another `Expire` at the same time would find more to process.
    """

    shrunk: int
    removed: int
    more: bool


class OwnerRemoved(_Message, frozen=True):
    """Number of records that `OwnerGone` settled as unknown."""

    unknown: int
