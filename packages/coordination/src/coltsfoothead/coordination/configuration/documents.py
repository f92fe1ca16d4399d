"""The last documents of a configuration, and updates from one version to the newest."""

import collections

import msgspec

from coltsfoothead.coordination.configuration import delta

__all__ = ["Current", "Delta", "Document", "Documents", "Full", "Update"]


class Document(msgspec.Struct, frozen=True):
    """A document with its version; version 0 stands for none."""

    version: int = 0
    digest: str = ""
    content: bytes = b""


class _Update(msgspec.Struct, frozen=True, tag=True):
    pass


class Current(_Update, frozen=True):
    """The asker has this version or a newer one."""

    version: int


class Delta(_Update, frozen=True):
    """Pieces that build the version from the asker's one."""

    base_version: int
    version: int
    digest: str
    pieces: tuple[delta.Piece, ...]


class Full(_Update, frozen=True):
    """A whole document."""

    document: Document


Update = Current | Delta | Full


class Documents:
    """The newest documents.

    Parameters
    ----------
    kept : int
        Number of documents kept in full; an asker with an older one gets the whole document.
    """

    def __init__(self, kept: int) -> None:
        self._documents: collections.deque[Document] = collections.deque(maxlen=kept)
        self._updates: dict[int, Update] = {}

    @property
    def current(self) -> Document:
        """The newest document."""
        return self._documents[-1] if self._documents else Document()

    @property
    def kept(self) -> tuple[Document, ...]:
        """All documents kept, oldest first."""
        return tuple(self._documents)

    def add(self, document: Document) -> bool:
        """Adds a document; returns False if it is not newer than the current one."""
        if document.version <= self.current.version:
            return False
        self._documents.append(document)
        self._updates = {}
        return True

    def document(self, version: int) -> Document | None:
        """Returns the document of a version if it is kept."""
        return next((held for held in self._documents if held.version == version), None)

    def since(self, version: int, digest: str) -> Update:
        """Returns what an asker needs that has the document of this version and digest."""
        current = self.current
        if version > current.version or (version, digest) == (current.version, current.digest):
            return Current(current.version)
        base = self.document(version)
        if base is None or base.digest != digest:
            return Full(current)
        # Many children ask for the same step, and matching lines is the costly part.
        if version not in self._updates:
            self._updates[version] = self._step(base, current)
        return self._updates[version]

    @staticmethod
    def _step(base: Document, current: Document) -> Update:
        pieces = delta.make(base.content, current.content)
        if pieces is None:
            return Full(current)
        return Delta(base.version, current.version, current.digest, pieces)
