"""Messages between the owner and the guard of a request."""

from typing import Literal

import msgspec

__all__ = [
    "Acknowledge",
    "Append",
    "Batch",
    "Chunk",
    "Copy",
    "Message",
    "Refuse",
    "decode",
    "encode",
]


class Chunk(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Piece of an answer; its offset is its index in the answer."""

    data: bytes
    tokens: int


class Copy(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """Whole state of a request.

    Parameters
    ----------
    request_id : str
        The request.
    epoch : int
        Grows with every change of the owner.
    attempt : int
        Grows with every run on another upstream.
    description : bytes
        What a new owner needs to run the request.
    chunks : tuple of Chunk
        The answer so far.
    result : bytes, optional
        How the answer ended; None while it runs.
    guard_incarnation : int
        Process start of the guard that the copy is meant for.
    guard_number : int
        Grows with every change of the guard within the epoch; answers repeat it.
    """

    request_id: str
    epoch: int
    attempt: int
    description: bytes
    chunks: tuple[Chunk, ...]
    result: bytes | None
    guard_incarnation: int
    guard_number: int


class Append(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Chunks from `offset` on, and the result if the answer ends with them."""

    request_id: str
    epoch: int
    attempt: int
    offset: int
    chunks: tuple[Chunk, ...]
    result: bytes | None
    guard_number: int


class Acknowledge(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The guard holds the first `offset` chunks, and the result if `finished`."""

    request_id: str
    epoch: int
    offset: int
    finished: bool
    guard_number: int


class Refuse(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """The guard does not take part; the owner must not deliver any more through it."""

    request_id: str
    epoch: int
    reason: Literal["superseded", "restarted", "unknown"]
    guard_number: int


Message = Copy | Append | Acknowledge | Refuse


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """What one process sends to another at one time."""

    messages: tuple[Message, ...]


encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Batch).decode
