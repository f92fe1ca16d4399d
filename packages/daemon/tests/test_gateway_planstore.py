"""Tests of the hand-over of runner plans from one holder of the duties to the next."""

import unittest

from coltsfoothead.daemon.gateway import planstore
from coltsfoothead.kernel.traffic import demandmeter, document

SERVICE = document.Service(
    "model",
    300,
    document.Engine(48, 500_000, 5),
    document.Scaling(1, 6, 4.0, 0.15, {"a": 1.0, "b": 0.8}),
)


class PlanStoreTest(unittest.TestCase):
    def setUp(self):
        self.holder, self.next = planstore.PlanStore(), planstore.PlanStore()
        plan = self.holder.plan(SERVICE, 100.0)
        rates = demandmeter.DemandRates(40.0, 100_000.0, 5_000.0)
        for now in (100.0, 103.0):
            for order in plan.due_orders([], rates, now):
                plan.record_outcome(order, True, now)

    def test_the_next_holder_continues_with_the_orders_that_were_placed(self):
        """Guards against a new holder that waits, or releases runners that are still starting."""
        self.next.receive(self.holder.states(104.0), 104.0)
        self.assertTrue(self.next.take_over(105.0))
        state = self.next.plan(SERVICE, 105.0).state(105.0)
        before = self.holder.states(105.0)["model"]
        self.assertTrue(before.given)
        self.assertEqual(state.given, before.given)

    def test_old_states_are_not_used(self):
        """Guards against orders that follow from an outdated plan state."""
        self.next.receive(self.holder.states(104.0), 104.0)
        self.assertFalse(self.next.take_over(104.0 + planstore.STATE_MAX_AGE_SECONDS + 1))
        self.assertEqual(self.next.plan(SERVICE, 120.0).state(120.0).given, ())

    def test_a_holder_keeps_its_own_plans_if_they_are_newer(self):
        """Guards against falling back to an older plan state from another holder."""
        self.holder.receive(self.holder.states(90.0), 90.0)
        self.assertTrue(self.holder.take_over(104.0))
        self.assertTrue(self.holder.plan(SERVICE, 104.0).state(104.0).given)

    def test_a_changed_service_continues_its_plan(self):
        """Guards against scaling bounds from a document that is no longer in force."""
        changed = document.Service(
            "model",
            300,
            SERVICE.engine,
            document.Scaling(1, 2, 4.0, 0.15, {"a": 1.0, "b": 0.8}),
        )
        plan = self.holder.plan(changed, 104.0)
        self.assertEqual(plan.service, changed)
        self.assertTrue(plan.state(104.0).given)


if __name__ == "__main__":
    unittest.main()
