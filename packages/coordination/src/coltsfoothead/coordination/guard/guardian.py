"""Guard side of request replication."""

import collections
import dataclasses

import msgspec

from coltsfoothead.coordination.guard import messages, owner

__all__ = ["CopyUnknownError", "Guardian", "Settings"]


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Bounds of what a guard keeps."""

    finished_seconds: float = 600.0
    finished_bytes: int = 32 << 20
    # An owner can be cut off for an hour and send its old epoch after it.
    fence_seconds: float = 7200.0


class CopyUnknownError(owner.GuardError):
    """This process holds no copy of the request."""


@dataclasses.dataclass(slots=True)
class _Held:
    """Copy of one request."""

    owner: str
    first: messages.Copy
    attempt: int
    chunks: list[messages.Chunk]
    result: bytes | None

    def as_copy(self):
        return msgspec.structs.replace(
            self.first, attempt=self.attempt, chunks=tuple(self.chunks), result=self.result
        )

    def size(self):
        return len(self.first.description) + sum(len(chunk.data) for chunk in self.chunks)


class Guardian:
    """All copies that one process holds for other owners.

    Parameters
    ----------
    incarnation : int
        Start counter of this process. A copy meant for an earlier start is refused, because that
        start may have taken the request over.
    settings : Settings, optional
        Bounds.
    """

    def __init__(self, incarnation, settings=None):
        self._incarnation = incarnation
        self._settings = settings or Settings()
        self._held = {}
        self._fences = {}
        self._finished = collections.OrderedDict()
        self._finished_bytes = 0

    def receive(self, sender, message, now):
        """Handles a copy or an append and returns the answer to its sender."""
        self._expire(now)
        request_id, epoch, number = message.request_id, message.epoch, message.guard_number
        held = self._held.get(request_id)
        known = held.first.epoch if held is not None else 0
        fence = self._fences.get(request_id, (0, 0.0))[0]
        if epoch < max(known, fence):
            return messages.Refuse(request_id, epoch, "superseded", number)
        match message:
            case messages.Copy() if message.guard_incarnation != self._incarnation:
                return messages.Refuse(request_id, epoch, "restarted", number)
            case messages.Copy():
                held = self._keep(sender, message, held, now)
            case messages.Append() if held is None or known != epoch:
                return messages.Refuse(request_id, epoch, "unknown", number)
            case messages.Append():
                self._extend(held, message, now)
        return messages.Acknowledge(
            request_id, epoch, len(held.chunks), held.result is not None, number
        )

    def take_over(self, request_id, epoch, now):
        """Fences all lower epochs and returns the copy, for an `owner.OwnerRequest`.

        To be called when the control log has committed the take-over.

        Raises
        ------
        CopyUnknownError
            If this process holds no copy of the request.
        """
        held = self._held.get(request_id)
        if held is None:
            raise CopyUnknownError(f"no copy of request {request_id!r} is held")
        self.fence(request_id, epoch, now)
        self._forget(request_id)
        return held.as_copy()

    def fence(self, request_id, epoch, now):
        """Refuses all lower epochs of a request from now on."""
        known = self._fences.get(request_id, (0, 0.0))[0]
        self._fences[request_id] = (max(epoch, known), now)

    def held(self, request_id):
        """Returns the copy of a request, or None; finished answers are found here too."""
        held = self._held.get(request_id)
        return None if held is None else held.as_copy()

    def held_for(self, member_id):
        """Returns the IDs of the running requests whose owner is `member_id`."""
        return [
            key
            for key, held in self._held.items()
            if held.owner == member_id and held.result is None
        ]

    def release(self, request_id):
        """Drops the copy of a request whose owner has another guard."""
        self._forget(request_id)

    def _keep(self, sender, message, held, now):
        """Keeps a copy unless the known one of that epoch is longer."""
        if held is not None and held.first.epoch == message.epoch:
            known = (len(held.chunks), held.result is not None)
            if known >= (len(message.chunks), message.result is not None):
                return held
        self._forget(message.request_id)
        first = msgspec.structs.replace(message, chunks=(), result=None)
        held = _Held(sender, first, message.attempt, list(message.chunks), message.result)
        self._held[message.request_id] = held
        self._note_finished(held, now)
        return held

    def _extend(self, held, message, now):
        """Adds what is new; a gap is left to the owner's resending."""
        if message.offset > len(held.chunks) or held.result is not None:
            return
        held.chunks += message.chunks[len(held.chunks) - message.offset :]
        held.attempt = max(held.attempt, message.attempt)
        if message.offset + len(message.chunks) == len(held.chunks):
            held.result = message.result
        self._note_finished(held, now)

    def _note_finished(self, held, now):
        if held.result is None:
            return
        self._finished[held.first.request_id] = (now, held.size())
        self._finished_bytes += held.size()
        # The newest answer always stays: its owner has not had the acknowledgement yet.
        while self._finished_bytes > self._settings.finished_bytes and len(self._finished) > 1:
            self._forget(next(iter(self._finished)))

    def _forget(self, request_id):
        self._held.pop(request_id, None)
        _, size = self._finished.pop(request_id, (0.0, 0))
        self._finished_bytes -= size

    def _expire(self, now):
        while self._finished:
            request_id, (finished_at, _) = next(iter(self._finished.items()))
            if now - finished_at < self._settings.finished_seconds:
                break
            self._forget(request_id)
        while self._fences:
            request_id, (_, fenced_at) = next(iter(self._fences.items()))
            if now - fenced_at < self._settings.fence_seconds:
                break
            del self._fences[request_id]
