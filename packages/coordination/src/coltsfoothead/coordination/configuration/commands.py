"""Command and results of the configuration state machine."""

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
    """Replaces the document if version and digest are the current ones.

    Parameters
    ----------
    change_id : str
        Chosen by the operator's command and kept for resends.
    expected_version, expected_digest : int, str
        The document that the operator changed; 0 and "" before the first one.
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
        Chosen by the author; versions may leave gaps.
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
    """Another change won; these are the current version and who made it."""

    version: int
    digest: str
    author: str
    change_id: str


class ChangeReused(_Message, frozen=True):
    """The change ID was used before with another document, whose digest this is."""

    change_id: str
    digest: str


class DocumentTooLarge(_Message, frozen=True):
    """The document is above the size limit."""

    size: int
    limit: int


class Superseded(_Message, frozen=True):
    """The version is not higher than the current one, which stays as it is."""

    version: int
    digest: str
