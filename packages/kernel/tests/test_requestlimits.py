"""Tests of the limits that upstreams name, on simulated time.

Load pattern: upstreams that are asked several times a second by all entries name about one request
a second, some at once, for many seconds, and then no longer do.
"""

import unittest

import limit_simulation

from coltsfoothead.kernel.traffic import requestlimits

# `contact_ms` of the platform's sites; the rule LIMIT allows 1.5 times the rate, and 5 requests.
CONTACT_SECONDS = 4.0
WINDOW_SECONDS = 4.0
SEEDS = range(12)


def named(rate=1.0, age_seconds=0.0, upstream_id="u"):
    """Returns what an answer of an upstream said."""
    return requestlimits.NamedLimit(upstream_id, rate, age_seconds)


class FleetTest(unittest.TestCase):
    def check_limits(self, fleet, since):
        """Checks that each upstream got no more than it named."""
        for name, rate in fleet.rates.items():
            allowed = 1.5 * rate * WINDOW_SECONDS + 5
            self.assertLessEqual(fleet.most_in_window(name, since), allowed, name)

    def test_the_entries_together_keep_several_limits(self):
        """Guards against entries that each send at the rate meant for all of them (LIMIT)."""
        for seed in SEEDS:
            for rate in (0.0, 0.3, 1.1, 2.5, 6.0):
                with self.subTest(seed=seed, rate=rate):
                    fleet = limit_simulation.Fleet(seed)
                    fleet.run(3.0)
                    fleet.rates = {"u-0": rate, "u-4": rate, "u-8": 1.0}
                    fleet.run(CONTACT_SECONDS)
                    since = fleet.now
                    fleet.run(40.0)
                    self.check_limits(fleet, since)
                    self.assertEqual(fleet.turned_away, 0)
                    used = sum(at >= since for at in fleet.arrivals["u-0"])
                    self.assertGreaterEqual(used, 0.5 * min(rate, 6.0) * 40.0)

    def test_many_entries_with_long_intervals(self):
        """Guards against a burst of each of many entries."""
        for seed in SEEDS[:3]:
            with self.subTest(seed=seed):
                fleet = limit_simulation.Fleet(seed, 90, 60, 0.5, 300.0)
                fleet.run(3.0)
                fleet.rates = {f"u-{number}": 1.2 for number in range(10)}
                fleet.run(CONTACT_SECONDS)
                since = fleet.now
                fleet.run(20.0)
                self.check_limits(fleet, since)

    def test_changes_of_the_leader_and_of_entries(self):
        """Guards against limits that are forgotten, or given out twice, beside other faults."""
        for seed in SEEDS:
            for keeps_table in (True, False):
                with self.subTest(seed=seed, keeps_table=keeps_table):
                    fleet = limit_simulation.Fleet(seed)
                    fleet.run(3.0)
                    fleet.rates = {"u-0": 1.0, "u-5": 1.2}
                    fleet.run(CONTACT_SECONDS)
                    since = fleet.now
                    for _ in range(10):
                        fleet.run(fleet.rng.uniform(0.5, 4.0))
                        fleet.change_leader(keeps_table)
                        fleet.restart_entry(fleet.rng.randrange(6))
                        cut = fleet.entries[fleet.rng.randrange(6)]
                        cut.cut_until = fleet.now + fleet.rng.uniform(1.0, 6.0)
                    fleet.run(5.0)
                    self.check_limits(fleet, since)

    def test_an_upstream_without_a_limit_is_used_again(self):
        """Guards against withholding requests from an upstream after its need."""
        for seed in SEEDS:
            for rate in (0.0, 1.0):
                with self.subTest(seed=seed, rate=rate):
                    fleet = limit_simulation.Fleet(seed)
                    fleet.run(3.0)
                    fleet.rates = {"u-0": rate}
                    fleet.run(15.0)
                    fleet.rates = {}
                    fleet.run(10.0)
                    since = fleet.now
                    fleet.run(10.0)
                    used = sum(at >= since for at in fleet.arrivals["u-0"])
                    self.assertGreaterEqual(used, 0.7 * 10.0 * fleet.per_second / 9)

    def test_all_upstreams_with_a_limit(self):
        """Guards against entries that refuse everything, or forget the limits, under a limit."""
        fleet = limit_simulation.Fleet(1)
        fleet.run(3.0)
        fleet.rates = dict.fromkeys(fleet.zones, 2.0)
        fleet.run(CONTACT_SECONDS)
        since = fleet.now
        fleet.run(20.0)
        self.check_limits(fleet, since)
        served = sum(at >= since for times in fleet.arrivals.values() for at in times)
        self.assertGreaterEqual(served, 0.8 * 20.0 * 9 * 2.0)


class LimitTableTest(unittest.TestCase):
    def setUp(self):
        self.table = requestlimits.LimitTable()

    def test_a_stale_report_does_not_bring_a_limit_back(self):
        """Guards against the report of an entry that was cut off while the need ended."""
        self.table.merge([named(1.0)], 0.0)
        self.table.record("u", None, 5.0)
        self.table.merge([named(1.0, 6.0)], 6.0)
        self.assertIsNone(self.table.rate("u"))

    def test_what_goes_to_and_fro_does_not_become_newer(self):
        """Guards against a limit that is kept for ever by messages about it."""
        other = requestlimits.LimitTable()
        self.table.merge([named(1.0)], 0.0)
        now = 0.0
        while now < requestlimits.RETENTION_SECONDS + 5:
            other.merge(self.table.limits(now), now + 0.05)
            self.table.merge(other.limits(now + 0.05), now + 0.1)
            now += 0.2
        self.assertIsNone(self.table.rate("u"))

    def test_of_answers_at_the_same_time_the_stricter_one_holds(self):
        """Guards against an answer from before the need that arrives after the first limit."""
        self.table.merge([named(1.0)], 0.0)
        self.table.merge([named(None)], 0.1)
        self.assertEqual(self.table.rate("u"), 1.0)
        self.table.merge([named(None)], 1.0)
        self.assertIsNone(self.table.rate("u"))

    def test_an_answer_without_a_limit_costs_no_memory(self):
        """Guards against one entry in the table per upstream that never named a limit."""
        self.assertFalse(self.table.record("u", None, 0.0))
        self.assertEqual(self.table.limits(0.0), ())


class DivideTest(unittest.TestCase):
    def test_the_shares_add_up_to_the_rate(self):
        """Guards against more requests than named, and against shares below one a second."""
        zones = {f"e-{number}": f"z-{number % 3}" for number in range(20)}
        for rate in (0.0, 0.4, 1.0, 3.7, 50.0):
            shares = requestlimits.divide(named(rate), "z-1", zones, 7.0)
            expected = max(rate, requestlimits.PROBE_RATE_PER_SECOND)
            self.assertAlmostEqual(sum(shares.values()), expected)
            self.assertEqual(len(shares), max(1, min(20, int(rate))))
        self.assertEqual(requestlimits.divide(named(None), "z-1", zones, 7.0), {})
        self.assertEqual(requestlimits.divide(named(1.0), "z-1", {}, 7.0), {})

    def test_entries_of_other_zones_get_their_turn(self):
        """Guards against never hearing of the end of a need behind a cut of one zone."""
        zones = {f"e-{number}": f"z-{number % 3}" for number in range(6)}
        chosen = [
            zones[entry]
            for period in range(40)
            for entry in requestlimits.divide(
                named(1.0), "z-1", zones, period * requestlimits.ROTATION_SECONDS
            )
        ]
        self.assertGreaterEqual(chosen.count("z-1"), 20)
        self.assertGreater(len(chosen) - chosen.count("z-1"), 5)


if __name__ == "__main__":
    unittest.main()
