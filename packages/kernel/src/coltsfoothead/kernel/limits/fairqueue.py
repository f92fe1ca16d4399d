"""Weighted fair queue over predicted tokens, by start-time fair queueing."""

import collections
import dataclasses
import heapq
from collections.abc import Mapping

__all__ = ["FairQueue", "Waiting"]


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """One queued request; it is useless from `expires_at` on."""

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
        self._queues: dict[str, collections.OrderedDict[str, Waiting]] = {}
        self._waiting: dict[str, str] = {}
        self._backlog: dict[str, float] = {}
        self._start_tags: dict[str, float] = {}
        self._virtual_time = 0.0
        self._expiries: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, request: str) -> bool:
        return request in self._waiting

    @property
    def next_expiry(self) -> float | None:
        """Time at which the next request expires, if any is queued."""
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
        """Returns the tokens that are served before a new request of the organisation.

        While the organisation's own backlog is served, each other one gets tokens in proportion
        to its weight, but no more than it has queued.
        """
        own = self._backlog.get(organisation, 0.0)
        per_weight = (own + tokens) / self.weight(organisation)
        others = (
            min(backlog, per_weight * self.weight(other))
            for other, backlog in self._backlog.items()
            if other != organisation
        )
        return own + sum(others)

    def push(self, waiting: Waiting) -> None:
        """Queues a request."""
        organisation = waiting.organisation
        if organisation not in self._queues:
            self._queues[organisation] = collections.OrderedDict()
            # Time spent without requests earns no credit.
            start = max(self._virtual_time, self._start_tags.get(organisation, 0.0))
            self._start_tags[organisation] = start
        self._queues[organisation][waiting.request] = waiting
        self._waiting[waiting.request] = organisation
        self._backlog[organisation] = self._backlog.get(organisation, 0.0) + waiting.tokens
        heapq.heappush(self._expiries, (waiting.expires_at, waiting.request))
        if len(self._expiries) > 2 * len(self._waiting) + 64:
            self._expiries = [each for each in self._expiries if self._is_current(*each)]
            heapq.heapify(self._expiries)

    def pop(self) -> Waiting | None:
        """Takes the request whose turn it is."""
        if not self._queues:
            self._start_tags.clear()
            self._virtual_time = 0.0
            return None
        organisation = min(self._queues, key=lambda each: (self._start_tags[each], each))
        first = next(iter(self._queues[organisation].values()))
        # Only served tokens are charged, so expired or displaced requests cost no turn.
        self._virtual_time = self._start_tags[organisation]
        self._start_tags[organisation] += first.tokens / self.weight(organisation)
        return self.remove(first.request)

    def remove(self, request: str) -> Waiting | None:
        """Takes one request out, for example because its caller left."""
        organisation = self._waiting.pop(request, None)
        if organisation is None:
            return None
        queue = self._queues[organisation]
        waiting = queue.pop(request)
        self._backlog[organisation] -= waiting.tokens
        if not queue:
            del self._queues[organisation], self._backlog[organisation]
        return waiting

    def remove_expired(self, now: float) -> list[Waiting]:
        """Takes out the requests that have expired."""
        gone = []
        while (expiry := self.next_expiry) is not None and expiry <= now:
            _, request = heapq.heappop(self._expiries)
            gone.append(self.remove(request))
        return gone

    def largest(self) -> Waiting:
        """Returns the last request of the organisation with the largest backlog per weight."""
        organisation = max(self._backlog, key=lambda each: self._backlog[each] / self.weight(each))
        return next(reversed(self._queues[organisation].values()))

    def _is_current(self, expires_at: float, request: str) -> bool:
        organisation = self._waiting.get(request)
        return (
            organisation is not None
            and self._queues[organisation][request].expires_at == expires_at
        )
