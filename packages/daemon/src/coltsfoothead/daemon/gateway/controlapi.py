"""HTTP API for upstreams and operators, which every control process serves."""

import time
import traceback

import msgspec

from coltsfoothead.coordination import configuration, writeonce
from coltsfoothead.coordination import errors as coordination_errors
from coltsfoothead.daemon import metrics as metrics_module
from coltsfoothead.daemon.control import loghost, proposer
from coltsfoothead.daemon.gateway import (
    documentcopy,
    eventlog,
    exchange,
    leaderlink,
    ports,
    termmanager,
)
from coltsfoothead.daemon.gateway.rollouts import calls, rolloutapi
from coltsfoothead.daemon.http import errors as http_errors
from coltsfoothead.daemon.http import message, server
from coltsfoothead.kernel.traffic import check, upstreams

__all__ = ["ControlApi", "READ"]

READ = "gateway.read"
# Upstreams and operators try another control process after one second without an answer.
FORWARD_TIMEOUT_SECONDS = 0.8


class ControlApi:
    """API of a control process for upstreams and operators.

    The leader handles announcements and document reads; other processes forward them to it.
    Documents are proposed to the replicated log from any process.

    Parameters
    ----------
    dialect : ControlDialect
    author : str
        ID of this process, stored with each document that it proposes.
    control_port : int
        Port on which all control processes serve this API.
    logs : LogHost
    log_proposer : Proposer
    link : LeaderLink
    terms : TermManager
    events : EventLog
    metrics : Metrics
    rollouts : RolloutApi, optional
        Executes operators' calls about rollouts; without it they are unknown.
    """

    def __init__(
        self,
        dialect: ports.ControlDialect,
        author: str,
        control_port: int,
        logs: loghost.LogHost,
        log_proposer: proposer.Proposer,
        link: leaderlink.LeaderLink,
        terms: termmanager.TermManager,
        events: eventlog.EventLog,
        metrics: metrics_module.Metrics,
        rollouts: rolloutapi.RolloutApi | None = None,
    ) -> None:
        self._rollouts = rollouts
        self._dialect = dialect
        self._author = author
        self._control_port = control_port
        self._logs = logs
        self._proposer = log_proposer
        self._link = link
        self._terms = terms
        self._events = events
        self._metrics = metrics
        self._stopping = False

    def stop(self) -> None:
        """Answers all further calls as unavailable, so that callers use another process."""
        self._stopping = True

    async def handle(self, caller: server.Exchange) -> None:
        """Handles one HTTP call."""
        try:
            outcome = await self._execute(caller.request)
        except (ports.MalformedMessageError, check.InvalidDocumentError) as error:
            self._events.write("call_invalid", path=caller.request.path, cause=str(error))
            outcome = ports.Invalid(str(error))
        except Exception as error:
            # The caller tries another process at once instead of waiting for its time-out.
            trace = traceback.format_exc(limit=-4)
            self._events.warn(
                "call_failed", path=caller.request.path, cause=repr(error), trace=trace
            )
            outcome = ports.Unavailable("unexpected error")
        self._metrics.count(f"control_{type(outcome).__name__.lower()}")
        await caller.respond(self._dialect.encode(outcome))

    def encode_error(self, status: int, error: http_errors.HttpError) -> message.Response:
        """Returns the response to a request that could not be read."""
        if status == 408:
            return self._dialect.encode(ports.Unavailable(str(error)))
        return self._dialect.encode(ports.Invalid(str(error)))

    async def read_as_leader(self) -> bytes:
        """Returns the newest committed document, compressed, if this process is the leader.

        Raises
        ------
        CoordinationError
            If a read barrier cannot confirm which document is the newest.
        """
        await self._logs.tasks[loghost.CONTROL].barrier(FORWARD_TIMEOUT_SECONDS)
        state = self._logs.machine(loghost.CONTROL).state(configuration.NAME)
        return state.current.content

    async def announce_as_leader(self, payload: bytes) -> bool:
        """Applies an encoded announcement, if this process is the leader.

        Returns
        -------
        bool
            Whether the announcement may be acknowledged: this process is the leader, and the log
            records the end that it tells, if any.
        """
        term = self._terms.current
        if term is None:
            return False
        record = exchange.decode_announcement(payload).record
        now = self._terms.now()
        match record:
            case upstreams.Upstream() if not self._terms.names_service(record.service):
                self._metrics.count("announcements_of_unknown_services")
                changed = term.directory.announce_unlisted(record, now)
                upstream_id, state = record.id, record.state
            case upstreams.Upstream():
                changed = term.directory.announce(record, now)
                upstream_id, state = record.id, record.state
            case exchange.WithdrawnUpstream(upstream_id=upstream_id):
                changed = term.directory.withdraw(upstream_id, record.born, now)
                state = upstreams.State.GONE
        if changed:
            self._events.write("announced", word=msgspec.to_builtins(record), state=state.value)
        known = term.directory.upstream(upstream_id)
        ends = state in termmanager.END_PREFIXES and known is not None and known.state is state
        if not ends or not known.born or record.born not in (0, known.born):
            return True
        return await self._record_end(known)

    async def _record_end(self, end: upstreams.Upstream) -> bool:
        """Records in the log that an upstream drains or is gone, unless the log has it already.

        The leader's directory is lost with its process.

        Returns
        -------
        bool
            Whether the log has it.
        """
        key = f"{termmanager.END_PREFIXES[end.state]}{end.id}/{end.born}"
        if self._logs.machine(loghost.CONTROL).state(writeonce.NAME).read(key) is not None:
            return True
        command = writeonce.Write(key, b"")
        try:
            await self._proposer.propose(loghost.CONTROL, writeonce.NAME, command)
        except (proposer.QuorumLostError, proposer.UnknownOutcomeError) as error:
            self._events.warn("end_not_recorded", id=end.id, cause=str(error))
            return False
        return True

    async def _execute(self, request: message.Request) -> ports.ControlOutcome:
        if self._stopping:
            return ports.Unavailable("this process is stopping")
        call = self._dialect.decode(request)
        match call:
            case ports.Announce(upstream):
                return await self._announce(exchange.Announcement(upstream))
            case ports.Withdraw(upstream_id, born):
                record = exchange.WithdrawnUpstream(upstream_id, born)
                return await self._announce(exchange.Announcement(record))
            case ports.PutDocument():
                return await self._put(call)
            case ports.ReadDocument():
                return await self._read()
            case calls.StartRollout() | calls.ReadRollout() | calls.AbortRollout():
                if self._rollouts is None:
                    return ports.Unknown(f"{request.method} {request.path}")
                return await self._rollouts.execute(call)
            case ports.Unknown():
                return call

    async def _announce(self, announcement: exchange.Announcement) -> ports.ControlOutcome:
        payload = exchange.encode(announcement)
        if await self.announce_as_leader(payload):
            return ports.Taken()
        leader = self._terms.leader_address()
        if leader is None:
            return ports.Unavailable("no leader is known")
        try:
            answer = await self._link.call(
                leader, exchange.ANNOUNCE, payload, FORWARD_TIMEOUT_SECONDS
            )
        except leaderlink.LeaderUnreachableError as error:
            return ports.Unavailable(str(error))
        if not answer:
            return ports.Unavailable("the leader has changed")
        return ports.Taken(next_address=leaderlink.peer_address(leader, self._control_port))

    async def _put(self, call: ports.PutDocument) -> ports.ControlOutcome:
        check.check(call.routing)
        packed = documentcopy.compress(call.content)
        now_ms = time.time_ns() // 1_000_000
        version = call.routing.version
        command = configuration.Supersede(self._author, version, packed, now_ms)
        try:
            result = await self._proposer.propose(loghost.CONTROL, configuration.NAME, command)
        except (proposer.QuorumLostError, proposer.UnknownOutcomeError) as error:
            self._events.warn("document_not_committed", version=version, cause=str(error))
            return ports.Unavailable(str(error))
        self._events.write("document_put", version=version, result=type(result).__name__)
        match result:
            case configuration.DocumentTooLarge(size, limit):
                return ports.Invalid(f"the document takes {size} bytes, more than {limit}")
            case _:
                return ports.Taken()

    async def _read(self) -> ports.ControlOutcome:
        try:
            if self._logs.leads(loghost.CONTROL):
                packed = await self.read_as_leader()
            else:
                leader = self._terms.leader_address()
                if leader is None:
                    return ports.Unavailable("no leader is known")
                packed = await self._link.call(leader, READ, b"", FORWARD_TIMEOUT_SECONDS)
        except (coordination_errors.CoordinationError, leaderlink.LeaderUnreachableError) as error:
            return ports.Unavailable(str(error))
        if not packed:
            return ports.Unavailable("there is no document yet")
        return ports.Taken(content=documentcopy.decompress(packed))
