"""Configuration state machine."""

import collections
import itertools

import msgspec

from coltsfoothead.coordination.configuration import commands, delta, documents
from coltsfoothead.coordination.machine import registry

__all__ = ["ConfigurationState", "Settings"]


class Settings(msgspec.Struct, frozen=True):
    """Limits of the state; they must be equal on all replicas.

    Parameters
    ----------
    documents_kept : int
        Number of documents retained, for deltas and rollbacks.
    changes_kept : int
        Number of changes whose metadata is retained. The default covers almost two days at the
        planned 11,000 changes a day.
    refusals_kept : int
        Number of rejected changes whose answer is retained for resends. They are limited
        separately, so that many rejected changes do not evict accepted ones.
    document_limit_bytes : int
        Largest accepted document in bytes.
    """

    documents_kept: int = 16
    changes_kept: int = 20_000
    refusals_kept: int = 1000
    document_limit_bytes: int = 1024 * 1024


class _Refusal(msgspec.Struct, frozen=True):
    digest: str
    answer: commands.Conflict


class _Snapshot(msgspec.Struct, frozen=True, array_like=True):
    clock: int
    changes: list[commands.Change]
    documents: list[documents.Document]
    refusals: list[tuple[str, _Refusal]]


@registry.register(
    commands.NAME,
    commands=(commands.Apply, commands.Supersede),
    results=(
        commands.Accepted,
        commands.Conflict,
        commands.ChangeReused,
        commands.DocumentTooLarge,
        commands.Superseded,
    ),
)
class ConfigurationState:
    """The current document, its history, and the results of known change IDs.

    Notes
    -----
    A resent change whose ID was evicted is not applied twice: its expected version is outdated.
    """

    def __init__(self, settings: Settings = Settings()) -> None:  # noqa: B008 - frozen
        self._settings = settings
        self._clear()

    @property
    def current(self) -> documents.Document:
        """The document in force."""
        return self._documents.current

    def history(self, limit: int | None = None) -> list[commands.Change]:
        """Returns the metadata of the newest changes, newest first."""
        return list(itertools.islice(reversed(self._changes), limit))

    def document(self, version: int) -> documents.Document | None:
        """Returns the document of a version, or None if it is not retained."""
        return self._documents.document(version)

    def update_since(self, version: int, digest: str) -> documents.Update:
        """Returns the update from the document with this version and digest to the current one."""
        return self._documents.update_since(version, digest)

    def apply(self, index: int, command: commands.Apply | commands.Supersede) -> msgspec.Struct:
        """Applies one command."""
        self._clock = max(self._clock, command.applied_at)
        match command:
            case commands.Apply():
                return self._compare_and_set(command)
            case commands.Supersede():
                return self._supersede(command)

    def snapshot(self) -> bytes:
        """Returns the serialized state."""
        return msgspec.msgpack.encode(
            _Snapshot(
                self._clock,
                list(self._changes),
                list(self._documents.retained),
                list(self._refusals.items()),
            )
        )

    def restore(self, data: bytes) -> None:
        """Replaces the state by a snapshot."""
        snapshot = msgspec.msgpack.decode(data, type=_Snapshot)
        self._clear()
        self._clock = snapshot.clock
        for change in snapshot.changes:
            self._record_change(change)
        for document in snapshot.documents:
            self._documents.add(document)
        self._refusals.update(snapshot.refusals)

    def _clear(self) -> None:
        self._clock = 0
        self._documents = documents.DocumentHistory(self._settings.documents_kept)
        self._changes: collections.deque[commands.Change] = collections.deque()
        self._changes_by_id: dict[str, commands.Change] = {}
        self._refusals: collections.OrderedDict[str, _Refusal] = collections.OrderedDict()

    def _compare_and_set(self, command: commands.Apply) -> msgspec.Struct:
        digest = delta.digest(command.document)
        repeated_result = self._repeated_result(command.change_id, digest)
        if repeated_result is not None:
            return repeated_result
        if len(command.document) > self._settings.document_limit_bytes:
            return commands.DocumentTooLarge(
                len(command.document), self._settings.document_limit_bytes
            )
        current = self.current
        if (command.expected_version, command.expected_digest) != (current.version, current.digest):
            return self._reject(command.change_id, digest)
        return self._accept(
            current.version + 1, digest, command.author, command.change_id, command.document
        )

    def _supersede(self, command: commands.Supersede) -> msgspec.Struct:
        current = self.current
        if command.version <= current.version:
            return commands.Superseded(current.version, current.digest)
        if len(command.document) > self._settings.document_limit_bytes:
            return commands.DocumentTooLarge(
                len(command.document), self._settings.document_limit_bytes
            )
        digest = delta.digest(command.document)
        change_id = f"{command.version}-{digest}"
        return self._accept(command.version, digest, command.author, change_id, command.document)

    def _repeated_result(self, change_id: str, digest: str) -> msgspec.Struct | None:
        change = self._changes_by_id.get(change_id)
        refusal = self._refusals.get(change_id)
        original = change or refusal
        if original is None:
            return None
        if original.digest != digest:
            return commands.ChangeReused(change_id, original.digest)
        if refusal is not None:
            return refusal.answer
        return commands.Accepted(change.version, change.digest)

    def _reject(self, change_id: str, digest: str) -> commands.Conflict:
        answer = commands.Conflict(0, "", "", "")
        if self._changes:
            winner = self._changes[-1]
            answer = commands.Conflict(
                winner.version, winner.digest, winner.author, winner.change_id
            )
        self._refusals[change_id] = _Refusal(digest, answer)
        if len(self._refusals) > self._settings.refusals_kept:
            self._refusals.popitem(last=False)
        return answer

    def _accept(
        self, version: int, digest: str, author: str, change_id: str, content: bytes
    ) -> commands.Accepted:
        self._record_change(
            commands.Change(version, digest, author, change_id, self._clock, len(content))
        )
        self._documents.add(documents.Document(version, digest, content))
        return commands.Accepted(version, digest)

    def _record_change(self, change: commands.Change) -> None:
        self._changes.append(change)
        self._changes_by_id[change.change_id] = change
        if len(self._changes) > self._settings.changes_kept:
            del self._changes_by_id[self._changes.popleft().change_id]
