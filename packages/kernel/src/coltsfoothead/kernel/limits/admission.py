"""Admission to a group of upstreams: a fair queue in front of a concurrency limit."""

import dataclasses
import math
from collections.abc import Mapping

from coltsfoothead.kernel import registry, views
from coltsfoothead.kernel.limits import decisions, fairqueue

__all__ = ["AdmissionSettings", "FairAdmission"]

_MEMORY = 0.05  # share of a new sample in the mean service time
_MINIMUM_RETRY_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Bounds of the queue and the service rate assumed before any request has ended.

    Parameters
    ----------
    service_safety : float
        Factor on the expected service time of a request. Predicted lengths are means, and under
        overload a request is admitted just before its last moment; with a factor of 1 many of
        them end too late.
    """

    queued_per_organisation: int = 256
    queued_in_all: int = 1_024
    prior_tokens_per_second: float = 30.0
    service_safety: float = 1.5


@registry.register("limit", "fair")
class FairAdmission:
    """Decides which requests of a group of upstreams run, wait or are refused.

    Notes
    -----
    A request is refused as soon as it is clear that its deadline cannot be met: when it arrives,
    or while it waits. `next_expiry` tells when `expire` is to be called, so that a refusal is
    never held back. Every method that may change other requests returns all decisions.
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
        self._mean_seconds = 1.0

    @property
    def inflight(self) -> int:
        """Requests admitted and not yet released."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Requests that wait."""
        return len(self._queue)

    @property
    def next_expiry(self) -> float | None:
        """Time at which `expire` refuses the next request, if any waits."""
        return self._queue.next_expiry

    def offer(self, request: views.RequestView, now: float) -> tuple[decisions.Decision, ...]:
        """Decides about a new request; the first decision returned is about it.

        A full queue refuses the last request of the organisation with the largest backlog, which
        may be another request than the new one.
        """
        others = self.expire(now)
        name, organisation = request.request, request.organisation
        tokens = request.predicted_tokens
        if name in self._running:
            return (decisions.Admitted(name), *others)
        service = self._settings.service_safety * tokens / self._slot_rate()
        left = request.deadline - now
        if service > left:
            late = decisions.RefusedReason.DEADLINE
            return (decisions.Refused(name, late, None), *others)
        if not self._queue and self.inflight < self._limit:
            self._running[name] = (tokens, now)
            return (decisions.Admitted(name), *others)
        if name in self._queue:
            return (decisions.Queued(name, self._wait(organisation, 0.0)), *others)
        wait = self._wait(organisation, tokens)
        if wait + service > left:
            return (self._refused(name, decisions.RefusedReason.DEADLINE, wait - left), *others)
        if self._queue.queued(organisation) >= self._settings.queued_per_organisation:
            return (self._refused(name, decisions.RefusedReason.QUEUE_FULL, wait), *others)
        self._queue.push(fairqueue.Waiting(name, organisation, tokens, request.deadline - service))
        if len(self._queue) <= self._settings.queued_in_all:
            return (decisions.Queued(name, wait), *others)
        last = self._queue.largest()
        self._queue.remove(last.request)
        displaced = self._refused(
            last.request, decisions.RefusedReason.DISPLACED, self._wait(last.organisation, 0.0)
        )
        if last.request == name:
            return (displaced, *others)
        return (decisions.Queued(name, wait), displaced, *others)

    def release(self, request: str, now: float) -> tuple[decisions.Decision, ...]:
        """Ends an admitted request, however it went, and admits those whose turn it is."""
        began = self._running.pop(request, None)
        if began is not None:
            tokens, at = began
            self._mean_tokens += _MEMORY * (tokens - self._mean_tokens)
            self._mean_seconds += _MEMORY * (max(0.0, now - at) - self._mean_seconds)
        return self._admit(now)

    def set_limit(self, limit: int, now: float) -> tuple[decisions.Decision, ...]:
        """Changes the concurrency limit; requests that run are never cut off."""
        self._limit = limit
        return self._admit(now)

    def cancel(self, request: str) -> None:
        """Takes a waiting request out whose caller has left."""
        self._queue.remove(request)

    def expire(self, now: float) -> tuple[decisions.Decision, ...]:
        """Refuses the waiting requests that can no longer meet their deadline."""
        late = decisions.RefusedReason.DEADLINE
        return tuple(
            self._refused(gone.request, late, self._wait(gone.organisation, 0.0))
            for gone in self._queue.remove_expired(now)
        )

    def _admit(self, now: float) -> tuple[decisions.Decision, ...]:
        found = list(self.expire(now))
        while self.inflight < self._limit:
            waiting = self._queue.pop()
            if waiting is None:
                break
            self._running[waiting.request] = (waiting.tokens, now)
            found.append(decisions.Admitted(waiting.request))
        return tuple(found)

    def _slot_rate(self) -> float:
        """Tokens per second that one admitted request gets, by Little's law."""
        return max(1e-3, self._mean_tokens / max(1e-3, self._mean_seconds))

    def _wait(self, organisation: str, tokens: float) -> float:
        rate = self._slot_rate() * max(1, self._limit)
        return self._queue.tokens_ahead(organisation, tokens) / rate

    @staticmethod
    def _refused(
        request: str, reason: decisions.RefusedReason, seconds: float
    ) -> decisions.Refused:
        seconds = seconds if math.isfinite(seconds) else 0.0
        return decisions.Refused(request, reason, max(_MINIMUM_RETRY_SECONDS, seconds))
