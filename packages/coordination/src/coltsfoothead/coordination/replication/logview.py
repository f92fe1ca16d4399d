"""In-memory part of the log, from its base on."""

import bisect
from collections.abc import Iterable

from coltsfoothead.coordination.storage import schema

__all__ = ["COMMAND", "MEMBERSHIP", "NOOP", "LogView"]

# Kinds of entries.
NOOP = 0
COMMAND = 1
MEMBERSHIP = 2


class LogView:
    """Log entries that follow the base, which is the last compacted entry."""

    def __init__(self, base: tuple[int, int], entries: Iterable[schema.Entry]):
        self._base_index, self._base_term = base
        self._entries = list(entries)

    @property
    def base(self) -> tuple[int, int]:
        """Index and term of the entry before the first one in memory."""
        return self._base_index, self._base_term

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the base if there is none."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the base if there is none."""
        return self._entries[-1].term if self._entries else self._base_term

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry, or None if the index is compacted or beyond the end."""
        if index == self._base_index:
            return self._base_term
        if self._base_index < index <= self.last_index:
            return self._entries[index - self._base_index - 1].term
        return None

    def between(self, first: int, last: int) -> tuple[schema.Entry, ...]:
        """Returns the entries from `first` to `last`, both included."""
        start = first - self._base_index - 1
        return tuple(self._entries[start : last - self._base_index])

    def batch(self, first: int, max_entries: int, max_bytes: int) -> tuple[schema.Entry, ...]:
        """Returns entries from `first` on within the limits; one entry may exceed `max_bytes`."""
        entries = self.between(first, first + max_entries - 1)
        size = 0
        for position, entry in enumerate(entries):
            size += len(entry.data)
            if size > max_bytes and position:
                return entries[:position]
        return entries

    def append(self, entries: Iterable[schema.Entry]) -> None:
        """Appends entries that directly follow the last one."""
        self._entries.extend(entries)

    def truncate(self, first: int) -> None:
        """Removes the entries from `first` on."""
        del self._entries[first - self._base_index - 1 :]

    def compact(self, index: int) -> None:
        """Discards the entries up to `index`, which becomes the base."""
        term = self.term_at(index)
        del self._entries[: index - self._base_index]
        self._base_index, self._base_term = index, term

    def reset(self, index: int, term: int) -> None:
        """Discards all entries and makes `index` the base."""
        self._base_index, self._base_term, self._entries = index, term, []

    def first_of_term(self, index: int) -> int:
        """Returns the first index in memory that has the same term as `index`."""
        term = self.term_at(index)
        position = bisect.bisect_left(self._entries, term, key=lambda entry: entry.term)
        return min(index, self._base_index + 1 + position)

    def last_of_term(self, term: int) -> int | None:
        """Returns the last index in memory that has `term`, or None if there is none."""
        position = bisect.bisect_right(self._entries, term, key=lambda entry: entry.term)
        index = self._base_index + position
        return index if self.term_at(index) == term else None
