"""Messages between an entry or a control follower and the control leader."""

import msgspec

from coltsfoothead.coordination.configuration import lease
from coltsfoothead.kernel.traffic import demandmeter, placement, quota, runnerplan, upstreams

__all__ = [
    "ANNOUNCE",
    "DRAW",
    "JOIN",
    "SYNC",
    "Announced",
    "Answer",
    "DirectoryUpdate",
    "Draw",
    "Drawn",
    "Joined",
    "Joining",
    "NotLeading",
    "Report",
    "WithdrawnUpstream",
    "decode_answer",
    "decode_announced",
    "decode_draw",
    "decode_drawn",
    "decode_joined",
    "decode_joining",
    "decode_report",
    "encode",
]

SYNC = "gateway.sync"
ANNOUNCE = "gateway.announce"
JOIN = "gateway.join"
DRAW = "gateway.draw"


class Report(msgspec.Struct, frozen=True):
    """What a process has and what it knows.

    Parameters
    ----------
    sender : str
        Unique to one start of the process.
    zone : str
    poll : PollRequest
        Document that the sender has.
    directory : tuple of (str, int)
        Leadership and change number of the directory that the sender has.
    entry : bool
        Whether the sender takes requests, and so needs shares.
    asked, spent : dict of str to float
        Units that callers asked of each organisation's quota since the last report, and those of
        the requests that were admitted.
    loads : dict of str to Load
        Requests under way per upstream.
    usage : dict of int to dict of str to int
        Begun requests per window and organisation; totals, so that a repeat changes nothing.
    demand : dict of str to DemandRates
        By service.
    reads : tuple of (str, str)
        Shared parts of prompts and the upstreams that read them, since the last report.
    """

    sender: str
    zone: str
    poll: lease.PollRequest
    directory: tuple[str, int]
    entry: bool = False
    asked: dict[str, float] = {}
    spent: dict[str, float] = {}
    loads: dict[str, placement.Load] = {}
    usage: dict[int, dict[str, int]] = {}
    demand: dict[str, demandmeter.DemandRates] = {}
    reads: tuple[tuple[str, str], ...] = ()


class DirectoryUpdate(msgspec.Struct, frozen=True):
    """Changes of the directory since the number that the asker has; `whole` replaces its copy."""

    leadership: str
    number: int
    whole: bool
    changed: tuple[upstreams.Upstream, ...]


class Answer(msgspec.Struct, frozen=True, tag=True):
    """The leader's answer to a report.

    Parameters
    ----------
    entries : int
        Entries that report at present.
    allowances : dict of str to Grant
        What the asker may spend of each organisation's quota until its next report.
    loads : dict of str to Load
        What the other entries have under way per upstream.
    controls : tuple of str
        Peer addresses of the control processes.
    reads : tuple of (str, str)
        What the reports of the other entries named since the asker's last one.
    plans : dict of str to PlanState
        Of the runners of each service, for control processes; the next leader goes on with them.
    """

    poll: lease.PollAnswer
    directory: DirectoryUpdate
    entries: int
    allowances: dict[str, quota.Grant]
    loads: dict[str, placement.Load]
    controls: tuple[str, ...]
    reads: tuple[tuple[str, str], ...] = ()
    plans: dict[str, runnerplan.PlanState] = {}


class NotLeading(msgspec.Struct, frozen=True, tag=True):
    """The asked process does not lead; `leader` is the peer address of the one that may."""

    leader: str | None
    controls: tuple[str, ...] = ()


class WithdrawnUpstream(msgspec.Struct, frozen=True, tag=True):
    """An upstream is gone; `born` is 0 if its start is not known."""

    upstream_id: str
    born: int


class Announced(msgspec.Struct, frozen=True):
    """An upstream's word, as a control process heard it."""

    word: upstreams.Upstream | WithdrawnUpstream


class Draw(msgspec.Struct, frozen=True):
    """One request wants more of an organisation's quota than its entry has been allowed."""

    organisation: str
    amount: float


class Drawn(msgspec.Struct, frozen=True):
    """Answer to a draw; `given` is None if the asked process does not lead."""

    given: bool | None


class Joining(msgspec.Struct, frozen=True):
    """A control process is alive and wants a replica of the log."""

    replica: str
    address: str
    zone: str


class Joined(msgspec.Struct, frozen=True):
    """Answer to a sign of life: the leader's members with their addresses, if it leads.

    A replica that has just been admitted has none of them in its log yet, and has to answer them.
    """

    members: dict[str, str]


class _AnnouncedWire(msgspec.Struct, frozen=True):
    upstream: upstreams.Upstream | None = None
    withdrawn: WithdrawnUpstream | None = None


def encode(value: object) -> bytes:
    """Encodes a message."""
    if isinstance(value, Announced):
        match value.word:
            case upstreams.Upstream():
                value = _AnnouncedWire(upstream=value.word)
            case WithdrawnUpstream():
                value = _AnnouncedWire(withdrawn=value.word)
    return msgspec.msgpack.encode(value)


def decode_announced(data: bytes) -> Announced:
    """Decodes an upstream's word; raises `msgspec.ValidationError`."""
    wire = msgspec.msgpack.decode(data, type=_AnnouncedWire)
    word = wire.upstream or wire.withdrawn
    if word is None:
        raise msgspec.ValidationError("an announcement without an upstream")
    return Announced(word)


decode_report = msgspec.msgpack.Decoder(Report).decode
decode_answer = msgspec.msgpack.Decoder(Answer | NotLeading).decode
decode_draw = msgspec.msgpack.Decoder(Draw).decode
decode_drawn = msgspec.msgpack.Decoder(Drawn).decode
decode_joined = msgspec.msgpack.Decoder(Joined).decode
decode_joining = msgspec.msgpack.Decoder(Joining).decode
