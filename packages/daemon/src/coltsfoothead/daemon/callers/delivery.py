"""Writes the answer of a model request to a caller, from any offset."""

import asyncio
from collections.abc import AsyncIterator

import msgspec

from coltsfoothead.daemon import errors as daemon_errors
from coltsfoothead.daemon.callers import refusals
from coltsfoothead.daemon.http import errors, message, server
from coltsfoothead.daemon.serving import requests

__all__ = ["MovedAwayError", "Reader", "deliver", "events", "whole_answer"]

HEARTBEAT = b": ping\n\n"
# A space may precede a JSON value, so it keeps a waiting connection alive without changing it.
JSON_HEARTBEAT = b" "
# About 50 KB of events; more would sit in the connection's buffer when a caller reads slowly.
BATCH_TOKENS = 256

# Tells an event-stream client to come back soon; the connection is then broken on purpose.
RECONNECT = b"retry: 100\n\n"

_encode = msgspec.json.encode


class MovedAwayError(daemon_errors.DaemonError):
    """Another daemon owns the request now; the caller has to come back to it."""


class Reader:
    """Reads the released part of a request as server-sent events.

    Parameters
    ----------
    request : ModelRequest
    offset : int
        First token to read.
    """

    def __init__(self, request: requests.ModelRequest, offset: int) -> None:
        self._request = request
        self._offset = offset
        head = _encode(
            {
                "id": f"chatcmpl-{request.request_id}",
                "object": "chat.completion.chunk",
                "created": request.created,
                "model": request.model,
            }
        )
        self._head = head[:-1] + b',"choices":[{"index":0,"delta":{"content":'
        self._plain_head = head[:-1]

    @property
    def offset(self) -> int:
        """The next token to read."""
        return self._offset

    @property
    def pending(self) -> bool:
        """Whether released tokens are left to read."""
        return self._offset < self._request.released

    def available(self) -> bytes:
        """Returns the next released events, at most `BATCH_TOKENS`; empty if there are none."""
        request = self._request
        start = self._offset
        until = request.released
        if until <= start:
            return b""
        until = min(until, start + BATCH_TOKENS)
        parts = []
        for offset in range(start, until):
            role = b',"role":"assistant"' if offset == 0 else b""
            parts.append(
                b'id: %d\ndata: %s%s%s},"finish_reason":null}]}\n\n'
                % (offset, self._head, _encode(request.tokens[offset]), role)
            )
        self._offset = until
        return b"".join(parts)

    def ending(self) -> bytes:
        """Returns the events that end the answer."""
        match self._request.end:
            case requests.Completion() as completion:
                return self._completion(completion)
            case refusals.Refusal() as refusal:
                return b"data: " + refusals.response(refusal).body + b"\n\n"
            case _:
                raise AssertionError("the request has not ended")

    def _completion(self, completion: requests.Completion) -> bytes:
        # Without an ID, a caller that lost this event asks again from its last token.
        last = b'data: %s,"choices":[{"index":0,"delta":{},"finish_reason":%s}]}\n\n' % (
            self._plain_head,
            _encode(completion.reason),
        )
        usage = b""
        if _wants_usage(self._request):
            counts = _encode(_usage(completion))
            usage = b'data: %s,"choices":[],"usage":%s}\n\n' % (self._plain_head, counts)
        return last + usage + b"data: [DONE]\n\n"


def _wants_usage(request: requests.ModelRequest) -> bool:
    options = request.body.get("stream_options")
    return isinstance(options, dict) and bool(options.get("include_usage"))


def _usage(completion: requests.Completion) -> dict[str, int]:
    return {
        "prompt_tokens": completion.prompt_tokens,
        "completion_tokens": completion.completion_tokens,
        "total_tokens": completion.prompt_tokens + completion.completion_tokens,
    }


class _Stream:
    """Writes the released part of a request to a caller in the callback of each release.

    The task that runs it wakes only when the caller reads too slowly, is gone, or has it all.
    """

    def __init__(
        self,
        exchange: server.Exchange,
        request: requests.ModelRequest,
        offset: int,
        heartbeat_seconds: float,
    ) -> None:
        self._exchange = exchange
        self._request = request
        self._reader = Reader(request, offset)
        self._heartbeat_seconds = heartbeat_seconds
        self._loop = asyncio.get_running_loop()
        self._waiter: asyncio.Future[None] | None = None
        self._written_at = self._loop.time()

    async def run(self) -> None:
        """Writes the answer to its end."""
        self._request.watch(self._push)
        self._timer = self._loop.call_later(self._heartbeat_seconds, self._heartbeat)
        try:
            while True:
                self._waiter = self._loop.create_future()
                self._push()
                await self._waiter
                # A slow caller's tokens stay in the request until it has read what was written.
                await self._exchange.write(b"")
                if self._request.finished and not self._reader.pending:
                    await self._exchange.write(self._reader.ending())
                    return
                if self._request.moved and not self._reader.pending:
                    request_id = self._request.request_id
                    raise MovedAwayError(f"request {request_id} has another owner")
        finally:
            self._request.unwatch(self._push)
            self._timer.cancel()

    def _push(self) -> None:
        """Writes what was released, unless an earlier part still waits for the caller."""
        if self._waiter is None or self._waiter.done():
            return
        try:
            data = self._reader.available()
            if data:
                self._write(data)
            if self._request.finished or self._request.moved or self._reader.pending:
                self._wake()
        except Exception as error:
            self._wake(error)

    def _heartbeat(self) -> None:
        # One timer per delivery that looks at the time of the last write when it fires; moving it
        # with every token would cost more.
        now = self._loop.time()
        if now - self._written_at >= self._heartbeat_seconds:
            self._written_at = now
            if self._waiter is not None and not self._waiter.done():
                try:
                    self._write(HEARTBEAT)
                except errors.CallerGoneError as error:
                    self._wake(error)
        due = self._written_at + self._heartbeat_seconds
        self._timer = self._loop.call_at(due, self._heartbeat)

    def _write(self, data: bytes) -> None:
        self._written_at = self._loop.time()
        if not self._exchange.write_soon(data):
            self._wake()

    def _wake(self, error: Exception | None = None) -> None:
        if self._waiter.done():
            return
        if error is None:
            self._waiter.set_result(None)
        else:
            self._waiter.set_exception(error)


async def events(
    request: requests.ModelRequest, offset: int, heartbeat_seconds: float
) -> AsyncIterator[bytes]:
    """Yields the answer as server-sent events from `offset` on, with heartbeats in between.

    Raises
    ------
    MovedAwayError
        If another daemon becomes the owner.
    """
    reader = Reader(request, offset)
    while True:
        data = reader.available()
        if data:
            yield data
        elif request.moved:
            raise MovedAwayError(f"request {request.request_id} has another owner")
        elif request.finished:
            yield reader.ending()
            return
        elif not await request.wait_for_change(heartbeat_seconds):
            yield HEARTBEAT


def whole_answer(request: requests.ModelRequest) -> message.Response:
    """Returns a finished answer as one JSON response."""
    match request.end:
        case requests.Completion() as completion:
            choice = {
                "index": 0,
                "message": {"role": "assistant", "content": "".join(request.tokens)},
                "finish_reason": completion.reason,
            }
            body = {
                "id": f"chatcmpl-{request.request_id}",
                "object": "chat.completion",
                "created": request.created,
                "model": request.model,
                "choices": [choice],
                "usage": _usage(completion),
            }
            return message.json_response(200, body, (("x-request-id", request.request_id),))
        case refusals.Refusal() as refusal:
            return refusals.response(refusal)
        case _:
            raise AssertionError("the request has not ended")


async def deliver(
    exchange: server.Exchange,
    request: requests.ModelRequest,
    offset: int,
    heartbeat_seconds: float,
) -> None:
    """Writes the answer to a caller in the form that the request asked for.

    Raises
    ------
    CallerGoneError
        If the caller's connection breaks; the request itself goes on.
    """
    if request.streamed:
        headers = (
            ("content-type", "text/event-stream"),
            ("cache-control", "no-cache"),
            ("x-request-id", request.request_id),
        )
        await exchange.start(200, headers)
        try:
            await _Stream(exchange, request, offset, heartbeat_seconds).run()
        except MovedAwayError:
            await exchange.write(RECONNECT)
            exchange.abort()
            return
        await exchange.end()
        return
    if request.finished:
        await exchange.respond(whole_answer(request))
        return
    await _deliver_json(exchange, request, heartbeat_seconds)


async def _deliver_json(
    exchange: server.Exchange, request: requests.ModelRequest, heartbeat_seconds: float
) -> None:
    headers = (("content-type", message.JSON_TYPE), ("x-request-id", request.request_id))
    await exchange.start(200, headers)
    while not request.finished and not request.moved:
        if not await request.wait_for_change(heartbeat_seconds):
            await exchange.write(JSON_HEARTBEAT)
    if request.moved or isinstance(request.end, refusals.Refusal):
        # The status is already sent; a broken body makes the caller ask again by request ID,
        # and that answer carries the error.
        exchange.abort()
        return
    await exchange.write(whole_answer(request).body)
    await exchange.end()
