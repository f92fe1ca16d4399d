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
    """Part of an answer; the offset of a chunk is its index among the chunks of the answer."""

    data: bytes
    tokens: int


class Copy(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """Complete state of a request, sent to a guard.

    Parameters
    ----------
    request_id : str
        ID of the request.
    epoch : int
        Owner epoch; increases with every change of the owner.
    attempt : int
        Number of the current attempt; increases whenever the request is sent to an upstream
        again.
    description : bytes
        Encoded data with which a new owner can run the request.
    chunks : tuple of Chunk
        Chunks of the answer so far.
    result : bytes, optional
        Encoded end of the answer; None while the answer is incomplete.
    guard_incarnation : int
        Incarnation of the guard process that the copy is addressed to.
    guard_number : int
        Increases with every change of the guard within the epoch; the guard echoes it in its
        responses.
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
    """Chunks from `offset` on, with the result if they are the last of the answer."""

    request_id: str
    epoch: int
    attempt: int
    offset: int
    chunks: tuple[Chunk, ...]
    result: bytes | None
    guard_number: int


class Acknowledge(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The guard holds the first `offset` chunks, and the result if `finished` is set."""

    request_id: str
    epoch: int
    offset: int
    finished: bool
    guard_number: int


class Refuse(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """The guard rejects the message; the owner must not deliver further chunks through it."""

    request_id: str
    epoch: int
    reason: Literal["superseded", "restarted", "unknown"]
    guard_number: int


Message = Copy | Append | Acknowledge | Refuse


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """Messages that one process sends to another at the same time."""

    messages: tuple[Message, ...]


encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Batch).decode
