"""Raft replica as a pure state machine."""

import random
from collections.abc import Mapping, Sequence

from coltsfoothead.coordination.replication import (
    effects,
    election,
    errors,
    following,
    leading,
    logview,
    membership,
    messages,
    peers,
)
from coltsfoothead.coordination.replication import settings as settings_module
from coltsfoothead.coordination.replication import state as state_module
from coltsfoothead.coordination.replication.state import Role
from coltsfoothead.coordination.storage import folder, schema

__all__ = ["Replica", "bootstrap_entries"]

_HANDLERS = {
    messages.PreVoteRequest: election.on_pre_vote_request,
    messages.PreVoteResponse: election.on_pre_vote_response,
    messages.VoteRequest: election.on_vote_request,
    messages.VoteResponse: election.on_vote_response,
    messages.TimeoutNow: election.on_timeout_now,
    messages.AppendRequest: following.on_append_request,
    messages.AppendResponse: leading.on_append_response,
    messages.SnapshotRequest: following.on_snapshot_request,
    messages.SnapshotResponse: leading.on_snapshot_response,
}


def bootstrap_entries(
    voters: Mapping[str, tuple[str, str]], require_zone_spread: bool
) -> tuple[schema.HardState, tuple[schema.Entry, ...]]:
    """Returns the hard state and the log with which the voters of a new cluster start.

    Parameters
    ----------
    voters : mapping of str to tuple of str
        Address and zone of each voter; all voters must be given the same mapping.
    require_zone_spread : bool
        Whether to reject voters in several zones of which one holds a majority.

    Raises
    ------
    ZoneSpreadError
        If one of several zones holds a majority.
    """
    members = {name: schema.Member(*location, voter=True) for name, location in voters.items()}
    if require_zone_spread:
        membership.check_zone_spread({}, members)
    entry = schema.Entry(1, 1, logview.MEMBERSHIP, membership.encode(members))
    return schema.HardState(1, ""), (entry,)


class Replica:
    """Raft state machine of one replica.

    Parameters
    ----------
    replica_folder : ReplicaFolder
        Opened data folder; the replica only reads it.
    settings : Settings
        Timings and limits.
    rng : random.Random
        Random source of the election timeouts.
    now : float
        Monotonic seconds.

    Notes
    -----
    The caller must execute the effects that a method returns, in the order that `Effects` states,
    before those of the next call.
    """

    def __init__(
        self,
        replica_folder: folder.ReplicaFolder,
        settings: settings_module.Settings,
        rng: random.Random,
        now: float,
    ):
        members = replica_folder.snapshot.members if replica_folder.snapshot else {}
        self._state = state_module.State(replica_folder, members, settings, rng, now)
        self._peers_synced_at = now

    @property
    def state(self) -> state_module.State:
        """State of the replica; read-only for callers."""
        return self._state

    @property
    def members_settled(self) -> bool:
        """Whether the newest membership, and an entry of the current term, are committed.

        Two uncommitted configurations, or one proposed before the leader has committed an entry of
        its term, could have majorities without a common voter.
        """
        state = self._state
        return (
            state.configurations[-1][0] <= state.commit_index
            and state.commit_index >= state.term_start_index
        )

    @property
    def role(self) -> Role:
        """Role; a follower that is not a voter is a learner."""
        state = self._state
        if state.role is Role.FOLLOWER and not state.is_voter:
            return Role.LEARNER
        return state.role

    def quorum_contact(self) -> float | None:
        """Returns when the last heartbeat round that a majority acknowledged was started.

        The time is in monotonic seconds. It is None if this replica is not the leader or no round
        of its term was acknowledged yet.
        """
        return self._state.quorum_contact if self._state.role is Role.LEADER else None

    def peer_response_times(self) -> dict[str, float]:
        """Returns when each peer last responded to this leader in its term.

        Peers that have not responded yet are left out. The result is empty if this replica is not
        the leader.
        """
        return {
            peer: progress.responded_at
            for peer, progress in self._state.progress.items()
            if progress.responded_at is not None
        }

    def step(self, envelope: messages.Envelope, now: float) -> effects.Effects:
        """Handles a message from a peer.

        Raises
        ------
        MessageError
            If the message is from another cluster; it has no effect.
        RolledBackError
            If a peer holds a record of a later state of this replica; the replica must stop.
        LogSafetyError
            If the message contradicts a committed entry; the replica must stop.
        """
        state = self._state
        if envelope.cluster != state.identity.cluster:
            raise errors.MessageError(f"message from cluster {envelope.cluster!r}")
        if envelope.sender == state.identity.replica:
            raise errors.MessageError("message from a replica with this one's ID")
        if isinstance(envelope.body, messages.Refused):
            peers.check_not_rolled_back(state.identity, state.log.last_index, envelope.body.seen)
            return self._collect_effects(now)
        newer_record = state.peers.check_sender(envelope)
        if newer_record is not None:
            state_module.send(state, envelope.sender, messages.Refused(newer_record))
        elif self._enter_term(envelope.body, now):
            _HANDLERS[type(envelope.body)](state, envelope.sender, envelope.body, now)
        return self._collect_effects(now)

    def tick(self, now: float) -> effects.Effects:
        """Handles timeouts and heartbeats; must be called every few tens of milliseconds."""
        if self._state.role is Role.LEADER:
            leading.tick(self._state, now)
        else:
            election.tick(self._state, now)
        return self._collect_effects(now)

    def propose(self, commands: Sequence[bytes], now: float) -> tuple[range, effects.Effects]:
        """Appends commands; returns their indexes.

        Raises
        ------
        NotLeaderError
            If this replica is not the leader or is transferring leadership.
        """
        self._require_leader()
        indexes = leading.propose(self._state, [(logview.COMMAND, command) for command in commands])
        return indexes, self._collect_effects(now)

    def barrier(self, now: float) -> tuple[int, effects.Effects]:
        """Starts a barrier for a linearizable read; returns its ID.

        A later `Effects.reads` contains the ID once the barrier is complete.

        Raises
        ------
        NotLeaderError
            If this replica is not the leader or is transferring leadership.
        """
        self._require_leader()
        read_id = leading.start_barrier(self._state, now)
        return read_id, self._collect_effects(now)

    def add_learner(
        self, member_id: str, address: str, zone: str, now: float
    ) -> tuple[int, effects.Effects]:
        """Adds a learner; returns the index of the membership entry."""
        self._require_stable_members()
        return self._propose_members(
            membership.with_learner(self._state.members, member_id, address, zone), now
        )

    def promote(self, member_id: str, now: float) -> tuple[int, effects.Effects]:
        """Promotes a learner to voter; returns the index of the membership entry.

        Raises
        ------
        NotCaughtUpError
            If the learner has not synced all committed entries.
        ZoneSpreadError
            If one zone would get a majority of the voters.
        """
        self._require_stable_members()
        state = self._state
        members = membership.with_promotion(state.members, member_id)
        if state.progress[member_id].match_index < state.commit_index:
            raise errors.NotCaughtUpError(
                f"learner {member_id!r} has {state.progress[member_id].match_index} of "
                f"{state.commit_index} entries"
            )
        return self._propose_members(members, now)

    def remove(self, member_id: str, now: float) -> tuple[int, effects.Effects]:
        """Removes a voter or learner; returns the index of the membership entry."""
        self._require_stable_members()
        return self._propose_members(membership.without_member(self._state.members, member_id), now)

    def transfer(self, target: str | None, now: float) -> tuple[str, effects.Effects]:
        """Starts a leadership transfer; returns the ID of the target.

        The default target is the voter with the highest match index.
        """
        self._require_leader()
        chosen = leading.start_transfer(self._state, target, now)
        return chosen, self._collect_effects(now)

    def compact(self, snapshot: schema.Snapshot) -> effects.SnapshotInstall:
        """Records a snapshot of the applied state and discards the log entries that it replaces.

        The last `Settings.retained_entries` entries before the snapshot stay in the log.

        Returns
        -------
        SnapshotInstall
            Snapshot and log to store before the next call.
        """
        state = self._state
        state.snapshot = snapshot
        state.log.compact(max(state.log.base[0], snapshot.index - state.settings.retained_entries))
        state.configurations = [
            (snapshot.index, dict(snapshot.members)),
            *(item for item in state.configurations if item[0] > snapshot.index),
        ]
        base = state.log.base
        return effects.SnapshotInstall(
            snapshot, base, state.log.between(base[0] + 1, state.log.last_index)
        )

    def members_at(self, index: int) -> dict[str, schema.Member]:
        """Returns the members as of a committed index."""
        earlier = [members for start, members in self._state.configurations if start <= index]
        return earlier[-1]

    def _require_leader(self) -> None:
        state = self._state
        if state.role is not Role.LEADER:
            raise errors.NotLeaderError(state.leader)
        if state.transfer_target is not None:
            raise errors.NotLeaderError(state.transfer_target)

    def _require_stable_members(self) -> None:
        self._require_leader()
        if not self.members_settled:
            raise errors.MembershipChangeError("an earlier change is not committed yet")

    def _propose_members(
        self, members: membership.Members, now: float
    ) -> tuple[int, effects.Effects]:
        state = self._state
        if state.settings.require_zone_spread:
            membership.check_zone_spread(state.members, members)
        indexes = leading.propose(state, [(logview.MEMBERSHIP, membership.encode(members))])
        return indexes[0], self._collect_effects(now)

    def _enter_term(self, message: messages.Message, now: float) -> bool:
        """Adopts the term of a message if it is higher; returns whether to handle the message."""
        state = self._state
        if message.term <= state.term or isinstance(message, messages.PreVoteRequest):
            return True
        # Leader stickiness: a candidate cannot raise the term of a live leader.
        candidate = isinstance(message, messages.VoteRequest) and not message.transfer
        if candidate and election.ignores_candidates(state, now):
            return False
        state_module.become_follower(state, message.term, None, now)
        return True

    def _collect_effects(self, now: float) -> effects.Effects:
        state = self._state
        entries = ()
        if state.first_unsynced_index is not None:
            entries = state.log.between(state.first_unsynced_index, state.log.last_index)
        first = state.emitted_index + 1
        committed = (
            state.log.between(first, state.commit_index) if state.commit_index >= first else ()
        )
        hard_state = None
        if state.hard_state_changed:
            hard_state = schema.HardState(state.term, state.voted_for)
        peer_flush_due = now - self._peers_synced_at >= state.settings.peer_flush_seconds
        sync = bool(
            hard_state
            or entries
            or state.install
            or state.peers.sync_required
            or (state.peers.has_changes and peer_flush_due)
        )
        peer_records = {}
        if sync and state.peers.has_changes:
            peer_records = state.peers.pop_changes()
            self._peers_synced_at = now
        result = effects.Effects(
            install=state.install,
            hard_state=hard_state,
            entries=entries,
            peers=peer_records,
            sync=sync,
            messages=tuple((peer, self._make_envelope(body)) for peer, body in state.outbox),
            committed=committed,
            reads=tuple(state.ready_reads),
        )
        state.outbox, state.ready_reads = [], []
        state.install = state.first_unsynced_index = None
        state.hard_state_changed = False
        state.emitted_index = state.commit_index
        return result

    def _make_envelope(self, body: messages.Message) -> messages.Envelope:
        identity = self._state.identity
        return messages.Envelope(
            cluster=identity.cluster,
            sender=identity.replica,
            incarnation=identity.incarnation,
            boot=identity.boot,
            last_index=self._state.log.last_index,
            body=body,
        )
