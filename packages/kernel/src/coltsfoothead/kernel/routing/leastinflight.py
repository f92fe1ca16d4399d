"""Least-in-flight routing, the second baseline."""

import random

from coltsfoothead.kernel import registry, views
from coltsfoothead.kernel.routing import eligibility

__all__ = ["LeastInflightRouter"]


@registry.register("routing", "leastinflight")
class LeastInflightRouter:
    """Takes the upstream with the fewest own requests; ties are broken at random."""

    def choose(
        self, request: views.RequestView, snapshot: views.RoutingSnapshot, rng: random.Random
    ) -> views.Chosen | views.NoUpstream:
        """Chooses the eligible upstream with the fewest requests in flight."""
        found = eligibility.eligible(request, snapshot)
        if isinstance(found, views.NoUpstream):
            return found
        view = min(found, key=lambda each: (each.own.inflight, rng.random()))
        return views.Chosen(view.upstream, 0.0, views.ChosenReason.LEAST_INFLIGHT)
