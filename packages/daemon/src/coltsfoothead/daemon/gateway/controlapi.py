"""Answers upstreams and operators at any control process."""

import time

import msgspec

from coltsfoothead.coordination import configuration
from coltsfoothead.coordination import errors as coordination_errors
from coltsfoothead.daemon import metrics as metrics_module
from coltsfoothead.daemon.control import loghost, proposer
from coltsfoothead.daemon.gateway import (
    documentcopy,
    eventlog,
    exchange,
    leaderlink,
    ports,
    termkeeper,
)
from coltsfoothead.daemon.http import errors as http_errors
from coltsfoothead.daemon.http import message, server
from coltsfoothead.kernel.traffic import check, upstreams

__all__ = ["ControlApi", "READ"]

READ = "gateway.read"
# Upstreams and operators move on after a second without an answer.
FORWARD_SECONDS = 0.8


class ControlApi:
    """The interface of a control process to upstreams and operators.

    Parameters
    ----------
    dialect : ControlDialect
    author : str
        Name of this process, kept with each change.
    control_port : int
        On which all control processes serve this interface.
    logs : LogHost
    proposals : Proposer
    link : LeaderLink
    terms : TermKeeper
    events : EventLog
    metrics : Metrics
    """

    def __init__(
        self,
        dialect: ports.ControlDialect,
        author: str,
        control_port: int,
        logs: loghost.LogHost,
        proposals: proposer.Proposer,
        link: leaderlink.LeaderLink,
        terms: termkeeper.TermKeeper,
        events: eventlog.EventLog,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._dialect = dialect
        self._author = author
        self._control_port = control_port
        self._logs = logs
        self._proposals = proposals
        self._link = link
        self._terms = terms
        self._events = events
        self._metrics = metrics
        self._stopping = False

    def stop(self) -> None:
        """Sends callers to another process from now on."""
        self._stopping = True

    async def handle(self, caller: server.Exchange) -> None:
        """Answers one call."""
        try:
            outcome = await self._carry_out(caller.request)
        except (ports.MalformedCallError, check.InvalidDocumentError) as error:
            self._events.write("call_invalid", path=caller.request.path, cause=str(error))
            outcome = ports.Invalid(str(error))
        self._metrics.count(f"control_{type(outcome).__name__.lower()}")
        await caller.respond(self._dialect.encode(outcome))

    def encode_error(self, status: int, error: http_errors.HttpError) -> message.Response:
        """Returns the answer for a call that could not be received."""
        if status == 408:
            return self._dialect.encode(ports.Unavailable(str(error)))
        return self._dialect.encode(ports.Invalid(str(error)))

    async def read_here(self) -> bytes:
        """Returns the newest document if this process leads.

        Raises
        ------
        CoordinationError
            If it cannot be sure which document is the newest.
        """
        await self._logs.tasks[loghost.CONTROL].barrier(FORWARD_SECONDS)
        state = self._logs.machine(loghost.CONTROL).state(configuration.NAME)
        return state.current.content

    async def announce_here(self, payload: bytes) -> bool:
        """Takes an upstream's word if this process leads; returns whether it does."""
        term = self._terms.current
        if term is None:
            return False
        word = exchange.decode_announced(payload).word
        now = self._terms.now()
        match word:
            case upstreams.Upstream():
                changed = term.directory.announce(word, now)
                state = word.state.value
            case exchange.WithdrawnUpstream():
                changed = term.directory.withdraw(word.upstream_id, word.born, now)
                state = "withdrawn"
        if changed:
            self._events.write("announced", word=msgspec.to_builtins(word), state=state)
        return True

    async def _carry_out(self, request: message.Request) -> ports.ControlOutcome:
        if self._stopping:
            return ports.Unavailable("this process is stopping")
        call = self._dialect.decode(request)
        match call:
            case ports.Announce(upstream):
                return await self._announce(exchange.Announced(upstream))
            case ports.Withdraw(upstream_id, born):
                word = exchange.WithdrawnUpstream(upstream_id, born)
                return await self._announce(exchange.Announced(word))
            case ports.PutDocument():
                return await self._put(call)
            case ports.ReadDocument():
                return await self._read()
            case ports.Unknown():
                return call

    async def _announce(self, word: exchange.Announced) -> ports.ControlOutcome:
        payload = exchange.encode(word)
        if await self.announce_here(payload):
            return ports.Taken()
        leader = self._terms.leader_address()
        if leader is None:
            return ports.Unavailable("no leader is known")
        try:
            answer = await self._link.ask(leader, exchange.ANNOUNCE, payload, FORWARD_SECONDS)
        except leaderlink.LeaderUnreachableError as error:
            return ports.Unavailable(str(error))
        if not answer:
            return ports.Unavailable("the leader has changed")
        return ports.Taken(next_address=leaderlink.peer_address(leader, self._control_port))

    async def _put(self, call: ports.PutDocument) -> ports.ControlOutcome:
        check.check(call.routing)
        packed = documentcopy.pack(call.content)
        milliseconds = time.time_ns() // 1_000_000
        version = call.routing.version
        command = configuration.Supersede(self._author, version, packed, milliseconds)
        try:
            result = await self._proposals.propose(loghost.CONTROL, configuration.NAME, command)
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
                packed = await self.read_here()
            else:
                leader = self._terms.leader_address()
                if leader is None:
                    return ports.Unavailable("no leader is known")
                packed = await self._link.ask(leader, READ, b"", FORWARD_SECONDS)
        except (coordination_errors.CoordinationError, leaderlink.LeaderUnreachableError) as error:
            return ports.Unavailable(str(error))
        if not packed:
            return ports.Unavailable("there is no document yet")
        return ports.Taken(content=documentcopy.unpack(packed))
