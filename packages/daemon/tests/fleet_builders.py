"""Builders for the tests of the fleet's owner: a lease, a directory and a fake cloud."""

import contextlib
import random

from coltsfoothead.coordination.membership import upstreams
from coltsfoothead.daemon import metrics, settings
from coltsfoothead.daemon.fleet import cloud, orders, owner
from coltsfoothead.daemon.http import client
from coltsfoothead.kernel import environment, plugins
from coltsfoothead.testsupport import cloud as fake_cloud
from coltsfoothead.testsupport import cluster, webclient

LEASE_SECONDS = 10.0


class Lease:
    """A lease whose holding the test decides."""

    def __init__(self, fence=7):
        self.fence = fence
        self.seconds = LEASE_SECONDS

    def held(self):
        return self.seconds > 0

    def remaining(self):
        return self.seconds

    async def release(self):
        self.seconds = 0.0


class World:
    """A fake cloud, upstreams on its running VMs, and owners on one clock."""

    def __init__(self):
        plugins.load()
        self.now = 1000.0
        self.cloud = fake_cloud.Cloud(clock=lambda: self.now)
        self.client = client.Client(2.0)
        self.load = 0
        self.serving = True
        self.announced = True
        self.addresses = {}
        self.fenced = True
        self.metrics = metrics.Metrics()
        self.budget = ""

    @property
    def records(self):
        """What the directory holds: an upstream on each running VM of the cloud."""
        records = [
            upstreams.Upstream(
                upstream=vm.id,
                incarnation=1,
                sequence=1,
                state="serving",
                kind="model",
                region="home",
                zone=vm.zone,
                address=self.addresses.get(vm.id, "127.0.0.1:9"),
                slots=8,
                vm=vm.id,
                vm_class=vm.vm_class,
                models=(upstreams.Model("small", "1"),) if self.serving else (),
                checks_fencing=self.fenced,
                load=upstreams.Load(running=self.load),
            )
            for vm in self.live
            if self.announced
        ]
        return {record.upstream: record for record in records}

    @property
    def live(self):
        """The VMs of the cloud that have not ended."""
        return [vm for vm in self.cloud.vms.values() if vm.ended_at is None]

    @property
    def hourly_cost(self):
        """Price of the VMs that have not ended."""
        return sum(vm.price_per_hour for vm in self.live)

    def routable(self, now):
        return list(self.records.values())

    def document(self):
        return environment.decode(cluster.document(extra=self.budget))

    def owner(self, lease, **changes):
        """Returns an owner that plans when the test calls `step`."""
        values = {
            "cloud_url": f"http://{self.cloud.address}",
            "start_seconds": 5.0,
            "surplus_seconds": 20.0,
            "vm_classes": (
                settings.VmClass(name="standard", slots=8),
                settings.VmClass(name="large", slots=8),
            ),
        }
        platform = settings.Platform(**(values | changes))
        return owner.Owner(
            platform,
            cloud.CloudClient(self.client, platform.cloud_url),
            orders.Orders(self.client, lease, LEASE_SECONDS, lambda: self.now),
            lease,
            self.document,
            self,
            self.metrics,
            lambda: self.now,
            random.Random(1),
        )

    async def control(self, **verbs):
        """Controls the fake cloud."""
        await webclient.fetch(self.cloud.address, "POST", "/control", json=verbs)

    async def steps(self, fleet, seconds, check=lambda: None):
        """Plans each 2 s for some time."""
        for _ in range(int(seconds / 2)):
            self.now += 2.0
            await fleet.step()
            check()


@contextlib.asynccontextmanager
async def world():
    """Starts a world."""
    built = World()
    async with built.cloud:
        yield built
    built.client.close()
