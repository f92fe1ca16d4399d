"""Owner side of replication: copies each accepted request to a guard in another zone."""

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

__all__ = ["HAND_OVER_METHOD", "HandOver", "OwnerSettings", "OwnerSide"]

HAND_OVER_METHOD = "guard.hand_over"
# Each guard gets at most one batch in this time, with the new tokens of all its requests.
BATCH_INTERVAL_SECONDS = 0.01
SCAN_INTERVAL_SECONDS = 0.1
FIRST_COPY_TIMEOUT_SECONDS = 1.0
# A guard that acknowledges nothing for this long is replaced, even if the membership sees it alive.
GUARD_SILENCE_TIMEOUT_SECONDS = 3.0
# A replaced guard is chosen again within this time only if there is no other.
GUARD_AVOIDANCE_SECONDS = 30.0
HAND_OVER_TIMEOUT_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerSettings:
    """Identity of this daemon, and whether it may accept requests only with a guard."""

    daemon_id: str
    incarnation: int
    guard_required: bool


@dataclasses.dataclass(slots=True)
class _Owned:
    """A request that this daemon owns, with its replication state.

    Attributes
    ----------
    request : ModelRequest
    state : OwnerRequest
    guard : Guard or None
        None if no guard could be chosen.
    session : int
        Number of the pairing session in which the copy was made; it grows with each replaced guard.
    unacknowledged_since : float or None
        Monotonic time since which the guard has acknowledged nothing new, or None if nothing is
        unacknowledged.
    awaiting_guard : bool
        Whether delivery is stopped until a new guard can be chosen.
    """

    request: requests.ModelRequest
    state: owner.OwnerRequest
    guard: owner.Guard | None
    session: int
    unacknowledged_since: float | None = None
    awaiting_guard: bool = False


class HandOver(msgspec.Struct, frozen=True):
    """Asks the guard to take ownership of requests that their owner has stopped."""

    request_ids: tuple[str, ...]


class OwnerSide:
    """Replicates the requests that this daemon owns.

    Parameters
    ----------
    settings : OwnerSettings
    links : Links
    post : callable
        Sends a batch to a guard without waiting for an answer.
    members : callable
        Returns the member records by ID.
    request_arbiter : Arbiter
    table : RequestTable
    metrics : Metrics
    clock : callable
        Monotonic seconds.
    """

    def __init__(
        self,
        settings: OwnerSettings,
        links: links_module.Links,
        post: Callable[[str, messages.Batch], None],
        members: Callable[[], Mapping[str, members_module.Member]],
        request_arbiter: arbiter.Arbiter,
        table: requests.RequestTable,
        metrics: metrics_module.Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._links = links
        self._post = post
        self._members = members
        self._arbiter = request_arbiter
        self._table = table
        self._metrics = metrics
        self._clock = clock
        self._owned: dict[str, _Owned] = {}
        self._dirty: dict[str, set[str]] = {}
        self._next_send: dict[str, float] = {}
        self._wake = asyncio.Event()
        # Monotonic times until which recently replaced guards are avoided, by member ID.
        self._avoided_until: dict[str, float] = {}
        self._session = settings.incarnation

    async def create_copy(self, request: requests.ModelRequest) -> None:
        """Waits until a guard holds a copy of a new request.

        Raises
        ------
        RefusedError
            If no guard holds a copy. The execution is `not_run` if nothing was sent to a guard,
            else `unknown`.
        """
        guard = self._choose_guard(request.request_id)
        if guard is None:
            if self._settings.guard_required:
                text = "no daemon in another zone can keep a copy of the request"
                raise refusals.refuse(refusals.Code.NO_GUARD, text)
            self._add_owned(request, 1, None, None)
            return
        owned = self._add_owned(request, 1, guard, None)
        deadline = self._clock() + FIRST_COPY_TIMEOUT_SECONDS
        while not owned.state.accepted and self._clock() < deadline:
            await request.wait_for_change(deadline - self._clock())
        if not owned.state.accepted:
            text = f"daemon {guard.member_id!r} did not confirm its copy of the request"
            unknown = refusals.Execution.UNKNOWN
            raise refusals.refuse(refusals.Code.NO_GUARD, text, unknown)

    def request_changed(self, request: requests.ModelRequest) -> None:
        """Replicates new tokens and the end of a request.

        Without a guard they are released at once, unless the request waits for a new guard.
        """
        owned = self._owned.get(request.request_id)
        if owned is None:
            return
        state = owned.state
        while state.attempt < request.attempt and not state.ended:
            state.start_attempt()
        for text in request.tokens[state.chunk_count :]:
            state.append(state.attempt, messages.Chunk(text.encode(), 1))
        if request.end is not None:
            state.finish(state.attempt, records.encode_end(request.end))
        if owned.guard is not None:
            self._mark_dirty(owned)
        elif not owned.awaiting_guard:
            self._release_acknowledged(owned)

    def discard_copy(self, request: requests.ModelRequest) -> None:
        """Ends a request that was not accepted, so that its guard never runs it."""
        if request.request_id not in self._owned:
            return
        text = "the request was not accepted"
        unknown = refusals.Execution.UNKNOWN
        refusal = refusals.refuse(refusals.Code.CANCELLED, text, unknown).refusal
        request.finish(refusal, self._clock())
        self.request_changed(request)

    async def run(self) -> None:
        """Sends batches, resends lost messages and replaces silent guards, until cancelled."""
        next_scan = 0.0
        while True:
            now = self._clock()
            if now >= next_scan:
                next_scan = now + SCAN_INTERVAL_SECONDS
                self._scan(now)
            wait = self.send(now)
            try:
                async with asyncio.timeout(min(wait, SCAN_INTERVAL_SECONDS)):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()

    async def hand_over(self) -> None:
        """Hands the running requests over to their guards, to which the callers then reconnect."""
        by_guard: dict[str, list[_Owned]] = {}
        for owned in self._owned.values():
            if owned.guard is not None and owned.request.end is None:
                by_guard.setdefault(owned.guard.member_id, []).append(owned)
        await asyncio.gather(*(self._hand_over_to(*item) for item in by_guard.items()))

    def take_ownership(
        self, request: requests.ModelRequest, epoch: int, copy: messages.Copy
    ) -> None:
        """Makes this daemon the owner of a request that it guarded."""
        guard = self._choose_guard(request.request_id)
        owned = self._add_owned(request, epoch, guard, copy)
        if guard is None:
            self._release_acknowledged(owned)

    def member_lost(self, member: str, incarnation: int) -> None:
        """Replaces a lost member as guard, in all its incarnations up to the given one."""
        lost = {
            owned.guard
            for owned in self._owned.values()
            if owned.guard
            and owned.guard.member_id == member
            and owned.guard.incarnation <= incarnation
        }
        for guard in lost:
            self._propose_replacement(guard)

    def receive(self, sender: str, message: messages.Acknowledge | messages.Refuse) -> None:
        """Handles the answer of a guard to a copy or an append."""
        owned = self._owned.get(message.request_id)
        if owned is None or owned.guard is None:
            return
        owned.state.receive(sender, message)
        if owned.state.refusal_reason == "superseded":
            self._stop_superseded(owned)
        elif owned.state.refusal_reason is not None:
            self._propose_replacement(owned.guard)
        else:
            self._release_acknowledged(owned)

    def _add_owned(
        self,
        request: requests.ModelRequest,
        epoch: int,
        guard: owner.Guard | None,
        copy: messages.Copy | None,
    ) -> _Owned:
        request.epoch = epoch
        request.guard = guard.member_id if guard else None
        description = self._describe(request)
        state = owner.OwnerRequest(request.request_id, epoch, description, guard, copy)
        owned = _Owned(request, state, guard, self._session, self._clock() if guard else None)
        self._owned[request.request_id] = owned
        if guard is not None:
            self._mark_dirty(owned)
        return owned

    def _describe(self, request: requests.ModelRequest) -> bytes:
        settings = self._settings
        return records.encode_description(
            request, settings.daemon_id, settings.incarnation, self._session
        )

    def _choose_guard(self, request_id: str) -> owner.Guard | None:
        members = self._members()
        now = self._clock()
        candidates = [
            member
            for member in members.values()
            if member.state is members_module.State.ALIVE
            and member.metadata.get("draining") is None
        ]
        preferred = [
            member for member in candidates if self._avoided_until.get(member.id, 0.0) <= now
        ]
        own_member = members[self._settings.daemon_id]
        chosen = placement.choose_guard(request_id, preferred, own_member)
        chosen = chosen or placement.choose_guard(request_id, candidates, own_member)
        return owner.Guard(chosen.id, chosen.incarnation) if chosen else None

    def _mark_dirty(self, owned: _Owned) -> None:
        assert owned.guard is not None
        if owned.unacknowledged_since is None:
            owned.unacknowledged_since = self._clock()
        self._dirty.setdefault(owned.guard.member_id, set()).add(owned.request.request_id)
        self._wake.set()

    def send(self, now: float) -> float:
        """Sends the batches that are due; returns the seconds until the next one."""
        wait = SCAN_INTERVAL_SECONDS
        for guard in list(self._dirty):
            due = self._next_send.get(guard, 0.0)
            if due > now:
                wait = min(wait, due - now)
                continue
            self._next_send[guard] = now + BATCH_INTERVAL_SECONDS
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

    def _release_acknowledged(self, owned: _Owned) -> None:
        state = owned.state
        ended = state.result is not None
        owned.unacknowledged_since = None if state.fully_acknowledged else self._clock()
        owned.request.release(state.deliverable_count, ended)
        if ended:
            self._owned.pop(owned.request.request_id, None)

    def _stop_superseded(self, owned: _Owned) -> None:
        """Stops a request that another daemon owns now, to which its callers then reconnect."""
        request = owned.request
        logging.info("request %s: stopped because another daemon owns it now", request.request_id)
        self._metrics.count("requests_superseded")
        self._owned.pop(request.request_id, None)
        self._table.discard(request.request_id)
        request.move_away()

    def _scan(self, now: float) -> None:
        """Marks unacknowledged requests for resending and replaces silent guards."""
        silent: set[owner.Guard] = set()
        for owned in list(self._owned.values()):
            if owned.awaiting_guard:
                self._change_guard(owned)
            if owned.guard is None or owned.unacknowledged_since is None:
                continue
            if now - owned.unacknowledged_since > GUARD_SILENCE_TIMEOUT_SECONDS:
                silent.add(owned.guard)
            self._dirty.setdefault(owned.guard.member_id, set()).add(owned.request.request_id)
        for guard in silent:
            self._propose_replacement(guard)

    def _propose_replacement(self, guard: owner.Guard) -> None:
        """Proposes to replace a guard that is lost or silent.

        Notes
        -----
        Each copy belongs to the pairing session in which it was made. The guard proposes to take
        over per session, so the owner proposes the replacement per session as well.
        """
        sessions = {each.session for each in self._owned.values() if each.guard == guard}
        if self._session in sessions:
            # Later copies belong to a new session, which this decision does not affect.
            self._session += 1
        self._avoided_until[guard.member_id] = self._clock() + GUARD_AVOIDANCE_SECONDS
        for session in sessions:
            command = arbitration.Replace(
                self._settings.daemon_id, session, guard.member_id, guard.incarnation
            )
            self._arbiter.decide(
                command, functools.partial(self._apply_replacement, guard, session)
            )

    async def _apply_replacement(self, guard: owner.Guard, session: int, won: bool) -> None:
        logging.info("replacement of guard %s decided: won=%s", guard.member_id, won)
        self._metrics.count("guards_replaced")
        for owned in list(self._owned.values()):
            if owned.guard != guard or owned.session != session:
                continue
            if won:
                self._change_guard(owned)
            else:
                self._stop_superseded(owned)

    def _change_guard(self, owned: _Owned) -> None:
        new_guard = self._choose_guard(owned.request.request_id)
        if new_guard is None and self._settings.guard_required:
            # Without a copy in another zone nothing more is delivered. The next scan tries again.
            owned.guard = None
            owned.awaiting_guard = True
            return
        owned.guard = new_guard
        owned.awaiting_guard = False
        owned.session = self._session
        owned.request.guard = new_guard.member_id if new_guard else None
        owned.state.change_guard(new_guard, self._describe(owned.request))
        owned.unacknowledged_since = self._clock() if new_guard else None
        if new_guard is None:
            self._release_acknowledged(owned)
        else:
            self._mark_dirty(owned)

    async def _hand_over_to(self, guard: str, owned: list[_Owned]) -> None:
        """Stops requests here and asks their guard to take ownership of them."""
        request_ids = tuple(each.request.request_id for each in owned)
        for each in owned:
            self._owned.pop(each.request.request_id, None)
            self._table.discard(each.request.request_id)
            each.request.move_away()
        payload = msgspec.msgpack.encode(HandOver(request_ids))
        try:
            await self._links.call(guard, HAND_OVER_METHOD, payload, HAND_OVER_TIMEOUT_SECONDS)
            logging.info("handed %d requests over to daemon %s", len(request_ids), guard)
        except coordination_errors.CoordinationError as error:
            # The guard takes the requests over once the membership reports this daemon as left.
            logging.warning("failed to hand requests over to daemon %s: %s", guard, error)
