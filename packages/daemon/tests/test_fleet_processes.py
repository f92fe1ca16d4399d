"""Tests of the fleet's owner with three daemons, the fake cloud and engines as processes."""

import asyncio
import json
import unittest

from coltsfoothead.testsupport import cluster, harness, webclient

TAKE_OVER_SECONDS = 30.0
# Several plans of the owner, after which a second purchase would show.
QUIET_SECONDS = 2.0
# One offer per zone: whatever is in backoff after refusals, the wanted mix is one VM in each zone.
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

    async def control(self, **verbs):
        await webclient.fetch(self.cloud.address, "POST", "/control", json=verbs)

    async def read(self, path):
        return (await webclient.fetch(self.cloud.address, "GET", path)).json()

    async def bought(self):
        return (await self.read("/vms?ended=1"))["vms"]

    async def starts(self):
        """Returns the fences of all starts that reached the cloud, refused ones included."""
        sent = (await self.read("/starts"))["starts"]
        return [int(each["client_token"].partition("-")[0]) for each in sent]

    async def wait(self, condition, what):
        await harness.wait_until(condition, TAKE_OVER_SECONDS, what)

    async def owner(self, names):
        """Returns the daemon that owns the fleet among those that run."""
        for name in names:
            answer = await self.cluster.operators(name, "GET", "/vms")
            if answer["capacity_holder"] == name:
                return name
        return None

    async def test_one_owner_buys_through_a_kill_and_a_suspension(self):
        """Guards against two buyers, a double purchase after a kill, and orders of an old owner."""
        await self.control(refuse={"zone": "*"})
        answer = await self.cluster.apply("d1", cluster.document(), "change-1")
        self.assertEqual(answer["outcome"], "accepted")
        # Refused starts are tried again, so every daemon that takes itself for the owner shows.
        await self.wait(self.starts, "first try of a purchase")
        await asyncio.sleep(QUIET_SECONDS)
        self.assertEqual(len(set(await self.starts())), 1)
        await self.control(lose_start_answers=1000, allow_all=True)
        await self.wait(self.bought, "first purchase")
        first = await self.owner(self.cluster.places)
        self.children.processes[first].kill()
        await self.control(lose_start_answers=0)
        second = await self.check_successor(first)
        await self.restart(first)
        await self.check_engine_orders()
        await self.check_suspension(second)

    async def check_successor(self, killed):
        """Checks that the successor adds only what the killed owner did not buy."""
        before = await self.starts()
        names = [name for name in self.cluster.places if name != killed]

        async def complete():
            return len(await self.bought()) >= 2 and await self.owner(names)

        await self.wait(complete, "take-over after the kill")
        await asyncio.sleep(QUIET_SECONDS)
        vms = await self.bought()
        self.assertEqual(len({vm["zone"] for vm in vms}), 2, vms)
        self.assertEqual(len(vms), 2, vms)
        self.assertEqual(len((await self.read("/bill"))["vms"]), 2)
        self.assertEqual(len(set(before)), 1)
        owner = await self.owner(names)
        shown = (await self.cluster.operators(owner, "GET", "/vms"))["vms"]
        listed = {each["id"]: each for each in shown if each["reclaimable"]}
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
        """Starts an engine that loads, and one that answers loads without loading."""
        vm, other = sorted(await self.bought(), key=lambda each: each["zone"])
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
        await self.wait(loaded, "a load by an engine that checks no fences")

    async def order_fences(self):
        reply = await webclient.fetch(self.engine.address, "GET", "/stats")
        return [each["fence"] for each in reply.json()["orders"]]

    async def check_suspension(self, frozen):
        """Suspends the owner beyond its lease while a replacement stays refused."""
        await self.control(refuse={"zone": "*"}, wave={"zone": "home-b", "seconds": 60})
        self.children.processes[frozen].freeze()
        old = max(await self.starts())
        names = [name for name in self.cluster.places if name != frozen]

        async def succeeded():
            return max(await self.starts()) > old and max(await self.order_fences()) > old

        await self.wait(succeeded, "orders of the successor")
        self.children.processes[frozen].thaw()
        await asyncio.sleep(QUIET_SECONDS)
        self.assertIsNotNone(await self.owner(names))
        for fences in (await self.starts(), await self.order_fences()):
            self.assertEqual(fences, sorted(fences))


if __name__ == "__main__":
    unittest.main()
