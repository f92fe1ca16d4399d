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
    The content of a file is durable after `sync`; creating, renaming or removing a file is durable
    after `sync_folder`.
    """

    def names(self) -> list[str]:
        """Returns the sorted names of the files."""

    def read(self, name: str) -> bytes:
        """Returns the content of a file; raises `MissingFileError` if there is none."""

    def write(self, name: str, data: bytes) -> None:
        """Creates the file or replaces its content."""

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file; creates the file if it does not exist."""

    def truncate(self, name: str, size: int) -> None:
        """Cuts the file to `size` bytes."""

    def sync(self, name: str) -> None:
        """Makes the content of a file durable."""

    def sync_folder(self) -> None:
        """Makes all creations, renamings and removals of files durable."""

    def rename(self, old: str, new: str) -> None:
        """Renames a file atomically, replacing `new`."""

    def remove(self, name: str) -> None:
        """Removes a file."""

    def close(self) -> None:
        """Closes the files and releases the lock on the folder, if there is one."""


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
        self._folder_descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        self._descriptors: dict[str, int] = {}
        try:
            fcntl.flock(self._folder_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._folder_descriptor)
            raise errors.FolderLockedError(f"folder {path} is already locked") from error

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
        os.ftruncate(self._open_for_append(name), 0)
        self.append(name, data)

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file."""
        descriptor = self._open_for_append(name)
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(descriptor, remaining) :]

    def truncate(self, name: str, size: int) -> None:
        """Cuts the file to `size` bytes."""
        os.ftruncate(self._open_for_append(name), size)

    def sync(self, name: str) -> None:
        """Makes the content of a file durable."""
        os.fsync(self._open_for_append(name))

    def sync_folder(self) -> None:
        """Makes all creations, renamings and removals of files durable."""
        os.fsync(self._folder_descriptor)

    def rename(self, old: str, new: str) -> None:
        """Renames a file atomically."""
        self._close_file(old)
        self._close_file(new)
        os.rename(self._path / old, self._path / new)

    def remove(self, name: str) -> None:
        """Removes a file."""
        self._close_file(name)
        os.unlink(self._path / name)

    def close(self) -> None:
        """Closes all files and releases the lock; may be called twice."""
        for name in list(self._descriptors):
            self._close_file(name)
        if self._folder_descriptor >= 0:
            os.close(self._folder_descriptor)
            self._folder_descriptor = -1

    def _open_for_append(self, name: str) -> int:
        if name not in self._descriptors:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
            self._descriptors[name] = os.open(self._path / name, flags, 0o600)
        return self._descriptors[name]

    def _close_file(self, name: str) -> None:
        descriptor = self._descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)
