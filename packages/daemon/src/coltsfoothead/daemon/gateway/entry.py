"""The entry role: receives callers' requests and forwards them to upstreams."""

import asyncio
import random
import uuid

import msgspec

from coltsfoothead.coordination.configuration import lease
from coltsfoothead.coordination.transport import links as links_module
from coltsfoothead.daemon import metrics as metrics_module
from coltsfoothead.daemon import settings as daemon_settings
from coltsfoothead.daemon.gateway import (
    admission,
    allowances,
    background,
    clock,
    directory,
    documentcopy,
    eventlog,
    exchange,
    forwarding,
    leaderlink,
    leadersync,
    loads,
    metricspage,
    originlookup,
    pathmonitor,
    ports,
    promptguard,
    relayclient,
    relaymessages,
    relayserver,
    sending,
    settings,
    upstreamnotices,
    upstreamstarts,
)
from coltsfoothead.daemon.gateway.explaining import explainer
from coltsfoothead.daemon.gateway.explaining import page as explainpage
from coltsfoothead.daemon.gateway.pacing import entrypacing
from coltsfoothead.daemon.gateway.rollouts import versionchoice
from coltsfoothead.daemon.gateway.sharing import requestshares
from coltsfoothead.daemon.gateway.speeds import entryside
from coltsfoothead.daemon.gateway.waiting import room
from coltsfoothead.daemon.http import buffers, message, server
from coltsfoothead.daemon.http import client as http_client
from coltsfoothead.kernel import registry
from coltsfoothead.kernel.rollouts import entry as rollout_entry
from coltsfoothead.kernel.sharing import entryshares
from coltsfoothead.kernel.traffic import (
    document,
    peering,
    placement,
    repeats,
    requestlimits,
    streamorigins,
    usage,
)
from coltsfoothead.kernel.waiting import queue

__all__ = ["Entry"]

CLUSTER_NAME = "gateway"
# Connecting to an upstream takes one round trip; if it takes longer, the first packet was lost or
# the VM is gone.
CONNECT_TIMEOUT_SECONDS = 0.6
# Usage windows that an entry reports; the report of a window is due two windows after its end.
REPORTED_USAGE_WINDOWS = 5
# A draw from a quota takes one round trip between regions; latency targets exceed a second.
DRAW_TIMEOUT_SECONDS = 0.2
_DRAW_OUTCOMES = {True: "given", False: "refused", None: "unanswered"}
# Connections of callers; the remaining file descriptors are for upstreams and files.
MAX_CALLER_CONNECTIONS = 3000
# Fraction of the grace period in which the load balancer notices that the entry is draining. After
# it new requests are refused, because a long response could not end before the process is killed.
DRAIN_FRACTION = 0.33
# Fraction of the grace period after which requests still in progress are ended.
ABORT_FRACTION = 0.92
LINK_SETTINGS = links_module.Settings(
    heartbeat_seconds=0.5, silence_timeout_seconds=1.6, idle_timeout_seconds=5.0
)


class Entry:
    """One entry process.

    Parameters
    ----------
    configured : Settings
    caller_dialect : CallerDialect
    document_dialect : ControlDialect
        Decodes documents.
    """

    def __init__(
        self,
        configured: settings.Settings,
        caller_dialect: ports.CallerDialect,
        document_dialect: ports.ControlDialect,
    ) -> None:
        self._settings = configured
        self._events = eventlog.EventLog(configured.process.id)
        self._metrics = metrics_module.Metrics()
        self._rng = random.Random()
        self._sender_id = f"{configured.process.id}/{uuid.uuid4().hex[:8]}"
        self._links = links_module.Links(
            CLUSTER_NAME,
            self._sender_id,
            1,
            self._peer_address(),
            LINK_SETTINGS,
            self._rng,
        )
        self._client = http_client.Client(CONNECT_TIMEOUT_SECONDS, preserve_host=True)
        self._documents = documentcopy.DocumentCopy(document_dialect, self._events)
        lost_after_seconds = (
            directory.LOST_AFTER_INTERVALS * configured.announcements.interval_seconds
        )
        self._directory = directory.DirectoryCopy(lost_after_seconds)
        self._allowances = allowances.Allowances(self._rng, self._draw)
        tracker = loads.LoadTracker()
        self._limits = requestlimits.EntryLimits()
        self._pacing = entrypacing.EntryPacing(
            configured.pacing is not None, tracker, self._metrics, self._rng.random()
        )
        self._notices = upstreamnotices.UpstreamNotices(self._events)
        self._peers = peering.PeerTable(
            placement.Distances(configured.process.zone, configured.zones).distance, self._rng
        )
        self._relays = relayclient.RelayClient(self._links, self._peers, self._events)
        self._paths = pathmonitor.PathMonitor(
            self._client,
            self._directory,
            tracker,
            lost_after_seconds,
            self._relays.ask_peers,
            self._events,
            self._rng,
        )
        self._guard = promptguard.PromptGuard(
            tracker, self._request_probe, self._paths.isolated, self._events, self._rng
        )
        self._relay_server = relayserver.RelayServer(
            caller_dialect,
            self._client,
            self._directory,
            self._paths,
            self._guard,
            self._notices,
        )
        self._origins = streamorigins.EntryOrigins()
        self._admission = admission.Admission(
            self._documents,
            self._allowances,
            self._guard,
            originlookup.OriginLookup(self._origins, self._ask_for_origin, self._events, self._rng),
            self._rng,
        )
        retry_limits = configured.repeats
        self._retry_budget = repeats.RetryBudget(
            retry_limits.ratio, retry_limits.fixed, retry_limits.window_seconds
        )
        self._usage = usage.WindowCounts(configured.usage.window_seconds, REPORTED_USAGE_WINDOWS)
        self._speeds = entryside.SpeedMonitor(configured.speeds.learned, tracker)
        self._shares = (
            requestshares.RequestShares(entryshares.EntryShares(self._rng), self._metrics)
            if configured.sharing is not None
            else None
        )
        self._waiting: room.WaitingRoom | None = None
        if configured.waiting is not None:
            bounds = queue.Bounds(
                configured.waiting.max_requests, configured.waiting.max_body_bytes
            )
            self._waiting = room.WaitingRoom(bounds, self._metrics, self._rng)
        self._rollouts = (
            rollout_entry.EntryRollouts(self._rng) if configured.rollouts is not None else None
        )
        self._sender = sending.Sender(
            caller_dialect,
            self._client,
            self._directory,
            placement.Distances(configured.process.zone, configured.zones),
            self._retry_budget,
            self._admission,
            registry.resolve("placement", configured.placement.policy)(),
            tracker,
            self._guard,
            self._limits,
            self._notices,
            self._paths,
            self._relays,
            upstreamstarts.UpstreamStarts(self._directory, self._client),
            self._events,
            self._rng,
            self._speeds,
            self._shares,
            self._pacing,
            waiting=self._waiting,
            versions=versionchoice.VersionChoice(self._rollouts),
        )
        self._forwarder = forwarding.Forwarder(
            caller_dialect,
            self._admission,
            self._sender,
            self._retry_budget,
            self._usage,
            self._origins,
            self._events,
            self._metrics,
            buffers.BufferPool(configured.memory.answer_bytes),
        )
        self._draining = False
        self._caller_limits = document.CallerLimits()
        self._servers: list[server.Server] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Starts the servers and the exchange with the leader."""
        self._links.serve(relaymessages.PEER_STATE, self._relay_server.state)
        self._links.serve_stream(relaymessages.RELAY, self._relay_server.serve)
        await self._links.start()
        self._link = leaderlink.LeaderLink(
            self._links, self._peer_seeds(self._settings), self._events, self._rng
        )
        self._leader_sync = leadersync.LeaderSync(
            self._link,
            self._documents,
            self._directory,
            self._build_report,
            self._apply_answer,
            self._events,
            self._metrics,
        )
        listen = self._settings.listen
        assert listen.callers is not None and listen.readiness is not None
        self._caller_server = server.Server(
            self._forwarder.handle, self._forwarder.encode_error, _bounds(self._caller_limits)
        )
        await self._start_server(self._caller_server, listen.callers)
        readiness = server.Server(
            self._handle_readiness, metricspage.plain_error, metricspage.BOUNDS
        )
        await self._start_server(readiness, listen.readiness)
        if listen.metrics_port is not None:
            request_explainer = explainer.Explainer(self._admission, self._sender, random.Random())
            page = explainpage.ExplainPage(
                request_explainer, metricspage.MetricsPage(self._metrics).handle
            )
            metrics = server.Server(page.handle, metricspage.plain_error, metricspage.BOUNDS)
            await self._start_server(
                metrics, f"{self._settings.process.address}:{listen.metrics_port}"
            )
        work = {"leader_sync": self._leader_sync.run, "paths": self._paths.run}
        self._tasks += [
            asyncio.create_task(background.keep_running(name, each, self._events))
            for name, each in work.items()
        ]
        self._events.write("started", role="entry", zone=self._settings.process.zone)

    def reload(self, configured: settings.Settings) -> None:
        """Applies changed settings; only the seeds can change while the process runs."""
        self._link.set_seeds(self._peer_seeds(configured))
        self._events.write("reloaded", seeds=list(configured.peers.seeds))

    async def stop(self) -> None:
        """Drains the entry: finishes or aborts the requests in flight within the grace period."""
        loop = asyncio.get_running_loop()
        grace_seconds = self._settings.stop.grace_seconds
        started_at = loop.time()
        self._events.write("stopping", under_way=self._in_flight, grace_seconds=grace_seconds)
        self._draining = True
        self._forwarder.drain()
        self._relay_server.drain()
        if self._waiting is not None:
            self._waiting.stop(self._admission.stopping_refusal)
        await asyncio.sleep(DRAIN_FRACTION * grace_seconds)
        self._admission.stop()
        self._caller_server.close_idle()
        while self._in_flight and loop.time() < started_at + ABORT_FRACTION * grace_seconds:
            await asyncio.sleep(0.02)
        aborted = self._in_flight
        self._forwarder.end_requests()
        await self.close()
        self._events.write("stopped", broken=aborted, seconds=round(loop.time() - started_at, 2))

    async def close(self) -> None:
        """Stops servers, tasks and connections without draining."""
        await asyncio.gather(*(each.stop(0.1) for each in self._servers))
        self._paths.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._links.stop(0.1)
        self._client.close()

    async def wait_failed(self) -> None:
        """Waits until a background task ends unexpectedly; raises its error."""
        done, _ = await asyncio.wait(self._tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            task.result()

    @property
    def _in_flight(self) -> int:
        """Number of requests of callers and of other entries that have not been answered."""
        return self._forwarder.in_flight + self._relay_server.in_flight

    def _peer_address(self) -> str:
        return f"{self._settings.process.address}:{self._settings.peers.port}"

    def _peer_seeds(self, configured: settings.Settings) -> list[str]:
        port = configured.peers.port
        return [leaderlink.peer_address(seed, port) for seed in configured.peers.seeds]

    async def _start_server(self, listener: server.Server, address: str) -> None:
        await listener.start(*daemon_settings.split_address(address))
        self._servers.append(listener)

    async def _handle_readiness(self, caller: server.Exchange) -> None:
        ready = self._documents.valid() and not self._draining
        await caller.respond(message.Response(200 if ready else 503))

    def _build_report(self, poll: lease.PollRequest, have: tuple[str, int]) -> exchange.Report:
        return exchange.Report(
            self._sender_id,
            self._settings.process.zone,
            poll,
            have,
            entry=True,
            asked=self._allowances.pop_requested(),
            spent=self._allowances.pop_spent(),
            loads=dict(self._sender.loads.own_loads),
            usage={number: dict(counts) for number, counts in self._usage.counts.items()},
            demand=self._forwarder.demand(),
            reads=self._sender.loads.pop_prefix_reads(),
            parts=self._guard.report(),
            limits=self._limits.report(clock.steady()),
            origins=self._origins.report(),
            address=self._peer_address(),
            peers_digest=self._peers.digest,
            leaving=self._notices.leaving(),
            brittle=self._notices.brittle.tolerances(clock.steady()),
            rejections=self._notices.brittle.rejections(clock.steady()),
            speeds=self._speeds.report(have[0]),
            sharing=self._shares.pop_work() if self._shares is not None else (),
            pacing=self._pacing.report(),
            appointments=self._waiting.report() if self._waiting is not None else (),
            rollouts=(
                self._rollouts.report(clock.steady(), have[0])
                if self._rollouts is not None
                else None
            ),
        )

    async def _draw(self, organisation: str, amount: float) -> bool | None:
        """Asks the leader for an amount of a quota; returns None if no leader answers."""
        leader = self._link.leader
        if leader is None:
            return None
        payload = exchange.encode(exchange.DrawRequest(organisation, amount))
        try:
            answer = await self._link.call(leader, exchange.DRAW, payload, DRAW_TIMEOUT_SECONDS)
            granted = exchange.decode_draw_response(answer).given
        except (leaderlink.LeaderUnreachableError, msgspec.MsgspecError) as error:
            self._events.write("draw_failed", target=leader, cause=str(error))
            granted = None
        self._metrics.count(f"quota_draws_{_DRAW_OUTCOMES[granted]}")
        return granted

    async def _request_probe(self, part_id: str, service: str) -> bool | None:
        """Asks the leader whether a request may be sent; None if no leader answers."""
        leader = self._link.leader
        if leader is None:
            return None
        payload = exchange.encode(exchange.ProbeRequest(part_id, service))
        try:
            answer = await self._link.call(leader, exchange.PROBE, payload, DRAW_TIMEOUT_SECONDS)
            return exchange.decode_probe_response(answer).given
        except (leaderlink.LeaderUnreachableError, msgspec.MsgspecError) as error:
            self._events.write("probe_not_granted", part=part_id, cause=str(error))
            return None

    async def _ask_for_origin(self, stream_id: str, service: str) -> exchange.OriginResponse | None:
        """Asks the leader which software version began a stream; None if no leader answers."""
        leader = self._link.leader
        if leader is None:
            return None
        payload = exchange.encode(exchange.OriginRequest(stream_id, service))
        try:
            data = await self._link.call(leader, exchange.ORIGIN, payload, DRAW_TIMEOUT_SECONDS)
            answer = exchange.decode_origin_response(data)
            return answer if answer.leads else None
        except (leaderlink.LeaderUnreachableError, msgspec.MsgspecError) as error:
            self._events.write("origin_not_answered", stream=stream_id, cause=str(error))
            return None

    def _apply_answer(self, answer: exchange.Answer) -> None:
        self._allowances.renew(answer.allowances, clock.steady())
        now = clock.steady()
        self._sender.loads.set_other_loads(answer.loads, now)
        for prefix_id, upstream_id in answer.reads:
            self._sender.loads.add_prefix_holder(prefix_id, upstream_id, now)
        self._sender.set_entry_count(answer.entries)
        if self._shares is not None:
            self._shares.receive(answer.sharing, answer.entries, now)
        self._guard.receive(answer.parts)
        self._limits.receive(answer.limits, now)
        self._notices.brittle.merge(answer.brittle, answer.rejections, now)
        self._origins.confirm(answer.directory.leadership)
        self._speeds.receive(answer.speeds, answer.directory.leadership)
        self._pacing.receive(answer)
        self._apply_rollouts(answer)
        if answer.peers is not None:
            self._peers.set_peers(answer.peers)
            self._link.set_entries(self._peers.addresses)
        if self._waiting is not None:
            self._waiting.receive(answer.appointments)
        table = self._documents.table
        if table is not None and table.routing.limits != self._caller_limits:
            self._caller_limits = table.routing.limits
            self._caller_server.set_bounds(_bounds(self._caller_limits))

    def _apply_rollouts(self, answer: exchange.Answer) -> None:
        if self._rollouts is None or answer.rollouts is None:
            return
        for rule in self._rollouts.receive(answer.rollouts, answer.directory.leadership):
            self._events.write("rollout_rule", rule=msgspec.to_builtins(rule))


def _bounds(limits: document.CallerLimits) -> server.Bounds:
    return server.Bounds(
        limits.body_bytes,
        limits.header_bytes,
        limits.receive_seconds,
        limits.idle_seconds,
        MAX_CALLER_CONNECTIONS,
    )
