"""Member records, their order, and the messages of the failure detector."""

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
    "order",
]


class State(enum.IntEnum):
    """What a member is believed to be; later values win at equal refutation numbers."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One member as its own process and the detectors describe it.

    Parameters
    ----------
    id, address, region, zone : str
        Identity and place; the address is ``ip:port``.
    incarnation : int
        Grows with every start of the process.
    refutation : int
        Grows when the member refutes a suspicion or changes its own record.
    voter : bool
        Whether the member holds a copy of the log.
    state : State
        What is believed of it.
    metadata : dict of str to str
        Small facts that other members need.
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
    """Asks the receiver for an ack."""

    sequence: int
    updates: tuple[Member, ...] = ()


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks the receiver to ping `target` and to pass its ack on."""

    sequence: int
    target: str
    updates: tuple[Member, ...] = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answers the ping or ping request of that sequence."""

    sequence: int
    updates: tuple[Member, ...] = ()


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Carries updates outside of a ping."""

    updates: tuple[Member, ...] = ()


class Join(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Introduces a member that knows the receiver only by address; answered by `States`."""

    member: Member


class Digest(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Offers a full exchange; answered by `States` only if the digests differ."""

    value: int


class States(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """All records of the sender; `wants_answer` asks for those of the receiver."""

    members: tuple[Member, ...]
    wants_answer: bool


Message = Ping | PingRequest | Ack | Gossip | Join | Digest | States

encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Message).decode


def order(member):
    """Returns the key by which of two records of one member the greater one is kept.

    A new process start beats everything; a leave is final within one start; a higher refutation
    number beats a suspicion or death of a lower one.
    """
    left = member.state is State.LEFT
    return (member.incarnation, left, member.refutation, member.state)


def digest(members):
    """Returns a 64-bit digest of the records that are alive or suspect.

    Dead and left records are forgotten at different times and would make it differ for ever.
    """
    rows = sorted(
        (member.id, member.incarnation, member.refutation)
        for member in members
        if member.state <= State.SUSPECT
    )
    return xxhash.xxh64_intdigest(encode(rows))
