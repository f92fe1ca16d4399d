"""Follower: handling of entries and snapshots from the leader."""

import zlib

from coltsfoothead.coordination.replication import effects, errors, messages
from coltsfoothead.coordination.replication import state as state_module
from coltsfoothead.coordination.replication.state import Role, State
from coltsfoothead.coordination.storage import schema

__all__ = ["on_append_request", "on_snapshot_request"]


def _accept_leader(state: State, sender: str, now: float) -> None:
    if state.role is Role.LEADER:
        raise errors.LogSafetyError(f"{sender!r} leads term {state.term} too")
    state_module.become_follower(state, state.term, sender, now)
    state.leader_contact = now
    state.reset_election_deadline(now)


def on_append_request(
    state: State, sender: str, message: messages.AppendRequest, now: float
) -> None:
    """Appends the leader's entries, or reports where the log conflicts with the leader's."""
    if message.term < state.term:
        # The higher term in the response makes a stale leader step down.
        state_module.send(state, sender, messages.AppendResponse(state.term, False, 0, 0))
        return
    _accept_leader(state, sender, now)
    previous_term = state.log.term_at(message.previous_index)
    below_base = message.previous_index < state.log.base[0]
    if not below_base and previous_term != message.previous_term:
        state_module.send(state, sender, _conflict_response(state, message, previous_term))
        return
    _append_missing(state, message.entries)
    match_index = message.previous_index + len(message.entries)
    state.commit_index = max(state.commit_index, min(message.commit, match_index))
    # A leader has synced every entry up to its commit index.
    state.peers.acknowledge(sender, message.commit)
    response = messages.AppendResponse(state.term, True, match_index, message.round)
    state_module.send(state, sender, response)


def _conflict_response(
    state: State, message: messages.AppendRequest, term: int | None
) -> messages.AppendResponse:
    if term is None:
        hint_index = state.log.last_index + 1
        return messages.AppendResponse(state.term, False, 0, message.round, hint_index, 0)
    conflict_start = state.log.first_of_term(message.previous_index)
    return messages.AppendResponse(state.term, False, 0, message.round, conflict_start, term)


def _append_missing(state: State, entries: tuple[schema.Entry, ...]) -> None:
    for position, entry in enumerate(entries):
        if entry.index <= state.log.base[0]:
            continue
        known_term = state.log.term_at(entry.index)
        if known_term == entry.term:
            continue
        if known_term is not None:
            if entry.index <= state.commit_index:
                raise errors.LogSafetyError(f"committed entry {entry.index} would be replaced")
            state.truncate(entry.index)
        state.append(entries[position:])
        return


def on_snapshot_request(
    state: State, sender: str, message: messages.SnapshotRequest, now: float
) -> None:
    """Collects the chunks of a snapshot and installs the snapshot once it is complete."""
    if message.term < state.term:
        state_module.send(state, sender, messages.AppendResponse(state.term, False, 0, 0))
        return
    _accept_leader(state, sender, now)
    if message.index > state.commit_index:
        if not _collect_chunk(state, sender, message):
            return
        _install_snapshot(state, message)
    # Committed entries are equal on all replicas, so the log matches up to `index`.
    response = messages.AppendResponse(state.term, True, message.index, message.round)
    state_module.send(state, sender, response)


def _collect_chunk(state: State, sender: str, message: messages.SnapshotRequest) -> bool:
    """Adds a chunk; returns whether the snapshot is complete.

    Otherwise the number of bytes received is sent to the leader; it is 0 after a wrong checksum.
    """
    key = (sender, message.index, message.total, message.checksum)
    if state.snapshot_buffer_key != key:
        state.snapshot_buffer_key = key
        state.snapshot_buffer = bytearray()
    if message.offset == len(state.snapshot_buffer):
        state.snapshot_buffer += message.data
    complete = len(state.snapshot_buffer) == message.total
    if complete and zlib.crc32(state.snapshot_buffer) == message.checksum:
        return True
    if complete:
        state.snapshot_buffer = bytearray()
    received = len(state.snapshot_buffer)
    response = messages.SnapshotResponse(state.term, message.index, received, message.round)
    state_module.send(state, sender, response)
    return False


def _install_snapshot(state: State, message: messages.SnapshotRequest) -> None:
    snapshot = schema.Snapshot(
        message.index, message.index_term, message.members, bytes(state.snapshot_buffer)
    )
    state.snapshot_buffer_key, state.snapshot_buffer = None, bytearray()
    if state.log.term_at(snapshot.index) == snapshot.term:
        state.log.compact(snapshot.index)
        later = [item for item in state.configurations if item[0] > snapshot.index]
    else:
        state.log.reset(snapshot.index, snapshot.term)
        later = []
    state.configurations = [(snapshot.index, dict(snapshot.members)), *later]
    state.snapshot = snapshot
    state.commit_index = state.emitted_index = snapshot.index
    entries = state.log.between(snapshot.index + 1, state.log.last_index)
    state.install = effects.SnapshotInstall(snapshot, state.log.base, entries)
    state.first_unsynced_index = None
