"""State of one request while an entry serves it."""

import dataclasses
import functools
import hashlib

from coltsfoothead.daemon.gateway import ports
from coltsfoothead.daemon.gateway.waiting import record
from coltsfoothead.daemon.http import buffers, message
from coltsfoothead.kernel.pacing import permits
from coltsfoothead.kernel.rollouts import entry as rollout_entry
from coltsfoothead.kernel.sharing import entryshares, work
from coltsfoothead.kernel.traffic import document, placement, quarantine, streamorigins

__all__ = ["MAX_LOGGED_PARTS", "RequestState"]

# Parts of a prompt in a log line; a caller may send hundreds.
MAX_LOGGED_PARTS = 8
# Length of the digest of a request; two requests of a day with the same one are improbable.
DIGEST_BYTES = 8


@dataclasses.dataclass
class RequestState:
    """A request, the decisions made about it and the progress of its attempts.

    Attributes
    ----------
    arrived_at, deadline : float
        Event loop times.
    engine : Engine or None
        Engine of the service's model runners.
    boot_seconds : float or None
        Time that a runner of the service takes to start; None if none can be ordered.
    charged_amount : float
        Amount charged to the organisation's quota.
    sent_count : int
        Number of upstreams to which the request was sent.
    excluded_upstreams : set of str
        IDs of upstreams that are not tried again.
    origin : Origin or None
        What began the stream, from its first event on; further attempts stay there.
    origin_recorded_at : float
        Steady time at which the origin was recorded last.
    upstream_id : str or None
        Upstream of the last attempt.
    upstream_version : str or None
        Version of that upstream's software.
    upstream_born : int
        Start of that upstream, as known when it was chosen.
    upstream_load : Load or None
        Load of that upstream, as known when it was chosen.
    load_age_seconds : float or None
        Time since the load of the other entries was received, when the upstream was chosen.
    first_event_at, last_event_at : float or None
        Event loop times at which events were written to the caller.
    attempt_began_at : float or None
        Event loop time of the first event that the current attempt brought.
    attempt_sound : bool
        Whether the current attempt has got past the beginning of its answer.
    crashed_attempts : int
        Number of attempts whose connection the upstream closed before or at their beginning.
    relayed : bool
        Whether the last attempt went through another entry.
    may_have_run : bool
        Whether an upstream may have begun to run the request.
    content_type : str or None
        Media type of the stream that has begun; what continues it has the same one.
    usage_counted : bool
        Whether the request was counted in the organisation's usage.
    longest_pause_seconds : float
        Longest time between two writes of events to the caller.
    share : ShareDecision or None
        Last decision by the organisation's share; None if there was none.
    share_work, share_charge : RequestWork or None
        Work that was offered to the share, and that is charged to it.
    pending_answer : PendingAnswer or None
        Answer of the last attempt, if its upstream was in a window.
    wait : WaitRecord or None
        How the request waited for room; None if it was not a matter of the waiting room.
    choice : Choice or None
        To which versions the last attempt may go; None before the first one, or without rollouts.
    sending : Sending or None
        The attempt under way, as rollouts count it.
    answer_buffer : Buffer or None
        Body of the last answer that is buffered, until the request ends.
    """

    request: message.Request
    caller_request: ports.CallerRequest
    route: document.Route
    service: str
    organisation: document.Organisation | None
    document_version: int
    arrived_at: float
    deadline: float
    prompt: placement.Prompt | None = None
    engine: document.Engine | None = None
    boot_seconds: float | None = None
    charged_amount: float = 0.0
    sent_count: int = 0
    excluded_upstreams: set[str] = dataclasses.field(default_factory=set)
    may_have_run: bool = False
    content_type: str | None = None
    usage_counted: bool = False
    origin: streamorigins.Origin | None = None
    origin_recorded_at: float = float("-inf")
    upstream_id: str | None = None
    upstream_version: str | None = None
    upstream_born: int = 0
    relayed: bool = False
    upstream_load: placement.Load | None = None
    load_age_seconds: float | None = None
    first_event_at: float | None = None
    last_event_at: float | None = None
    attempt_began_at: float | None = None
    attempt_sound: bool = False
    crashed_attempts: int = 0
    longest_pause_seconds: float = 0.0
    share: entryshares.ShareDecision | None = None
    share_work: work.RequestWork | None = None
    share_charge: work.RequestWork | None = None
    pending_answer: permits.PendingAnswer | None = None
    wait: record.WaitRecord | None = None
    choice: rollout_entry.Choice | None = None
    sending: rollout_entry.Sending | None = None
    answer_buffer: buffers.Buffer | None = None

    @property
    def stream_id(self) -> str:
        """ID of the request whose answer began the stream: this one, or the one that it resumes."""
        return self.caller_request.resumed_id or self.caller_request.id

    @property
    def bound_to_version(self) -> bool:
        """Whether only an upstream of the version that began the stream may continue it."""
        return self.origin is not None or self.first_event_at is not None

    @property
    def organisation_name(self) -> str | None:
        """Name of the organisation, or None for a request without one."""
        return self.organisation.name if self.organisation is not None else None

    @functools.cached_property
    def request_digest(self) -> str:
        """Digest of the request, which is equal for the caller's repetitions of it.

        Callers give each attempt an ID and a deadline of its own, and perhaps a last prompt part,
        so that these are left out.
        """
        request = self.request
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        fields = (request.method, request.header("host") or "", request.target)
        for field in (*fields, self.organisation_name or "", *self.shared_part_ids):
            digest.update(field.encode() + b"\0")
        digest.update(request.body)
        return digest.hexdigest()

    @property
    def shared_part_ids(self) -> tuple[str, ...]:
        """IDs of the prompt's parts that other requests may share, in order."""
        return tuple(part.id for part in self.caller_request.parts[:-1])

    @property
    def request_part_id(self) -> str:
        """ID of the part that stands for the request as a whole."""
        return quarantine.request_part_id(self.request_digest)

    @property
    def part_ids(self) -> tuple[str, ...]:
        """IDs of all parts to which a crash may be attributed."""
        return (*self.shared_part_ids, self.request_part_id)

    @property
    def unread_tokens(self) -> int:
        """Prompt tokens that an upstream without the shared prefix has to process."""
        if self.prompt is None:
            return 0
        return self.prompt.shared_tokens + self.prompt.own_tokens

    @property
    def expected_output_tokens(self) -> int:
        """Tokens expected in the answer, as far as the caller tells; bounded by the engine."""
        named = self.caller_request
        tokens = (named.expected_output_tokens, named.max_output_tokens)
        expected = min((each for each in tokens if each), default=0)
        return expected if self.engine is None else min(expected, self.engine.token_capacity)

    @property
    def urgency(self) -> int:
        """Scheduling urgency from 0 to 9, by the organisation's priority, then by the route's."""
        own = self.organisation.priority if self.organisation is not None else None
        if own is None:
            return min(9, 3 * self.route.priority)
        return min(9, 3 * min(own, 2) + min(self.route.priority, 2))

    @property
    def missed_objective(self) -> bool:
        """Whether the first event of the answer, or a later one, missed the route's objective."""
        first_event_at = self.arrived_at if self.first_event_at is None else self.first_event_at
        start_limit = self.route.goal_seconds or float("inf")
        pause_limit = self.route.gap_seconds or float("inf")
        return (
            first_event_at - self.arrived_at > start_limit
            or self.longest_pause_seconds > pause_limit
        )

    def close_answer_buffer(self) -> None:
        """Frees the body of the last answer."""
        if self.answer_buffer is not None:
            self.answer_buffer.close()
            self.answer_buffer = None

    def record_event_written(self, now: float) -> None:
        """Records that events were written to the caller at event loop time `now`."""
        if self.attempt_began_at is None:
            self.attempt_began_at = now
        if self.last_event_at is not None:
            pause = now - self.last_event_at
            self.longest_pause_seconds = max(self.longest_pause_seconds, pause)
        self.last_event_at = now
