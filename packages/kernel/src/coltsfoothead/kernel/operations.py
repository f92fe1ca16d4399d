"""Requests and answers of the operators' API.

Requests reject unknown keys, so that a misspelt option is not ignored. Answers accept unknown keys
and declare extensible enumerations as strings, so that an older command line can decode the answers
of a newer daemon.

The paths are in `operationpaths`. Each path has one struct for answers with status 200; answers
with any other status carry `ErrorAnswer`. A change that lost its compare-and-set, is invalid or has
an unknown outcome is still answered with 200 and `ApplyAnswer`, because the request itself was
served.

Times named `_at` are seconds since the Unix epoch; ages and durations are in seconds.
"""

import enum
from typing import Annotated

import msgspec

__all__ = [
    "AlertState",
    "ApplyAnswer",
    "ApplyOutcome",
    "ApplyRequest",
    "ConfigAnswer",
    "DrainAnswer",
    "DrainRequest",
    "ErrorAnswer",
    "ErrorDetail",
    "HistogramSummary",
    "HistoryAnswer",
    "HistoryEntry",
    "LogStatus",
    "MemberEntry",
    "MembersAnswer",
    "MetricsAnswer",
    "NotReady",
    "OrganisationSlo",
    "RequestEntry",
    "RequestsAnswer",
    "SloAnswer",
    "SloWindow",
    "StatusAnswer",
    "UpstreamEntry",
    "UpstreamsAnswer",
    "VmEntry",
    "VmsAnswer",
    "VoterAnswer",
    "VoterEntry",
    "VoterRequest",
]

Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}\Z")]
Address = Annotated[
    str, msgspec.Meta(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}\Z")
]
OptionalDigest = Annotated[str, msgspec.Meta(pattern=r"^([0-9a-f]{64})?\Z")]
Author = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
Count = Annotated[int, msgspec.Meta(ge=0)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=1e9)]


class _Request(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base class of the requests; unknown keys are rejected."""


class _Answer(msgspec.Struct, frozen=True, kw_only=True):
    """Base class of the answers; unknown keys are ignored."""


class NotReady(enum.StrEnum):
    """Why a daemon refuses new work."""

    STARTING = "starting"
    NO_CONFIGURATION = "no_configuration"
    LEASE_EXPIRED = "configuration_lease_expired"
    NO_GUARD = "no_guard"
    DRAINING = "draining"


class ApplyOutcome(enum.StrEnum):
    """Outcome of a configuration change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"
    INVALID = "invalid"


class AlertState(enum.StrEnum):
    """State of the burn-rate alert of one organisation."""

    OK = "ok"
    TICKET = "ticket"
    PAGE = "page"


class VoterEntry(_Answer):
    """A voter of a replicated log."""

    id: str
    address: str = ""
    zone: str = ""


class LogStatus(_Answer):
    """State of one replicated log as known to this daemon."""

    role: str
    term: int = 0
    leader: str | None = None
    commit_index: int = 0
    applied_index: int = 0
    voters: tuple[VoterEntry, ...] = ()


class StatusAnswer(_Answer):
    """State of the daemon that answers. `not_ready` is a `NotReady` value, or None when ready.

    `refused` counts refusals by error code since the start. `ledger_log` is None on a daemon
    without a replica of the ledger.
    """

    daemon: str
    region: str
    zone: str
    vm: str
    incarnation: int
    ready: bool
    not_ready: str | None = None
    draining: bool = False
    config_version: int = 0
    config_digest: str = ""
    config_lease_seconds: float = 0.0
    control_log: LogStatus | None = None
    ledger_log: LogStatus | None = None
    running: int = 0
    accepted: int = 0
    refused: dict[str, int] = {}
    upstreams: int = 0


class UpstreamEntry(_Answer):
    """An upstream in the directory. `in_flight` counts requests from the answering daemon."""

    id: str
    kind: str
    state: str
    service: str | None = None
    zone: str = ""
    region: str = ""
    vm: str = ""
    vm_class: str = ""
    address: str = ""
    models: tuple[str, ...] = ()
    role: str | None = None
    slots: int = 0
    running: int = 0
    waiting: int = 0
    renewal_age_seconds: float = 0.0
    weight: float = 1.0
    in_flight: int = 0


class UpstreamsAnswer(_Answer):
    """The directory of upstreams as known to the answering daemon."""

    upstreams: tuple[UpstreamEntry, ...] = ()


class RequestEntry(_Answer):
    """A running or finished request; `outcome` is None while it runs."""

    id: str
    organisation: str
    kind: str
    target: str
    state: str
    owner: str = ""
    guard: str | None = None
    epoch: int = 0
    attempt: int = 0
    upstream: str | None = None
    tokens_delivered: int = 0
    age_seconds: float = 0.0
    outcome: str | None = None


class RequestsAnswer(_Answer):
    """Running and recently finished requests; `truncated` is set if some were omitted."""

    requests: tuple[RequestEntry, ...] = ()
    truncated: bool = False


class VmEntry(_Answer):
    """A VM; `reclaim_in_seconds` is None without a reclaim notice."""

    id: str
    state: str
    vm_class: str = ""
    region: str = ""
    zone: str = ""
    reclaimable: bool = False
    hourly_cost: float = 0.0
    age_seconds: float = 0.0
    reclaim_in_seconds: float | None = None
    runs: tuple[str, ...] = ()


class VmsAnswer(_Answer):
    """The VMs, and the daemon that holds the capacity lease."""

    vms: tuple[VmEntry, ...] = ()
    capacity_holder: str | None = None
    hourly_cost: float = 0.0


class MemberEntry(_Answer):
    """A daemon in the answering daemon's view of the membership."""

    id: str
    state: str
    incarnation: int = 0
    address: str = ""
    region: str = ""
    zone: str = ""
    vm: str = ""
    state_age_seconds: float = 0.0


class MembersAnswer(_Answer):
    """The membership as known to the answering daemon."""

    members: tuple[MemberEntry, ...] = ()


class ConfigAnswer(_Answer):
    """The environment document in force.

    Before the first change, `version` is 0 and `digest` and `document` are empty.
    """

    version: int
    digest: str
    document: str
    author: str = ""
    change_id: str = ""
    accepted_at: float = 0.0


class HistoryEntry(_Answer):
    """One accepted change; `document` is None unless documents were requested."""

    version: int
    digest: str
    author: str
    change_id: str
    accepted_at: float
    document: str | None = None


class HistoryAnswer(_Answer):
    """A bounded number of accepted changes, newest first."""

    entries: tuple[HistoryEntry, ...] = ()
    truncated: bool = False


class SloWindow(_Answer):
    """Burn rate over one window; 1.0 uses up the error budget exactly by the period's end."""

    window_seconds: float
    burn_rate: float
    requests: int = 0


class OrganisationSlo(_Answer):
    """Service level of one organisation.

    `objective` is the share of requests that must meet the targets; `budget_left` is the share of
    the error budget that is not yet used. `alert` is an `AlertState` value.
    """

    organisation: str
    objective: float
    budget_left: float
    alert: str
    windows: tuple[SloWindow, ...] = ()


class SloAnswer(_Answer):
    """Service levels by organisation."""

    organisations: tuple[OrganisationSlo, ...] = ()


class HistogramSummary(_Answer):
    """Summary of a histogram; the unit is the suffix of the histogram's name."""

    count: int
    p50: float
    p95: float
    p99: float
    max: float


class MetricsAnswer(_Answer):
    """Counters and histograms of the answering daemon since its start."""

    counters: dict[str, int] = {}
    histograms: dict[str, HistogramSummary] = {}


class ApplyRequest(_Request):
    """A configuration change, applied only if version and digest are those in force.

    Version 0 with an empty digest stands for "no document yet". Sending the same change ID again
    returns the first answer. With `wait` the answer is sent once the change is in force.
    """

    change_id: Name
    author: Author
    expected_version: Count
    expected_digest: OptionalDigest
    document: str
    wait: bool = True


class ApplyAnswer(_Answer):
    """Outcome of a change.

    `version` and `digest` are those of the accepted change. The `winner_` fields are set on a
    conflict and name the change in force. `problem` describes the fault of an invalid document.
    """

    outcome: ApplyOutcome
    change_id: str
    in_force: bool = False
    version: int = 0
    digest: str = ""
    winner_version: int | None = None
    winner_digest: str | None = None
    winner_author: str | None = None
    winner_change_id: str | None = None
    problem: str | None = None


class DrainRequest(_Request):
    """Asks the named daemon to stop gracefully; another daemon answers `wrong_daemon`."""

    daemon: Name
    deadline_seconds: Seconds | None = None


class DrainAnswer(_Answer):
    """State of a draining daemon, which stops once its requests have finished or moved."""

    daemon: str
    draining: bool
    running: int = 0
    deadline_seconds: float = 0.0


class VoterRequest(_Request):
    """Adds or removes a voter of the control and ledger logs.

    `address` and `zone` are needed to add one.
    """

    id: Name
    address: Address | None = None
    zone: Name | None = None


class VoterAnswer(_Answer):
    """The voters after the change, and the log index at which it was committed."""

    voters: tuple[VoterEntry, ...] = ()
    index: int = 0


class ErrorDetail(_Answer):
    """A typed error.

    `code` is a value of `operationerrors.ErrorCode`; `execution` is ``not_run``, ``unknown`` or
    ``ran``, depending on whether the operation may have taken effect.
    """

    code: str
    message: str
    execution: str = "not_run"
    retry_after_seconds: float | None = None


class ErrorAnswer(_Answer):
    """Body of every answer whose status is not 200."""

    error: ErrorDetail
