"""Tests of the fake cloud API."""

import unittest

from coltsfoothead.testsupport import cloud, errors, webclient


class CloudTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):  # noqa: N802
        self.now = 1000.0
        self.changes = []
        self.cloud = cloud.Cloud(
            start_delay_seconds=5.0,
            hook=lambda change, vm: self.changes.append((change, vm.id)),
            clock=lambda: self.now,
        )
        await self.cloud.start()
        self.addAsyncCleanup(self.cloud.close)

    async def call(self, method, path, json=None):
        return await webclient.fetch(self.cloud.address, method, path, json=json)

    async def start(self, zone="home-a", market="reclaimable", token=None):
        body = {"class": "standard", "zone": zone, "market": market, "client_token": token}
        return await self.call("POST", "/vms", body)

    async def test_a_repeated_start_gives_the_same_vm(self):
        """Guards against a lost answer that leads to a second VM."""
        await self.call("POST", "/control", {"lose_start_answers": 1})
        with self.assertRaises(errors.BrokenConnectionError):
            await self.start(token="t1")
        again = await self.start(token="t1")
        self.assertEqual((again.status, again.json()["state"]), (200, "starting"))
        self.assertEqual(len((await self.call("GET", "/vms")).json()["vms"]), 1)
        self.assertEqual((await self.start(zone="home-b", token="t1")).status, 409)

    async def test_a_wave_reclaims_the_reclaimable_vms_of_a_zone(self):
        """Guards against waves that miss VMs or reclaim those of other zones and markets."""
        for zone, market in (
            ("home-a", "reclaimable"),
            ("home-a", "on_demand"),
            ("home-b", "reclaimable"),
        ):
            self.assertEqual((await self.start(zone, market)).status, 201)
        self.now += 5.0
        await self.call("GET", "/vms")
        self.assertEqual((await self.call("GET", "/vms/vm-0001/notice")).status, 404)
        wave = {"zone": "home-a", "seconds": 10}
        reply = await self.call("POST", "/control", {"wave": wave})
        self.assertEqual(reply.json()["wave"], ["vm-0001"])
        self.now += 4.0
        notice = (await self.call("GET", "/vms/vm-0001/notice")).json()
        self.assertEqual(notice["seconds_left"], 6.0)
        self.now += 6.0
        left = [vm["id"] for vm in (await self.call("GET", "/vms")).json()["vms"]]
        self.assertEqual(left, ["vm-0002", "vm-0003"])
        self.assertEqual(self.changes[-2:], [("notice", "vm-0001"), ("reclaimed", "vm-0001")])

    async def test_refusals_by_zone_and_class(self):
        """Guards against refusals that are too wide or have no effect."""
        refusal = {"zone": "home-a", "class": "standard"}
        await self.call("POST", "/control", {"refuse": refusal})
        self.assertEqual((await self.start("home-a")).status, 503)
        self.assertEqual((await self.start("home-b")).status, 201)
        await self.call("POST", "/control", {"allow_all": True})
        self.assertEqual((await self.start("home-a")).status, 201)

    async def test_the_bill_covers_running_time_only(self):
        """Guards against charges before the VM runs or after its end."""
        await self.start(market="on_demand")
        self.now += 5.0 + 1800.0
        await self.call("DELETE", "/vms/vm-0001")
        self.now += 3600.0
        bill = (await self.call("GET", "/bill")).json()
        self.assertAlmostEqual(bill["total"], 0.5)
        self.assertAlmostEqual(bill["vms"]["vm-0001"], 0.5)
