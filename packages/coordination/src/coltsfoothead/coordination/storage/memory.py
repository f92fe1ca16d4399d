"""In-memory disk that discards or truncates unsynced writes on a simulated crash."""

import random

from coltsfoothead.coordination.storage import errors

__all__ = ["MemoryDisk", "SimulatedCrashError"]


class SimulatedCrashError(errors.StorageError):
    """The process crashed at this write or sync."""


class _File:
    """Content of one file, and the part of it that was synced."""

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
    operations_until_crash : int or None
        Number of further operations that change the disk before `SimulatedCrashError` is raised;
        None for no crash.
    """

    def __init__(self) -> None:
        self._names: dict[str, _File] = {}
        self._durable_names: dict[str, _File] = {}
        self.syncs = 0
        self.operations_until_crash: int | None = None

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
        """Makes all creations, renamings and removals of files durable."""
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

    def crash(self, rng: random.Random | None = None) -> None:
        """Discards unsynced file names and bytes.

        Parameters
        ----------
        rng : random.Random, optional
            If given, a random part of each unsynced append survives, with its last byte damaged
            in half of the cases.
        """
        self.operations_until_crash = None
        self._names = dict(self._durable_names)
        for file in self._names.values():
            unsynced = file.content[len(file.durable) :]
            surviving = b""
            if rng and unsynced and file.content.startswith(file.durable):
                surviving = unsynced[: rng.randint(0, len(unsynced))]
                if surviving and rng.random() < 0.5:
                    surviving = surviving[:-1] + bytes([surviving[-1] ^ 0xFF])
            file.content = file.durable = file.durable + surviving

    def erase(self) -> None:
        """Removes all files, including durable ones."""
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
        if self.operations_until_crash is None:
            return
        if self.operations_until_crash <= 0:
            raise SimulatedCrashError("the disk crashed")
        self.operations_until_crash -= 1
