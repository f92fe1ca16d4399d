"""Which software version of which service began each stream.

What two software versions write does not fit together, so that a stream goes on only at upstreams
of the version that began it. A caller whose stream broke off may take it up at any entry. The
entries report the streams that begin through them to the leader, which passes them on to the other
control processes and tells any entry the origin of a stream. The origin of a stream never changes,
so that repeated and old messages do no harm.
"""

import collections
import dataclasses
from collections.abc import Iterable, Iterator

__all__ = [
    "RENEWAL_SECONDS",
    "RETENTION_SECONDS",
    "EntryOrigins",
    "Origin",
    "OriginBatch",
    "OriginTable",
]

# Time for which an origin is kept after it was recorded last. Entries record it anew while a stream
# goes on, and callers give up a stream that broke off long before.
RETENTION_SECONDS = 40.0
RENEWAL_SECONDS = 15.0
# Bound of the memory that callers can cause; at 1000 streams a second it holds them for a minute.
MAX_ORIGINS = 65536


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Service and software version that began a stream."""

    service: str
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class OriginBatch:
    """Streams of one origin.

    Attributes
    ----------
    origin : Origin
    stream_ids : tuple of str
        IDs of the requests whose answers began the streams.
    """

    origin: Origin
    stream_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _Record:
    origin: Origin
    recorded_at: float
    number: int


class OriginTable:
    """Origins of recent streams, as one process knows them."""

    def __init__(self) -> None:
        # In the order of the numbers and times of their records.
        self._records: collections.OrderedDict[str, _Record] = collections.OrderedDict()
        self._number = 0

    @property
    def number(self) -> int:
        """Number of the newest record."""
        return self._number

    def record(self, stream_id: str, origin: Origin, now: float) -> None:
        """Records a stream, or keeps it for longer; the first origin holds."""
        known = self._records.pop(stream_id, None)
        self._number += 1
        kept = known.origin if known is not None else origin
        self._records[stream_id] = _Record(kept, now, self._number)
        self._forget_old(now)

    def merge(self, batches: Iterable[OriginBatch], now: float) -> None:
        """Records the streams that another process reports."""
        for batch in batches:
            for stream_id in batch.stream_ids:
                self.record(stream_id, batch.origin, now)

    def origin(self, stream_id: str) -> Origin | None:
        """Returns the origin of a stream, or None if it is not known."""
        known = self._records.get(stream_id)
        return known.origin if known is not None else None

    def since(self, number: int) -> tuple[OriginBatch, ...]:
        """Returns the records with higher numbers."""
        ids: dict[Origin, list[str]] = {}
        for stream_id, record in self._newest_first():
            if record.number <= number:
                break
            ids.setdefault(record.origin, []).append(stream_id)
        return tuple(OriginBatch(origin, tuple(found)) for origin, found in ids.items())

    def _newest_first(self) -> Iterator[tuple[str, _Record]]:
        return ((name, self._records[name]) for name in reversed(self._records))

    def _forget_old(self, now: float) -> None:
        while len(self._records) > MAX_ORIGINS or (
            now - next(iter(self._records.values())).recorded_at > RETENTION_SECONDS
        ):
            self._records.popitem(last=False)


class EntryOrigins:
    """Origins of the streams that began through one entry, and what the leader lacks of them."""

    def __init__(self) -> None:
        self._table = OriginTable()
        self._leadership = ""
        self._reported = self._confirmed = 0

    def record(self, stream_id: str, origin: Origin, now: float) -> None:
        """Records that the answer to a request has begun or goes on."""
        self._table.record(stream_id, origin, now)

    def origin(self, stream_id: str) -> Origin | None:
        """Returns the origin of a stream, or None if this entry does not know it."""
        return self._table.origin(stream_id)

    def report(self) -> tuple[OriginBatch, ...]:
        """Returns what the leader has not confirmed yet."""
        self._reported = self._table.number
        return self._table.since(self._confirmed)

    def confirm(self, leadership: str) -> None:
        """Records that a leader has answered the last report; a new leader needs all streams."""
        self._confirmed = self._reported if leadership == self._leadership else 0
        self._leadership = leadership
