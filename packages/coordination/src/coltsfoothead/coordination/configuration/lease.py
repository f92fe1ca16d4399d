"""Configuration lease: how long a daemon may use its configuration document.

A daemon with a valid lease has every change that was committed more than one lease length before.
The leader gets the lease from its quorum, every other daemon from its parent in a tree.
"""

import collections

import msgspec

from coltsfoothead.coordination import clock
from coltsfoothead.coordination.configuration import delta, documents

__all__ = [
    "LEASE_SECONDS",
    "LeaderLease",
    "LeaseClient",
    "PollAnswer",
    "PollRequest",
    "answer_poll",
]

LEASE_SECONDS = 3.0
# With a poll every 500 ms this spans more than one lease length; older answers grant no lease.
_MAX_OUTSTANDING_POLLS = 16
_MAX_CLIENT_DOCUMENTS = 4


class PollRequest(msgspec.Struct, frozen=True):
    """Poll of a parent by its child; version 0 requests the full document."""

    poll_id: int
    have_version: int
    have_digest: str


class PollAnswer(msgspec.Struct, frozen=True):
    """The update, and the remaining lease of the parent in seconds at the time of its answer."""

    poll_id: int
    remaining: float
    update: documents.Update


def answer_poll(
    request: PollRequest, remaining: float, history: documents.DocumentHistory
) -> PollAnswer:
    """Returns the answer of a parent to a poll.

    Parameters
    ----------
    request : PollRequest
        The poll of the child.
    remaining : float
        Remaining lease of the parent in seconds, read no later than `history`.
    history : DocumentHistory
        Documents of the parent.
    """
    update = history.update_since(request.have_version, request.have_digest)
    return PollAnswer(request.poll_id, remaining, update)


class LeaderLease:
    """Leader side: the lease runs from the start of the last confirmed quorum round.

    Parameters
    ----------
    lease_seconds : float
        Length of the lease in seconds.
    """

    def __init__(self, lease_seconds: float = LEASE_SECONDS) -> None:
        self._lease_seconds = lease_seconds
        self._valid_until = float("-inf")

    def extend(self, round_started_at: float) -> None:
        """Extends the lease after a round in which a majority confirmed the leader.

        Notes
        -----
        Call this only after the state machine has applied all entries that were committed when the
        round started. Otherwise the lease would cover a document that is already replaced.
        """
        self._valid_until = max(self._valid_until, round_started_at + self._lease_seconds)

    def remaining(self, now: float) -> float:
        """Returns the seconds for which the document of the leader may be used."""
        return max(0.0, self._valid_until - now)

    def valid(self, now: float) -> bool:
        """Whether the leader may use its document."""
        return self.remaining(now) > 0


class LeaseClient:
    """Child side: the newest document received, and how long it may be used.

    Parameters
    ----------
    drift : float
        Largest rate error of any clock against true time.

    Notes
    -----
    The child counts from the moment at which it sent the poll. Its clock may be slow and that of
    the parent fast, so it uses ``(1 - drift) / (1 + drift)`` of the parent's remaining lease.
    """

    def __init__(self, drift: float = clock.MAX_DRIFT) -> None:
        self._drift_factor = (1 - drift) / (1 + drift)
        self._valid_until = float("-inf")
        self._history = documents.DocumentHistory(_MAX_CLIENT_DOCUMENTS)
        self._polls: collections.OrderedDict[int, float] = collections.OrderedDict()
        self._next_poll_id = 1
        self._request_full = False

    @property
    def document(self) -> documents.Document:
        """The newest document received."""
        return self._history.current

    @property
    def history(self) -> documents.DocumentHistory:
        """The documents from which this child answers polls of its own children."""
        return self._history

    def poll(self, now: float) -> PollRequest:
        """Returns the next poll request and records its time."""
        poll_id = self._next_poll_id
        self._next_poll_id += 1
        self._polls[poll_id] = now
        if len(self._polls) > _MAX_OUTSTANDING_POLLS:
            self._polls.popitem(last=False)
        known = documents.Document() if self._request_full else self.document
        return PollRequest(poll_id, known.version, known.digest)

    def receive(self, received: PollAnswer) -> bool:
        """Processes an answer and returns whether the document changed.

        Notes
        -----
        The lease is extended only if the child then has at least the version of the parent. An
        answer to a poll that is not outstanding is dropped.
        """
        requested_at = self._polls.pop(received.poll_id, None)
        if requested_at is None:
            return False
        previous_version = self.document.version
        if self._apply_update(received.update):
            self.extend(requested_at, received.remaining)
        return self.document.version > previous_version

    def extend(self, requested_at: float, remaining: float) -> None:
        """Extends the lease by the remaining lease of a parent; never shortens it."""
        if remaining > 0:
            self._valid_until = max(
                self._valid_until, requested_at + remaining * self._drift_factor
            )

    def remaining(self, now: float) -> float:
        """Returns the seconds for which the document may be used."""
        return max(0.0, self._valid_until - now) if self.document.version else 0.0

    def valid(self, now: float) -> bool:
        """Whether the document may be used."""
        return self.remaining(now) > 0

    def _apply_update(self, update: documents.Update) -> bool:
        match update:
            case documents.Current():
                return update.version <= self.document.version
            case documents.Full():
                return self._accept_full(update.document)
            case documents.Delta():
                return self._apply_delta(update)

    def _accept_full(self, document: documents.Document) -> bool:
        if delta.digest(document.content) != document.digest:
            return False
        self._request_full = False
        if self._history.add(document):
            return True
        # The same version with different content would mean a forked history.
        known = self.document
        return document.version < known.version or document.digest == known.digest

    def _apply_delta(self, update: documents.Delta) -> bool:
        if update.version <= self.document.version:
            return True
        base = self._history.document(update.base_version)
        try:
            content = delta.apply(base.content if base else b"", update.pieces, update.digest)
        except delta.DeltaMismatchError:
            self._request_full = True
            return False
        return self._history.add(documents.Document(update.version, update.digest, content))
