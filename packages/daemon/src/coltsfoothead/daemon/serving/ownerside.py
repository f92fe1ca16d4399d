"""Owner side of replication: copies accepted requests to a guard in another zone."""

import asyncio
import dataclasses
import functools
from collections.abc import Callable, Mapping

import msgspec
from absl import logging

from coltsfoothead.coordination import arbitration
from coltsfoothead.coordination import errors as coordination_errors
from coltsfoothead.coordination.guard import messages, owner, placement
from coltsfoothead.coordination.membership import members as members_module
from coltsfoothead.coordination.transport import links as links_module
from coltsfoothead.daemon import metrics as metrics_module
from coltsfoothead.daemon.callers import refusals
from coltsfoothead.daemon.serving import arbiter, records, requests

__all__ = ["HAND_OVER_METHOD", "HandOver", "OwnerSide", "Place"]

HAND_OVER_METHOD = "guard.hand_over"
# At most one message per guard in this time; tokens of all requests travel together.
BATCH_SECONDS = 0.01
IDLE_SECONDS = 0.1
OPEN_SECONDS = 1.0
# A guard that acknowledges nothing for this long is replaced, even if it is alive for others.
SILENT_SECONDS = 3.0
AVOID_SECONDS = 30.0
HAND_OVER_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Who this daemon is, and whether requests need a guard."""

    daemon: str
    incarnation: int
    guard_required: bool


@dataclasses.dataclass(slots=True)
class _Owned:
    """A request that this daemon owns, with its replication state."""

    request: requests.ModelRequest
    state: owner.OwnerRequest
    guard: owner.Guard | None
    session: int
    waiting_since: float | None = None
    guardless: bool = False


class HandOver(msgspec.Struct, frozen=True):
    """Asks the guard to own requests that their owner has stopped."""

    request_ids: tuple[str, ...]


class OwnerSide:
    """Owner side of one daemon.

    Parameters
    ----------
    place : Place
    links : Links
    post : callable
        Sends a batch to a guard without waiting.
    members : callable
        Returns the member records by ID.
    decisions : Arbiter
    table : RequestTable
    metrics : Metrics
    clock : callable
        Monotonic seconds.
    """

    def __init__(
        self,
        place: Place,
        links: links_module.Links,
        post: Callable[[str, messages.Batch], None],
        members: Callable[[], Mapping[str, members_module.Member]],
        decisions: arbiter.Arbiter,
        table: requests.RequestTable,
        metrics: metrics_module.Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._place = place
        self._links = links
        self._post = post
        self._members = members
        self._arbiter = decisions
        self._table = table
        self._metrics = metrics
        self._clock = clock
        self._owned: dict[str, _Owned] = {}
        self._dirty: dict[str, set[str]] = {}
        self._next_send: dict[str, float] = {}
        self._wake = asyncio.Event()
        # Guards that were replaced lately are passed over while there are others.
        self._avoided: dict[str, float] = {}
        self._session = place.incarnation

    async def open(self, request: requests.ModelRequest) -> None:
        """Returns once a guard holds a copy of a new request.

        Raises
        ------
        RefusedError
            If no guard can be had: `not_run` if nothing was sent to one, else `unknown`.
        """
        guard = self._choose_guard(request.request_id)
        if guard is None:
            if self._place.guard_required:
                text = "no daemon in another zone can keep a copy of the request"
                raise refusals.refuse(refusals.Code.NO_GUARD, text)
            self._own(request, 1, None, None)
            return
        owned = self._own(request, 1, guard, None)
        deadline = self._clock() + OPEN_SECONDS
        while not owned.state.accepted and self._clock() < deadline:
            await request.changed(deadline - self._clock())
        if not owned.state.accepted:
            text = f"daemon {guard.member_id!r} did not confirm its copy of the request"
            unknown = refusals.Execution.UNKNOWN
            raise refusals.refuse(refusals.Code.NO_GUARD, text, unknown)

    def changed(self, request: requests.ModelRequest) -> None:
        """Takes new tokens and the end of a request, and releases what is acknowledged."""
        owned = self._owned.get(request.request_id)
        if owned is None:
            return
        state = owned.state
        while state.attempt < request.attempt and not state.ended:
            state.start_attempt()
        for text in request.tokens[state.length :]:
            state.append(state.attempt, messages.Chunk(text.encode(), 1))
        if request.end is not None:
            state.finish(state.attempt, records.encode_end(request.end))
        if owned.guard is not None:
            self._mark(owned)
        elif not owned.guardless:
            self._release(owned)

    def forget(self, request: requests.ModelRequest) -> None:
        """Ends a request that was not accepted, so that its guard never runs it."""
        if request.request_id not in self._owned:
            return
        text = "the request was not accepted"
        unknown = refusals.Execution.UNKNOWN
        refusal = refusals.refuse(refusals.Code.CANCELLED, text, unknown).refusal
        request.finish(refusal, self._clock())
        self.changed(request)

    async def run(self) -> None:
        """Sends what is new, repeats what was lost, replaces silent guards, until cancelled."""
        next_scan = 0.0
        while True:
            now = self._clock()
            if now >= next_scan:
                next_scan = now + IDLE_SECONDS
                self._scan(now)
            wait = self.send(now)
            try:
                async with asyncio.timeout(min(wait, IDLE_SECONDS)):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()

    async def hand_over(self) -> None:
        """Gives the running requests to their guards; callers come back to those."""
        by_guard: dict[str, list[_Owned]] = {}
        for owned in self._owned.values():
            if owned.guard is not None and owned.request.end is None:
                by_guard.setdefault(owned.guard.member_id, []).append(owned)
        await asyncio.gather(*(self._give(*item) for item in by_guard.items()))

    def adopt(self, request: requests.ModelRequest, epoch: int, held: messages.Copy) -> None:
        """Owns a request that was guarded here."""
        guard = self._choose_guard(request.request_id)
        owned = self._own(request, epoch, guard, held)
        if guard is None:
            self._release(owned)

    def member_lost(self, member: str, incarnation: int) -> None:
        """Replaces a member's incarnations up to the given one as guards."""
        lost = {
            owned.guard
            for owned in self._owned.values()
            if owned.guard
            and owned.guard.member_id == member
            and owned.guard.incarnation <= incarnation
        }
        for guard in lost:
            self._replace(guard)

    def answered(self, sender: str, message: messages.Acknowledge | messages.Refuse) -> None:
        """Takes a guard's answer."""
        owned = self._owned.get(message.request_id)
        if owned is None or owned.guard is None:
            return
        owned.state.receive(sender, message)
        if owned.state.refusal == "superseded":
            self._superseded(owned)
        elif owned.state.refusal is not None:
            self._replace(owned.guard)
        else:
            self._release(owned)

    def _own(
        self,
        request: requests.ModelRequest,
        epoch: int,
        guard: owner.Guard | None,
        held: messages.Copy | None,
    ) -> _Owned:
        request.epoch = epoch
        request.guard = guard.member_id if guard else None
        description = self._describe(request)
        state = owner.OwnerRequest(request.request_id, epoch, description, guard, held)
        owned = _Owned(request, state, guard, self._session, self._clock() if guard else None)
        self._owned[request.request_id] = owned
        if guard is not None:
            self._mark(owned)
        return owned

    def _describe(self, request: requests.ModelRequest) -> bytes:
        place = self._place
        return records.describe(request, place.daemon, place.incarnation, self._session)

    def _choose_guard(self, request_id: str) -> owner.Guard | None:
        members = self._members()
        now = self._clock()
        candidates = [
            member
            for member in members.values()
            if member.state is members_module.State.ALIVE
            and member.metadata.get("draining") is None
        ]
        good = [member for member in candidates if self._avoided.get(member.id, 0.0) <= now]
        me = members[self._place.daemon]
        chosen = placement.choose_guard(request_id, good, me)
        chosen = chosen or placement.choose_guard(request_id, candidates, me)
        return owner.Guard(chosen.id, chosen.incarnation) if chosen else None

    def _mark(self, owned: _Owned) -> None:
        assert owned.guard is not None
        if owned.waiting_since is None:
            owned.waiting_since = self._clock()
        self._dirty.setdefault(owned.guard.member_id, set()).add(owned.request.request_id)
        self._wake.set()

    def send(self, now: float) -> float:
        """Sends to the guards whose interval is over; returns the seconds until the next."""
        wait = IDLE_SECONDS
        for guard in list(self._dirty):
            due = self._next_send.get(guard, 0.0)
            if due > now:
                wait = min(wait, due - now)
                continue
            self._next_send[guard] = now + BATCH_SECONDS
            self._send_batch(guard, self._dirty.pop(guard), now)
        return wait

    def _send_batch(self, guard: str, request_ids: set[str], now: float) -> None:
        batch: list[messages.Message] = []
        for request_id in request_ids:
            owned = self._owned.get(request_id)
            if owned is not None and owned.guard is not None and owned.guard.member_id == guard:
                batch += owned.state.outgoing(now)
        if batch:
            self._post(guard, messages.Batch(tuple(batch)))

    def _release(self, owned: _Owned) -> None:
        state = owned.state
        ended = state.result is not None
        owned.waiting_since = None if state.settled else self._clock()
        owned.request.release(state.acknowledged, ended)
        if ended:
            self._owned.pop(owned.request.request_id, None)

    def _superseded(self, owned: _Owned) -> None:
        """Stops a request that another daemon owns now; its callers come back to that one."""
        request = owned.request
        logging.info("request %s: another daemon owns it now", request.request_id)
        self._metrics.count("requests_superseded")
        self._owned.pop(request.request_id, None)
        self._table.discard(request.request_id)
        request.move_away()

    def _scan(self, now: float) -> None:
        """Repeats unacknowledged messages and replaces guards that stay silent."""
        silent: set[owner.Guard] = set()
        for owned in list(self._owned.values()):
            if owned.guardless:
                self._change_guard(owned)
            if owned.guard is None or owned.waiting_since is None:
                continue
            if now - owned.waiting_since > SILENT_SECONDS:
                silent.add(owned.guard)
            self._dirty.setdefault(owned.guard.member_id, set()).add(owned.request.request_id)
        for guard in silent:
            self._replace(guard)

    def _replace(self, guard: owner.Guard) -> None:
        """Asks for other guards in the place of one that is lost or silent.

        Notes
        -----
        Copies belong to the pairing session in which they were made, and the guard proposes its
        take-over by session, so each session is decided on its own.
        """
        sessions = {each.session for each in self._owned.values() if each.guard == guard}
        if self._session in sessions:
            # Copies made from now on belong to another pairing, which this decision leaves alone.
            self._session += 1
        self._avoided[guard.member_id] = self._clock() + AVOID_SECONDS
        for session in sessions:
            command = arbitration.Replace(
                self._place.daemon, session, guard.member_id, guard.incarnation
            )
            self._arbiter.decide(command, functools.partial(self._replace_decided, guard, session))

    async def _replace_decided(self, guard: owner.Guard, session: int, won: bool) -> None:
        logging.info("guard %s is replaced: %s", guard.member_id, won)
        self._metrics.count("guards_replaced")
        for owned in list(self._owned.values()):
            if owned.guard != guard or owned.session != session:
                continue
            if won:
                self._change_guard(owned)
            else:
                self._superseded(owned)

    def _change_guard(self, owned: _Owned) -> None:
        fresh = self._choose_guard(owned.request.request_id)
        if fresh is None and self._place.guard_required:
            # Nothing more is delivered without a copy elsewhere; the next scan tries again.
            owned.guard = None
            owned.guardless = True
            return
        owned.guard = fresh
        owned.guardless = False
        owned.session = self._session
        owned.request.guard = fresh.member_id if fresh else None
        owned.state.change_guard(fresh, self._describe(owned.request))
        owned.waiting_since = self._clock() if fresh else None
        if fresh is None:
            self._release(owned)
        else:
            self._mark(owned)

    async def _give(self, guard: str, owned: list[_Owned]) -> None:
        """Stops requests here and asks their guard to own them."""
        request_ids = tuple(each.request.request_id for each in owned)
        for each in owned:
            self._owned.pop(each.request.request_id, None)
            self._table.discard(each.request.request_id)
            each.request.move_away()
        payload = msgspec.msgpack.encode(HandOver(request_ids))
        try:
            await self._links.call(guard, HAND_OVER_METHOD, payload, HAND_OVER_SECONDS)
            logging.info("%d requests handed over to daemon %s", len(request_ids), guard)
        except coordination_errors.CoordinationError as error:
            # The guard takes them over once it sees this daemon leave.
            logging.warning("requests not handed over to daemon %s: %s", guard, error)
