"""The routing document: routes, services and organisations in force."""

import dataclasses
import enum
from collections.abc import Mapping

__all__ = [
    "CallerLimits",
    "Engine",
    "Organisation",
    "Quota",
    "RequestKind",
    "Route",
    "RoutingDocument",
    "Scaling",
    "Service",
    "Target",
]


class RequestKind(enum.Enum):
    """What may be repeated."""

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A service that takes a share of a route's requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host below one path prefix.

    Attributes
    ----------
    timeout_seconds : float
        Longest time that a caller is kept waiting for the whole answer.
    goal_seconds : float or None
        Objective for the answer, or for the first event of a stream.
    gap_seconds : float or None
        Longest pause between events within the objective.
    priority : int
        0 is the highest.
    most_upstreams : int
        Upstreams to which one request may be sent.
    resumable : bool
        Whether a broken stream may go on at another upstream.
    public : bool
        Whether callers need no key.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    targets: tuple[Target, ...]
    timeout_seconds: float
    goal_seconds: float | None = None
    gap_seconds: float | None = None
    priority: int = 0
    most_upstreams: int = 1
    resumable: bool = False
    public: bool = False

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RequestKind.REPEATABLE or self.resumable


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """What a model runner of a service can hold.

    Attributes
    ----------
    token_bytes : int
        Memory of one token.
    link_bytes_per_second : float
        Rate at which two runners copy such memory; 0 if they cannot.
    """

    slots: int
    token_capacity: int
    tokens_per_event: int
    token_bytes: int = 0
    link_bytes_per_second: float = 0.0

    @property
    def copies(self) -> bool:
        """Whether a runner can copy the memory of a prompt from another one."""
        return self.token_bytes > 0 and self.link_bytes_per_second > 0


@dataclasses.dataclass(frozen=True, slots=True)
class Scaling:
    """Bounds and prices of runners that may be ordered, per zone."""

    minimum: int
    maximum: int
    boot_seconds: float
    reclaimable_price: float
    zone_prices: Mapping[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of upstreams that answer the same requests.

    Attributes
    ----------
    connections : int
        Connections that one upstream accepts from all callers together.
    """

    name: str
    connections: int
    engine: Engine | None = None
    scaling: Scaling | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """Rate of an organisation over all entries.

    Attributes
    ----------
    counts_tokens : bool
        Whether a request counts by its tokens or as one.
    default_tokens : float
        Tokens of a request that states none.
    """

    rate_per_second: float
    burst: float
    counts_tokens: bool
    default_tokens: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """A customer with its keys; its priority, if set, takes precedence over the route's."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    quota: Quota | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send and how long it may take."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    receive_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingDocument:
    """One version of all routes, services, organisations and limits."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    organisations: tuple[Organisation, ...] = ()
    limits: CallerLimits = CallerLimits()
