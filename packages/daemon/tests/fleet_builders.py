"""Fixture for the tests of the fleet's owner: a fake lease, a fake cloud and a directory."""

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


class FakeLease:
    """A lease whose remaining time the test sets."""

    def __init__(self, fence=7):
        self.fence = fence
        self.remaining_seconds = LEASE_SECONDS

    def is_held(self):
        return self.remaining_seconds > 0

    def remaining(self):
        return self.remaining_seconds

    async def release(self):
        self.remaining_seconds = 0.0


class FleetFixture:
    """A fake cloud with an upstream on each of its VMs, and owners of the fleet, on one clock.

    It stands in for the directory of the owners that it creates.
    """

    def __init__(self):
        plugins.load()
        self.now = 1000.0
        self.cloud = fake_cloud.Cloud(clock=lambda: self.now)
        self.client = client.Client(2.0)
        self.running_requests = 0
        self.model_loaded = True
        self.announced = True
        self.addresses = {}
        self.checks_fencing = True
        self.metrics = metrics.Metrics()
        self.budget_toml = ""

    @property
    def records(self):
        """Records of the directory: an upstream on each VM of the cloud that has not ended."""
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
                models=(upstreams.Model("small", "1"),) if self.model_loaded else (),
                checks_fencing=self.checks_fencing,
                load=upstreams.Load(running=self.running_requests),
            )
            for vm in self.live_vms
            if self.announced
        ]
        return {record.upstream: record for record in records}

    @property
    def live_vms(self):
        """The VMs of the cloud that have not ended."""
        return [vm for vm in self.cloud.vms.values() if vm.ended_at is None]

    @property
    def hourly_cost(self):
        """Price per hour of the VMs that have not ended."""
        return sum(vm.price_per_hour for vm in self.live_vms)

    def routable(self, now):
        return list(self.records.values())

    def document(self):
        return environment.decode(cluster.document(extra=self.budget_toml))

    def create_owner(self, lease, **overrides):
        """Returns an owner that plans only when the test calls `step`.

        `overrides` replace fields of the platform settings.
        """
        platform_settings = {
            "cloud_url": f"http://{self.cloud.address}",
            "start_seconds": 5.0,
            "surplus_seconds": 20.0,
            "vm_classes": (
                settings.VmClass(name="standard", slots=8),
                settings.VmClass(name="large", slots=8),
            ),
        }
        platform = settings.Platform(**(platform_settings | overrides))
        return owner.Owner(
            platform,
            cloud.CloudClient(self.client, platform.cloud_url),
            orders.OrderClient(self.client, lease, LEASE_SECONDS, lambda: self.now),
            lease,
            self.document,
            self,
            self.metrics,
            lambda: self.now,
            random.Random(1),
        )

    async def control(self, **commands):
        """Sends control commands to the fake cloud."""
        await webclient.fetch(self.cloud.address, "POST", "/control", json=commands)

    async def run_steps(self, fleet, seconds, check_invariants=lambda: None):
        """Advances the clock by `seconds` in steps of 2 s and plans after each."""
        for _ in range(int(seconds / 2)):
            self.now += 2.0
            await fleet.step()
            check_invariants()


@contextlib.asynccontextmanager
async def fleet_fixture():
    """Runs the fake cloud and yields the fixture."""
    fixture = FleetFixture()
    async with fixture.cloud:
        yield fixture
    fixture.client.close()
