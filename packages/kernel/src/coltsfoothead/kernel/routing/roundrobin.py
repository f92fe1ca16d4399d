"""Round-robin routing, the baseline that the benchmarks compare with."""

import random

from coltsfoothead.kernel import registry, views
from coltsfoothead.kernel.routing import eligibility

__all__ = ["RoundRobinRouter"]


@registry.register("routing", "roundrobin")
class RoundRobinRouter:
    """Takes the eligible upstreams in turn; `expected_seconds` of its choices is 0."""

    def __init__(self) -> None:
        self._turn = 0

    def choose(
        self, request: views.RequestView, snapshot: views.RoutingSnapshot, rng: random.Random
    ) -> views.Chosen | views.NoUpstream:
        """Chooses the next eligible upstream."""
        found = eligibility.eligible(request, snapshot)
        if isinstance(found, views.NoUpstream):
            return found
        self._turn += 1
        view = found[self._turn % len(found)]
        return views.Chosen(view.upstream, 0.0, views.ChosenReason.TURN)
