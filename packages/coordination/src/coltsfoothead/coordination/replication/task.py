"""Asyncio task that runs one replica with its data folder and its state machine."""

import asyncio
import collections
import dataclasses
import functools
import random
from collections.abc import Callable, Mapping
from typing import Protocol

from coltsfoothead.coordination.replication import (
    effects,
    errors,
    logview,
    membership,
    messages,
    raft,
    requests,
)
from coltsfoothead.coordination.replication import settings as settings_module
from coltsfoothead.coordination.replication import state as state_module
from coltsfoothead.coordination.replication import status as status_module
from coltsfoothead.coordination.storage import folder as folder_module
from coltsfoothead.coordination.storage import schema

__all__ = ["LogTask", "StateMachine"]

# Entries applied before control returns to the event loop.
_APPLY_ENTRIES_PER_TURN = 256
_DEFAULT_TIMEOUT_SECONDS = 5.0


class StateMachine(Protocol):
    """Deterministic state machine to which committed commands are applied."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Applies a committed command and returns its result."""

    def snapshot(self) -> bytes:
        """Returns the complete state in encoded form."""

    def restore(self, data: bytes) -> None:
        """Replaces the complete state by that of a snapshot."""


class LogTask:
    """Runs one replica.

    Parameters
    ----------
    folder : ReplicaFolder
        Opened data folder, with the identity of the replica.
    machine : StateMachine
        State machine; must be empty.
    send : callable
        Sends a payload to a peer without blocking; payloads may be lost.
    clock : callable
        Returns monotonic seconds.
    rng : random.Random
        Random source of the election timeouts.
    settings : Settings
        Timings and limits.
    bootstrap : mapping of str to tuple of str, optional
        Address and zone of each initial voter of a new cluster. Used only if the folder is fresh
        and this replica is an initial voter; otherwise the replica waits to be added as learner.

    Notes
    -----
    Writes run in a thread, one at a time; messages and requests that arrive during a write are
    handled as one batch with one write. The task stops for good after a failed write or once a
    peer reports that the folder was rolled back; `failure` holds the error.
    """

    def __init__(
        self,
        folder: folder_module.ReplicaFolder,
        machine: StateMachine,
        send: Callable[[str, bytes], None],
        clock: Callable[[], float],
        rng: random.Random,
        settings: settings_module.Settings,
        bootstrap: Mapping[str, tuple[str, str]] | None = None,
    ):
        self._folder = folder
        self._machine = machine
        self._send = send
        self._clock = clock
        self._rng = rng
        self._settings = settings
        self._bootstrap = bootstrap or {}
        self._replica: raft.Replica | None = None
        self._applied = 0
        self._inbox: collections.deque[bytes] = collections.deque()
        self._requests = requests.PendingRequests()
        self._wake = asyncio.Event()
        self._stopping = False
        self._task: asyncio.Task | None = None
        self._failure: Exception | None = None
        self._dropped_messages = 0

    @property
    def failure(self) -> Exception | None:
        """Error that stopped the task, if any."""
        return self._failure

    @property
    def dropped_messages(self) -> int:
        """Number of payloads dropped as invalid, from another cluster or beyond the inbox limit."""
        return self._dropped_messages

    @property
    def members(self) -> dict[str, tuple[str, str]]:
        """Address and zone of each member of the newest membership entry, by ID."""
        members = self._require_started().state.members
        return {name: (member.address, member.zone) for name, member in members.items()}

    @property
    def accepts_member_changes(self) -> bool:
        """Whether this replica leads and no earlier change of its members is uncommitted."""
        replica = self._require_started()
        return replica.role is state_module.Role.LEADER and replica.members_settled

    def peer_response_times(self) -> dict[str, float]:
        """Returns when each peer last responded to this leader in its term, by peer ID."""
        return self._require_started().peer_response_times()

    async def start(self) -> None:
        """Restores the state machine and starts the replica.

        Raises
        ------
        ZoneSpreadError
            If the initial voters are in several zones of which one holds a majority.
        """
        if self._folder.fresh and self._folder.identity.replica in self._bootstrap:
            state = raft.bootstrap_entries(self._bootstrap, self._settings.require_zone_spread)
            await asyncio.to_thread(self._folder.bootstrap, *state)
        if self._folder.snapshot is not None:
            self._machine.restore(self._folder.snapshot.data)
            self._applied = self._folder.snapshot.index
        now = self._clock()
        self._replica = raft.Replica(self._folder, self._settings, self._rng, now)
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Finishes the write in progress, fails the pending requests and closes the folder."""
        self._stopping = True
        self._wake.set()
        if self._task is not None:
            await self._task
        await asyncio.to_thread(self._folder.close)

    async def wait_stopped(self) -> Exception | None:
        """Waits until the task has stopped; returns `failure`."""
        if self._task is not None:
            await asyncio.shield(self._task)
        return self._failure

    def receive(self, peer: str, payload: bytes) -> None:
        """Queues a payload from the transport; the sender is read from the payload itself."""
        if len(self._inbox) >= self._settings.max_inbox_messages:
            self._dropped_messages += 1
        elif not self._stopping:
            self._inbox.append(payload)
            self._wake.set()

    def status(self) -> status_module.Status:
        """Returns the state of the replica."""
        replica = self._require_started()
        state = replica.state
        members = state.committed_members
        voters = membership.voters(members)
        return status_module.Status(
            role=replica.role.value,
            term=state.term,
            leader=state.leader,
            commit_index=state.commit_index,
            applied_index=self._applied,
            last_index=state.log.last_index,
            snapshot_index=state.snapshot.index if state.snapshot else 0,
            voters=tuple(sorted(voters)),
            learners=tuple(sorted(members.keys() - voters)),
            quorum_contact=replica.quorum_contact(),
        )

    async def propose(self, command: bytes, timeout: float = _DEFAULT_TIMEOUT_SECONDS) -> bytes:
        """Replicates and applies a command; returns the result of the state machine.

        Raises
        ------
        NotLeaderError
            If this replica is not the leader; the command had no effect.
        QuorumLostError
            If the command was not appended to the log in time; it had no effect.
        ProposalLostError
            If the outcome is unknown: the command may be applied later or never.
        StoppedError
            If the task had stopped already; the command had no effect.
        """
        return await self._submit(requests.Request(self._new_future(), command=command), timeout)

    async def barrier(self, timeout: float = _DEFAULT_TIMEOUT_SECONDS) -> None:
        """Waits until the state machine reflects every command acknowledged before the call.

        Raises
        ------
        NotLeaderError
            If this replica is not the leader.
        QuorumLostError
            If leadership could not be confirmed in time.
        """
        future = self._new_future()
        self._requests.add_barrier(future)
        self._wake.set()
        try:
            async with asyncio.timeout(timeout):
                await future
        except TimeoutError:
            raise errors.QuorumLostError(f"no majority confirmed within {timeout} s") from None

    async def add_learner(
        self, member_id: str, address: str, zone: str, timeout: float = _DEFAULT_TIMEOUT_SECONDS
    ) -> None:
        """Adds a learner; returns once the change is committed."""
        await self._submit_operation(
            timeout, lambda now: self._replica.add_learner(member_id, address, zone, now)
        )

    async def promote(self, member_id: str, timeout: float = _DEFAULT_TIMEOUT_SECONDS) -> None:
        """Promotes a learner to voter once it has caught up; returns once the change is committed.

        Raises
        ------
        NotCaughtUpError
            If the learner has not caught up in time.
        ZoneSpreadError
            If one zone would gain a majority of the voters.
        """
        deadline = self._clock() + timeout
        while True:
            remaining = deadline - self._clock()
            try:
                await self._submit_operation(
                    remaining, lambda now: self._replica.promote(member_id, now)
                )
                return
            except errors.NotCaughtUpError:
                if remaining <= 0:
                    raise
            await asyncio.sleep(self._settings.tick_seconds)

    async def remove(self, member_id: str, timeout: float = _DEFAULT_TIMEOUT_SECONDS) -> None:
        """Removes a voter or learner; returns once the change is committed."""
        await self._submit_operation(timeout, lambda now: self._replica.remove(member_id, now))

    async def transfer_leadership(self, target: str | None = None) -> str:
        """Transfers leadership to `target`; returns the ID of the new leader.

        The default target is the voter with the highest match index.

        Raises
        ------
        NotLeaderError
            If this replica is not the leader.
        QuorumLostError
            If the target did not become leader within the maximum election timeout.
        """
        chosen: list[str] = []

        def start_transfer(now: float) -> tuple[int, effects.Effects]:
            name, result = self._replica.transfer(target, now)
            chosen.append(name)
            return 0, result

        await self._submit_operation(_DEFAULT_TIMEOUT_SECONDS, start_transfer)
        state = self._require_started().state
        while state.role is state_module.Role.LEADER:
            if state.transfer_target is None:
                raise errors.QuorumLostError(f"voter {chosen[0]!r} did not take over")
            await asyncio.sleep(self._settings.tick_seconds)
            self._require_started()
        return chosen[0]

    def _require_started(self) -> raft.Replica:
        if self._replica is None:
            raise errors.StoppedError("the replica was not started")
        return self._replica

    def _new_future(self) -> asyncio.Future:
        self._require_started()
        if self._stopping or self._failure is not None:
            raise errors.StoppedError("the replica has stopped") from self._failure
        return asyncio.get_running_loop().create_future()

    async def _submit_operation(self, timeout: float, operation: requests.ReplicaOperation) -> None:
        await self._submit(requests.Request(self._new_future(), operation=operation), timeout)

    async def _submit(self, request: requests.Request, timeout: float) -> bytes:
        self._requests.add(request)
        self._wake.set()
        try:
            # `asyncio.wait_for` drops a cancellation that arrives with the result, and the caller
            # would go on after it was stopped.
            async with asyncio.timeout(timeout):
                return await request.future
        except TimeoutError:
            if request.appended:
                raise errors.ProposalLostError(f"not committed within {timeout} s") from None
            raise errors.QuorumLostError(f"not appended within {timeout} s") from None

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            while not self._stopping:
                timer = loop.call_later(self._settings.tick_seconds, self._wake.set)
                await self._wake.wait()
                timer.cancel()
                self._wake.clear()
                await self._cycle()
        except Exception as error:  # Includes failed writes and errors of the state machine.
            self._failure = error
        finally:
            self._stopping = True
            self._requests.fail_all()

    async def _cycle(self) -> None:
        result = self._handle_inbox()
        if result.install is None:
            result = effects.merge(result, self._replica.tick(self._clock()))
            limit = self._settings.max_batch_entries
            submitted = self._requests.submit_queued(self._replica, self._clock(), limit)
            result = effects.merge(result, submitted)
        else:
            self._wake.set()
        await self._execute_effects(result)
        self._requests.fail_after_leadership_loss(self._replica.state)
        if self._inbox or self._requests.has_queued:
            self._wake.set()

    def _handle_inbox(self) -> effects.Effects:
        result = effects.Effects()
        now = self._clock()
        for _ in range(len(self._inbox)):
            try:
                envelope = messages.decode(self._inbox.popleft())
                step = self._replica.step(envelope, now)
            except errors.MessageError:
                self._dropped_messages += 1
                continue
            if step.install is not None:
                # `merge` does not support an install in the second effects. The entries and commits
                # of the earlier effects can be left out, as the install contains the complete log.
                return dataclasses.replace(
                    step,
                    hard_state=step.hard_state or result.hard_state,
                    peers={**result.peers, **step.peers},
                    messages=result.messages + step.messages,
                    committed=(),
                )
            result = effects.merge(result, step)
        return result

    async def _execute_effects(self, work: effects.Effects) -> None:
        hard_state = work.hard_state or self._folder.hard_state
        if work.install is not None:
            await self._store_snapshot(work.install, hard_state, work.peers)
            self._machine.restore(work.install.snapshot.data)
            self._applied = work.install.snapshot.index
        elif work.sync:
            await asyncio.to_thread(self._folder.append, hard_state, work.entries, work.peers)
        for peer, envelope in work.messages:
            self._send(peer, messages.encode(envelope))
        await self._apply(work.committed)
        for read_id in work.reads:
            self._requests.on_barrier_ready(read_id)
        if self._applied - self._snapshot_index() >= self._settings.snapshot_entries:
            await self._take_snapshot()

    async def _apply(self, entries: tuple[schema.Entry, ...]) -> None:
        for position, entry in enumerate(entries, 1):
            result = b""
            if entry.kind == logview.COMMAND:
                result = self._machine.apply(entry.index, entry.data)
            self._applied = entry.index
            self._requests.on_applied(entry, result)
            if position % _APPLY_ENTRIES_PER_TURN == 0:
                await asyncio.sleep(0)

    def _snapshot_index(self) -> int:
        snapshot = self._replica.state.snapshot
        return snapshot.index if snapshot else 0

    async def _take_snapshot(self) -> None:
        index = self._applied
        snapshot = schema.Snapshot(
            index=index,
            term=self._replica.state.log.term_at(index),
            members=self._replica.members_at(index),
            data=self._machine.snapshot(),
        )
        await self._store_snapshot(self._replica.compact(snapshot), self._folder.hard_state, {})

    async def _store_snapshot(
        self,
        install: effects.SnapshotInstall,
        hard_state: schema.HardState,
        peers: dict[str, schema.PeerRecord],
    ) -> None:
        save = functools.partial(
            self._folder.save_snapshot,
            install.snapshot,
            install.base,
            install.entries,
            hard_state,
            peers,
        )
        await asyncio.to_thread(save)
