"""Round-robin routing, the baseline that the benchmarks compare with."""

import random

from coltsfoothead.kernel import registry, views
from coltsfoothead.kernel.routing import eligibility

__all__ = ["RoundRobinRouter"]


@registry.register("routing", "roundrobin")
class RoundRobinRouter:
    """Chooses the eligible upstreams in turn; its decisions have `expected_seconds` 0."""

    def __init__(self) -> None:
        self._counter = 0

    def choose(
        self, request: views.RequestView, snapshot: views.RoutingSnapshot, rng: random.Random
    ) -> views.Chosen | views.NoUpstream:
        """Chooses the next eligible upstream."""
        candidates = eligibility.eligible(request, snapshot)
        if isinstance(candidates, views.NoUpstream):
            return candidates
        self._counter += 1
        view = candidates[self._counter % len(candidates)]
        return views.Chosen(view.upstream, 0.0, views.ChosenReason.TURN)
