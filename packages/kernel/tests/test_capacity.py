"""Tests of the capacity planner, its lower bound, role changes, weight loads, reclaim and SLO."""

import collections
import dataclasses
import random
import unittest

import hypothesis
from hypothesis import strategies

from coltsfoothead.kernel.capacity import bound, offers, planner, roles, starts, weightloads
from coltsfoothead.kernel.reclaim import leasttokens
from coltsfoothead.kernel.slo import burn

_CHEAP = {zone: offers.Offer(zone, "a", True, 1.0 + 0.1 * int(zone[1]), 100.0) for zone in
          ("z1", "z2", "z3")}  # fmt: skip
_ON_DEMAND = offers.Offer("z1", "a", False, 3.0, 100.0)
_OFFERS = {"m": (*_CHEAP.values(), _ON_DEMAND)}
_DEMAND = planner.Demand("m", 500.0, 0.8)
_STATE = planner.VmState


def _vm(start, state=_STATE.RUNNING):
    name = f"vm-{start.client_token}"
    return planner.Vm(name, start.client_token, start.offer, start.model, state)


def _counts(vms):
    return collections.Counter(vm.offer for vm in vms if vm.state is not _STATE.LEAVING)


class PlannerTest(unittest.TestCase):
    def _running(self, policy, demands=(_DEMAND,), now=0.0):
        return [_vm(start) for start in policy.plan(demands, _OFFERS, [], now).starts]

    def test_the_plan_survives_any_zone_without_on_demand(self):
        """Guards against a mix whose important share is lost with one zone."""
        vms = self._running(planner.CapacityPlanner(7))
        self.assertTrue(offers.covers_demand(_counts(vms), 550.0, 400.0))
        self.assertNotIn(_ON_DEMAND, _counts(vms))

    def test_nothing_is_bought_twice(self):
        """Guards against buying VMs twice after a restart or a lost answer."""
        first = planner.CapacityPlanner(7)
        ordered = first.plan([_DEMAND], _OFFERS, [], 0.0).starts
        self.assertEqual(first.plan([_DEMAND], _OFFERS, [], 1.0).starts, ordered)
        listed = [_vm(start, _STATE.STARTING) for start in ordered]
        self.assertEqual(first.plan([_DEMAND], _OFFERS, listed, 2.0).starts, ())
        successor = planner.CapacityPlanner(8)
        self.assertEqual(successor.plan([_DEMAND], _OFFERS, listed, 3.0).starts, ())
        same_fence = planner.CapacityPlanner(7)
        more = same_fence.plan([dataclasses.replace(_DEMAND, tokens_per_second=900.0)], _OFFERS,
                               listed, 3.0).starts  # fmt: skip
        self.assertFalse({each.client_token for each in more} & {v.client_token for v in listed})

    def test_an_accepted_start_that_vanishes_is_replaced(self):
        """Guards against counting an accepted start that the VM list never shows."""
        policy = planner.CapacityPlanner(7)
        ordered = policy.plan([_DEMAND], _OFFERS, [], 0.0).starts
        for start in ordered:
            policy.record_accepted(start, 0.0)
        later = policy.plan([_DEMAND], _OFFERS, [], 300.0).starts
        self.assertEqual(len(later), len(ordered))
        self.assertFalse({s.client_token for s in later} & {s.client_token for s in ordered})

    def test_a_leaving_zone_is_replaced_before_the_notice_ends(self):
        """Guards against ordering replacements only after a reclaim notice has ended."""
        policy = planner.CapacityPlanner(7)
        vms = [
            dataclasses.replace(vm, state=_STATE.LEAVING) if vm.offer.zone == "z1" else vm
            for vm in self._running(policy)
        ]
        replaced = policy.plan([_DEMAND], _OFFERS, vms, 1.0).starts
        held = _counts(vms) + collections.Counter(start.offer for start in replaced)
        self.assertTrue(offers.covers_demand(held, 550.0, 400.0))

    def test_refused_starts_go_elsewhere_and_return_to_cheap(self):
        """Guards against retrying a refusing zone at once, and against keeping on-demand VMs."""
        policy, rng = planner.CapacityPlanner(7), random.Random(1)
        vms, now = [], 0.0
        for _ in range(10):
            for start in policy.plan([_DEMAND], _OFFERS, vms, now).starts:
                if start.offer.reclaimable and start.offer.zone != "z2":
                    policy.record_refused(start, now, rng)
                else:
                    vms.append(_vm(start))
        self.assertTrue(offers.covers_demand(_counts(vms), 550.0, 400.0))
        self.assertIn(_ON_DEMAND, _counts(vms))
        for now in (700.0, 701.0, 900.0, 1_100.0):
            plan = policy.plan([_DEMAND], _OFFERS, vms, now)
            drained = {drain.vm for drain in plan.drains}
            vms = [vm for vm in vms if vm.vm not in drained]
            self.assertTrue(offers.covers_demand(_counts(vms), 550.0, 400.0))
            vms += [_vm(start) for start in plan.starts]
        self.assertNotIn(_ON_DEMAND, _counts(vms))

    def test_a_shortfall_is_reported_and_capacity_kept(self):
        """Guards against an unreported shortfall, and against draining the remaining VMs."""
        one_zone = {"m": (_CHEAP["z1"],)}
        plan = planner.CapacityPlanner(7).plan([_DEMAND], one_zone, [], 0.0)
        self.assertEqual(plan.shortfalls[0].model, "m")
        self.assertEqual((len(plan.starts), plan.drains), (6, ()))

    @hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["z1", "z2", "z3", "z4"]),
                strategies.floats(0.5, 5.0),
                strategies.floats(50.0, 400.0),
            ),
            min_size=2,
            max_size=6,
            unique_by=lambda each: each[0],
        ),
        strategies.floats(10.0, 3_000.0),
        strategies.floats(0.0, 1.0),
    )
    def test_no_mix_is_cheaper_than_the_bound(self, kinds, demand, share):
        """Guards against a bound above the lowest possible cost, which flatters the planner."""
        known = [offers.Offer(zone, "a", True, price, speed) for zone, price, speed in kinds]
        found = offers.candidate_mixes(
            [offers.PricedVms(each, 1e9, each.price_per_hour) for each in known],
            demand,
            demand * share,
        )
        trace = [bound.Interval(3_600.0, {"m": demand}, {"m": known}, share)]
        lowest = bound.lower_bound(trace)
        self.assertTrue(found)
        for mix in found:
            self.assertTrue(offers.covers_demand(mix, demand, demand * share))
            cost = sum(offer.price_per_hour * count for offer, count in mix.items())
            self.assertGreaterEqual(cost, lowest * (1 - 1e-9))


class OrdersTest(unittest.TestCase):
    def test_backoff_grows_and_ends(self):
        """Guards against retrying a refused start at once, or never again."""
        backoff, rng = starts.StartBackoff(), random.Random(1)
        waits = [backoff.record_refused("k", 0.0, rng) for _ in range(12)]
        self.assertTrue(2.5 <= waits[0] <= 5.0)
        self.assertTrue(300.0 <= waits[-1] <= 600.0)
        self.assertTrue(backoff.is_blocked("k", 299.0))
        self.assertFalse(backoff.is_blocked("k", 601.0))

    def test_roles_change_by_drain_in_one_zone(self):
        """Guards against ordering a busy upstream, and against draining two zones at once."""
        fleet = [roles.UpstreamRole(f"u{i}", f"z{i % 2}", "v1", False, 3) for i in range(8)]
        wanted = {each.upstream: "v2" for each in fleet}
        steps = roles.next_steps(fleet, wanted, 9)
        self.assertEqual(steps, (roles.StopNewWork("u0"), roles.StopNewWork("u2")))
        fleet[0] = roles.UpstreamRole("u0", "z0", "v1", True, 0)
        fleet[2] = roles.UpstreamRole("u2", "z0", "v1", True, 1)
        self.assertEqual(roles.next_steps(fleet, wanted, 9), (roles.AssignRole("u0", "v2", 9),))
        fleet[0] = roles.UpstreamRole("u0", "z0", "v2", True, 0)
        self.assertEqual(roles.next_steps(fleet, wanted, 9), (roles.Resume("u0"),))

    def test_loads_are_ordered_by_demand_per_byte(self):
        """Guards against a large model with little demand delaying the others."""
        loads = [
            weightloads.WeightLoad("a", "big", 1_000.0, 50.0),
            weightloads.WeightLoad("b", "small", 100.0, 40.0),
            weightloads.WeightLoad("c", "begun", 500.0, 1.0, started=True),
        ]
        plan = weightloads.schedule(loads, 100.0, 10.0)
        self.assertEqual([each.load.model for each in plan], ["begun", "small", "big"])
        self.assertEqual([each.ends_at for each in plan], [15.0, 16.0, 26.0])


class ReclaimTest(unittest.TestCase):
    def test_actions_minimise_recomputed_tokens(self):
        """Guards against aborted streams, and against exports slower than the prefill."""
        base = leasttokens.LeavingStream("s", 1_000, 1_000.0, 0.03, 0.001, 1e6, 1e7)
        streams = [
            dataclasses.replace(base, stream="ends", remaining_tokens=100.0),
            dataclasses.replace(base, stream="export"),
            dataclasses.replace(base, stream="far", link_bytes_per_second=0.0),
            dataclasses.replace(base, stream="slow", kv_bytes=2e7, context_tokens=1_900),
        ]
        self.assertEqual(
            leasttokens.plan_streams(streams, 10.0),
            (
                leasttokens.ExportKv("export"),
                leasttokens.Move("slow", 1_900),
                leasttokens.Move("far", 1_000),
                leasttokens.Finish("ends"),
            ),
        )
        crowded = [dataclasses.replace(base, stream=str(i), kv_bytes=5e6) for i in range(20)]
        actions = leasttokens.plan_streams(crowded, 3.0)
        exports = [each for each in actions if isinstance(each, leasttokens.ExportKv)]
        self.assertEqual((len(exports), len(actions)), (5, 20))


class BurnTest(unittest.TestCase):
    def test_alerts_need_both_windows(self):
        """Guards against an alert for a short failure, and one that outlasts its cause."""
        meter = burn.BurnMeter(0.99)
        now = 0.0
        alerts = []
        for minute in range(420):
            now = minute * 60.0
            meter.record("o", 20 if 120 <= minute < 180 else 100, 100, now)
            (report,) = meter.report(now)
            alerts.append({alert.kind for alert in report.alerts})
        self.assertEqual(alerts[119], set())
        self.assertNotIn(burn.AlertKind.FAST, alerts[122])
        self.assertIn(burn.AlertKind.FAST, alerts[150])
        self.assertNotIn(burn.AlertKind.FAST, alerts[190])
        self.assertIn(burn.AlertKind.SLOW, alerts[179])
        self.assertAlmostEqual(report.budget_left, 1 - (60 * 80) / (420 * 100) / 0.01)
        (idle,) = meter.report(now + 7 * 3_600.0)
        self.assertEqual([window.total for window in idle.windows], [0, 0, 0, 0])

    def test_memory_is_bounded(self):
        """Guards against keeping a ring buffer for every organisation name."""
        meter = burn.BurnMeter(0.99)
        for number in range(400):
            meter.record(f"o{number}", 1, 1, 0.0)
        reports = meter.report(0.0)
        self.assertEqual(len(reports), 256)
        self.assertEqual(sum(each.windows[0].total for each in reports), 400)
