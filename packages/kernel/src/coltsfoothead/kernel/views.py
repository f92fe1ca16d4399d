"""Immutable snapshots that the policies read, and the routing decisions they return."""

import dataclasses
import enum
import math
from collections.abc import Mapping

__all__ = [
    "Chosen",
    "ChosenReason",
    "Estimate",
    "UpstreamStatistics",
    "LoadReport",
    "NoUpstream",
    "NoUpstreamReason",
    "RequestClass",
    "RequestView",
    "RoutingSnapshot",
    "UpstreamView",
]


class RequestClass(enum.Enum):
    """Class of a request by its predicted output length."""

    SHORT = "short"
    LONG = "long"


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """Exponentially weighted mean with its effective number of samples."""

    value: float = 0.0
    samples: float = 0.0

    def blended(self, prior: float, prior_samples: float) -> float:
        """Returns the weighted mean of the estimate and a prior worth `prior_samples` samples."""
        total = self.samples + prior_samples
        if total <= 0:
            return prior
        return (self.value * self.samples + prior * prior_samples) / total


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamStatistics:
    """Statistics of one upstream from this entry's own attempts.

    `stall_ratio` is the time since any decoding stream last produced a token, as a multiple of
    the mean gap within one stream; it reveals a slow upstream before the delayed token arrives.
    """

    inflight: int = 0
    inflight_long: int = 0
    outstanding_tokens: float = 0.0
    seconds_per_token: Estimate = Estimate()
    seconds_per_prefill_token: Estimate = Estimate()
    failure_rate: Estimate = Estimate()
    stall_ratio: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load from all callers, as reported by the upstream."""

    running: int
    waiting: int
    age_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamView:
    """State of one upstream as known to this entry.

    `link_cost` is the cost of one byte over the link to the upstream, in seconds of completion
    time; it is 0 within a region. `weight` comes from outlier detection.
    """

    upstream: str
    zone: str
    region: str
    slots: int
    vm_class: str = ""
    price_per_hour: float = 0.0
    observed: UpstreamStatistics = UpstreamStatistics()
    report: LoadReport | None = None
    weight: float = 1.0
    link_seconds: float = 0.0
    link_cost: float = 0.0
    models: frozenset[str] = frozenset()
    adapters: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class RequestView:
    """Properties of a request that policies read; `deadline` is in monotonic seconds."""

    request: str
    organisation: str
    model: str
    prompt_tokens: int
    predicted_tokens: float
    request_class: RequestClass = RequestClass.SHORT
    adapter: str | None = None
    prompt_blocks: tuple[int, ...] = ()
    deadline: float = math.inf
    region: str = ""
    zone: str = ""
    priority: int = 0
    excluded: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingSnapshot:
    """State for one routing decision.

    Parameters
    ----------
    candidates : tuple of str
        Bounded subset of the upstreams that this entry routes to.
    upstreams : mapping of str to UpstreamView
        Views by upstream; may be computed lazily. A candidate without a view is skipped.
    cached_tokens : mapping of str to int
        Leading prompt tokens of this request that an upstream holds in its prefix cache.
    sharing_entries : int
        Number of entries that route to the same upstreams and share their slots.
    link_bytes : float
        Bytes that the inter-region budget allows now.
    link_retry_seconds : float
        Time until the budget allows a request again.
    """

    now: float
    candidates: tuple[str, ...]
    upstreams: Mapping[str, UpstreamView]
    cached_tokens: Mapping[str, int] = dataclasses.field(default_factory=dict)
    sharing_entries: int = 1
    link_bytes: float = math.inf
    link_retry_seconds: float = 1.0


class ChosenReason(enum.Enum):
    """Why an upstream was chosen."""

    SHORTEST = "shortest expected completion"
    PREFIX = "prefix cache"
    ONLY = "only eligible upstream"
    TURN = "its turn"
    LEAST_INFLIGHT = "least in flight"


class NoUpstreamReason(enum.Enum):
    """Why no upstream was chosen."""

    NONE_SERVES = "no upstream serves the model"
    ALL_EXCLUDED = "every upstream is excluded"
    LONG_SLOTS_FULL = "slots for long requests are taken"
    LINK_BUDGET = "inter-region budget is used up"
    DEADLINE = "deadline cannot be met"


@dataclasses.dataclass(frozen=True, slots=True)
class Chosen:
    """The upstream chosen for the request, with the expected completion time."""

    upstream: str
    expected_seconds: float
    reason: ChosenReason


@dataclasses.dataclass(frozen=True, slots=True)
class NoUpstream:
    """No upstream can serve the request now."""

    reason: NoUpstreamReason
    retry_after_seconds: float
