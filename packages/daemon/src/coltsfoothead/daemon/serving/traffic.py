"""Composes everything that serves callers."""

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
from coltsfoothead.daemon.http import client as http_client
from coltsfoothead.daemon.http import message, server
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

EXPIRE_SECONDS = 5.0
DRAIN_POLL_SECONDS = 0.05
READINESS_SECONDS = 0.5
# Time before the end of a notice at which what still runs is handed over.
HAND_OVER_SECONDS = 2.0


class LedgerProposals:
    """Commits ledger commands through the proposer."""

    def __init__(self, proposals: proposer.Proposer) -> None:
        self._proposals = proposals

    async def propose_ledger(self, command: object) -> object:
        """Returns the result of a committed command."""
        try:
            return await self._proposals.propose(loghost.LEDGER, ledger_commands.NAME, command)
        except (proposer.QuorumLostError, proposer.UnknownOutcomeError) as error:
            raise idempotency.LedgerUnavailableError(str(error)) from error


class Traffic:
    """Serves callers: model requests, service calls, reconnects."""

    def __init__(
        self,
        settings: settings_module.Settings,
        incarnation: int,
        links: links_module.Links,
        client: http_client.Client,
        proposals: proposer.Proposer,
        directory: directory_module.Directory,
        membership: membership_task.Membership,
        readiness: readiness_module.Readiness,
        metrics: metrics_module.Metrics,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        own = settings.daemon
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
        self.predictor = prediction.Predictor(readiness.latest)
        self.service_level = servicelevel.ServiceLevel(readiness.latest, metrics, clock)
        self.router = router.FleetRouter(
            directory,
            readiness.latest,
            router.Place(own.id, own.region, own.zone),
            self.predictor,
            self._entries,
            clock,
            rng,
        )
        if settings.single_node:
            self.replicator = unreplicated.Unreplicated()
        else:
            self.replicator = replication.Replication(
                ownerside.Place(own.id, incarnation, settings.guard.required),
                links,
                lambda: membership.members,
                proposals,
                self.start_generation,
                self.table,
                metrics,
                clock,
            )
        self.admission = admission.Admission(
            readiness.latest,
            self.predictor,
            self.service_level.refused,
            self.router.slots,
            metrics,
            clock,
            rng,
        )
        self._context = generation.Context(
            client,
            self.router,
            metrics,
            self.replicator.changed,
            timeouts.stream_silence_seconds,
            clock,
            rng,
            self._first_token,
        )
        self._leaving = leaving.Leaving(
            lambda: self._running.values(),
            self.router,
            self.predictor,
            readiness.latest,
            clock,
        )
        self._ledger = idempotency.Ledger(LedgerProposals(proposals), own.id, incarnation)
        self._locator = locator.Locator(
            own.id, links, lambda: membership.members, self.table, self.replicator, metrics
        )
        self._once = idempotency.OnceOnly(self._ledger, own.id, self._locator.join, self._is_lost)
        self._locator.serve(self._once.wait_settled)
        self._models = models.ModelTraffic(
            readiness.document,
            self.table,
            self.start_generation,
            self.replicator,
            self.admission,
            self._locator,
            self._once,
            self._ledger,
            metrics,
            models.Times(timeouts.request_seconds, timeouts.caller_heartbeat_seconds),
            clock,
        )
        calls = services.ServiceCalls(
            client,
            self.router,
            metrics,
            settings.limits.body_bytes,
            self.admission.retry_delay,
            clock,
        )
        self._services = servicetraffic.ServiceTraffic(
            readiness.document,
            calls,
            self._once,
            self._ledger,
            metrics,
            self.service_level.service_ended,
            self.admission.count_request,
            clock,
        )

    @property
    def running(self) -> int:
        """Requests and calls that are being served."""
        return len(self._generations) + self._services.running

    def routes(self) -> list[frontend.Route]:
        """Returns the routes of the callers' listener."""
        get = frozenset({"GET"})
        return [
            frontend.Route("/healthz", get, self._health, exact=True),
            frontend.Route("/readyz", get, self._ready, exact=True),
            frontend.Route("/v1/models", get, self._models.list_models, exact=True),
            frontend.Route(
                "/v1/chat/completions", frozenset({"POST"}), self._models.complete, exact=True
            ),
            frontend.Route(models.REQUEST_PREFIX, get, self._models.resume),
            frontend.Route(services.PREFIX, frozenset(), self._services.call),
        ]

    @property
    def leaving(self) -> leaving.Leaving:
        """What is to be told of leaving upstreams."""
        return self._leaving

    async def start(self) -> None:
        """Starts the background work."""
        work = [self._expire(), self.admission.run()]
        if isinstance(self.replicator, replication.Replication):
            changes = self._membership.subscribe()
            work += [self.replicator.run(), self.replicator.watch(changes)]
        self._tasks += [asyncio.get_running_loop().create_task(each) for each in work]

    async def start_generation(self, request: requests.ModelRequest) -> None:
        """Starts obtaining the answer of a request."""
        running = generation.Generation(self._context, request)
        task = asyncio.get_running_loop().create_task(self._generate(running, request))
        self._generations[request.request_id] = task
        self._running[request.request_id] = running
        request.on_end(lambda: task.cancel() if request.moved else None)

    async def drain(self, deadline: float) -> None:
        """Waits until nothing runs, or until it is time to hand over what does.

        It lasts long enough for the platform's balancer to see that the daemon is not ready.
        """
        seen = min(deadline, self._clock() + READINESS_SECONDS)
        while self._clock() < seen or (
            self.running and self._clock() < deadline - HAND_OVER_SECONDS
        ):
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        await self.replicator.hand_over()
        while self._services.running and self._clock() < deadline:
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        await self._ledger.stop()

    async def stop(self) -> None:
        """Ends what still runs."""
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
            self.replicator.changed(request)
        finally:
            self._generations.pop(request.request_id, None)
            self._running.pop(request.request_id, None)
            self.table.ended(request)
            if not request.moved:
                self.service_level.model_ended(request)

    def _first_token(self, request: requests.ModelRequest) -> None:
        document = self._readiness.latest()
        if document is not None and request.started_at is not None:
            seconds = self._clock() - request.started_at
            target = document.targets.first_token_seconds
            self.admission.first_token(request.model, seconds, target)

    def _entries(self) -> int:
        """Returns the number of live daemons; each of them routes to the same upstreams."""
        members = self._membership.members.values()
        return sum(member.state <= members_module.State.SUSPECT for member in members)

    def _is_lost(self, member: str, incarnation: int) -> bool:
        """Returns whether a daemon's incarnation has left, died or been restarted."""
        known = self._membership.members.get(member)
        if known is None or known.incarnation > incarnation:
            return True
        return known.state > members_module.State.SUSPECT

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRE_SECONDS)
            self.table.expire(self._clock())

    async def _health(self, exchange: server.Exchange) -> None:
        await exchange.respond(message.json_response(200, {"status": "ok"}))

    async def _ready(self, exchange: server.Exchange) -> None:
        reason = self._readiness.reason
        if reason is None:
            await exchange.respond(message.json_response(200, {"ready": True}))
            return
        await exchange.respond(message.json_response(503, {"ready": False, "reason": reason}))
