"""Generation of a model request's tokens, with failover and planned moves between upstreams."""

import asyncio
import dataclasses
import random
from collections.abc import Callable
from typing import Protocol

from coltsfoothead.daemon import metrics as metrics_module
from coltsfoothead.daemon.callers import refusals
from coltsfoothead.daemon.http import client as http_client
from coltsfoothead.daemon.http import errors as http_errors
from coltsfoothead.daemon.serving import requests
from coltsfoothead.daemon.upstreams import engine, kvcache

__all__ = ["Context", "Generation", "Router", "Target"]

# Time between attempts to choose an upstream while none can take the request.
NO_UPSTREAM_RETRY_SECONDS = 0.1
BACKOFF_BASE_SECONDS = 0.02
# Time before a move at which the KV cache is copied. The next upstream has to recompute the cache
# entries of the tokens that are generated after the copy.
KV_COPY_LEAD_SECONDS = 0.5
BACKOFF_LIMIT_SECONDS = 1.0
# Client-error statuses after which the request may be retried. With any other 4xx status the engine
# rejects the request itself, so a retry would fail as well.
TRANSIENT_STATUSES = frozenset({408, 409, 425, 429})


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """An upstream chosen for an attempt, with the engine priority of the request."""

    upstream: str
    address: str
    priority: int
    region: str = ""


class Router(Protocol):
    """Chooses upstreams and is notified of the progress of each attempt."""

    def choose(self, request: requests.ModelRequest, excluded: frozenset[str]) -> Target | None:
        """Returns the upstream for the next attempt, or None if none can take it."""

    def is_routable(self, upstream: str) -> bool:
        """Returns whether an upstream may get new work."""

    def attempt_started(self, request: requests.ModelRequest, target: Target) -> None:
        """Records the start of an attempt."""

    def tokens_received(self, request: requests.ModelRequest, target: Target, count: int) -> None:
        """Records `count` tokens that arrived together."""

    def attempt_ended(self, request: requests.ModelRequest, target: Target, failed: bool) -> None:
        """Records the end of an attempt."""


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """Dependencies that all generations of a daemon share.

    Attributes
    ----------
    client : Client
    router : Router
    metrics : Metrics
    on_change : callable
        Called when a request has new tokens or has ended.
    silence_seconds : float
        Time without data after which an attempt fails.
    clock : callable
        Monotonic seconds.
    rng : random.Random
    on_first_token : callable
        Called once per request with its first token.
    """

    client: http_client.Client
    router: Router
    metrics: metrics_module.Metrics
    on_change: Callable[[requests.ModelRequest], None]
    silence_seconds: float
    clock: Callable[[], float]
    rng: random.Random
    on_first_token: Callable[[requests.ModelRequest], None] = lambda request: None


class Generation:
    """Runs the attempts of one request until it ends.

    Parameters
    ----------
    context : Context
    request : ModelRequest
    """

    def __init__(self, context: Context, request: requests.ModelRequest) -> None:
        self._context = context
        self._request = request
        self._target: Target | None = None
        self._move_timer: asyncio.Timeout | None = None
        self._failures = 0
        self._excluded: frozenset[str] = frozenset()
        self._next_target: Target | None = None
        self._kv_copy_task: asyncio.Task[None] | None = None

    @property
    def upstream(self) -> str | None:
        """The upstream of the running attempt, or None."""
        return self._target.upstream if self._target else None

    @property
    def request(self) -> requests.ModelRequest:
        """The request whose tokens are generated."""
        return self._request

    def move_at(self, when: float, copy_kv_cache: bool = False) -> None:
        """Schedules the move of the running attempt to another upstream.

        An earlier time that was set before stays in force.

        Parameters
        ----------
        when : float
            Monotonic seconds.
        copy_kv_cache : bool
            Whether to copy the KV cache to the next upstream first. It is copied only within a
            region.
        """
        timer = self._move_timer
        if copy_kv_cache and timer is not None and self._kv_copy_task is None:
            work = self._copy_kv_cache(when)
            self._kv_copy_task = asyncio.get_running_loop().create_task(work)
        if timer is not None and (timer.when() is None or when < timer.when()):
            timer.reschedule(when)

    async def run(self) -> None:
        """Generates the complete answer, or ends the request with a refusal."""
        try:
            async with asyncio.timeout_at(self._request.deadline):
                while self._request.end is None and not self._request.moved:
                    await self._next_attempt()
        except TimeoutError:
            self._end(self._deadline_refusal())
        finally:
            if self._kv_copy_task is not None:
                self._kv_copy_task.cancel()
            if self._target is not None:
                self._context.router.attempt_ended(self._request, self._target, failed=False)

    async def _copy_kv_cache(self, when: float) -> None:
        """Copies the KV cache shortly before the move.

        Without the copy, the next upstream computes the cache of the whole context again.
        """
        await asyncio.sleep(max(0.0, when - KV_COPY_LEAD_SECONDS - self._context.clock()))
        source = self._target
        if source is None or self._move_timer is None:
            return
        attempt = self._request.attempt
        excluded = frozenset({source.upstream})
        target = self._context.router.choose(self._request, excluded)
        if target is None or target.region != source.region:
            return
        try:
            tokens, size = await kvcache.transfer(
                self._context.client,
                source.address,
                target.address,
                self._request.request_id,
                attempt,
            )
        except http_errors.HttpError:
            self._context.metrics.count("kv_transfers_failed")
            return
        self._context.metrics.count("kv_tokens_transferred", tokens)
        self._context.metrics.count("kv_bytes_transferred", size)
        if attempt == self._request.attempt and self._move_timer is not None:
            self._next_target = target
            self.move_at(self._context.clock())

    async def _next_attempt(self) -> None:
        target = self._next_target
        if target is None or not self._context.router.is_routable(target.upstream):
            target = self._context.router.choose(self._request, self._excluded)
        self._next_target = None
        if target is None:
            self._excluded = frozenset()
            await asyncio.sleep(NO_UPSTREAM_RETRY_SECONDS)
            return
        self._request.attempt += 1
        self._request.upstream = target.upstream
        self._target = target
        self._context.router.attempt_started(self._request, target)
        failed = True
        try:
            async with asyncio.timeout(None) as self._move_timer:
                await self._attempt(target)
            failed = False
        except TimeoutError:
            failed = False
            self._context.metrics.count("streams_moved")
            self._excluded = frozenset({target.upstream})
        except engine.EngineRefusedError as error:
            self._handle_engine_refusal(error)
        except http_errors.HttpError:
            self._context.metrics.count("attempts_failed")
        finally:
            self._move_timer = None
            self._kv_copy_task = None
            self._target = None
            self._context.router.attempt_ended(self._request, target, failed)
        if self._request.end is None:
            await self._cancel(target)
        if failed and self._request.end is None:
            await self._back_off(target)

    async def _attempt(self, target: Target) -> None:
        request = self._request
        attempt = request.attempt
        await engine.generate(
            self._context.client,
            target.address,
            self._body(target),
            request.request_id,
            attempt,
            self._context.silence_seconds,
            lambda event: self._handle_event(event, attempt, target),
        )

    def _handle_event(self, event: engine.Event, attempt: int, target: Target) -> None:
        request = self._request
        match event:
            # This runs for every token. To save time, the most frequent case comes first and its
            # pattern matches only the class.
            case engine.Tokens():
                added = request.append(attempt, event.offset, event.texts)
                if added:
                    self._failures = 0
                    if request.first_token_at is None:
                        request.first_token_at = self._context.clock()
                        self._context.on_first_token(request)
                    self._context.router.tokens_received(request, target, added)
                    self._context.on_change(request)
            case engine.Started():
                request.accepted = True
                request.notify()
            case engine.Finished(reason, prompt_tokens, _):
                done = requests.Completion(reason, prompt_tokens, len(request.tokens))
                self._end(done)

    def _body(self, target: Target) -> dict[str, object]:
        request = self._request
        body = dict(request.body)
        body["stream"] = True
        body["stream_options"] = {"include_usage": True}
        body["priority"] = target.priority
        if request.tokens:
            body["resume_tokens"] = request.tokens
        return body

    def _handle_engine_refusal(self, error: engine.EngineRefusedError) -> None:
        self._context.metrics.count("attempts_refused")
        if 400 <= error.status < 500 and error.status not in TRANSIENT_STATUSES:
            execution = refusals.Execution.NOT_RUN
            if self._request.tokens:
                execution = refusals.Execution.RAN
            self._end(self._refusal(refusals.Code.INVALID_BODY, str(error), execution))

    async def _cancel(self, target: Target) -> None:
        # Runs in the background, since a dead upstream would otherwise delay the next attempt.
        request = self._request
        cancellation = engine.cancel(
            self._context.client, target.address, request.request_id, request.attempt
        )
        task = asyncio.get_running_loop().create_task(cancellation)
        _cancel_tasks.add(task)
        task.add_done_callback(_cancel_tasks.discard)

    async def _back_off(self, target: Target) -> None:
        self._failures += 1
        self._excluded |= {target.upstream}
        ceiling = min(BACKOFF_BASE_SECONDS * 2**self._failures, BACKOFF_LIMIT_SECONDS)
        await asyncio.sleep(self._context.rng.uniform(0, ceiling))

    def _end(self, end: requests.Completion | refusals.Refusal) -> None:
        self._request.finish(end, self._context.clock())
        self._context.on_change(self._request)

    def _deadline_refusal(self) -> refusals.Refusal:
        execution = refusals.Execution.NOT_RUN
        if self._request.attempt:
            execution = refusals.Execution.UNKNOWN
        return self._refusal(
            refusals.Code.DEADLINE_EXCEEDED, "the request's time ran out", execution
        )

    def _refusal(
        self, code: refusals.Code, text: str, execution: refusals.Execution
    ) -> refusals.Refusal:
        return refusals.refuse(code, text, execution, request_id=self._request.request_id).refusal


_cancel_tasks: set[asyncio.Task[None]] = set()
