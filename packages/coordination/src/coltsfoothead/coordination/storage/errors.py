"""Errors of the storage package."""

from coltsfoothead.coordination import errors

__all__ = [
    "CorruptionError",
    "FolderLockedError",
    "MissingFileError",
    "StorageError",
    "WrongClusterError",
    "WrongReplicaError",
]


class StorageError(errors.CoordinationError):
    """Base class of storage errors."""


class CorruptionError(StorageError):
    """Synced data is damaged or missing; the replica must not start with this folder."""


class FolderLockedError(StorageError):
    """Another process has the data folder open."""


class MissingFileError(StorageError):
    """The file to read does not exist."""


class WrongClusterError(StorageError):
    """The data folder belongs to another cluster."""


class WrongReplicaError(StorageError):
    """The data folder belongs to another replica of the cluster."""
