"""Finds requests that other daemons hold, and relays their answers."""

import asyncio
import enum
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from typing import Protocol

import msgspec

from coltsfoothead.coordination import errors as coordination_errors
from coltsfoothead.coordination.guard import placement
from coltsfoothead.coordination.membership import members as members_module
from coltsfoothead.coordination.transport import links as links_module
from coltsfoothead.daemon import metrics as metrics_module
from coltsfoothead.daemon.callers import delivery, refusals
from coltsfoothead.daemon.http import message, server
from coltsfoothead.daemon.serving import requests

__all__ = ["GuardedCopies", "Locator"]

FIND_METHOD = "request.find"
READ_METHOD = "request.read"
JOIN_METHOD = "request.join"
FIND_TIMEOUT_SECONDS = 1.0
JOIN_TIMEOUT_SECONDS = 60.0
MEMBERSHIP_CHECK_INTERVAL_SECONDS = 0.25
# A relayed stream that is silent for this long is broken: the holder sends a heartbeat each second
# while it has no tokens.
STREAM_SILENCE_TIMEOUT_SECONDS = 3.0
HEARTBEAT_INTERVAL_SECONDS = 1.0


class Holding(enum.Enum):
    """How a daemon holds a request. Of the answers of all daemons, the highest value counts.

    `OWNED` means that the daemon can deliver the answer, `GUARDED` that it has only a copy of the
    running request, and `UNREACHABLE` that it did not answer and so may hold the request.
    """

    NONE = 0
    UNREACHABLE = 1
    GUARDED = 2
    OWNED = 3


class ReadRequest(msgspec.Struct, frozen=True):
    """Asks for an answer from `offset` on, or only whether the receiver holds it."""

    request_id: str
    organisation: str
    offset: int


class Head(msgspec.Struct, frozen=True):
    """First item of a relayed answer: whether it was found, and whether it is an event stream."""

    found: bool
    streamed: bool = False


class JoinRequest(msgspec.Struct, frozen=True):
    """Asks the receiver to answer once it has settled a call.

    A call is settled once its idempotency key is completed, released or abandoned in the ledger.
    """

    request_id: str


class GuardedCopies(Protocol):
    """Copies that this daemon guards of other daemons' requests."""

    def holds_copy(self, request_id: str) -> bool:
        """Returns whether this daemon guards the request and it is still running."""

    def finished_copy(self, request_id: str) -> requests.ModelRequest | None:
        """Returns an ended request with its guarded answer, or None."""


_encode = msgspec.msgpack.encode
_decode_read = msgspec.msgpack.Decoder(ReadRequest).decode
_decode_head = msgspec.msgpack.Decoder(Head).decode
_decode_join = msgspec.msgpack.Decoder(JoinRequest).decode


class Locator:
    """Finds requests at other daemons and relays their answers.

    Parameters
    ----------
    own_id : str
    links : Links
    members : callable
        Returns the member records by ID.
    table : RequestTable
    copies : GuardedCopies
    metrics : Metrics
    """

    def __init__(
        self,
        own_id: str,
        links: links_module.Links,
        members: Callable[[], Mapping[str, members_module.Member]],
        table: requests.RequestTable,
        copies: GuardedCopies,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._own_id = own_id
        self._links = links
        self._members = members
        self._table = table
        self._copies = copies
        self._metrics = metrics

    def register_handlers(self, wait_settled: Callable[[str], Awaitable[None]]) -> None:
        """Registers the handlers of requests from other daemons.

        Parameters
        ----------
        wait_settled : callable
            Waits until this daemon has settled the call with the given request ID.
        """

        async def join(sender: str, payload: bytes) -> bytes:
            await wait_settled(_decode_join(payload).request_id)
            return b""

        self._links.serve(JOIN_METHOD, join)
        self._links.serve(FIND_METHOD, self._serve_find)
        self._links.serve_stream(READ_METHOD, self._serve_read)

    async def join(self, owner: str, request_id: str) -> None:
        """Waits until another daemon has settled a call, is declared dead or cannot be reached."""
        payload = _encode(JoinRequest(request_id))
        call = asyncio.ensure_future(
            self._links.call(owner, JOIN_METHOD, payload, JOIN_TIMEOUT_SECONDS)
        )
        try:
            # A link lets calls wait for a dead peer to return, so the membership state has to end
            # the call.
            while not call.done() and self._is_alive(owner):
                await asyncio.wait([call], timeout=MEMBERSHIP_CHECK_INTERVAL_SECONDS)
        finally:
            call.cancel()
            await asyncio.gather(call, return_exceptions=True)

    def _is_alive(self, member_id: str) -> bool:
        member = self._members().get(member_id)
        return member is not None and member.state <= members_module.State.SUSPECT

    async def relay(
        self, exchange: server.Exchange, request_id: str, organisation: str, offset: int
    ) -> None:
        """Delivers an answer from `offset` on that another daemon or a guarded copy holds.

        Raises
        ------
        RefusedError
            `owner_unreachable` while a daemon that may hold the request does not answer,
            `request_not_found` if none holds it.
        """
        query = ReadRequest(request_id, organisation, offset)
        finished = self._copies.finished_copy(request_id)
        if finished is not None and finished.organisation == organisation:
            await delivery.deliver(exchange, finished, offset, HEARTBEAT_INTERVAL_SECONDS)
            return
        holding, holder = await self._find(query)
        if holder is not None and await self._relay_from(exchange, holder, query):
            return
        if holding is Holding.NONE and not self._copies.holds_copy(request_id):
            text = "the request does not exist or its answer is no longer kept"
            code = refusals.Code.REQUEST_NOT_FOUND
        else:
            text = "the daemon that owns the request cannot be reached now"
            code = refusals.Code.OWNER_UNREACHABLE
        unknown = refusals.Execution.UNKNOWN
        raise refusals.refuse(code, text, unknown, request_id=request_id)

    async def _find(self, query: ReadRequest) -> tuple[Holding, str | None]:
        """Asks all daemons at once; returns the highest answer and the ID of the owner, if any."""
        candidates = placement.rank_members(query.request_id, self._other_members())
        tasks = [
            asyncio.get_running_loop().create_task(self._find_at(member.id, query))
            for member in candidates
        ]
        highest = Holding.NONE
        try:
            for task_result in asyncio.as_completed(tasks):
                holding, holder = await task_result
                if holding is Holding.OWNED:
                    return holding, holder
                highest = max(highest, holding, key=lambda each: each.value)
        finally:
            for task in tasks:
                task.cancel()
        return highest, None

    async def _find_at(self, member: str, query: ReadRequest) -> tuple[Holding, str]:
        try:
            answer = await self._links.call(
                member, FIND_METHOD, _encode(query), FIND_TIMEOUT_SECONDS
            )
        except coordination_errors.CoordinationError:
            return Holding.UNREACHABLE, member
        return Holding(msgspec.msgpack.decode(answer)), member

    async def _relay_from(self, exchange: server.Exchange, holder: str, query: ReadRequest) -> bool:
        stream = self._links.stream(
            holder, READ_METHOD, _encode(query), STREAM_SILENCE_TIMEOUT_SECONDS
        )
        try:
            delivered = await self._deliver(exchange, stream, query.request_id)
        except coordination_errors.CoordinationError:
            if exchange.started:
                # The caller sees a broken answer and reconnects with its last event ID.
                exchange.abort()
            return exchange.started
        finally:
            await stream.aclose()
        self._metrics.count("requests_relayed")
        return delivered

    async def _deliver(
        self, exchange: server.Exchange, stream: AsyncIterator[bytes], request_id: str
    ) -> bool:
        head = _decode_head(await anext(stream))
        if not head.found:
            return False
        kind = "text/event-stream" if head.streamed else message.JSON_TYPE
        await exchange.start(200, (("content-type", kind), ("x-request-id", request_id)))
        async for data in stream:
            await exchange.write(data)
        await exchange.end()
        return True

    def _other_members(self) -> list[members_module.Member]:
        last_alive_state = members_module.State.SUSPECT
        return [
            member
            for member in self._members().values()
            if member.id != self._own_id and member.state <= last_alive_state
        ]

    def _find_deliverable(self, query: ReadRequest) -> requests.ModelRequest | None:
        request = self._table.get(query.request_id)
        if request is None or not request.accepted:
            request = self._copies.finished_copy(query.request_id)
        if request is None or request.organisation != query.organisation:
            return None
        return request

    async def _serve_find(self, sender: str, payload: bytes) -> bytes:
        query = _decode_read(payload)
        if self._find_deliverable(query) is not None:
            return _encode(Holding.OWNED)
        guarded = self._copies.holds_copy(query.request_id)
        return _encode(Holding.GUARDED if guarded else Holding.NONE)

    async def _serve_read(self, sender: str, payload: bytes) -> AsyncIterator[bytes]:
        query = _decode_read(payload)
        request = self._find_deliverable(query)
        if request is None:
            yield _encode(Head(False))
            return
        yield _encode(Head(True, request.streamed))
        if request.streamed:
            async for data in delivery.stream_events(
                request, query.offset, HEARTBEAT_INTERVAL_SECONDS
            ):
                yield data
            return
        while not request.finished and not request.moved:
            if not await request.wait_for_change(HEARTBEAT_INTERVAL_SECONDS):
                yield delivery.JSON_HEARTBEAT
        if request.moved:
            raise delivery.MovedAwayError(f"request {request.request_id} has another owner")
        yield delivery.json_answer(request).body
