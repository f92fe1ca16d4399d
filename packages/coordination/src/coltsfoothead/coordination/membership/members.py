"""Member records, their precedence, and the messages of the failure detector."""

import enum

import msgspec
import xxhash

__all__ = [
    "Ack",
    "Digest",
    "Gossip",
    "Join",
    "Member",
    "Message",
    "Ping",
    "PingRequest",
    "State",
    "States",
    "decode",
    "digest",
    "encode",
    "precedence_key",
]


class State(enum.IntEnum):
    """State of a member; the higher value takes precedence at equal refutation numbers."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Member record: fields set by the member itself, and its state as detected by others.

    Parameters
    ----------
    id, address, region, zone : str
        Identity and location; the address is ``ip:port``.
    incarnation : int
        Increases with every start of the process.
    refutation : int
        Increases when the member refutes a suspicion or changes its own record; this is the
        incarnation number of the SWIM paper.
    voter : bool
        Whether the member holds a replica of the Raft log.
    state : State
        State as known to the holder of the record.
    metadata : dict of str to str
        Small values that other members need.
    """

    id: str
    address: str
    region: str
    zone: str
    incarnation: int
    refutation: int = 0
    voter: bool = False
    state: State = State.ALIVE
    metadata: dict[str, str] = {}


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """Direct probe; the receiver answers with `Ack`."""

    sequence: int
    updates: tuple[Member, ...] = ()


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Indirect probe: the receiver pings `target` and forwards its ack."""

    sequence: int
    target: str
    updates: tuple[Member, ...] = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answers the ping or ping request with the same sequence number."""

    sequence: int
    updates: tuple[Member, ...] = ()


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Carries updates outside of a probe."""

    updates: tuple[Member, ...] = ()


class Join(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Sent by a joining member to a seed address; answered by `States`."""

    member: Member


class Digest(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Starts a full state exchange; answered by `States` only if the digests differ."""

    value: int


class States(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """All records of the sender; `wants_answer` requests those of the receiver."""

    members: tuple[Member, ...]
    wants_answer: bool


Message = Ping | PingRequest | Ack | Gossip | Join | Digest | States

encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Message).decode


def precedence_key(member):
    """Returns the precedence key of a record; of two records of one member the greater is kept.

    A higher incarnation overrides everything; a leave is final within one incarnation; a higher
    refutation number overrides a suspect or dead record with a lower one.
    """
    left = member.state is State.LEFT
    return (member.incarnation, left, member.refutation, member.state)


def digest(members):
    """Returns a 64-bit digest of the records that are alive or suspect.

    Dead and left records are excluded: members remove them at different times, so the digests
    would never agree.
    """
    rows = sorted(
        (member.id, member.incarnation, member.refutation)
        for member in members
        if member.state <= State.SUSPECT
    )
    return xxhash.xxh64_intdigest(encode(rows))
