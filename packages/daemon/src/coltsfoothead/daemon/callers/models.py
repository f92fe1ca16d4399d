"""Handlers of model requests: accept chat completions and deliver their answers."""

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

__all__ = ["Admission", "Locator", "ModelTraffic", "Replicator", "Timing"]

REQUEST_PREFIX = "/v1/requests/"
# An engine sends its response head at once. A request that waits longer counts as accepted, so that
# its caller receives the request ID.
MAX_ACCEPT_WAIT_SECONDS = 0.1
# Longest wait for a guard to confirm that it will not run a refused request later.
MAX_CONFIRM_WAIT_SECONDS = 1.0
MODEL_KEY_SCOPE = "model"


class Replicator(Protocol):
    """Keeps copies of accepted requests on other daemons."""

    async def create_copy(self, request: requests.ModelRequest) -> None:
        """Creates the copy of a new request; raises `RefusedError` if this fails."""

    def discard_copy(self, request: requests.ModelRequest) -> None:
        """Discards the copy of a request that was not accepted."""


class Admission(Protocol):
    """Enforces the limits of each organisation."""

    async def admit(
        self, organisation: environment.Organisation, request: requests.ModelRequest
    ) -> None:
        """Waits until the request may run; raises `RefusedError` if it may not."""

    def count_request(self, organisation: str) -> None:
        """Counts the first attempt of a request, which adds a fraction of a retry to the budget."""


class Locator(Protocol):
    """Finds requests that other daemons own or guard."""

    async def relay(
        self, exchange: server.Exchange, request_id: str, organisation: str, offset: int
    ) -> None:
        """Relays the rest of an answer from its holder; raises `RefusedError` if there is none."""


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Longest duration of a request, and interval of the heartbeats to its caller."""

    request_timeout_seconds: float
    heartbeat_interval_seconds: float


class ModelTraffic:
    """Request handlers of the model paths.

    Parameters
    ----------
    document : callable
        Returns the current environment document; raises `RefusedError` when there is none.
    table : RequestTable
    start_generation : callable
        Starts the generation of a request's answer.
    replicator : Replicator
    admission : Admission
    locator : Locator
    deduplicator : Deduplicator
    ledger : Ledger
    metrics : Metrics
    timing : Timing
    clock : callable
        Monotonic seconds.
    """

    def __init__(
        self,
        document: Callable[[], environment.Environment],
        table: requests.RequestTable,
        start_generation: Callable[[requests.ModelRequest], Awaitable[None]],
        replicator: Replicator,
        admission: Admission,
        locator: Locator,
        deduplicator: idempotency.Deduplicator,
        ledger: idempotency.Ledger,
        metrics: metrics_module.Metrics,
        timing: Timing,
        clock: Callable[[], float],
    ) -> None:
        self._document = document
        self._table = table
        self._start_generation = start_generation
        self._replicator = replicator
        self._admission = admission
        self._locator = locator
        self._deduplicator = deduplicator
        self._ledger = ledger
        self._metrics = metrics
        self._timing = timing
        self._clock = clock

    async def list_models(self, exchange: server.Exchange) -> None:
        """Answers ``GET /v1/models``."""
        document = self._document()
        organisation = access.authenticate(exchange.request, document)
        await exchange.respond(chat.list_models(document, organisation))

    async def complete_chat(self, exchange: server.Exchange) -> None:
        """Answers ``POST /v1/chat/completions``."""
        document = self._document()
        organisation = access.authenticate(exchange.request, document)
        body, fields = chat.decode_body(exchange.request.body)
        access.check_model(document, organisation, body.model)
        key = exchange.request.header("idempotency-key")
        offset = _resume_offset(exchange.request)
        if key is None:
            request = await self._accept(organisation, fields, uuid.uuid4().hex)
        else:
            request_or_id = await self._accept_once(exchange.request, organisation, fields, key)
            if isinstance(request_or_id, str):
                await self._deliver_existing(exchange, request_or_id, organisation.name, offset)
                return
            request = request_or_id
        await delivery.deliver(exchange, request, offset, self._timing.heartbeat_interval_seconds)

    async def resume(self, exchange: server.Exchange) -> None:
        """Answers ``GET /v1/requests/ID`` with the rest of an answer."""
        document = self._document()
        organisation = access.authenticate(exchange.request, document)
        request_id = exchange.request.path.removeprefix(REQUEST_PREFIX)
        offset = _resume_offset(exchange.request)
        await self._deliver_existing(exchange, request_id, organisation.name, offset)

    async def _deliver_existing(
        self, exchange: server.Exchange, request_id: str, organisation: str, offset: int
    ) -> None:
        request = self._table.get(request_id)
        if request is not None and request.organisation == organisation and request.accepted:
            if offset > len(request.tokens):
                text = f"the answer has no event {offset - 1}"
                raise refusals.refuse(refusals.Code.INVALID_OFFSET, text)
            self._metrics.count("requests_rejoined")
            await delivery.deliver(
                exchange, request, offset, self._timing.heartbeat_interval_seconds
            )
            return
        await self._locator.relay(exchange, request_id, organisation, offset)

    async def _accept_once(
        self,
        request: message.Request,
        organisation: environment.Organisation,
        fields: dict[str, object],
        value: str,
    ) -> requests.ModelRequest | str:
        """Returns a newly accepted request, or the ID of the earlier request with the same key."""
        key = keys.Key(organisation.name, MODEL_KEY_SCOPE, value)
        digest = idempotency.body_digest(request.method, request.path, request.body)
        claim_or_answer = await self._deduplicator.claim(key, digest)
        if isinstance(claim_or_answer, commands.Answer):
            return claim_or_answer.body.decode()
        try:
            accepted = await self._accept(organisation, fields, claim_or_answer.request_id)
        except refusals.RefusedError as error:
            await self._settle_refused(claim_or_answer, error.refusal)
            raise
        except BaseException:
            await asyncio.shield(self._ledger.abandon(claim_or_answer))
            raise
        else:
            # The ledger stores only the ID of a model request; the owner and the guard hold its
            # tokens.
            answer = commands.Answer(200, (), claim_or_answer.request_id.encode())
            await self._ledger.complete(claim_or_answer, answer)
            return accepted
        finally:
            self._deduplicator.notify_settled(claim_or_answer)

    async def _settle_refused(self, claim: idempotency.Claim, refusal: refusals.Refusal) -> None:
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
        deadline = self._clock() + self._timing.request_timeout_seconds
        request = requests.ModelRequest(
            request_id, organisation.name, fields, int(time.time()), deadline
        )
        request.started_at = self._clock()
        await self._admission.admit(organisation, request)
        self._admission.count_request(organisation.name)
        self._table.add(request)
        try:
            await self._replicator.create_copy(request)
        except BaseException:
            self._discard(request)
            raise
        await self._start_generation(request)
        await self._wait_until_accepted(request)
        self._metrics.count("requests_accepted")
        return request

    async def _wait_until_accepted(self, request: requests.ModelRequest) -> None:
        """Waits briefly for an engine to accept the request.

        Raises
        ------
        RefusedError
            If the request was refused within `MAX_ACCEPT_WAIT_SECONDS`.

        Notes
        -----
        The refusal says `not_run` only if the guard has recorded the refusal as the end of its
        copy. Otherwise, the guard would run the request after the loss of this daemon.
        """
        deadline = self._clock() + MAX_ACCEPT_WAIT_SECONDS
        while not request.accepted and request.end is None and self._clock() < deadline:
            await request.wait_for_change(deadline - self._clock())
        if not request.accepted and isinstance(request.end, refusals.Refusal):
            deadline = self._clock() + MAX_CONFIRM_WAIT_SECONDS
            while not request.finished and self._clock() < deadline:
                await request.wait_for_change(deadline - self._clock())
            refusal = request.end
            if not request.finished:
                unknown = refusals.Execution.UNKNOWN
                refusal = dataclasses.replace(refusal, execution=unknown)
            self._discard(request)
            raise refusals.RefusedError(refusal)
        request.accepted = True

    def _discard(self, request: requests.ModelRequest) -> None:
        request.close()
        self._table.discard(request.request_id)
        self._replicator.discard_copy(request)


def _resume_offset(request: message.Request) -> int:
    """Returns the offset of the first token that the caller has not received."""
    value = request.header("last-event-id")
    if value is None or value == "":
        return 0
    if not value.isdigit() or len(value) > 12:
        text = f"Last-Event-ID {value[:32]!r} is not an event of an answer"
        raise refusals.refuse(refusals.Code.INVALID_OFFSET, text)
    return int(value) + 1
