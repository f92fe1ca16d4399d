"""Disks for the tests of the storage."""

import errno
import random

from coltsfoothead.coordination.storage import memory

__all__ = ["LimitedDisk"]


class LimitedDisk(memory.MemoryDisk):
    """Disk with limited room, which stores a part of the data that no longer fits.

    Parameters
    ----------
    rng : random.Random
        Random source for the length of that part.

    Attributes
    ----------
    room_bytes : int or None
        Bytes that can still be written; None for no limit.
    """

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self._rng = rng
        self.room_bytes: int | None = None

    def write(self, name: str, data: bytes) -> None:
        """Creates the file or replaces its content."""
        super().write(name, b"")
        self.append(name, data)

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file; raises `OSError` if there is no room for all of the data."""
        if self.room_bytes is None or len(data) <= self.room_bytes:
            super().append(name, data)
            self.room_bytes = None if self.room_bytes is None else self.room_bytes - len(data)
            return
        super().append(name, data[: self._rng.randint(0, self.room_bytes)])
        self.room_bytes = 0
        raise OSError(errno.ENOSPC, "no space left")
