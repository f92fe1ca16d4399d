"""Tests of the runner plan in a simulated cloud that reclaims runners, without a network."""

import unittest

import cloud_simulation
import msgspec
import traffic_builders as builders

from coltsfoothead.kernel.traffic import demandmeter, runnercapacity, runnerplan, upstreams


class ReclaimTest(unittest.TestCase):
    def test_without_reclaims_all_runners_are_reclaimable(self):
        """Load pattern: steady demand, no reclaim; guards against paying the on-demand price."""
        cloud = cloud_simulation.Cloud()
        cloud.run(60, builders.demand(3))
        self.assertEqual(cloud.count(reclaimable=False), 0)
        self.assertGreaterEqual(cloud.count(), runnerplan.required_runners(builders.demand(3), 0.6))

    def test_after_the_loss_of_a_zone_the_rest_meets_the_demand(self):
        """Load pattern: steady demand, the reclaimable runners of one zone are reclaimed.

        Guards against too few runners in the other zones.
        """
        cloud = cloud_simulation.Cloud()
        cloud.run(30, builders.demand(3))
        cloud.reclaim("a", unavailable_seconds=15)
        fewest = cloud.run(15, builders.demand(3))
        self.assertGreaterEqual(fewest, 3)

    def test_consecutive_losses_of_all_zones_leave_some_runners(self):
        """Load pattern: all three zones are reclaimed within seconds and offer no replacements.

        Guards against a loss of all capacity before on-demand runners have started.
        """
        cloud = cloud_simulation.Cloud()
        cloud.run(30, builders.demand(3))
        for zone in "abc":
            cloud.reclaim(zone, unavailable_seconds=15)
            fewest = cloud.run(6, builders.demand(3))
        self.assertGreaterEqual(fewest, 3)
        cloud.run(5, builders.demand(3))
        self.assertGreaterEqual(cloud.count(), 4)

    def test_reclaimed_runners_are_ordered_again(self):
        """Guards against a plan that does not check whether the ordered runners are there."""
        cloud = cloud_simulation.Cloud()
        cloud.run(30, builders.demand(3))
        before = cloud.count(reclaimable=True)
        cloud.reclaim("b", unavailable_seconds=10)
        cloud.run(30, builders.demand(3))
        self.assertEqual(cloud.count(reclaimable=True), before)
        self.assertEqual(cloud.count(reclaimable=False), 0)

    def test_a_new_plan_keeps_the_serving_runners(self):
        """Guards against a plan without state that releases runners after a loss of all zones."""
        cloud = cloud_simulation.Cloud()
        cloud.run(30, builders.demand(3))
        for zone in "abc":
            cloud.reclaim(zone, unavailable_seconds=60)
        cloud.run(12, builders.demand(3))
        before = cloud.count()
        cloud.plan = runnerplan.RunnerPlan(builders.scaled_service())
        self.assertGreaterEqual(cloud.run(10, builders.demand(3)), min(before, 4))

    def test_a_new_plan_keeps_on_demand_runners_at_first(self):
        """Load pattern: the demand needs all runners while another process takes over the plan.

        Guards against a new leader that releases on-demand runners at peak demand; one released
        five.
        """
        cloud = cloud_simulation.Cloud()
        cloud.run(30, builders.demand(3))
        for zone in "ab":
            cloud.reclaim(zone, unavailable_seconds=60)
        cloud.run(12, builders.demand(4))
        before = cloud.count(reclaimable=False)
        self.assertGreater(before, 0)
        cloud.plan = runnerplan.RunnerPlan(builders.scaled_service())
        cloud.run(3, builders.demand(4))
        self.assertGreaterEqual(cloud.count(reclaimable=False), before)

    def test_the_loss_of_any_zone_needs_no_new_order(self):
        """Load pattern: steady demand; the zone with the most reclaimable runners is lost.

        Guards against target utilisations that only new runners would restore.
        """
        cloud = cloud_simulation.Cloud()
        cloud.run(30, builders.demand(3))
        most = max(cloud.count(zone, True) for zone in "abc")
        needed = runnerplan.required_runners(
            builders.demand(3), runnercapacity.INITIAL_LOAD_PER_RUNNER
        )
        self.assertGreaterEqual(cloud.count() - most, needed)

    def test_a_restored_plan_orders_without_delay(self):
        """Load pattern: two zones are reclaimed; in between, another process takes over the plan.

        Guards against a new leader that orders no runner for five seconds while the reclaimable
        runners of two zones are lost.
        """
        cloud = cloud_simulation.Cloud()
        cloud.run(30, builders.demand(3))
        cloud.reclaim("a", unavailable_seconds=60)
        cloud.run(2, builders.demand(3))
        state = cloud.plan.state(cloud.now)
        cloud.plan = runnerplan.RunnerPlan(builders.scaled_service(), state, cloud.now)
        cloud.reclaim("b", unavailable_seconds=60)
        runners = list(cloud.runners.values())
        orders = cloud.plan.due_orders(runners, builders.demand(3), cloud.now + 0.5)
        self.assertTrue(any(each.count > 0 and not each.reclaimable for each in orders))

    def test_the_state_survives_encoding_and_decoding(self):
        """Guards against a state that another process cannot decode or restore."""
        cloud = cloud_simulation.Cloud()
        cloud.run(10, builders.demand(3))
        state = cloud.plan.state(cloud.now)
        decoder = msgspec.msgpack.Decoder(runnerplan.PlanState)
        self.assertEqual(decoder.decode(msgspec.msgpack.encode(state)), state)
        plan = runnerplan.RunnerPlan(builders.scaled_service(), state, cloud.now)
        self.assertEqual(plan.state(cloud.now), state)

    def test_initial_runners_are_replaced_one_for_one(self):
        """Load pattern: heavy demand from the start; guards against too few runners at first."""
        cloud = cloud_simulation.Cloud()
        cloud.add_initial_runners(9)
        cloud.run(10, demandmeter.DemandRates())
        self.assertEqual((cloud.count(), cloud.count(reclaimable=False)), (9, 0))
        cloud.run(5, builders.demand(1))
        self.assertEqual(cloud.count(), 9)

    def test_initial_runners_that_are_announced_late_are_replaced_too(self):
        """Load pattern: heavy demand from the start, after a slow start of the control group.

        Guards against replacing too few: only four of nine runners were known to the first plan.
        """
        plan = runnerplan.RunnerPlan(builders.scaled_service())
        idle = demandmeter.DemandRates()
        known = [builders.upstream(f"i-{number}", zone) for number, zone in enumerate("abca")]
        plan.due_orders(known, idle, 10.0)
        for order in plan.due_orders(known, idle, 12.5):
            plan.record_outcome(order, True, 12.5)
        draining = [
            builders.upstream(f"i-{number}", zone, upstreams.State.DRAINING)
            for number, zone in enumerate("abcabcabc")
        ]
        orders = plan.due_orders(draining, idle, 13.0)
        self.assertEqual({(each.count, each.reclaimable) for each in orders}, {(3, True)})

    def test_on_demand_runners_are_replaced_by_reclaimable_ones(self):
        """Load pattern: heavy demand; all zones are reclaimed and later offer runners again.

        Guards against on-demand runners that are never released: twelve of them reached the maximum
        of each zone, so that no reclaimable ones could start.
        """
        cloud = cloud_simulation.Cloud()
        cloud.run(30, builders.demand(6))
        for zone in "abc":
            cloud.reclaim(zone, unavailable_seconds=10)
            cloud.run(1, builders.demand(6))
        cloud.run(12, builders.demand(6))
        self.assertGreaterEqual(cloud.count(reclaimable=False), 6)
        fewest = cloud.run(40, builders.demand(6))
        self.assertGreaterEqual(fewest, 6)
        self.assertEqual(cloud.count(reclaimable=False), 0)
        self.assertGreaterEqual(cloud.count(reclaimable=True), 12)

    def test_runners_are_kept_after_a_peak(self):
        """Load pattern: waves of callers; guards against releasing what the next wave needs."""
        cloud = cloud_simulation.Cloud()
        cloud.run(20, builders.demand(6))
        high = cloud.count()
        cloud.run(8, builders.demand(4))
        self.assertGreaterEqual(cloud.count(), high - 3)


class DrainingTest(unittest.TestCase):
    def test_draining_runners_do_not_count(self):
        """Guards against counting runners that have announced their end as capacity."""
        plan = runnerplan.RunnerPlan(builders.scaled_service())
        leaving = [
            builders.upstream(f"i-{number}", zone, upstreams.State.DRAINING, reclaimable=True)
            for number, zone in enumerate("abcabcabc")
        ]
        plan.due_orders(leaving, builders.demand(3), 10.0)
        orders = plan.due_orders(leaving, builders.demand(3), 12.5)
        self.assertTrue(any(order.count > 0 and not order.reclaimable for order in orders))


if __name__ == "__main__":
    unittest.main()
