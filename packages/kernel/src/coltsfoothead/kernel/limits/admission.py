"""Admission to a group of upstreams: a fair queue in front of a concurrency limit."""

import dataclasses
import math
from collections.abc import Mapping

from coltsfoothead.kernel import registry, views
from coltsfoothead.kernel.limits import decisions, fairqueue

__all__ = ["AdmissionSettings", "FairAdmission"]

_EWMA_WEIGHT = 0.05  # weight of a new sample in the moving averages of tokens and service time
_MIN_RETRY_AFTER_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Bounds of the queue and assumptions about the service time.

    Parameters
    ----------
    max_queued_per_organisation, max_queued : int
        Maximum queue length of one organisation, and of all organisations together.
    prior_tokens_per_second : float
        Rate per admitted request that is assumed until requests have ended.
    service_time_factor : float
        Factor on the expected service time of a request. Predicted lengths are means, and under
        overload requests are admitted only shortly before their deadline becomes unreachable;
        with a factor of 1 many of them would miss it.
    """

    max_queued_per_organisation: int = 256
    max_queued: int = 1_024
    prior_tokens_per_second: float = 30.0
    service_time_factor: float = 1.5


@registry.register("limit", "fair")
class FairAdmission:
    """Decides which requests of a group of upstreams run, wait or are refused.

    Notes
    -----
    A request is refused as soon as it is clear that its deadline cannot be met: when it arrives,
    or while it waits. The caller must call `expire` at `next_expiry`, so that refusals are not
    delayed. Every method that may affect other requests returns the decisions about all of them.
    """

    def __init__(
        self,
        limit: int,
        weights: Mapping[str, float] | None = None,
        settings: AdmissionSettings | None = None,
    ):
        self._limit = limit
        self._settings = settings or AdmissionSettings()
        self._queue = fairqueue.FairQueue(weights or {})
        self._running: dict[str, tuple[float, float]] = {}
        self._mean_tokens = self._settings.prior_tokens_per_second
        self._mean_service_seconds = 1.0

    @property
    def inflight(self) -> int:
        """Number of requests admitted and not yet released."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    @property
    def next_expiry(self) -> float | None:
        """Time at which `expire` refuses the next request, or None if no request is queued."""
        return self._queue.next_expiry

    def offer(self, request: views.RequestView, now: float) -> tuple[decisions.Decision, ...]:
        """Decides about a new request; the first returned decision is the one about it.

        When the queue is full, the last request of the organisation with the largest backlog is
        refused, which is not necessarily the new one.
        """
        expired = self.expire(now)
        name, organisation = request.request, request.organisation
        tokens = request.predicted_tokens
        if name in self._running:
            return (decisions.Admitted(name), *expired)
        service_seconds = self._settings.service_time_factor * tokens / self._slot_rate()
        seconds_left = request.deadline - now
        if service_seconds > seconds_left:
            deadline_missed = decisions.RefusedReason.DEADLINE
            return (decisions.Refused(name, deadline_missed, None), *expired)
        if not self._queue and self.inflight < self._limit:
            self._running[name] = (tokens, now)
            return (decisions.Admitted(name), *expired)
        if name in self._queue:
            return (
                decisions.Queued(name, self._expected_wait_seconds(organisation, 0.0)),
                *expired,
            )
        wait_seconds = self._expected_wait_seconds(organisation, tokens)
        if wait_seconds + service_seconds > seconds_left:
            return (
                self._refusal(name, decisions.RefusedReason.DEADLINE, wait_seconds - seconds_left),
                *expired,
            )
        if self._queue.queued(organisation) >= self._settings.max_queued_per_organisation:
            return (self._refusal(name, decisions.RefusedReason.QUEUE_FULL, wait_seconds), *expired)
        self._queue.push(
            fairqueue.QueuedRequest(name, organisation, tokens, request.deadline - service_seconds)
        )
        if len(self._queue) <= self._settings.max_queued:
            return (decisions.Queued(name, wait_seconds), *expired)
        last = self._queue.last_of_largest_backlog()
        self._queue.remove(last.request)
        displaced = self._refusal(
            last.request,
            decisions.RefusedReason.DISPLACED,
            self._expected_wait_seconds(last.organisation, 0.0),
        )
        if last.request == name:
            return (displaced, *expired)
        return (decisions.Queued(name, wait_seconds), displaced, *expired)

    def release(self, request: str, now: float) -> tuple[decisions.Decision, ...]:
        """Ends an admitted request, whatever its outcome, and admits the next queued ones."""
        admitted = self._running.pop(request, None)
        if admitted is not None:
            tokens, admitted_at = admitted
            self._mean_tokens += _EWMA_WEIGHT * (tokens - self._mean_tokens)
            self._mean_service_seconds += _EWMA_WEIGHT * (
                max(0.0, now - admitted_at) - self._mean_service_seconds
            )
        return self._admit(now)

    def set_limit(self, limit: int, now: float) -> tuple[decisions.Decision, ...]:
        """Changes the concurrency limit; running requests are never aborted."""
        self._limit = limit
        return self._admit(now)

    def cancel(self, request: str) -> None:
        """Removes a queued request whose caller has disconnected."""
        self._queue.remove(request)

    def expire(self, now: float) -> tuple[decisions.Decision, ...]:
        """Refuses the queued requests that can no longer meet their deadline."""
        reason = decisions.RefusedReason.DEADLINE
        return tuple(
            self._refusal(
                waiting.request, reason, self._expected_wait_seconds(waiting.organisation, 0.0)
            )
            for waiting in self._queue.remove_expired(now)
        )

    def _admit(self, now: float) -> tuple[decisions.Decision, ...]:
        decided = list(self.expire(now))
        while self.inflight < self._limit:
            waiting = self._queue.pop()
            if waiting is None:
                break
            self._running[waiting.request] = (waiting.tokens, now)
            decided.append(decisions.Admitted(waiting.request))
        return tuple(decided)

    def _slot_rate(self) -> float:
        """Returns the tokens per second of one admitted request, by Little's law."""
        return max(1e-3, self._mean_tokens / max(1e-3, self._mean_service_seconds))

    def _expected_wait_seconds(self, organisation: str, tokens: float) -> float:
        group_rate = self._slot_rate() * max(1, self._limit)
        return self._queue.tokens_ahead(organisation, tokens) / group_rate

    @staticmethod
    def _refusal(
        request: str, reason: decisions.RefusedReason, seconds: float
    ) -> decisions.Refused:
        seconds = seconds if math.isfinite(seconds) else 0.0
        return decisions.Refused(request, reason, max(_MIN_RETRY_AFTER_SECONDS, seconds))
