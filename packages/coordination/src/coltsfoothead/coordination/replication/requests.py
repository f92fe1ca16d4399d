"""Requests that wait for the log: commands, replica operations and read barriers."""

import asyncio
import collections
import dataclasses
from collections.abc import Callable

from coltsfoothead.coordination.replication import effects, errors, raft
from coltsfoothead.coordination.replication import state as state_module
from coltsfoothead.coordination.storage import schema

__all__ = ["PendingRequests", "ReplicaOperation", "Request"]

ReplicaOperation = Callable[[float], tuple[int, effects.Effects]]


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """Command, membership change or leadership transfer that was submitted to a `LogTask`.

    Attributes
    ----------
    operation : callable or None
        Called with the time (monotonic seconds) in place of a proposal of `command`; returns the
        index of the entry to wait for (0: none) and the effects.
    appended : bool
        Whether the request is in the log, so that its outcome is unknown until it is applied.
    term : int
        Term in which it was appended.
    """

    future: asyncio.Future
    command: bytes = b""
    operation: ReplicaOperation | None = None
    appended: bool = False
    term: int = 0


def _fail(future: asyncio.Future, error: Exception) -> None:
    if not future.done():
        future.set_exception(error)


def _proposal_lost_error() -> errors.ProposalLostError:
    return errors.ProposalLostError("leadership was lost before the command was known committed")


class PendingRequests:
    """Queue of requests of one `LogTask`, and those that wait to be applied."""

    def __init__(self) -> None:
        self._queue: collections.deque[Request] = collections.deque()
        self._pending: dict[int, Request] = {}
        self._queued_barriers: list[asyncio.Future] = []
        self._pending_barriers: dict[int, list[asyncio.Future]] = {}

    @property
    def has_queued(self) -> bool:
        """Whether commands or operations wait to be submitted to the replica."""
        return bool(self._queue)

    def add(self, request: Request) -> None:
        """Queues a command or operation."""
        self._queue.append(request)

    def add_barrier(self, future: asyncio.Future) -> None:
        """Queues a read barrier."""
        self._queued_barriers.append(future)

    def submit_queued(self, replica: raft.Replica, now: float, limit: int) -> effects.Effects:
        """Submits the queued requests to the replica, at most `limit` commands per call."""
        result = effects.Effects()
        commands: list[Request] = []
        while self._queue and len(commands) < limit:
            request = self._queue.popleft()
            if request.future.done():
                continue
            if request.operation is None:
                commands.append(request)
            else:
                result = effects.merge(result, self._submit_operation(replica, request, now))
        if commands:
            result = effects.merge(result, self._submit_commands(replica, commands, now))
        barriers = [future for future in self._queued_barriers if not future.done()]
        self._queued_barriers = []
        if barriers:
            result = effects.merge(result, self._submit_barriers(replica, barriers, now))
        return result

    def on_applied(self, entry: schema.Entry, result: bytes) -> None:
        """Completes the request that waits for an entry; fails it if the entry has another term."""
        request = self._pending.pop(entry.index, None)
        if request is None:
            return
        if request.term != entry.term:
            _fail(request.future, _proposal_lost_error())
        elif not request.future.done():
            request.future.set_result(result)

    def on_barrier_ready(self, read_id: int) -> None:
        """Completes the barriers that wait for `read_id`."""
        for future in self._pending_barriers.pop(read_id, ()):
            if not future.done():
                future.set_result(None)

    def fail_after_leadership_loss(self, state: state_module.State) -> None:
        """Fails the requests of terms in which this replica no longer leads."""
        leads = state.role is state_module.Role.LEADER
        for index, request in list(self._pending.items()):
            if not leads or request.term != state.term:
                del self._pending[index]
                _fail(request.future, _proposal_lost_error())
        if not leads:
            self._fail_barriers(errors.QuorumLostError("leadership was lost"))

    def fail_all(self) -> None:
        """Fails all requests because the replica stops."""
        for request in self._pending.values():
            _fail(request.future, _proposal_lost_error())
        stopped = errors.StoppedError("the replica has stopped")
        for future in [request.future for request in self._queue] + self._queued_barriers:
            _fail(future, stopped)
        self._fail_barriers(stopped)
        self._pending, self._queued_barriers = {}, []
        self._queue.clear()

    def _fail_barriers(self, error: Exception) -> None:
        for futures in self._pending_barriers.values():
            for future in futures:
                _fail(future, error)
        self._pending_barriers = {}

    def _submit_operation(
        self, replica: raft.Replica, request: Request, now: float
    ) -> effects.Effects:
        try:
            index, result = request.operation(now)
        except errors.ReplicationError as error:
            _fail(request.future, error)
            return effects.Effects()
        if index:
            self._await_index(replica, index, request)
        else:
            request.future.set_result(b"")
        return result

    def _submit_commands(
        self, replica: raft.Replica, requests: list[Request], now: float
    ) -> effects.Effects:
        try:
            indexes, result = replica.propose([request.command for request in requests], now)
        except errors.NotLeaderError as error:
            for request in requests:
                _fail(request.future, errors.NotLeaderError(error.leader))
            return effects.Effects()
        for index, request in zip(indexes, requests, strict=True):
            self._await_index(replica, index, request)
        return result

    def _submit_barriers(
        self, replica: raft.Replica, barriers: list[asyncio.Future], now: float
    ) -> effects.Effects:
        try:
            read_id, result = replica.barrier(now)
        except errors.NotLeaderError as error:
            for future in barriers:
                _fail(future, errors.NotLeaderError(error.leader))
            return effects.Effects()
        self._pending_barriers[read_id] = barriers
        return result

    def _await_index(self, replica: raft.Replica, index: int, request: Request) -> None:
        request.appended = True
        request.term = replica.state.term
        self._pending[index] = request
