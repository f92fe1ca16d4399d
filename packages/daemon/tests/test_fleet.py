"""Tests of the fleet's owner against the fake cloud and engine, on a clock of the test."""

import asyncio
import time
import unittest

import fleet_builders

from coltsfoothead.coordination.lease import commands
from coltsfoothead.daemon.control import leases
from coltsfoothead.daemon.http import client
from coltsfoothead.testsupport import engine, webclient


class FleetTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):  # noqa: N802
        self.world = await self.enterAsyncContext(fleet_builders.world())
        self.lease = fleet_builders.Lease()

    def markets(self):
        return sorted((vm.zone, vm.market) for vm in self.world.live)

    async def test_the_cheapest_two_zones_are_bought_once(self):
        """Guards against purchases that repeat, and against a model within one zone only."""
        fleet = self.world.owner(self.lease)
        await self.world.steps(fleet, 20)
        cheapest = [("away-a", "reclaimable"), ("home-b", "reclaimable")]
        self.assertEqual(self.markets(), cheapest)
        tokens = [vm.client_token for vm in self.world.live]
        self.assertEqual(tokens, ["7-1-small", "7-2-small"])
        shown = fleet.holdings()
        self.assertEqual([each.model for each in shown], ["small", "small"])

    async def test_a_lost_answer_buys_once(self):
        """Guards against a second VM after the answer to a start was lost."""
        await self.world.control(lose_start_answers=2)
        await self.world.steps(self.world.owner(self.lease), 20)
        self.assertEqual(len(self.world.cloud.vms), 2)

    async def test_a_successor_waits_for_what_the_list_does_not_show(self):
        """Guards against a double purchase while the list lags behind the last holder's start."""
        self.world.announced = False
        await self.world.control(list_delay_ms=4500)
        first = self.world.owner(self.lease)
        while not self.world.cloud.vms:
            await self.world.steps(first, 2)
        self.assertEqual(len(self.world.cloud.vms), 2)
        await self.world.steps(self.world.owner(fleet_builders.Lease(9)), 20)
        self.assertEqual(len(self.world.cloud.vms), 2)

    async def test_no_start_with_too_little_of_the_lease_left(self):
        """Guards against a start that reaches the cloud after the lease ended."""
        fleet = self.world.owner(self.lease)
        await fleet.step()
        self.lease.seconds = 1.5
        await self.world.steps(fleet, 20)
        self.assertEqual(self.world.cloud.starts, [])

    async def test_no_start_if_the_lease_ends_while_connecting(self):
        """Guards against a start of a process that was suspended between check and write."""

        class Suspended(client.Client):
            async def send(inner, address, request, *arguments, **options):  # noqa: N805
                if request.method == "POST":
                    self.lease.seconds = 0.0
                return await super().send(address, request, *arguments, **options)

        self.world.client = Suspended(2.0)
        await self.world.steps(self.world.owner(self.lease), 10)
        self.assertEqual((self.lease.seconds, self.world.cloud.starts), (0.0, []))

    async def test_refusals_move_to_other_offers_and_back(self):
        """Guards against a fleet that stays short after refusals, or stays dear after them."""
        await self.world.control(refuse={"market": "reclaimable"})
        fleet = self.world.owner(self.lease)
        await self.world.steps(fleet, 10)
        self.assertEqual(self.markets(), [("away-a", "on_demand"), ("home-a", "on_demand")])
        await self.world.control(allow_all=True)
        await self.world.steps(fleet, 40)
        self.world.serving = False  # the drained upstreams have unloaded their model
        await self.world.steps(fleet, 10)
        self.assertEqual(self.markets(), [("away-a", "reclaimable"), ("home-b", "reclaimable")])

    async def test_a_wave_is_replaced_before_the_notice_ends(self):
        """Guards against a replacement that waits until the VMs are gone."""
        fleet = self.world.owner(self.lease)
        await self.world.steps(fleet, 10)
        await self.world.control(wave={"zone": "away-a", "seconds": 10})
        await self.world.control(refuse={"zone": "away-a"})
        await self.world.steps(fleet, 2)
        self.assertEqual(len(self.world.live), 3)
        shown = {each.vm.zone: each.reclaim_seconds for each in fleet.holdings()}
        self.assertAlmostEqual(shown["away-a"], 8.0, delta=0.1)

    async def test_the_budget_is_never_exceeded(self):
        """Guards against purchases beyond the cost or the count, and against repeated log lines."""
        for budget, counted in (("hourly_cost = 0.7", 1), ("max_vms = 3", 2)):
            self.world.budget = f"[budget]\n{budget}\n"
            self.world.load = 30
            fleet = self.world.owner(self.lease)
            await self.world.steps(fleet, 60, self.check_budget)
            reasons = [(each.model, each.reason) for each in fleet.shortfalls]
            self.assertEqual(reasons, [("small", "budget")])
            self.assertEqual(self.world.metrics.counters["fleet_shortfalls_budget"], counted)
            self.lease.fence += 1

    def check_budget(self):
        budget = self.world.document().budget
        self.assertLessEqual(self.world.hourly_cost, budget.hourly_cost)
        self.assertLessEqual(len(self.world.live), budget.max_vms)


class FaultTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_fault_of_the_plan_does_not_end_the_task(self):
        """Guards against a fault that stops one daemon after the other."""
        async with fleet_builders.world() as world:
            world.document = lambda: 1 / 0
            fleet = world.owner(fleet_builders.Lease(), plan_seconds=0.001)
            with self.assertLogs("absl", "ERROR") as logs:
                task = asyncio.ensure_future(fleet.run())
                while world.metrics.counters.get("fleet_steps_failed", 0) < 3 and not task.done():
                    await asyncio.sleep(0.001)
            self.assertFalse(task.done())
            self.assertEqual(len(logs.records), 1)
            task.cancel()


class DrainTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_permanently_released_lease_is_not_acquired_again(self):
        """Guards against a draining daemon that owns the fleet until its last request ends."""
        proposed = []

        class Proposals:
            async def propose(self, log, machine, command):
                proposed.append(type(command))
                return commands.Granted(5, 0.06)

        lease = leases.ManagedLease("capacity", "d1", 1, 0.06, Proposals(), time.monotonic)
        renewal = asyncio.ensure_future(lease.run())
        while not lease.held():
            await asyncio.sleep(0)
        await lease.release(permanently=True)
        await asyncio.wait_for(renewal, 5.0)
        self.assertEqual(proposed[-1], commands.Release)


class OrdersTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, checks_fencing, load_seconds=0.0):
        self.world = await self.enterAsyncContext(fleet_builders.world())
        self.world.serving = False
        self.world.fenced = checks_fencing
        self.lease = fleet_builders.Lease()
        arguments = engine.Settings(
            models="", check_fencing=checks_fencing, load_model_seconds=load_seconds
        )
        self.engine = await self.enterAsyncContext(engine.Engine(arguments))
        self.world.addresses = {"vm-0001": self.engine.address}

    async def test_an_upstream_without_fencing_is_ordered_after_the_wait(self):
        """Guards against an order that a late one of the previous holder could follow."""
        await self.start(checks_fencing=False)
        fleet = self.world.owner(self.lease, weight_bytes=1)
        await self.world.steps(fleet, 12)
        self.assertEqual(self.engine.orders.seen, [])
        await self.world.steps(fleet, 8)
        await self.settle()
        self.assertEqual([each["fence"] for each in self.engine.orders.seen][:1], [7])

    async def test_a_stale_fence_ends_the_ownership(self):
        """Guards against an old owner that goes on after an upstream refused its fence."""
        await self.start(checks_fencing=True)
        order = {"order": "role", "role": "mixed", "fence": 8}
        await webclient.fetch(self.engine.address, "POST", "/orders", json=order)
        fleet = self.world.owner(self.lease, weight_bytes=1)
        await self.world.steps(fleet, 8)
        await self.settle()
        starts = len(self.world.cloud.starts)
        self.world.load = 50
        await self.world.steps(fleet, 8)
        self.assertFalse(self.lease.held())
        self.assertEqual(len(self.world.cloud.starts), starts)

    async def test_loads_follow_each_other_within_the_rate(self):
        """Guards against loads that share the weight store's rate."""
        await self.start(checks_fencing=True, load_seconds=60.0)
        self.world.addresses["vm-0002"] = self.engine.address
        fleet = self.world.owner(self.lease, weight_bytes=600, weight_bytes_per_second=100)
        await self.world.steps(fleet, 14)
        await self.settle()
        self.assertEqual(len(self.engine.orders.seen), 1)
        await self.world.steps(fleet, 4)
        await self.settle()
        self.assertEqual(len(self.engine.orders.seen), 2)

    async def settle(self):
        """Lets the orders under way reach the engine."""
        for _ in range(20):
            await webclient.fetch(self.engine.address, "GET", "/stats")


if __name__ == "__main__":
    unittest.main()
