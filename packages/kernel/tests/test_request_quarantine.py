"""Tests of the attribution of crashes to single requests, on simulated time.

Load pattern: callers repeat requests that crash each upstream of a small plain service, at all
entries, beside sound requests that run on the same upstreams and are repeated beside them.
"""

import unittest

import request_crash_simulation

from coltsfoothead.kernel.traffic import quarantine

# `contact_ms` of the platform's sites, and what its rule BUDGET allows after that.
CONTACT_SECONDS = 4.0
CRASH_COUNT = 3
MAX_LATE_ARRIVALS = 3
SEEDS = range(10)


class PlainFleetTest(unittest.TestCase):
    def check_bound(self, fleet):
        """Checks that the requests were withheld in time, and that sound ones were not."""
        for name in map(quarantine.request_part_id, fleet.bad):
            late = fleet.late_arrivals(name, CRASH_COUNT, CONTACT_SECONDS)
            self.assertLessEqual(late, MAX_LATE_ARRIVALS, f"crashes: {fleet.crashes.get(name)}")
        self.assertLessEqual(fleet.refused, 0.01 * fleet.sent)

    def test_a_repeated_request_is_withheld(self):
        """Guards against entries that never learn which request crashes the upstreams (BUDGET)."""
        for seed in SEEDS:
            for rate in (0.3, 1.0, 5.0):
                with self.subTest(seed=seed, rate=rate):
                    fleet = request_crash_simulation.PlainFleet(seed)
                    fleet.run(3.0)
                    fleet.bad_per_second = rate
                    fleet.run(80.0)
                    self.check_bound(fleet)
                    self.assertIn(quarantine.request_part_id("bad"), fleet.culprits())

    def test_several_requests_at_once(self):
        """Guards against a request that hides behind the crashes of another one."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                fleet = request_crash_simulation.PlainFleet(seed, upstreams=6)
                fleet.bad = ("bad", "worse", "worst")
                fleet.run(3.0)
                fleet.bad_per_second = 3.0
                fleet.run(60.0)
                self.check_bound(fleet)

    def test_many_entries_with_long_intervals(self):
        """Guards against a bound that holds on a small site only."""
        for seed in SEEDS[:5]:
            with self.subTest(seed=seed):
                fleet = request_crash_simulation.PlainFleet(seed, 80, 12, 0.4)
                fleet.run(3.0)
                fleet.bad_per_second = 3.0
                fleet.run(40.0)
                self.check_bound(fleet)

    def test_a_new_leader_and_restarted_entries(self):
        """Guards against a change of leader, or a new process, that sends the request again."""
        for seed in SEEDS:
            for keeps_table in (True, False):
                with self.subTest(seed=seed, keeps_table=keeps_table):
                    fleet = request_crash_simulation.PlainFleet(seed)
                    fleet.run(3.0)
                    fleet.bad_per_second = 2.0
                    for _ in range(8):
                        fleet.run(fleet.rng.uniform(0.3, 3.0))
                        fleet.change_leader(keeps_table)
                        fleet.restart_entry(fleet.rng.randrange(6))
                    fleet.run(20.0)
                    self.check_bound(fleet)

    def test_upstreams_that_end_for_other_reasons_accuse_no_request(self):
        """Guards against withholding requests that were at upstreams which ended one by one."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                fleet = request_crash_simulation.PlainFleet(seed)
                for _ in range(10):
                    fleet.run(3.2)
                    for name in list(fleet.upstreams)[:2]:
                        fleet.crash(name)
                        fleet.run(0.15)
                self.assertLessEqual(fleet.refused, 0.01 * fleet.sent)


if __name__ == "__main__":
    unittest.main()
