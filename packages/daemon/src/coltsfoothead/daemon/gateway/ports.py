"""What an adapter to a platform implements, and the types that cross the boundary.

The product knows requests, announcements and orders by these types only; the adapter translates
them to and from what is on the wire and decides nothing.
"""

import dataclasses
import enum
from typing import Protocol

from coltsfoothead.daemon import errors
from coltsfoothead.daemon.http import message
from coltsfoothead.kernel.traffic import document, upstreams

__all__ = [
    "Announce",
    "Call",
    "CallerDialect",
    "CloudDialect",
    "CloudOutcome",
    "ControlCall",
    "ControlDialect",
    "ControlOutcome",
    "Forwarded",
    "Invalid",
    "MalformedCallError",
    "PromptPart",
    "PutDocument",
    "ReadDocument",
    "Refusal",
    "RefusalReason",
    "Reply",
    "RunnerOrder",
    "Taken",
    "Unavailable",
    "Unknown",
    "UsageReport",
    "Withdraw",
]


class MalformedCallError(errors.DaemonError):
    """A message cannot be read as what its place says it is."""


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt; parts with the same ID hold the same tokens."""

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """What a caller states of its request.

    Attributes
    ----------
    id : str
        Of this attempt of the caller.
    key : str or None
        API key.
    budget_seconds : float or None
        How long the caller waits.
    prompt_tokens, most_output_tokens : int or None
    parts : tuple of PromptPart
        In order; the last one belongs to this request or its session.
    output_hint : int or None
        The caller's estimate of the tokens generated.
    resume_after : str or None
        ID of the last event that the caller has of this stream.
    """

    id: str
    key: str | None
    budget_seconds: float | None
    prompt_tokens: int | None = None
    most_output_tokens: int | None = None
    parts: tuple[PromptPart, ...] = ()
    output_hint: int | None = None
    resume_after: str | None = None

    @property
    def tokens(self) -> int | None:
        """Prompt tokens and most tokens generated together."""
        if self.prompt_tokens is None:
            return None
        return self.prompt_tokens + (self.most_output_tokens or 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Forwarded:
    """What the entry adds to a request that it sends on.

    Attributes
    ----------
    urgency : int or None
        0 is first, 9 is last.
    copy_from : str or None
        Address of a runner that holds the shared part of the prompt.
    """

    organisation: str | None
    upstream_id: str
    seconds_left: float
    urgency: int | None = None
    resume_after: str | None = None
    copy_from: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """What the head of an upstream's answer states.

    Attributes
    ----------
    not_run : bool
        The upstream certainly did not run the request.
    misdirected : bool
        The address belongs to another upstream by now.
    request_id : str or None
        Which request it answers, if it says so.
    headers : tuple of (str, str)
        What goes to the caller.
    """

    status: int
    not_run: bool
    misdirected: bool
    request_id: str | None
    headers: tuple[tuple[str, str], ...]


class RefusalReason(enum.Enum):
    """Why a request gets an answer of the entry's own."""

    MALFORMED = "malformed"
    NO_KEY = "no_key"
    NO_ROUTE = "no_route"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    TOO_SLOW = "too_slow"
    OVER_QUOTA = "over_quota"
    NOT_READY = "not_ready"
    NO_UPSTREAM = "no_upstream"
    OVERLOADED = "overloaded"
    STOPPING = "stopping"
    UPSTREAM_FAILED = "upstream_failed"
    TIMED_OUT = "timed_out"


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """An answer of the entry's own.

    Attributes
    ----------
    retry_after_seconds : float or None
        When to come back; only for requests that have not run.
    """

    reason: RefusalReason
    retry_after_seconds: float | None = None


class CallerDialect(Protocol):
    """Requests of callers and how they go to upstreams."""

    def decode(self, request: message.Request) -> Call:
        """Reads a request; raises `MalformedCallError`."""

    def forward(
        self, request: message.Request, call: Call, forwarded: Forwarded
    ) -> message.Request:
        """Returns the request as the upstream gets it."""

    def reply(self, status: int, headers: tuple[tuple[str, str], ...]) -> Reply:
        """Reads the head of an upstream's answer."""

    def refuse(self, call: Call | None, refusal: Refusal) -> message.Response:
        """Returns the answer for a refusal."""


@dataclasses.dataclass(frozen=True, slots=True)
class Announce:
    """An upstream tells of itself."""

    upstream: upstreams.Upstream


@dataclasses.dataclass(frozen=True, slots=True)
class Withdraw:
    """An upstream says that it is gone; `born` is 0 if it does not say which start."""

    upstream_id: str
    born: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PutDocument:
    """An operator's new document, as sent and decoded."""

    content: bytes
    routing: document.RoutingDocument


@dataclasses.dataclass(frozen=True, slots=True)
class ReadDocument:
    """An operator asks for the document in force."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """No call of the control interface."""

    text: str


ControlCall = Announce | Withdraw | PutDocument | ReadDocument | Unknown


@dataclasses.dataclass(frozen=True, slots=True)
class Taken:
    """The call was carried out.

    Attributes
    ----------
    content : bytes or None
        The document that was read.
    next_address : str or None
        Where the upstream should announce itself from now on.
    """

    content: bytes | None = None
    next_address: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """The call cannot be accepted, now or later."""

    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The call was not carried out, or it is not known whether; another process may do it."""

    text: str


ControlOutcome = Taken | Invalid | Unavailable | Unknown


class ControlDialect(Protocol):
    """Calls of upstreams and operators, and the format of documents."""

    def decode(self, request: message.Request) -> ControlCall:
        """Reads a call; raises `MalformedCallError` or `InvalidDocumentError`."""

    def encode(self, outcome: ControlOutcome) -> message.Response:
        """Returns the answer for an outcome."""

    def decode_document(self, content: bytes) -> document.RoutingDocument:
        """Reads a document; raises `InvalidDocumentError`."""


@dataclasses.dataclass(frozen=True, slots=True)
class UsageReport:
    """Requests that began to run per organisation in one window."""

    window: int
    counts: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerOrder:
    """Number of runners wanted of one kind in one zone."""

    service: str
    zone: str
    count: int
    reclaimable: bool


class CloudOutcome(enum.Enum):
    """What became of an order to the cloud."""

    DONE = "done"
    NONE_AVAILABLE = "none_available"
    FAILED = "failed"


class CloudDialect(Protocol):
    """Calls of the platform's API."""

    def encode(self, order: UsageReport | RunnerOrder, holder: str, fence: int) -> message.Request:
        """Returns the request of an order under a fencing number."""

    def outcome(self, status: int) -> CloudOutcome:
        """Reads the status of an answer."""
