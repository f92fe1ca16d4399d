"""Tests of the routing policies, the upstream subset and the link budget."""

import math
import random
import unittest

import builders
import hypothesis
from hypothesis import strategies

from coltsfoothead.kernel import plugins, registry, views
from coltsfoothead.kernel.outliers import deviation
from coltsfoothead.kernel.routing import completion, leastinflight, linkbudget, roundrobin, subset

_REASONS = views.NoUpstreamReason


def _choose(request, state, policy=None, seed=1):
    return (policy or completion.CompletionRouter()).choose(request, state, random.Random(seed))


def _statistics(seconds_per_token, **changes):
    return views.UpstreamStatistics(
        seconds_per_token=views.Estimate(seconds_per_token, 50.0), **changes
    )


class CompletionTest(unittest.TestCase):
    def test_every_policy_is_registered(self):
        """Guards against a policy that is not registered and so cannot be configured."""
        plugins.load()
        self.assertEqual(registry.names("routing"), ["completion", "leastinflight", "roundrobin"])

    def test_an_old_report_counts_less_than_a_fresh_one(self):
        """Guards against routing by an outdated load report."""
        settings = completion.CompletionSettings()
        waits = [
            completion.expected_wait_seconds(
                builders.upstream(report=views.LoadReport(8, 20, age)), 60.0, settings
            )
            for age in (0.0, 1.0, 10.0)
        ]
        self.assertGreater(waits[0], waits[1])
        self.assertEqual(waits[2], 0.0)

    def test_a_stall_shows_before_the_late_token(self):
        """Guards against sending work to an upstream that has just stopped producing."""
        stalled = builders.upstream("a", observed=_statistics(0.02, inflight=1, stall_ratio=20.0))
        healthy = builders.upstream("b", observed=_statistics(0.03, inflight=2))
        state = builders.snapshot(stalled, healthy)
        self.assertEqual(_choose(builders.request(), state).upstream, "b")

    def test_prefix_affinity_is_traded_against_queueing(self):
        """Guards against recomputing long prompts, and against queueing behind a full holder."""
        others = [builders.upstream(f"u{index}", observed=_statistics(0.02)) for index in range(20)]
        request = builders.request(prompt_tokens=8_000)
        for waiting, expected in ((0, True), (100, False)):
            report = views.LoadReport(8, waiting, 0.0) if waiting else None
            holder = builders.upstream("holder", observed=_statistics(0.02), report=report)
            state = builders.snapshot(holder, *others, cached_tokens={"holder": 7_900})
            self.assertEqual(_choose(request, state).upstream == "holder", expected)

    def test_bytes_over_the_link_count(self):
        """Guards against using the inter-region link for work that the home region can do."""
        far = builders.upstream("far", region="r2", observed=_statistics(0.02), link_cost=1e-4)
        near = builders.upstream("near", observed=_statistics(0.03), link_seconds=0.0005)
        state = builders.snapshot(far, near)
        self.assertEqual(_choose(builders.request(region="r1"), state).upstream, "near")

    def test_long_work_leaves_upstreams_and_slots_to_short_work(self):
        """Guards against long requests that occupy every upstream or every slot."""
        policy = completion.CompletionRouter()
        placed = dict.fromkeys((f"u{index}" for index in range(9)), 0)
        long = builders.request(request_class=builders.LONG, predicted_tokens=4_000.0)
        for seed in range(200):
            upstream_views = [
                builders.upstream(
                    name, observed=_statistics(0.02, inflight=count, inflight_long=count)
                )
                for name, count in placed.items()
            ]
            chosen = _choose(long, builders.snapshot(*upstream_views), policy, seed)
            if isinstance(chosen, views.NoUpstream):
                break
            placed[chosen.upstream] += 1
        self.assertEqual(chosen.reason, _REASONS.LONG_SLOTS_FULL)
        self.assertGreater(chosen.retry_after_seconds, 0.0)
        self.assertLessEqual(max(placed.values()), 6)
        self.assertGreaterEqual(sum(count == 0 for count in placed.values()), 2)

    def test_refusals_say_why(self):
        """Guards against a refusal with a wrong reason, or a choice that is known to fail."""
        far = builders.upstream("far", region="r2", observed=_statistics(0.02))
        cases = (
            (builders.request(model="other"), {}, _REASONS.NONE_SERVES),
            (builders.request(adapter="x"), {}, _REASONS.NONE_SERVES),
            (builders.request(excluded=frozenset(["far"])), {}, _REASONS.ALL_EXCLUDED),
            (builders.request(region="r1"), {"link_bytes": 10.0}, _REASONS.LINK_BUDGET),
            (builders.request(deadline=0.5), {}, _REASONS.DEADLINE),
        )
        for request, changes, reason in cases:
            answer = _choose(request, builders.snapshot(far, **changes))
            self.assertEqual(answer.reason, reason)
            self.assertGreater(answer.retry_after_seconds, 0.0)

    @hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 40), strategies.floats(0.02, 1.0), strategies.booleans()
            ),
            min_size=1,
            max_size=12,
        ),
        strategies.integers(0, 5),
        strategies.booleans(),
    )
    def test_the_choice_is_always_eligible(self, loads, seed, is_long):
        """Guards against choosing an excluded upstream or a negative expected time."""
        candidates = [
            builders.upstream(
                f"u{index}", observed=_statistics(0.02, inflight=count), weight=weight
            )
            for index, (count, weight, _) in enumerate(loads)
        ]
        excluded = frozenset(f"u{index}" for index, load in enumerate(loads) if load[2])
        kind = builders.LONG if is_long else builders.SHORT
        request = builders.request(excluded=excluded, request_class=kind)
        answer = _choose(request, builders.snapshot(*candidates), seed=seed)
        if isinstance(answer, views.Chosen):
            self.assertNotIn(answer.upstream, excluded)
            self.assertTrue(0.0 < answer.expected_seconds < math.inf)
        else:
            self.assertEqual(len(excluded), len(candidates))


class SimulationTest(unittest.TestCase):
    """Compares policies in a discrete-event simulation, not with real processes."""

    def _p99(self, policy, long_rate=0.0, slow=(), detect=True):
        detectors = [deviation.DeviationDetector() for _ in range(7)] if detect else None
        simulation = builders.Simulation(
            [policy() for _ in range(7)], slow=slow, detectors=detectors
        )
        jobs = builders.arrivals(random.Random(1), 130, 25, long_rate)
        return builders.percentile(simulation.run(jobs)[builders.SHORT], 0.99)

    def test_short_work_is_not_held_up_by_long_work(self):
        """Guards against head-of-line blocking; the bound is target 2 of the design page."""
        alone = self._p99(completion.CompletionRouter)
        self.assertLessEqual(self._p99(completion.CompletionRouter, long_rate=0.4) / alone, 1.2)
        self.assertGreater(self._p99(roundrobin.RoundRobinRouter, long_rate=0.4) / alone, 1.2)

    def test_two_slow_upstreams_of_nine_do_not_raise_the_p99(self):
        """Guards against slow upstreams that raise the p99; the bound is target 3."""
        alone = self._p99(completion.CompletionRouter)
        slow = ("u0", "u1")
        self.assertLessEqual(self._p99(completion.CompletionRouter, slow=slow) / alone, 1.3)
        for baseline in (roundrobin.RoundRobinRouter, leastinflight.LeastInflightRouter):
            self.assertGreater(self._p99(baseline, slow=slow, detect=False) / alone, 1.3)


class SubsetTest(unittest.TestCase):
    def _locations(self, count, zones=("z1", "z2", "z3")):
        return [
            subset.UpstreamLocation(f"u{index}", zone, "r2" if zone == "z3" else "r1")
            for index in range(count)
            for zone in [zones[index % len(zones)]]
        ]

    def test_a_leaving_upstream_changes_one_member(self):
        """Guards against a new subset that loses all observations and the prefix affinity."""
        all_upstreams = self._locations(400)
        before = subset.choose_subset("e", "z1", "r1", all_upstreams)
        remaining = [each for each in all_upstreams if each.upstream != before[3]]
        after = subset.choose_subset("e", "z1", "r1", remaining)
        self.assertEqual(len(before), subset.SUBSET_SIZE)
        self.assertEqual(len(set(before) - set(after)), 1)
        self.assertEqual(before, subset.choose_subset("e", "z1", "r1", reversed(all_upstreams)))

    def test_the_loss_of_a_zone_leaves_candidates(self):
        """Guards against a subset within one zone, and against a subset that is not filled."""
        all_upstreams = {each.upstream: each for each in self._locations(400)}
        chosen = subset.choose_subset("e", "z1", "r1", all_upstreams.values())
        zones = [all_upstreams[name].zone for name in chosen]
        self.assertEqual([zones.count(zone) for zone in ("z1", "z2", "z3")], [16, 12, 4])
        self.assertEqual(len(subset.choose_subset("e", "z1", "r1", self._locations(12))), 12)


class LinkBudgetTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, max_examples=50, deadline=None)
    @hypothesis.given(
        strategies.lists(strategies.tuples(strategies.floats(0, 2), strategies.floats(0, 900)))
    )
    def test_no_more_than_rate_and_burst_crosses(self, steps):
        """Guards against exceeding the budget, and against a `retry_after` that is too early."""
        budget, now, sent = linkbudget.LinkBudget(100.0, 1_000.0, 0.0), 0.0, 0.0
        for wait, size in steps:
            now += wait
            answer = budget.spend(size, now)
            if isinstance(answer, linkbudget.Deferred):
                now += answer.retry_after_seconds + 1e-6
                self.assertIsInstance(budget.spend(size, now), linkbudget.Granted)
            sent += size
            self.assertLessEqual(sent, 1_000.0 + 100.0 * now + 1e-3)
