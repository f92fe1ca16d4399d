"""Replication of accepted requests: both sides, and the channel between owner and guard."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping

import msgspec
from absl import logging

from coltsfoothead.coordination import arbitration
from coltsfoothead.coordination import errors as coordination_errors
from coltsfoothead.coordination.guard import guardian, messages
from coltsfoothead.coordination.membership import members as members_module
from coltsfoothead.coordination.transport import links as links_module
from coltsfoothead.daemon import metrics as metrics_module
from coltsfoothead.daemon.control import proposer
from coltsfoothead.daemon.serving import arbiter, ownerside, records, requests

__all__ = ["Replication"]

GUARD_CHANNEL = "guard"
MAX_ATTEMPTS_PER_EPOCH = 1000


class Replication:
    """Owner side and guard side of one daemon.

    The guard side takes over the requests of lost owners.

    Parameters
    ----------
    settings : OwnerSettings
    links : Links
    members : callable
        Returns the member records by ID.
    log_proposer : Proposer
    resume : callable
        Starts the generation of a request that was taken over.
    table : RequestTable
    metrics : Metrics
    clock : callable
        Monotonic seconds.
    """

    def __init__(
        self,
        settings: ownerside.OwnerSettings,
        links: links_module.Links,
        members: Callable[[], Mapping[str, members_module.Member]],
        log_proposer: proposer.Proposer,
        resume: Callable[[requests.ModelRequest], Awaitable[None]],
        table: requests.RequestTable,
        metrics: metrics_module.Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._links = links
        self._resume = resume
        self._table = table
        self._metrics = metrics
        self._clock = clock
        self._arbiter = arbiter.Arbiter(log_proposer)
        self._copies = guardian.CopyStore(settings.incarnation)
        self._owner = ownerside.OwnerSide(
            settings, links, self._post, members, self._arbiter, table, metrics, clock
        )
        links.on(GUARD_CHANNEL, self._receive)
        links.serve(ownerside.HAND_OVER_METHOD, self._serve_hand_over)

    async def create_copy(self, request: requests.ModelRequest) -> None:
        """Waits until a guard holds a copy of a new request.

        Raises
        ------
        RefusedError
            If no guard holds a copy.
        """
        await self._owner.create_copy(request)

    def request_changed(self, request: requests.ModelRequest) -> None:
        """Replicates new tokens and the end of a request."""
        self._owner.request_changed(request)

    def discard_copy(self, request: requests.ModelRequest) -> None:
        """Ends a request that was not accepted, so that its guard never runs it."""
        self._owner.discard_copy(request)

    def holds_copy(self, request_id: str) -> bool:
        """Returns whether this daemon guards a running request."""
        copy = self._copies.find_copy(request_id)
        return copy is not None and copy.result is None

    def finished_copy(self, request_id: str) -> requests.ModelRequest | None:
        """Returns the guarded answer of a request that has ended, or None."""
        copy = self._copies.find_copy(request_id)
        if copy is None or copy.result is None:
            return None
        return records.restore_request(copy, self._clock())

    async def run(self) -> None:
        """Sends owned requests to their guards until cancelled."""
        await self._owner.run()

    async def watch_membership(self, changes: asyncio.Queue) -> None:
        """Replaces lost guards and takes over from lost owners, until cancelled.

        Parameters
        ----------
        changes : asyncio.Queue
            Changes of the membership.
        """
        while True:
            change = await changes.get()
            member = change.member
            lost = member.state in (members_module.State.DEAD, members_module.State.LEFT)
            last_lost_incarnation = member.incarnation if lost else member.incarnation - 1
            self._owner.member_lost(member.id, last_lost_incarnation)
            self._propose_take_over(member.id, last_lost_incarnation)

    async def hand_over(self) -> None:
        """Hands the running requests over to their guards, to which the callers then reconnect."""
        await self._owner.hand_over()

    async def stop(self) -> None:
        """Cancels the arbitration proposals that are still undecided."""
        await self._arbiter.stop()

    def _post(self, member: str, batch: messages.Batch) -> None:
        try:
            self._links.send(member, GUARD_CHANNEL, messages.encode(batch))
        except coordination_errors.CoordinationError as error:
            logging.debug("failed to send a guard batch to member %s: %s", member, error)

    def _receive(self, sender: str, payload: bytes) -> None:
        try:
            batch = messages.decode(payload)
        except msgspec.MsgspecError as error:
            logging.warning("failed to decode a guard batch from member %s: %s", sender, error)
            return
        now = self._clock()
        answers: list[messages.Message] = []
        for message in batch.messages:
            match message:
                case messages.Copy() | messages.Append():
                    answers.append(self._copies.receive(sender, message, now))
                case messages.Acknowledge() | messages.Refuse():
                    self._owner.receive(sender, message)
        if answers:
            self._post(sender, messages.Batch(tuple(answers)))

    def _propose_take_over(self, member: str, incarnation: int) -> None:
        """Proposes to take over the guarded requests of a member.

        These are the requests of its incarnations up to the given one.
        """
        sessions = set()
        for request_id in self._copies.running_request_ids(member):
            description = records.decode_description(self._copies.find_copy(request_id))
            if description.owner_incarnation <= incarnation:
                sessions.add(description.session)
        for session in sessions:
            command = arbitration.TakeOver(
                member, session, self._settings.daemon_id, self._settings.incarnation
            )
            self._arbiter.decide(command, self._take_over_callback(member, session))

    def _take_over_callback(self, member: str, session: int) -> Callable[[bool], Awaitable[None]]:
        async def apply_decision(won: bool) -> None:
            logging.info("take-over from daemon %s decided: won=%s", member, won)
            for request_id in self._copies.running_request_ids(member):
                copy = self._copies.find_copy(request_id)
                if records.decode_description(copy).session != session:
                    continue
                if won:
                    await self._take_over(request_id, copy.epoch + 1)
                else:
                    # The owner has replaced this daemon by another guard.
                    self._copies.discard_copy(request_id)

        return apply_decision

    async def _take_over(self, request_id: str, epoch: int) -> None:
        """Takes ownership of a guarded request and resumes its generation."""
        copy = self._copies.take_over(request_id, epoch, self._clock())
        request = records.restore_request(copy, self._clock())
        # A former owner that was only suspended may still start attempts. Engines identify and
        # cancel attempts by number, so two owners must not use the same numbers.
        request.attempt = max(request.attempt, epoch * MAX_ATTEMPTS_PER_EPOCH)
        self._table.add(request)
        self._owner.take_ownership(request, epoch, copy)
        logging.info(
            "request %s: taken over with %d tokens, epoch %d",
            request_id,
            len(request.tokens),
            epoch,
        )
        self._metrics.count("requests_taken_over")
        await self._resume(request)

    async def _serve_hand_over(self, sender: str, payload: bytes) -> bytes:
        hand_over = msgspec.msgpack.decode(payload, type=ownerside.HandOver)
        for request_id in hand_over.request_ids:
            copy = self._copies.find_copy(request_id)
            if copy is not None and copy.result is None:
                await self._take_over(request_id, copy.epoch + 1)
        return b""
