"""Commands and results of the configuration state machine."""

import msgspec

__all__ = [
    "NAME",
    "Accepted",
    "Apply",
    "Change",
    "ChangeReused",
    "Conflict",
    "DocumentTooLarge",
    "Supersede",
    "Superseded",
]

NAME = "configuration"


class _Message(msgspec.Struct, frozen=True, tag=lambda name: f"{NAME}.{name}"):
    pass


class Apply(_Message, frozen=True):
    """Compare-and-set: replaces the document if the expected version and digest are current.

    Parameters
    ----------
    change_id : str
        Idempotency key: chosen by the operator's command and reused when it is resent.
    expected_version, expected_digest : int, str
        Version and digest of the document that was edited; 0 and "" if there is none yet.
    applied_at : int
        Wall-clock milliseconds at the proposer.
    """

    change_id: str
    author: str
    expected_version: int
    expected_digest: str
    document: bytes
    applied_at: int


class Supersede(_Message, frozen=True):
    """Replaces the document if `version` is higher than the current one.

    Parameters
    ----------
    version : int
        Chosen by the author; versions need not be consecutive.
    applied_at : int
        Wall-clock milliseconds at the proposer.
    """

    author: str
    version: int
    document: bytes
    applied_at: int


class Change(msgspec.Struct, frozen=True):
    """Metadata of an accepted change."""

    version: int
    digest: str
    author: str
    change_id: str
    applied_at: int
    size: int


class Accepted(_Message, frozen=True):
    """The document is committed under this version."""

    version: int
    digest: str


class Conflict(_Message, frozen=True):
    """Another change was committed first: the current version, its author and change ID."""

    version: int
    digest: str
    author: str
    change_id: str


class ChangeReused(_Message, frozen=True):
    """The change ID was used before for another document, which has this digest."""

    change_id: str
    digest: str


class DocumentTooLarge(_Message, frozen=True):
    """The document exceeds the size limit; `size` and `limit` are in bytes."""

    size: int
    limit: int


class Superseded(_Message, frozen=True):
    """The version is not higher than the current one, which remains in force."""

    version: int
    digest: str
