"""Tests of the fleet's owner with three daemons, a fake cloud and engines as processes."""

import asyncio
import json
import unittest

from coltsfoothead.testsupport import cluster, harness, webclient

TAKEOVER_TIMEOUT_SECONDS = 30.0
# Several planning intervals of the owner, after which a duplicate start would be visible.
OBSERVATION_SECONDS = 2.0
# With one offer per zone, the planned mix is one VM in each zone whatever is in backoff after
# refusals.
CATALOG = {
    "home-a": {"standard": {"reclaimable": 0.3}},
    "home-b": {"standard": {"reclaimable": 0.35}},
}
PLATFORM = {
    "plan_seconds": 0.2,
    "start_seconds": 1.0,
    "weight_bytes": 1,
    "vm_classes": [{"name": "standard", "slots": 8}],
}


class FleetProcessesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):  # noqa: N802
        self.children = await self.enterAsyncContext(harness.Harness())
        catalog = self.children.folder / "catalog.json"
        catalog.write_text(json.dumps(CATALOG))
        self.cloud = await self.children.start_fake(
            "cloud", "--catalog", str(catalog), name="cloud"
        )
        self.cluster = cluster.Cluster(self.children)
        platform = PLATFORM | {"cloud_url": f"http://{self.cloud.address}"}
        await self.cluster.start_daemons(platform=platform)

    async def control(self, **commands):
        await webclient.fetch(self.cloud.address, "POST", "/control", json=commands)

    async def read(self, path):
        return (await webclient.fetch(self.cloud.address, "GET", path)).json()

    async def started_vms(self):
        return (await self.read("/vms?ended=1"))["vms"]

    async def start_fences(self):
        """Returns the fences of all starts that reached the cloud, including refused ones."""
        sent = (await self.read("/starts"))["starts"]
        return [int(each["client_token"].partition("-")[0]) for each in sent]

    async def wait(self, condition, what):
        await harness.wait_until(condition, TAKEOVER_TIMEOUT_SECONDS, what)

    async def owner(self, names):
        """Returns the daemon of `names` that owns the fleet, or None."""
        for name in names:
            answer = await self.cluster.request_operators_api(name, "GET", "/vms")
            if answer["capacity_holder"] == name:
                return name
        return None

    async def test_one_owner_at_a_time_through_a_kill_and_a_suspension(self):
        """Guards against two owners at once, duplicate starts after a kill, and late orders.

        The owner is killed while the answers to its starts are lost; its successor is suspended
        until after its lease expired.
        """
        await self.control(refuse={"zone": "*"})
        answer = await self.cluster.apply("d1", cluster.document(), "change-1")
        self.assertEqual(answer["outcome"], "accepted")
        # Refused starts are retried, so the fences show every daemon that acts as the owner.
        await self.wait(self.start_fences, "first attempt to start a VM")
        await asyncio.sleep(OBSERVATION_SECONDS)
        self.assertEqual(len(set(await self.start_fences())), 1)
        await self.control(lose_start_answers=1000, allow_all=True)
        await self.wait(self.started_vms, "first VM")
        first = await self.owner(self.cluster.daemon_specs)
        self.children.processes[first].kill()
        await self.control(lose_start_answers=0)
        second = await self.check_successor(first)
        await self.restart(first)
        await self.check_engine_orders()
        await self.check_suspension(second)

    async def check_successor(self, killed):
        """Checks that the successor starts only the VMs that the killed owner did not."""
        before = await self.start_fences()
        names = [name for name in self.cluster.daemon_specs if name != killed]

        async def complete():
            return len(await self.started_vms()) >= 2 and await self.owner(names)

        await self.wait(complete, "take-over after the kill")
        await asyncio.sleep(OBSERVATION_SECONDS)
        vms = await self.started_vms()
        self.assertEqual(len({vm["zone"] for vm in vms}), 2, vms)
        self.assertEqual(len(vms), 2, vms)
        self.assertEqual(len((await self.read("/bill"))["vms"]), 2)
        self.assertEqual(len(set(before)), 1)
        owner = await self.owner(names)
        operator_vms = (await self.cluster.request_operators_api(owner, "GET", "/vms"))["vms"]
        listed = {each["id"]: each for each in operator_vms if each["reclaimable"]}
        self.assertEqual(listed.keys(), {vm["id"] for vm in vms})
        self.assertTrue(all(each["hourly_cost"] > 0 for each in listed.values()))
        return owner

    async def restart(self, name):
        process = self.children.processes[name]
        await process.wait()
        platform = PLATFORM | {"cloud_url": f"http://{self.cloud.address}"}
        await self.cluster.start_daemons([name], platform=platform)
        await self.cluster.wait_ready([name])

    async def check_engine_orders(self):
        """Checks that orders reach an engine that loads and one that only answers them."""
        vm, other = sorted(await self.started_vms(), key=lambda each: each["zone"])
        place = ("--vm", other["id"], "--vm-class", other["class"], "--models", "")
        loading = await self.cluster.start_engine("e0", other["zone"], *place)

        async def loaded():
            reply = await webclient.fetch(loading.address, "GET", "/v1/models")
            return [each["id"] for each in reply.json()["data"]] == ["small"]

        place = ("--vm", vm["id"], "--vm-class", vm["class"], "--models", "")
        self.engine = await self.cluster.start_engine("e1", vm["zone"], *place, "--check-fencing")
        body = {"order_answer_without_running": 100_000}
        await webclient.fetch(self.engine.address, "POST", "/control", json=body)
        await self.wait(self.order_fences, "an order to the engine")
        await self.wait(loaded, "a load by an engine without fencing")

    async def order_fences(self):
        reply = await webclient.fetch(self.engine.address, "GET", "/stats")
        return [each["fence"] for each in reply.json()["orders"]]

    async def check_suspension(self, suspended):
        """Suspends the owner beyond the end of its lease while replacements are refused."""
        await self.control(refuse={"zone": "*"}, wave={"zone": "home-b", "seconds": 60})
        self.children.processes[suspended].freeze()
        last_fence = max(await self.start_fences())
        names = [name for name in self.cluster.daemon_specs if name != suspended]

        async def succeeded():
            return (
                max(await self.start_fences()) > last_fence
                and max(await self.order_fences()) > last_fence
            )

        await self.wait(succeeded, "orders of the successor")
        self.children.processes[suspended].thaw()
        await asyncio.sleep(OBSERVATION_SECONDS)
        self.assertIsNotNone(await self.owner(names))
        for fences in (await self.start_fences(), await self.order_fences()):
            self.assertEqual(fences, sorted(fences))


if __name__ == "__main__":
    unittest.main()
