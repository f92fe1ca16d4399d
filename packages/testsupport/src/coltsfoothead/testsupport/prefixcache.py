"""Prompt-prefix cache of the fake engine and its delayed, lossy event feed."""

import collections
import random
from typing import Any

__all__ = ["EventFeed", "PrefixCache"]

_MAX_EVENTS = 20_000


class EventFeed:
    """Numbered cache events, which become visible after a delay and some of which are lost.

    A lost event still uses a sequence number, so readers can detect the gap.

    Parameters
    ----------
    delay_seconds : float
        Time until an event becomes visible.
    drop_probability : float
        Probability that an event is lost.
    seed : int
        Seed of the choice of lost events.
    """

    def __init__(self, delay_seconds: float, drop_probability: float, seed: int):
        self._delay_seconds = delay_seconds
        self._drop_probability = drop_probability
        self._random = random.Random(seed)
        self._sequence = 0
        self._events: collections.deque[tuple[float, dict[str, Any]]] = collections.deque(
            maxlen=_MAX_EVENTS
        )

    def add(self, now: float, **fields: Any) -> None:
        self._sequence += 1
        if self._random.random() >= self._drop_probability:
            self._events.append((now + self._delay_seconds, {"sequence": self._sequence, **fields}))

    def after(self, sequence: int, now: float) -> list[dict[str, Any]]:
        return [
            event
            for visible_at, event in self._events
            if visible_at <= now and event["sequence"] > sequence
        ]


class PrefixCache:
    """Least-recently-used set of prefix blocks, keyed by model and block ID."""

    def __init__(self, capacity_blocks: int, feed: EventFeed):
        self._capacity_blocks = capacity_blocks
        self._feed = feed
        self._blocks: collections.OrderedDict[tuple[str, str], int] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._blocks)

    def match(self, model: str, blocks: list[tuple[str, int]]) -> int:
        """Returns how many leading blocks are cached, and marks them as used."""
        count = 0
        for block, _ in blocks:
            if (model, block) not in self._blocks:
                break
            self._blocks.move_to_end((model, block))
            count += 1
        return count

    def insert(self, model: str, blocks: list[tuple[str, int]], now: float) -> None:
        """Stores blocks, evicting the least recently used ones beyond the capacity."""
        # Later blocks of a prefix are useless without the earlier ones, so the earlier ones are
        # marked as used most recently and are evicted after the later ones.
        for block, prefix_bytes in reversed(blocks):
            key = (model, block)
            if key not in self._blocks:
                self._feed.add(
                    now, kind="stored", model=model, block=block, prefix_bytes=prefix_bytes
                )
            self._blocks[key] = prefix_bytes
            self._blocks.move_to_end(key)
        while len(self._blocks) > self._capacity_blocks:
            (old_model, block), prefix_bytes = self._blocks.popitem(last=False)
            self._feed.add(
                now, kind="evicted", model=old_model, block=block, prefix_bytes=prefix_bytes
            )

    def drop_model(self, model: str, now: float) -> None:
        """Evicts all blocks of an unloaded model."""
        for key in [key for key in self._blocks if key[0] == model]:
            prefix_bytes = self._blocks.pop(key)
            self._feed.add(
                now, kind="evicted", model=model, block=key[1], prefix_bytes=prefix_bytes
            )
