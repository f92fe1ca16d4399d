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

METHOD = "propose"
ATTEMPT_SECONDS = 1.0
RETRY_SECONDS = 0.05


class QuorumLostError(errors.DaemonError):
    """No leader took the command in time, so it had no effect."""


class UnknownOutcomeError(errors.DaemonError):
    """The command may have been committed or may be committed later."""


class Proposal(msgspec.Struct, frozen=True):
    """A command sent to a voter."""

    log: str
    command: bytes


class Committed(msgspec.Struct, frozen=True, tag=True):
    """The state machine's result."""

    result: bytes


class NotLeader(msgspec.Struct, frozen=True, tag=True):
    """The voter does not lead; `leader` is whom it follows."""

    leader: str | None


class NotCommitted(msgspec.Struct, frozen=True, tag=True):
    """The leader could not commit the command; `unknown` if it may still be."""

    unknown: bool


Verdict = Committed | NotLeader | NotCommitted

_decode_verdict = msgspec.msgpack.Decoder(Verdict).decode
_encode = msgspec.msgpack.encode


class Proposer:
    """Sends commands to the leader of a log and follows it when it changes.

    Parameters
    ----------
    logs : LogHost
    links : Links
    own_id : str
    voters : callable
        Returns the IDs of the live daemons that hold replicas.
    timeout_seconds : float
    clock : callable
    rng : random.Random

    Notes
    -----
    Every command of the state machines may be sent twice with the effect of once, so a lost
    answer is followed by another try until the time is over.
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
        links.serve(METHOD, self._serve)

    def leader(self, log: str) -> str | None:
        """Returns the leader of a log if this daemon knows one."""
        task = self._logs.tasks.get(log)
        if task is not None:
            return task.status().leader
        return self._leaders.get(log)

    async def propose(self, log: str, kind: str, command: msgspec.Struct) -> Any:
        """Commits a command and returns the decoded result.

        Raises
        ------
        QuorumLostError
            If the command surely had no effect.
        UnknownOutcomeError
            If its outcome is not known.
        """
        payload = registry.encode(command)
        deadline = self._clock() + self._timeout_seconds
        unknown = False
        while self._clock() < deadline:
            verdict = await self._attempt(log, payload, deadline)
            match verdict:
                case Committed(result):
                    return registry.decode_result(kind, result)
                case NotLeader(leader):
                    self._leaders[log] = leader
                case NotCommitted(may_be):
                    unknown = unknown or may_be
                    self._leaders[log] = None
            await asyncio.sleep(self._rng.uniform(0, RETRY_SECONDS))
        if unknown:
            raise UnknownOutcomeError(f"{log} log: the outcome of the command is not known")
        raise QuorumLostError(f"{log} log: no leader within {self._timeout_seconds} s")

    async def _attempt(self, log: str, payload: bytes, deadline: float) -> Verdict:
        timeout = max(0.01, min(ATTEMPT_SECONDS, deadline - self._clock()))
        if self._logs.leads(log):
            return await self._propose_here(log, payload, timeout)
        target = self._target(log)
        if target is None:
            await asyncio.sleep(RETRY_SECONDS)
            return NotLeader(None)
        request = _encode(Proposal(log, payload))
        try:
            answer = await self._links.call(target, METHOD, request, timeout)
            return _decode_verdict(answer)
        except (link_errors.PeerUnknownError, link_errors.PeerRefusedError):
            return NotLeader(None)
        except coordination_errors.CoordinationError:
            return NotCommitted(unknown=True)

    def _target(self, log: str) -> str | None:
        known = self.leader(log)
        voters = [voter for voter in self._voters() if voter != self._own_id]
        if known is not None and known != self._own_id and known in voters:
            return known
        return self._rng.choice(voters) if voters else None

    async def _propose_here(self, log: str, payload: bytes, timeout: float) -> Verdict:
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
            verdict: Verdict = NotLeader(self.leader(proposal.log))
        else:
            self._logs.machine(proposal.log).check(proposal.command)
            verdict = await self._propose_here(proposal.log, proposal.command, ATTEMPT_SECONDS)
        return _encode(verdict)
