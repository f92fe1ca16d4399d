"""Chat completions of the fake engine, as JSON and as server-sent events."""

import asyncio
import collections
import time
from collections.abc import AsyncIterator, Callable
from typing import Any

import msgspec

from coltsfoothead.testsupport import answers, batching, errors, sse, web

__all__ = ["Completions"]

_PING_SECONDS = 1.0


class Completions:
    """Handler of chat requests, which runs each as a job of a batch.

    Event IDs are token offsets from 0, one token per event. The event with the finish reason and
    the usage event carry no ID. A cancelled stream ends with an error event and without `[DONE]`.
    """

    def __init__(self, batch: batching.Batch, serves: Callable[[str], bool]):
        self.silent = False
        self.drop_after: collections.deque[int] = collections.deque()
        self.refusals: collections.deque[int] = collections.deque()
        self._batch = batch
        self._serves = serves
        self._lost_answers = 0

    def add_lost_answers(self, count: int) -> None:
        """Makes the next `count` requests run to completion without being answered."""
        self._lost_answers += count

    async def handle(self, request: web.Request) -> web.Response | web.Stream:
        body = request.json()
        request_id = request.headers.get("x-request-id", "")
        if self.refusals:
            return _error(self.refusals.popleft(), "refused by test control", request_id)
        if not self._serves(body["model"]):
            return _error(404, f"model {body['model']!r} is not loaded", request_id)
        job = _job(body, request_id, int(request.headers.get("x-attempt", "1")))
        self._batch.submit(job)
        if self._lost_answers:
            self._lost_answers -= 1
            await _wait_for_ending(job)
            raise errors.DropConnectionError("answer is lost")
        drop_after = self.drop_after.popleft() if self.drop_after else None
        if body.get("stream"):
            usage = (body.get("stream_options") or {}).get("include_usage", False)
            headers = {"content-type": "text/event-stream", "x-request-id": request_id}
            return web.Stream(self._stream(job, usage, drop_after), headers=headers)
        return await self._complete_response(job)

    async def cancel(self, request: web.Request) -> web.Response:
        body = request.json()
        jobs = self._batch.find(body["request_id"], body.get("attempt"))
        for job in jobs:
            self._batch.end(job, batching.Ending.CANCELLED)
        return web.json_response({"cancelled": len(jobs)})

    async def _complete_response(self, job: batching.Job) -> web.Response:
        try:
            ending = await _wait_for_ending(job)
        finally:
            self._batch.end(job, batching.Ending.CANCELLED)
        if ending is batching.Ending.DROPPED:
            raise errors.DropConnectionError("dropped by test control")
        if ending is batching.Ending.CANCELLED:
            return _error(409, "cancelled", job.request_id, "unknown")
        message = {"role": "assistant", "content": "".join(job.tokens)}
        choice = {"index": 0, "message": message, "finish_reason": _finish_reason(job)}
        value = {
            **_common_fields(job, "chat.completion"),
            "choices": [choice],
            "usage": _usage_fields(job),
        }
        return web.json_response(value, headers={"x-request-id": job.request_id})

    async def _stream(
        self, job: batching.Job, usage: bool, drop_after: int | None
    ) -> AsyncIterator[bytes]:
        sent = 0
        try:
            while not isinstance(item := await self._next_output(job), batching.Ending):
                if item is None:
                    if not self.silent:
                        yield sse.PING
                    continue
                if drop_after is not None and sent >= drop_after:
                    raise errors.DropConnectionError("dropped by test control")
                yield sse.encode(_chunk(job, {"content": job.tokens[item]}, None), item)
                sent += 1
        finally:
            self._batch.end(job, batching.Ending.CANCELLED)
        if item is batching.Ending.DROPPED:
            raise errors.DropConnectionError("dropped by test control")
        if item is batching.Ending.CANCELLED:
            yield sse.encode('{"error":{"message":"cancelled","code":"cancelled"}}')
            return
        yield sse.encode(_chunk(job, {}, _finish_reason(job)))
        if usage:
            value = {
                **_common_fields(job, "chat.completion.chunk"),
                "choices": [],
                "usage": _usage_fields(job),
            }
            yield sse.encode(msgspec.json.encode(value).decode())
        yield sse.encode("[DONE]")

    async def _next_output(self, job: batching.Job) -> int | batching.Ending | None:
        """Returns the next token's index or the ending; None when a ping is due."""
        if not job.output.empty():
            return job.output.get_nowait()
        try:
            # `asyncio.wait_for` drops a cancellation that arrives with the result.
            async with asyncio.timeout(_PING_SECONDS):
                return await job.output.get()
        except TimeoutError:
            return None


def _job(body: dict[str, Any], request_id: str, attempt: int) -> batching.Job:
    prompt = answers.render(body["messages"])
    tokens = list(body.get("resume_tokens") or [])
    limit = body.get("max_completion_tokens") or body.get("max_tokens")
    return batching.Job(
        request_id=request_id,
        attempt=attempt,
        model=body["model"],
        prompt=prompt,
        tokens=tokens,
        length=answers.answer_length(prompt, limit),
        priority=body.get("priority") or 0,
        resumed=len(tokens),
    )


async def _wait_for_ending(job: batching.Job) -> batching.Ending:
    while not isinstance(item := await job.output.get(), batching.Ending):
        pass
    return item


def _finish_reason(job: batching.Job) -> str:
    return "stop" if job.length == answers.answer_length(job.prompt, None) else "length"


def _common_fields(job: batching.Job, kind: str) -> dict[str, Any]:
    name = f"chatcmpl-{job.request_id}"
    return {"id": name, "object": kind, "created": int(time.time()), "model": job.model}


def _chunk(job: batching.Job, delta: dict[str, str], finish_reason: str | None) -> str:
    choice = {"index": 0, "delta": delta, "finish_reason": finish_reason}
    value = {**_common_fields(job, "chat.completion.chunk"), "choices": [choice]}
    return msgspec.json.encode(value).decode()


def _usage_fields(job: batching.Job) -> dict[str, Any]:
    prompt_tokens = len(answers.tokenize(job.prompt))
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": len(job.tokens),
        "total_tokens": prompt_tokens + len(job.tokens),
        "prompt_tokens_details": {"cached_tokens": job.cached_tokens},
    }


def _error(status: int, message: str, request_id: str, execution: str = "not_run") -> web.Response:
    error = {
        "type": "engine_error",
        "message": message,
        "code": "engine_error",
        "execution": execution,
        "request_id": request_id,
    }
    return web.json_response({"error": error}, status, {"x-execution": execution})
