"""Commands and results of the ledger."""

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
    """An upstream's whole answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class AnswerDigest(_Message, frozen=True, gc=False):
    """What is kept of an answer above the size limit; `digest` is SHA-256 of the body."""

    status: int
    digest: bytes
    size: int


class Claim(_Message, frozen=True):
    """Claims a key; to be committed before the first byte goes upstream.

    Notes
    -----
    A resent claim of the same request, owner and incarnation gets the same `Claimed`. The owner
    sends upstream at most once per request.
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
    `Release` could otherwise remove a later claim of the same owner that was already sent.
    """

    key: keys.Key
    owner: str
    claim: int
    answer: Answer | AnswerDigest


class Release(_Message, frozen=True):
    """Gives a claim back before anything was sent."""

    key: keys.Key
    owner: str
    claim: int


class Abandon(_Message, frozen=True):
    """States that the result of a claim is unknown."""

    key: keys.Key
    owner: str
    claim: int


class Expire(_Message, frozen=True):
    """Shrinks old records and removes old tombstones, a bounded number at a time."""

    now: int


class OwnerGone(_Message, frozen=True):
    """Makes the running records of an owner's incarnations up to `incarnation` unknown."""

    owner: str
    incarnation: int


class Claimed(_Message, frozen=True):
    """The request may send upstream, once. `claim` is the log index of the claim."""

    claim: int


class Stored(_Message, frozen=True):
    """The call ran; this is its answer."""

    request_id: str
    answer: Answer


class Running(_Message, frozen=True):
    """The call is running at another request's owner."""

    owner: str
    owner_incarnation: int
    request_id: str


class Unknown(_Message, frozen=True):
    """The call may have run; `status` is known if only the answer was too large to keep."""

    request_id: str
    status: int | None = None


class KeyReused(_Message, frozen=True):
    """The key was used with another body."""

    request_id: str


class KeyExpired(_Message, frozen=True):
    """The key is too old; the call is not run anew."""


class OwnerRefused(_Message, frozen=True):
    """The claiming incarnation has been given up as gone; nothing was claimed."""

    gone_incarnation: int


class Completed(_Message, frozen=True):
    """The answer is stored."""


class Released(_Message, frozen=True):
    """The claim is not in force; the key is free unless claimed anew."""


class Abandoned(_Message, frozen=True):
    """The record says unknown, or keeps the answer that was stored before."""


class NotClaimant(_Message, frozen=True):
    """The command's owner and number do not fit a record in the needed state."""


class Expired(_Message, frozen=True):
    """Counts of an `Expire`; `more` says whether another one has work now."""

    shrunk: int
    removed: int
    more: bool


class OwnerRemoved(_Message, frozen=True):
    """Number of records that `OwnerGone` made unknown."""

    unknown: int
