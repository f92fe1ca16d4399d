"""Measures routing decisions, in microseconds, at 12, 400 and 6,700 known upstreams.

A decision includes reading the statistics of the subset and matching the prompt's blocks. The
subset itself is chosen only when the directory changes, so its time is printed separately.
"""

import random
import statistics
import time

from coltsfoothead.kernel import observation, views
from coltsfoothead.kernel.routing import completion, prefix, subset

_KNOWN = (12, 400, 6_700)
_DECISIONS = 2_000
_ROUNDS = 5


class _LazyViews(dict):
    """Builds a view of an upstream when a policy first asks for it."""

    def __init__(self, observer, located, now):
        super().__init__()
        self._observer, self._located, self._now = observer, located, now

    def get(self, name, default=None):
        if name not in self:
            place = self._located[name]
            observed = self._observer.statistics(name, self._now)
            report = views.LoadReport(3, 0, 0.4)
            self[name] = views.UpstreamView(
                name, place.zone, place.region, 8, observed=observed, report=report
            )
        return self[name]


def _measure(known, rng):
    located = {
        f"u{index}": subset.UpstreamLocation(f"u{index}", f"z{index % 3}", f"r{index % 3 // 2}")
        for index in range(known)
    }
    began = time.perf_counter()
    candidates = subset.choose_subset("entry", "z0", "r0", located.values())
    subset_seconds = time.perf_counter() - began
    observer, index = observation.Observer(), prefix.PrefixIndex()
    for number, name in enumerate(candidates):
        index.apply(name, 1, [prefix.Stored(1, tuple(range(number % 16)))])
    router = completion.CompletionRouter()
    request = views.RequestView("r", "o", "m", 1_000, 100.0, prompt_blocks=tuple(range(16)))
    began = time.perf_counter()
    for number in range(_DECISIONS):
        now = number * 0.001
        matched = index.match(request.prompt_blocks)
        cached = {name: count * 64 for name, count in matched.items()}
        state = views.RoutingSnapshot(
            now, candidates, _LazyViews(observer, located, now), cached_tokens=cached
        )
        chosen = router.choose(request, state, rng)
        stream = str(number)
        observer.observe(
            observation.Sent(stream, chosen.upstream, 100, 100.0, request.request_class, now)
        )
        observer.observe(observation.FirstToken(stream, now + 0.05))
        if number >= 50:
            observer.observe(observation.Finished(str(number - 50), now))
    return (time.perf_counter() - began) / _DECISIONS, subset_seconds


def main():
    """Prints the median of the rounds per number of known upstreams."""
    for known in _KNOWN:
        rounds = [_measure(known, random.Random(1)) for _ in range(_ROUNDS)]
        decision = statistics.median(each[0] for each in rounds) * 1e6
        chosen = statistics.median(each[1] for each in rounds) * 1e6
        print(f"known={known} decision_us={decision:.0f} subset_us={chosen:.0f}")


if __name__ == "__main__":
    main()
