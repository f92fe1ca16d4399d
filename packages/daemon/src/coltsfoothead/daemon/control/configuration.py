"""Keeps a daemon's environment document and its configuration lease up to date."""

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

__all__ = ["Configuration", "MAX_PROPAGATION_SECONDS"]

POLL_METHOD = "config.poll"
POLL_INTERVAL_SECONDS = 0.5
POLL_TIMEOUT_SECONDS = 1.0
LEADER_CONFIRM_INTERVAL_SECONDS = 0.5
# Time after a commit within which every daemon has the change or has stopped serving, because its
# configuration lease expired. The margin of 0.2 s covers clock drift and the time between the start
# of the leader's confirmation round and the commit.
MAX_PROPAGATION_SECONDS = lease.LEASE_SECONDS + 0.2

_encode = msgspec.msgpack.encode
_decode_request = msgspec.msgpack.Decoder(lease.PollRequest).decode
_decode_answer = msgspec.msgpack.Decoder(lease.PollAnswer).decode


class Configuration:
    """The environment document of one daemon and the lease under which it may be used.

    The leader of the control log extends its own lease by confirming its leadership with a quorum;
    every other daemon polls a parent in the configuration tree.

    Parameters
    ----------
    own_id : str
    logs : LogHost
    links : Links
    log_proposer : Proposer
    members : callable
        Returns the membership records by daemon ID.
    metrics : Metrics
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(
        self,
        own_id: str,
        logs: loghost.LogHost,
        links: links_module.Links,
        log_proposer: proposer.Proposer,
        members: Callable[[], Mapping[str, members_module.Member]],
        metrics: metrics_module.Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._metrics = metrics
        self._own_id = own_id
        self._logs = logs
        self._links = links
        self._proposer = log_proposer
        self._members = members
        self._clock = clock
        self._client = lease.LeaseClient()
        self._parent_selector = tree.ParentSelector()
        self._environment: environment.Environment | None = None
        self._lease_valid = False
        links.serve(POLL_METHOD, self._serve_poll)

    @property
    def document(self) -> documents.Document:
        """The newest encoded document of this daemon, with its version and digest."""
        return self._client.document

    @property
    def environment(self) -> environment.Environment | None:
        """The decoded document, or None before the first one or if the newest is invalid."""
        return self._environment

    def remaining(self) -> float:
        """Returns the remaining time of the configuration lease, in seconds."""
        return self._client.remaining(self._clock())

    async def run(self) -> None:
        """Keeps the document up to date and renews its lease until cancelled."""
        while True:
            started_at = self._clock()
            if self._logs.leads(loghost.CONTROL):
                await self._confirm_leadership(started_at)
                pause = LEADER_CONFIRM_INTERVAL_SECONDS
            else:
                await self._poll()
                pause = POLL_INTERVAL_SECONDS
            self._log_validity_change()
            if not self._client.valid(self._clock()):
                pause = POLL_INTERVAL_SECONDS / 5
            await asyncio.sleep(max(0.0, started_at + pause - self._clock()))

    async def apply(
        self, change_id: str, author: str, version: int, digest: str, document: str
    ) -> Any:
        """Commits a new document and returns the state machine's answer.

        Raises
        ------
        EnvironmentError
            If the document is invalid.
        QuorumLostError
            If the change was not committed.
        UnknownOutcomeError
            If the change may have been committed.
        """
        policycheck.check(environment.decode(document, "document"))
        command = commands.Apply(
            change_id, author, version, digest, document.encode(), time.time_ns() // 1_000_000
        )
        return await self._proposer.propose(loghost.CONTROL, commands.NAME, command)

    async def _confirm_leadership(self, round_started_at: float) -> None:
        """Extends the leader's own lease once a quorum has confirmed its leadership."""
        task = self._logs.tasks[loghost.CONTROL]
        try:
            await task.barrier(POLL_TIMEOUT_SECONDS)
        except coordination_errors.CoordinationError as error:
            logging.debug("daemon %s: leadership not confirmed: %s", self._own_id, error)
            return
        state = self._logs.machine(loghost.CONTROL).state(commands.NAME)
        request = self._client.poll(round_started_at)
        answer = lease.PollAnswer(
            request.poll_id,
            lease.LEASE_SECONDS,
            state.update_since(request.have_version, request.have_digest),
        )
        self._receive(answer)

    async def _poll(self) -> None:
        members = self._tree_members()
        leader = self._proposer.leader(loghost.CONTROL)
        candidates = tree.parent_candidates(self._own_id, members, leader)
        now = self._clock()
        parent = self._parent_selector.choose(
            [name for name in candidates if name != self._own_id], now
        )
        if parent is None:
            return
        request = self._client.poll(now)
        try:
            payload = await self._links.call(
                parent, POLL_METHOD, _encode(request), POLL_TIMEOUT_SECONDS
            )
        except coordination_errors.CoordinationError as error:
            logging.debug("daemon %s: poll of %s failed: %s", self._own_id, parent, error)
            self._metrics.count("configuration_polls_failed")
            self._parent_selector.record_failure(parent, self._clock())
            return
        answer = _decode_answer(payload)
        if answer.remaining > 0:
            self._parent_selector.record_success(parent)
        else:
            self._parent_selector.record_failure(parent, self._clock())
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
        document = self._client.document
        try:
            self._environment = environment.decode(document.content.decode(), "document in force")
        except environment.EnvironmentError as error:
            # A daemon of a newer release may have accepted this document. Serving requests with
            # the previous document would undo the change, so this daemon has no environment.
            self._environment = None
            logging.error(
                "daemon %s: configuration version %d is invalid: %s",
                self._own_id,
                document.version,
                error,
            )
            return
        logging.info("daemon %s: configuration version %d in force", self._own_id, document.version)

    def _log_validity_change(self) -> None:
        valid = self._client.valid(self._clock())
        if valid != self._lease_valid:
            self._lease_valid = valid
            state = "valid" if valid else "expired"
            logging.info("daemon %s: configuration lease is %s", self._own_id, state)

    async def _serve_poll(self, sender: str, payload: bytes) -> bytes:
        request = _decode_request(payload)
        remaining = self._client.remaining(self._clock())
        return _encode(lease.answer_poll(request, remaining, self._client.history))
