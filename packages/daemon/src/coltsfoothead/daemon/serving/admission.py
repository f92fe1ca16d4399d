"""Admission control: concurrency limits, fair queueing, early refusal and retry budgets."""

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

EXPIRY_INTERVAL_SECONDS = 0.05
# Longest time in the queue as a multiple of the first-token target. A request that is expected to
# wait longer is refused at once.
MAX_WAIT_TO_TARGET_RATIO = 2.0


class _ModelState:
    """Admission state of one model, whose requests share the same upstreams."""

    def __init__(self, policy: str) -> None:
        self.weights: dict[str, float] = {}
        self.limit = concurrency.ConcurrencyLimit()
        self.queue = registry.resolve("limit", policy)(self.limit.limit, self.weights)
        self.waiting: dict[str, asyncio.Future[decisions.Decision]] = {}


class Admission:
    """Admits requests within the limit and the fair share of their organisation.

    Parameters
    ----------
    document : callable
        Returns the environment document, or None.
    predictor : Predictor
    on_refused : callable
        Called with the organisation of each request that is refused for lack of capacity.
    slots : callable
        Maps a model name to this daemon's share of the slots of the upstreams that serve it.
    metrics : Metrics
    clock : callable
        Monotonic seconds.
    rng : random.Random
    """

    def __init__(
        self,
        document: Callable[[], environment.Environment | None],
        predictor: prediction.Predictor,
        on_refused: Callable[[str], None],
        slots: Callable[[str], int],
        metrics: metrics_module.Metrics,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._document = document
        self._predictor = predictor
        self._on_refused = on_refused
        self._slots = slots
        self._metrics = metrics
        self._clock = clock
        self._models: dict[str, _ModelState] = {}
        self._active: dict[str, int] = {}
        self._rng = rng
        self._budget = budget.RetryBudget()
        self._retry_policies: dict[str, budget.RetryPolicy] = {}

    async def admit(
        self, organisation: environment.Organisation, request: requests.ModelRequest
    ) -> None:
        """Waits until the request may run; its capacity is freed when it ends.

        Raises
        ------
        RefusedError
            If the organisation's limit is reached, its queue is full, or the first-token target
            cannot be met. The request has not run.
        """
        name = organisation.name
        active = self._active.get(name, 0)
        if active >= organisation.max_concurrent + organisation.max_queued:
            text = f"organisation {name!r} has {active} requests running or waiting"
            raise refusals.refuse(refusals.Code.RATE_LIMITED, text)
        self._active[name] = active + 1
        request.on_end(lambda: self._decrement_active(name))
        try:
            await self._wait_for_capacity(organisation, request)
        except refusals.RefusedError:
            request.close()
            self._on_refused(name)
            raise
        except BaseException:
            request.close()
            raise

    def count_request(self, organisation: str) -> None:
        """Counts a first attempt, which adds a tenth of a retry to the organisation's budget."""
        self._budget.record_request(organisation)

    def retry_delay(
        self, organisation: str, attempt: int, repeatable: bool, seconds_left: float
    ) -> float | None:
        """Returns the seconds to wait before the next attempt, or None if no retry is allowed.

        Parameters
        ----------
        organisation : str
        attempt : int
            Number of the failed attempt, from 1. Bytes of it had already been sent.
        repeatable : bool
            Whether the call may be executed more than once.
        seconds_left : float
            Time until the deadline of the call.
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

    def record_first_token(self, model: str, seconds: float, target_seconds: float) -> None:
        """Adapts the concurrency limit of a model to a measured time to first token."""
        model_state = self._models.get(model)
        if model_state is None:
            return
        now = self._clock()
        model_state.limit.record_latency(seconds, target_seconds, model_state.queue.inflight, now)
        self._set_limit(model_state, model, now)

    async def run(self) -> None:
        """Refuses queued requests that can no longer meet their deadline, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_SECONDS)
            for model_state in self._models.values():
                self._deliver(model_state, model_state.queue.expire(self._clock()))

    async def _wait_for_capacity(
        self, organisation: environment.Organisation, request: requests.ModelRequest
    ) -> None:
        document = self._document()
        assert document is not None
        model_state = self._models.get(request.model)
        if model_state is None:
            model_state = self._models[request.model] = _ModelState(document.policies.limit)
        model_state.weights[organisation.name] = organisation.weight
        view = self._request_view(request)
        now = self._clock()
        self._set_limit(model_state, request.model, now)
        decision, *others = model_state.queue.offer(view, now)
        request.on_end(lambda: self._release(model_state, request.request_id))
        self._deliver(model_state, others)
        if isinstance(decision, decisions.Queued):
            max_wait_seconds = MAX_WAIT_TO_TARGET_RATIO * document.targets.first_token_seconds
            if decision.expected_wait_seconds > max_wait_seconds:
                model_state.queue.cancel(request.request_id)
                raise _overloaded(decision.expected_wait_seconds)
            decision = await self._wait(model_state, request.request_id, max_wait_seconds)
        if isinstance(decision, decisions.Refused):
            self._metrics.count("admissions_refused")
            raise _overloaded(decision.retry_after_seconds)

    def _set_limit(self, model_state: _ModelState, model: str, now: float) -> None:
        """Applies the adaptive limit, or this daemon's share of the slots if that is higher."""
        limit = max(model_state.limit.limit, self._slots(model))
        self._deliver(model_state, model_state.queue.set_limit(limit, now))

    async def _wait(
        self, model_state: _ModelState, request_id: str, max_wait_seconds: float
    ) -> decisions.Decision:
        future = asyncio.get_running_loop().create_future()
        model_state.waiting[request_id] = future
        self._metrics.count("requests_queued")
        try:
            async with asyncio.timeout(max_wait_seconds):
                return await future
        except TimeoutError:
            raise _overloaded(max_wait_seconds) from None
        finally:
            model_state.waiting.pop(request_id, None)
            model_state.queue.cancel(request_id)

    def _request_view(self, request: requests.ModelRequest) -> views.RequestView:
        predicted = self._predictor.predict(request)
        return views.RequestView(
            request=request.request_id,
            organisation=request.organisation,
            model=request.model,
            prompt_tokens=predicted.prompt_tokens,
            predicted_tokens=predicted.tokens,
            request_class=predicted.request_class,
            deadline=request.deadline,
        )

    def _release(self, model_state: _ModelState, request_id: str) -> None:
        model_state.queue.cancel(request_id)
        self._deliver(model_state, model_state.queue.release(request_id, self._clock()))

    def _deliver(self, model_state: _ModelState, outcomes: Iterable[decisions.Decision]) -> None:
        for decision in outcomes:
            waiting = model_state.waiting.get(decision.request)
            if waiting is not None and not waiting.done():
                waiting.set_result(decision)

    def _decrement_active(self, organisation: str) -> None:
        self._active[organisation] -= 1
        if not self._active[organisation]:
            del self._active[organisation]


def _overloaded(seconds: float | None) -> refusals.RefusedError:
    text = "the latency target cannot be met now"
    return refusals.refuse(refusals.Code.OVERLOADED, text, retry_after_seconds=seconds)
