"""Messages between replicas and their encoding."""

import msgspec

from coltsfoothead.coordination.replication import errors
from coltsfoothead.coordination.storage import schema

__all__ = [
    "AppendRequest",
    "AppendResponse",
    "Envelope",
    "Message",
    "PreVoteRequest",
    "PreVoteResponse",
    "Refused",
    "SnapshotRequest",
    "SnapshotResponse",
    "TimeoutNow",
    "VoteRequest",
    "VoteResponse",
    "decode",
    "encode",
]


class PreVoteRequest(msgspec.Struct, frozen=True, tag=True):
    """Asks whether a vote in `term` + 1 would be granted; `term` is the sender's current term."""

    term: int
    last_index: int
    last_term: int


class PreVoteResponse(msgspec.Struct, frozen=True, tag=True):
    """Response for an election in term `proposed`; `term` is the sender's current term."""

    term: int
    proposed: int
    granted: bool


class VoteRequest(msgspec.Struct, frozen=True, tag=True):
    """Asks for a vote; `transfer` marks an election that the leader requested with `TimeoutNow`."""

    term: int
    last_index: int
    last_term: int
    transfer: bool


class VoteResponse(msgspec.Struct, frozen=True, tag=True):
    """Response to `VoteRequest`."""

    term: int
    granted: bool


class AppendRequest(msgspec.Struct, frozen=True, tag=True):
    """Entries after `previous_index`; also the heartbeat of `round`."""

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[schema.Entry, ...]
    commit: int
    round: int


class AppendResponse(msgspec.Struct, frozen=True, tag=True):
    """Response to `AppendRequest`, and to `SnapshotRequest` unless chunks are missing.

    `match` is the highest index up to which the log is known to equal the leader's. Without
    `success`, `hint_term` is the term of the follower's conflicting entry and `hint_index` the
    first index of that term, or they are 0 and the index after the end of the follower's log.
    """

    term: int
    success: bool
    match: int
    round: int
    hint_index: int = 0
    hint_term: int = 0


class SnapshotRequest(msgspec.Struct, frozen=True, tag=True):
    """Chunk of a snapshot; `total` (bytes) and `checksum` (CRC-32) are of the whole snapshot."""

    term: int
    index: int
    index_term: int
    members: dict[str, schema.Member]
    offset: int
    total: int
    checksum: int
    data: bytes
    round: int


class SnapshotResponse(msgspec.Struct, frozen=True, tag=True):
    """Number of bytes that the follower has received of the snapshot at `index`."""

    term: int
    index: int
    received: int
    round: int


class TimeoutNow(msgspec.Struct, frozen=True, tag=True):
    """Tells a voter to start an election at once (leadership transfer)."""

    term: int


class Refused(msgspec.Struct, frozen=True, tag=True):
    """Refusal of a message; `seen` is the sender's record of the state of the receiver."""

    seen: schema.PeerRecord


Message = (
    PreVoteRequest
    | PreVoteResponse
    | VoteRequest
    | VoteResponse
    | AppendRequest
    | AppendResponse
    | SnapshotRequest
    | SnapshotResponse
    | TimeoutNow
    | Refused
)


class Envelope(msgspec.Struct, frozen=True, tag=True):
    """Message with the identity of its sender and the last index that the sender has synced."""

    cluster: str
    sender: str
    incarnation: int
    boot: int
    last_index: int
    body: Message


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode(envelope: Envelope) -> bytes:
    """Returns the msgpack form of an envelope."""
    return _encoder.encode(envelope)


def decode(payload: bytes) -> Envelope:
    """Returns the envelope in `payload`.

    Raises
    ------
    MessageError
        If it is not a valid envelope.
    """
    try:
        return _decoder.decode(payload)
    except msgspec.MsgspecError as error:
        raise errors.MessageError(f"invalid message: {error}") from error
