"""Index of the prompt prefixes that upstreams hold, from late and gappy cache events."""

import collections
import dataclasses
from collections.abc import Iterable, Sequence

__all__ = ["Applied", "Cleared", "Evicted", "PrefixIndex", "ResyncNeeded", "Stored"]

_MAX_MATCHED_BLOCKS = 512


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """The upstream cached blocks; each hash covers the whole prefix up to its block."""

    sequence: int
    blocks: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Evicted:
    """The upstream dropped blocks."""

    sequence: int
    blocks: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Cleared:
    """The upstream dropped its whole cache."""

    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """All events up to `sequence` are known."""

    upstream: str
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class ResyncNeeded:
    """Events were missed; a listing at or after `sequence` closes the gap."""

    upstream: str
    sequence: int


class _Upstream:
    __slots__ = ("blocks", "gap_end", "incarnation", "sequence")

    def __init__(self, incarnation: int, sequence: int):
        self.incarnation = incarnation
        self.sequence = sequence
        self.gap_end = 0
        # Least recently stored first.
        self.blocks: collections.OrderedDict[int, None] = collections.OrderedDict()


class PrefixIndex:
    """Which upstream holds which block.

    Parameters
    ----------
    max_upstreams : int
        Upstreams kept; the one without events for the longest time is dropped first.
    max_blocks : int
        Blocks kept in all; each upstream gets an equal share of them.

    Notes
    -----
    A missed event may have been an eviction of any block stored before it, so a gap drops all
    blocks of the upstream. Blocks stored after the gap are kept.
    """

    def __init__(self, max_upstreams: int = 32, max_blocks: int = 65_536):
        self._max_upstreams = max_upstreams
        self._max_per_upstream = max(1, max_blocks // max_upstreams)
        self._upstreams: collections.OrderedDict[str, _Upstream] = collections.OrderedDict()
        self._holders: dict[int, set[str]] = {}

    @property
    def pairs(self) -> int:
        """Number of (block, upstream) pairs kept."""
        return sum(len(known.blocks) for known in self._upstreams.values())

    def after(self, upstream: str) -> int:
        """Returns the last sequence known, to ask the upstream for the events after it."""
        known = self._upstreams.get(upstream)
        return known.sequence if known else 0

    def apply(
        self, upstream: str, incarnation: int, events: Iterable[Stored | Evicted | Cleared]
    ) -> Applied | ResyncNeeded:
        """Applies events in order of sequence; events that are already known are ignored.

        A higher incarnation is a restarted upstream with an empty cache and new sequences;
        events of a lower one are ignored.
        """
        known = self._known(upstream, incarnation)
        if incarnation == known.incarnation:
            for event in sorted(events, key=lambda each: each.sequence):
                if event.sequence > known.sequence:
                    self._apply_one(upstream, known, event)
        return self._state(upstream, known)

    def resync(
        self, upstream: str, incarnation: int, sequence: int, blocks: Sequence[int]
    ) -> Applied | ResyncNeeded:
        """Replaces what is known by the upstream's own listing as of `sequence`.

        A listing from before the end of the gap is ignored. After an accepted one, events are to
        be asked for from `after` on, also those that were already applied.
        """
        known = self._known(upstream, incarnation)
        if incarnation == known.incarnation and sequence >= known.gap_end - 1:
            self._drop_all(upstream, known)
            known.sequence = sequence
            known.gap_end = 0
            self._store(upstream, known, blocks)
        return self._state(upstream, known)

    def expect(self, upstream: str, blocks: Sequence[int]) -> None:
        """Notes the blocks of a prompt that was just sent, before the late event says so."""
        known = self._upstreams.get(upstream)
        if known is not None:
            self._store(upstream, known, blocks)

    def match(self, blocks: Sequence[int]) -> dict[str, int]:
        """Returns for each upstream how many leading blocks it holds, without those with none."""
        found: dict[str, int] = {}
        holding: set[str] | None = None
        for count, block in enumerate(blocks[:_MAX_MATCHED_BLOCKS], start=1):
            holders = self._holders.get(block, set())
            holding = holders if holding is None else holding & holders
            if not holding:
                break
            found.update(dict.fromkeys(holding, count))
        return found

    def forget(self, upstream: str) -> None:
        """Drops an upstream."""
        known = self._upstreams.pop(upstream, None)
        if known is not None:
            self._drop_all(upstream, known)

    def _known(self, upstream: str, incarnation: int) -> _Upstream:
        known = self._upstreams.get(upstream)
        if known is None or incarnation > known.incarnation:
            self.forget(upstream)
            if len(self._upstreams) >= self._max_upstreams:
                self.forget(next(iter(self._upstreams)))
            known = self._upstreams[upstream] = _Upstream(incarnation, 0)
        self._upstreams.move_to_end(upstream)
        return known

    def _apply_one(
        self, upstream: str, known: _Upstream, event: Stored | Evicted | Cleared
    ) -> None:
        if event.sequence != known.sequence + 1:
            self._drop_all(upstream, known)
            known.gap_end = event.sequence
        known.sequence = event.sequence
        match event:
            case Stored(blocks=blocks):
                self._store(upstream, known, blocks)
            case Evicted(blocks=blocks):
                for block in blocks:
                    if block in known.blocks:
                        del known.blocks[block]
                        self._release(upstream, block)
            case Cleared():
                self._drop_all(upstream, known)
                known.gap_end = 0

    def _store(self, upstream: str, known: _Upstream, blocks: Sequence[int]) -> None:
        for block in blocks:
            known.blocks[block] = None
            known.blocks.move_to_end(block)
            self._holders.setdefault(block, set()).add(upstream)
        while len(known.blocks) > self._max_per_upstream:
            block, _ = known.blocks.popitem(last=False)
            self._release(upstream, block)

    def _drop_all(self, upstream: str, known: _Upstream) -> None:
        for block in known.blocks:
            self._release(upstream, block)
        known.blocks.clear()

    def _release(self, upstream: str, block: int) -> None:
        holders = self._holders[block]
        holders.discard(upstream)
        if not holders:
            del self._holders[block]

    @staticmethod
    def _state(upstream: str, known: _Upstream) -> Applied | ResyncNeeded:
        if known.gap_end:
            return ResyncNeeded(upstream, known.gap_end - 1)
        return Applied(upstream, known.sequence)
