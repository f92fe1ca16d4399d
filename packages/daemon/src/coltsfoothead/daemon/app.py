"""Application of the daemon: starts its components, waits for a stop, drains and stops."""

import asyncio
import pathlib
import random
import signal
import time

from absl import logging

from coltsfoothead.coordination import errors as coordination_errors
from coltsfoothead.coordination.membership import members as members_module
from coltsfoothead.coordination.membership import swim
from coltsfoothead.coordination.membership import task as membership_task
from coltsfoothead.coordination.transport import links as links_module
from coltsfoothead.daemon import errors, metrics, readiness, reclaims
from coltsfoothead.daemon import settings as settings_module
from coltsfoothead.daemon.callers import frontend
from coltsfoothead.daemon.control import (
    configuration,
    leases,
    ledgerexpiry,
    loghost,
    proposer,
    voters,
)
from coltsfoothead.daemon.fleet import cloud as cloud_api
from coltsfoothead.daemon.fleet import orders, owner
from coltsfoothead.daemon.http import client as http_client
from coltsfoothead.daemon.http import server
from coltsfoothead.daemon.operators import api, state
from coltsfoothead.daemon.serving import traffic
from coltsfoothead.daemon.upstreams import announcements, directorytask
from coltsfoothead.kernel import plugins

__all__ = ["App", "run"]

STOP_GRACE_SECONDS = 2.0
# A daemon pings two members a second and is pinged as often, so in a large fleet this timeout keeps
# about 12 links open for membership. With 48 daemons, a timeout of 10 s raises the processor time
# from 4.2% to 5.9% of a core.
LINK_IDLE_TIMEOUT_SECONDS = 3.0
CAPACITY_LEASE_SECONDS = 10.0


async def run(settings: settings_module.Settings) -> int:
    """Runs a daemon until a stop is requested; returns the exit code of the process."""
    plugins.load()
    app = App(settings)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, app.request_stop, settings.timeouts.drain_seconds)
    try:
        await app.start()
        await app.wait()
        await app.drain()
    except coordination_errors.CoordinationError as error:
        raise errors.DaemonError(f"{type(error).__name__}: {error}") from error
    finally:
        await app.stop()
    return 0


class App:
    """The components of one daemon and their life cycle.

    Parameters
    ----------
    settings : Settings
    """

    def __init__(self, settings: settings_module.Settings) -> None:
        self._settings = settings
        self._clock = time.monotonic
        self._rng = random.Random()
        # Grows with every start, so that peers distinguish this process from its predecessor.
        self._incarnation = time.time_ns() // 1_000_000
        self._metrics = metrics.Metrics()
        self._readiness = readiness.Readiness()
        self._stop_requested = asyncio.Event()
        self._drain_deadline = 0.0
        self._tasks: list[asyncio.Task[object]] = []
        # Set in the order in which `start` reaches them; `stop` skips those that are not set.
        self._logs: loghost.LogHost | None = None
        self._membership: membership_task.Membership | None = None
        self._traffic: traffic.Traffic | None = None
        self._listeners: list[server.Server] = []
        own = settings.daemon
        self._links = links_module.Links(
            own.cluster,
            own.id,
            self._incarnation,
            settings.listen.peers,
            links_module.Settings(idle_timeout_seconds=LINK_IDLE_TIMEOUT_SECONDS),
            rng=self._rng,
        )
        self._client = http_client.Client(settings.timeouts.connect_seconds)

    def request_stop(self, seconds: float) -> None:
        """Begins a graceful stop within `seconds`; an earlier deadline replaces a later one."""
        deadline = self._clock() + seconds
        if not self._stop_requested.is_set() or deadline < self._drain_deadline:
            self._drain_deadline = deadline
        self._stop_requested.set()

    async def start(self) -> None:
        """Starts all components; returns once the listeners are bound."""
        self._peers_address = await self._links.start()
        await self._start_control()
        await self._start_serving()
        await self._start_listeners()
        self._spawn(self._log_counters_periodically())
        self._spawn(self._watch_reclaim_notices())
        logging.info("daemon %s: started", self._settings.daemon.id)

    async def wait(self) -> None:
        """Waits until a stop is requested or a component fails.

        Raises
        ------
        DaemonError
            If a task failed that the daemon cannot run without.
        """
        stop_requested = asyncio.ensure_future(self._stop_requested.wait())
        failures = [self._spawn(self._watch_log(name)) for name in self._logs.tasks]
        done, _ = await asyncio.wait(
            [stop_requested, *self._tasks, *failures], return_when=asyncio.FIRST_COMPLETED
        )
        stop_requested.cancel()
        for task in done - {stop_requested}:
            task.result()

    async def drain(self) -> None:
        """Refuses new work and waits for running requests until the drain deadline."""
        logging.info("daemon %s: draining", self._settings.daemon.id)
        self._readiness.drain()
        metadata = {"vm": self._settings.daemon.vm, "draining": "1"}
        self._membership.update(metadata=metadata)
        await self._logs.transfer_leadership()
        await self._capacity_lease.release(permanently=True)
        await self._traffic.drain(self._drain_deadline)

    async def stop(self) -> None:
        """Stops all started components, the listeners first."""
        if self._listeners:
            await asyncio.gather(*(each.stop(STOP_GRACE_SECONDS) for each in self._listeners))
        if self._traffic is not None:
            await self._traffic.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._membership is not None:
            await self._membership.leave()
        if self._logs is not None:
            await self._logs.stop()
        await self._links.stop(STOP_GRACE_SECONDS)
        self._client.close()
        logging.info("daemon %s: stopped", self._settings.daemon.id)

    async def _start_control(self) -> None:
        settings = self._settings
        own = settings.daemon
        advertise = settings.cluster.advertise or self._peers_address
        founders = {each.id: (each.address, each.zone) for each in settings.cluster.founders}
        if settings.single_node:
            founders = {own.id: (advertise, own.zone)}
        folder = pathlib.Path(own.data_folder) if own.data_folder else None
        self._logs = loghost.LogHost(
            folder,
            own.cluster,
            own.id,
            founders,
            self._links,
            self._clock,
            self._rng,
            settings.cluster.require_zone_spread and not settings.single_node,
        )
        own_member = members_module.Member(
            own.id,
            advertise,
            own.region,
            own.zone,
            self._incarnation,
            voter=folder is not None,
            metadata={"vm": own.vm},
        )
        seeds = [*settings.cluster.seeds, *(address for address, _ in founders.values())]
        detector = swim.Detector(own_member, self._clock(), self._rng)
        self._membership = membership_task.Membership(self._links, detector, seeds, self._clock)
        self._tasks.append(self._membership.start())
        await self._logs.start()
        self._proposer = proposer.Proposer(
            self._logs,
            self._links,
            own.id,
            self._live_voters,
            settings.timeouts.proposal_seconds,
            self._clock,
            self._rng,
        )
        self._configuration = configuration.Configuration(
            own.id,
            self._logs,
            self._links,
            self._proposer,
            lambda: self._membership.members,
            self._metrics,
            self._clock,
        )
        self._readiness.set_configuration(self._configuration)
        self._capacity_lease = leases.ManagedLease(
            "capacity",
            own.id,
            self._incarnation,
            CAPACITY_LEASE_SECONDS,
            self._proposer,
            self._clock,
        )
        self._spawn(self._configuration.run())
        self._spawn(ledgerexpiry.expire_ledger_records(self._logs, self._proposer))
        self._spawn(leases.expire_leases(self._logs, self._proposer, self._clock))
        if folder is not None:
            self._spawn(self._capacity_lease.run())

    async def _start_serving(self) -> None:
        self._directory = directorytask.DirectoryTask(
            self._settings.daemon.id,
            self._incarnation,
            self._links,
            lambda: self._membership.members,
            self._clock,
        )
        self._spawn(self._directory.run())
        self._traffic = traffic.Traffic(
            self._settings,
            self._incarnation,
            self._links,
            self._client,
            self._proposer,
            self._directory.directory,
            self._membership,
            self._readiness,
            self._metrics,
            self._clock,
            self._rng,
        )
        self._directory.on_change(self._traffic.leave_planner.upstream_changed)
        await self._traffic.start()
        self._fleet_owner = self._start_fleet_owner() if self._settings.platform.cloud_url else None

    def _start_fleet_owner(self) -> owner.Owner:
        settings, lease = self._settings.platform, self._capacity_lease
        fleet = owner.Owner(
            settings,
            cloud_api.CloudClient(self._client, settings.cloud_url),
            orders.OrderClient(self._client, lease, CAPACITY_LEASE_SECONDS, self._clock),
            lease,
            lambda: self._configuration.environment,
            self._directory.directory,
            self._metrics,
            self._clock,
            self._rng,
        )
        self._spawn(fleet.run())
        return fleet

    async def _start_listeners(self) -> None:
        limits, timeouts, listen = (
            self._settings.limits,
            self._settings.timeouts,
            self._settings.listen,
        )
        bounds = server.Bounds(
            limits.body_bytes,
            limits.header_bytes,
            timeouts.receive_seconds,
            timeouts.idle_seconds,
            limits.connections,
        )
        view = state.DaemonView(
            self._settings,
            self._incarnation,
            self._logs,
            self._proposer,
            self._configuration,
            lambda: self._membership.members,
            self._directory.directory,
            self._traffic,
            self._readiness,
            self._metrics,
            self._links.counters,
            self._capacity_lease,
            voters.VoterChanges(self._logs, self._links, self._proposer, self._settings.daemon.id),
            self._clock,
            self._fleet_owner,
        )
        operators = api.OperatorsApi(
            view, api.read_token(self._settings.operators.token_file), self.request_stop
        )
        handlers = {
            "upstreams": announcements.Announcements(self._directory.renew).handle,
            "operators": operators.handle,
            "callers": frontend.Frontend(self._traffic.routes(), self._metrics).handle,
        }
        for name, handler in handlers.items():
            listener = server.Server(handler, frontend.encode_error, bounds)
            listen_address = getattr(listen, name)
            try:
                address = await listener.start(*settings_module.split_address(listen_address))
            except OSError as error:
                text = f"{name} cannot listen on {listen_address}: {error.strerror}"
                raise errors.DaemonError(text) from error
            self._listeners.append(listener)
            logging.info("daemon %s: %s listen on %s", self._settings.daemon.id, name, address)

    def _live_voters(self) -> list[str]:
        return [
            member.id
            for member in self._membership.members.values()
            if member.voter and member.state <= members_module.State.SUSPECT
        ]

    async def _watch_log(self, name: str) -> None:
        failure = await self._logs.wait_stopped(name)
        if failure is not None:
            raise errors.DaemonError(f"{name} log: {type(failure).__name__}: {failure}")

    async def _watch_reclaim_notices(self) -> None:
        url = self._settings.platform.notice_url
        if url is None:
            await asyncio.Event().wait()
            return
        seconds = await reclaims.wait_for_notice(
            self._client, url, self._settings.platform.poll_seconds
        )
        logging.info("daemon %s: VM is reclaimed in %.1f s", self._settings.daemon.id, seconds)
        self.request_stop(seconds)
        await asyncio.Event().wait()

    async def _log_counters_periodically(self) -> None:
        while True:
            await asyncio.sleep(self._settings.timeouts.counters_seconds)
            counters = " ".join(
                f"{name}={value}" for name, value in sorted(self._metrics.counters.items())
            )
            logging.info("daemon %s: counters %s", self._settings.daemon.id, counters)

    def _spawn(self, coroutine: object) -> asyncio.Task[object]:
        task = asyncio.get_running_loop().create_task(coroutine)  # type: ignore[arg-type]
        self._tasks.append(task)
        return task
