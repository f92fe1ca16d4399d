"""Asyncio task that owns one replica, its data folder and its state machine."""

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

__all__ = ["LogTask", "Machine"]

# The event loop gets a turn after this many applied entries.
_APPLY_SLICE_ENTRIES = 256
_DEFAULT_TIMEOUT_SECONDS = 5.0


class Machine(Protocol):
    """Deterministic state machine."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Applies a committed command and returns its result."""

    def snapshot(self) -> bytes:
        """Returns the whole state."""

    def restore(self, data: bytes) -> None:
        """Replaces the whole state by that of a snapshot."""


class LogTask:
    """Runs one replica.

    Parameters
    ----------
    folder : ReplicaFolder
        Opened data folder; it carries the identity of the replica.
    machine : Machine
        State machine; must be empty.
    send : callable
        Sends a payload to a peer without waiting; payloads may be lost.
    clock : callable
        Returns monotonic seconds.
    randomness : random.Random
        Source of election timeouts.
    settings : Settings
        Timings and limits.
    bootstrap : mapping of str to tuple of str, optional
        Address and zone of each first voter of a new cluster. Used only if the folder is fresh
        and this replica is one of them; otherwise the replica waits to be added as learner.

    Notes
    -----
    Writes run in a thread, one at a time; what arrives meanwhile is handled as one batch with one
    write. After a failed write, or a sign that the folder was rolled back, the task stops for
    good; `failure` holds the reason.
    """

    def __init__(
        self,
        folder: folder_module.ReplicaFolder,
        machine: Machine,
        send: Callable[[str, bytes], None],
        clock: Callable[[], float],
        randomness: random.Random,
        settings: settings_module.Settings,
        bootstrap: Mapping[str, tuple[str, str]] | None = None,
    ):
        self._folder = folder
        self._machine = machine
        self._send = send
        self._clock = clock
        self._randomness = randomness
        self._settings = settings
        self._bootstrap = bootstrap or {}
        self._replica: raft.Replica | None = None
        self._applied = 0
        self._inbox: collections.deque[bytes] = collections.deque()
        self._requests = requests.Requests()
        self._wake = asyncio.Event()
        self._stopping = False
        self._task: asyncio.Task | None = None
        self._failure: Exception | None = None
        self._dropped = 0

    @property
    def failure(self) -> Exception | None:
        """Reason for which the task stopped by itself."""
        return self._failure

    @property
    def dropped_messages(self) -> int:
        """Number of received payloads that were invalid, too many or from another cluster."""
        return self._dropped

    @property
    def members(self) -> dict[str, tuple[str, str]]:
        """Address and zone of every member in force, by ID."""
        members = self._running().state.members
        return {name: (member.address, member.zone) for name, member in members.items()}

    async def start(self) -> None:
        """Restores the machine and starts the replica.

        Raises
        ------
        ZoneSpreadError
            If the bootstrap voters would give one of several zones a majority.
        """
        if self._folder.fresh and self._folder.identity.replica in self._bootstrap:
            state = raft.bootstrap_entries(self._bootstrap, self._settings.require_zone_spread)
            await asyncio.to_thread(self._folder.bootstrap, *state)
        if self._folder.snapshot is not None:
            self._machine.restore(self._folder.snapshot.data)
            self._applied = self._folder.snapshot.index
        now = self._clock()
        self._replica = raft.Replica(self._folder, self._settings, self._randomness, now)
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Finishes the write in progress, fails what waits and releases the folder."""
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
        """Takes a payload from the transport; the sender is read from the payload itself."""
        if len(self._inbox) >= self._settings.max_inbox_messages:
            self._dropped += 1
        elif not self._stopping:
            self._inbox.append(payload)
            self._wake.set()

    def status(self) -> status_module.Status:
        """Returns the state of the replica."""
        replica = self._running()
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
        """Replicates and applies a command; returns the machine's result.

        Raises
        ------
        NotLeaderError
            If this replica does not lead; the command had no effect.
        QuorumLostError
            If the command could not even be queued in the log in time; it had no effect.
        ProposalLostError
            If the outcome is unknown.
        StoppedError
            If the task had stopped already; the command had no effect.
        """
        return await self._submit(requests.Request(self._future(), command=command), timeout)

    async def barrier(self, timeout: float = _DEFAULT_TIMEOUT_SECONDS) -> None:
        """Waits until the machine reflects every command that was acknowledged before the call.

        Raises
        ------
        NotLeaderError
            If this replica does not lead.
        QuorumLostError
            If leadership could not be confirmed in time.
        """
        future = self._future()
        self._requests.add_reader(future)
        self._wake.set()
        try:
            await asyncio.wait_for(future, timeout)
        except TimeoutError:
            raise errors.QuorumLostError(f"no majority confirmed within {timeout} s") from None

    async def add_learner(
        self, member: str, address: str, zone: str, timeout: float = _DEFAULT_TIMEOUT_SECONDS
    ) -> None:
        """Adds a learner; returns once the change is committed."""
        await self._change(
            timeout, lambda now: self._replica.add_learner(member, address, zone, now)
        )

    async def promote(self, member: str, timeout: float = _DEFAULT_TIMEOUT_SECONDS) -> None:
        """Makes a learner a voter as soon as it has caught up; returns once committed.

        Raises
        ------
        NotCaughtUpError
            If it has not caught up in time.
        ZoneSpreadError
            If one zone would get a majority of the voters.
        """
        deadline = self._clock() + timeout
        while True:
            left = deadline - self._clock()
            try:
                await self._change(left, lambda now: self._replica.promote(member, now))
                return
            except errors.NotCaughtUpError:
                if left <= 0:
                    raise
            await asyncio.sleep(self._settings.tick_seconds)

    async def remove(self, member: str, timeout: float = _DEFAULT_TIMEOUT_SECONDS) -> None:
        """Removes a voter or learner; returns once the change is committed."""
        await self._change(timeout, lambda now: self._replica.remove(member, now))

    async def transfer_leadership(self, target: str | None = None) -> str:
        """Hands leadership to `target` or the most advanced voter; returns its ID.

        Raises
        ------
        NotLeaderError
            If this replica does not lead.
        QuorumLostError
            If the target did not take over within the election timeout.
        """
        chosen: list[str] = []

        def change(now: float) -> tuple[int, effects.Effects]:
            name, result = self._replica.transfer(target, now)
            chosen.append(name)
            return 0, result

        await self._change(_DEFAULT_TIMEOUT_SECONDS, change)
        state = self._running().state
        while state.role is state_module.Role.LEADER:
            if state.transfer_target is None:
                raise errors.QuorumLostError(f"voter {chosen[0]!r} did not take over")
            await asyncio.sleep(self._settings.tick_seconds)
            self._running()
        return chosen[0]

    def _running(self) -> raft.Replica:
        if self._replica is None:
            raise errors.StoppedError("the replica was not started")
        return self._replica

    def _future(self) -> asyncio.Future:
        self._running()
        if self._stopping or self._failure is not None:
            raise errors.StoppedError("the replica has stopped") from self._failure
        return asyncio.get_running_loop().create_future()

    async def _change(self, timeout: float, change: requests.Change) -> None:
        await self._submit(requests.Request(self._future(), change=change), timeout)

    async def _submit(self, request: requests.Request, timeout: float) -> bytes:
        self._requests.add(request)
        self._wake.set()
        try:
            return await asyncio.wait_for(request.future, timeout)
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
        except Exception as error:  # Also a failed write or an error of the machine.
            self._failure = error
        finally:
            self._stopping = True
            self._requests.fail_all()

    async def _cycle(self) -> None:
        result = self._handle_inbox()
        if result.install is None:
            result = effects.merge(result, self._replica.tick(self._clock()))
            limit = self._settings.max_batch_entries
            handed = self._requests.hand_over(self._replica, self._clock(), limit)
            result = effects.merge(result, handed)
        else:
            self._wake.set()
        await self._carry_out(result)
        self._requests.fail_without_leadership(self._replica.state)
        if self._inbox or self._requests.queued:
            self._wake.set()

    def _handle_inbox(self) -> effects.Effects:
        result = effects.Effects()
        now = self._clock()
        for _ in range(len(self._inbox)):
            try:
                envelope = messages.decode(self._inbox.popleft())
                step = self._replica.step(envelope, now)
            except errors.MessageError:
                self._dropped += 1
                continue
            if step.install is not None:
                # `merge` cannot express entries before an install; what came before has no
                # entries above the installed index that matter, as the install carries the log.
                return dataclasses.replace(
                    step,
                    hard_state=step.hard_state or result.hard_state,
                    peers={**result.peers, **step.peers},
                    messages=result.messages + step.messages,
                    committed=(),
                )
            result = effects.merge(result, step)
        return result

    async def _carry_out(self, work: effects.Effects) -> None:
        hard_state = work.hard_state or self._folder.hard_state
        if work.install is not None:
            await self._store(work.install, hard_state, work.peers)
            self._machine.restore(work.install.snapshot.data)
            self._applied = work.install.snapshot.index
        elif work.sync:
            await asyncio.to_thread(self._folder.append, hard_state, work.entries, work.peers)
        for peer, envelope in work.messages:
            self._send(peer, messages.encode(envelope))
        await self._apply(work.committed)
        for read in work.reads:
            self._requests.on_read(read)
        if self._applied - self._snapshot_index() >= self._settings.snapshot_entries:
            await self._take_snapshot()

    async def _apply(self, entries: tuple[schema.Entry, ...]) -> None:
        for position, entry in enumerate(entries, 1):
            result = b""
            if entry.kind == logview.COMMAND:
                result = self._machine.apply(entry.index, entry.data)
            self._applied = entry.index
            self._requests.on_applied(entry, result)
            if position % _APPLY_SLICE_ENTRIES == 0:
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
        await self._store(self._replica.compact(snapshot), self._folder.hard_state, {})

    async def _store(
        self,
        install: effects.Install,
        hard_state: schema.HardState,
        peers: dict[str, schema.PeerRecord],
    ) -> None:
        store = functools.partial(
            self._folder.save_snapshot,
            install.snapshot,
            install.base,
            install.entries,
            hard_state,
            peers,
        )
        await asyncio.to_thread(store)
