"""Writes the answer to a model request to a caller, starting at any token offset."""

import asyncio
from collections.abc import AsyncIterator

import msgspec

from coltsfoothead.daemon import errors as daemon_errors
from coltsfoothead.daemon.callers import refusals
from coltsfoothead.daemon.http import errors, message, server
from coltsfoothead.daemon.serving import requests

__all__ = ["EventReader", "MovedAwayError", "deliver", "json_answer", "stream_events"]

SSE_HEARTBEAT = b": ping\n\n"
# JSON allows whitespace before a value, so a space keeps a waiting connection alive without
# changing the body.
JSON_HEARTBEAT = b" "
# This many tokens make about 50 KB of events; more would pile up in the connection's buffer when a
# caller reads slowly.
MAX_BATCH_TOKENS = 256

# Tells an event-stream client to reconnect after 100 ms; the connection is then aborted
# deliberately.
RECONNECT_EVENT = b"retry: 100\n\n"

_encode = msgspec.json.encode


class MovedAwayError(daemon_errors.DaemonError):
    """Another daemon owns the request now; the caller must reconnect to resume the answer."""


class EventReader:
    """Encodes the released tokens of a request as server-sent events.

    Parameters
    ----------
    request : ModelRequest
    offset : int
        Offset of the first token to read.
    """

    def __init__(self, request: requests.ModelRequest, offset: int) -> None:
        self._request = request
        self._offset = offset
        chunk = _encode(
            {
                "id": f"chatcmpl-{request.request_id}",
                "object": "chat.completion.chunk",
                "created": request.created,
                "model": request.model,
            }
        )
        self._content_prefix = chunk[:-1] + b',"choices":[{"index":0,"delta":{"content":'
        self._chunk_prefix = chunk[:-1]

    @property
    def offset(self) -> int:
        """Offset of the next token to read."""
        return self._offset

    @property
    def pending(self) -> bool:
        """Whether there are released tokens that have not been read."""
        return self._offset < self._request.released

    def next_events(self) -> bytes:
        """Returns the events of at most `MAX_BATCH_TOKENS` released tokens; may be empty."""
        request = self._request
        start = self._offset
        end = request.released
        if end <= start:
            return b""
        end = min(end, start + MAX_BATCH_TOKENS)
        parts = []
        for offset in range(start, end):
            role = b',"role":"assistant"' if offset == 0 else b""
            parts.append(
                b'id: %d\ndata: %s%s%s},"finish_reason":null}]}\n\n'
                % (offset, self._content_prefix, _encode(request.tokens[offset]), role)
            )
        self._offset = end
        return b"".join(parts)

    def final_events(self) -> bytes:
        """Returns the events that end the answer."""
        match self._request.end:
            case requests.Completion() as completion:
                return self._completion_events(completion)
            case refusals.Refusal() as refusal:
                return b"data: " + refusals.response(refusal).body + b"\n\n"
            case _:
                raise AssertionError("the request has not ended")

    def _completion_events(self, completion: requests.Completion) -> bytes:
        # The event has no ID, so a caller that lost it resumes after its last token.
        last = b'data: %s,"choices":[{"index":0,"delta":{},"finish_reason":%s}]}\n\n' % (
            self._chunk_prefix,
            _encode(completion.reason),
        )
        usage = b""
        if _wants_usage(self._request):
            counts = _encode(_usage(completion))
            usage = b'data: %s,"choices":[],"usage":%s}\n\n' % (self._chunk_prefix, counts)
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


class _EventStream:
    """Writes tokens to a caller directly in the callback that announces their release.

    The task in `run` wakes up only if the caller reads too slowly or has disconnected, or if the
    answer has ended or moved to another owner.
    """

    def __init__(
        self,
        exchange: server.Exchange,
        request: requests.ModelRequest,
        offset: int,
        heartbeat_interval_seconds: float,
    ) -> None:
        self._exchange = exchange
        self._request = request
        self._reader = EventReader(request, offset)
        self._heartbeat_interval_seconds = heartbeat_interval_seconds
        self._loop = asyncio.get_running_loop()
        self._waiter: asyncio.Future[None] | None = None
        self._written_at = self._loop.time()

    async def run(self) -> None:
        """Writes the answer up to its end.

        Raises
        ------
        CallerGoneError
            If the caller's connection breaks.
        MovedAwayError
            If another daemon becomes the owner.
        """
        self._request.watch(self._write_released)
        self._timer = self._loop.call_later(self._heartbeat_interval_seconds, self._heartbeat)
        try:
            while True:
                self._waiter = self._loop.create_future()
                self._write_released()
                await self._waiter
                # Waits until a slow caller has read the written data; its next tokens stay in the
                # request until then.
                await self._exchange.write(b"")
                if self._request.finished and not self._reader.pending:
                    await self._exchange.write(self._reader.final_events())
                    return
                if self._request.moved and not self._reader.pending:
                    request_id = self._request.request_id
                    raise MovedAwayError(f"request {request_id} has another owner")
        finally:
            self._request.unwatch(self._write_released)
            self._timer.cancel()

    def _write_released(self) -> None:
        """Writes the released tokens, unless the caller has yet to read earlier data."""
        if self._waiter is None or self._waiter.done():
            return
        try:
            data = self._reader.next_events()
            if data:
                self._write(data)
            if self._request.finished or self._request.moved or self._reader.pending:
                self._wake()
        except Exception as error:
            self._wake(error)

    def _heartbeat(self) -> None:
        # Each delivery has one timer, which compares the time of the last write when it fires.
        # Rescheduling it with every token would cost more.
        now = self._loop.time()
        if now - self._written_at >= self._heartbeat_interval_seconds:
            self._written_at = now
            if self._waiter is not None and not self._waiter.done():
                try:
                    self._write(SSE_HEARTBEAT)
                except errors.CallerGoneError as error:
                    self._wake(error)
        due = self._written_at + self._heartbeat_interval_seconds
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


async def stream_events(
    request: requests.ModelRequest, offset: int, heartbeat_interval_seconds: float
) -> AsyncIterator[bytes]:
    """Yields the answer as server-sent events from `offset` on, with heartbeats when it stalls.

    Raises
    ------
    MovedAwayError
        If another daemon becomes the owner.
    """
    reader = EventReader(request, offset)
    while True:
        data = reader.next_events()
        if data:
            yield data
        elif request.moved:
            raise MovedAwayError(f"request {request.request_id} has another owner")
        elif request.finished:
            yield reader.final_events()
            return
        elif not await request.wait_for_change(heartbeat_interval_seconds):
            yield SSE_HEARTBEAT


def json_answer(request: requests.ModelRequest) -> message.Response:
    """Returns the whole of a finished answer as one JSON response."""
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
    heartbeat_interval_seconds: float,
) -> None:
    """Writes the answer to a caller, as server-sent events or JSON as the request specifies.

    Raises
    ------
    CallerGoneError
        If the caller's connection breaks; the request itself continues.
    """
    if request.streamed:
        headers = (
            ("content-type", "text/event-stream"),
            ("cache-control", "no-cache"),
            ("x-request-id", request.request_id),
        )
        await exchange.start(200, headers)
        try:
            await _EventStream(exchange, request, offset, heartbeat_interval_seconds).run()
        except MovedAwayError:
            await exchange.write(RECONNECT_EVENT)
            exchange.abort()
            return
        await exchange.end()
        return
    if request.finished:
        await exchange.respond(json_answer(request))
        return
    await _deliver_json(exchange, request, heartbeat_interval_seconds)


async def _deliver_json(
    exchange: server.Exchange, request: requests.ModelRequest, heartbeat_interval_seconds: float
) -> None:
    headers = (("content-type", message.JSON_TYPE), ("x-request-id", request.request_id))
    await exchange.start(200, headers)
    while not request.finished and not request.moved:
        if not await request.wait_for_change(heartbeat_interval_seconds):
            await exchange.write(JSON_HEARTBEAT)
    if request.moved or isinstance(request.end, refusals.Refusal):
        # The status has already been sent. A truncated body makes the caller ask again by request
        # ID; the answer to that request carries the error.
        exchange.abort()
        return
    await exchange.write(json_answer(request).body)
    await exchange.end()
