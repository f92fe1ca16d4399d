"""Tests of the attribution of crashes to prompt parts, on simulated time.

Load pattern: requests with one part, some a second, crash each upstream that begins their answers;
they share a first part with sound requests, and arrive at all entries.
"""

import unittest

import crash_simulation

from coltsfoothead.kernel.traffic import crashattribution, quarantine

# `contact_ms` of the platform's sites, and what its rule BUDGET allows after that.
CONTACT_SECONDS = 4.0
MAX_LATE_REQUESTS = 3
SEEDS = range(20)


def state(revision=1, remaining_seconds=30.0, strikes=1, released=False, part_id="p"):
    """Returns the state of a quarantine."""
    return quarantine.Quarantine(part_id, revision, remaining_seconds, strikes, released)


def report(*crashes, start_ages=None):
    """Returns a report of crashes, each given as part, upstream and age."""
    return quarantine.PartReport(
        tuple(quarantine.Crash(*crash) for crash in crashes), start_ages or {}
    )


class FleetTest(unittest.TestCase):
    def check_bound(self, fleet):
        """Checks that the parts were withheld in time, and that sound requests were not."""
        for part in fleet.bad_parts:
            late = fleet.bad_sent_late(part, 5, CONTACT_SECONDS)
            self.assertLessEqual(late, MAX_LATE_REQUESTS, f"crashes: {fleet.crashes[part]}")
            self.assertIn(part, fleet.culprits())
        self.assertNotIn("system", fleet.culprits())
        self.assertLess(fleet.refused, 0.02 * fleet.sent)

    def test_the_part_is_found_among_those_that_share_its_crashes(self):
        """Guards against entries that never learn which part crashes the upstreams (BUDGET)."""
        for seed in SEEDS:
            for rate in (0.5, 2.0, 5.0):
                with self.subTest(seed=seed, rate=rate):
                    fleet = crash_simulation.Fleet(seed)
                    fleet.run(5.0)
                    fleet.bad_per_second = rate
                    fleet.run(25.0)
                    self.check_bound(fleet)

    def test_several_parts_at_once(self):
        """Guards against a part that hides behind the crashes of another one."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                fleet = crash_simulation.Fleet(seed)
                fleet.bad_parts = ("bad", "worse", "worst")
                fleet.run(5.0)
                fleet.bad_per_second = 3.0
                fleet.run(25.0)
                self.check_bound(fleet)

    def test_many_entries_with_long_intervals(self):
        """Guards against a bound that holds on a small site only."""
        for seed in SEEDS[:5]:
            with self.subTest(seed=seed):
                fleet = crash_simulation.Fleet(seed, 60, 120, 0.5, sound_parts=800)
                fleet.run(5.0)
                fleet.bad_per_second = 3.0
                fleet.run(15.0)
                self.check_bound(fleet)

    def test_a_new_leader_goes_on_with_what_the_entries_know(self):
        """Guards against a change of leader after which the part reaches upstreams again."""
        for seed in SEEDS:
            for keeps_table in (True, False):
                with self.subTest(seed=seed, keeps_table=keeps_table):
                    fleet = crash_simulation.Fleet(seed)
                    fleet.run(3.0)
                    fleet.bad_per_second = 2.0
                    for _ in range(8):
                        fleet.run(fleet.rng.uniform(0.3, 3.0))
                        fleet.change_leader(keeps_table)
                    fleet.run(5.0)
                    self.check_bound(fleet)

    def test_entries_that_restart_or_are_cut_off(self):
        """Guards against an entry that sends the part after a restart or a cut."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                fleet = crash_simulation.Fleet(seed)
                fleet.run(3.0)
                fleet.bad_per_second = 2.0
                for _ in range(6):
                    fleet.run(2.0)
                    fleet.restart_entry(fleet.rng.randrange(6))
                    fleet.entries[fleet.rng.randrange(6)].cut_until = fleet.now + 1.5
                    # A new process learns the quarantines before it serves its first request.
                    fleet._exchange()
                self.check_bound(fleet)

    def test_upstreams_that_end_together_accuse_no_part(self):
        """Guards against withholding sound requests because their upstreams were reclaimed.

        Load pattern: a third of the upstreams end at once, again and again, and at last all do.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                fleet = crash_simulation.Fleet(seed)
                for _ in range(6):
                    fleet.run(4.0)
                    fleet.crash(list(fleet.upstreams)[:3])
                fleet.run(4.0)
                fleet.crash(list(fleet.upstreams))
                fleet.run(6.0)
                self.assertLess(fleet.refused, 0.02 * fleet.sent)
                self.assertNotIn("system", fleet.culprits())

    def test_a_part_is_served_again_once_it_no_longer_crashes(self):
        """Guards against withholding a part for good."""
        fleet = crash_simulation.Fleet(1)
        fleet.run(3.0)
        fleet.bad_per_second = 2.0
        fleet.run(10.0)
        part, fleet.bad_per_second = crash_simulation.BAD_PART, 0.0
        self.assertIn(part, fleet.culprits())
        self.assertFalse(fleet.attribution.grant_probe(part, fleet.now))
        fleet.run(crashattribution.FIRST_QUARANTINE_SECONDS)
        self.assertTrue(fleet.attribution.grant_probe(part, fleet.now))
        self.assertFalse(fleet.attribution.grant_probe(part, fleet.now), "one probe at a time")
        fleet.entries[0].observer.record_start(("system", part), fleet.now)
        fleet.run(1.0)
        for entry in fleet.entries:
            self.assertIsNone(entry.table.active((part,), fleet.now))


class QuarantineTableTest(unittest.TestCase):
    def setUp(self):
        self.table = quarantine.QuarantineTable()

    def test_an_older_state_does_not_return(self):
        """Guards against a stale report that withholds a part again after its release."""
        self.table.merge([state(2, 0.0, released=True)], 0.0)
        self.assertEqual(self.table.merge([state(1)], 1.0), [])
        self.assertIsNone(self.table.active(("p",), 1.0))
        self.assertEqual(self.table.merge([state(3, 60.0)], 1.0), [state(3, 60.0)])
        self.assertEqual(self.table.active(("x", "p"), 11.0).remaining_seconds, 50.0)

    def test_a_state_that_goes_to_and_fro_does_not_grow_longer(self):
        """Guards against a quarantine that each exchange extends by the delay of the message."""
        other = quarantine.QuarantineTable()
        self.table.merge([state()], 0.0)
        for step in range(200):
            now = step * 0.1
            other.merge(self.table.states(now), now + 0.02)
            self.table.merge(other.states(now + 0.02), now + 0.04)
        self.assertAlmostEqual(self.table.state("p", 20.0).remaining_seconds, 10.0)

    def test_the_number_of_states_is_bounded(self):
        """Guards against memory that callers can fill with parts."""
        for number in range(2 * quarantine.MAX_QUARANTINES):
            self.table.put(state(part_id=str(number)), 0.0)
        self.assertEqual(len(self.table.states(0.0)), quarantine.MAX_QUARANTINES)
        self.assertEqual(self.table.states(1000.0), ())


class CrashAttributionTest(unittest.TestCase):
    def setUp(self):
        self.table = quarantine.QuarantineTable()
        self.attribution = crashattribution.CrashAttribution(self.table)

    def evaluate(self, now, *crashes, **starts):
        """Records a report, waits until it counts, and returns the parts that are quarantined."""
        self.attribution.record(report(*crashes, start_ages=starts), now)
        changes = self.attribution.evaluate(now + crashattribution.SETTLE_SECONDS + 0.01)
        return [(each.part_id, each.released) for each in changes]

    def test_repeated_reports_count_once(self):
        """Guards against a quarantine after one crash that several reports repeat."""
        for step in range(10):
            crash = ("p", "u-1", 0.5 * step)
            self.assertEqual(self.evaluate(10 + 0.5 * step, crash, ("p", "u-2", 0.5 * step)), [])

    def test_a_failed_probe_doubles_the_quarantine(self):
        """Guards against probes that go on crashing upstreams at a constant rate."""
        crashes = [("p", f"u-{number}", 10.0 - number) for number in range(3)]
        self.assertEqual(self.evaluate(10.0, *crashes), [("p", False)])
        self.assertTrue(self.attribution.grant_probe("p", 60.0))
        self.assertEqual(self.evaluate(61.0, ("p", "u-9", 0.0)), [("p", False)])
        remaining = self.table.state("p", 61.61).remaining_seconds
        self.assertAlmostEqual(remaining, 2 * crashattribution.FIRST_QUARANTINE_SECONDS)
        self.assertFalse(self.attribution.grant_probe("p", 100.0))

    def test_an_answer_on_the_part_releases_it(self):
        """Guards against withholding a part although its requests in flight are answered."""
        crashes = [("p", f"u-{number}", 10.0 - number) for number in range(3)]
        self.assertEqual(self.evaluate(10.0, *crashes), [("p", False)])
        self.assertEqual(self.evaluate(11.0, p=0.0), [("p", True)])

    def test_more_parts_than_can_be_quarantined(self):
        """Guards against a leader that goes on exchanging one quarantined part for another."""
        for part in range(2 * quarantine.MAX_QUARANTINES):
            crashes = [(f"p-{part}", f"u-{part}-{each}", 10.0 - each) for each in range(3)]
            self.attribution.record(report(*crashes), 10.0)
        self.assertEqual(len(self.attribution.evaluate(11.0)), quarantine.MAX_QUARANTINES)
        self.assertEqual(self.attribution.evaluate(12.0), [])

    def test_inseparable_parts_are_quarantined_together(self):
        """Guards against waiting for ever if two parts occur in the same requests only."""
        for number in range(4):
            crashes = [("p", f"u-{number}", 0.0), ("q", f"u-{number}", 0.0)]
            found = self.evaluate(10.0 + number, *crashes)
        self.assertEqual(found, [("p", False), ("q", False)])


if __name__ == "__main__":
    unittest.main()
