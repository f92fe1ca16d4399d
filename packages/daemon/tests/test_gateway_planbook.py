"""Tests of the plans' way from one holder of the duty to the next."""

import unittest

from coltsfoothead.daemon.gateway import planbook
from coltsfoothead.kernel.traffic import demandmeter, document

SERVICE = document.Service(
    "model",
    300,
    document.Engine(48, 500_000, 5),
    document.Scaling(1, 6, 4.0, 0.15, {"a": 1.0, "b": 0.8}),
)


class PlanBookTest(unittest.TestCase):
    def setUp(self):
        self.holder, self.next = planbook.PlanBook(), planbook.PlanBook()
        plan = self.holder.plan(SERVICE, 100.0)
        rates = demandmeter.DemandRates(40.0, 100_000.0, 5_000.0)
        for now in (100.0, 103.0):
            for order in plan.due_orders([], rates, now):
                plan.record_outcome(order, True, now)

    def test_the_next_holder_goes_on_with_the_orders_that_were_given(self):
        """Guards against a new holder that waits, or gives back what is still starting."""
        self.next.receive(self.holder.states(104.0), 104.0)
        self.assertTrue(self.next.take_over(105.0))
        state = self.next.plan(SERVICE, 105.0).state(105.0)
        before = self.holder.states(105.0)["model"]
        self.assertTrue(before.given)
        self.assertEqual(state.given, before.given)

    def test_states_that_are_old_are_not_used(self):
        """Guards against orders by what was true long ago."""
        self.next.receive(self.holder.states(104.0), 104.0)
        self.assertFalse(self.next.take_over(104.0 + planbook.STATE_SECONDS + 1))
        self.assertEqual(self.next.plan(SERVICE, 120.0).state(120.0).given, ())

    def test_a_holder_keeps_its_own_plans_if_they_are_newer(self):
        """Guards against going back to what another holder said earlier."""
        self.holder.receive(self.holder.states(90.0), 90.0)
        self.assertTrue(self.holder.take_over(104.0))
        self.assertTrue(self.holder.plan(SERVICE, 104.0).state(104.0).given)

    def test_a_changed_service_gets_a_plan_that_goes_on(self):
        """Guards against bounds of a document that is no longer in force."""
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
