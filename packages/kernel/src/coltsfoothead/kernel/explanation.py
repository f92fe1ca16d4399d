"""Answer of an entry that explains where a request would go now, and why.

Answers accept unknown keys and hold names as strings, so that an older command line can decode the
answers of a newer entry. Times are in seconds.
"""

import msgspec

__all__ = [
    "PATH",
    "CandidateEntry",
    "ExplanationAnswer",
    "LeftOutEntry",
    "QuotaEntry",
    "RefusalEntry",
    "RouteEntry",
    "ShareEntry",
    "VerdictEntry",
]

PATH = "/explain"


class _Answer(msgspec.Struct, frozen=True, kw_only=True):
    pass


class RouteEntry(_Answer):
    """The route that matches, by its host and the longest prefix of the path.

    `targets` are the services of the route with their weights; `service` is the one drawn for this
    explanation.
    """

    name: str
    host: str
    prefix: str
    kind: str
    priority: int
    goal_seconds: float | None
    targets: dict[str, float]
    service: str
    document: int


class QuotaEntry(_Answer):
    """Whether the entry's allowance covers the cost of the request; nothing is charged.

    `decision` is ``covered``, ``draw`` if the leader would be asked, which is taken as granted
    here, or ``refused`` after a draw that the leader has just refused.
    """

    cost: float
    balance: float
    decision: str


class ShareEntry(_Answer):
    """Decision by the share of the organisation, in runner-seconds; nothing is charged.

    `rate` is None if the organisation is not limited.
    """

    admitted: bool
    short: bool
    work: float
    rate: float | None
    level: float
    threshold: float


class CandidateEntry(_Answer):
    """An upstream among which the placement policy chooses.

    `terms` are the terms of its score and their sum `total`; None if the policy has no such score.
    """

    upstream: str
    zone: str
    relayed: bool
    running: int
    waiting: int
    waiting_tokens: int
    slots: int
    holds_prefix: bool
    prefill_tokens_per_second: float
    terms: dict[str, float] | None = None


class LeftOutEntry(_Answer):
    """An upstream of the service that is not a candidate, and why."""

    upstream: str
    zone: str
    reason: str


class VerdictEntry(_Answer):
    """Verdict of the load shedding on the best candidate; None for what is not limited."""

    admitted: bool
    expected_start_seconds: float
    limit_seconds: float | None
    in_flight: int
    in_flight_limit: float | None


class RefusalEntry(_Answer):
    """The refusal that the caller would get; the delay is drawn from a range."""

    reason: str
    status: int
    retry_after_seconds: float | None
    cause: str


class ExplanationAnswer(_Answer):
    """Where a request would go now; `chosen` is None if it would be refused.

    `candidates` are those of the last choice: the upstreams that this entry reaches, or else those
    behind other entries.
    """

    route: RouteEntry | None = None
    organisation: str | None = None
    quota: QuotaEntry | None = None
    share: ShareEntry | None = None
    candidates: tuple[CandidateEntry, ...] = ()
    left_out: tuple[LeftOutEntry, ...] = ()
    best: str | None = None
    verdict: VerdictEntry | None = None
    chosen: str | None = None
    refusal: RefusalEntry | None = None
