"""Durable identity of a control process."""

import dataclasses
import pathlib
import random

import msgspec

from coltsfoothead.coordination.storage import disk as disk_module
from coltsfoothead.coordination.storage import records

__all__ = ["Identity", "open_identity"]

_FILE = "process"
_TEMPORARY = "process.tmp"


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Replica ID, which a lost disk ends, and the number of this start."""

    replica: str
    start: int


def open_identity(folder: pathlib.Path, address: str, founds: bool, rng: random.Random) -> Identity:
    """Reads the identity, or makes one for an empty folder, and counts this start.

    Parameters
    ----------
    folder : path
    address : str
        IP address of the process.
    founds : bool
        Whether this process is one of the founders of a new cluster; their replica IDs are
        their addresses, so that each knows those of the others.
    rng : random.Random

    Raises
    ------
    StorageError, OSError
        If the folder cannot be read or written.
    """
    disk = disk_module.DirectoryDisk(folder)
    try:
        if _FILE in disk.names():
            known = msgspec.msgpack.decode(
                records.decode_one(disk.read(_FILE), _FILE), type=Identity
            )
            identity = dataclasses.replace(known, start=known.start + 1)
        else:
            replica = address if founds else f"{address}~{rng.getrandbits(32):08x}"
            identity = Identity(replica, 1)
        disk.write(_TEMPORARY, records.encode(msgspec.msgpack.encode(identity), 0))
        disk.sync(_TEMPORARY)
        disk.rename(_TEMPORARY, _FILE)
        disk.sync_folder()
        return identity
    finally:
        disk.close()
