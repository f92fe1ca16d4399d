"""Requests under way, recent failures and held prompts per upstream, as one entry knows them."""

import collections
import dataclasses
from collections.abc import Mapping

from coltsfoothead.kernel.traffic import placement

__all__ = ["Loads", "Passage"]

# Time in which the weight of a failure falls to a third.
FAILURE_SECONDS = 4.0
# A shared part of a prompt is taken for held this long after its last use. Engines keep such parts
# until running requests need their memory.
HELD_SECONDS = 30.0
# Reads that are kept for the next report.
READS_KEPT = 500
# Shared parts that are remembered.
PARTS_KEPT = 4096


class Passage:
    """One request at one upstream; counted from `Loads.begin` until `end`."""

    def __init__(self, loads: "Loads", upstream_id: str, tokens: int, waits: bool) -> None:
        self._loads = loads
        self._upstream_id = upstream_id
        self._tokens = tokens
        self._waits = waits
        self._open = True

    def started(self) -> None:
        """Notes that the answer has begun."""
        if self._open and self._waits:
            self._waits = False
            load = placement.Load(1, -1, -self._tokens)
            self._loads.add(self._upstream_id, load)

    def end(self) -> None:
        """Notes the end; may be called twice."""
        if self._open:
            self._open = False
            waiting = placement.Load(0, -1, -self._tokens)
            load = waiting if self._waits else placement.Load(-1)
            self._loads.add(self._upstream_id, load)


@dataclasses.dataclass(slots=True)
class _Failures:
    weight: float
    at: float


class Loads:
    """What one entry has under way and what it remembers."""

    def __init__(self) -> None:
        self._own: dict[str, placement.Load] = {}
        self._others: Mapping[str, placement.Load] = {}
        self._others_at = float("-inf")
        self._failures: dict[str, _Failures] = {}
        self._held: collections.OrderedDict[str, dict[str, float]] = collections.OrderedDict()
        self._reads: collections.deque[tuple[str, str]] = collections.deque(maxlen=READS_KEPT)

    @property
    def own(self) -> dict[str, placement.Load]:
        """Requests of this entry under way, by upstream."""
        return self._own

    def set_others(self, loads: Mapping[str, placement.Load], now: float) -> None:
        """Replaces what the other entries have under way."""
        self._others = loads
        self._others_at = now

    def age(self, now: float) -> float:
        """Returns the time since the other entries' loads were heard."""
        return now - self._others_at

    def begin(self, upstream_id: str, tokens: int, waits: bool) -> Passage:
        """Counts a request that is sent now.

        Parameters
        ----------
        upstream_id : str
        tokens : int
            Prompt tokens that the upstream has to read.
        waits : bool
            Whether it waits for a first event, or runs at once.
        """
        load = placement.Load(0, 1, tokens) if waits else placement.Load(1)
        self.add(upstream_id, load)
        return Passage(self, upstream_id, tokens, waits)

    def add(self, upstream_id: str, load: placement.Load) -> None:
        """Changes what is under way at an upstream."""
        total = self._own.get(upstream_id, placement.Load()) + load
        if total == placement.Load():
            self._own.pop(upstream_id, None)
        else:
            self._own[upstream_id] = total

    def load(self, upstream_id: str) -> placement.Load:
        """Returns what all entries have under way at an upstream."""
        own = self._own.get(upstream_id, placement.Load())
        return own + self._others.get(upstream_id, placement.Load())

    def failed(self, upstream_id: str, now: float, weight: float = 1.0) -> None:
        """Notes a failure of an upstream."""
        total = self.failures(upstream_id, now) + weight
        self._failures[upstream_id] = _Failures(total, now)

    def failures(self, upstream_id: str, now: float) -> float:
        """Returns the decayed weight of an upstream's failures."""
        noted = self._failures.get(upstream_id)
        if noted is None:
            return 0.0
        weight = noted.weight * 3.0 ** (-(now - noted.at) / FAILURE_SECONDS)
        if weight < 0.01:
            del self._failures[upstream_id]
        return weight

    def read(self, part_id: str, upstream_id: str, now: float) -> None:
        """Notes that an upstream reads a shared part of a prompt, for the next report as well."""
        self._reads.append((part_id, upstream_id))
        self.heard_read(part_id, upstream_id, now)

    def heard_read(self, part_id: str, upstream_id: str, now: float) -> None:
        """Notes that another entry let an upstream read a shared part."""
        holders = self._held.setdefault(part_id, {})
        holders[upstream_id] = now
        self._held.move_to_end(part_id)
        if len(self._held) > PARTS_KEPT:
            self._held.popitem(last=False)

    def take_reads(self) -> tuple[tuple[str, str], ...]:
        """Returns the reads noted since the last call."""
        reads = tuple(self._reads)
        self._reads.clear()
        return reads

    def holders(self, part_id: str, now: float) -> dict[str, float]:
        """Returns the upstreams that probably hold a shared part, with the time since its use."""
        held = self._held.get(part_id, {})
        return {
            upstream_id: now - read_at
            for upstream_id, read_at in held.items()
            if now - read_at < HELD_SECONDS
        }

    def forget(self, upstream_id: str) -> None:
        """Forgets an upstream that is gone."""
        self._failures.pop(upstream_id, None)
        for holders in self._held.values():
            holders.pop(upstream_id, None)
