"""Weighted fair queue over predicted tokens, by start-time fair queueing."""

import collections
import dataclasses
import heapq
from collections.abc import Mapping

__all__ = ["FairQueue", "QueuedRequest"]


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedRequest:
    """One queued request; from `expires_at` on it can no longer meet its deadline."""

    request: str
    organisation: str
    tokens: float
    expires_at: float


class FairQueue:
    """One first-in first-out queue per organisation, served in proportion to the weights.

    Parameters
    ----------
    weights : mapping of str to float
        Weights by organisation; 1 for the others.
    """

    def __init__(self, weights: Mapping[str, float]):
        self._weights = weights
        self._queues: dict[str, collections.OrderedDict[str, QueuedRequest]] = {}
        self._organisation_by_request: dict[str, str] = {}
        self._backlog: dict[str, float] = {}
        self._start_tags: dict[str, float] = {}
        self._virtual_time = 0.0
        self._expiries: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._organisation_by_request)

    def __contains__(self, request: str) -> bool:
        return request in self._organisation_by_request

    @property
    def next_expiry(self) -> float | None:
        """Time at which the next request expires, or None if none is queued."""
        while self._expiries and not self._is_current(*self._expiries[0]):
            heapq.heappop(self._expiries)
        return self._expiries[0][0] if self._expiries else None

    def queued(self, organisation: str) -> int:
        """Returns the number of requests that the organisation has queued."""
        return len(self._queues.get(organisation, ()))

    def weight(self, organisation: str) -> float:
        """Returns the weight of the organisation."""
        return self._weights.get(organisation, 1.0)

    def tokens_ahead(self, organisation: str, tokens: float) -> float:
        """Returns the number of tokens served before a new request of the organisation.

        While the organisation's own backlog is served, every other organisation is served in
        proportion to its weight, but no more tokens than it has queued.
        """
        own = self._backlog.get(organisation, 0.0)
        per_weight = (own + tokens) / self.weight(organisation)
        tokens_of_others = (
            min(backlog, per_weight * self.weight(other))
            for other, backlog in self._backlog.items()
            if other != organisation
        )
        return own + sum(tokens_of_others)

    def push(self, waiting: QueuedRequest) -> None:
        """Queues a request."""
        organisation = waiting.organisation
        if organisation not in self._queues:
            self._queues[organisation] = collections.OrderedDict()
            # An organisation earns no credit while it has no queued requests.
            start = max(self._virtual_time, self._start_tags.get(organisation, 0.0))
            self._start_tags[organisation] = start
        self._queues[organisation][waiting.request] = waiting
        self._organisation_by_request[waiting.request] = organisation
        self._backlog[organisation] = self._backlog.get(organisation, 0.0) + waiting.tokens
        heapq.heappush(self._expiries, (waiting.expires_at, waiting.request))
        if len(self._expiries) > 2 * len(self._organisation_by_request) + 64:
            self._expiries = [each for each in self._expiries if self._is_current(*each)]
            heapq.heapify(self._expiries)

    def pop(self) -> QueuedRequest | None:
        """Removes and returns the next request in fair order, or None if none is queued."""
        if not self._queues:
            self._start_tags.clear()
            self._virtual_time = 0.0
            return None
        organisation = min(self._queues, key=lambda each: (self._start_tags[each], each))
        first = next(iter(self._queues[organisation].values()))
        # Only served tokens are charged, not those of expired or displaced requests.
        self._virtual_time = self._start_tags[organisation]
        self._start_tags[organisation] += first.tokens / self.weight(organisation)
        return self.remove(first.request)

    def remove(self, request: str) -> QueuedRequest | None:
        """Removes and returns one request, for example because its caller disconnected."""
        organisation = self._organisation_by_request.pop(request, None)
        if organisation is None:
            return None
        queue = self._queues[organisation]
        waiting = queue.pop(request)
        self._backlog[organisation] -= waiting.tokens
        if not queue:
            del self._queues[organisation], self._backlog[organisation]
        return waiting

    def remove_expired(self, now: float) -> list[QueuedRequest]:
        """Removes and returns the expired requests."""
        expired = []
        while (expires_at := self.next_expiry) is not None and expires_at <= now:
            _, request = heapq.heappop(self._expiries)
            expired.append(self.remove(request))
        return expired

    def last_of_largest_backlog(self) -> QueuedRequest:
        """Returns the last request of the organisation with the largest backlog per weight."""
        organisation = max(self._backlog, key=lambda each: self._backlog[each] / self.weight(each))
        return next(reversed(self._queues[organisation].values()))

    def _is_current(self, expires_at: float, request: str) -> bool:
        organisation = self._organisation_by_request.get(request)
        return (
            organisation is not None
            and self._queues[organisation][request].expires_at == expires_at
        )
