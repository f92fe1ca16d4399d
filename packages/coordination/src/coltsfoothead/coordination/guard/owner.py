"""Owner side of request replication."""

import dataclasses
import math

from coltsfoothead.coordination import errors
from coltsfoothead.coordination.guard import messages

__all__ = ["Guard", "GuardError", "OwnerRequest", "RequestFinishedError"]

# Exceeds a round trip between regions (24 ms) plus the batching intervals of both sides.
_RESEND_TIMEOUT_SECONDS = 0.25


class GuardError(errors.CoordinationError):
    """Base class of the errors of request replication."""


class RequestFinishedError(GuardError):
    """The answer of the request has already ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class Guard:
    """Process that holds the copy of a request."""

    member_id: str
    incarnation: int


class OwnerRequest:
    """Answer of one request at its owner, replicated to a guard.

    A chunk may be delivered to the caller once the guard has acknowledged it.

    Parameters
    ----------
    request_id : str
        ID of the request.
    epoch : int
        Owner epoch; after a take-over the one that the control log committed.
    description : bytes
        Encoded data with which a new owner can run the request.
    guard : Guard or None
        None to run the request without replication.
    copy : messages.Copy, optional
        Copy that this process kept as the guard, after a take-over.

    Notes
    -----
    Chunks are never removed or changed within an epoch, so the offset identifies a chunk.
    """

    def __init__(self, request_id, epoch, description, guard, copy=None):
        self.request_id = request_id
        self.epoch = epoch
        self._description = description
        self._guard = guard
        self._attempt = copy.attempt if copy else 0
        self._chunks = list(copy.chunks) if copy else []
        self._result = copy.result if copy else None
        self._refusal_reason = None
        self._guard_number = 1
        self._reset_guard_state()

    @property
    def attempt(self):
        """Number of the current attempt; 0 before the first."""
        return self._attempt

    @property
    def token_count(self):
        """Number of tokens so far, which the next attempt does not generate again."""
        return sum(chunk.tokens for chunk in self._chunks)

    @property
    def chunk_count(self):
        """Number of chunks of the answer so far."""
        return len(self._chunks)

    @property
    def ended(self):
        """Whether the answer has ended at the owner, acknowledged by the guard or not."""
        return self._result is not None

    @property
    def deliverable_count(self):
        """Number of chunks that may be delivered to the caller."""
        return len(self._chunks) if self._guard is None else self._acknowledged_count

    @property
    def fully_acknowledged(self):
        """Whether the guard has acknowledged the copy, all chunks and the result."""
        all_acknowledged = (
            self._acknowledged_count == len(self._chunks)
            and self._result_acknowledged == self.ended
        )
        return self._guard is None or (self._copy_acknowledged and all_acknowledged)

    @property
    def accepted(self):
        """Whether the guard holds a copy, so that the response headers may be sent."""
        return self._guard is None or (self._copy_acknowledged and self._refusal_reason is None)

    @property
    def refusal_reason(self):
        """Reason in the `Refuse` message of the guard, or None.

        After ``superseded`` another process owns the request. After any other reason the request
        needs a new guard.
        """
        return self._refusal_reason

    @property
    def result(self):
        """Encoded end of the answer once the guard holds the complete answer, else None."""
        if self._guard is None or (self._result_acknowledged and self._refusal_reason is None):
            return self._result
        return None

    def start_attempt(self):
        """Starts an attempt on another upstream and returns its number.

        The attempt continues the answer after the first `token_count` tokens.

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
        """Adds a chunk; returns False if the attempt is outdated or the answer has ended."""
        if attempt != self._attempt or self._result is not None:
            return False
        self._chunks.append(chunk)
        return True

    def finish(self, attempt, result):
        """Ends the answer; returns False if the attempt is outdated or the answer has ended."""
        if attempt != self._attempt or self._result is not None:
            return False
        self._result = result
        return True

    def deliverable(self, offset):
        """Returns the chunks from `offset` on that may be delivered to the caller.

        Acknowledged chunks stay deliverable after a refusal, because a guard that took the request
        over holds them too.
        """
        return self._chunks[offset : self.deliverable_count]

    def change_guard(self, guard, description=None):
        """Switches to another guard, which gets a copy of the complete state.

        To be called after `Replace` was committed. No further chunks are deliverable until the new
        guard has acknowledged the copy. A `description` replaces the previous one.
        """
        self._guard = guard
        if description is not None:
            self._description = description
        self._guard_number += 1
        if self._refusal_reason != "superseded":
            self._refusal_reason = None
        self._reset_guard_state()

    def outgoing(self, now):
        """Returns the messages for the guard: unsent state, or unacknowledged state to resend."""
        if self._guard is None or self._refusal_reason is not None:
            return []
        if now >= self._resend_at:
            self._sent_count = self._acknowledged_count
            self._result_sent = self._result_acknowledged
            self._copy_sent = self._copy_acknowledged
        if not self._copy_sent:
            self._copy_sent = True
            message = self._copy_message()
        elif not self._copy_acknowledged or not self._has_unsent():
            return []
        else:
            chunks = tuple(self._chunks[self._sent_count :])
            message = messages.Append(
                self.request_id,
                self.epoch,
                self._attempt,
                self._sent_count,
                chunks,
                self._result,
                self._guard_number,
            )
        self._sent_count = len(self._chunks)
        self._result_sent = self._result is not None
        self._resend_at = now + _RESEND_TIMEOUT_SECONDS
        return [message]

    def receive(self, sender, message):
        """Handles an acknowledgement or refusal; ignores those of another guard or epoch."""
        if self._guard is None or sender != self._guard.member_id or message.epoch != self.epoch:
            return
        if message.guard_number != self._guard_number:
            # The same member can become the guard again after a restart, or after another member
            # was the guard in between.
            return
        match message:
            case messages.Acknowledge(_, _, offset, finished, _):
                self._copy_acknowledged = True
                self._acknowledged_count = max(self._acknowledged_count, offset)
                self._result_acknowledged = self._result_acknowledged or finished
                if (
                    self._acknowledged_count == self._sent_count
                    and self._result_acknowledged == self._result_sent
                ):
                    self._resend_at = math.inf
            case messages.Refuse(_, _, reason, _):
                # Appends are sent only after the copy was acknowledged, so "unknown" means that the
                # guard has lost the copy.
                self._refusal_reason = reason

    def _reset_guard_state(self):
        self._acknowledged_count = 0
        self._result_acknowledged = False
        self._copy_acknowledged = False
        self._sent_count = 0
        self._result_sent = False
        self._copy_sent = False
        self._resend_at = math.inf

    def _has_unsent(self):
        return self._sent_count < len(self._chunks) or self._result_sent != (
            self._result is not None
        )

    def _copy_message(self):
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
