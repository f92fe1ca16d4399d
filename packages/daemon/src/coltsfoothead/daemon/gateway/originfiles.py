"""Keeps the origins of streams in the data folder of a control process, for restarts of all."""

import asyncio
import pathlib

import msgspec

from coltsfoothead.coordination.storage import disk, records
from coltsfoothead.coordination.storage import errors as storage_errors
from coltsfoothead.daemon.gateway import clock, eventlog
from coltsfoothead.kernel.traffic import streamorigins

__all__ = ["OriginFiles"]

# Streams that began within this time may be unknown after a loss of power.
WRITE_SECONDS = 0.2
# Two files take turns, so that one of them is complete while the other is replaced.
_NAMES = ("streams-0", "streams-1")
_decoder = msgspec.msgpack.Decoder(tuple[streamorigins.OriginBatch, ...])


class OriginFiles:
    """Writes the new records of a table to files, without waiting for the disk.

    Parameters
    ----------
    folder : Path
        Subfolder of the data folder; created if it does not exist.
    table : OriginTable
    events : EventLog

    Notes
    -----
    An origin never changes, so that files of any age may be read, and any part of them may be lost.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        table: streamorigins.OriginTable,
        events: eventlog.EventLog,
    ) -> None:
        self._folder = folder
        self._table = table
        self._events = events
        self._disk: disk.DirectoryDisk | None = None
        self._current = 0
        self._size = 0
        self._begun_at = float("-inf")
        self._written = 0
        self._failing = False

    def load(self) -> None:
        """Adds the streams in the files to the table; the smaller file is replaced first."""
        sizes = [0, 0]
        for number, name in enumerate(_NAMES):
            try:
                data = self._open().read(name)
                payloads, sizes[number] = records.scan(data, name)
                for payload in payloads:
                    self._table.merge(_decoder.decode(payload), clock.steady())
            except storage_errors.MissingFileError:
                continue
            except (storage_errors.StorageError, msgspec.MsgspecError, OSError) as error:
                self._events.write("streams_not_read", file=name, cause=str(error))
        self._current = sizes.index(max(sizes))

    async def run(self) -> None:
        """Writes new records at intervals, until cancelled."""
        while True:
            await asyncio.sleep(WRITE_SECONDS)
            batches, number = self._table.since(self._written), self._table.number
            if not batches:
                continue
            payload = msgspec.msgpack.encode(batches)
            try:
                await asyncio.to_thread(self._append, payload, clock.steady())
            except (storage_errors.StorageError, OSError) as error:
                if not self._failing:
                    self._events.write("streams_not_written", cause=str(error))
                self._failing = True
                continue
            self._failing, self._written = False, number

    def close(self) -> None:
        """Closes the files."""
        if self._disk is not None:
            self._disk.close()
            self._disk = None

    def _open(self) -> disk.DirectoryDisk:
        if self._disk is None:
            self._disk = disk.DirectoryDisk(self._folder)
        return self._disk

    def _append(self, payload: bytes, now: float) -> None:
        files = self._open()
        if now - self._begun_at > streamorigins.RETENTION_SECONDS:
            successor = 1 - self._current
            files.write(_NAMES[successor], b"")
            self._current, self._size, self._begun_at = successor, 0, now
        if self._failing:
            # The last record may have been written in part.
            files.truncate(_NAMES[self._current], self._size)
        data = records.encode(payload, self._size)
        files.append(_NAMES[self._current], data)
        files.sync(_NAMES[self._current])
        self._size += len(data)
