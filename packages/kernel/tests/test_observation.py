"""Tests of the upstream statistics, the outlier weights and the prefix index."""

import unittest

import hypothesis
from hypothesis import strategies

from coltsfoothead.kernel import observation, views
from coltsfoothead.kernel.outliers import deviation
from coltsfoothead.kernel.routing import prefix

_SHORT = views.RequestClass.SHORT


def _sent(stream, at=0.0, kind=_SHORT, tokens=10.0):
    return observation.Sent(stream, "u", 100, tokens, kind, at)


class ObserverTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
    @hypothesis.given(
        strategies.lists(strategies.tuples(strategies.integers(0, 4), strategies.integers(0, 4)))
    )
    def test_counts_return_to_zero(self, steps):
        """Guards against late, repeated or unknown events that leave nonzero load counts."""
        observer = observation.Observer()
        for at, (kind, number) in enumerate(steps):
            stream = str(number)
            observer.observe(
                (
                    _sent(stream, at, views.RequestClass.LONG),
                    observation.FirstToken(stream, at),
                    observation.Token(stream, at, 3),
                    observation.Finished(stream, at),
                    observation.Failed(stream, at),
                )[kind]
            )
            self.assertGreaterEqual(observer.statistics("u", at).outstanding_tokens, 0.0)
        for number in range(5):
            observer.observe(observation.Finished(str(number), len(steps)))
        statistics = observer.statistics("u", len(steps))
        self.assertEqual((statistics.inflight, statistics.inflight_long), (0, 0))
        self.assertAlmostEqual(statistics.outstanding_tokens, 0.0)
        self.assertEqual(statistics.stall_ratio, 0.0)

    def test_speed_follows_recent_gaps_and_is_forgotten(self):
        """Guards against a mean that hides a slow-down, and one that never forgets it."""
        observer = observation.Observer()
        observer.observe(_sent("s", tokens=500.0))
        observer.observe(observation.FirstToken("s", 0.05))
        now = 0.05
        for gap in [0.02] * 100 + [0.1] * 30:
            now += gap
            observer.observe(observation.Token("s", now))
        statistics = observer.statistics("u", now)
        self.assertAlmostEqual(statistics.seconds_per_token.value, 0.1, delta=0.01)
        self.assertAlmostEqual(statistics.seconds_per_prefill_token.value, 0.0005, delta=1e-6)
        self.assertEqual(statistics.outstanding_tokens, 500 - 131)
        self.assertGreater(observer.statistics("u", now + 1.0).stall_ratio, 9.0)
        observer.observe(observation.Finished("s", now))
        later = observer.statistics("u", now + 120).seconds_per_token
        self.assertLess(later.blended(0.034, 5.0), 0.04)


class DeviationTest(unittest.TestCase):
    def _group(self, speeds, failing=()):
        return {
            f"u{index}": views.UpstreamStatistics(
                seconds_per_token=views.Estimate(speed, 20.0),
                failure_rate=views.Estimate(0.8 if index in failing else 0.0, 20.0),
            )
            for index, speed in enumerate(speeds)
        }

    def test_slow_and_failing_upstreams_lose_weight_and_recover(self):
        """Guards against an upstream that keeps its weight while slow, or never regains it."""
        detector = deviation.DeviationDetector()
        weights = detector.assess(self._group([0.02] * 7 + [0.1, 0.023], failing=(2,)), 0.0)
        self.assertLess(weights["u7"], 0.05)
        self.assertLess(weights["u2"], 0.05)
        self.assertEqual(weights["u8"], 1.0)
        recovering = detector.assess(self._group([0.02] * 9), 1.0)
        self.assertLess(recovering["u7"], 0.5)
        self.assertEqual(set(detector.assess(self._group([0.02] * 9), 30.0).values()), {1.0})

    @hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
    @hypothesis.given(strategies.lists(strategies.floats(0.001, 10.0), max_size=12))
    def test_never_more_than_the_stated_share_is_ejected(self, speeds):
        """Guards against ejecting a fleet whose upstreams all differ."""
        weights = deviation.DeviationDetector().assess(self._group(speeds), 0.0)
        ejected = sum(weight < 0.5 for weight in weights.values())
        self.assertLessEqual(ejected, 0.34 * len(speeds))
        self.assertTrue(all(0.0 < weight <= 1.0 for weight in weights.values()))


class PrefixIndexTest(unittest.TestCase):
    def test_a_gap_drops_what_it_may_hide_until_the_resync(self):
        """Guards against routing to a cache whose eviction was missed."""
        index = prefix.PrefixIndex()
        index.apply("a", 1, [prefix.Stored(1, (1, 2)), prefix.Stored(2, (3,))])
        self.assertEqual(index.match((1, 2, 9)), {"a": 2})
        answer = index.apply("a", 1, [prefix.Stored(5, (7,))])
        self.assertEqual(answer, prefix.ResyncNeeded("a", 4))
        self.assertEqual((index.match((1, 2)), index.match((7,))), ({}, {"a": 1}))
        early = index.resync("a", 1, 3, (1, 2))
        self.assertIsInstance(early, prefix.ResyncNeeded)
        self.assertEqual(index.resync("a", 1, 4, (1, 3)), prefix.Applied("a", 4))
        self.assertEqual(index.last_sequence("a"), 4)
        self.assertEqual(index.match((1, 2)), {"a": 1})

    def test_late_events_and_restarts(self):
        """Guards against a repeated event reviving a block, and a restart keeping old ones."""
        index = prefix.PrefixIndex()
        index.apply("a", 2, [prefix.Stored(1, (1,)), prefix.Evicted(2, (1,))])
        index.apply("a", 2, [prefix.Stored(1, (1,))])
        index.apply("a", 1, [prefix.Stored(3, (1,))])
        self.assertEqual(index.match((1,)), {})
        index.add_expected("a", (1, 2))
        self.assertEqual(index.match((1, 2)), {"a": 2})
        index.apply("a", 3, [prefix.Stored(1, (5,))])
        self.assertEqual((index.match((1,)), index.match((5,))), ({}, {"a": 1}))

    @hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from("abcde"),
                strategies.integers(1, 30),
                strategies.booleans(),
                strategies.lists(strategies.integers(0, 50), max_size=20),
            )
        )
    )
    def test_memory_is_bounded(self, steps):
        """Guards against an index that grows with the number of prompts."""
        index = prefix.PrefixIndex(max_upstreams=3, max_blocks=30)
        for name, sequence, stored, blocks in steps:
            kind = prefix.Stored if stored else prefix.Evicted
            index.apply(name, 1, [kind(sequence, tuple(blocks))])
            self.assertLessEqual(index.pairs, 30)
        for name in "abcde":
            index.remove_upstream(name)
        self.assertEqual((index.pairs, index._holders), (0, {}))
