"""Owner side of the replication of one request."""

import dataclasses
import math

from coltsfoothead.coordination import errors
from coltsfoothead.coordination.guard import messages

__all__ = ["Guard", "GuardError", "OwnerRequest", "RequestFinishedError"]

# Longer than a round trip between the regions (24 ms) plus the batching of both sides.
_RESEND_SECONDS = 0.25


class GuardError(errors.CoordinationError):
    """Base class of the errors of request replication."""


class RequestFinishedError(GuardError):
    """The answer of the request has already ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class Guard:
    """Process that holds the copy."""

    member_id: str
    incarnation: int


class OwnerRequest:
    """Answer of one request at its owner.

    Parameters
    ----------
    request_id : str
        The request.
    epoch : int
        Owner epoch, from the control log after a take-over.
    description : bytes
        What a new owner needs to run the request.
    guard : Guard or None
        None if this daemon may run requests without a guard.
    held : messages.Copy, optional
        State that this process held as the guard, after a take-over.

    Notes
    -----
    Chunks are never removed or changed within an epoch, so a chunk is known by its offset.
    """

    def __init__(self, request_id, epoch, description, guard, held=None):
        self.request_id = request_id
        self.epoch = epoch
        self._description = description
        self._guard = guard
        self._attempt = held.attempt if held else 0
        self._chunks = list(held.chunks) if held else []
        self._result = held.result if held else None
        self._refusal = None
        self._guard_number = 1
        self._reset_guard()

    @property
    def attempt(self):
        """Number of the current attempt; 0 before the first."""
        return self._attempt

    @property
    def tokens(self):
        """Tokens that the next attempt need not compute again."""
        return sum(chunk.tokens for chunk in self._chunks)

    @property
    def length(self):
        """Number of chunks so far."""
        return len(self._chunks)

    @property
    def ended(self):
        """Whether the answer has ended here, acknowledged or not."""
        return self._result is not None

    @property
    def acknowledged(self):
        """Number of chunks that may go to a caller."""
        return len(self._chunks) if self._guard is None else self._acknowledged

    @property
    def settled(self):
        """Whether the guard has acknowledged everything."""
        whole = self._acknowledged == len(self._chunks) and self._finished == self.ended
        return self._guard is None or (self._copied and whole)

    @property
    def accepted(self):
        """Whether the guard holds a copy, so that the caller may get the headers."""
        return self._guard is None or (self._copied and self._refusal is None)

    @property
    def refusal(self):
        """Reason for which the guard refused, or None.

        After ``superseded`` another process owns the request; otherwise a new guard is needed.
        """
        return self._refusal

    @property
    def result(self):
        """How the answer ended, once the guard holds the whole answer."""
        if self._guard is None or (self._finished and self._refusal is None):
            return self._result
        return None

    def start_attempt(self):
        """Starts a run on another upstream, from `tokens` on, and returns its number.

        Raises
        ------
        RequestFinishedError
            If the answer has ended.
        """
        if self._result is not None:
            raise RequestFinishedError(f"request {self.request_id!r} has ended")
        self._attempt += 1
        return self._attempt

    def append(self, attempt, chunk):
        """Adds a chunk; returns False for one of an old attempt or after the end."""
        if attempt != self._attempt or self._result is not None:
            return False
        self._chunks.append(chunk)
        return True

    def finish(self, attempt, result):
        """Ends the answer; returns False for an old attempt or a second end."""
        if attempt != self._attempt or self._result is not None:
            return False
        self._result = result
        return True

    def deliverable(self, offset):
        """Returns the chunks from `offset` on that may go to a caller.

        Those already acknowledged stay deliverable after a refusal: the guard that took over
        holds them too.
        """
        return self._chunks[offset : self.acknowledged]

    def change_guard(self, guard, description=None):
        """Moves to another guard after `Replace` was committed; the whole state is copied.

        Nothing more is delivered until the new guard has acknowledged the copy. A `description`
        replaces the former one.
        """
        self._guard = guard
        if description is not None:
            self._description = description
        self._guard_number += 1
        if self._refusal != "superseded":
            self._refusal = None
        self._reset_guard()

    def outgoing(self, now):
        """Returns the messages for the guard: what is new, or what was not acknowledged in time."""
        if self._guard is None or self._refusal is not None:
            return []
        if now >= self._resend_at:
            self._sent = self._acknowledged
            self._sent_result = self._finished
            self._sent_copy = self._copied
        if not self._sent_copy:
            self._sent_copy = True
            message = self._copy()
        elif not self._copied or not self._has_news():
            return []
        else:
            chunks = tuple(self._chunks[self._sent :])
            message = messages.Append(
                self.request_id,
                self.epoch,
                self._attempt,
                self._sent,
                chunks,
                self._result,
                self._guard_number,
            )
        self._sent = len(self._chunks)
        self._sent_result = self._result is not None
        self._resend_at = now + _RESEND_SECONDS
        return [message]

    def receive(self, sender, message):
        """Takes an acknowledgement or refusal; one of another guard or epoch is ignored."""
        if self._guard is None or sender != self._guard.member_id or message.epoch != self.epoch:
            return
        if message.guard_number != self._guard_number:
            # The same member can become the guard again, after a restart or another guard.
            return
        match message:
            case messages.Acknowledge(_, _, offset, finished, _):
                self._copied = True
                self._acknowledged = max(self._acknowledged, offset)
                self._finished = self._finished or finished
                if self._acknowledged == self._sent and self._finished == self._sent_result:
                    self._resend_at = math.inf
            case messages.Refuse(_, _, reason, _):
                # Before the first acknowledgement an append cannot have been sent, so "unknown"
                # means that the guard lost the copy.
                self._refusal = reason

    def _reset_guard(self):
        self._acknowledged = 0
        self._finished = False
        self._copied = False
        self._sent = 0
        self._sent_result = False
        self._sent_copy = False
        self._resend_at = math.inf

    def _has_news(self):
        return self._sent < len(self._chunks) or self._sent_result != (self._result is not None)

    def _copy(self):
        return messages.Copy(
            self.request_id,
            self.epoch,
            self._attempt,
            self._description,
            tuple(self._chunks),
            self._result,
            self._guard.incarnation,
            self._guard_number,
        )
