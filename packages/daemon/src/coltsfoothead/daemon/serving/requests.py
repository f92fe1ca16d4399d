"""Model requests that this daemon owns, and their answers."""

import asyncio
import collections
import dataclasses
from collections.abc import Callable, Mapping, Sequence

from coltsfoothead.daemon.callers import refusals

__all__ = ["Completion", "ModelRequest", "RequestTable"]


@dataclasses.dataclass(frozen=True, slots=True)
class Completion:
    """End of a complete answer: finish reason and usage counts."""

    reason: str
    prompt_tokens: int
    completion_tokens: int


class ModelRequest:
    """A model request and its answer so far.

    Tokens are appended as an upstream produces them, and released for delivery once a guard has
    acknowledged them or no guard is needed. Several deliveries can read the same request, each from
    its own offset.

    Parameters
    ----------
    request_id : str
    organisation : str
    body : mapping
        The caller's chat-completions body.
    created : int
        Seconds since the epoch, as shown in the answer.
    deadline : float
        Monotonic time at which the request ends with an error.

    Attributes
    ----------
    epoch : int
        Number of the ownership; it grows with each take-over.
    attempt : int
        Number of the latest attempt at an upstream, or 0.
    upstream : str or None
        ID of the upstream of the latest attempt.
    guard : str or None
        ID of the daemon that guards the copy.
    accepted : bool
        Whether the request has been accepted, so that callers can ask for it by its ID.
    tokens : list of str
    released : int
        Number of tokens that may be delivered.
    end : Completion or Refusal or None
        Set as soon as the answer has ended at this daemon, even if it is not yet released.
    started_at, first_token_at, ended_at : float or None
        Monotonic times.
    moved : bool
        Whether another daemon has become the owner.
    """

    def __init__(
        self,
        request_id: str,
        organisation: str,
        body: Mapping[str, object],
        created: int,
        deadline: float,
    ) -> None:
        self.request_id = request_id
        self.organisation = organisation
        self.body = body
        self.created = created
        self.deadline = deadline
        self.epoch = 1
        self.attempt = 0
        self.upstream: str | None = None
        self.guard: str | None = None
        self.accepted = False
        self.tokens: list[str] = []
        self.released = 0
        self.end: Completion | refusals.Refusal | None = None
        self.started_at: float | None = None
        self.first_token_at: float | None = None
        self.ended_at: float | None = None
        self.moved = False
        self._end_released = False
        self._waiters: list[asyncio.Future[None]] = []
        self._watchers: list[Callable[[], None]] = []
        self._end_callbacks: list[Callable[[], None]] = []

    @property
    def model(self) -> str:
        """Name of the requested model."""
        return str(self.body["model"])

    @property
    def streamed(self) -> bool:
        """Whether the caller asked for server-sent events."""
        return bool(self.body.get("stream"))

    @property
    def finished(self) -> bool:
        """Whether the whole answer, including its end, has been released for delivery."""
        return self._end_released

    @property
    def size_bytes(self) -> int:
        """Approximate memory of the answer, in bytes."""
        return sum(map(len, self.tokens)) + 64 * len(self.tokens) + 1024

    def append(self, attempt: int, offset: int, texts: Sequence[str]) -> int:
        """Appends tokens of an attempt, of which some may be known, and returns how many were new.

        Tokens of an older attempt, after the end or beyond a gap are ignored.

        Parameters
        ----------
        attempt : int
        offset : int
            Position of the first of `texts` in the answer, in tokens.
        texts : sequence of str
            Text of each token.
        """
        known_count = len(self.tokens) - offset
        if self.moved or attempt != self.attempt or self.end is not None or known_count < 0:
            return 0
        new_texts = texts[known_count:] if known_count else texts
        self.tokens.extend(new_texts)
        return len(new_texts)

    def finish(self, end: Completion | refusals.Refusal, now: float) -> None:
        """Sets the end of the answer, unless it has ended already."""
        if self.end is None:
            self.end = end
            self.ended_at = now
            self.close()

    def on_end(self, callback: Callable[[], None]) -> None:
        """Calls `callback` once when the request ends, moves away or is not accepted."""
        self._end_callbacks.append(callback)

    def close(self) -> None:
        """Calls the end callbacks; further calls do nothing."""
        callbacks, self._end_callbacks = self._end_callbacks, []
        for callback in callbacks:
            callback()

    def move_away(self) -> None:
        """Stops all work on the request at this daemon, because another daemon owns it now."""
        self.moved = True
        self.close()
        self.notify()

    def release(self, token_count: int, end: bool) -> None:
        """Allows delivery of the first `token_count` tokens and, if `end`, of the end.

        The end is released only together with the last token.
        """
        available = len(self.tokens)
        self.released = max(self.released, min(token_count, available))
        if end and self.end is not None and self.released == available:
            self._end_released = True
        self.notify()

    def notify(self) -> None:
        """Wakes all tasks that wait for a change, and calls the watchers."""
        if self._waiters:
            waiters, self._waiters = self._waiters, []
            for waiter in waiters:
                if not waiter.done():
                    waiter.set_result(None)
        for watcher in tuple(self._watchers):
            watcher()

    def watch(self, watcher: Callable[[], None]) -> None:
        """Calls `watcher` at every change until `unwatch`; it must not block or raise."""
        self._watchers.append(watcher)

    def unwatch(self, watcher: Callable[[], None]) -> None:
        """Stops calling a watcher."""
        self._watchers.remove(watcher)

    async def wait_for_change(self, timeout_seconds: float) -> bool:
        """Waits for a change; returns False if none came within `timeout_seconds`."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            async with asyncio.timeout(timeout_seconds):
                await waiter
        except TimeoutError:
            return False
        return True


class RequestTable:
    """The running and the recently ended requests of this daemon.

    Parameters
    ----------
    retention_seconds : float
        Time for which an ended request is kept.
    max_ended_bytes : int
        Memory limit for ended requests; the oldest are dropped first.
    """

    def __init__(self, retention_seconds: float, max_ended_bytes: int) -> None:
        self._retention_seconds = retention_seconds
        self._max_ended_bytes = max_ended_bytes
        self._requests: dict[str, ModelRequest] = {}
        self._ended: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._ended_bytes = 0

    @property
    def running(self) -> list[ModelRequest]:
        """Requests that have not ended."""
        return [each for each in self._requests.values() if each.end is None]

    @property
    def all(self) -> list[ModelRequest]:
        """All requests, running and ended."""
        return list(self._requests.values())

    def get(self, request_id: str) -> ModelRequest | None:
        """Returns a request, or None."""
        return self._requests.get(request_id)

    def add(self, request: ModelRequest) -> None:
        """Adds a request."""
        self._requests[request.request_id] = request

    def discard(self, request_id: str) -> None:
        """Removes a request, if it is in the table."""
        self._requests.pop(request_id, None)
        self._ended_bytes -= self._ended.pop(request_id, 0)

    def record_ended(self, request: ModelRequest) -> None:
        """Counts an ended request towards the memory limit."""
        if request.request_id in self._requests and request.request_id not in self._ended:
            self._ended[request.request_id] = request.size_bytes
            self._ended_bytes += request.size_bytes

    def expire(self, now: float) -> None:
        """Drops ended requests that are too old or exceed the memory limit."""
        while self._ended:
            oldest = next(iter(self._ended))
            ended_at = self._requests[oldest].ended_at or 0.0
            retained = now - ended_at < self._retention_seconds
            if retained and self._ended_bytes <= self._max_ended_bytes:
                return
            self.discard(oldest)
