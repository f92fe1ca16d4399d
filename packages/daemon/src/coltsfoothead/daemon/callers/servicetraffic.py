"""Handler of the service paths: access, admission, idempotency, answer."""

import asyncio
import dataclasses
from collections.abc import Callable

from coltsfoothead.coordination.ledger import commands, keys
from coltsfoothead.daemon import metrics as metrics_module
from coltsfoothead.daemon.callers import access, idempotency, refusals, services
from coltsfoothead.daemon.http import message, server
from coltsfoothead.kernel import environment

__all__ = ["ServiceTraffic"]

REPLAYED = ("x-idempotent-replay", "true")


class ServiceTraffic:
    """Answers calls to plain services.

    Parameters
    ----------
    document : callable
        Returns the environment document in force; raises `RefusedError` when there is none.
    calls : ServiceCalls
    once : OnceOnly
    ledger : Ledger
    metrics : Metrics
    record : callable
        Takes organisation, seconds and whether the call was answered, for the service level.
    count_request : callable
        Takes the organisation of a first attempt, which earns a part of a retry.
    clock : callable
        Monotonic seconds.
    """

    def __init__(
        self,
        document: Callable[[], environment.Environment],
        calls: services.ServiceCalls,
        once: idempotency.OnceOnly,
        ledger: idempotency.Ledger,
        metrics: metrics_module.Metrics,
        record: Callable[[str, float, bool], None],
        count_request: Callable[[str], None],
        clock: Callable[[], float],
    ) -> None:
        self._document = document
        self._calls = calls
        self._once = once
        self._ledger = ledger
        self._metrics = metrics
        self._record = record
        self._count_request = count_request
        self._clock = clock
        self._running = 0

    @property
    def running(self) -> int:
        """Calls that are being served."""
        return self._running

    async def call(self, exchange: server.Exchange) -> None:
        """Answers one call."""
        document = self._document()
        organisation = access.organisation_of(exchange.request, document)
        call = services.build_call(exchange.request, document, organisation)
        started = self._clock()
        answered = False
        self._running += 1
        try:
            response = await self._response(call)
            answered = response.status < 500
        finally:
            self._running -= 1
            self._record(organisation.name, self._clock() - started, answered)
        self._metrics.record("service_us", (self._clock() - started) * 1e6)
        await exchange.respond(response)

    async def _response(self, call: services.Call) -> message.Response:
        self._metrics.count("service_calls")
        self._count_request(call.organisation)
        if call.key is None:
            return await self._calls.send(call)
        key = keys.Key(call.organisation, call.service.name, call.key)
        request = call.request
        digest = idempotency.body_digest(request.method, request.target, request.body)
        found = await self._once.claim(key, digest)
        if isinstance(found, commands.Answer):
            self._metrics.count("answers_replayed")
            return message.Response(found.status, (*found.headers, REPLAYED), found.body)
        call = dataclasses.replace(call, request_id=found.request_id)
        # The call goes on when its caller leaves, so that the claim is always settled.
        return await asyncio.shield(self._claimed(call, found))

    async def _claimed(self, call: services.Call, claim: idempotency.Claim) -> message.Response:
        try:
            response = await self._calls.send(call)
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
            self._once.settled(claim)
