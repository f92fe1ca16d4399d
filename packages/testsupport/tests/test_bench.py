"""Tests of the benchmark's traces and of the figures computed from outcomes."""

import math
import unittest

from coltsfoothead.testsupport import benchfigures, benchtrace

TARGETS = benchfigures.Targets(1.0, 0.1, 0.5)
FIRST_ARRIVAL = (0.019713, "kiosk")


def outcome(kind="short", organisation="kiosk", tokens=11, first=0.5, last=1.0):
    """Returns an outcome that by default is within target."""
    return benchfigures.Outcome(kind, organisation, tokens, first, last)


class TraceTest(unittest.TestCase):
    def test_a_seed_gives_the_same_trace(self):
        """Guards against comparing policies or commits on different traces."""
        first = benchtrace.trace(7, "mixed", 5, 1000)
        self.assertEqual(first, benchtrace.trace(7, "mixed", 5, 1000))
        self.assertNotEqual(first, benchtrace.trace(8, "mixed", 5, 1000))
        self.assertNotEqual(first, benchtrace.trace(7, "wave", 5, 1000))
        self.assertEqual(
            benchtrace.flood(7, "hostel", 5, 1000), benchtrace.flood(7, "hostel", 5, 1000)
        )
        self.assertEqual(
            benchtrace.slowdowns(7, "mixed", 60, 9), benchtrace.slowdowns(7, "mixed", 60, 9)
        )

    def test_the_trace_does_not_change_between_processes(self):
        """Guards against a seed that depends on the hash seed of the process."""
        arrival = benchtrace.trace(1, "mixed", 5, 1000)[0]
        self.assertEqual((round(arrival.at, 6), arrival.organisation), FIRST_ARRIVAL)

    def test_the_offered_load_is_the_wanted_one(self):
        """Guards against a load of 1x that is not the capacity."""
        arrivals = benchtrace.trace(1, "mixed", 400, 1000)
        offered = sum(each.length for each in arrivals) / 400
        self.assertAlmostEqual(offered, 1000, delta=100)
        self.assertEqual(arrivals, sorted(arrivals, key=lambda each: each.at))
        kinds = {each.kind for each in arrivals}
        self.assertEqual(kinds, {*benchtrace.KINDS, "service"})
        self.assertEqual({each.organisation for each in arrivals}, set(benchtrace.ORGANISATIONS))


class FiguresTest(unittest.TestCase):
    def test_within_target(self):
        """Guards against late, slow or incomplete answers that count as good."""
        late = outcome(first=1.2, last=1.5)
        slow = outcome(first=0.5, last=1.6)
        lost = outcome(first=math.inf, last=math.inf)
        for bad in (late, slow, lost, outcome("service", last=0.6)):
            self.assertFalse(bad.meets(TARGETS), bad)
        for good in (outcome(), outcome("service", last=0.5), outcome(tokens=1, last=0.5)):
            self.assertTrue(good.meets(TARGETS), good)

    def test_lost_answers_count_as_infinite_in_the_percentile(self):
        """Guards against a p99 that improves because requests were refused."""
        answered = [outcome(last=0.6)] * 98
        lost = [outcome(last=math.inf)] * 2
        self.assertEqual(benchfigures.short_p99(answered + lost), math.inf)
        self.assertEqual(benchfigures.short_p99([*answered, outcome("long", last=9)]), 0.6)
        self.assertEqual(benchfigures.percentile(range(1, 101), 0.99), 99)

    def test_cost_and_goodput_count_model_requests_within_target(self):
        """Guards against service calls or late answers in the denominator of the cost."""
        outcomes = [outcome()] * 10 + [outcome("service", last=0.1)] * 5 + [outcome(first=2)] * 5
        cost = benchfigures.cost_per_thousand(outcomes, TARGETS, 18.0, 20.0)
        self.assertAlmostEqual(cost, 18.0 * 20 / 3600 / 10 * 1000)
        self.assertEqual(benchfigures.goodput(outcomes, TARGETS, 5), 2)

    def test_loss_ignores_the_flooding_organisation(self):
        """Guards against blaming the flood's own losses on fairness, or hiding the others'."""
        quiet = benchfigures.share_by_organisation(
            [outcome(), outcome(organisation="hostel")], TARGETS
        )
        flooded = benchfigures.share_by_organisation(
            [outcome()] * 3 + [outcome(first=2), outcome(organisation="hostel", first=2)], TARGETS
        )
        self.assertEqual(flooded, {"kiosk": 0.75, "hostel": 0.0})
        self.assertAlmostEqual(benchfigures.worst_loss(quiet, flooded, "hostel"), 25)

    def test_table_states_the_verdict_of_the_median(self):
        """Guards against a missed target that is printed as met."""
        runs = [
            [benchfigures.Figure(2, "ratio", value, 1.2), benchfigures.Figure(1, "cost", value)]
            for value in (1.1, 1.3, 1.5)
        ]
        self.assertEqual(
            benchfigures.table(benchfigures.spread(runs)).splitlines()[2:],
            [
                "| 1. cost | 1.3 | 1.1 - 1.5 |  |  |",
                "| 2. ratio | 1.3 | 1.1 - 1.5 | <= 1.2 | missed |",
            ],
        )
        self.assertEqual(benchfigures.Figure(5, "x", 0.96, 0.95, at_least=True).verdict, "met")
        self.assertEqual(benchfigures.Figure(5, "x", 0.9, 0.95, at_least=True).verdict, "missed")
        self.assertEqual(benchfigures.Figure(2, "x", math.nan, 1.2).verdict, "missed")
        self.assertEqual(benchfigures.Figure(2, "x", math.inf, 1.2).verdict, "missed")


if __name__ == "__main__":
    unittest.main()
