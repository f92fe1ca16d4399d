"""Commits commands to the logs from any daemon."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

import msgspec

from coltsfoothead.coordination import errors as coordination_errors
from coltsfoothead.coordination.machine import registry
from coltsfoothead.coordination.replication import errors as replication_errors
from coltsfoothead.coordination.transport import errors as link_errors
from coltsfoothead.coordination.transport import links as links_module
from coltsfoothead.daemon import errors
from coltsfoothead.daemon.control import loghost

__all__ = ["Proposer", "QuorumLostError", "UnknownOutcomeError"]

PROPOSE_METHOD = "propose"
ATTEMPT_TIMEOUT_SECONDS = 1.0
RETRY_DELAY_SECONDS = 0.05


class QuorumLostError(errors.DaemonError):
    """No leader accepted the command in time, so it had no effect."""


class UnknownOutcomeError(errors.DaemonError):
    """The command may have been committed or may be committed later."""


class Proposal(msgspec.Struct, frozen=True):
    """Request to a voter to commit an encoded command."""

    log: str
    command: bytes


class Committed(msgspec.Struct, frozen=True, tag=True):
    """The command was committed; `result` is the encoded result of the state machine."""

    result: bytes


class NotLeader(msgspec.Struct, frozen=True, tag=True):
    """The voter does not lead the log; `leader` is the leader that it follows, if any."""

    leader: str | None


class NotCommitted(msgspec.Struct, frozen=True, tag=True):
    """The leader failed to commit the command; `unknown` if it may still be committed."""

    unknown: bool


ProposalOutcome = Committed | NotLeader | NotCommitted

_decode_outcome = msgspec.msgpack.Decoder(ProposalOutcome).decode
_encode = msgspec.msgpack.encode


class Proposer:
    """Sends commands to the leader of a log, and to the new leader when it changes.

    Parameters
    ----------
    logs : LogHost
    links : Links
    own_id : str
    voters : callable
        Returns the IDs of the live daemons that hold replicas.
    timeout_seconds : float
        Time for all attempts to commit one command.
    clock : callable
        Returns monotonic time in seconds.
    rng : random.Random

    Notes
    -----
    All commands of the state machines are idempotent, so a command whose answer was lost is sent
    again until the timeout.
    """

    def __init__(
        self,
        logs: loghost.LogHost,
        links: links_module.Links,
        own_id: str,
        voters: Callable[[], list[str]],
        timeout_seconds: float,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._logs = logs
        self._links = links
        self._own_id = own_id
        self._voters = voters
        self._timeout_seconds = timeout_seconds
        self._clock = clock
        self._rng = rng
        self._leaders: dict[str, str | None] = {}
        links.serve(PROPOSE_METHOD, self._serve)

    def leader(self, log: str) -> str | None:
        """Returns the ID of a log's leader, or None if this daemon knows none."""
        task = self._logs.tasks.get(log)
        if task is not None:
            return task.status().leader
        return self._leaders.get(log)

    async def propose(self, log: str, kind: str, command: msgspec.Struct) -> Any:
        """Commits a command and returns the decoded result.

        Raises
        ------
        QuorumLostError
            If the command had no effect.
        UnknownOutcomeError
            If the command may have been committed or may be committed later.
        """
        payload = registry.encode(command)
        deadline = self._clock() + self._timeout_seconds
        unknown = False
        while self._clock() < deadline:
            outcome = await self._attempt(log, payload, deadline)
            match outcome:
                case Committed(result):
                    return registry.decode_result(kind, result)
                case NotLeader(leader):
                    self._leaders[log] = leader
                case NotCommitted(may_commit):
                    unknown = unknown or may_commit
                    self._leaders[log] = None
            await asyncio.sleep(self._rng.uniform(0, RETRY_DELAY_SECONDS))
        if unknown:
            raise UnknownOutcomeError(f"{log} log: the outcome of the command is not known")
        raise QuorumLostError(f"{log} log: no leader within {self._timeout_seconds} s")

    async def _attempt(self, log: str, payload: bytes, deadline: float) -> ProposalOutcome:
        timeout = max(0.01, min(ATTEMPT_TIMEOUT_SECONDS, deadline - self._clock()))
        if self._logs.leads(log):
            return await self._propose_locally(log, payload, timeout)
        target = self._choose_voter(log)
        if target is None:
            await asyncio.sleep(RETRY_DELAY_SECONDS)
            return NotLeader(None)
        request = _encode(Proposal(log, payload))
        try:
            answer = await self._links.call(target, PROPOSE_METHOD, request, timeout)
            return _decode_outcome(answer)
        except (link_errors.PeerUnknownError, link_errors.PeerRefusedError):
            return NotLeader(None)
        except coordination_errors.CoordinationError:
            return NotCommitted(unknown=True)

    def _choose_voter(self, log: str) -> str | None:
        leader = self.leader(log)
        voters = [voter for voter in self._voters() if voter != self._own_id]
        if leader is not None and leader != self._own_id and leader in voters:
            return leader
        return self._rng.choice(voters) if voters else None

    async def _propose_locally(self, log: str, payload: bytes, timeout: float) -> ProposalOutcome:
        try:
            return Committed(await self._logs.tasks[log].propose(payload, timeout))
        except replication_errors.NotLeaderError as error:
            return NotLeader(error.leader)
        except (replication_errors.QuorumLostError, replication_errors.StoppedError):
            return NotCommitted(unknown=False)
        except replication_errors.ReplicationError:
            return NotCommitted(unknown=True)

    async def _serve(self, sender: str, payload: bytes) -> bytes:
        proposal = msgspec.msgpack.decode(payload, type=Proposal)
        if not self._logs.leads(proposal.log):
            outcome: ProposalOutcome = NotLeader(self.leader(proposal.log))
        else:
            self._logs.machine(proposal.log).check(proposal.command)
            outcome = await self._propose_locally(
                proposal.log, proposal.command, ATTEMPT_TIMEOUT_SECONDS
            )
        return _encode(outcome)
