"""Requests that wait for the log: commands, membership changes and read barriers."""

import asyncio
import collections
import dataclasses
from collections.abc import Callable

from coltsfoothead.coordination.replication import effects, errors, raft
from coltsfoothead.coordination.replication import state as state_module
from coltsfoothead.coordination.storage import schema

__all__ = ["Change", "Request", "Requests"]

Change = Callable[[float], tuple[int, effects.Effects]]


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """Command, or change of members or leader, on its way through the log.

    Attributes
    ----------
    change : callable or None
        Calls the replica in place of a proposal; returns the index to wait for (0: none).
    appended : bool
        Whether the request is in the log, so that its outcome is no longer certain.
    """

    future: asyncio.Future
    command: bytes = b""
    change: Change | None = None
    appended: bool = False
    term: int = 0


def _fail(future: asyncio.Future, error: Exception) -> None:
    if not future.done():
        future.set_exception(error)


def _lost() -> errors.ProposalLostError:
    return errors.ProposalLostError("leadership was lost before the command was known committed")


class Requests:
    """Requests of one `LogTask`."""

    def __init__(self) -> None:
        self._queue: collections.deque[Request] = collections.deque()
        self._pending: dict[int, Request] = {}
        self._new_readers: list[asyncio.Future] = []
        self._readers: dict[int, list[asyncio.Future]] = {}

    @property
    def queued(self) -> bool:
        """Whether requests wait to be handed to the replica."""
        return bool(self._queue)

    def add(self, request: Request) -> None:
        """Queues a request."""
        self._queue.append(request)

    def add_reader(self, future: asyncio.Future) -> None:
        """Queues a read barrier."""
        self._new_readers.append(future)

    def hand_over(self, replica: raft.Replica, now: float, limit: int) -> effects.Effects:
        """Hands the queued requests to the replica, at most `limit` commands at once."""
        result = effects.Effects()
        commands: list[Request] = []
        while self._queue and len(commands) < limit:
            request = self._queue.popleft()
            if request.future.done():
                continue
            if request.change is None:
                commands.append(request)
            else:
                result = effects.merge(result, self._hand_over_change(replica, request, now))
        if commands:
            result = effects.merge(result, self._hand_over_commands(replica, commands, now))
        readers = [future for future in self._new_readers if not future.done()]
        self._new_readers = []
        if readers:
            result = effects.merge(result, self._hand_over_readers(replica, readers, now))
        return result

    def on_applied(self, entry: schema.Entry, result: bytes) -> None:
        """Answers the request that waits for an entry."""
        request = self._pending.pop(entry.index, None)
        if request is None:
            return
        if request.term != entry.term:
            _fail(request.future, _lost())
        elif not request.future.done():
            request.future.set_result(result)

    def on_read(self, read: int) -> None:
        """Answers the readers of a barrier."""
        for future in self._readers.pop(read, ()):
            if not future.done():
                future.set_result(None)

    def fail_without_leadership(self, state: state_module.State) -> None:
        """Fails what was handed over under a leadership that has ended."""
        leads = state.role is state_module.Role.LEADER
        for index, request in list(self._pending.items()):
            if not leads or request.term != state.term:
                del self._pending[index]
                _fail(request.future, _lost())
        if not leads:
            self._fail_readers(errors.QuorumLostError("leadership was lost"))

    def fail_all(self) -> None:
        """Fails everything because the replica stops."""
        for request in self._pending.values():
            _fail(request.future, _lost())
        stopped = errors.StoppedError("the replica has stopped")
        for future in [request.future for request in self._queue] + self._new_readers:
            _fail(future, stopped)
        self._fail_readers(stopped)
        self._pending, self._new_readers = {}, []
        self._queue.clear()

    def _fail_readers(self, error: Exception) -> None:
        for futures in self._readers.values():
            for future in futures:
                _fail(future, error)
        self._readers = {}

    def _hand_over_change(
        self, replica: raft.Replica, request: Request, now: float
    ) -> effects.Effects:
        try:
            index, result = request.change(now)
        except errors.ReplicationError as error:
            _fail(request.future, error)
            return effects.Effects()
        if index:
            self._await_index(replica, index, request)
        else:
            request.future.set_result(b"")
        return result

    def _hand_over_commands(
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

    def _hand_over_readers(
        self, replica: raft.Replica, readers: list[asyncio.Future], now: float
    ) -> effects.Effects:
        try:
            read, result = replica.barrier(now)
        except errors.NotLeaderError as error:
            for future in readers:
                _fail(future, errors.NotLeaderError(error.leader))
            return effects.Effects()
        self._readers[read] = readers
        return result

    def _await_index(self, replica: raft.Replica, index: int, request: Request) -> None:
        request.appended = True
        request.term = replica.state.term
        self._pending[index] = request
