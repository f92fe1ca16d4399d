"""Finds requests that other daemons hold and relays their answers."""

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

__all__ = ["Copies", "Locator"]

FIND_METHOD = "request.find"
READ_METHOD = "request.read"
JOIN_METHOD = "request.join"
FIND_SECONDS = 1.0
JOIN_SECONDS = 60.0
JOIN_CHECK_SECONDS = 0.25
# The holder sends a heartbeat more often than this while it has nothing to relay.
SILENCE_SECONDS = 3.0
HEARTBEAT_SECONDS = 1.0


class Holding(enum.Enum):
    """What a daemon has of a request; the strongest answer of all daemons counts."""

    NONE = 0
    UNREACHABLE = 1
    GUARDED = 2
    OWNED = 3


class ReadRequest(msgspec.Struct, frozen=True):
    """Asks for the rest of an answer."""

    request_id: str
    organisation: str
    offset: int


class Head(msgspec.Struct, frozen=True):
    """First item of a relayed answer."""

    found: bool
    streamed: bool = False


class JoinRequest(msgspec.Struct, frozen=True):
    """Asks to be told when a call is settled."""

    request_id: str


class Copies(Protocol):
    """Copies of other daemons' requests."""

    def holds_copy(self, request_id: str) -> bool:
        """Returns whether a running request is guarded here."""

    def finished_copy(self, request_id: str) -> requests.ModelRequest | None:
        """Returns the guarded answer of a request that has ended, or None."""


_encode = msgspec.msgpack.encode
_decode_read = msgspec.msgpack.Decoder(ReadRequest).decode
_decode_head = msgspec.msgpack.Decoder(Head).decode
_decode_join = msgspec.msgpack.Decoder(JoinRequest).decode


class Locator:
    """Relays answers between daemons.

    Parameters
    ----------
    own_id : str
    links : Links
    members : callable
        Returns the member records by ID.
    table : RequestTable
    copies : Copies
    metrics : Metrics
    """

    def __init__(
        self,
        own_id: str,
        links: links_module.Links,
        members: Callable[[], Mapping[str, members_module.Member]],
        table: requests.RequestTable,
        copies: Copies,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._own_id = own_id
        self._links = links
        self._members = members
        self._table = table
        self._copies = copies
        self._metrics = metrics

    def serve(self, wait_settled: Callable[[str], Awaitable[None]]) -> None:
        """Answers the other daemons' questions."""

        async def join(sender: str, payload: bytes) -> bytes:
            await wait_settled(_decode_join(payload).request_id)
            return b""

        self._links.serve(JOIN_METHOD, join)
        self._links.serve(FIND_METHOD, self._serve_find)
        self._links.serve_stream(READ_METHOD, self._serve_read)

    async def join(self, owner: str, request_id: str) -> None:
        """Waits until another daemon has settled a call, is given up, or cannot be reached."""
        question = _encode(JoinRequest(request_id))
        call = asyncio.ensure_future(self._links.call(owner, JOIN_METHOD, question, JOIN_SECONDS))
        try:
            # Links wait for a dead peer to come back, so the membership must end the call.
            while not call.done() and self._is_alive(owner):
                await asyncio.wait([call], timeout=JOIN_CHECK_SECONDS)
        finally:
            call.cancel()
            await asyncio.gather(call, return_exceptions=True)

    def _is_alive(self, name: str) -> bool:
        member = self._members().get(name)
        return member is not None and member.state <= members_module.State.SUSPECT

    async def relay(
        self, exchange: server.Exchange, request_id: str, organisation: str, offset: int
    ) -> None:
        """Delivers the rest of an answer from its holder.

        Raises
        ------
        RefusedError
            `owner_unreachable` while a daemon that may hold the request does not answer,
            `request_not_found` if none holds it.
        """
        question = ReadRequest(request_id, organisation, offset)
        finished = self._copies.finished_copy(request_id)
        if finished is not None and finished.organisation == organisation:
            await delivery.deliver(exchange, finished, offset, HEARTBEAT_SECONDS)
            return
        holding, holder = await self._find(question)
        if holder is not None and await self._relay_from(exchange, holder, question):
            return
        if holding is Holding.NONE and not self._copies.holds_copy(request_id):
            text = "the request does not exist or its answer is no longer kept"
            code = refusals.Code.REQUEST_NOT_FOUND
        else:
            text = "the daemon that owns the request cannot be reached now"
            code = refusals.Code.OWNER_UNREACHABLE
        unknown = refusals.Execution.UNKNOWN
        raise refusals.refuse(code, text, unknown, request_id=request_id)

    async def _find(self, question: ReadRequest) -> tuple[Holding, str | None]:
        """Asks all daemons at once; returns the strongest answer and the owner, if any."""
        others = placement.rank(question.request_id, self._others())
        tasks = [
            asyncio.get_running_loop().create_task(self._ask(member.id, question))
            for member in others
        ]
        strongest = Holding.NONE
        try:
            for answered in asyncio.as_completed(tasks):
                holding, holder = await answered
                if holding is Holding.OWNED:
                    return holding, holder
                strongest = max(strongest, holding, key=lambda each: each.value)
        finally:
            for task in tasks:
                task.cancel()
        return strongest, None

    async def _ask(self, member: str, question: ReadRequest) -> tuple[Holding, str]:
        try:
            answer = await self._links.call(member, FIND_METHOD, _encode(question), FIND_SECONDS)
        except coordination_errors.CoordinationError:
            return Holding.UNREACHABLE, member
        return Holding(msgspec.msgpack.decode(answer)), member

    async def _relay_from(
        self, exchange: server.Exchange, holder: str, question: ReadRequest
    ) -> bool:
        stream = self._links.stream(holder, READ_METHOD, _encode(question), SILENCE_SECONDS)
        try:
            delivered = await self._deliver(exchange, stream, question.request_id)
        except coordination_errors.CoordinationError:
            if exchange.started:
                # The caller sees a broken answer and comes back with its last event ID.
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

    def _others(self) -> list[members_module.Member]:
        alive = members_module.State.SUSPECT
        return [
            member
            for member in self._members().values()
            if member.id != self._own_id and member.state <= alive
        ]

    def _known(self, question: ReadRequest) -> requests.ModelRequest | None:
        request = self._table.get(question.request_id)
        if request is None or not request.accepted:
            request = self._copies.finished_copy(question.request_id)
        if request is None or request.organisation != question.organisation:
            return None
        return request

    async def _serve_find(self, sender: str, payload: bytes) -> bytes:
        question = _decode_read(payload)
        if self._known(question) is not None:
            return _encode(Holding.OWNED)
        guarded = self._copies.holds_copy(question.request_id)
        return _encode(Holding.GUARDED if guarded else Holding.NONE)

    async def _serve_read(self, sender: str, payload: bytes) -> AsyncIterator[bytes]:
        question = _decode_read(payload)
        request = self._known(question)
        if request is None:
            yield _encode(Head(False))
            return
        yield _encode(Head(True, request.streamed))
        if request.streamed:
            async for data in delivery.events(request, question.offset, HEARTBEAT_SECONDS):
                yield data
            return
        while not request.finished and not request.moved:
            if not await request.changed(HEARTBEAT_SECONDS):
                yield delivery.JSON_HEARTBEAT
        if request.moved:
            raise delivery.MovedAwayError(f"request {request.request_id} has another owner")
        yield delivery.whole_answer(request).body
