"""Finds requests that other daemons hold and relays their answers."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping

import msgspec

from coltsfoothead.coordination import errors as coordination_errors
from coltsfoothead.coordination.membership import members as members_module
from coltsfoothead.coordination.transport import links as links_module
from coltsfoothead.daemon import metrics as metrics_module
from coltsfoothead.daemon.callers import delivery
from coltsfoothead.daemon.http import message, server
from coltsfoothead.daemon.serving import requests

__all__ = ["Locator"]

READ_METHOD = "request.read"
JOIN_METHOD = "request.join"
FIND_SECONDS = 1.0
JOIN_SECONDS = 60.0
JOIN_CHECK_SECONDS = 0.25
# The holder sends a heartbeat more often than this while it has nothing to relay.
SILENCE_SECONDS = 3.0
HEARTBEAT_SECONDS = 1.0


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
    metrics : Metrics
    """

    def __init__(
        self,
        own_id: str,
        links: links_module.Links,
        members: Callable[[], Mapping[str, members_module.Member]],
        table: requests.RequestTable,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._own_id = own_id
        self._links = links
        self._members = members
        self._table = table
        self._metrics = metrics

    def serve(self, wait_settled: Callable[[str], Awaitable[None]]) -> None:
        """Answers the other daemons' questions."""

        async def join(sender: str, payload: bytes) -> bytes:
            await wait_settled(_decode_join(payload).request_id)
            return b""

        self._links.serve(JOIN_METHOD, join)
        self._links.serve_stream(READ_METHOD, self._read)

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
    ) -> bool:
        """Delivers the rest of an answer from its holder; returns False if there is none."""
        question = ReadRequest(request_id, organisation, offset)
        for holder in self._others():
            stream = self._links.stream(holder, READ_METHOD, _encode(question), SILENCE_SECONDS)
            try:
                if await self._deliver(exchange, stream, request_id):
                    self._metrics.count("requests_relayed")
                    return True
            except coordination_errors.CoordinationError:
                if exchange.started:
                    # The caller sees a broken answer and comes back with its last event ID.
                    exchange.abort()
                    return True
            finally:
                await stream.aclose()
        return False

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

    def _others(self) -> list[str]:
        alive = members_module.State.SUSPECT
        return [
            member.id
            for member in self._members().values()
            if member.id != self._own_id and member.state <= alive
        ]

    async def _read(self, sender: str, payload: bytes) -> AsyncIterator[bytes]:
        question = _decode_read(payload)
        request = self._table.get(question.request_id)
        known = request is not None and request.accepted
        if not known or request.organisation != question.organisation:
            yield _encode(Head(False))
            return
        yield _encode(Head(True, request.streamed))
        if request.streamed:
            async for data in delivery.events(request, question.offset, HEARTBEAT_SECONDS):
                yield data
            return
        while not request.finished:
            if not await request.changed(HEARTBEAT_SECONDS):
                yield delivery.JSON_HEARTBEAT
        yield delivery.whole_answer(request).body
