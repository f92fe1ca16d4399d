"""Leader: replication, commit, heartbeat rounds, read barriers and leadership transfer."""

import zlib
from collections.abc import Iterable

from coltsfoothead.coordination.replication import errors, logview, messages
from coltsfoothead.coordination.replication import state as state_module
from coltsfoothead.coordination.replication.state import Progress, Role, State
from coltsfoothead.coordination.storage import schema

__all__ = [
    "become_leader",
    "broadcast",
    "on_append_response",
    "on_snapshot_response",
    "propose",
    "start_barrier",
    "start_round",
    "start_transfer",
    "tick",
    "update_replication_targets",
]


def become_leader(state: State, now: float) -> None:
    """Becomes leader of the current term and appends a no-op entry to commit earlier entries."""
    state.role = Role.LEADER
    state.leader = state.identity.replica
    state.leader_since = now
    state.quorum_contact = None
    state.round_start_times = {}
    state.acknowledged_round = state.heartbeat_round
    state.transfer_target = None
    state.progress = {}
    update_replication_targets(state)
    state.term_start_index = state.log.last_index + 1
    state.append((schema.Entry(state.term_start_index, state.term, logview.NOOP, b""),))
    start_round(state, now)
    advance_commit(state)


def update_replication_targets(state: State) -> None:
    """Starts replication to added members and stops it to removed ones."""
    for peer in state.members.keys() - state.progress.keys() - {state.identity.replica}:
        state.progress[peer] = Progress(state.log.last_index + 1)
    for peer in state.progress.keys() - state.members.keys():
        del state.progress[peer]


def propose(state: State, items: Iterable[tuple[int, bytes]]) -> range:
    """Appends entries, given as pairs of kind and data, in the current term.

    Returns
    -------
    range
        Indexes of the entries.
    """
    first = state.log.last_index + 1
    entries = tuple(
        schema.Entry(first + i, state.term, kind, data) for i, (kind, data) in enumerate(items)
    )
    state.append(entries)
    if any(entry.kind == logview.MEMBERSHIP for entry in entries):
        update_replication_targets(state)
    broadcast(state)
    advance_commit(state)
    return range(first, first + len(entries))


def broadcast(state: State, heartbeat: bool = False) -> None:
    """Sends each peer its missing entries; with `heartbeat`, an empty message if there are none."""
    for peer in sorted(state.progress):
        _replicate(state, peer, heartbeat)


def start_round(state: State, now: float) -> None:
    """Starts a heartbeat round."""
    state.heartbeat_round += 1
    state.round_start_times[state.heartbeat_round] = now
    state.heartbeat_due = now + state.settings.heartbeat_seconds
    broadcast(state, heartbeat=True)
    _update_quorum_contact(state)


def start_barrier(state: State, now: float) -> int:
    """Starts a barrier for a linearizable read; returns its ID."""
    read_id = state.next_read_id
    state.next_read_id += 1
    # Until it commits an entry of its own term, a leader may not know the latest commit index.
    index = max(state.commit_index, state.term_start_index)
    state.pending_reads.append((read_id, state.heartbeat_round + 1, index))
    start_round(state, now)
    return read_id


def start_transfer(state: State, target: str | None, now: float) -> str:
    """Starts a leadership transfer; returns the ID of the target.

    The default target is the voter with the highest match index.
    """
    other_voters = sorted(state.voters - {state.identity.replica})
    if target is None and other_voters:
        target = max(other_voters, key=lambda peer: state.progress[peer].match_index)
    if target not in other_voters:
        raise errors.MembershipChangeError(f"{target!r} is not another voter")
    state.transfer_target = target
    state.transfer_deadline = now + state.settings.election_timeout_max_seconds
    _continue_transfer(state, target)
    return target


def tick(state: State, now: float) -> None:
    """Sends heartbeats; steps down after the maximum election timeout without a majority."""
    settings = state.settings
    if now >= state.heartbeat_due:
        start_round(state, now)
    if state.transfer_target and now >= state.transfer_deadline:
        state.transfer_target = None
    contact = max(state.leader_since, state.quorum_contact or state.leader_since)
    if now - contact > settings.election_timeout_max_seconds:
        state_module.become_follower(state, state.term, None, now)


def on_append_response(
    state: State, sender: str, message: messages.AppendResponse, now: float
) -> None:
    """Advances the replication to a peer, or backtracks after a conflict."""
    progress = state.progress.get(sender)
    if state.role is not Role.LEADER or progress is None or message.term != state.term:
        return
    _record_response(state, progress, message.round, now)
    progress.probe_sent = False
    if not message.success:
        _backtrack(state, progress, message)
    else:
        _advance(state, sender, progress, message.match)
    if state.role is Role.LEADER and sender in state.progress:
        _replicate(state, sender, heartbeat=False)
        _continue_transfer(state, sender)


def on_snapshot_response(
    state: State, sender: str, message: messages.SnapshotResponse, now: float
) -> None:
    """Sends the next chunk of a snapshot."""
    progress = state.progress.get(sender)
    if state.role is not Role.LEADER or progress is None or message.term != state.term:
        return
    _record_response(state, progress, message.round, now)
    if progress.snapshot is None or progress.snapshot.index != message.index:
        return
    if message.received != progress.snapshot_offset:
        progress.snapshot_offset = message.received
        _send_chunk(state, sender, progress)


def _backtrack(state: State, progress: Progress, message: messages.AppendResponse) -> None:
    term_end = state.log.last_of_term(message.hint_term) if message.hint_term else None
    estimate = message.hint_index if term_end is None else term_end + 1
    progress.next_index = max(progress.match_index + 1, min(estimate, state.log.last_index + 1))
    progress.probing = True


def _advance(state: State, sender: str, progress: Progress, match_index: int) -> None:
    progress.probing = False
    if progress.snapshot is not None and match_index >= progress.snapshot.index:
        progress.snapshot = None
    if match_index > progress.match_index:
        progress.match_index = match_index
        advance_commit(state)
    progress.next_index = max(progress.next_index, progress.match_index + 1)
    state.peers.acknowledge(sender, min(progress.match_index, state.commit_index))


def _record_response(state: State, progress: Progress, round_number: int, now: float) -> None:
    progress.responded_at = now
    if round_number > progress.round:
        progress.round = round_number
        _update_quorum_contact(state)


def _majority_value(state: State, own: int, values: dict[str, int]) -> int:
    """Returns the highest value that a majority of the voters has reached."""
    own_id = state.identity.replica
    ranked = sorted(
        (own if peer == own_id else values[peer] for peer in state.voters), reverse=True
    )
    return ranked[len(ranked) // 2]


def _update_quorum_contact(state: State) -> None:
    rounds = {peer: progress.round for peer, progress in state.progress.items()}
    reached = _majority_value(state, state.heartbeat_round, rounds)
    if reached <= state.acknowledged_round:
        return
    state.acknowledged_round = reached
    state.quorum_contact = state.round_start_times[reached]
    for number in [number for number in state.round_start_times if number <= reached]:
        del state.round_start_times[number]
    _release_reads(state)


def _release_reads(state: State) -> None:
    waiting = []
    for read in state.pending_reads:
        read_id, round_number, index = read
        if round_number <= state.acknowledged_round and index <= state.commit_index:
            state.ready_reads.append(read_id)
        else:
            waiting.append(read)
    state.pending_reads = waiting


def advance_commit(state: State) -> None:
    """Commits up to the index that a majority has synced, if its entry is of the current term."""
    matches = {peer: progress.match_index for peer, progress in state.progress.items()}
    reached = _majority_value(state, state.log.last_index, matches)
    if reached <= state.commit_index or state.log.term_at(reached) != state.term:
        return
    state.commit_index = reached
    for peer, progress in state.progress.items():
        state.peers.acknowledge(peer, min(progress.match_index, reached))
    _release_reads(state)
    if not state.is_voter and state.configurations[-1][0] <= state.commit_index:
        # The leader was removed; a final heartbeat tells the others that the removal is committed.
        broadcast(state, heartbeat=True)
        state.role = Role.FOLLOWER
        state.leader = None
        state.progress = {}
        state.pending_reads = []


def _continue_transfer(state: State, peer: str) -> None:
    if peer != state.transfer_target:
        return
    if state.progress[peer].match_index == state.log.last_index:
        state_module.send(state, peer, messages.TimeoutNow(state.term))


def _replicate(state: State, peer: str, heartbeat: bool) -> None:
    progress = state.progress[peer]
    if progress.snapshot is not None:
        if heartbeat:
            _send_chunk(state, peer, progress)
        return
    previous_term = state.log.term_at(progress.next_index - 1)
    if previous_term is None:
        progress.snapshot, progress.snapshot_offset = state.snapshot, 0
        _send_chunk(state, peer, progress)
        return
    entries = _next_entries(state, progress, heartbeat)
    if not entries and not heartbeat:
        return
    request = messages.AppendRequest(
        term=state.term,
        previous_index=progress.next_index - 1,
        previous_term=previous_term,
        entries=entries,
        commit=state.commit_index,
        round=state.heartbeat_round,
    )
    state_module.send(state, peer, request)
    if progress.probing:
        progress.probe_sent = True
    else:
        progress.next_index += len(entries)


def _next_entries(state: State, progress: Progress, heartbeat: bool) -> tuple[schema.Entry, ...]:
    settings = state.settings
    if progress.probing and progress.probe_sent and not heartbeat:
        return ()
    if (
        progress.next_index - progress.match_index > settings.max_inflight_entries
        and not progress.probing
    ):
        return ()
    return state.log.batch(
        progress.next_index, settings.max_batch_entries, settings.max_batch_bytes
    )


def _send_chunk(state: State, peer: str, progress: Progress) -> None:
    snapshot = progress.snapshot
    end = progress.snapshot_offset + state.settings.snapshot_chunk_bytes
    request = messages.SnapshotRequest(
        term=state.term,
        index=snapshot.index,
        index_term=snapshot.term,
        members=snapshot.members,
        offset=progress.snapshot_offset,
        total=len(snapshot.data),
        checksum=zlib.crc32(snapshot.data),
        data=snapshot.data[progress.snapshot_offset : end],
        round=state.heartbeat_round,
    )
    state_module.send(state, peer, request)
