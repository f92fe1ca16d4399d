"""Newest documents of a configuration, and updates from an older version to the current one."""

import collections

import msgspec

from coltsfoothead.coordination.configuration import delta

__all__ = ["Current", "Delta", "Document", "DocumentHistory", "Full", "Update"]


class Document(msgspec.Struct, frozen=True):
    """A document with its version; version 0 means that there is no document."""

    version: int = 0
    digest: str = ""
    content: bytes = b""


class _Update(msgspec.Struct, frozen=True, tag=True):
    pass


class Current(_Update, frozen=True):
    """The requester has this version or a newer one."""

    version: int


class Delta(_Update, frozen=True):
    """Pieces that build the version from the base version of the requester."""

    base_version: int
    version: int
    digest: str
    pieces: tuple[delta.Piece, ...]


class Full(_Update, frozen=True):
    """The full document."""

    document: Document


Update = Current | Delta | Full


class DocumentHistory:
    """Bounded history of the newest documents.

    Parameters
    ----------
    capacity : int
        Number of documents retained; a requester with an older one gets the full document.
    """

    def __init__(self, capacity: int) -> None:
        self._documents: collections.deque[Document] = collections.deque(maxlen=capacity)
        self._updates: dict[int, Update] = {}

    @property
    def current(self) -> Document:
        """The newest document."""
        return self._documents[-1] if self._documents else Document()

    @property
    def retained(self) -> tuple[Document, ...]:
        """All retained documents, oldest first."""
        return tuple(self._documents)

    def add(self, document: Document) -> bool:
        """Adds a document; returns False if it is not newer than the current one."""
        if document.version <= self.current.version:
            return False
        self._documents.append(document)
        self._updates = {}
        return True

    def document(self, version: int) -> Document | None:
        """Returns the document of a version, or None if it is not retained."""
        return next((document for document in self._documents if document.version == version), None)

    def update_since(self, version: int, digest: str) -> Update:
        """Returns the update from the document with this version and digest to the current one."""
        current = self.current
        if version > current.version or (version, digest) == (current.version, current.digest):
            return Current(current.version)
        base = self.document(version)
        if base is None or base.digest != digest:
            return Full(current)
        # Cached, because many children request the same update and line matching is costly.
        if version not in self._updates:
            self._updates[version] = self._make_update(base, current)
        return self._updates[version]

    @staticmethod
    def _make_update(base: Document, current: Document) -> Update:
        pieces = delta.make(base.content, current.content)
        if pieces is None:
            return Full(current)
        return Delta(base.version, current.version, current.digest, pieces)
