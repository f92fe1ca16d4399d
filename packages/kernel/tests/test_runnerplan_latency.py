"""Tests of the runner plan on load patterns in which answers are late, without a network."""

import math
import unittest

import cloud_simulation
import traffic_builders as builders

from coltsfoothead.kernel.traffic import demandmeter, runnercapacity, runnerplan

SIX_ZONES = {"a": 1.0, "b": 0.8, "c": 1.25, "d": 0.9, "e": 1.1, "f": 1.0}
# Share of late answers that the objectives of the plan allow once it has had time to order runners.
ALLOWED_LATE_FRACTION = 0.1


def cloud(initial, speed, zones=SIX_ZONES, maximum=8):
    """Returns a cloud with idle initial runners and a plan that has replaced them."""
    simulated = cloud_simulation.Cloud(builders.scaled_service(maximum, zones), speed)
    simulated.add_initial_runners(initial)
    simulated.run(12, demandmeter.DemandRates())
    return simulated


class LatencyTest(unittest.TestCase):
    def test_a_load_that_the_runners_just_carry_keeps_them(self):
        """Load pattern: steady demand that 19 runners just carry, at 0.55 of the nominal speed.

        Guards against cutting runners by nominal rates while answers are late.
        """
        simulated = cloud(19, 0.55)
        demand = builders.demand(19 * 0.55 * 0.65)
        fewest = simulated.run(60, demand)
        self.assertGreaterEqual(fewest, 19)
        self.assertLess(simulated.late_fraction(30), ALLOWED_LATE_FRACTION)

    def test_an_engine_of_half_the_speed_gets_more_runners(self):
        """Load pattern: steady demand, runners of half the nominal speed.

        Guards against a number of runners that only fits the engine of one deployment.
        """
        simulated = cloud(6, 0.5, builders.ZONES)
        simulated.run(25, builders.demand(3))
        simulated.run(20, builders.demand(3))
        self.assertLess(simulated.late_fraction(20), ALLOWED_LATE_FRACTION)

    def test_zones_that_are_lost_in_turn_and_offer_nothing(self):
        """Load pattern: the reclaimable runners of all zones are lost within 20 s, none is offered.

        Guards against on-demand runners that are too few by nominal rates, at half the speed.
        """
        simulated = cloud(6, 0.5, builders.ZONES)
        simulated.run(20, builders.demand(2))
        for zone in "cba":
            simulated.reclaim(zone, unavailable_seconds=40)
            simulated.run(7, builders.demand(2))
        simulated.run(8, builders.demand(2))
        simulated.run(20, builders.demand(2))
        self.assertLess(simulated.late_fraction(20), ALLOWED_LATE_FRACTION)

    def test_falling_lateness_orders_nothing_more(self):
        """Load pattern: most answers were late; runners have come, but long streams end only now.

        Guards against ordering the same runners twice.
        """
        capacity = runnercapacity.RunnerCapacity(4.0)
        late_fractions = [0.0] * 10 + [0.45] * 8 + [0.45 * 0.9**step for step in range(15)]
        for step, late_fraction in enumerate(late_fractions):
            rates = demandmeter.DemandRates(finished=30.0, late=30.0 * late_fraction)
            capacity.update(5.0, 9 if step < 20 else 14, rates, 100.0 + 0.5 * step)
            if step == 17:
                after_first_step = capacity.load_per_runner
        self.assertLess(after_first_step, runnercapacity.INITIAL_LOAD_PER_RUNNER)
        self.assertGreaterEqual(capacity.load_per_runner, after_first_step)

    def test_losses_one_after_another_do_not_delay_orders(self):
        """Load pattern: full load at 0.6 of the nominal speed; a runner is lost every second.

        Guards against waiting for a settled number of runners while most answers are late.
        """
        simulated = cloud(24, 0.6)
        demand = builders.demand(24 * 0.6 * 0.5)
        simulated.run(20, demand)
        for zone in SIX_ZONES:
            simulated.unavailable_until[zone] = simulated.now + 60
        for name in list(simulated.runners)[:12]:
            del simulated.runners[name]
            simulated.run(1, demand)
        simulated.run(8, demand)
        simulated.run(10, demand)
        self.assertLess(simulated.late_fraction(10), ALLOWED_LATE_FRACTION)

    def test_two_zones_that_are_lost_at_once_after_a_third_leave_half(self):
        """Load pattern: one zone is reclaimed, 6 s later the two others within half a second.

        Guards against no runner at all for the boot time of the on-demand ones (incident inc-1d85).
        """
        simulated = cloud(6, 1.0, builders.ZONES)
        simulated.run(20, builders.demand(2))
        simulated.reclaim("c", unavailable_seconds=30)
        simulated.run(6, builders.demand(2))
        simulated.reclaim("a", unavailable_seconds=30)
        simulated.run(0.5, builders.demand(2))
        simulated.reclaim("b", unavailable_seconds=30)
        needed = runnerplan.required_runners(
            builders.demand(2), runnercapacity.RunnerCapacity(4.0).strained_load_per_runner
        )
        self.assertGreaterEqual(simulated.run(6, builders.demand(2)), needed / 2)

    def test_a_dry_zone_is_replaced_by_the_other_zones(self):
        """Load pattern: one of six zones is reclaimed and offers no runners for a minute.

        Guards against on-demand runners while other zones still offer reclaimable ones.
        """
        simulated = cloud(18, 1.0)
        demand = builders.demand(8)
        simulated.run(20, demand)
        simulated.reclaim("b", unavailable_seconds=60, everywhere=False)
        simulated.run(20, demand)
        self.assertEqual(simulated.count(reclaimable=False), 0)
        surviving = simulated.count() - max(simulated.count(zone) for zone in SIX_ZONES)
        needed = runnerplan.required_runners(demand, runnercapacity.INITIAL_LOAD_PER_RUNNER)
        self.assertGreaterEqual(surviving, needed)

    def test_a_wave_that_ends_releases_runners_step_by_step(self):
        """Load pattern: a wave that doubles the demand for 10 s; guards against sudden cuts."""
        simulated = cloud(9, 1.0, builders.ZONES)
        simulated.run(20, builders.demand(3))
        simulated.run(10, builders.demand(6))
        high = simulated.count()
        counts = []
        for _ in range(12):
            simulated.run(5, builders.demand(3))
            counts.append(simulated.count())
        for before, after in zip([high, *counts], counts, strict=False):
            step = math.ceil(runnerplan.RECLAIMABLE_RELEASE_FRACTION * before)
            self.assertLessEqual(before - after, step)
        self.assertLess(counts[-1], high)

    def test_no_runner_is_released_while_answers_are_late(self):
        """Load pattern: a peak is over, but answers are late for another reason.

        Guards against releasing runners before it is known whether the rest suffices.
        """
        simulated = cloud(9, 1.0, builders.ZONES)
        simulated.run(10, builders.demand(6))
        high = simulated.count(reclaimable=True)
        simulated.speed = 0.01
        self.assertGreaterEqual(simulated.run(60, builders.demand(1)), high)

    def test_runners_that_answer_late_at_any_load_are_bounded(self):
        """Load pattern: all answers are late for another reason than the number of runners.

        Guards against orders that grow without end.
        """
        simulated = cloud(6, 0.01, builders.ZONES, maximum=30)
        simulated.run(90, builders.demand(3))
        self.assertLessEqual(simulated.count(reclaimable=True), 3 * 8)
        self.assertEqual(simulated.count(reclaimable=False), 0)


if __name__ == "__main__":
    unittest.main()
