"""Access to one flat data folder."""

import fcntl
import os
import pathlib
from typing import Protocol

from coltsfoothead.coordination.storage import errors

__all__ = ["DirectoryDisk", "Disk"]


class Disk(Protocol):
    """Flat folder whose writes are durable only after a sync.

    Notes
    -----
    Content is durable after `sync`, and the creation, renaming or removal of a name after
    `sync_folder`.
    """

    def names(self) -> list[str]:
        """Returns the sorted names of the files."""

    def read(self, name: str) -> bytes:
        """Returns the content of a file; raises `MissingFileError` if there is none."""

    def write(self, name: str, data: bytes) -> None:
        """Creates the file or replaces its content."""

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file and creates it if needed."""

    def truncate(self, name: str, size: int) -> None:
        """Cuts the file to `size` bytes."""

    def sync(self, name: str) -> None:
        """Makes the content of a file durable."""

    def sync_folder(self) -> None:
        """Makes the set of names durable."""

    def rename(self, old: str, new: str) -> None:
        """Renames a file atomically, replacing `new`."""

    def remove(self, name: str) -> None:
        """Removes a file."""

    def close(self) -> None:
        """Releases the folder."""


class DirectoryDisk:
    """Folder of the file system, locked against other processes.

    Parameters
    ----------
    path : pathlib.Path
        Folder; created if it does not exist.

    Raises
    ------
    FolderLockedError
        If another process has the folder open.
    """

    def __init__(self, path: pathlib.Path):
        path.mkdir(parents=True, exist_ok=True)
        self._path = path
        self._folder = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        self._open: dict[str, int] = {}
        try:
            fcntl.flock(self._folder, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._folder)
            raise errors.FolderLockedError(f"folder {path} is open elsewhere") from error

    def names(self) -> list[str]:
        """Returns the sorted names of the files."""
        return sorted(item.name for item in self._path.iterdir() if item.is_file())

    def read(self, name: str) -> bytes:
        """Returns the content of a file."""
        try:
            return (self._path / name).read_bytes()
        except FileNotFoundError as error:
            raise errors.MissingFileError(f"file {name!r} does not exist") from error

    def write(self, name: str, data: bytes) -> None:
        """Creates the file or replaces its content."""
        os.ftruncate(self._descriptor(name), 0)
        self.append(name, data)

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file."""
        descriptor = self._descriptor(name)
        rest = memoryview(data)
        while rest:
            rest = rest[os.write(descriptor, rest) :]

    def truncate(self, name: str, size: int) -> None:
        """Cuts the file to `size` bytes."""
        os.ftruncate(self._descriptor(name), size)

    def sync(self, name: str) -> None:
        """Makes the content of a file durable."""
        os.fsync(self._descriptor(name))

    def sync_folder(self) -> None:
        """Makes the set of names durable."""
        os.fsync(self._folder)

    def rename(self, old: str, new: str) -> None:
        """Renames a file atomically."""
        self._forget(old)
        self._forget(new)
        os.rename(self._path / old, self._path / new)

    def remove(self, name: str) -> None:
        """Removes a file."""
        self._forget(name)
        os.unlink(self._path / name)

    def close(self) -> None:
        """Closes all files and releases the lock; may be called twice."""
        for name in list(self._open):
            self._forget(name)
        if self._folder >= 0:
            os.close(self._folder)
            self._folder = -1

    def _descriptor(self, name: str) -> int:
        if name not in self._open:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
            self._open[name] = os.open(self._path / name, flags, 0o600)
        return self._open[name]

    def _forget(self, name: str) -> None:
        descriptor = self._open.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)
