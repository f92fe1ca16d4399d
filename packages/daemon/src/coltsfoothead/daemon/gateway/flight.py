"""One request on its way through an entry."""

import dataclasses

from coltsfoothead.daemon.gateway import ports
from coltsfoothead.daemon.http import message
from coltsfoothead.kernel.traffic import document, placement

__all__ = ["Flight"]


@dataclasses.dataclass(slots=True)
class Flight:
    """What is known of a request and what became of it so far.

    Attributes
    ----------
    started, deadline : float
        Times of the event loop.
    copies : bool
        Whether upstreams can copy a shared part of the prompt from each other.
    charged : float
        What was taken from the organisation's quota.
    sent : int
        Upstreams to which the request was written.
    excluded : set of str
        Upstreams that are not tried again.
    longest_pause_seconds : float
        Between two events of a stream that reached the caller.
    may_have_run : bool
        Whether an upstream may have begun it.
    """

    request: message.Request
    call: ports.Call
    route: document.Route
    service: str
    organisation: document.Organisation | None
    document_version: int
    started: float
    deadline: float
    prompt: placement.Prompt | None = None
    copies: bool = False
    charged: float = 0.0
    sent: int = 0
    excluded: set[str] = dataclasses.field(default_factory=set)
    may_have_run: bool = False
    counted: bool = False
    upstream_id: str | None = None
    load: placement.Load | None = None
    load_age_seconds: float | None = None
    first_at: float | None = None
    last_event_at: float | None = None
    longest_pause_seconds: float = 0.0

    @property
    def organisation_name(self) -> str | None:
        """Name of the organisation, if the route needs one."""
        return self.organisation.name if self.organisation is not None else None

    @property
    def unread_tokens(self) -> int:
        """Prompt tokens that an upstream without any shared part has to read."""
        if self.prompt is None:
            return 0
        return self.prompt.shared_tokens + self.prompt.own_tokens

    @property
    def urgency(self) -> int:
        """0 to 9: the organisation's priority first, then the route's."""
        own = self.organisation.priority if self.organisation is not None else None
        if own is None:
            return min(9, 3 * self.route.priority)
        return min(9, 3 * min(own, 2) + min(self.route.priority, 2))

    def event_passed(self, now: float) -> None:
        """Notes that events have been written to the caller."""
        if self.last_event_at is not None:
            pause = now - self.last_event_at
            self.longest_pause_seconds = max(self.longest_pause_seconds, pause)
        self.last_event_at = now
