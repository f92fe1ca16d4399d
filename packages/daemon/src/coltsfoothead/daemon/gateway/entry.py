"""The entry role: takes callers' requests and sends them to upstreams."""

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
    clock,
    directory,
    documentcopy,
    eventlog,
    exchange,
    following,
    forwarding,
    leaderlink,
    metricspage,
    ports,
    sending,
    settings,
)
from coltsfoothead.daemon.http import client as http_client
from coltsfoothead.daemon.http import message, server
from coltsfoothead.kernel import registry
from coltsfoothead.kernel.traffic import document, repeats, usage

__all__ = ["Entry"]

CLUSTER = "gateway"
# A connection to an upstream takes one round trip; one that takes longer has lost its first packet
# or leads to a VM that is gone.
CONNECT_SECONDS = 0.6
# Windows of usage that an entry reports; a report is due two windows after the end of its own.
WINDOWS_KEPT = 5
# A draw from a quota takes one round trip between regions; a caller's objective is over a second.
DRAW_SECONDS = 0.2
_DRAWS = {True: "given", False: "refused", None: "unanswered"}
# Connections of callers; the rest of the descriptors is for upstreams and files.
CALLER_CONNECTIONS = 3000
# Part of the time until the kill in which the balancer notices that the entry is leaving. After it
# new requests are refused: a long answer could not end before the kill.
NOTICE_PART = 0.33
# Part of it after which answers that still run are broken off.
STOP_PART = 0.92
LINKS = links_module.Settings(
    heartbeat_seconds=0.5, silence_timeout_seconds=1.6, idle_timeout_seconds=5.0
)


class Entry:
    """One entry process.

    Parameters
    ----------
    configured : Settings
    callers : CallerDialect
    documents : ControlDialect
        Reads documents.
    """

    def __init__(
        self,
        configured: settings.Settings,
        callers: ports.CallerDialect,
        documents: ports.ControlDialect,
    ) -> None:
        self._settings = configured
        self._events = eventlog.EventLog(configured.process.id)
        self._metrics = metrics_module.Metrics()
        self._rng = random.Random()
        self._sender_id = f"{configured.process.id}/{uuid.uuid4().hex[:8]}"
        self._links = links_module.Links(
            CLUSTER, self._sender_id, 1, f"{configured.process.address}:0", LINKS, self._rng
        )
        self._client = http_client.Client(CONNECT_SECONDS, keep_host=True)
        self._documents = documentcopy.DocumentCopy(documents, self._events)
        self._copy = directory.DirectoryCopy()
        self._allowances = allowances.Allowances(self._rng, self._draw)
        self._admission = admission.Admission(self._documents, self._allowances, self._rng)
        bound = configured.repeats
        self._budget = repeats.RetryBudget(bound.ratio, bound.fixed, bound.window_seconds)
        self._usage = usage.WindowCounts(configured.usage.window_seconds, WINDOWS_KEPT)
        self._sender = sending.Sender(
            callers,
            self._client,
            self._copy,
            configured.process.zone,
            configured.zones,
            self._budget,
            self._admission,
            registry.resolve("placement", configured.placement.policy)(),
            self._events,
            self._rng,
        )
        self._forwarder = forwarding.Forwarder(
            callers,
            self._admission,
            self._sender,
            self._budget,
            self._usage,
            self._events,
            self._metrics,
        )
        self._draining = False
        self._limits = document.CallerLimits()
        self._servers: list[server.Server] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Starts listening and following the leader."""
        self._link = leaderlink.LeaderLink(
            self._links, self._peer_seeds(self._settings), self._events, self._rng
        )
        self._following = following.Following(
            self._link,
            self._documents,
            self._copy,
            self._report,
            self._taken,
            self._events,
            self._metrics,
        )
        listen = self._settings.listen
        assert listen.callers is not None and listen.readiness is not None
        self._callers = server.Server(
            self._forwarder.handle, self._forwarder.encode_error, _bounds(self._limits)
        )
        await self._listen(self._callers, listen.callers)
        readiness = server.Server(self._ready, metricspage.plain_error, metricspage.BOUNDS)
        await self._listen(readiness, listen.readiness)
        if listen.metrics_port is not None:
            page = metricspage.MetricsPage(self._metrics)
            metrics = server.Server(page.handle, metricspage.plain_error, metricspage.BOUNDS)
            await self._listen(metrics, f"{self._settings.process.address}:{listen.metrics_port}")
        self._tasks.append(asyncio.create_task(self._following.run()))
        self._events.write("started", role="entry", zone=self._settings.process.zone)

    def reload(self, configured: settings.Settings) -> None:
        """Takes changed settings; only the seeds can change while a process runs."""
        self._link.set_seeds(self._peer_seeds(configured))
        self._events.write("reloaded", seeds=list(configured.peers.seeds))

    async def stop(self) -> None:
        """Finishes what runs within the time until the kill."""
        loop = asyncio.get_running_loop()
        grace = self._settings.stop.grace_seconds
        began = loop.time()
        self._events.write("stopping", under_way=self._forwarder.under_way, grace_seconds=grace)
        self._draining = True
        self._forwarder.drain()
        await asyncio.sleep(NOTICE_PART * grace)
        self._admission.stop()
        self._callers.close_idle()
        while self._forwarder.under_way and loop.time() < began + STOP_PART * grace:
            await asyncio.sleep(0.02)
        broken = self._forwarder.under_way
        await self.close()
        self._events.write("stopped", broken=broken, seconds=round(loop.time() - began, 2))

    async def close(self) -> None:
        """Ends everything at once."""
        await asyncio.gather(*(each.stop(0.1) for each in self._servers))
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._links.stop(0.1)
        self._client.close()

    async def wait_failed(self) -> None:
        """Waits until a task ends that should not; raises what ended it."""
        done, _ = await asyncio.wait(self._tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            task.result()

    def _peer_seeds(self, configured: settings.Settings) -> list[str]:
        port = configured.peers.port
        return [leaderlink.peer_address(seed, port) for seed in configured.peers.seeds]

    async def _listen(self, listener: server.Server, address: str) -> None:
        await listener.start(*daemon_settings.split_address(address))
        self._servers.append(listener)

    async def _ready(self, caller: server.Exchange) -> None:
        ready = self._documents.valid() and not self._draining
        await caller.respond(message.Response(200 if ready else 503))

    def _report(self, poll: lease.PollRequest, have: tuple[str, int]) -> exchange.Report:
        return exchange.Report(
            self._sender_id,
            self._settings.process.zone,
            poll,
            have,
            entry=True,
            asked=self._allowances.take_asked(),
            spent=self._allowances.take_spent(),
            loads=dict(self._sender.loads.own),
            usage={number: dict(counts) for number, counts in self._usage.counts.items()},
            demand=self._forwarder.demand(),
            reads=self._sender.loads.take_reads(),
        )

    async def _draw(self, organisation: str, amount: float) -> bool | None:
        """Asks the leader for an amount of a quota; returns None if none answers."""
        leader = self._link.leader
        if leader is None:
            return None
        payload = exchange.encode(exchange.DrawRequest(organisation, amount))
        try:
            answer = await self._link.call(leader, exchange.DRAW, payload, DRAW_SECONDS)
            given = exchange.decode_draw_response(answer).given
        except (leaderlink.LeaderUnreachableError, msgspec.MsgspecError) as error:
            self._events.write("draw_failed", target=leader, cause=str(error))
            given = None
        self._metrics.count(f"quota_draws_{_DRAWS[given]}")
        return given

    def _taken(self, answer: exchange.Answer) -> None:
        self._allowances.renew(answer.allowances, clock.steady())
        now = clock.steady()
        self._sender.loads.set_others(answer.loads, now)
        for part_id, upstream_id in answer.reads:
            self._sender.loads.heard_read(part_id, upstream_id, now)
        self._sender.set_entries(answer.entries)
        table = self._documents.table
        if table is not None and table.routing.limits != self._limits:
            self._limits = table.routing.limits
            self._callers.set_bounds(_bounds(self._limits))


def _bounds(limits: document.CallerLimits) -> server.Bounds:
    return server.Bounds(
        limits.body_bytes,
        limits.header_bytes,
        limits.receive_seconds,
        limits.idle_seconds,
        CALLER_CONNECTIONS,
    )
