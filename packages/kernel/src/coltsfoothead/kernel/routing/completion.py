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
    """Settings of the expected completion time.

    Parameters
    ----------
    prior_seconds_per_token, prior_seconds_per_prefill_token : float
        Prior estimates, which are blended with the observations of an upstream.
    report_decay_seconds : float
        Age at which a load report counts for 1/e of its value.
    prior_samples : float
        Number of observed samples at which observation and prior have equal weight.
    stall_ratio_threshold : float
        Stall ratio above which the time per token is multiplied by that ratio.
    reserved_short_slot_share : float
        Share of each upstream's slots that is reserved for short requests.
    long_upstream_share : float
        Share of the upstreams that take long requests. In the simulation of the tests, packing
        long requests on fewer upstreams made short requests wait longer than spreading them.
    sampled_upstreams : int
        Number of random candidates compared per decision.
    min_weight : float
        Lower bound of the weight by which the expected time is divided.
    """

    prior_seconds_per_token: float = 0.034
    prior_seconds_per_prefill_token: float = 0.0003
    report_decay_seconds: float = 5.0
    prior_samples: float = 5.0
    stall_ratio_threshold: float = 3.0
    reserved_short_slot_share: float = 0.25
    long_upstream_share: float = 0.67
    sampled_upstreams: int = 2
    min_weight: float = 0.05


def _seconds_per_token(view: views.UpstreamView, settings: CompletionSettings) -> float:
    estimate = view.observed.seconds_per_token.blended(
        settings.prior_seconds_per_token, settings.prior_samples
    )
    stall_ratio = view.observed.stall_ratio
    return estimate * stall_ratio if stall_ratio > settings.stall_ratio_threshold else estimate


def _inflight(view: views.UpstreamView, settings: CompletionSettings) -> float:
    """Returns this entry's requests plus those of other entries, discounted by the report's age."""
    own_inflight = view.observed.inflight
    report = view.report
    if report is None:
        return own_inflight
    others_inflight = max(0, report.running + report.waiting - own_inflight)
    return own_inflight + others_inflight * math.exp(
        -report.age_seconds / settings.report_decay_seconds
    )


def expected_wait_seconds(
    view: views.UpstreamView, mean_tokens: float, settings: CompletionSettings
) -> float:
    """Returns the time until a slot of the upstream is expected to be free.

    `mean_tokens` is the assumed remaining length of a running request if this entry has none on
    the upstream.
    """
    excess = _inflight(view, settings) + 1.0 - view.slots
    if excess <= 0:
        return 0.0
    observed = view.observed
    if observed.inflight:
        mean_tokens = observed.outstanding_tokens / observed.inflight
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
    The link's round trip and the cost of the bytes over the link, plus the wait for a slot, the
    prefill of uncached tokens and the decoding, divided by the weight of the upstream.
    """
    prefill = view.observed.seconds_per_prefill_token.blended(
        settings.prior_seconds_per_prefill_token, settings.prior_samples
    )
    service_seconds = max(0, request.prompt_tokens - cached_tokens) * prefill
    service_seconds += request.predicted_tokens * _seconds_per_token(view, settings)
    service_seconds += expected_wait_seconds(view, request.predicted_tokens, settings)
    link_seconds = 2 * view.link_seconds
    if view.link_cost:
        link_seconds += eligibility.request_bytes(request) * view.link_cost
    return link_seconds + service_seconds / max(settings.min_weight, view.weight)


@functools.lru_cache(maxsize=8192)
def _long_rank(upstream: str) -> int:
    """Returns a rank that is equal at every entry, so all entries use the same upstreams first."""
    return xxhash.xxh64_intdigest(upstream.encode(), seed=1)


@registry.register("routing", "completion")
class CompletionRouter:
    """Power of two choices by expected completion time, plus the best prefix-cache candidate.

    Notes
    -----
    Comparing all candidates would make all entries send to the same upstream between two reports
    (herding); comparing two spreads them. Sampling is weighted by the outlier weights: with two
    slow upstreams of nine, 1 in 36 unweighted draws contains only these, which raises the p99.
    """

    def __init__(self, settings: CompletionSettings | None = None):
        self._settings = settings or CompletionSettings()

    def choose(
        self, request: views.RequestView, snapshot: views.RoutingSnapshot, rng: random.Random
    ) -> views.Chosen | views.NoUpstream:
        """Chooses an upstream for one request."""
        candidates = eligibility.eligible(request, snapshot)
        if isinstance(candidates, views.NoUpstream):
            return candidates
        if request.request_class is views.RequestClass.LONG:
            candidates = self._long_candidates(candidates, snapshot)
            if isinstance(candidates, views.NoUpstream):
                return candidates
        sample = self._sample(candidates, rng)
        reason = views.ChosenReason.SHORTEST if len(candidates) > 1 else views.ChosenReason.ONLY
        best, seconds = self._best(request, snapshot, sample)
        cache_holder = self._best_cache_holder(candidates, snapshot)
        if cache_holder is not None and cache_holder.upstream != best.upstream:
            seconds_at_holder = self._seconds(request, snapshot, cache_holder)
            if seconds_at_holder < seconds:
                best, seconds, reason = cache_holder, seconds_at_holder, views.ChosenReason.PREFIX
        seconds_left = request.deadline - snapshot.now
        if seconds > seconds_left:
            # An upstream outside the sample may be fast enough.
            best, seconds = self._best(request, snapshot, candidates)
            reason = views.ChosenReason.SHORTEST
            if seconds > seconds_left:
                deadline_reason = views.NoUpstreamReason.DEADLINE
                return views.NoUpstream(deadline_reason, max(0.1, seconds - max(0.0, seconds_left)))
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
        timed = [(self._seconds(request, snapshot, view), view) for view in sample]
        seconds, best = min(timed, key=lambda pair: pair[0])
        return best, seconds

    def _sample(
        self, candidates: list[views.UpstreamView], rng: random.Random
    ) -> list[views.UpstreamView]:
        sampled_upstreams = self._settings.sampled_upstreams
        # Upstreams with a free slot are preferred: otherwise short requests wait whenever both
        # sampled upstreams are filled by long requests. With fewer free upstreams than the sample
        # needs, the preference would make all entries send to the same ones (herding).
        free = [view for view in candidates if _inflight(view, self._settings) < view.slots]
        if len(free) >= sampled_upstreams:
            candidates = free
        if len(candidates) <= sampled_upstreams:
            return candidates
        # Weighted sampling without replacement: the largest keys u ** (1 / w) win.
        sort_keys = [(math.log(1.0 - rng.random()) / view.weight, view) for view in candidates]
        sort_keys.sort(key=lambda pair: pair[0], reverse=True)
        return [view for _, view in sort_keys[:sampled_upstreams]]

    @staticmethod
    def _best_cache_holder(
        candidates: list[views.UpstreamView], snapshot: views.RoutingSnapshot
    ) -> views.UpstreamView | None:
        cached = snapshot.cached_tokens
        if not cached:
            return None
        holder = max(candidates, key=lambda view: cached.get(view.upstream, 0))
        return holder if cached.get(holder.upstream, 0) else None

    def _long_candidates(
        self, candidates: list[views.UpstreamView], snapshot: views.RoutingSnapshot
    ) -> list[views.UpstreamView] | views.NoUpstream:
        """Returns the upstreams with a free long slot, preferably with short slots free as well."""
        settings = self._settings
        ordered = sorted(candidates, key=lambda view: _long_rank(view.upstream))
        count = max(
            1, min(len(ordered) - 1, math.ceil(settings.long_upstream_share * len(ordered)))
        )
        allowed = [view for view in ordered[:count] if self._has_long_slot(view, snapshot)]
        with_short_slots = [view for view in allowed if self._leaves_short_slots(view)]
        if allowed:
            return with_short_slots or allowed
        waits = [
            view.observed.outstanding_tokens
            / max(1, view.observed.inflight)
            * _seconds_per_token(view, settings)
            for view in ordered[:count]
        ]
        reason = views.NoUpstreamReason.LONG_SLOTS_FULL
        return views.NoUpstream(reason, max(0.1, min(waits)))

    def _long_slots(self, view: views.UpstreamView) -> int:
        return view.slots - math.ceil(self._settings.reserved_short_slot_share * view.slots)

    def _leaves_short_slots(self, view: views.UpstreamView) -> bool:
        return _inflight(view, self._settings) < self._long_slots(view)

    def _has_long_slot(self, view: views.UpstreamView, snapshot: views.RoutingSnapshot) -> bool:
        # An entry knows only its own long requests, so each entry uses an equal share of the slots.
        own_slots = max(1, self._long_slots(view) // max(1, snapshot.sharing_entries))
        return view.observed.inflight_long < own_slots
