"""Framing of records: payload length and CRC-32 (32 bits each, little-endian), then the payload."""

import struct
import zlib

from coltsfoothead.coordination.storage import errors

__all__ = ["HEADER_BYTES", "decode_one", "encode", "scan"]

_HEADER = struct.Struct("<II")
HEADER_BYTES = _HEADER.size


def _checksum(length: int, payload: bytes, offset: int) -> int:
    # Seeding with the file offset keeps a payload that itself contains a framed record from
    # being read as a record of the file.
    return zlib.crc32(payload, zlib.crc32(struct.pack("<IQ", length, offset)))


def encode(payload: bytes, offset: int) -> bytes:
    """Frames a non-empty `payload` as the record at byte `offset` of its file."""
    if not payload:
        raise errors.StorageError("a record needs a payload of at least one byte")
    return _HEADER.pack(len(payload), _checksum(len(payload), payload, offset)) + payload


def _read_record(data: bytes, offset: int) -> bytes | None:
    if offset + HEADER_BYTES > len(data):
        return None
    length, checksum = _HEADER.unpack_from(data, offset)
    start = offset + HEADER_BYTES
    if length == 0 or start + length > len(data):
        return None
    payload = data[start : start + length]
    return payload if _checksum(length, payload, offset) == checksum else None


def scan(data: bytes, name: str) -> tuple[list[bytes], int]:
    """Reads records up to the first invalid one.

    Parameters
    ----------
    data : bytes
        Content of the file.
    name : str
        Name of the file, for error messages.

    Returns
    -------
    tuple of list of bytes and int
        The payloads and the offset at which the valid records end.

    Raises
    ------
    CorruptionError
        If a valid record follows an invalid one. Each record is synced before the next is written,
        so this cannot be a torn write.
    """
    payloads = []
    offset = 0
    while (payload := _read_record(data, offset)) is not None:
        payloads.append(payload)
        offset += HEADER_BYTES + len(payload)
    # The length field of the invalid record may be damaged too, so every later offset is tried.
    for later_offset in range(offset + 1, len(data) - HEADER_BYTES):
        if _read_record(data, later_offset) is not None:
            raise errors.CorruptionError(
                f"file {name!r}: invalid record at offset {offset} is followed by "
                f"a valid one at {later_offset}"
            )
    return payloads, offset


def decode_one(data: bytes, name: str) -> bytes:
    """Returns the payload of a file that holds exactly one record.

    Raises
    ------
    CorruptionError
        If the record is damaged.
    """
    payload = _read_record(data, 0)
    if payload is None or HEADER_BYTES + len(payload) != len(data):
        raise errors.CorruptionError(f"file {name!r} is damaged")
    return payload
