"""Tests of admission, fairness, concurrency limits, retries, hedges and output lengths."""

import collections
import random
import unittest

import builders
import hypothesis
from hypothesis import strategies

from coltsfoothead.kernel import views
from coltsfoothead.kernel.limits import admission, concurrency, decisions, fairqueue
from coltsfoothead.kernel.prediction import outputlength
from coltsfoothead.kernel.retries import budget, hedge
from coltsfoothead.kernel.routing import completion

_REASONS = decisions.RefusedReason


class FairQueueTest(unittest.TestCase):
    def test_tokens_are_served_by_weight(self):
        """Guards against fairness per request, which gives more than its share to long requests."""
        queue = fairqueue.FairQueue({"a": 2.0})
        for index in range(400):
            queue.push(fairqueue.QueuedRequest(f"a{index}", "a", 100.0, 1e9))
            queue.push(fairqueue.QueuedRequest(f"b{index}", "b", 400.0, 1e9))
        served = collections.Counter()
        for _ in range(300):
            taken = queue.pop()
            served[taken.organisation] += taken.tokens
        self.assertAlmostEqual(served["a"] / served["b"], 2.0, delta=0.1)

    @hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["offer", "release", "expire", "cancel"]),
                strategies.integers(0, 9),
                strategies.floats(0.0, 20.0),
            ),
            max_size=60,
        )
    )
    def test_each_request_is_decided_once_and_bounds_hold(self, steps):
        """Guards against requests that are lost, admitted twice or queued without a decision."""
        settings = admission.AdmissionSettings(3, 5, prior_tokens_per_second=60.0)
        limiter, final, waiting, request_number = (
            admission.FairAdmission(2, {}, settings),
            set(),
            set(),
            0,
        )
        for now, (action, number, seconds_to_deadline) in enumerate(steps):
            answers = ()
            if action == "offer":
                request_number += 1
                deadline = now + seconds_to_deadline
                organisation = f"o{number % 3}"
                new_request = builders.request(
                    str(request_number), organisation=organisation, deadline=deadline
                )
                answers = limiter.offer(new_request, now)
                self.assertEqual(answers[0].request, str(request_number))
            elif action == "release" and final:
                answers = limiter.release(sorted(final)[number % len(final)], now)
            elif action == "cancel" and waiting:
                cancelled = sorted(waiting)[number % len(waiting)]
                limiter.cancel(cancelled)
                waiting.discard(cancelled)
            else:
                answers = limiter.expire(now)
            for answer in answers:
                if isinstance(answer, decisions.Queued):
                    waiting.add(answer.request)
                    continue
                self.assertNotIn(answer.request, final)
                waiting.discard(answer.request)
                final.add(answer.request)
            self.assertLessEqual(limiter.inflight, 2)
            self.assertEqual(limiter.queued, len(waiting))
            self.assertLessEqual(limiter.queued, 5)

    def test_refusals_are_immediate_and_name_a_time(self):
        """Guards against queueing a request that must be late, and a refusal without retry time."""
        settings = admission.AdmissionSettings(prior_tokens_per_second=60.0)
        limiter = admission.FairAdmission(1, {}, settings)
        limiter.offer(builders.request("running"), 0.0)
        queued = limiter.offer(builders.request("queued", deadline=3.0), 0.0)[0]
        self.assertIsInstance(queued, decisions.Queued)
        refused = limiter.offer(builders.request("late", deadline=1.5), 0.0)[0]
        self.assertEqual(refused.reason, _REASONS.DEADLINE)
        self.assertGreater(refused.retry_after_seconds, 0.0)
        hopeless = limiter.offer(builders.request("hopeless", deadline=0.5), 0.0)[0]
        self.assertIsNone(hopeless.retry_after_seconds)
        self.assertEqual(limiter.next_expiry, 1.5)
        self.assertEqual(limiter.expire(1.4), ())
        (expired,) = limiter.expire(1.5)
        self.assertEqual((expired.request, expired.reason), ("queued", _REASONS.DEADLINE))

    def test_a_flood_hits_only_the_organisation_that_floods(self):
        """Guards against one organisation's flood reducing the share of others (simulated)."""
        shares = {}
        for flood in (0, 120):
            shares[flood] = _share_within_target(flood)
        self.assertGreaterEqual(shares[120][0], shares[0][0] - 0.02)
        self.assertGreaterEqual(shares[120][1], 0.95 * shares[0][1])


def _share_within_target(flood_rate, seconds=60):
    """Returns the quiet organisation's share within 5 s, and all on-time answers per second."""
    simulation = builders.Simulation([completion.CompletionRouter()])
    limiter = admission.FairAdmission(72)
    jobs = builders.arrivals(random.Random(1), seconds, 12, organisation="quiet")
    quiet = len(jobs)
    jobs += builders.arrivals(random.Random(2), seconds, 30 + flood_rate, organisation="loud")
    jobs = [_with_deadline(job) for job in jobs]
    by_name = {job.view.request: job for job in jobs}
    good = collections.Counter()

    def apply(answers):
        for answer in answers:
            if isinstance(answer, decisions.Admitted):
                simulation.route(by_name[answer.request])

    def ended(job):
        on_time = job.produced >= job.tokens and simulation.now <= job.view.deadline
        good[job.view.organisation] += on_time
        apply(limiter.release(job.view.request, simulation.now))

    simulation.on_end = ended
    simulation.run(jobs, lambda job: apply(limiter.offer(job.view, simulation.now)))
    return good["quiet"] / quiet, good.total() / seconds


def _with_deadline(job):
    view = builders.request(
        job.view.request, organisation=job.view.organisation, deadline=job.sent_at + 5.0
    )
    return builders.Job(view, job.tokens, job.sent_at)


class ConcurrencyTest(unittest.TestCase):
    def test_the_limit_settles_near_the_capacity(self):
        """Guards against a limit that stays above capacity, collapses, or rises while unused."""
        limit = concurrency.ConcurrencyLimit()
        settled = []
        for step in range(20_000):
            inflight = limit.limit
            limit.record_latency(0.01 * inflight, 1.0, inflight, step * 0.02)
            settled.append(limit.limit)
        self.assertTrue(all(85 <= value <= 106 for value in settled[5_000:]))
        unused = concurrency.ConcurrencyLimit()
        for step in range(1_000):
            unused.record_latency(0.01, 1.0, 3, step * 0.02)
        self.assertEqual(unused.limit, 32)


class RetryTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, max_examples=40, deadline=None)
    @hypothesis.given(strategies.lists(strategies.integers(0, 3), max_size=300))
    def test_amplification_stays_within_a_tenth(self, organisations):
        """Guards against retry storms when every attempt fails."""
        shared = budget.RetryBudget()
        policy, retries, rng = budget.RetryPolicy(shared), 0, random.Random(1)
        for number in organisations:
            shared.record_request(f"o{number}")
            for attempt in (1, 2):
                answer = policy.decide(f"o{number}", attempt, True, False, 10.0, rng)
                retries += isinstance(answer, budget.Retry)
        self.assertLessEqual(10 * retries, len(organisations))

    def test_only_what_may_be_repeated_is_repeated(self):
        """Guards against running a call that is not idempotent twice by a retry or a hedge."""
        shared, rng = budget.RetryBudget(), random.Random(1)
        for _ in range(100):
            shared.record_request("o")
        policy, hedges = budget.RetryPolicy(shared), hedge.HedgePolicy(shared)
        may_have_run = policy.decide("o", 1, False, False, 10.0, rng)
        self.assertEqual(may_have_run.reason, budget.GiveUpReason.NOT_REPEATABLE)
        self.assertIsInstance(policy.decide("o", 1, False, True, 10.0, rng), budget.Retry)
        refused = hedges.plan("m", False, 10.0)
        self.assertEqual(refused.reason, hedge.NoHedgeReason.NOT_REPEATABLE)

    def test_a_hedge_waits_for_p95_and_the_first_answer_wins(self):
        """Guards against hedging most requests, and against mixing two answers."""
        shared = budget.RetryBudget()
        policy, race = hedge.HedgePolicy(shared), hedge.HedgeRace()
        for index in range(100):
            policy.observe("m", 0.1 if index < 90 else 1.0)
        self.assertAlmostEqual(policy.plan("m", True, 9.0).delay_seconds, 1.0, delta=0.15)
        self.assertEqual(policy.fire("o", race).reason, hedge.NoHedgeReason.BUDGET)
        for _ in range(10):
            shared.record_request("o")
        self.assertEqual(policy.fire("o", race), hedge.SendHedge(2))
        self.assertEqual(race.record_answer(2), hedge.Winner(2, (1,)))
        self.assertEqual(race.record_answer(1), hedge.LateAnswer(1))
        self.assertIsNone(race.record_answer(2))


class OutputLengthTest(unittest.TestCase):
    def test_lengths_are_learnt_and_corrected(self):
        """Guards against a long request that remains in the short class."""
        predictor, rng = outputlength.OutputLengthPredictor(), random.Random(1)
        first = predictor.predict("o", "m", 100, 8_192)
        for _ in range(400):
            length = 3_000 if rng.random() < 0.1 else 50
            predictor.observe(first, length)
        prediction = predictor.predict("o", "m", 100, 8_192)
        self.assertAlmostEqual(prediction.tokens, 50, delta=8)
        self.assertIs(prediction.request_class, views.RequestClass.SHORT)
        self.assertIs(predictor.correct(prediction, 20), prediction)
        corrected = predictor.correct(prediction, 70)
        self.assertAlmostEqual(corrected.tokens, 3_000, delta=450)
        self.assertIs(corrected.request_class, views.RequestClass.LONG)
        self.assertEqual(predictor.correct(corrected, 5_000).tokens, 8_192)
        other = predictor.predict("other", "m", 3_000, 100)
        self.assertLessEqual(other.tokens, 100)

    def test_memory_is_bounded(self):
        """Guards against keeping a sketch for every organisation and length."""
        settings = outputlength.OutputLengthSettings(max_sketches=20)
        predictor = outputlength.OutputLengthPredictor(settings)
        for index in range(200):
            predictor.observe(predictor.predict(f"o{index}", "m", index, 10), 5)
        self.assertLessEqual(len(predictor._sketches), 20)
