"""RPC messages that entries and control followers exchange with the control leader."""

import msgspec

from coltsfoothead.coordination.configuration import lease
from coltsfoothead.daemon.gateway.speeds import wire as speedwire
from coltsfoothead.kernel.pacing import messages as pacing_messages
from coltsfoothead.kernel.rollouts import permissions
from coltsfoothead.kernel.sharing import work
from coltsfoothead.kernel.traffic import (
    brittleness,
    demandmeter,
    departures,
    peering,
    placement,
    quarantine,
    quota,
    requestlimits,
    runnerplan,
    streamorigins,
    upstreams,
)
from coltsfoothead.kernel.waiting import appointments as waiting_appointments

__all__ = [
    "ANNOUNCE",
    "DRAW",
    "JOIN",
    "ORIGIN",
    "PROBE",
    "SYNC",
    "Announcement",
    "Answer",
    "DirectoryUpdate",
    "DrawRequest",
    "DrawResponse",
    "JoinResponse",
    "JoinRequest",
    "NotLeading",
    "OriginRequest",
    "OriginResponse",
    "OriginUpdate",
    "ProbeRequest",
    "ProbeResponse",
    "Report",
    "WithdrawnUpstream",
    "decode_answer",
    "decode_announcement",
    "decode_draw_request",
    "decode_draw_response",
    "decode_join_response",
    "decode_join_request",
    "decode_origin_request",
    "decode_origin_response",
    "decode_probe_request",
    "decode_probe_response",
    "decode_report",
    "encode",
]

SYNC = "gateway.sync"
ANNOUNCE = "gateway.announce"
JOIN = "gateway.join"
DRAW = "gateway.draw"
PROBE = "gateway.probe"
ORIGIN = "gateway.origin"


class Report(msgspec.Struct, frozen=True):
    """Periodic report of an entry or a control follower to the control leader.

    Parameters
    ----------
    sender : str
        Unique to one start of the process.
    zone : str
    poll : PollRequest
        Version of the routing document that the sender holds; its answer renews the lease on it.
    directory : tuple of (str, int)
        Leadership ID and change number of the sender's copy of the upstream directory.
    entry : bool
        Whether the sender is an entry, which needs allowances from the quotas.
    asked, spent : dict of str to float
        Quota units by organisation since the last report: those that callers requested, and those
        of the admitted requests.
    loads : dict of str to Load
        In-flight requests of the sender by upstream ID.
    usage : dict of int to dict of str to int
        Requests that began to run, by usage window and organisation. These are totals, so that a
        repeated report changes nothing.
    demand : dict of str to DemandRates
        Token rates by service.
    reads : tuple of (str, str)
        IDs of shared prompt parts and of the upstreams that read (prefilled) them since the last
        report.
    parts : PartReport
        Crashes of upstreams by prompt part, and the quarantines that the sender knows.
    limits : tuple of NamedLimit
        Limits that upstreams have named, as far as the sender knows.
    origins : tuple of OriginBatch
        Streams that began through the sender and that the leader has not confirmed.
    origins_version : tuple of (str, int)
        Leadership ID and number of the newest stream that the sender, a control follower, knows.
    address : str
        ``IP:port`` at which other entries can call the sender; empty for a control follower.
    peers_digest : int
        Digest of the peers that the sender knows.
    leaving : tuple of Departure
        Upstreams that have said in an answer that they leave.
    brittle : tuple of NamedLimit
        Rejections a second that brittle upstreams survive, as far as the sender knows.
    rejections : tuple of Rejection
        Rejections by brittle upstreams within the last moment.
    speeds : SpeedReport or None
        None while the sender learns no speeds.
    sharing : tuple of ServiceWork
        Work offered and admitted since the last report.
    pacing : PaceReport or None
        What the sender, an entry, has observed at upstreams in a window; None if it does not pace.
    appointments : tuple of Appointment
        Times that the sender has told refused callers, as far as the leader does not know them.
    rollouts : EntryReport or None
        Rollouts that the sender knows, and what it has counted of those that run.
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
    parts: quarantine.PartReport = quarantine.PartReport()
    limits: tuple[requestlimits.NamedLimit, ...] = ()
    origins: tuple[streamorigins.OriginBatch, ...] = ()
    origins_version: tuple[str, int] = ("", 0)
    address: str = ""
    peers_digest: int = 0
    leaving: tuple[departures.Departure, ...] = ()
    brittle: tuple[requestlimits.NamedLimit, ...] = ()
    rejections: tuple[brittleness.Rejection, ...] = ()
    speeds: speedwire.SpeedReport | None = None
    sharing: tuple[work.ServiceWork, ...] = ()
    pacing: pacing_messages.PaceReport | None = None
    appointments: tuple[waiting_appointments.Appointment, ...] = ()
    rollouts: permissions.EntryReport | None = None


class OriginUpdate(msgspec.Struct, frozen=True):
    """Streams that a control follower lacks.

    Parameters
    ----------
    version : tuple of (str, int)
        Leadership ID and number of the newest one.
    batches : tuple of OriginBatch
    """

    version: tuple[str, int] = ("", 0)
    batches: tuple[streamorigins.OriginBatch, ...] = ()


class DirectoryUpdate(msgspec.Struct, frozen=True):
    """Directory changes that the requester lacks.

    Parameters
    ----------
    leadership : str
        ID of the leader's term, which defines the change numbers.
    number : int
        Change number of the newest change.
    whole : bool
        Whether `changed` is the full directory, which replaces the requester's copy.
    changed : tuple of Upstream
    """

    leadership: str
    number: int
    whole: bool
    changed: tuple[upstreams.Upstream, ...]


class Answer(msgspec.Struct, frozen=True, tag=True):
    """The leader's answer to a report.

    Parameters
    ----------
    poll : PollAnswer
        Update of the routing document and the remaining lease on it.
    directory : DirectoryUpdate
    entries : int
        Number of entries that currently report.
    allowances : dict of str to Grant
        What the reporting entry may spend of each organisation's quota until its next report.
    loads : dict of str to Load
        In-flight requests of all other entries by upstream ID.
    controls : tuple of str
        Peer addresses of the live control processes.
    reads : tuple of (str, str)
        Reads of shared prompt parts that the other entries reported since this entry's last report.
    plans : dict of str to PlanState
        State of the runner plan of each service. Only control followers get it, so that the next
        leader can continue the plans.
    parts : PartDecisions
        Quarantined prompt parts.
    limits : tuple of LimitShare
        Limits that upstreams have named, with the receiver's shares.
    origins : OriginUpdate
        Recent streams. Only control followers get them; entries ask for single ones.
    peers : tuple of Peer or None
        Entries that the receiver can call; None if it knows them.
    brittle, rejections : tuple
        As in a report.
    speeds : SpeedAnswer or None
        None if the receiver lacks nothing.
    sharing : tuple of ServiceShare or None
        Shares of the reporting entry in the services whose room is short. None if the leader does
        not know them yet, or does not divide.
    pacing : dict of str to Pace
        Windows of upstreams by ID, with the receiver's permits. Only entries that pace get them.
    appointments : tuple of Appointment
        Times that other entries have told refused callers and that the receiver does not know.
    rollouts : EntryAnswer or None
        Rules that the receiver lacks, and its permissions.
    """

    poll: lease.PollAnswer
    directory: DirectoryUpdate
    entries: int
    allowances: dict[str, quota.Grant]
    loads: dict[str, placement.Load]
    controls: tuple[str, ...]
    reads: tuple[tuple[str, str], ...] = ()
    plans: dict[str, runnerplan.PlanState] = {}
    parts: quarantine.PartDecisions = quarantine.PartDecisions()
    limits: tuple[requestlimits.LimitShare, ...] = ()
    origins: OriginUpdate = OriginUpdate()
    peers: tuple[peering.Peer, ...] | None = None
    brittle: tuple[requestlimits.NamedLimit, ...] = ()
    rejections: tuple[brittleness.Rejection, ...] = ()
    speeds: speedwire.SpeedAnswer | None = None
    sharing: tuple[work.ServiceShare, ...] | None = None
    pacing: dict[str, pacing_messages.Pace] = {}
    appointments: tuple[waiting_appointments.Appointment, ...] = ()
    rollouts: permissions.EntryAnswer | None = None


class NotLeading(msgspec.Struct, frozen=True, tag=True):
    """The called process is not the leader.

    Parameters
    ----------
    leader : str or None
        Peer address of the leader, as far as the called process knows.
    controls : tuple of str
        Peer addresses of the live control processes.
    """

    leader: str | None
    controls: tuple[str, ...] = ()


class WithdrawnUpstream(msgspec.Struct, frozen=True, tag=True):
    """Withdrawal of an upstream that has stopped.

    Parameters
    ----------
    upstream_id : str
    born : int
        Identifies the start of the upstream; 0 if it is not known.
    """

    upstream_id: str
    born: int


class Announcement(msgspec.Struct, frozen=True):
    """An upstream's announcement or withdrawal, forwarded by a control process to the leader.

    It is encoded as an `_AnnouncementWire`.
    """

    record: upstreams.Upstream | WithdrawnUpstream


class DrawRequest(msgspec.Struct, frozen=True):
    """Request of an entry for quota units beyond its allowance, to admit a single request."""

    organisation: str
    amount: float


class DrawResponse(msgspec.Struct, frozen=True):
    """Answer to a draw request; `given` is None if the called process is not the leader."""

    given: bool | None


class ProbeRequest(msgspec.Struct, frozen=True):
    """Request of an entry to probe a part whose quarantine has run out, or to try a request.

    Parameters
    ----------
    part_id : str
    service : str
        Service whose upstreams would get it.
    """

    part_id: str
    service: str = ""


class ProbeResponse(msgspec.Struct, frozen=True):
    """Answer to a probe request; `given` is None if the called process is not the leader."""

    given: bool | None


class OriginRequest(msgspec.Struct, frozen=True):
    """Question of an entry which software version began a stream.

    Parameters
    ----------
    stream_id : str
        Empty if the caller does not name the stream.
    service : str
        The only service that can have begun it, or an empty string.
    """

    stream_id: str
    service: str


class OriginResponse(msgspec.Struct, frozen=True):
    """Answer to an origin request.

    Parameters
    ----------
    leads : bool
        Whether the called process is the leader.
    origin : Origin or None
        None if it does not know the stream.
    """

    leads: bool
    origin: streamorigins.Origin | None = None


class JoinRequest(msgspec.Struct, frozen=True):
    """Heartbeat of a control process that hosts, or wants to host, a replica of the control log.

    Parameters
    ----------
    leads : bool
        Whether the sender is the leader, which sends it only to processes that it does not hear.
    """

    replica: str
    address: str
    zone: str
    leads: bool = False


class JoinResponse(msgspec.Struct, frozen=True):
    """Answer to a join request: addresses of the log's members by replica ID.

    Only the leader fills them in. A newly admitted replica does not have the members in its own log
    yet, but has to answer their messages.
    """

    members: dict[str, str]


class _AnnouncementWire(msgspec.Struct, frozen=True):
    upstream: upstreams.Upstream | None = None
    withdrawn: WithdrawnUpstream | None = None


def encode(value: object) -> bytes:
    """Encodes a message."""
    if isinstance(value, Announcement):
        match value.record:
            case upstreams.Upstream():
                value = _AnnouncementWire(upstream=value.record)
            case WithdrawnUpstream():
                value = _AnnouncementWire(withdrawn=value.record)
    return msgspec.msgpack.encode(value)


def decode_announcement(data: bytes) -> Announcement:
    """Decodes an announcement or withdrawal.

    Raises
    ------
    msgspec.ValidationError
        If the message is malformed or contains neither of the two.
    """
    wire = msgspec.msgpack.decode(data, type=_AnnouncementWire)
    record = wire.upstream or wire.withdrawn
    if record is None:
        raise msgspec.ValidationError("an announcement without an upstream")
    return Announcement(record)


decode_report = msgspec.msgpack.Decoder(Report).decode
decode_answer = msgspec.msgpack.Decoder(Answer | NotLeading).decode
decode_draw_request = msgspec.msgpack.Decoder(DrawRequest).decode
decode_draw_response = msgspec.msgpack.Decoder(DrawResponse).decode
decode_probe_request = msgspec.msgpack.Decoder(ProbeRequest).decode
decode_probe_response = msgspec.msgpack.Decoder(ProbeResponse).decode
decode_origin_request = msgspec.msgpack.Decoder(OriginRequest).decode
decode_origin_response = msgspec.msgpack.Decoder(OriginResponse).decode
decode_join_response = msgspec.msgpack.Decoder(JoinResponse).decode
decode_join_request = msgspec.msgpack.Decoder(JoinRequest).decode
