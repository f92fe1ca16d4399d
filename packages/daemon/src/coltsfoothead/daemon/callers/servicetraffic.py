"""Handler of the service paths: checks access, applies idempotency keys, answers the call."""

import asyncio
import dataclasses
from collections.abc import Callable

from coltsfoothead.coordination.ledger import commands, keys
from coltsfoothead.daemon import metrics as metrics_module
from coltsfoothead.daemon.callers import access, idempotency, refusals, services
from coltsfoothead.daemon.http import message, server
from coltsfoothead.kernel import environment

__all__ = ["ServiceTraffic"]

REPLAY_HEADER = ("x-idempotent-replay", "true")


class ServiceTraffic:
    """Answers calls to services other than model engines.

    Parameters
    ----------
    document : callable
        Returns the current environment document; raises `RefusedError` when there is none.
    client : ServiceClient
    deduplicator : Deduplicator
    ledger : Ledger
    metrics : Metrics
    record_outcome : callable
        Records a call for the service level. Takes the organisation, the seconds taken and whether
        the status was below 500.
    count_request : callable
        Counts the first attempt of a call, which adds a fraction of a retry to the budget of the
        organisation. Takes the organisation.
    clock : callable
        Monotonic seconds.
    """

    def __init__(
        self,
        document: Callable[[], environment.Environment],
        client: services.ServiceClient,
        deduplicator: idempotency.Deduplicator,
        ledger: idempotency.Ledger,
        metrics: metrics_module.Metrics,
        record_outcome: Callable[[str, float, bool], None],
        count_request: Callable[[str], None],
        clock: Callable[[], float],
    ) -> None:
        self._document = document
        self._client = client
        self._deduplicator = deduplicator
        self._ledger = ledger
        self._metrics = metrics
        self._record_outcome = record_outcome
        self._count_request = count_request
        self._clock = clock
        self._running = 0

    @property
    def running(self) -> int:
        """Number of calls in progress."""
        return self._running

    async def handle(self, exchange: server.Exchange) -> None:
        """Answers one call."""
        document = self._document()
        organisation = access.authenticate(exchange.request, document)
        call = services.build_call(exchange.request, document, organisation)
        started = self._clock()
        answered = False
        self._running += 1
        try:
            response = await self._response(call)
            answered = response.status < 500
        finally:
            self._running -= 1
            self._record_outcome(organisation.name, self._clock() - started, answered)
        self._metrics.record("service_us", (self._clock() - started) * 1e6)
        await exchange.respond(response)

    async def _response(self, call: services.ServiceCall) -> message.Response:
        self._metrics.count("service_calls")
        self._count_request(call.organisation)
        if call.idempotency_key is None:
            return await self._client.send(call)
        key = keys.Key(call.organisation, call.service.name, call.idempotency_key)
        request = call.request
        digest = idempotency.body_digest(request.method, request.target, request.body)
        claim_or_answer = await self._deduplicator.claim(key, digest)
        if isinstance(claim_or_answer, commands.Answer):
            self._metrics.count("answers_replayed")
            return message.Response(
                claim_or_answer.status,
                (*claim_or_answer.headers, REPLAY_HEADER),
                claim_or_answer.body,
            )
        call = dataclasses.replace(call, request_id=claim_or_answer.request_id)
        # The call continues if its caller disconnects, so that the claim is always settled.
        return await asyncio.shield(self._send_claimed(call, claim_or_answer))

    async def _send_claimed(
        self, call: services.ServiceCall, claim: idempotency.Claim
    ) -> message.Response:
        try:
            response = await self._client.send(call)
        except refusals.RefusedError as error:
            if error.refusal.execution is refusals.Execution.NOT_RUN:
                await self._ledger.release(claim)
            else:
                await self._ledger.abandon(claim)
            raise
        except BaseException:
            await self._ledger.abandon(claim)
            raise
        else:
            answer = commands.Answer(response.status, response.headers, response.body)
            await self._ledger.complete(claim, answer)
            return response
        finally:
            self._deduplicator.notify_settled(claim)
