"""Index of the prompt prefixes cached by upstreams, from delayed or missing cache events."""

import collections
import dataclasses
from collections.abc import Iterable, Sequence

__all__ = ["Applied", "Cleared", "Evicted", "PrefixIndex", "ResyncNeeded", "Stored"]

_MAX_MATCHED_BLOCKS = 512


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """The upstream cached blocks; each block hash covers the prefix up to and including it."""

    sequence: int
    blocks: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Evicted:
    """The upstream evicted blocks."""

    sequence: int
    blocks: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Cleared:
    """The upstream cleared its cache."""

    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """All events up to `sequence` have been applied."""

    upstream: str
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class ResyncNeeded:
    """Events were missed; a listing of the cache at or after `sequence` closes the gap."""

    upstream: str
    sequence: int


class _CacheState:
    __slots__ = ("blocks", "gap_end", "incarnation", "sequence")

    def __init__(self, incarnation: int, sequence: int):
        self.incarnation = incarnation
        self.sequence = sequence
        self.gap_end = 0
        # Least recently stored first.
        self.blocks: collections.OrderedDict[int, None] = collections.OrderedDict()


class PrefixIndex:
    """Maps block hashes to the upstreams that cache them.

    Parameters
    ----------
    max_upstreams : int
        Maximum number of upstreams; the one without events for the longest time is removed first.
    max_blocks : int
        Maximum number of blocks of all upstreams, divided equally among them.

    Notes
    -----
    A missed event may have been an eviction of any block stored before it, so a gap in the
    sequence removes all blocks of the upstream. Blocks stored after the gap are kept.
    """

    def __init__(self, max_upstreams: int = 32, max_blocks: int = 65_536):
        self._max_upstreams = max_upstreams
        self._max_blocks_per_upstream = max(1, max_blocks // max_upstreams)
        self._upstreams: collections.OrderedDict[str, _CacheState] = collections.OrderedDict()
        self._holders: dict[int, set[str]] = {}

    @property
    def pairs(self) -> int:
        """Number of (block, upstream) pairs in the index."""
        return sum(len(cache.blocks) for cache in self._upstreams.values())

    def last_sequence(self, upstream: str) -> int:
        """Returns the last sequence applied; later events are to be requested from the upstream."""
        cache = self._upstreams.get(upstream)
        return cache.sequence if cache else 0

    def apply(
        self, upstream: str, incarnation: int, events: Iterable[Stored | Evicted | Cleared]
    ) -> Applied | ResyncNeeded:
        """Applies events in order of sequence; events that were already applied are ignored.

        A higher incarnation is a restarted upstream with an empty cache and new sequences;
        events of a lower incarnation are ignored.
        """
        cache = self._cache_state(upstream, incarnation)
        if incarnation == cache.incarnation:
            for event in sorted(events, key=lambda each: each.sequence):
                if event.sequence > cache.sequence:
                    self._apply_event(upstream, cache, event)
        return self._result(upstream, cache)

    def resync(
        self, upstream: str, incarnation: int, sequence: int, blocks: Sequence[int]
    ) -> Applied | ResyncNeeded:
        """Replaces the upstream's blocks by its own listing of the cache as of `sequence`.

        A listing from before the end of the gap is ignored. After an accepted listing, the events
        after `last_sequence` must be requested, even those that were applied before.
        """
        cache = self._cache_state(upstream, incarnation)
        if incarnation == cache.incarnation and sequence >= cache.gap_end - 1:
            self._remove_all_blocks(upstream, cache)
            cache.sequence = sequence
            cache.gap_end = 0
            self._add_blocks(upstream, cache, blocks)
        return self._result(upstream, cache)

    def add_expected(self, upstream: str, blocks: Sequence[int]) -> None:
        """Adds the blocks of a prompt that was just sent, ahead of the `Stored` event."""
        cache = self._upstreams.get(upstream)
        if cache is not None:
            self._add_blocks(upstream, cache, blocks)

    def match(self, blocks: Sequence[int]) -> dict[str, int]:
        """Returns the number of leading blocks that each upstream caches, omitting zeros."""
        matched_blocks: dict[str, int] = {}
        full_holders: set[str] | None = None
        for count, block in enumerate(blocks[:_MAX_MATCHED_BLOCKS], start=1):
            holders = self._holders.get(block, set())
            full_holders = holders if full_holders is None else full_holders & holders
            if not full_holders:
                break
            matched_blocks.update(dict.fromkeys(full_holders, count))
        return matched_blocks

    def remove_upstream(self, upstream: str) -> None:
        """Removes an upstream and its blocks."""
        cache = self._upstreams.pop(upstream, None)
        if cache is not None:
            self._remove_all_blocks(upstream, cache)

    def _cache_state(self, upstream: str, incarnation: int) -> _CacheState:
        cache = self._upstreams.get(upstream)
        if cache is None or incarnation > cache.incarnation:
            self.remove_upstream(upstream)
            if len(self._upstreams) >= self._max_upstreams:
                self.remove_upstream(next(iter(self._upstreams)))
            cache = self._upstreams[upstream] = _CacheState(incarnation, 0)
        self._upstreams.move_to_end(upstream)
        return cache

    def _apply_event(
        self, upstream: str, cache: _CacheState, event: Stored | Evicted | Cleared
    ) -> None:
        if event.sequence != cache.sequence + 1:
            self._remove_all_blocks(upstream, cache)
            cache.gap_end = event.sequence
        cache.sequence = event.sequence
        match event:
            case Stored(blocks=blocks):
                self._add_blocks(upstream, cache, blocks)
            case Evicted(blocks=blocks):
                for block in blocks:
                    if block in cache.blocks:
                        del cache.blocks[block]
                        self._remove_holder(upstream, block)
            case Cleared():
                self._remove_all_blocks(upstream, cache)
                cache.gap_end = 0

    def _add_blocks(self, upstream: str, cache: _CacheState, blocks: Sequence[int]) -> None:
        for block in blocks:
            cache.blocks[block] = None
            cache.blocks.move_to_end(block)
            self._holders.setdefault(block, set()).add(upstream)
        while len(cache.blocks) > self._max_blocks_per_upstream:
            block, _ = cache.blocks.popitem(last=False)
            self._remove_holder(upstream, block)

    def _remove_all_blocks(self, upstream: str, cache: _CacheState) -> None:
        for block in cache.blocks:
            self._remove_holder(upstream, block)
        cache.blocks.clear()

    def _remove_holder(self, upstream: str, block: int) -> None:
        holders = self._holders[block]
        holders.discard(upstream)
        if not holders:
            del self._holders[block]

    @staticmethod
    def _result(upstream: str, cache: _CacheState) -> Applied | ResyncNeeded:
        if cache.gap_end:
            return ResyncNeeded(upstream, cache.gap_end - 1)
        return Applied(upstream, cache.sequence)
