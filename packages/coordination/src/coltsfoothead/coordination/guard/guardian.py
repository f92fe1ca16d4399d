"""Guard side of request replication."""

import collections
import dataclasses

import msgspec

from coltsfoothead.coordination.guard import messages, owner

__all__ = ["CopyUnknownError", "CopyStore", "Settings"]


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Limits on the state that a guard keeps.

    Parameters
    ----------
    finished_retention_seconds : float
        Retention of finished answers in seconds.
    finished_limit_bytes : int
        Limit of the total size of finished answers; the oldest are removed first.
    fence_retention_seconds : float
        Retention of fences in seconds.
    """

    finished_retention_seconds: float = 600.0
    finished_limit_bytes: int = 32 << 20
    # An owner that was partitioned for an hour can still send messages of its old epoch.
    fence_retention_seconds: float = 7200.0


class CopyUnknownError(owner.GuardError):
    """This process holds no copy of the request."""


@dataclasses.dataclass(slots=True)
class _StoredCopy:
    """Copy of one request; `header` is the `Copy` message without chunks and result."""

    owner: str
    header: messages.Copy
    attempt: int
    chunks: list[messages.Chunk]
    result: bytes | None

    def to_copy(self):
        return msgspec.structs.replace(
            self.header, attempt=self.attempt, chunks=tuple(self.chunks), result=self.result
        )

    def size_bytes(self):
        return len(self.header.description) + sum(len(chunk.data) for chunk in self.chunks)


class CopyStore:
    """Copies of requests that one process holds as their guard.

    Parameters
    ----------
    incarnation : int
        Start counter of this process. A copy addressed to another incarnation is refused, because
        an earlier incarnation may have taken the request over.
    settings : Settings, optional
        Limits on the state.
    """

    def __init__(self, incarnation, settings=None):
        self._incarnation = incarnation
        self._settings = settings or Settings()
        self._copies = {}
        # Lowest accepted epoch and time of the fence by request ID.
        self._fences = {}
        # End time and size in bytes of finished answers by request ID, oldest first.
        self._finished = collections.OrderedDict()
        self._finished_bytes = 0

    def receive(self, sender, message, now):
        """Handles a `Copy` or an `Append` and returns the response for its sender."""
        self._expire(now)
        request_id, epoch, guard_number = message.request_id, message.epoch, message.guard_number
        stored = self._copies.get(request_id)
        known_epoch = stored.header.epoch if stored is not None else 0
        fence_epoch = self._fences.get(request_id, (0, 0.0))[0]
        if epoch < max(known_epoch, fence_epoch):
            return messages.Refuse(request_id, epoch, "superseded", guard_number)
        match message:
            case messages.Copy() if message.guard_incarnation != self._incarnation:
                return messages.Refuse(request_id, epoch, "restarted", guard_number)
            case messages.Copy():
                stored = self._store(sender, message, stored, now)
            case messages.Append() if stored is None or known_epoch != epoch:
                return messages.Refuse(request_id, epoch, "unknown", guard_number)
            case messages.Append():
                self._append(stored, message, now)
        return messages.Acknowledge(
            request_id, epoch, len(stored.chunks), stored.result is not None, guard_number
        )

    def take_over(self, request_id, epoch, now):
        """Fences all lower epochs, removes the copy and returns it for an `owner.OwnerRequest`.

        To be called after the control log has committed the take-over.

        Raises
        ------
        CopyUnknownError
            If this process holds no copy of the request.
        """
        stored = self._copies.get(request_id)
        if stored is None:
            raise CopyUnknownError(f"no copy of request {request_id!r} is held")
        self.fence(request_id, epoch, now)
        self._remove(request_id)
        return stored.to_copy()

    def fence(self, request_id, epoch, now):
        """Refuses all messages of lower epochs of a request from now on."""
        known_epoch = self._fences.get(request_id, (0, 0.0))[0]
        self._fences[request_id] = (max(epoch, known_epoch), now)

    def find_copy(self, request_id):
        """Returns the copy of a running or finished request, or None."""
        stored = self._copies.get(request_id)
        return None if stored is None else stored.to_copy()

    def running_request_ids(self, owner_id):
        """Returns the IDs of the guarded running requests whose owner is `owner_id`."""
        return [
            request_id
            for request_id, stored in self._copies.items()
            if stored.owner == owner_id and stored.result is None
        ]

    def discard_copy(self, request_id):
        """Removes the copy of a request whose owner uses another guard now."""
        self._remove(request_id)

    def _store(self, sender, message, stored, now):
        """Stores a copy unless the stored one has the same epoch and is at least as complete."""
        if stored is not None and stored.header.epoch == message.epoch:
            progress = (len(stored.chunks), stored.result is not None)
            if progress >= (len(message.chunks), message.result is not None):
                return stored
        self._remove(message.request_id)
        header = msgspec.structs.replace(message, chunks=(), result=None)
        stored = _StoredCopy(sender, header, message.attempt, list(message.chunks), message.result)
        self._copies[message.request_id] = stored
        self._track_finished(stored, now)
        return stored

    def _append(self, stored, message, now):
        """Adds the new chunks; ignores a message after a gap, which the owner will fill."""
        if message.offset > len(stored.chunks) or stored.result is not None:
            return
        stored.chunks += message.chunks[len(stored.chunks) - message.offset :]
        stored.attempt = max(stored.attempt, message.attempt)
        if message.offset + len(message.chunks) == len(stored.chunks):
            stored.result = message.result
        self._track_finished(stored, now)

    def _track_finished(self, stored, now):
        if stored.result is None:
            return
        self._finished[stored.header.request_id] = (now, stored.size_bytes())
        self._finished_bytes += stored.size_bytes()
        # The newest answer is always kept: its owner has not received the acknowledgement yet.
        while (
            self._finished_bytes > self._settings.finished_limit_bytes and len(self._finished) > 1
        ):
            self._remove(next(iter(self._finished)))

    def _remove(self, request_id):
        self._copies.pop(request_id, None)
        _, size = self._finished.pop(request_id, (0.0, 0))
        self._finished_bytes -= size

    def _expire(self, now):
        while self._finished:
            request_id, (finished_at, _) = next(iter(self._finished.items()))
            if now - finished_at < self._settings.finished_retention_seconds:
                break
            self._remove(request_id)
        while self._fences:
            request_id, (_, fenced_at) = next(iter(self._fences.items()))
            if now - fenced_at < self._settings.fence_retention_seconds:
                break
            del self._fences[request_id]
