"""Measures the time of routing decisions, in microseconds, with 12, 400 and 6,700 upstreams.

A decision includes reading the load statistics of the candidate subset and matching the
prompt's blocks. The subset is chosen only when the directory changes, so its time is printed
separately.
"""

import random
import statistics
import time

from coltsfoothead.kernel import observation, views
from coltsfoothead.kernel.routing import completion, prefix, subset

_UPSTREAM_COUNTS = (12, 400, 6_700)
_DECISIONS_PER_ROUND = 2_000
_ROUNDS = 5


class _LazyViews(dict):
    """Builds the view of an upstream when a policy first looks it up."""

    def __init__(self, observer, locations, now):
        super().__init__()
        self._observer, self._locations, self._now = observer, locations, now

    def get(self, name, default=None):
        if name not in self:
            location = self._locations[name]
            observed = self._observer.statistics(name, self._now)
            report = views.LoadReport(3, 0, 0.4)
            self[name] = views.UpstreamView(
                name, location.zone, location.region, 8, observed=observed, report=report
            )
        return self[name]


def _measure(upstream_count, rng):
    locations = {
        f"u{index}": subset.UpstreamLocation(f"u{index}", f"z{index % 3}", f"r{index % 3 // 2}")
        for index in range(upstream_count)
    }
    started_at = time.perf_counter()
    candidates = subset.choose_subset("entry", "z0", "r0", locations.values())
    subset_seconds = time.perf_counter() - started_at
    observer, index = observation.Observer(), prefix.PrefixIndex()
    for number, name in enumerate(candidates):
        index.apply(name, 1, [prefix.Stored(1, tuple(range(number % 16)))])
    router = completion.CompletionRouter()
    request = views.RequestView("r", "o", "m", 1_000, 100.0, prompt_blocks=tuple(range(16)))
    started_at = time.perf_counter()
    for number in range(_DECISIONS_PER_ROUND):
        now = number * 0.001
        matched = index.match(request.prompt_blocks)
        cached = {name: count * 64 for name, count in matched.items()}
        state = views.RoutingSnapshot(
            now, candidates, _LazyViews(observer, locations, now), cached_tokens=cached
        )
        chosen = router.choose(request, state, rng)
        stream = str(number)
        observer.observe(
            observation.Sent(stream, chosen.upstream, 100, 100.0, request.request_class, now)
        )
        observer.observe(observation.FirstToken(stream, now + 0.05))
        if number >= 50:
            observer.observe(observation.Finished(str(number - 50), now))
    return (time.perf_counter() - started_at) / _DECISIONS_PER_ROUND, subset_seconds


def main():
    """Prints the median over the rounds for each number of upstreams."""
    for upstream_count in _UPSTREAM_COUNTS:
        results = [_measure(upstream_count, random.Random(1)) for _ in range(_ROUNDS)]
        decision = statistics.median(each[0] for each in results) * 1e6
        chosen = statistics.median(each[1] for each in results) * 1e6
        print(f"known={upstream_count} decision_us={decision:.0f} subset_us={chosen:.0f}")


if __name__ == "__main__":
    main()
