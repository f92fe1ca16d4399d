"""In-memory disk that loses and tears unsynced writes on a simulated crash."""

import random

from coltsfoothead.coordination.storage import errors

__all__ = ["MemoryDisk", "SimulatedCrashError"]


class SimulatedCrashError(errors.StorageError):
    """The process crashed at this write or sync."""


class _File:
    __slots__ = ("content", "durable")

    def __init__(self) -> None:
        self.content = b""
        self.durable = b""


class MemoryDisk:
    """Implementation of `Disk` for tests.

    Attributes
    ----------
    syncs : int
        Number of file and folder syncs.
    crash_after : int or None
        Number of further changing operations before `SimulatedCrashError` is raised.
    """

    def __init__(self) -> None:
        self._names: dict[str, _File] = {}
        self._durable_names: dict[str, _File] = {}
        self.syncs = 0
        self.crash_after: int | None = None

    def names(self) -> list[str]:
        """Returns the sorted names of the files."""
        return sorted(self._names)

    def read(self, name: str) -> bytes:
        """Returns the content of a file."""
        if name not in self._names:
            raise errors.MissingFileError(f"file {name!r} does not exist")
        return self._names[name].content

    def write(self, name: str, data: bytes) -> None:
        """Creates the file or replaces its content."""
        self._names.setdefault(name, _File()).content = data
        self._count_operation()

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file."""
        self._names.setdefault(name, _File()).content += data
        self._count_operation()

    def truncate(self, name: str, size: int) -> None:
        """Cuts the file to `size` bytes."""
        self._names[name].content = self._names[name].content[:size]
        self._count_operation()

    def sync(self, name: str) -> None:
        """Makes the content of a file durable."""
        self._count_operation()
        self.syncs += 1
        self._names[name].durable = self._names[name].content

    def sync_folder(self) -> None:
        """Makes the set of names durable."""
        self._count_operation()
        self.syncs += 1
        self._durable_names = dict(self._names)

    def rename(self, old: str, new: str) -> None:
        """Renames a file atomically."""
        self._names[new] = self._names.pop(old)
        self._count_operation()

    def remove(self, name: str) -> None:
        """Removes a file."""
        del self._names[name]
        self._count_operation()

    def close(self) -> None:
        """Does nothing; the content stays for the next start."""

    def crash(self, randomness: random.Random | None = None) -> None:
        """Loses unsynced names and bytes.

        Parameters
        ----------
        randomness : random.Random, optional
            If given, a random part of each unsynced append survives, with its last byte damaged
            in half of the cases.
        """
        self.crash_after = None
        self._names = dict(self._durable_names)
        for file in self._names.values():
            tail = file.content[len(file.durable) :]
            kept = b""
            if randomness and tail and file.content.startswith(file.durable):
                kept = tail[: randomness.randint(0, len(tail))]
                if kept and randomness.random() < 0.5:
                    kept = kept[:-1] + bytes([kept[-1] ^ 0xFF])
            file.content = file.durable = file.durable + kept

    def lose_everything(self) -> None:
        """Loses all files."""
        self._names = {}
        self._durable_names = {}

    def copy(self) -> "MemoryDisk":
        """Returns a disk with the durable content of this one."""
        other = MemoryDisk()
        for name, file in self._durable_names.items():
            other.write(name, file.durable)
            other.sync(name)
        other.sync_folder()
        return other

    def _count_operation(self) -> None:
        if self.crash_after is None:
            return
        if self.crash_after <= 0:
            raise SimulatedCrashError("the disk crashed")
        self.crash_after -= 1
