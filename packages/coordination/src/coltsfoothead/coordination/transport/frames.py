"""Messages on a link and their msgpack encoding."""

import msgspec

__all__ = [
    "Cancel",
    "Credit",
    "End",
    "Failure",
    "Frame",
    "Hello",
    "Item",
    "Refusal",
    "Request",
    "Response",
    "decode_batch",
    "decode_call",
    "decode_handshake",
    "encode",
]


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """Handshake: the first message of a gRPC stream in each direction."""

    cluster_id: str
    member_id: str
    incarnation: int


class Refusal(msgspec.Struct, frozen=True, tag="refusal"):
    """Reply to the `Hello` of a peer that is refused; `reason` is the class name of the error."""

    reason: str
    message: str


class Frame(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One message on one channel; a `correlation_id` of 0 belongs to no call or stream."""

    channel: str
    correlation_id: int
    payload: bytes


class Request(msgspec.Struct, frozen=True, tag=0, array_like=True):
    """Starts a call, or a stream if `credit` (items that it may send at first) is not 0."""

    method: str
    payload: bytes
    credit: int = 0


class Response(msgspec.Struct, frozen=True, tag=1, array_like=True):
    """Response to a call."""

    payload: bytes


class Failure(msgspec.Struct, frozen=True, tag=2, array_like=True):
    """The handler of a call or stream failed."""

    type_name: str
    message: str


class Item(msgspec.Struct, frozen=True, tag=3, array_like=True):
    """One item of a stream; a gap in `sequence` shows that an item was lost."""

    sequence: int
    payload: bytes


class End(msgspec.Struct, frozen=True, tag=4, array_like=True):
    """The stream ended after `item_count` items."""

    item_count: int


class Cancel(msgspec.Struct, frozen=True, tag=5, array_like=True):
    """The caller cancels a stream."""


class Credit(msgspec.Struct, frozen=True, tag=6, array_like=True):
    """Flow control: the serving side may send `item_count` more items."""

    item_count: int


_ENCODER = msgspec.msgpack.Encoder()
_BATCH_DECODER = msgspec.msgpack.Decoder(list[Frame])
_HANDSHAKE_DECODER = msgspec.msgpack.Decoder(Hello | Refusal)
_CALL_DECODER = msgspec.msgpack.Decoder(Request | Response | Failure | Item | End | Cancel | Credit)

encode = _ENCODER.encode
decode_batch = _BATCH_DECODER.decode
decode_call = _CALL_DECODER.decode
decode_handshake = _HANDSHAKE_DECODER.decode
