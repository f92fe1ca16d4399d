"""Append-only log of batches in segment files."""

from collections.abc import Sequence

import msgspec

from coltsfoothead.coordination.storage import disk as disk_module
from coltsfoothead.coordination.storage import errors, records, schema

__all__ = ["SegmentLog"]

_PREFIX = "log-"
_SEGMENT_BYTES = 8 * 1024 * 1024
_decoder = msgspec.msgpack.Decoder(schema.Batch)


def _sequence(name: str) -> int:
    return int(name[len(_PREFIX) :])


class SegmentLog:
    """Segments of the log on one disk.

    Attributes
    ----------
    batches : list of Batch
        Batches found at opening, from the newest one that has a base.

    Notes
    -----
    Every batch is one record and is synced before the next is written; therefore at most the last
    record of the last segment can be torn.
    """

    def __init__(self, disk: disk_module.Disk, segment_bytes: int = _SEGMENT_BYTES):
        self._disk = disk
        self._segment_bytes = segment_bytes
        self._names = [name for name in disk.names() if name.startswith(_PREFIX)]
        self._size = 0
        self.batches = self._recover()

    def append(self, batch: schema.Batch) -> None:
        """Writes and syncs a batch; one with a base starts a new segment and drops the others."""
        replaced = list(self._names) if batch.base is not None else []
        new = not self._names or batch.base is not None or self._size >= self._segment_bytes
        if new:
            sequence = _sequence(self._names[-1]) + 1 if self._names else 1
            self._names.append(f"{_PREFIX}{sequence:016d}")
            self._size = 0
        data = records.encode(msgspec.msgpack.encode(batch), self._size)
        self._disk.append(self._names[-1], data)
        self._size += len(data)
        self._disk.sync(self._names[-1])
        if new:
            self._disk.sync_folder()
        self._drop(replaced)

    def _drop(self, names: Sequence[str]) -> None:
        for name in names:
            self._disk.remove(name)
            self._names.remove(name)
        if names:
            self._disk.sync_folder()

    def _recover(self) -> list[schema.Batch]:
        segments = []
        for position, name in enumerate(self._names):
            data = self._disk.read(name)
            payloads, end = records.scan(data, name)
            last = position == len(self._names) - 1
            if end < len(data) and not last:
                raise errors.CorruptionError(f"file {name!r}: bad record at {end} is not the last")
            if last:
                self._cut(name, end, len(data))
            segments.append([self._decode(payload, name) for payload in payloads])
        starts = [i for i, part in enumerate(segments) if part and part[0].base is not None]
        if not starts:
            if any(segments):
                raise errors.CorruptionError("the first segment of the log is missing")
            return []
        sequences = [_sequence(name) for name in self._names[starts[-1] :]]
        if sequences[-1] - sequences[0] + 1 != len(sequences):
            raise errors.CorruptionError("a segment of the log is missing")
        self._drop(self._names[: starts[-1]])
        return [batch for part in segments[starts[-1] :] for batch in part]

    def _cut(self, name: str, end: int, size: int) -> None:
        self._size = end
        if end < size:
            self._disk.truncate(name, end)
        # What was read may still be in the page cache only; it must be durable before use.
        self._disk.sync(name)
        self._disk.sync_folder()

    @staticmethod
    def _decode(payload: bytes, name: str) -> schema.Batch:
        try:
            return _decoder.decode(payload)
        except msgspec.MsgspecError as error:
            raise errors.CorruptionError(f"file {name!r}: unknown batch: {error}") from error
