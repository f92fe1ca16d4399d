"""Framing of records: ``length, crc32, payload``."""

import struct
import zlib

from coltsfoothead.coordination.storage import errors

__all__ = ["HEADER_BYTES", "decode_one", "encode", "scan"]

_HEADER = struct.Struct("<II")
HEADER_BYTES = _HEADER.size


def _checksum(length: int, payload: bytes, offset: int) -> int:
    # Seeding with the file offset keeps a payload that itself contains a framed record from
    # being taken for a record.
    return zlib.crc32(payload, zlib.crc32(struct.pack("<IQ", length, offset)))


def encode(payload: bytes, offset: int) -> bytes:
    """Returns the record of a non-empty `payload` that starts at `offset` of its file."""
    if not payload:
        raise errors.StorageError("a record needs a payload of at least one byte")
    return _HEADER.pack(len(payload), _checksum(len(payload), payload, offset)) + payload


def _read(data: bytes, offset: int) -> bytes | None:
    if offset + HEADER_BYTES > len(data):
        return None
    length, checksum = _HEADER.unpack_from(data, offset)
    start = offset + HEADER_BYTES
    if length == 0 or start + length > len(data):
        return None
    payload = data[start : start + length]
    return payload if _checksum(length, payload, offset) == checksum else None


def scan(data: bytes, name: str) -> tuple[list[bytes], int]:
    """Reads records up to the first bad one.

    Parameters
    ----------
    data : bytes
        Content of the file.
    name : str
        Name of the file, for error messages.

    Returns
    -------
    tuple of list of bytes and int
        The payloads and the offset at which the good records end.

    Raises
    ------
    CorruptionError
        If a good record follows a bad one. Each record is synced before the next is written, so
        this cannot be a torn write.
    """
    payloads = []
    offset = 0
    while (payload := _read(data, offset)) is not None:
        payloads.append(payload)
        offset += HEADER_BYTES + len(payload)
    # The length of the bad record may be damaged too, so every later offset is tried.
    for later in range(offset + 1, len(data) - HEADER_BYTES):
        if _read(data, later) is not None:
            raise errors.CorruptionError(
                f"file {name!r}: bad record at {offset} is followed by a good one at {later}"
            )
    return payloads, offset


def decode_one(data: bytes, name: str) -> bytes:
    """Returns the payload of a file that holds exactly one record.

    Raises
    ------
    CorruptionError
        If the record is damaged.
    """
    payload = _read(data, 0)
    if payload is None or HEADER_BYTES + len(payload) != len(data):
        raise errors.CorruptionError(f"file {name!r} is damaged")
    return payload
