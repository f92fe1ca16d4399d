"""RPC messages with which one entry passes a request to an upstream through another entry.

The answer to a `RelayRequest` is a stream of items: `NotSent` alone, or `Head`, any number of
`Data` and then `End`, or `Broken` at any point.
"""

import msgspec

from coltsfoothead.kernel.traffic import peering

__all__ = [
    "PEER_STATE",
    "RELAY",
    "Broken",
    "Data",
    "End",
    "Head",
    "Item",
    "NotSent",
    "RelayRequest",
    "decode_item",
    "decode_request",
    "decode_state",
    "encode",
]

RELAY = "gateway.relay"
PEER_STATE = "gateway.peer_state"


class RelayRequest(msgspec.Struct, frozen=True):
    """A request that another entry sends to an upstream.

    Parameters
    ----------
    upstream_id : str
    born : int
        Start of the upstream that is meant.
    method, target : str
    headers : tuple of (str, str)
        As the caller sent them.
    body : bytes
    seconds_left : float
        Time until the deadline when the request was passed on.
    organisation : str or None
    urgency : int or None
    last_event_id, kv_source_address : str or None
        As in `ports.ForwardingMetadata`.
    digest : str
        Digest of the request, for the log.
    part_ids : tuple of str
        Parts to which a crash of the upstream may be attributed.
    """

    upstream_id: str
    born: int
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    seconds_left: float
    organisation: str | None
    urgency: int | None
    last_event_id: str | None
    kv_source_address: str | None
    digest: str
    part_ids: tuple[str, ...]


class NotSent(msgspec.Struct, frozen=True, tag=True):
    """Nothing was sent to the upstream; the last item of a relayed answer."""

    cause: str


class Head(msgspec.Struct, frozen=True, tag=True):
    """Status and headers of the upstream's response."""

    status: int
    headers: tuple[tuple[str, str], ...]


class Data(msgspec.Struct, frozen=True, tag=True):
    """A part of the body."""

    content: bytes


class End(msgspec.Struct, frozen=True, tag=True):
    """The body is complete; the last item of a relayed answer."""


class Broken(msgspec.Struct, frozen=True, tag=True):
    """The upstream failed after the request may have been sent; the last item."""

    cause: str


Item = NotSent | Head | Data | End | Broken
decode_item = msgspec.msgpack.Decoder(Item).decode
decode_request = msgspec.msgpack.Decoder(RelayRequest).decode
decode_state = msgspec.msgpack.Decoder(peering.PeerState).decode
encode = msgspec.msgpack.Encoder().encode
