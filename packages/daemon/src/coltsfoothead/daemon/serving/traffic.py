"""Builds and runs the components that serve callers."""

import asyncio
import random
from collections.abc import Callable

from absl import logging

from coltsfoothead.coordination.ledger import commands as ledger_commands
from coltsfoothead.coordination.membership import directory as directory_module
from coltsfoothead.coordination.membership import members as members_module
from coltsfoothead.coordination.membership import task as membership_task
from coltsfoothead.coordination.transport import links as links_module
from coltsfoothead.daemon import metrics as metrics_module
from coltsfoothead.daemon import readiness as readiness_module
from coltsfoothead.daemon import settings as settings_module
from coltsfoothead.daemon.callers import (
    frontend,
    idempotency,
    models,
    refusals,
    services,
    servicetraffic,
)
from coltsfoothead.daemon.control import loghost, proposer
from coltsfoothead.daemon.http import buffers, message, server
from coltsfoothead.daemon.http import client as http_client
from coltsfoothead.daemon.serving import (
    admission,
    generation,
    leaving,
    locator,
    ownerside,
    prediction,
    replication,
    requests,
    router,
    servicelevel,
    unreplicated,
)

__all__ = ["Traffic"]

# Memory of the answers of services that are being received.
ANSWER_BUFFER_BYTES = 64 * 1024 * 1024

EXPIRY_INTERVAL_SECONDS = 5.0
DRAIN_POLL_INTERVAL_SECONDS = 0.05
# Minimum drain time, in which the load balancer notices that the daemon is not ready.
READINESS_NOTICE_SECONDS = 0.5
# Time before the drain deadline at which the running requests are handed over to their guards.
HAND_OVER_LEAD_SECONDS = 2.0


class LogLedgerProposer:
    """Commits ledger commands to the ledger log.

    Parameters
    ----------
    log_proposer : Proposer
    """

    def __init__(self, log_proposer: proposer.Proposer) -> None:
        self._proposer = log_proposer

    async def propose_ledger(self, command: object) -> object:
        """Returns the result of a committed command.

        Raises
        ------
        LedgerUnavailableError
            If there is no quorum, or if it is unknown whether the command was committed.
        """
        try:
            return await self._proposer.propose(loghost.LEDGER, ledger_commands.NAME, command)
        except (proposer.QuorumLostError, proposer.UnknownOutcomeError) as error:
            raise idempotency.LedgerUnavailableError(str(error)) from error


class Traffic:
    """Serves callers: model requests, service calls and resumed answers.

    Parameters
    ----------
    settings : Settings
    incarnation : int
        Incarnation of this daemon in the membership.
    links : Links
    client : Client
    log_proposer : Proposer
    directory : Directory
    membership : Membership
    readiness : Readiness
    metrics : Metrics
    clock : callable
        Monotonic seconds.
    rng : random.Random
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        incarnation: int,
        links: links_module.Links,
        client: http_client.Client,
        log_proposer: proposer.Proposer,
        directory: directory_module.Directory,
        membership: membership_task.Membership,
        readiness: readiness_module.Readiness,
        metrics: metrics_module.Metrics,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        daemon_settings = settings.daemon
        timeouts = settings.timeouts
        self._settings = settings
        self._membership = membership
        self._readiness = readiness
        self._metrics = metrics
        self._clock = clock
        self._generations: dict[str, asyncio.Task[None]] = {}
        self._running: dict[str, generation.Generation] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self.table = requests.RequestTable(
            timeouts.answer_retention_seconds, settings.limits.answer_store_bytes
        )
        self.predictor = prediction.Predictor(readiness.latest_document)
        self.service_level = servicelevel.ServiceLevel(readiness.latest_document, metrics, clock)
        self.router = router.FleetRouter(
            directory,
            readiness.latest_document,
            router.Location(daemon_settings.id, daemon_settings.region, daemon_settings.zone),
            self.predictor,
            self._live_daemon_count,
            clock,
            rng,
        )
        if settings.single_node:
            self.replicator = unreplicated.Unreplicated()
        else:
            self.replicator = replication.Replication(
                ownerside.OwnerSettings(daemon_settings.id, incarnation, settings.guard.required),
                links,
                lambda: membership.members,
                log_proposer,
                self.start_generation,
                self.table,
                metrics,
                clock,
            )
        self.admission = admission.Admission(
            readiness.latest_document,
            self.predictor,
            self.service_level.count_refusal,
            self.router.slots,
            metrics,
            clock,
            rng,
        )
        self._context = generation.Context(
            client,
            self.router,
            metrics,
            self.replicator.request_changed,
            timeouts.stream_silence_seconds,
            clock,
            rng,
            self._record_first_token,
        )
        self._leave_planner = leaving.LeavePlanner(
            lambda: self._running.values(),
            self.router,
            self.predictor,
            readiness.latest_document,
            clock,
        )
        self._ledger = idempotency.Ledger(
            LogLedgerProposer(log_proposer), daemon_settings.id, incarnation
        )
        self._locator = locator.Locator(
            daemon_settings.id,
            links,
            lambda: membership.members,
            self.table,
            self.replicator,
            metrics,
        )
        self._deduplicator = idempotency.Deduplicator(
            self._ledger, daemon_settings.id, self._locator.join, self._is_lost
        )
        self._locator.register_handlers(self._deduplicator.wait_settled)
        self._models = models.ModelTraffic(
            readiness.document,
            self.table,
            self.start_generation,
            self.replicator,
            self.admission,
            self._locator,
            self._deduplicator,
            self._ledger,
            metrics,
            models.Timing(timeouts.request_seconds, timeouts.caller_heartbeat_seconds),
            clock,
        )
        service_client = services.ServiceClient(
            client,
            self.router,
            metrics,
            settings.limits.body_bytes,
            buffers.BufferPool(max(ANSWER_BUFFER_BYTES, settings.limits.body_bytes)),
            self.admission.retry_delay,
            clock,
        )
        self._services = servicetraffic.ServiceTraffic(
            readiness.document,
            service_client,
            self._deduplicator,
            self._ledger,
            metrics,
            self.service_level.count_service_call,
            self.admission.count_request,
            clock,
        )

    @property
    def running(self) -> int:
        """Number of model requests and service calls in progress."""
        return len(self._generations) + self._services.running

    def routes(self) -> list[frontend.Route]:
        """Returns the HTTP routes of the listener for callers."""
        get = frozenset({"GET"})
        return [
            frontend.Route("/healthz", get, self._health, exact=True),
            frontend.Route("/readyz", get, self._ready, exact=True),
            frontend.Route("/v1/models", get, self._models.list_models, exact=True),
            frontend.Route(
                "/v1/chat/completions", frozenset({"POST"}), self._models.complete_chat, exact=True
            ),
            frontend.Route(models.REQUEST_PREFIX, get, self._models.resume),
            frontend.Route(services.PATH_PREFIX, frozenset(), self._services.handle),
        ]

    @property
    def leave_planner(self) -> leaving.LeavePlanner:
        """Component that must be notified of changed upstreams."""
        return self._leave_planner

    async def start(self) -> None:
        """Starts the background tasks."""
        coroutines = [self._expire_requests(), self.admission.run()]
        if isinstance(self.replicator, replication.Replication):
            changes = self._membership.subscribe()
            coroutines += [self.replicator.run(), self.replicator.watch_membership(changes)]
        self._tasks += [asyncio.get_running_loop().create_task(each) for each in coroutines]

    async def start_generation(self, request: requests.ModelRequest) -> None:
        """Starts the generation of a request's answer."""
        running = generation.Generation(self._context, request)
        task = asyncio.get_running_loop().create_task(self._generate(running, request))
        self._generations[request.request_id] = task
        self._running[request.request_id] = running
        request.on_end(lambda: task.cancel() if request.moved else None)

    async def drain(self, deadline: float) -> None:
        """Waits for the running requests, then hands over those that remain.

        Draining takes at least `READINESS_NOTICE_SECONDS`, unless the deadline is earlier, so that
        the load balancer of the platform notices that the daemon is not ready.

        Parameters
        ----------
        deadline : float
            Monotonic seconds.
        """
        notice_ends_at = min(deadline, self._clock() + READINESS_NOTICE_SECONDS)
        while self._clock() < notice_ends_at or (
            self.running and self._clock() < deadline - HAND_OVER_LEAD_SECONDS
        ):
            await asyncio.sleep(DRAIN_POLL_INTERVAL_SECONDS)
        await self.replicator.hand_over()
        while self._services.running and self._clock() < deadline:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_SECONDS)
        await self._ledger.stop()

    async def stop(self) -> None:
        """Cancels all running tasks."""
        tasks = [*self._tasks, *self._generations.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.replicator.stop()

    async def _generate(
        self, running: generation.Generation, request: requests.ModelRequest
    ) -> None:
        try:
            await running.run()
        except Exception:
            logging.exception("request %s: generation failed", request.request_id)
            text = "an internal error occurred"
            refusal = refusals.refuse(
                refusals.Code.INTERNAL,
                text,
                refusals.Execution.UNKNOWN,
                request_id=request.request_id,
            ).refusal
            request.finish(refusal, self._clock())
            self.replicator.request_changed(request)
        finally:
            self._generations.pop(request.request_id, None)
            self._running.pop(request.request_id, None)
            self.table.record_ended(request)
            if not request.moved:
                self.service_level.count_model_request(request)

    def _record_first_token(self, request: requests.ModelRequest) -> None:
        document = self._readiness.latest_document()
        if document is not None and request.started_at is not None:
            seconds = self._clock() - request.started_at
            target = document.targets.first_token_seconds
            self.admission.record_first_token(request.model, seconds, target)

    def _live_daemon_count(self) -> int:
        """Returns the number of live daemons, all of which route to the same upstreams."""
        members = self._membership.members.values()
        return sum(member.state <= members_module.State.SUSPECT for member in members)

    def _is_lost(self, member: str, incarnation: int) -> bool:
        """Returns whether this incarnation of a daemon has left, died or been restarted."""
        known = self._membership.members.get(member)
        if known is None or known.incarnation > incarnation:
            return True
        return known.state > members_module.State.SUSPECT

    async def _expire_requests(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_SECONDS)
            self.table.expire(self._clock())

    async def _health(self, exchange: server.Exchange) -> None:
        await exchange.respond(message.json_response(200, {"status": "ok"}))

    async def _ready(self, exchange: server.Exchange) -> None:
        reason = self._readiness.reason
        if reason is None:
            await exchange.respond(message.json_response(200, {"ready": True}))
            return
        await exchange.respond(message.json_response(503, {"ready": False, "reason": reason}))
