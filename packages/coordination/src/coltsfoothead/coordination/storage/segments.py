"""Append-only log of batches in segment files."""

from collections.abc import Sequence

import msgspec

from coltsfoothead.coordination.storage import disk as disk_module
from coltsfoothead.coordination.storage import errors, records, schema

__all__ = ["SegmentLog"]

_SEGMENT_PREFIX = "log-"
_SEGMENT_BYTES = 8 * 1024 * 1024
_decoder = msgspec.msgpack.Decoder(schema.Batch)


def _segment_number(name: str) -> int:
    return int(name[len(_SEGMENT_PREFIX) :])


class SegmentLog:
    """Log of one replica, split into segment files.

    Parameters
    ----------
    disk : Disk
        Data folder.
    segment_bytes : int, optional
        Size from which on the next batch starts a new segment.

    Attributes
    ----------
    batches : list of Batch
        Batches found at opening, starting with the latest one that has a base.

    Notes
    -----
    Every batch is one record and is synced before the next is written; therefore at most the last
    record of the last segment can be torn.
    """

    def __init__(self, disk: disk_module.Disk, segment_bytes: int = _SEGMENT_BYTES):
        self._disk = disk
        self._segment_bytes = segment_bytes
        self._names = [name for name in disk.names() if name.startswith(_SEGMENT_PREFIX)]
        self._size = 0
        self.batches = self._recover()

    def append(self, batch: schema.Batch) -> None:
        """Writes and syncs a batch; one with a base starts a new segment and removes the others."""
        superseded = list(self._names) if batch.base is not None else []
        starts_segment = (
            not self._names or batch.base is not None or self._size >= self._segment_bytes
        )
        if starts_segment:
            number = _segment_number(self._names[-1]) + 1 if self._names else 1
            self._names.append(f"{_SEGMENT_PREFIX}{number:016d}")
            self._size = 0
        data = records.encode(msgspec.msgpack.encode(batch), self._size)
        self._disk.append(self._names[-1], data)
        self._size += len(data)
        self._disk.sync(self._names[-1])
        if starts_segment:
            self._disk.sync_folder()
        self._remove_segments(superseded)

    def _remove_segments(self, names: Sequence[str]) -> None:
        for name in names:
            self._disk.remove(name)
            self._names.remove(name)
        if names:
            self._disk.sync_folder()

    def _recover(self) -> list[schema.Batch]:
        segment_batches = []
        for position, name in enumerate(self._names):
            data = self._disk.read(name)
            payloads, end = records.scan(data, name)
            last = position == len(self._names) - 1
            if end < len(data) and not last:
                raise errors.CorruptionError(
                    f"file {name!r}: invalid record at offset {end}, but later segments exist"
                )
            if last:
                self._truncate_segment(name, end, len(data))
            segment_batches.append([self._decode(payload, name) for payload in payloads])
        base_positions = [
            i
            for i, segment in enumerate(segment_batches)
            if segment and segment[0].base is not None
        ]
        if not base_positions:
            if any(segment_batches):
                raise errors.CorruptionError("the first segment of the log is missing")
            return []
        numbers = [_segment_number(name) for name in self._names[base_positions[-1] :]]
        if numbers[-1] - numbers[0] + 1 != len(numbers):
            raise errors.CorruptionError("a segment of the log is missing")
        self._remove_segments(self._names[: base_positions[-1]])
        return [batch for segment in segment_batches[base_positions[-1] :] for batch in segment]

    def _truncate_segment(self, name: str, end: int, size: int) -> None:
        self._size = end
        if end < size:
            self._disk.truncate(name, end)
        # Content that was read may exist only in the page cache; it must be durable before use.
        self._disk.sync(name)
        self._disk.sync_folder()

    @staticmethod
    def _decode(payload: bytes, name: str) -> schema.Batch:
        try:
            return _decoder.decode(payload)
        except msgspec.MsgspecError as error:
            raise errors.CorruptionError(
                f"file {name!r}: cannot decode a batch: {error}"
            ) from error
