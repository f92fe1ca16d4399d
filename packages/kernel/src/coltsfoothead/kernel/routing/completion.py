"""Routes to the upstream with the shortest expected completion time."""

import dataclasses
import functools
import math
import random

import xxhash

from coltsfoothead.kernel import registry, views
from coltsfoothead.kernel.routing import eligibility

__all__ = ["CompletionRouter", "CompletionSettings", "expected_seconds", "expected_wait_seconds"]


@dataclasses.dataclass(frozen=True, slots=True)
class CompletionSettings:
    """Constants of the expected completion time.

    Parameters
    ----------
    report_memory_seconds : float
        Age at which a load report counts for 1/e of its value.
    prior_samples : float
        Own samples at which observation and prior count the same.
    stall_factor : float
        A silence of this many usual gaps raises the time per token in proportion.
    short_slot_share : float
        Share of each upstream's slots that long requests leave free.
    long_share : float
        Share of the upstreams that take long requests. In the model of the tests, packing them
        on fewer made short work wait longer than spreading them.
    choices : int
        Random candidates compared per decision.
    minimum_weight : float
        Smallest weight that the expected time is divided by.
    """

    prior_seconds_per_token: float = 0.034
    prior_seconds_per_prefill_token: float = 0.0003
    report_memory_seconds: float = 5.0
    prior_samples: float = 5.0
    stall_factor: float = 3.0
    short_slot_share: float = 0.25
    long_share: float = 0.67
    choices: int = 2
    minimum_weight: float = 0.05


def _seconds_per_token(view: views.UpstreamView, settings: CompletionSettings) -> float:
    seen = view.own.seconds_per_token.blended(
        settings.prior_seconds_per_token, settings.prior_samples
    )
    stall = view.own.stall_ratio
    return seen * stall if stall > settings.stall_factor else seen


def _inflight(view: views.UpstreamView, settings: CompletionSettings) -> float:
    """Own requests plus what an ageing report says about other entries' requests."""
    own = view.own.inflight
    report = view.report
    if report is None:
        return own
    others = max(0, report.running + report.waiting - own)
    return own + others * math.exp(-report.age_seconds / settings.report_memory_seconds)


def expected_wait_seconds(
    view: views.UpstreamView, mean_tokens: float, settings: CompletionSettings
) -> float:
    """Returns the time until a slot of the upstream is expected to be free.

    `mean_tokens` stands for the rest of a running request when this entry has none there.
    """
    excess = _inflight(view, settings) + 1.0 - view.slots
    if excess <= 0:
        return 0.0
    own = view.own
    if own.inflight:
        mean_tokens = own.outstanding_tokens / own.inflight
    return excess / max(1, view.slots) * mean_tokens * _seconds_per_token(view, settings)


def expected_seconds(
    request: views.RequestView,
    view: views.UpstreamView,
    cached_tokens: int,
    settings: CompletionSettings,
) -> float:
    """Returns the expected completion time of a request at one upstream.

    Notes
    -----
    The sum of the link's round trip, the wait for a slot, the prefill of uncached tokens, the
    decoding, and the cost of the bytes over the link, divided by the weight of the upstream.
    """
    prefill = view.own.seconds_per_prefill_token.blended(
        settings.prior_seconds_per_prefill_token, settings.prior_samples
    )
    work = max(0, request.prompt_tokens - cached_tokens) * prefill
    work += request.predicted_tokens * _seconds_per_token(view, settings)
    work += expected_wait_seconds(view, request.predicted_tokens, settings)
    link = 2 * view.link_seconds
    if view.link_cost:
        link += eligibility.request_bytes(request) * view.link_cost
    return link + work / max(settings.minimum_weight, view.weight)


@functools.lru_cache(maxsize=8192)
def _long_rank(upstream: str) -> int:
    """Orders upstreams alike at every entry, so all entries fill the same ones first."""
    return xxhash.xxh64_intdigest(upstream.encode(), seed=1)


@registry.register("routing", "completion")
class CompletionRouter:
    """Power of two choices by expected completion time, plus the best prefix-cache candidate.

    Notes
    -----
    Comparing all candidates would make all entries flock to the same upstream between two
    reports; comparing two spreads them. Sampling follows the outlier weights, because two of
    nine slow upstreams are drawn together in 1 of 36 unweighted draws, which the p99 would show.
    """

    def __init__(self, settings: CompletionSettings | None = None):
        self._settings = settings or CompletionSettings()

    def choose(
        self, request: views.RequestView, snapshot: views.RoutingSnapshot, rng: random.Random
    ) -> views.Chosen | views.NoUpstream:
        """Chooses an upstream for one request."""
        found = eligibility.eligible(request, snapshot)
        if isinstance(found, views.NoUpstream):
            return found
        if request.request_class is views.RequestClass.LONG:
            found = self._for_long(found, snapshot)
            if isinstance(found, views.NoUpstream):
                return found
        sample = self._sample(found, rng)
        reason = views.ChosenReason.SHORTEST if len(found) > 1 else views.ChosenReason.ONLY
        best, seconds = self._best(request, snapshot, sample)
        affine = self._affine(found, snapshot)
        if affine is not None and affine.upstream != best.upstream:
            cached = self._seconds(request, snapshot, affine)
            if cached < seconds:
                best, seconds, reason = affine, cached, views.ChosenReason.PREFIX
        left = request.deadline - snapshot.now
        if seconds > left:
            # The sample may have missed an upstream that is fast enough.
            best, seconds = self._best(request, snapshot, found)
            reason = views.ChosenReason.SHORTEST
            if seconds > left:
                late = views.NoUpstreamReason.DEADLINE
                return views.NoUpstream(late, max(0.1, seconds - max(0.0, left)))
        return views.Chosen(best.upstream, seconds, reason)

    def _seconds(
        self,
        request: views.RequestView,
        snapshot: views.RoutingSnapshot,
        view: views.UpstreamView,
    ) -> float:
        cached = snapshot.cached_tokens.get(view.upstream, 0)
        return expected_seconds(request, view, cached, self._settings)

    def _best(
        self,
        request: views.RequestView,
        snapshot: views.RoutingSnapshot,
        sample: list[views.UpstreamView],
    ) -> tuple[views.UpstreamView, float]:
        priced = [(self._seconds(request, snapshot, view), view) for view in sample]
        seconds, best = min(priced, key=lambda pair: pair[0])
        return best, seconds

    def _sample(
        self, found: list[views.UpstreamView], rng: random.Random
    ) -> list[views.UpstreamView]:
        choices = self._settings.choices
        # A free slot is worth more than a good estimate: without this, a sample of two upstreams
        # filled by long requests makes short work wait. Fewer free ones would draw a herd.
        free = [view for view in found if _inflight(view, self._settings) < view.slots]
        if len(free) >= choices:
            found = free
        if len(found) <= choices:
            return found
        # Weighted sampling without replacement: the largest keys u ** (1 / w) win.
        keyed = [(math.log(1.0 - rng.random()) / view.weight, view) for view in found]
        keyed.sort(key=lambda pair: pair[0], reverse=True)
        return [view for _, view in keyed[:choices]]

    @staticmethod
    def _affine(
        found: list[views.UpstreamView], snapshot: views.RoutingSnapshot
    ) -> views.UpstreamView | None:
        cached = snapshot.cached_tokens
        if not cached:
            return None
        holder = max(found, key=lambda view: cached.get(view.upstream, 0))
        return holder if cached.get(holder.upstream, 0) else None

    def _for_long(
        self, found: list[views.UpstreamView], snapshot: views.RoutingSnapshot
    ) -> list[views.UpstreamView] | views.NoUpstream:
        """Returns the upstreams with a slot for long work, if possible with short slots free."""
        settings = self._settings
        ordered = sorted(found, key=lambda view: _long_rank(view.upstream))
        count = max(1, min(len(ordered) - 1, math.ceil(settings.long_share * len(ordered))))
        allowed = [view for view in ordered[:count] if self._has_long_slot(view, snapshot)]
        quiet = [view for view in allowed if self._leaves_short_slots(view)]
        if allowed:
            return quiet or allowed
        waits = [
            view.own.outstanding_tokens
            / max(1, view.own.inflight)
            * _seconds_per_token(view, settings)
            for view in ordered[:count]
        ]
        full = views.NoUpstreamReason.LONG_SLOTS_FULL
        return views.NoUpstream(full, max(0.1, min(waits)))

    def _long_slots(self, view: views.UpstreamView) -> int:
        return view.slots - math.ceil(self._settings.short_slot_share * view.slots)

    def _leaves_short_slots(self, view: views.UpstreamView) -> bool:
        return _inflight(view, self._settings) < self._long_slots(view)

    def _has_long_slot(self, view: views.UpstreamView, snapshot: views.RoutingSnapshot) -> bool:
        # Entries see only their own long requests, so each takes its share of the slots.
        share = max(1, self._long_slots(view) // max(1, snapshot.sharing_entries))
        return view.own.inflight_long < share
