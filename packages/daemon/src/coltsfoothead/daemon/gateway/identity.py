"""Durable identity of a control process."""

import dataclasses
import pathlib
import random

import msgspec

from coltsfoothead.coordination.storage import disk as disk_module
from coltsfoothead.coordination.storage import records

__all__ = ["Identity", "open_identity"]

_IDENTITY_FILE = "process"
_TEMPORARY_FILE = "process.tmp"


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Identity that a control process keeps on its disk.

    Attributes
    ----------
    replica : str
        Replica ID. A process that lost its disk gets a new one.
    start : int
        Number of the current start, counted from 1.
    """

    replica: str
    start: int


def open_identity(
    folder: pathlib.Path, address: str, is_founder: bool, rng: random.Random
) -> Identity:
    """Reads the identity, or creates one in an empty folder, and increments the start number.

    Parameters
    ----------
    folder : path
    address : str
        IP address of the process.
    is_founder : bool
        Whether this process is a founder of a new cluster. The replica IDs of founders are their
        addresses, so that each founder knows the IDs of the others.
    rng : random.Random

    Raises
    ------
    StorageError, OSError
        If the folder cannot be read or written.
    """
    disk = disk_module.DirectoryDisk(folder)
    try:
        if _IDENTITY_FILE in disk.names():
            known = msgspec.msgpack.decode(
                records.decode_one(disk.read(_IDENTITY_FILE), _IDENTITY_FILE), type=Identity
            )
            identity = dataclasses.replace(known, start=known.start + 1)
        else:
            replica = address if is_founder else f"{address}~{rng.getrandbits(32):08x}"
            identity = Identity(replica, 1)
        disk.write(_TEMPORARY_FILE, records.encode(msgspec.msgpack.encode(identity), 0))
        disk.sync(_TEMPORARY_FILE)
        disk.rename(_TEMPORARY_FILE, _IDENTITY_FILE)
        disk.sync_folder()
        return identity
    finally:
        disk.close()
