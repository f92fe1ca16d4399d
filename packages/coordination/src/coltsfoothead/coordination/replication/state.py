"""State of the Raft state machine, shared by its modules."""

import enum
import random

from coltsfoothead.coordination.replication import (
    effects,
    logview,
    membership,
    messages,
    peers,
)
from coltsfoothead.coordination.replication import settings as settings_module
from coltsfoothead.coordination.storage import folder, schema

__all__ = ["Progress", "Role", "State", "become_follower", "send"]


class Role(enum.Enum):
    """Role of a replica in its term."""

    LEARNER = "learner"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Progress:
    """Progress of the replication from the leader to one peer.

    Attributes
    ----------
    match_index : int
        Highest index that the peer is known to have synced.
    next_index : int
        Index of the next entry to send.
    probing : bool
        Whether `next_index` is an estimate, so that only one batch is sent at a time.
    probe_sent : bool
        Whether a probe awaits its response; a heartbeat sends another probe.
    snapshot : Snapshot or None
        Snapshot being sent.
    snapshot_offset : int
        Number of its bytes that the peer has received.
    round : int
        Highest heartbeat round that the peer acknowledged.
    responded_at : float or None
        Time of the peer's last response in this term, in monotonic seconds.
    """

    __slots__ = (
        "match_index",
        "next_index",
        "probing",
        "probe_sent",
        "snapshot",
        "snapshot_offset",
        "round",
        "responded_at",
    )

    def __init__(self, next_index: int):
        self.match_index = 0
        self.next_index = next_index
        self.probing = True
        self.probe_sent = False
        self.snapshot: schema.Snapshot | None = None
        self.snapshot_offset = 0
        self.round = 0
        self.responded_at: float | None = None


class State:
    """Variables of one replica; the modules `election`, `following` and `leading` change them.

    Times are in monotonic seconds.

    Attributes
    ----------
    emitted_index : int
        Highest committed index returned in `Effects.committed` or contained in a snapshot.
    leader_contact : float
        Time of the last message from a leader.
    votes_granted : set of str
        IDs of the replicas that granted this replica their vote or pre-vote.
    term_start_index : int
        Index of the no-op entry that this replica appended when it became leader.
    acknowledged_round : int
        Highest heartbeat round that a majority acknowledged.
    quorum_contact : float or None
        Start of that round; None if no round of the term was acknowledged.
    snapshot_buffer : bytearray
        Received chunks of the snapshot that `snapshot_buffer_key` identifies.
    snapshot_buffer_key : tuple or None
        Sender, index, size in bytes and checksum of that snapshot.
    ready_reads : list of int
        IDs of the complete read barriers that were not yet returned in `Effects.reads`.
    """

    def __init__(
        self,
        replica_folder: folder.ReplicaFolder,
        members: membership.Members,
        settings: settings_module.Settings,
        rng: random.Random,
        now: float,
    ):
        self.identity = replica_folder.identity
        self.settings = settings
        self.rng = rng
        entries = replica_folder.pop_entries()
        self.log = logview.LogView(replica_folder.base, entries)
        self.term = replica_folder.hard_state.term
        self.voted_for = replica_folder.hard_state.vote
        self.peers = peers.PeerTable(replica_folder.peers)
        self.snapshot = replica_folder.snapshot
        self.commit_index = replica_folder.snapshot.index if replica_folder.snapshot else 0
        self.emitted_index = self.commit_index
        # (index, members) of each membership entry, oldest first; the first one is at or before
        # `commit_index`.
        self.configurations = [(self.commit_index, dict(members))]
        for entry in entries:
            if entry.kind == logview.MEMBERSHIP and entry.index > self.commit_index:
                self.configurations.append((entry.index, membership.decode(entry.data)))

        self.role = Role.FOLLOWER
        self.leader: str | None = None
        # A voter may have acknowledged a leader just before its restart; it refuses its vote as if
        # a leader had contacted it now.
        self.leader_contact = now
        self.election_deadline = now
        self.votes_granted: set[str] = set()

        self.progress: dict[str, Progress] = {}
        self.term_start_index = 0
        self.leader_since = now
        self.heartbeat_due = now
        self.heartbeat_round = 0
        self.round_start_times: dict[int, float] = {}
        self.quorum_contact: float | None = None
        self.acknowledged_round = 0
        self.transfer_target: str | None = None
        self.transfer_deadline = now
        # Read barriers: (ID, round that must be acknowledged, index that must be committed).
        self.pending_reads: list[tuple[int, int, int]] = []
        self.next_read_id = 1

        self.snapshot_buffer = bytearray()
        self.snapshot_buffer_key: tuple[str, int, int, int] | None = None

        self.outbox: list[tuple[str, messages.Message]] = []
        self.hard_state_changed = False
        self.first_unsynced_index: int | None = None
        self.install: effects.SnapshotInstall | None = None
        self.ready_reads: list[int] = []
        self.reset_election_deadline(now)

    @property
    def members(self) -> dict[str, schema.Member]:
        """Members of the newest membership entry, committed or not."""
        return self.configurations[-1][1]

    @property
    def committed_members(self) -> dict[str, schema.Member]:
        """Members of the newest committed membership entry."""
        return [members for index, members in self.configurations if index <= self.commit_index][-1]

    @property
    def voters(self) -> frozenset[str]:
        """IDs of the voters among `members`."""
        return membership.voters(self.members)

    @property
    def is_voter(self) -> bool:
        """Whether this replica is a voter."""
        member = self.members.get(self.identity.replica)
        return member is not None and member.voter

    def reset_election_deadline(self, now: float) -> None:
        """Restarts the election timeout with a new random length."""
        low = self.settings.election_timeout_min_seconds
        high = self.settings.election_timeout_max_seconds
        self.election_deadline = now + self.rng.uniform(low, high)

    def append(self, entries: tuple[schema.Entry, ...]) -> None:
        """Appends entries to the log and marks them to be synced."""
        first = entries[0].index
        self.log.append(entries)
        self.first_unsynced_index = min(first, self.first_unsynced_index or first)
        for entry in entries:
            if entry.kind == logview.MEMBERSHIP:
                self.configurations.append((entry.index, membership.decode(entry.data)))

    def truncate(self, first: int) -> None:
        """Removes the entries from `first` on, with their configurations."""
        self.log.truncate(first)
        self.configurations = [item for item in self.configurations if item[0] < first]


def send(state: State, peer: str, message: messages.Message) -> None:
    """Queues a message to a peer."""
    state.outbox.append((peer, message))


def become_follower(state: State, term: int, leader: str | None, now: float) -> None:
    """Becomes follower in `term`, which must not be lower than the current one."""
    if term > state.term:
        state.term, state.voted_for = term, ""
        state.hard_state_changed = True
    if state.role is not Role.FOLLOWER:
        state.reset_election_deadline(now)
    state.role = Role.FOLLOWER
    state.leader = leader
    state.progress = {}
    state.transfer_target = None
    state.pending_reads = []
