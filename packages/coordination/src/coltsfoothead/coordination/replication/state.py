"""State shared by the parts of the Raft state machine."""

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
    """What the leader knows of one peer.

    Attributes
    ----------
    match : int
        Highest index known to be synced by the peer.
    next : int
        First index to send next.
    probing : bool
        Whether `next` is a guess, so that one batch at a time is sent.
    probe_sent : bool
        Whether a probe is outstanding; a heartbeat sends another.
    snapshot : Snapshot or None
        Snapshot being sent, and `offset`, the bytes that the peer holds of it.
    round : int
        Highest heartbeat round that the peer acknowledged.
    """

    __slots__ = (
        "match_index",
        "next_index",
        "probing",
        "probe_sent",
        "snapshot",
        "snapshot_offset",
        "round",
    )

    def __init__(self, next_index: int):
        self.match_index = 0
        self.next_index = next_index
        self.probing = True
        self.probe_sent = False
        self.snapshot: schema.Snapshot | None = None
        self.snapshot_offset = 0
        self.round = 0


class State:
    """Variables of one replica; the functions that change them are in the sibling modules."""

    def __init__(
        self,
        replica_folder: folder.ReplicaFolder,
        members: membership.Members,
        settings: settings_module.Settings,
        randomness: random.Random,
        now: float,
    ):
        self.identity = replica_folder.identity
        self.settings = settings
        self.randomness = randomness
        entries = replica_folder.take_entries()
        self.log = logview.LogView(replica_folder.base, entries)
        self.term = replica_folder.hard_state.term
        self.voted_for = replica_folder.hard_state.vote
        self.peers = peers.PeerTable(replica_folder.peers)
        self.snapshot = replica_folder.snapshot
        self.commit_index = replica_folder.snapshot.index if replica_folder.snapshot else 0
        self.emitted_index = self.commit_index
        # Membership entries of the log, oldest first; the first one is at or before `commit_index`.
        self.configurations = [(self.commit_index, dict(members))]
        for entry in entries:
            if entry.kind == logview.MEMBERSHIP and entry.index > self.commit_index:
                self.configurations.append((entry.index, membership.decode(entry.data)))

        self.role = Role.FOLLOWER
        self.leader: str | None = None
        # A restarted voter may have confirmed a leader just before; it keeps away from elections
        # as if it had heard from one now.
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
        # Barriers: (ID, round that must be acknowledged, index that must be committed).
        self.pending_reads: list[tuple[int, int, int]] = []
        self.next_read_id = 1

        self.snapshot_buffer = bytearray()
        self.snapshot_buffer_key: tuple[str, int, int, int] | None = None

        self.outbox: list[tuple[str, messages.Message]] = []
        self.hard_state_changed = False
        self.first_unsynced_index: int | None = None
        self.install: effects.Install | None = None
        self.ready_reads: list[int] = []
        self.reset_election_deadline(now)

    @property
    def members(self) -> dict[str, schema.Member]:
        """Members in force: those of the newest membership entry, committed or not."""
        return self.configurations[-1][1]

    @property
    def committed_members(self) -> dict[str, schema.Member]:
        """Members of the newest committed membership entry."""
        return [members for index, members in self.configurations if index <= self.commit_index][-1]

    @property
    def voters(self) -> frozenset[str]:
        """Voters in force."""
        return membership.voters(self.members)

    @property
    def is_voter(self) -> bool:
        """Whether this replica is a voter."""
        member = self.members.get(self.identity.replica)
        return member is not None and member.voter

    def reset_election_deadline(self, now: float) -> None:
        """Draws a new election timeout."""
        low = self.settings.election_timeout_min_seconds
        high = self.settings.election_timeout_max_seconds
        self.election_deadline = now + self.randomness.uniform(low, high)

    def append(self, entries: tuple[schema.Entry, ...]) -> None:
        """Appends entries to the log and marks them to be synced."""
        first = entries[0].index
        self.log.append(entries)
        self.first_unsynced_index = min(first, self.first_unsynced_index or first)
        for entry in entries:
            if entry.kind == logview.MEMBERSHIP:
                self.configurations.append((entry.index, membership.decode(entry.data)))

    def truncate(self, first: int) -> None:
        """Removes the entries from `first` on, with the configurations that they brought."""
        self.log.truncate(first)
        self.configurations = [item for item in self.configurations if item[0] < first]


def send(state: State, peer: str, message: messages.Message) -> None:
    """Queues a message."""
    state.outbox.append((peer, message))


def become_follower(state: State, term: int, leader: str | None, now: float) -> None:
    """Enters `term` (at least the current one) as follower."""
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
