"""Interfaces that a platform adapter implements, and the types that they exchange.

The gateway handles requests, announcements and orders as these types only. The adapter translates
them to and from the platform's wire format and makes no decisions of its own.
"""

import dataclasses
import enum
from typing import Protocol

from coltsfoothead.daemon import errors
from coltsfoothead.daemon.gateway.rollouts import calls as rollout_calls
from coltsfoothead.daemon.http import message
from coltsfoothead.kernel.traffic import document, upstreams

__all__ = [
    "Announce",
    "CallerDialect",
    "CallerRequest",
    "CloudDialect",
    "CloudOutcome",
    "ControlCall",
    "ControlDialect",
    "ControlOutcome",
    "ForwardingMetadata",
    "Invalid",
    "MalformedMessageError",
    "PromptPart",
    "PutDocument",
    "ReadDocument",
    "Refusal",
    "RefusalReason",
    "ResponseHead",
    "RunnerOrder",
    "Taken",
    "Unavailable",
    "Unknown",
    "UsageReport",
    "Withdraw",
]


# Least time that is forwarded; an upstream cannot answer a request that has less.
MIN_FORWARDED_SECONDS = 0.005


class MalformedMessageError(errors.DaemonError):
    """A message does not have the format that its endpoint requires."""


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A segment of a prompt; segments with the same ID hold the same tokens."""

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """The metadata that a caller sends with its request.

    Attributes
    ----------
    id : str
        ID of the request; each retry by the caller has its own.
    api_key : str or None
        API key of the organisation.
    timeout_seconds : float or None
        How long the caller waits for the response.
    prompt_tokens, max_output_tokens : int or None
        Length of the prompt and limit of the generated tokens.
    parts : tuple of PromptPart
        Parts of the prompt in order; the last one belongs to this request or its session only.
    expected_output_tokens : int or None
        The caller's estimate of the tokens generated.
    last_event_id : str or None
        ID of the last event that the caller received of the stream that it resumes.
    resumed_id : str or None
        ID of the request whose answer began that stream.
    """

    id: str
    api_key: str | None
    timeout_seconds: float | None
    prompt_tokens: int | None = None
    max_output_tokens: int | None = None
    parts: tuple[PromptPart, ...] = ()
    expected_output_tokens: int | None = None
    last_event_id: str | None = None
    resumed_id: str | None = None

    @property
    def total_tokens(self) -> int | None:
        """Sum of the prompt tokens and the maximum of generated tokens."""
        if self.prompt_tokens is None:
            return None
        return self.prompt_tokens + (self.max_output_tokens or 0)


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardingMetadata:
    """The metadata that the entry adds to a request before it forwards it to an upstream.

    Attributes
    ----------
    seconds_left : float
        Time until the deadline of the request.
    urgency : int or None
        Scheduling urgency from 0, the most urgent, to 9.
    last_event_id : str or None
        ID of the last event that the caller received; the upstream resumes the stream after it.
    kv_source_address : str or None
        Address of a runner whose KV cache holds the shared prefix of the prompt.
    """

    organisation: str | None
    upstream_id: str
    seconds_left: float
    urgency: int | None = None
    last_event_id: str | None = None
    kv_source_address: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """The status and headers of an upstream's response.

    Attributes
    ----------
    not_run : bool
        Whether the upstream certainly did not run the request.
    misdirected : bool
        Whether the address now belongs to another upstream.
    request_id : str or None
        ID of the request that the response answers, if the upstream sends it.
    headers : tuple of (str, str)
        Headers that are passed on to the caller.
    requests_per_second : float or None
        Limit of the requests that the upstream accepts from all entries together, while it names
        one.
    leaving : bool
        Whether the upstream says that it leaves.
    pause_seconds : float or None
        Time for which the upstream, which rejects the request, wants no more of this process.
    tolerated_rejections : float or None
        Rejections a second after which the upstream falls over, while it is brittle.
    """

    status: int
    not_run: bool
    misdirected: bool
    request_id: str | None
    headers: tuple[tuple[str, str], ...]
    requests_per_second: float | None = None
    leaving: bool = False
    pause_seconds: float | None = None
    tolerated_rejections: float | None = None

    @property
    def content_type(self) -> str | None:
        """Media type of the body without parameters, or None."""
        for name, value in self.headers:
            if name.lower() == "content-type":
                return value.partition(";")[0].strip().lower()
        return None


class RefusalReason(enum.Enum):
    """Why the entry itself answers a request with an error."""

    MALFORMED = "malformed"
    NO_KEY = "no_key"
    NO_ROUTE = "no_route"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    TOO_SLOW = "too_slow"
    OVER_QUOTA = "over_quota"
    NOT_READY = "not_ready"
    NO_UPSTREAM = "no_upstream"
    UNREACHABLE = "unreachable"
    OVERLOADED = "overloaded"
    STOPPING = "stopping"
    QUARANTINED = "quarantined"
    STREAM_VERSION_UNKNOWN = "stream_version_unknown"
    STREAM_VERSION_GONE = "stream_version_gone"
    UPSTREAM_FAILED = "upstream_failed"
    TIMED_OUT = "timed_out"


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """An error response that the entry itself generates.

    Attributes
    ----------
    retry_after_seconds : float or None
        Delay after which the caller should retry; None if it may retry at once or should not.
    """

    reason: RefusalReason
    retry_after_seconds: float | None = None


class CallerDialect(Protocol):
    """Wire format of callers' requests, of forwarded requests and of upstreams' responses."""

    def decode(self, request: message.Request) -> CallerRequest:
        """Decodes a request's metadata; raises `MalformedMessageError`."""

    def forward(
        self, request: message.Request, caller_request: CallerRequest, metadata: ForwardingMetadata
    ) -> message.Request:
        """Returns the request in the form in which it is sent to the upstream."""

    def decode_response_head(
        self, status: int, headers: tuple[tuple[str, str], ...]
    ) -> ResponseHead:
        """Decodes the status and headers of an upstream's response."""

    def encode_refusal(
        self, caller_request: CallerRequest | None, refusal: Refusal
    ) -> message.Response:
        """Returns the response for a refusal."""


@dataclasses.dataclass(frozen=True, slots=True)
class Announce:
    """An upstream registers itself or renews its registration."""

    upstream: upstreams.Upstream


@dataclasses.dataclass(frozen=True, slots=True)
class Withdraw:
    """An upstream deregisters itself.

    Attributes
    ----------
    born : int
        Start of the upstream that is meant; 0 if the upstream does not name one.
    """

    upstream_id: str
    born: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PutDocument:
    """An operator replaces the routing document; holds it as sent and decoded."""

    content: bytes
    routing: document.RoutingDocument


@dataclasses.dataclass(frozen=True, slots=True)
class ReadDocument:
    """An operator reads the routing document in force."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The control interface has no such call."""

    text: str


ControlCall = (
    Announce
    | Withdraw
    | PutDocument
    | ReadDocument
    | rollout_calls.StartRollout
    | rollout_calls.ReadRollout
    | rollout_calls.AbortRollout
    | Unknown
)


@dataclasses.dataclass(frozen=True, slots=True)
class Taken:
    """The call succeeded.

    Attributes
    ----------
    content : bytes or None
        The document, if the call reads it.
    next_address : str or None
        Address to which the upstream should send its next announcements.
    """

    content: bytes | None = None
    next_address: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """The call is invalid; a retry cannot succeed."""

    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The call failed or its outcome is unknown; another control process may execute it."""

    text: str


ControlOutcome = (
    Taken
    | Invalid
    | Unavailable
    | Unknown
    | rollout_calls.Conflict
    | rollout_calls.Rejected
    | rollout_calls.RolloutState
)


class ControlDialect(Protocol):
    """Wire format of the calls of upstreams and operators, and of routing documents."""

    def decode(self, request: message.Request) -> ControlCall:
        """Decodes a call; raises `MalformedMessageError` or `InvalidDocumentError`."""

    def encode(self, outcome: ControlOutcome) -> message.Response:
        """Returns the response for an outcome."""

    def decode_document(self, content: bytes) -> document.RoutingDocument:
        """Decodes a document; raises `InvalidDocumentError`."""


@dataclasses.dataclass(frozen=True, slots=True)
class UsageReport:
    """Number of requests per organisation that began to run in one usage window."""

    window: int
    counts: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerOrder:
    """Desired number of runners of one service in one zone.

    Attributes
    ----------
    reclaimable : bool
        Whether the runners are on VMs that the cloud may reclaim.
    """

    service: str
    zone: str
    count: int
    reclaimable: bool


class CloudOutcome(enum.Enum):
    """Outcome of a call to the platform's cloud API."""

    DONE = "done"
    NONE_AVAILABLE = "none_available"
    FAILED = "failed"


class CloudDialect(Protocol):
    """Wire format of the calls of the platform's API."""

    def encode(self, order: UsageReport | RunnerOrder, holder: str, fence: int) -> message.Request:
        """Returns the request for a report or order, with the fencing token of the lease holder."""

    def decode_outcome(self, status: int) -> CloudOutcome:
        """Returns the outcome that the status of a response stands for."""
