"""Messages on a link and their msgpack form."""

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
    "decode_opening",
    "encode",
]


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """First message of a stream in each direction."""

    cluster_id: str
    member_id: str
    incarnation: int


class Refusal(msgspec.Struct, frozen=True, tag="refusal"):
    """Answer to the hello of a peer that is not accepted."""

    reason: str
    message: str


class Frame(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One message of one channel; a correlation of 0 belongs to no call."""

    channel: str
    correlation: int
    payload: bytes


class Request(msgspec.Struct, frozen=True, tag=0, array_like=True):
    """Starts a call, or a stream if `credit` is not 0."""

    method: str
    payload: bytes
    credit: int = 0


class Response(msgspec.Struct, frozen=True, tag=1, array_like=True):
    """Answer of a call."""

    payload: bytes


class Failure(msgspec.Struct, frozen=True, tag=2, array_like=True):
    """The handler of a call or stream failed."""

    type_name: str
    message: str


class Item(msgspec.Struct, frozen=True, tag=3, array_like=True):
    """One item of a stream; the sequence shows a lost item."""

    sequence: int
    payload: bytes


class End(msgspec.Struct, frozen=True, tag=4, array_like=True):
    """A stream ended after `items` items."""

    items: int


class Cancel(msgspec.Struct, frozen=True, tag=5, array_like=True):
    """The caller wants no more items of a stream."""


class Credit(msgspec.Struct, frozen=True, tag=6, array_like=True):
    """The caller has room for `items` more items."""

    items: int


_ENCODER = msgspec.msgpack.Encoder()
_BATCH = msgspec.msgpack.Decoder(list[Frame])
_OPENING = msgspec.msgpack.Decoder(Hello | Refusal)
_CALL = msgspec.msgpack.Decoder(Request | Response | Failure | Item | End | Cancel | Credit)

encode = _ENCODER.encode
decode_batch = _BATCH.decode
decode_call = _CALL.decode
decode_opening = _OPENING.decode
