"""The routing document: routes, services, organisations and limits of callers."""

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
    """Whether a request may be retried, and whether its answer is a stream of events."""

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A service that receives a share of a route's requests, in proportion to `weight`."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Rules for the requests to one host below one path prefix.

    Attributes
    ----------
    timeout_seconds : float
        Time-out of the whole answer.
    goal_seconds : float or None
        Latency objective of the answer, or of the first event of a stream.
    gap_seconds : float or None
        Objective for the pause between two events of a stream.
    priority : int
        0 is the highest priority.
    max_upstreams : int
        Upstreams to which one request may be sent, retries included.
    resumable : bool
        Whether another upstream may continue a broken stream; without meaning for other kinds.
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
    max_upstreams: int = 1
    resumable: bool = False
    public: bool = False

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        match self.kind:
            case RequestKind.REPEATABLE:
                return True
            case RequestKind.STREAM:
                return self.resumable
            case RequestKind.ONCE:
                return False


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """Capacity of a model runner of a service.

    Attributes
    ----------
    slots : int
        Requests that the runner serves at once.
    token_capacity : int
        Size of the KV cache in tokens.
    tokens_per_event : int
        Output tokens in one event of a stream.
    kv_token_bytes : int
        Size of the KV cache of one token.
    link_bytes_per_second : float
        Rate at which KV cache is copied between two runners; 0 if that is not possible.
    """

    slots: int
    token_capacity: int
    tokens_per_event: int
    kv_token_bytes: int = 0
    link_bytes_per_second: float = 0.0

    def transfer_seconds(self, tokens: int) -> float | None:
        """Returns the time in which a runner gets the KV cache of some tokens from another one.

        Returns
        -------
        float or None
            None if runners cannot copy KV cache.
        """
        if self.kv_token_bytes <= 0 or self.link_bytes_per_second <= 0:
            return None
        return tokens * self.kv_token_bytes / self.link_bytes_per_second


@dataclasses.dataclass(frozen=True, slots=True)
class Scaling:
    """Limits and prices of the runners that may be ordered.

    Attributes
    ----------
    minimum, maximum : int
        Limits of the number of runners in one zone, of both kinds together.
    boot_seconds : float
        Time that a runner takes to start.
    reclaimable_price : float
        Price of a reclaimable runner.
    zone_prices : mapping of str to float
        Prices by zone; cheaper zones come first.
    """

    minimum: int
    maximum: int
    boot_seconds: float
    reclaimable_price: float
    zone_prices: Mapping[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of upstreams that serve the same requests.

    Attributes
    ----------
    connections : int
        Connections that one upstream accepts from all clients together.
    engine : Engine or None
        None if the upstreams are no model runners.
    scaling : Scaling or None
        None if no runners may be ordered.
    """

    name: str
    connections: int
    engine: Engine | None = None
    scaling: Scaling | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """Rate limit of an organisation over all entries.

    Attributes
    ----------
    rate_per_second, burst : float
        Rate and capacity of the token bucket, in the unit of `counts_tokens`.
    counts_tokens : bool
        Whether a request costs its number of tokens; if not, it costs 1.
    default_tokens : float
        Cost of a request that does not state its number of tokens.
    """

    rate_per_second: float
    burst: float
    counts_tokens: bool
    default_tokens: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """A customer with its API keys; its priority, if set, overrides that of the route."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    quota: Quota | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits of a caller's connection.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Largest header and body of a request.
    receive_seconds : float
        Time within which a request has to arrive.
    idle_seconds : float
        Time after which an idle connection is closed.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    receive_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingDocument:
    """One version of all routes, services, organisations and limits.

    Attributes
    ----------
    requires_keys : bool
        Whether callers of routes that are not public need a key, also while no organisation has
        one.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    organisations: tuple[Organisation, ...] = ()
    limits: CallerLimits = CallerLimits()
    requires_keys: bool = True
