"""Tests of route lookup, document validation, quotas, retry budgets and usage counts."""

import random
import unittest

import traffic_builders as builders

from coltsfoothead.kernel.traffic import (
    check,
    document,
    quota,
    repeats,
    routetable,
    usage,
)

QUOTA = document.Quota(1_000.0, 2_000.0, True, 200.0)


class RouteTableTest(unittest.TestCase):
    def test_the_longest_prefix_wins(self):
        """Guards against routing a request by a shorter prefix."""
        table = routetable.RouteTable(
            builders.routing(
                builders.route("short", prefix="/a/"),
                builders.route("long", prefix="/a/b/"),
                builders.route("other", host="other.example", prefix="/"),
            )
        )
        expected = {
            ("h.example", "/a/b/c"): "long",
            ("H.Example:80", "/a/bc"): "short",
            ("h.example", "/a/"): "short",
            ("h.example", "/a"): None,
            ("h.example", "/"): None,
            ("other.example", "/a/b/c"): "other",
            ("", "/a/b/c"): None,
            ("h.example", ""): None,
        }
        for (host, path), name in expected.items():
            found = table.match(host, path)
            self.assertEqual(found and found.name, name, (host, path))

    def test_organisations_by_key(self):
        """Guards against charging requests with a key to another organisation."""
        film = document.Organisation("film", ("k1", "k2"))
        table = routetable.RouteTable(builders.routing(builders.route(), organisations=(film,)))
        self.assertIs(table.organisation("k2"), film)
        self.assertIsNone(table.organisation("k3"))


class IdempotencyTest(unittest.TestCase):
    def test_only_streams_become_idempotent_by_being_resumable(self):
        """Guards against a second run of a request whose answer was lost (TWICE)."""
        expected = {
            (document.RequestKind.REPEATABLE, False): True,
            (document.RequestKind.REPEATABLE, True): True,
            (document.RequestKind.ONCE, False): False,
            (document.RequestKind.ONCE, True): False,
            (document.RequestKind.STREAM, False): False,
            (document.RequestKind.STREAM, True): True,
        }
        for (kind, resumable), idempotent in expected.items():
            route = builders.route(kind=kind, resumable=resumable)
            self.assertIs(route.idempotent, idempotent, (kind, resumable))


class CheckTest(unittest.TestCase):
    def test_a_valid_document_passes(self):
        """Guards against rejecting valid documents."""
        check.check(builders.routing(builders.route()))

    def test_errors_describe_the_fault(self):
        """Guards against error messages that do not tell the operator what is wrong."""
        faults = {
            "unknown service": builders.route(targets=(document.Target("nowhere", 1.0),)),
            "add up to 0": builders.route(targets=(document.Target("model", 0.0),)),
            "time-out": builders.route(timeout_seconds=0.0),
            "slash": builders.route(prefix="/open"),
        }
        for text, route in faults.items():
            with self.assertRaisesRegex(check.InvalidDocumentError, text):
                check.check(builders.routing(route))


class QuotaTest(unittest.TestCase):
    def test_divided_amounts_add_up(self):
        """Guards against entries that together admit more than the quota."""
        amounts = quota.divide(900.0, {"a": 50.0, "b": 10.0, "c": 0.0})
        self.assertAlmostEqual(sum(amounts.values()), 900.0)
        self.assertGreater(amounts["a"], amounts["b"])
        self.assertGreater(amounts["c"], 0.0)
        self.assertEqual(quota.divide(-5.0, {"a": 1.0}), {"a": 0.0})

    def test_one_organisation_at_eight_times_its_rate(self):
        """Load pattern: a flood of one organisation at six entries.

        The entries exchange messages with the leader twice a second. Guards against admitting more
        than the quota, or much less.
        """
        rng = random.Random(3)
        bucket = quota.TokenBucket(QUOTA, quota.Tolerance(), 0.0)
        entries = {f"e{number}": quota.Allowance(quota.Grant(0.0), 0.0) for number in range(6)}
        admitted = 0.0
        now = 0.0
        for step in range(2_000):
            now = step * 0.01
            for position, allowance in enumerate(entries.values()):
                if step % 50 == position * 8:
                    bucket.debit(allowance.pop_spent())
                    amounts = quota.divide(bucket.level(now), dict.fromkeys(entries, 1.0))
                    allowance.renew(quota.Grant(amounts[f"e{position}"]), now)
                if rng.random() < 0.13 and allowance.try_spend(100.0, now, rng):
                    admitted += 100.0
        limit = QUOTA.rate_per_second * now + QUOTA.burst
        self.assertLessEqual(admitted, limit * 1.1)
        self.assertGreaterEqual(admitted, limit * 0.75)

    def test_an_organisation_within_its_quota_is_not_refused(self):
        """Load pattern: half of the quota in bursts, at one of two entries.

        Guards against 429 responses to callers within their quota.
        """
        rng = random.Random(5)
        bucket = quota.TokenBucket(QUOTA, quota.Tolerance(0.1, 1_000.0), 0.0)
        allowance = quota.Allowance(quota.Grant(0.0), 0.0)
        refused = 0
        for step in range(200):
            now = 10 + step * 0.5
            bucket.debit(allowance.pop_spent())
            amounts = quota.divide(bucket.level(now), {"busy": 500.0, "idle": 0.0})
            allowance.renew(quota.Grant(amounts["busy"]), now)
            refused += sum(
                not allowance.try_spend(50.0, now, rng) for _ in range(rng.choice([0, 5, 10]))
            )
        self.assertEqual(refused, 0)

    def test_a_partitioned_entry_spends_its_allowance_and_its_share_of_the_rate(self):
        """Guards against a partition that multiplies the quota."""
        rng = random.Random(1)
        allowance = quota.Allowance(quota.Grant(1_000.0, 50.0), 0.0)
        spent = sum(100.0 for _ in range(500) if allowance.try_spend(100.0, 0.7, rng))
        self.assertEqual(spent, 1_000.0)
        for step in range(1, 400):
            if allowance.try_spend(100.0, 1.0 + step * 0.01, rng):
                spent += 100.0
        self.assertAlmostEqual(spent, 1_000.0 + 4 * 50.0, delta=200.0)

    def test_callers_within_their_quota_are_served_while_there_is_no_leader(self):
        """Load pattern: half of the quota at one entry, for three seconds without a leader.

        Guards against 429 responses because an allowance is not renewed.
        """
        rng = random.Random(4)
        allowance = quota.Allowance(quota.Grant(400.0, QUOTA.rate_per_second), 0.0)
        refused = sum(not allowance.try_spend(50.0, step * 0.1, rng) for step in range(30))
        self.assertLessEqual(refused, 2)

    def test_large_requests_are_admitted_in_proportion(self):
        """Load pattern: requests ten times as large as an entry's allowance, at 86 entries.

        Guards against always refusing large requests, and against exceeding the allowance.
        """
        rng = random.Random(2)
        admitted = sum(
            quota.Allowance(quota.Grant(100.0), 0.0).try_spend(1_000.0, 0.0, rng)
            for _ in range(5_000)
        )
        self.assertAlmostEqual(admitted / 5_000, 0.1, delta=0.02)

    def test_long_prompts_beside_short_ones_within_the_quota(self):
        """Load pattern: two thirds of the quota, every tenth request 40 times as long.

        Guards against 429 responses because the allowance of one entry is smaller than a long
        request: 33 of 397 long requests were refused at light load.
        """
        refused, admitted, _ = self._simulate(load=0.66)
        self.assertLessEqual(refused, 0.01 * (refused + admitted))

    def test_a_flood_of_long_prompts_stays_within_the_quota(self):
        """Load pattern: eight times the quota, every tenth request 40 times as long.

        Guards against draws that admit more than the quota, or much less.
        """
        _, _, (spent, limit) = self._simulate(load=8.0)
        self.assertLessEqual(spent, limit * 1.1)
        self.assertGreaterEqual(spent, limit * 0.75)

    @staticmethod
    def _simulate(load):
        """Simulates requests at seven entries, at a load that is a multiple of the quota.

        Each entry exchanges messages with the leader twice a second, and draws the cost of requests
        that its allowance does not cover.

        Returns
        -------
        refused, admitted : int
            Numbers of requests.
        (spent, limit) : tuple of float
            Units spent, and units that the quota allows.
        """
        rng = random.Random(6)
        bucket = quota.TokenBucket(QUOTA, quota.Tolerance(), 0.0)
        entries = [quota.Allowance(quota.Grant(0.0), 0.0) for _ in range(7)]
        refused = admitted = 0
        spent = now = 0.0
        for step in range(6_000):
            now = step * 0.01
            for position, allowance in enumerate(entries):
                if step % 50 == position * 7:
                    bucket.debit(allowance.pop_spent())
                    amounts = quota.divide(
                        quota.GRANTED_FRACTION * bucket.level(now), dict.fromkeys(range(7), 1.0)
                    )
                    allowance.renew(quota.Grant(amounts[position]), now)
                # The mean cost is 0.9 * 10 + 0.1 * 400 = 49 units.
                if rng.random() > load * QUOTA.rate_per_second * 0.01 / 7 / 49:
                    continue
                amount = 400.0 if rng.random() < 0.1 else 10.0
                if allowance.covers(amount, now):
                    is_admitted = allowance.try_spend(amount, now, rng)
                else:
                    is_admitted = bucket.draw(amount, now)
                admitted += is_admitted
                refused += not is_admitted
                spent += amount * is_admitted
        return refused, admitted, (spent, QUOTA.rate_per_second * now + QUOTA.burst)

    def test_a_lower_quota_limits_the_level(self):
        """Guards against a burst of the old size after the quota was lowered."""
        bucket = quota.TokenBucket(QUOTA, quota.Tolerance(), 0.0)
        bucket.set_quota(document.Quota(10.0, 20.0, True), 1.0)
        self.assertLessEqual(bucket.level(1.0), 20.0)


class RetryBudgetTest(unittest.TestCase):
    def test_retries_stay_below_the_limit_in_every_window(self):
        """Load pattern: every request fails; guards against retries that double the load."""
        entries = [repeats.RetryBudget(0.2, 52.0, 10.0) for _ in range(6)]
        requests, retries = [], []
        for step in range(3_000):
            now = step * 0.01
            for budget in entries:
                if step % 20 == 0:
                    budget.record_request("model", now)
                    requests.append(now)
                if budget.try_spend("model", len(entries), now):
                    retries.append(now)
        for start in range(20):
            retries_in_window = [at for at in retries if start <= at < start + 10]
            requests_in_window = [at for at in requests if start <= at < start + 10]
            self.assertLessEqual(len(retries_in_window), 0.2 * len(requests_in_window) + 52)
        self.assertGreater(len(retries), 100)

    def test_each_service_has_its_own_budget(self):
        """Guards against one failing service that uses up the retries of all services."""
        budget = repeats.RetryBudget(0.2, 20.0, 10.0)
        retries = sum(budget.try_spend("failing", 1, 1.0) for _ in range(1_000))
        self.assertLess(retries, 1_000)
        self.assertTrue(budget.try_spend("healthy", 1, 1.0))


class UsageTest(unittest.TestCase):
    def test_windows_follow_the_wall_clock(self):
        """Guards against counting requests in the wrong window, and against keeping old windows."""
        counts = usage.WindowCounts(5.0, max_windows=2)
        for at in (9.9, 10.0, 14.999, 15.0, 21.0):
            counts.record_start("film", at)
        self.assertEqual(counts.counts, {3: {"film": 1}, 4: {"film": 1}})

    def test_totals_include_every_organisation(self):
        """Guards against a usage report without the organisations that sent no requests."""
        reports = [{3: {"film": 2}}, {3: {"film": 1, "gone": 4}}, {4: {"film": 9}}]
        self.assertEqual(
            usage.total_counts(reports, 3, ["film", "cafe"]), {"film": 3, "cafe": 0, "gone": 4}
        )


if __name__ == "__main__":
    unittest.main()
