"""Configuration lease: how long a daemon may act on the document it has.

A daemon that holds the lease at some moment has every change that was committed more than one lease
length before. The leader gets the lease from its quorum, all others from a parent in a tree.
"""

import collections

import msgspec

from coltsfoothead.coordination import clock
from coltsfoothead.coordination.configuration import delta, documents

__all__ = ["LEASE_SECONDS", "LeaseClient", "LeaseSource", "PollAnswer", "PollRequest", "answer"]

LEASE_SECONDS = 3.0
# At a poll every 500 ms this is more than one lease length; older answers would grant nothing.
_OUTSTANDING_POLLS = 16
_CLIENT_DOCUMENTS_KEPT = 4


class PollRequest(msgspec.Struct, frozen=True):
    """A child's question to its parent; version 0 asks for the whole document."""

    poll_id: int
    have_version: int
    have_digest: str


class PollAnswer(msgspec.Struct, frozen=True):
    """The update and the parent's remaining lease in seconds when it answered."""

    poll_id: int
    remaining: float
    update: documents.Update


def answer(request: PollRequest, remaining: float, held: documents.Documents) -> PollAnswer:
    """Returns a parent's answer.

    Parameters
    ----------
    request : PollRequest
        The child's question.
    remaining : float
        The parent's own remaining lease, read no later than `held`.
    held : Documents
        The parent's documents.
    """
    update = held.since(request.have_version, request.have_digest)
    return PollAnswer(request.poll_id, remaining, update)


class LeaseSource:
    """Leader side: the lease runs from the start of the last quorum round.

    Parameters
    ----------
    lease_seconds : float
        Length of the lease.
    """

    def __init__(self, lease_seconds: float = LEASE_SECONDS) -> None:
        self._lease_seconds = lease_seconds
        self._until = float("-inf")

    def confirmed(self, round_started_at: float) -> None:
        """Takes a round in which a majority confirmed the leader.

        Notes
        -----
        To be called only once the state machine has applied everything that was committed when the
        round started; else the leader would vouch for a document that is already replaced.
        """
        self._until = max(self._until, round_started_at + self._lease_seconds)

    def remaining(self, now: float) -> float:
        """Returns the seconds for which the leader's document is known to be in force."""
        return max(0.0, self._until - now)

    def valid(self, now: float) -> bool:
        """Whether the leader may act on its document."""
        return self.remaining(now) > 0


class LeaseClient:
    """Child side: the document it holds and how long it may act on it.

    Parameters
    ----------
    drift : float
        Largest rate error of any clock against true time.

    Notes
    -----
    The child counts from the moment it asked. Its clock may be slow and the parent's fast, so it
    uses ``(1 - drift) / (1 + drift)`` of the parent's remaining time.
    """

    def __init__(self, drift: float = clock.MAX_DRIFT) -> None:
        self._share = (1 - drift) / (1 + drift)
        self._until = float("-inf")
        self._documents = documents.Documents(_CLIENT_DOCUMENTS_KEPT)
        self._polls: collections.OrderedDict[int, float] = collections.OrderedDict()
        self._next_poll_id = 1
        self._ask_whole = False

    @property
    def document(self) -> documents.Document:
        """The newest document received."""
        return self._documents.current

    @property
    def store(self) -> documents.Documents:
        """The documents from which this child answers its own children."""
        return self._documents

    def poll(self, now: float) -> PollRequest:
        """Returns the next question and records when it was asked."""
        poll_id = self._next_poll_id
        self._next_poll_id += 1
        self._polls[poll_id] = now
        if len(self._polls) > _OUTSTANDING_POLLS:
            self._polls.popitem(last=False)
        held = documents.Document() if self._ask_whole else self.document
        return PollRequest(poll_id, held.version, held.digest)

    def receive(self, received: PollAnswer) -> bool:
        """Takes an answer; returns whether the document changed.

        Notes
        -----
        The lease is taken only if the child then has at least the parent's version. An answer to a
        question that is not outstanding is dropped.
        """
        asked_at = self._polls.pop(received.poll_id, None)
        if asked_at is None:
            return False
        before = self.document.version
        if self._update(received.update):
            self.granted(asked_at, received.remaining)
        return self.document.version > before

    def granted(self, asked_at: float, remaining: float) -> None:
        """Prolongs the lease by a parent's remaining time; never shortens it."""
        if remaining > 0:
            self._until = max(self._until, asked_at + remaining * self._share)

    def remaining(self, now: float) -> float:
        """Returns the seconds for which the document may be acted on."""
        return max(0.0, self._until - now) if self.document.version else 0.0

    def valid(self, now: float) -> bool:
        """Whether the document may be acted on."""
        return self.remaining(now) > 0

    def _update(self, update: documents.Update) -> bool:
        match update:
            case documents.Current():
                return update.version <= self.document.version
            case documents.Full():
                return self._take_whole(update.document)
            case documents.Delta():
                return self._apply_delta(update)

    def _take_whole(self, document: documents.Document) -> bool:
        if delta.digest(document.content) != document.digest:
            return False
        self._ask_whole = False
        if self._documents.add(document):
            return True
        # The same version with another content would be a forked history.
        held = self.document
        return document.version < held.version or document.digest == held.digest

    def _apply_delta(self, update: documents.Delta) -> bool:
        if update.version <= self.document.version:
            return True
        base = self._documents.document(update.base_version)
        try:
            content = delta.apply(base.content if base else b"", update.pieces, update.digest)
        except delta.DeltaMismatchError:
            self._ask_whole = True
            return False
        return self._documents.add(documents.Document(update.version, update.digest, content))
