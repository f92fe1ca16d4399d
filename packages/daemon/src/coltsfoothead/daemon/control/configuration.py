"""Keeps the environment document in force and the lease on it."""

import asyncio
import time
from collections.abc import Callable, Mapping
from typing import Any

import msgspec
from absl import logging

from coltsfoothead.coordination import errors as coordination_errors
from coltsfoothead.coordination.configuration import commands, documents, lease, tree
from coltsfoothead.coordination.membership import members as members_module
from coltsfoothead.coordination.transport import links as links_module
from coltsfoothead.daemon import metrics as metrics_module
from coltsfoothead.daemon.control import loghost, proposer
from coltsfoothead.kernel import environment, policycheck

__all__ = ["Configuration", "IN_FORCE_SECONDS"]

METHOD = "config.poll"
POLL_SECONDS = 0.5
POLL_TIMEOUT_SECONDS = 1.0
LEADER_ROUND_SECONDS = 0.5
# A daemon that missed a change stops serving at the end of its lease; the margin covers drift and
# the time between the start of the leader's round and the commit.
IN_FORCE_SECONDS = lease.LEASE_SECONDS + 0.2

_encode = msgspec.msgpack.encode
_decode_request = msgspec.msgpack.Decoder(lease.PollRequest).decode
_decode_answer = msgspec.msgpack.Decoder(lease.PollAnswer).decode


class Configuration:
    """The document and its lease at one daemon.

    Parameters
    ----------
    own_id : str
    logs : LogHost
    links : Links
    proposals : Proposer
    members : callable
        Returns the records of the members by ID.
    metrics : Metrics
    clock : callable
    """

    def __init__(
        self,
        own_id: str,
        logs: loghost.LogHost,
        links: links_module.Links,
        proposals: proposer.Proposer,
        members: Callable[[], Mapping[str, members_module.Member]],
        metrics: metrics_module.Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._metrics = metrics
        self._own_id = own_id
        self._logs = logs
        self._links = links
        self._proposals = proposals
        self._members = members
        self._clock = clock
        self._client = lease.LeaseClient()
        self._choice = tree.ParentSelector()
        self._environment: environment.Environment | None = None
        self._valid = False
        links.serve(METHOD, self._serve)

    @property
    def document(self) -> documents.Document:
        """The newest document this daemon has, with version and digest."""
        return self._client.document

    @property
    def environment(self) -> environment.Environment | None:
        """The decoded document, or None before the first one."""
        return self._environment

    def remaining(self) -> float:
        """Returns the seconds for which the document may be acted on."""
        return self._client.remaining(self._clock())

    async def run(self) -> None:
        """Keeps document and lease fresh until cancelled."""
        while True:
            started = self._clock()
            if self._logs.leads(loghost.CONTROL):
                await self._confirm(started)
                pause = LEADER_ROUND_SECONDS
            else:
                await self._poll()
                pause = POLL_SECONDS
            self._note_validity()
            if not self._client.valid(self._clock()):
                pause = POLL_SECONDS / 5
            await asyncio.sleep(max(0.0, started + pause - self._clock()))

    async def apply(
        self, change_id: str, author: str, version: int, digest: str, document: str
    ) -> Any:
        """Commits a change and returns the state machine's answer.

        Raises
        ------
        EnvironmentError
            If the document is invalid.
        QuorumLostError, UnknownOutcomeError
            If it could not be committed.
        """
        policycheck.check(environment.decode(document, "document"))
        command = commands.Apply(
            change_id, author, version, digest, document.encode(), time.time_ns() // 1_000_000
        )
        return await self._proposals.propose(loghost.CONTROL, commands.NAME, command)

    async def _confirm(self, asked_at: float) -> None:
        """Prolongs the leader's own lease after a confirmed round."""
        task = self._logs.tasks[loghost.CONTROL]
        try:
            await task.barrier(POLL_TIMEOUT_SECONDS)
        except coordination_errors.CoordinationError as error:
            logging.debug("daemon %s: leadership not confirmed: %s", self._own_id, error)
            return
        state = self._logs.machine(loghost.CONTROL).state(commands.NAME)
        request = self._client.poll(asked_at)
        answer = lease.PollAnswer(
            request.poll_id,
            lease.LEASE_SECONDS,
            state.update_since(request.have_version, request.have_digest),
        )
        self._receive(answer)

    async def _poll(self) -> None:
        members = self._tree_members()
        leader = self._proposals.leader(loghost.CONTROL)
        candidates = tree.parent_candidates(self._own_id, members, leader)
        now = self._clock()
        parent = self._choice.choose([name for name in candidates if name != self._own_id], now)
        if parent is None:
            return
        request = self._client.poll(now)
        try:
            payload = await self._links.call(parent, METHOD, _encode(request), POLL_TIMEOUT_SECONDS)
        except coordination_errors.CoordinationError as error:
            logging.debug("daemon %s: poll of %s failed: %s", self._own_id, parent, error)
            self._metrics.count("configuration_polls_failed")
            self._choice.record_failure(parent, self._clock())
            return
        answer = _decode_answer(payload)
        if answer.remaining > 0:
            self._choice.record_success(parent)
        else:
            self._choice.record_failure(parent, self._clock())
        self._receive(answer)

    def _tree_members(self) -> list[tree.Member]:
        return [
            tree.Member(member.id, member.region, member.zone, member.voter)
            for member in self._members().values()
            if member.state <= members_module.State.SUSPECT
        ]

    def _receive(self, answer: lease.PollAnswer) -> None:
        if not self._client.receive(answer):
            return
        held = self._client.document
        try:
            self._environment = environment.decode(held.content.decode(), "document in force")
        except environment.EnvironmentError as error:
            # A newer release may have accepted it. Serving on the old document would revert it.
            self._environment = None
            logging.error("daemon %s: version %d: %s", self._own_id, held.version, error)
            return
        logging.info("daemon %s: configuration version %d in force", self._own_id, held.version)

    def _note_validity(self) -> None:
        valid = self._client.valid(self._clock())
        if valid != self._valid:
            self._valid = valid
            state = "valid" if valid else "expired"
            logging.info("daemon %s: configuration lease is %s", self._own_id, state)

    async def _serve(self, sender: str, payload: bytes) -> bytes:
        request = _decode_request(payload)
        remaining = self._client.remaining(self._clock())
        return _encode(lease.answer_poll(request, remaining, self._client.history))
