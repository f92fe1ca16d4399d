"""Limits per organisation and model group: concurrency, fair queueing, early refusal, retries."""

import asyncio
import random
from collections.abc import Callable, Iterable

from coltsfoothead.daemon import metrics as metrics_module
from coltsfoothead.daemon.callers import refusals
from coltsfoothead.daemon.serving import prediction, requests
from coltsfoothead.kernel import environment, registry, views
from coltsfoothead.kernel.limits import concurrency, decisions
from coltsfoothead.kernel.retries import budget

__all__ = ["Admission"]

EXPIRE_SECONDS = 0.05
# A request that would wait longer than this multiple of the first-token target is refused at once.
PATIENCE = 2.0


class _Group:
    """Requests of one model, which share its upstreams."""

    def __init__(self, policy: str) -> None:
        self.weights: dict[str, float] = {}
        self.limit = concurrency.ConcurrencyLimit()
        self.queue = registry.resolve("limit", policy)(self.limit.limit, self.weights)
        self.waiting: dict[str, asyncio.Future[decisions.Decision]] = {}


class Admission:
    """Admits requests within each organisation's limit and its fair share.

    Parameters
    ----------
    document : callable
        Returns the environment document, or None.
    predictor : Predictor
    refused : callable
        Takes the organisation of a request that was refused for lack of capacity.
    slots : callable
        Takes a model; returns this daemon's share of the slots of its upstreams.
    metrics : Metrics
    clock : callable
        Monotonic seconds.
    rng : random.Random
    """

    def __init__(
        self,
        document: Callable[[], environment.Environment | None],
        predictor: prediction.Predictor,
        refused: Callable[[str], None],
        slots: Callable[[str], int],
        metrics: metrics_module.Metrics,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._document = document
        self._predictor = predictor
        self._refused = refused
        self._slots = slots
        self._metrics = metrics
        self._clock = clock
        self._groups: dict[str, _Group] = {}
        self._running: dict[str, int] = {}
        self._rng = rng
        self._budget = budget.RetryBudget()
        self._retry_policies: dict[str, budget.RetryPolicy] = {}

    async def admit(
        self, organisation: environment.Organisation, request: requests.ModelRequest
    ) -> None:
        """Returns once the request may run; its end frees what it holds.

        Raises
        ------
        RefusedError
            If the organisation's limit is reached, its queue is full, or the first-token target
            cannot be met. The request did not run.
        """
        name = organisation.name
        held = self._running.get(name, 0)
        if held >= organisation.max_concurrent + organisation.max_queued:
            text = f"organisation {name!r} has {held} requests running or waiting"
            raise refusals.refuse(refusals.Code.RATE_LIMITED, text)
        self._running[name] = held + 1
        request.on_end(lambda: self._leave(name))
        try:
            await self._enter(organisation, request)
        except refusals.RefusedError:
            request.close()
            self._refused(name)
            raise
        except BaseException:
            request.close()
            raise

    def count_request(self, organisation: str) -> None:
        """Counts a first attempt, which earns a tenth of a retry."""
        self._budget.request(organisation)

    def retry_delay(
        self, organisation: str, attempt: int, repeatable: bool, seconds_left: float
    ) -> float | None:
        """Returns the seconds to wait before a further attempt, or None if there is to be none.

        Parameters
        ----------
        organisation : str
        attempt : int
            Number of the attempt that failed after bytes were sent, from 1.
        repeatable : bool
        seconds_left : float
        """
        document = self._document()
        name = document.policies.retry if document else "budget"
        if name not in self._retry_policies:
            self._retry_policies[name] = registry.resolve("retry", name)(self._budget)
        verdict = self._retry_policies[name].decide(
            organisation, attempt, repeatable, False, seconds_left, self._rng
        )
        if isinstance(verdict, budget.Retry):
            self._metrics.count("retries")
            return verdict.delay_seconds
        self._metrics.count("retries_refused")
        return None

    def first_token(self, model: str, seconds: float, target_seconds: float) -> None:
        """Takes the time to a first token, from which the concurrency limit adapts."""
        group = self._groups.get(model)
        if group is None:
            return
        now = self._clock()
        group.limit.sample(seconds, target_seconds, group.queue.inflight, now)
        self._set_limit(group, model, now)

    async def run(self) -> None:
        """Refuses waiting requests whose time is over, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRE_SECONDS)
            for group in self._groups.values():
                self._apply(group, group.queue.expire(self._clock()))

    async def _enter(
        self, organisation: environment.Organisation, request: requests.ModelRequest
    ) -> None:
        document = self._document()
        assert document is not None
        group = self._groups.get(request.model)
        if group is None:
            group = self._groups[request.model] = _Group(document.policies.limit)
        group.weights[organisation.name] = organisation.weight
        view = self._view(request)
        now = self._clock()
        self._set_limit(group, request.model, now)
        first, *others = group.queue.offer(view, now)
        request.on_end(lambda: self._release(group, request.request_id))
        self._apply(group, others)
        if isinstance(first, decisions.Queued):
            patience = PATIENCE * document.targets.first_token_seconds
            if first.expected_wait_seconds > patience:
                group.queue.cancel(request.request_id)
                raise _overloaded(first.expected_wait_seconds)
            first = await self._wait(group, request.request_id, patience)
        if isinstance(first, decisions.Refused):
            self._metrics.count("admissions_refused")
            raise _overloaded(first.retry_after_seconds)

    def _set_limit(self, group: _Group, model: str, now: float) -> None:
        """Sets the adaptive limit, but never below the slots that are there to be used."""
        limit = max(group.limit.limit, self._slots(model))
        self._apply(group, group.queue.set_limit(limit, now))

    async def _wait(self, group: _Group, request_id: str, patience: float) -> decisions.Decision:
        future = asyncio.get_running_loop().create_future()
        group.waiting[request_id] = future
        self._metrics.count("requests_queued")
        try:
            async with asyncio.timeout(patience):
                return await future
        except TimeoutError:
            raise _overloaded(patience) from None
        finally:
            group.waiting.pop(request_id, None)
            group.queue.cancel(request_id)

    def _view(self, request: requests.ModelRequest) -> views.RequestView:
        predicted = self._predictor.of(request)
        return views.RequestView(
            request=request.request_id,
            organisation=request.organisation,
            model=request.model,
            prompt_tokens=predicted.prompt_tokens,
            predicted_tokens=predicted.tokens,
            request_class=predicted.request_class,
            deadline=request.deadline,
        )

    def _release(self, group: _Group, request_id: str) -> None:
        group.queue.cancel(request_id)
        self._apply(group, group.queue.release(request_id, self._clock()))

    def _apply(self, group: _Group, found: Iterable[decisions.Decision]) -> None:
        for decision in found:
            waiting = group.waiting.get(decision.request)
            if waiting is not None and not waiting.done():
                waiting.set_result(decision)

    def _leave(self, organisation: str) -> None:
        self._running[organisation] -= 1
        if not self._running[organisation]:
            del self._running[organisation]


def _overloaded(seconds: float | None) -> refusals.RefusedError:
    text = "the latency target cannot be met now"
    return refusals.refuse(refusals.Code.OVERLOADED, text, retry_after_seconds=seconds)
