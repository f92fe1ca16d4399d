"""The control role: replicates the routing document, the upstream directory and the duties."""

import asyncio
import functools
import pathlib
import random
from collections.abc import Awaitable, Callable

from coltsfoothead.coordination import (
    configuration,
    writeonce,
)
from coltsfoothead.coordination import (
    lease as lease_machine,
)
from coltsfoothead.coordination.configuration import lease
from coltsfoothead.coordination.replication import errors as replication_errors
from coltsfoothead.coordination.replication import settings as replication_settings
from coltsfoothead.coordination.transport import links as links_module
from coltsfoothead.daemon import errors
from coltsfoothead.daemon import metrics as metrics_module
from coltsfoothead.daemon import settings as daemon_settings
from coltsfoothead.daemon.control import leases, loghost, proposer
from coltsfoothead.daemon.gateway import (
    background,
    clock,
    controlapi,
    directory,
    documentcopy,
    duties,
    entry,
    eventlog,
    exchange,
    formation,
    identity,
    leaderlink,
    leadersync,
    metricspage,
    originfiles,
    planstore,
    ports,
    quarantinelog,
    settings,
    termmanager,
)
from coltsfoothead.daemon.gateway.pacing import leaderpacing
from coltsfoothead.daemon.gateway.rollouts import leaderrollouts, rolloutapi, rolloutlog
from coltsfoothead.daemon.gateway.sharing import termshares
from coltsfoothead.daemon.gateway.speeds import leaderside
from coltsfoothead.daemon.http import client as http_client
from coltsfoothead.daemon.http import server
from coltsfoothead.kernel.rollouts import course
from coltsfoothead.kernel.traffic import (
    brittleness,
    document,
    quarantine,
    quota,
    requestlimits,
    streamorigins,
    upstreams,
)

__all__ = ["Control"]

LOGS = {loghost.CONTROL: (configuration.NAME, lease_machine.NAME, writeonce.NAME)}
# Log records of documents are large compared with those that renew leases, so that snapshots are
# taken more often than by default. Entries refuse requests when there is no leader for longer than
# their lease on the document, so elections have to be short; an election timeout of three
# heartbeats is still ten times the round trip between regions.
REPLICATION = replication_settings.Settings(
    election_timeout_min_seconds=0.45,
    election_timeout_max_seconds=0.9,
    snapshot_entries=400,
    retained_entries=100,
)
# The document lease as a fraction of the time within which a revoked key must be refused; the rest
# is left for requests that wait at an entry.
DOCUMENT_LEASE_FRACTION = 0.8
# The operator's client waits one second before it calls another process.
PROPOSAL_TIMEOUT_SECONDS = 2.5
DUTIES_LEASE = "duties"
# The lease on the duties as a fraction of the platform's lease. A returning holder has waited for
# the end of its own lease and of another holder's, which together last longer than the platform's.
DUTIES_LEASE_FRACTION = 0.6
DUTIES_RETRY_SECONDS = 0.3
LEADERSHIP_TRANSFER_TIMEOUT_SECONDS = 1.5
OPEN_RETRY_SECONDS = 0.5
MAX_BODY_BYTES = 8 * 1024 * 1024
BOUNDS = server.Bounds(
    body_bytes=MAX_BODY_BYTES,
    header_bytes=32 * 1024,
    receive_seconds=5.0,
    idle_seconds=30.0,
    connections=1500,
)


class Control:
    """One control process.

    Parameters
    ----------
    configured : Settings
    dialect : ControlDialect
        Translates calls of upstreams and operators, and routing documents.
    cloud : CloudDialect
        Translates calls to the platform's cloud API.
    """

    def __init__(
        self,
        configured: settings.Settings,
        dialect: ports.ControlDialect,
        cloud: ports.CloudDialect,
    ) -> None:
        self._settings = configured
        self._dialect = dialect
        self._cloud = cloud
        self._events = eventlog.EventLog(configured.process.id)
        self._metrics = metrics_module.Metrics()
        self._rng = random.Random()
        self._client = http_client.Client(entry.CONNECT_TIMEOUT_SECONDS)
        self._documents = documentcopy.DocumentCopy(dialect, self._events)
        self._directory = directory.DirectoryCopy(
            directory.LOST_AFTER_INTERVALS * configured.announcements.interval_seconds
        )
        self._plans = planstore.PlanStore()
        self._quarantines = quarantine.QuarantineTable()
        self._limits = requestlimits.LimitTable()
        self._brittle = brittleness.BrittleTable()
        self._origins = streamorigins.OriginTable()
        self._origins_version = ("", 0)
        self._speeds = (
            leaderside.ControlSpeeds(self._events, self._metrics)
            if configured.speeds.learned
            else None
        )
        self._servers: list[server.Server] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Opens the data folder, joins the other control processes and starts listening."""
        own = self._settings.process
        self._address = f"{own.address}:{self._settings.peers.port}"
        await self._open()
        self._link = leaderlink.LeaderLink(
            self._links, self._peer_seeds(self._settings), self._events, self._rng
        )
        join_request = exchange.JoinRequest(self._identity.replica, self._address, own.zone)
        self._formation = formation.Formation(self._logs, self._link, join_request, self._events)
        lease_seconds = DOCUMENT_LEASE_FRACTION * self._settings.document.revoke_seconds
        usage_retention_seconds = (
            self._settings.usage.due_seconds + 2 * self._settings.usage.window_seconds
        )
        self._proposer = proposer.Proposer(
            self._logs,
            self._links,
            self._identity.replica,
            lambda: list(self._logs.tasks[loghost.CONTROL].status().voters),
            PROPOSAL_TIMEOUT_SECONDS,
            clock.steady,
            self._rng,
        )
        self._quarantine_log = quarantinelog.QuarantineLog(
            self._logs, self._proposer, self._quarantines, self._events
        )
        self._rollouts = self._make_rollouts(lease_seconds)
        self._terms = termmanager.TermManager(
            self._logs,
            self._documents,
            self._directory,
            self._identity.replica,
            self._settings.announcements.interval_seconds,
            lease_seconds,
            usage_retention_seconds,
            quota.Tolerance(self._settings.quotas.overage, self._settings.quotas.slack),
            self._formation.live_controls,
            self._plans,
            self._quarantines,
            self._limits,
            self._brittle,
            self._origins,
            self._quarantine_log.load,
            self._quarantine_log.record,
            self._events,
            self._speeds,
            termshares.TermShares(self._events) if self._settings.sharing is not None else None,
            self._new_pacing,
            self._rollouts,
        )
        self._origin_files.load()
        self._rollout_api = rolloutapi.RolloutApi(
            self._rollouts, self._logs, self._terms, self._link, self._events
        )
        self._register_peer_methods()
        await self._links.start()
        await self._logs.start()
        await self._start_listeners()
        self._start_tasks()
        self._events.write(
            "started", role="control", replica=self._identity.replica, start=self._identity.start
        )

    def reload(self, configured: settings.Settings) -> None:
        """Applies changed settings; only the seeds can change while a process runs."""
        self._link.set_seeds(self._peer_seeds(configured))
        self._events.write("reloaded", seeds=list(configured.peers.seeds))

    async def stop(self) -> None:
        """Transfers leadership of the log and stops."""
        self._events.write("stopping", leads=self._logs.leads(loghost.CONTROL))
        self._api.stop()
        try:
            async with asyncio.timeout(LEADERSHIP_TRANSFER_TIMEOUT_SECONDS):
                await self._logs.transfer_leadership()
        except TimeoutError:
            self._events.write("not_handed_over")
        await self.close()
        self._events.write("stopped")

    async def close(self) -> None:
        """Stops all servers, tasks and links without transferring leadership."""
        await asyncio.gather(*(each.stop(0.3) for each in self._servers))
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._logs.stop()
        self._origin_files.close()
        await self._links.stop(0.3)
        self._client.close()

    async def wait_failed(self) -> None:
        """Waits until the log or a background task fails, and raises the failure."""
        log = asyncio.create_task(self._logs.wait_stopped(loghost.CONTROL))
        done, _ = await asyncio.wait([*self._tasks, log], return_when=asyncio.FIRST_COMPLETED)
        log.cancel()
        if log in done:
            raise errors.RoleFailedError(f"the control log stopped: {log.result()!r}")
        for task in done:
            try:
                task.result()
            except replication_errors.StoppedError as error:
                # The task noticed that the log had stopped before `wait_stopped` of the log did.
                raise errors.RoleFailedError(f"the control log stopped: {error}") from error

    async def _open(self) -> None:
        """Opens the identity, the links and the log; retries while the disk fails."""
        own = self._settings.process
        assert own.data_folder is not None
        folder = pathlib.Path(own.data_folder)
        self._origin_files = originfiles.OriginFiles(
            folder / "streams", self._origins, self._events
        )
        founders = {
            seed.rpartition(":")[0]: (leaderlink.peer_address(seed, self._settings.peers.port), "")
            for seed in self._settings.peers.seeds
        }
        is_founder = own.first_start and own.address in founders
        while True:
            try:
                self._identity = identity.open_identity(folder, own.address, is_founder, self._rng)
                self._links = links_module.Links(
                    entry.CLUSTER_NAME,
                    self._identity.replica,
                    self._identity.start,
                    self._address,
                    entry.LINK_SETTINGS,
                    self._rng,
                )
                self._logs = loghost.LogHost(
                    folder,
                    entry.CLUSTER_NAME,
                    self._identity.replica,
                    founders if is_founder else {},
                    self._links,
                    clock.steady,
                    self._rng,
                    False,
                    LOGS,
                    REPLICATION,
                )
                return
            except OSError as error:
                self._events.warn("disk_refused", cause=str(error))
                await asyncio.sleep(OPEN_RETRY_SECONDS)

    def _make_rollouts(self, lease_seconds: float) -> leaderrollouts.LeaderRollouts | None:
        """Returns the leader's part of rollouts; None if they are switched off."""
        configured = self._settings.rollouts
        if configured is None:
            return None

        def routing() -> document.RoutingDocument | None:
            self._terms.refresh_document()
            table = self._documents.table
            return table.routing if table is not None else None

        def records() -> list[upstreams.Upstream]:
            term = self._terms.current
            return term.directory.records if term is not None else []

        return leaderrollouts.LeaderRollouts(
            rolloutlog.RolloutLog(self._logs, self._proposer),
            lambda seconds: self._logs.tasks[loghost.CONTROL].barrier(seconds),
            course.Bounds(
                configured.expose_share, configured.expose_slack, configured.rollback_seconds
            ),
            lease_seconds,
            routing,
            records,
            self._events,
        )

    def _register_peer_methods(self) -> None:
        async def sync(sender: str, payload: bytes) -> bytes:
            return exchange.encode(self._terms.answer_report(exchange.decode_report(payload)))

        async def draw(sender: str, payload: bytes) -> bytes:
            return exchange.encode(self._terms.answer_draw(exchange.decode_draw_request(payload)))

        async def probe(sender: str, payload: bytes) -> bytes:
            return exchange.encode(self._terms.answer_probe(exchange.decode_probe_request(payload)))

        async def origin(sender: str, payload: bytes) -> bytes:
            request = exchange.decode_origin_request(payload)
            return exchange.encode(await self._terms.answer_origin(request))

        async def announce(sender: str, payload: bytes) -> bytes:
            return b"1" if await self._api.announce_as_leader(payload) else b""

        async def join(sender: str, payload: bytes) -> bytes:
            return self._formation.answer_join(payload)

        async def read(sender: str, payload: bytes) -> bytes:
            return await self._api.read_as_leader()

        self._links.serve(exchange.SYNC, sync)
        self._links.serve(exchange.DRAW, draw)
        self._links.serve(exchange.PROBE, probe)
        self._links.serve(exchange.ORIGIN, origin)
        self._links.serve(exchange.ANNOUNCE, announce)
        self._links.serve(exchange.JOIN, join)
        self._links.serve(controlapi.READ, read)
        self._links.serve(rolloutapi.ROLLOUT, self._rollout_api.serve)

    async def _start_listeners(self) -> None:
        listen = self._settings.listen
        assert listen.control is not None
        host, port = daemon_settings.split_address(listen.control)
        self._api = controlapi.ControlApi(
            self._dialect,
            self._settings.process.id,
            port,
            self._logs,
            self._proposer,
            self._link,
            self._terms,
            self._events,
            self._metrics,
            self._rollout_api,
        )
        api_server = server.Server(self._api.handle, self._api.encode_error, BOUNDS)
        await api_server.start(host, port)
        self._servers.append(api_server)
        if listen.metrics_port is not None:
            page = metricspage.MetricsPage(self._metrics)
            metrics_server = server.Server(page.handle, metricspage.plain_error, metricspage.BOUNDS)
            await metrics_server.start(host, listen.metrics_port)
            self._servers.append(metrics_server)

    def _start_tasks(self) -> None:
        leader_sync = leadersync.LeaderSync(
            self._link,
            self._documents,
            self._directory,
            self._report,
            self._apply_answer,
            self._events,
            self._metrics,
        )
        follows = functools.partial(leader_sync.run, lambda: not self._logs.leads(loghost.CONTROL))
        expiry = functools.partial(leases.expire_leases, self._logs, self._proposer, clock.steady)
        work = {
            "leader_sync": follows,
            "terms": self._terms.run,
            "join": self._formation.send_join_requests,
            "voters": self._formation.manage_voters,
            "unheard": self._formation.announce_leader,
            "peers": self._maintain_peers,
            "streams": self._origin_files.run,
            "lease_expiry": expiry,
        }
        if self._speeds is not None:
            work["speeds"] = self._speeds.run
        if self._settings.cloud is not None:
            work |= self._duties(self._settings.cloud)
        self._tasks += [
            asyncio.create_task(background.keep_running(name, each, self._events))
            for name, each in work.items()
        ]

    def _duties(self, cloud: settings.Cloud) -> dict[str, Callable[[], Awaitable[None]]]:
        duties_lease = leases.ManagedLease(
            DUTIES_LEASE,
            self._identity.replica,
            self._identity.start,
            DUTIES_LEASE_FRACTION * cloud.lease_seconds,
            self._proposer,
            clock.steady,
            should_hold=lambda: self._terms.current is not None,
            retry_seconds=DUTIES_RETRY_SECONDS,
        )
        cloud_duties = duties.CloudDuties(
            self._cloud,
            cloud.address,
            self._client,
            duties_lease,
            self._proposer,
            self._settings.process.id,
            self._settings.usage.window_seconds,
            self._settings.usage.due_seconds,
            lambda: self._documents.table.routing if self._documents.table else None,
            lambda: self._terms.current,
            self._plans,
            self._events,
            self._metrics,
            self._speeds if self._settings.speeds.plan else None,
        )
        return {"duties_lease": duties_lease.run, "duties": cloud_duties.run}

    async def _maintain_peers(self) -> None:
        """Updates the peers and the leader's address from the members of the log."""
        while True:
            members = self._logs.tasks[loghost.CONTROL].members
            addresses = {
                **self._formation.member_addresses,
                **{name: address for name, (address, _) in members.items()},
            }
            addresses.pop(self._identity.replica, None)
            self._link.set_replicas(addresses)
            if members:
                self._link.set_controls(address for address, _ in members.values())
                self._link.set_leader(self._terms.leader_address())
            await asyncio.sleep(formation.CHECK_INTERVAL_SECONDS)

    def _new_pacing(
        self, upstream_directory: directory.Directory, now: float
    ) -> leaderpacing.LeaderPacing | None:
        """Returns the windows of upstreams for a new term, if the settings enable them."""
        if self._settings.pacing is None:
            return None
        interval_seconds = self._settings.announcements.interval_seconds
        return leaderpacing.LeaderPacing(
            upstream_directory,
            directory.LOST_AFTER_INTERVALS * interval_seconds,
            self._events,
            self._metrics,
            now,
        )

    def _apply_answer(self, answer: exchange.Answer) -> None:
        now = clock.steady()
        self._terms.record_entry_count(answer.entries)
        self._plans.receive(answer.plans, now)
        self._quarantines.merge(answer.parts.quarantines, now)
        self._limits.merge((each.limit for each in answer.limits), now)
        self._brittle.merge(answer.brittle, answer.rejections, now)
        self._origins.merge(answer.origins.batches, now)
        self._origins_version = answer.origins.version
        if self._speeds is not None and answer.speeds is not None:
            self._speeds.receive(
                answer.speeds, answer.directory.leadership, self._directory.records.get
            )
        if self._rollouts is not None and answer.rollouts is not None:
            self._rollouts.receive(answer.rollouts, now)

    def _report(self, poll: lease.PollRequest, version: tuple[str, int]) -> exchange.Report:
        return exchange.Report(
            f"{self._identity.replica}/{self._identity.start}",
            self._settings.process.zone,
            poll,
            version,
            origins_version=self._origins_version,
            speeds=self._speeds.report(version[0]) if self._speeds is not None else None,
            rollouts=(self._rollouts.report() if self._rollouts is not None else None),
        )

    def _peer_seeds(self, configured: settings.Settings) -> list[str]:
        port = configured.peers.port
        seeds = [leaderlink.peer_address(seed, port) for seed in configured.peers.seeds]
        return [seed for seed in seeds if seed != self._address]
