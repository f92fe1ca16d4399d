"""Replication of accepted requests: owner side, guard side, and the channel between them."""

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

CHANNEL = "guard"
ATTEMPTS_PER_EPOCH = 1000


class Replication:
    """Both sides of one daemon; the guard side takes over the requests of lost owners.

    Parameters
    ----------
    place : Place
    links : Links
    members : callable
        Returns the member records by ID.
    proposals : Proposer
    resume : callable
        Starts the generation of a request that was taken over.
    table : RequestTable
    metrics : Metrics
    clock : callable
        Monotonic seconds.
    """

    def __init__(
        self,
        place: ownerside.Place,
        links: links_module.Links,
        members: Callable[[], Mapping[str, members_module.Member]],
        proposals: proposer.Proposer,
        resume: Callable[[requests.ModelRequest], Awaitable[None]],
        table: requests.RequestTable,
        metrics: metrics_module.Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._place = place
        self._links = links
        self._resume = resume
        self._table = table
        self._metrics = metrics
        self._clock = clock
        self._arbiter = arbiter.Arbiter(proposals)
        self._guardian = guardian.Guardian(place.incarnation)
        self._owner = ownerside.OwnerSide(
            place, links, self._post, members, self._arbiter, table, metrics, clock
        )
        links.on(CHANNEL, self._receive)
        links.serve(ownerside.HAND_OVER_METHOD, self._serve_hand_over)

    async def open(self, request: requests.ModelRequest) -> None:
        """Returns once a guard holds a copy of a new request; raises `RefusedError`."""
        await self._owner.open(request)

    def changed(self, request: requests.ModelRequest) -> None:
        """Takes new tokens and the end of a request, and releases what is acknowledged."""
        self._owner.changed(request)

    def forget(self, request: requests.ModelRequest) -> None:
        """Ends a request that was not accepted, so that its guard never runs it."""
        self._owner.forget(request)

    def holds_copy(self, request_id: str) -> bool:
        """Returns whether this daemon guards a running request."""
        held = self._guardian.held(request_id)
        return held is not None and held.result is None

    def finished_copy(self, request_id: str) -> requests.ModelRequest | None:
        """Returns the guarded answer of a request that has ended, or None."""
        held = self._guardian.held(request_id)
        if held is None or held.result is None:
            return None
        return records.restore(held, self._clock())

    async def run(self) -> None:
        """Sends to the guards until cancelled."""
        await self._owner.run()

    async def watch(self, changes: asyncio.Queue) -> None:
        """Reacts to lost and restarted members until cancelled."""
        while True:
            change = await changes.get()
            member = change.member
            lost = member.state in (members_module.State.DEAD, members_module.State.LEFT)
            last_lost = member.incarnation if lost else member.incarnation - 1
            self._owner.member_lost(member.id, last_lost)
            self._owner_lost(member.id, last_lost)

    async def hand_over(self) -> None:
        """Gives the running requests to their guards; callers come back to those."""
        await self._owner.hand_over()

    async def stop(self) -> None:
        """Cancels what is undecided."""
        await self._arbiter.stop()

    def _post(self, member: str, batch: messages.Batch) -> None:
        try:
            self._links.send(member, CHANNEL, messages.encode(batch))
        except coordination_errors.CoordinationError as error:
            logging.debug("guard batch to %s not sent: %s", member, error)

    def _receive(self, sender: str, payload: bytes) -> None:
        try:
            batch = messages.decode(payload)
        except msgspec.MsgspecError as error:
            logging.warning("member %s sent an unreadable guard batch: %s", sender, error)
            return
        now = self._clock()
        answers: list[messages.Message] = []
        for message in batch.messages:
            match message:
                case messages.Copy() | messages.Append():
                    answers.append(self._guardian.receive(sender, message, now))
                case messages.Acknowledge() | messages.Refuse():
                    self._owner.answered(sender, message)
        if answers:
            self._post(sender, messages.Batch(tuple(answers)))

    def _owner_lost(self, member: str, incarnation: int) -> None:
        """Asks to own the guarded requests of a member's incarnations up to the given one."""
        sessions = set()
        for request_id in self._guardian.held_for(member):
            description = records.description_of(self._guardian.held(request_id))
            if description.owner_incarnation <= incarnation:
                sessions.add(description.session)
        for session in sessions:
            command = arbitration.TakeOver(
                member, session, self._place.daemon, self._place.incarnation
            )
            self._arbiter.decide(command, self._take_over_decided(member, session))

    def _take_over_decided(self, member: str, session: int) -> Callable[[bool], Awaitable[None]]:
        async def decided(won: bool) -> None:
            logging.info("requests of daemon %s are taken over: %s", member, won)
            for request_id in self._guardian.held_for(member):
                held = self._guardian.held(request_id)
                if records.description_of(held).session != session:
                    continue
                if won:
                    await self._adopt(request_id, held.epoch + 1)
                else:
                    # Their owner went on with another guard.
                    self._guardian.release(request_id)

        return decided

    async def _adopt(self, request_id: str, epoch: int) -> None:
        """Becomes the owner of a guarded request and goes on with it."""
        held = self._guardian.take_over(request_id, epoch, self._clock())
        request = records.restore(held, self._clock())
        # A former owner that was only suspended may still start attempts; engines know and cancel
        # attempts by number, so two owners must not use the same ones.
        request.attempt = max(request.attempt, epoch * ATTEMPTS_PER_EPOCH)
        self._table.add(request)
        self._owner.adopt(request, epoch, held)
        logging.info(
            "request %s: taken over with %d tokens, epoch %d",
            request_id,
            len(request.tokens),
            epoch,
        )
        self._metrics.count("requests_taken_over")
        await self._resume(request)

    async def _serve_hand_over(self, sender: str, payload: bytes) -> bytes:
        wanted = msgspec.msgpack.decode(payload, type=ownerside.HandOver)
        for request_id in wanted.request_ids:
            held = self._guardian.held(request_id)
            if held is not None and held.result is None:
                await self._adopt(request_id, held.epoch + 1)
        return b""
