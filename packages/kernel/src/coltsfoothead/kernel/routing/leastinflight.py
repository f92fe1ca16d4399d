"""Least-in-flight routing, the second baseline of the benchmarks."""

import random

from coltsfoothead.kernel import registry, views
from coltsfoothead.kernel.routing import eligibility

__all__ = ["LeastInflightRouter"]


@registry.register("routing", "leastinflight")
class LeastInflightRouter:
    """Chooses the upstream with the fewest requests of this entry; ties are broken at random."""

    def choose(
        self, request: views.RequestView, snapshot: views.RoutingSnapshot, rng: random.Random
    ) -> views.Chosen | views.NoUpstream:
        """Chooses the eligible upstream with the fewest requests in flight."""
        candidates = eligibility.eligible(request, snapshot)
        if isinstance(candidates, views.NoUpstream):
            return candidates
        view = min(candidates, key=lambda each: (each.observed.inflight, rng.random()))
        return views.Chosen(view.upstream, 0.0, views.ChosenReason.LEAST_INFLIGHT)
