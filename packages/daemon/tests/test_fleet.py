"""Tests of the fleet's owner against a fake cloud and engine, on a clock that the tests set."""

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
        self.fixture = await self.enterAsyncContext(fleet_builders.fleet_fixture())
        self.lease = fleet_builders.FakeLease()

    def markets(self):
        return sorted((vm.zone, vm.market) for vm in self.fixture.live_vms)

    async def test_vms_are_started_once_in_the_two_cheapest_zones(self):
        """Guards against repeated starts, and against a model whose VMs are all in one zone."""
        fleet = self.fixture.create_owner(self.lease)
        await self.fixture.run_steps(fleet, 20)
        cheapest = [("away-a", "reclaimable"), ("home-b", "reclaimable")]
        self.assertEqual(self.markets(), cheapest)
        tokens = [vm.client_token for vm in self.fixture.live_vms]
        self.assertEqual(tokens, ["7-1-small", "7-2-small"])
        listed = fleet.listed_vms()
        self.assertEqual([each.model for each in listed], ["small", "small"])

    async def test_a_lost_answer_starts_one_vm(self):
        """Guards against starting a second VM after the answer to a start was lost."""
        await self.fixture.control(lose_start_answers=2)
        await self.fixture.run_steps(self.fixture.create_owner(self.lease), 20)
        self.assertEqual(len(self.fixture.cloud.vms), 2)

    async def test_a_successor_waits_for_vms_missing_from_the_list(self):
        """Guards against a duplicate start while the list lags behind the last owner's starts."""
        self.fixture.announced = False
        await self.fixture.control(list_delay_ms=4500)
        first = self.fixture.create_owner(self.lease)
        while not self.fixture.cloud.vms:
            await self.fixture.run_steps(first, 2)
        self.assertEqual(len(self.fixture.cloud.vms), 2)
        await self.fixture.run_steps(self.fixture.create_owner(fleet_builders.FakeLease(9)), 20)
        self.assertEqual(len(self.fixture.cloud.vms), 2)

    async def test_no_start_shortly_before_the_lease_expires(self):
        """Guards against a start that reaches the cloud after the lease expired."""
        fleet = self.fixture.create_owner(self.lease)
        await fleet.step()
        self.lease.remaining_seconds = 1.5
        await self.fixture.run_steps(fleet, 20)
        self.assertEqual(self.fixture.cloud.starts, [])

    async def test_no_start_if_the_lease_expires_while_connecting(self):
        """Guards against a start by a process suspended between the lease check and the write."""

        class SuspendingClient(client.Client):
            async def send(inner, address, request, *arguments, **options):  # noqa: N805
                if request.method == "POST":
                    self.lease.remaining_seconds = 0.0
                return await super().send(address, request, *arguments, **options)

        self.fixture.client = SuspendingClient(2.0)
        await self.fixture.run_steps(self.fixture.create_owner(self.lease), 10)
        self.assertEqual((self.lease.remaining_seconds, self.fixture.cloud.starts), (0.0, []))

    async def test_refused_starts_move_to_other_offers_and_back(self):
        """Guards against a fleet that stays too small or too expensive after refused starts."""
        await self.fixture.control(refuse={"market": "reclaimable"})
        fleet = self.fixture.create_owner(self.lease)
        await self.fixture.run_steps(fleet, 10)
        self.assertEqual(self.markets(), [("away-a", "on_demand"), ("home-a", "on_demand")])
        await self.fixture.control(allow_all=True)
        await self.fixture.run_steps(fleet, 40)
        self.fixture.model_loaded = False  # the draining upstreams have unloaded their model
        await self.fixture.run_steps(fleet, 10)
        self.assertEqual(self.markets(), [("away-a", "reclaimable"), ("home-b", "reclaimable")])

    async def test_reclaimed_vms_are_replaced_before_the_notice_ends(self):
        """Guards against replacing VMs only once they are gone."""
        fleet = self.fixture.create_owner(self.lease)
        await self.fixture.run_steps(fleet, 10)
        await self.fixture.control(wave={"zone": "away-a", "seconds": 10})
        await self.fixture.control(refuse={"zone": "away-a"})
        await self.fixture.run_steps(fleet, 2)
        self.assertEqual(len(self.fixture.live_vms), 3)
        listed = {each.vm.zone: each.reclaim_seconds for each in fleet.listed_vms()}
        self.assertAlmostEqual(listed["away-a"], 8.0, delta=0.1)

    async def test_the_budget_is_never_exceeded(self):
        """Guards against starts beyond the budget, and against reporting a shortfall repeatedly."""
        for budget, expected_count in (("hourly_cost = 0.7", 1), ("max_vms = 3", 2)):
            self.fixture.budget_toml = f"[budget]\n{budget}\n"
            self.fixture.running_requests = 30
            fleet = self.fixture.create_owner(self.lease)
            await self.fixture.run_steps(fleet, 60, self.check_budget)
            reasons = [(each.model, each.reason) for each in fleet.shortfalls]
            self.assertEqual(reasons, [("small", "budget")])
            self.assertEqual(
                self.fixture.metrics.counters["fleet_shortfalls_budget"], expected_count
            )
            self.lease.fence += 1

    def check_budget(self):
        budget = self.fixture.document().budget
        self.assertLessEqual(self.fixture.hourly_cost, budget.hourly_cost)
        self.assertLessEqual(len(self.fixture.live_vms), budget.max_vms)


class PlanningFailureTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_failed_plan_does_not_end_the_task(self):
        """Guards against a planning error that stops each next owner of the fleet in turn."""
        async with fleet_builders.fleet_fixture() as fixture:
            fixture.document = lambda: 1 / 0
            fleet = fixture.create_owner(fleet_builders.FakeLease(), plan_seconds=0.001)
            with self.assertLogs("absl", "ERROR") as logs:
                task = asyncio.ensure_future(fleet.run())
                while fixture.metrics.counters.get("fleet_steps_failed", 0) < 3 and not task.done():
                    await asyncio.sleep(0.001)
            self.assertFalse(task.done())
            self.assertEqual(len(logs.records), 1)
            task.cancel()


class PermanentReleaseTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_permanently_released_lease_is_not_acquired_again(self):
        """Guards against a draining daemon that owns the fleet until its last request ends."""
        proposed = []

        class FakeProposer:
            async def propose(self, log, machine, command):
                proposed.append(type(command))
                return commands.Granted(5, 0.06)

        lease = leases.ManagedLease("capacity", "d1", 1, 0.06, FakeProposer(), time.monotonic)
        renewal = asyncio.ensure_future(lease.run())
        while not lease.is_held():
            await asyncio.sleep(0)
        await lease.release(permanently=True)
        await asyncio.wait_for(renewal, 5.0)
        self.assertEqual(proposed[-1], commands.Release)


class OrdersTest(unittest.IsolatedAsyncioTestCase):
    async def start_engine(self, checks_fencing, load_seconds=0.0):
        self.fixture = await self.enterAsyncContext(fleet_builders.fleet_fixture())
        self.fixture.model_loaded = False
        self.fixture.checks_fencing = checks_fencing
        self.lease = fleet_builders.FakeLease()
        arguments = engine.Settings(
            models="", check_fencing=checks_fencing, load_model_seconds=load_seconds
        )
        self.engine = await self.enterAsyncContext(engine.Engine(arguments))
        self.fixture.addresses = {"vm-0001": self.engine.address}

    async def test_an_upstream_without_fencing_is_ordered_after_a_wait(self):
        """Guards against a late order of the previous holder that undoes one of the new holder."""
        await self.start_engine(checks_fencing=False)
        fleet = self.fixture.create_owner(self.lease, weight_bytes=1)
        await self.fixture.run_steps(fleet, 12)
        self.assertEqual(self.engine.orders.received, [])
        await self.fixture.run_steps(fleet, 8)
        await self.deliver_orders()
        self.assertEqual([each["fence"] for each in self.engine.orders.received][:1], [7])

    async def test_a_stale_fence_ends_the_ownership(self):
        """Guards against an old owner that continues after an upstream refused its fence."""
        await self.start_engine(checks_fencing=True)
        order = {"order": "role", "role": "mixed", "fence": 8}
        await webclient.fetch(self.engine.address, "POST", "/orders", json=order)
        fleet = self.fixture.create_owner(self.lease, weight_bytes=1)
        await self.fixture.run_steps(fleet, 8)
        await self.deliver_orders()
        starts = len(self.fixture.cloud.starts)
        self.fixture.running_requests = 50
        await self.fixture.run_steps(fleet, 8)
        self.assertFalse(self.lease.is_held())
        self.assertEqual(len(self.fixture.cloud.starts), starts)

    async def test_loads_run_one_after_the_other(self):
        """Guards against simultaneous loads that split the bandwidth of the weight store."""
        await self.start_engine(checks_fencing=True, load_seconds=60.0)
        self.fixture.addresses["vm-0002"] = self.engine.address
        fleet = self.fixture.create_owner(self.lease, weight_bytes=600, weight_bytes_per_second=100)
        await self.fixture.run_steps(fleet, 14)
        await self.deliver_orders()
        self.assertEqual(len(self.engine.orders.received), 1)
        await self.fixture.run_steps(fleet, 4)
        await self.deliver_orders()
        self.assertEqual(len(self.engine.orders.received), 2)

    async def deliver_orders(self):
        """Gives the event loop time to deliver pending orders to the engine."""
        for _ in range(20):
            await webclient.fetch(self.engine.address, "GET", "/stats")


if __name__ == "__main__":
    unittest.main()
