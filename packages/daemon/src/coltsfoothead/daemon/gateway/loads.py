"""One entry's view of each upstream: requests in flight, recent failures and cached prefixes."""

import collections
import copy
import dataclasses
from collections.abc import Callable, Mapping

from coltsfoothead.kernel.traffic import placement

__all__ = ["LoadTracker", "TrackedRequest"]

# Time in which the weight of a failure decays to a third.
FAILURE_DECAY_SECONDS = 4.0
# A shared prefix of a prompt is assumed to be cached for this long after its last use. Engines keep
# prefixes until running requests need their memory.
PREFIX_RETENTION_SECONDS = 30.0
# Prefix reads that are kept for the next report to the leader.
MAX_REPORTED_READS = 500
# Shared prefixes whose holders are tracked.
MAX_TRACKED_PREFIXES = 4096


class TrackedRequest:
    """One request at one upstream, counted as load from `LoadTracker.track` until `end`."""

    def __init__(
        self, loads: "LoadTracker", upstream_id: str, tokens: int, awaits_first_event: bool
    ) -> None:
        self._loads = loads
        self._upstream_id = upstream_id
        self._tokens = tokens
        self._awaits_first_event = awaits_first_event
        self._active = True

    def mark_started(self) -> None:
        """Records that the response has begun; the request now runs instead of waiting."""
        if self._active and self._awaits_first_event:
            self._awaits_first_event = False
            load = placement.Load(1, -1, -self._tokens)
            self._loads.add(self._upstream_id, load)
            self._loads.notify_fall(self._upstream_id)

    def end(self) -> None:
        """Removes the request from the load; may be called twice."""
        if self._active:
            self._active = False
            self._loads.remove_request(self._upstream_id, self)
            waiting = placement.Load(0, -1, -self._tokens)
            load = waiting if self._awaits_first_event else placement.Load(-1)
            self._loads.add(self._upstream_id, load)
            self._loads.notify_fall(self._upstream_id)


@dataclasses.dataclass(slots=True)
class _FailureRecord:
    weight: float
    recorded_at: float


class LoadTracker:
    """Tracks load, failures and prefix holders per upstream for one entry."""

    def __init__(self) -> None:
        self._own_loads: dict[str, placement.Load] = {}
        self._active_requests: dict[str, set[TrackedRequest]] = {}
        self._other_loads: Mapping[str, placement.Load] = {}
        self._others_received_at = float("-inf")
        self._failures: dict[str, _FailureRecord] = {}
        self._prefix_holders: collections.OrderedDict[str, dict[str, float]] = (
            collections.OrderedDict()
        )
        self._unreported_reads: collections.deque[tuple[str, str]] = collections.deque(
            maxlen=MAX_REPORTED_READS
        )
        self._on_fall: Callable[[str], None] | None = None

    @property
    def own_loads(self) -> dict[str, placement.Load]:
        """Load of this entry's requests in flight, by upstream."""
        return self._own_loads

    def set_listener(self, on_fall: Callable[[str], None]) -> None:
        """Sets what is called with an upstream's ID once it has less to do for this entry."""
        self._on_fall = on_fall

    def notify_fall(self, upstream_id: str) -> None:
        """Tells the listener that an upstream has less to do for this entry."""
        if self._on_fall is not None:
            self._on_fall(upstream_id)

    def reading_copy(self) -> "LoadTracker":
        """Returns a tracker that shows the same and whose readers change nothing here."""
        copied = copy.copy(self)
        copied._failures = dict(self._failures)
        return copied

    def set_other_loads(self, loads: Mapping[str, placement.Load], now: float) -> None:
        """Replaces the load of the other entries, as the leader reports it."""
        self._other_loads = loads
        self._others_received_at = now

    def other_loads_age_seconds(self, now: float) -> float:
        """Returns the time since the load of the other entries was received."""
        return now - self._others_received_at

    def track(self, upstream_id: str, tokens: int, awaits_first_event: bool) -> TrackedRequest:
        """Adds a request that is being sent to the load.

        Parameters
        ----------
        upstream_id : str
        tokens : int
            Prompt tokens that the upstream has to read.
        awaits_first_event : bool
            Whether it counts as waiting until its first event, or as running at once.
        """
        load = placement.Load(0, 1, tokens) if awaits_first_event else placement.Load(1)
        self.add(upstream_id, load)
        tracked = TrackedRequest(self, upstream_id, tokens, awaits_first_event)
        self._active_requests.setdefault(upstream_id, set()).add(tracked)
        return tracked

    def active_requests(self, upstream_id: str) -> frozenset[TrackedRequest]:
        """Returns this entry's requests in flight at an upstream."""
        return frozenset(self._active_requests.get(upstream_id, ()))

    def remove_request(self, upstream_id: str, tracked: TrackedRequest) -> None:
        """Removes an ended request from those in flight."""
        active = self._active_requests.get(upstream_id, set())
        active.discard(tracked)
        if not active:
            self._active_requests.pop(upstream_id, None)

    def add(self, upstream_id: str, load: placement.Load) -> None:
        """Adds to this entry's load of an upstream; negative numbers reduce it."""
        total = self._own_loads.get(upstream_id, placement.Load()) + load
        if total == placement.Load():
            self._own_loads.pop(upstream_id, None)
        else:
            self._own_loads[upstream_id] = total

    def load(self, upstream_id: str) -> placement.Load:
        """Returns the load of all entries at an upstream."""
        own = self._own_loads.get(upstream_id, placement.Load())
        return own + self._other_loads.get(upstream_id, placement.Load())

    def record_failure(self, upstream_id: str, now: float, weight: float = 1.0) -> None:
        """Records a failure of an upstream."""
        total = self.failure_weight(upstream_id, now) + weight
        self._failures[upstream_id] = _FailureRecord(total, now)

    def failure_weight(self, upstream_id: str, now: float) -> float:
        """Returns the decayed weight of an upstream's failures."""
        recorded = self._failures.get(upstream_id)
        if recorded is None:
            return 0.0
        weight = recorded.weight * 3.0 ** (-(now - recorded.recorded_at) / FAILURE_DECAY_SECONDS)
        if weight < 0.01:
            del self._failures[upstream_id]
        return weight

    def ease_failures(self, upstream_id: str, factor: float, now: float) -> None:
        """Multiplies the weight of an upstream's failures by a factor."""
        if upstream_id in self._failures:
            weight = factor * self.failure_weight(upstream_id, now)
            self._failures[upstream_id] = _FailureRecord(weight, now)

    def record_prefix_read(self, prefix_id: str, upstream_id: str, now: float) -> None:
        """Records that an upstream reads a shared prefix, and queues this for the next report."""
        self._unreported_reads.append((prefix_id, upstream_id))
        self.add_prefix_holder(prefix_id, upstream_id, now)

    def add_prefix_holder(self, prefix_id: str, upstream_id: str, now: float) -> None:
        """Records that an upstream holds a shared prefix which it read for any entry."""
        holders = self._prefix_holders.setdefault(prefix_id, {})
        holders[upstream_id] = now
        self._prefix_holders.move_to_end(prefix_id)
        if len(self._prefix_holders) > MAX_TRACKED_PREFIXES:
            self._prefix_holders.popitem(last=False)

    def pop_prefix_reads(self) -> tuple[tuple[str, str], ...]:
        """Returns and clears the prefix reads recorded since the last call."""
        reads = tuple(self._unreported_reads)
        self._unreported_reads.clear()
        return reads

    def prefix_holders(self, prefix_id: str, now: float) -> dict[str, float]:
        """Returns the probable holders of a shared prefix, with the seconds since its last use."""
        holders = self._prefix_holders.get(prefix_id, {})
        return {
            upstream_id: now - read_at
            for upstream_id, read_at in holders.items()
            if now - read_at < PREFIX_RETENTION_SECONDS
        }

    def remove_upstream(self, upstream_id: str) -> None:
        """Removes the records of an upstream that is gone."""
        self._failures.pop(upstream_id, None)
        for holders in self._prefix_holders.values():
            holders.pop(upstream_id, None)
