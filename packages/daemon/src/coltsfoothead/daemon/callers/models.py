"""Model traffic: accepts chat completions and delivers their answers."""

import asyncio
import dataclasses
import time
import uuid
from collections.abc import Awaitable, Callable
from typing import Protocol

from coltsfoothead.coordination.ledger import commands, keys
from coltsfoothead.daemon import metrics as metrics_module
from coltsfoothead.daemon.callers import access, chat, delivery, idempotency, refusals
from coltsfoothead.daemon.http import message, server
from coltsfoothead.daemon.serving import requests
from coltsfoothead.kernel import environment

__all__ = ["Admission", "Locator", "ModelTraffic", "Replicator", "Times"]

REQUEST_PREFIX = "/v1/requests/"
# An engine answers with its head at once; a request that waits longer counts as accepted, so that
# its caller has the request ID.
ACCEPT_SECONDS = 0.1
# Time in which a guard confirms that a refused request will not be run by it later.
CONFIRM_SECONDS = 1.0
MODEL_SCOPE = "model"


class Replicator(Protocol):
    """Keeps a copy of accepted requests elsewhere."""

    async def open(self, request: requests.ModelRequest) -> None:
        """Copies a new request; raises `RefusedError` if no copy can be had."""

    def forget(self, request: requests.ModelRequest) -> None:
        """Drops the copy of a request that was not accepted."""


class Admission(Protocol):
    """Limits per organisation."""

    async def admit(
        self, organisation: environment.Organisation, request: requests.ModelRequest
    ) -> None:
        """Returns once the request may run; raises `RefusedError`."""

    def count_request(self, organisation: str) -> None:
        """Counts a first attempt."""


class Locator(Protocol):
    """Finds requests that another daemon holds."""

    async def relay(
        self, exchange: server.Exchange, request_id: str, organisation: str, offset: int
    ) -> None:
        """Delivers the rest of an answer from its holder; raises `RefusedError` without one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Times:
    """Bounds on time, in seconds."""

    request_seconds: float
    heartbeat_seconds: float


class ModelTraffic:
    """Handler of the model paths.

    Parameters
    ----------
    document : callable
        Returns the environment document in force; raises `RefusedError` when there is none.
    table : RequestTable
    start : callable
        Starts the generation of a request.
    """

    def __init__(
        self,
        document: Callable[[], environment.Environment],
        table: requests.RequestTable,
        start: Callable[[requests.ModelRequest], Awaitable[None]],
        replicator: Replicator,
        admission: Admission,
        locator: Locator,
        once: idempotency.OnceOnly,
        ledger: idempotency.Ledger,
        metrics: metrics_module.Metrics,
        times: Times,
        clock: Callable[[], float],
    ) -> None:
        self._document = document
        self._table = table
        self._start = start
        self._replicator = replicator
        self._admission = admission
        self._locator = locator
        self._once = once
        self._ledger = ledger
        self._metrics = metrics
        self._times = times
        self._clock = clock

    async def list_models(self, exchange: server.Exchange) -> None:
        """Answers ``GET /v1/models``."""
        document = self._document()
        organisation = access.organisation_of(exchange.request, document)
        await exchange.respond(chat.list_models(document, organisation))

    async def complete(self, exchange: server.Exchange) -> None:
        """Answers ``POST /v1/chat/completions``."""
        document = self._document()
        organisation = access.organisation_of(exchange.request, document)
        body, fields = chat.decode_body(exchange.request.body)
        access.check_model(document, organisation, body.model)
        key = exchange.request.header("idempotency-key")
        offset = _offset(exchange.request)
        if key is None:
            request = await self._accept(organisation, fields, uuid.uuid4().hex)
        else:
            found = await self._once_only(exchange.request, organisation, fields, key)
            if isinstance(found, str):
                await self._deliver_known(exchange, found, organisation.name, offset)
                return
            request = found
        await delivery.deliver(exchange, request, offset, self._times.heartbeat_seconds)

    async def resume(self, exchange: server.Exchange) -> None:
        """Answers ``GET /v1/requests/ID``: the rest of an answer."""
        document = self._document()
        organisation = access.organisation_of(exchange.request, document)
        request_id = exchange.request.path.removeprefix(REQUEST_PREFIX)
        offset = _offset(exchange.request)
        await self._deliver_known(exchange, request_id, organisation.name, offset)

    async def _deliver_known(
        self, exchange: server.Exchange, request_id: str, organisation: str, offset: int
    ) -> None:
        request = self._table.get(request_id)
        if request is not None and request.organisation == organisation and request.accepted:
            if offset > len(request.tokens):
                text = f"the answer has no event {offset - 1}"
                raise refusals.refuse(refusals.Code.INVALID_OFFSET, text)
            self._metrics.count("requests_rejoined")
            await delivery.deliver(exchange, request, offset, self._times.heartbeat_seconds)
            return
        await self._locator.relay(exchange, request_id, organisation, offset)

    async def _once_only(
        self,
        request: message.Request,
        organisation: environment.Organisation,
        fields: dict[str, object],
        value: str,
    ) -> requests.ModelRequest | str:
        """Returns a newly accepted request, or the ID of the one that the key stands for."""
        key = keys.Key(organisation.name, MODEL_SCOPE, value)
        digest = idempotency.body_digest(request.method, request.path, request.body)
        found = await self._once.claim(key, digest)
        if isinstance(found, commands.Answer):
            return found.body.decode()
        try:
            accepted = await self._accept(organisation, fields, found.request_id)
        except refusals.RefusedError as error:
            await self._withdraw(found, error.refusal)
            raise
        except BaseException:
            await asyncio.shield(self._ledger.abandon(found))
            raise
        else:
            # The answer kept for a model request is its ID; the tokens are with owner and guard.
            answer = commands.Answer(200, (), found.request_id.encode())
            await self._ledger.complete(found, answer)
            return accepted
        finally:
            self._once.settled(found)

    async def _withdraw(self, claim: idempotency.Claim, refusal: refusals.Refusal) -> None:
        if refusal.execution is refusals.Execution.NOT_RUN:
            await self._ledger.release(claim)
        else:
            await self._ledger.abandon(claim)

    async def _accept(
        self,
        organisation: environment.Organisation,
        fields: dict[str, object],
        request_id: str,
    ) -> requests.ModelRequest:
        deadline = self._clock() + self._times.request_seconds
        request = requests.ModelRequest(
            request_id, organisation.name, fields, int(time.time()), deadline
        )
        request.started_at = self._clock()
        await self._admission.admit(organisation, request)
        self._admission.count_request(organisation.name)
        self._table.add(request)
        try:
            await self._replicator.open(request)
        except BaseException:
            self._drop(request)
            raise
        await self._start(request)
        await self._verdict(request)
        self._metrics.count("requests_accepted")
        return request

    async def _verdict(self, request: requests.ModelRequest) -> None:
        """Waits shortly for an engine to take the request; raises if it was refused at once.

        Notes
        -----
        `not_run` is said only once the guard holds the refusal as the end of its copy. A guard
        that did not would run the request after the loss of this daemon.
        """
        until = self._clock() + ACCEPT_SECONDS
        while not request.accepted and request.end is None and self._clock() < until:
            await request.wait_for_change(until - self._clock())
        if not request.accepted and isinstance(request.end, refusals.Refusal):
            until = self._clock() + CONFIRM_SECONDS
            while not request.finished and self._clock() < until:
                await request.wait_for_change(until - self._clock())
            refusal = request.end
            if not request.finished:
                unknown = refusals.Execution.UNKNOWN
                refusal = dataclasses.replace(refusal, execution=unknown)
            self._drop(request)
            raise refusals.RefusedError(refusal)
        request.accepted = True

    def _drop(self, request: requests.ModelRequest) -> None:
        request.close()
        self._table.discard(request.request_id)
        self._replicator.forget(request)


def _offset(request: message.Request) -> int:
    """Returns the first token that the caller does not have yet."""
    value = request.header("last-event-id")
    if value is None or value == "":
        return 0
    if not value.isdigit() or len(value) > 12:
        text = f"Last-Event-ID {value[:32]!r} is not an event of an answer"
        raise refusals.refuse(refusals.Code.INVALID_OFFSET, text)
    return int(value) + 1
