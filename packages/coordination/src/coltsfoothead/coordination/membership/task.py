"""Asyncio task that runs the failure detector over the transport links."""

import asyncio
import logging
import time

import msgspec

from coltsfoothead.coordination import errors
from coltsfoothead.coordination.membership import members

__all__ = ["ADDRESS_PREFIX", "CHANNEL", "Membership", "MembershipError", "SupersededError"]

CHANNEL = "swim"
ADDRESS_PREFIX = "@"
"""Prefix of the peer ID of a member known by address only; equal to that of `transport.links`."""

_MAX_INBOX_MESSAGES = 4096
_LOG = logging.getLogger(__name__)


class MembershipError(errors.CoordinationError):
    """Base class of the membership errors."""


class SupersededError(MembershipError):
    """Another process runs under this member's ID with a higher incarnation."""


class Membership:
    """Runs a detector over links and publishes membership changes.

    Parameters
    ----------
    links : transport.links.Links
        Started links; this task sets their peers.
    detector : swim.Detector
        Detector of this process; its local record contains the address that peers connect to.
    seeds : Sequence[str]
        Addresses of members that answer `Join`.
    clock : Callable[[], float], optional
        Monotonic time in seconds.

    Examples
    --------
    See ``packages/coordination/examples/membership.py``.
    """

    def __init__(self, links, detector, seeds=(), clock=time.monotonic):
        self._links = links
        self._detector = detector
        self._seeds = tuple(seeds)
        self._clock = clock
        self._inbox = asyncio.Queue(_MAX_INBOX_MESSAGES)
        self._subscribers = []
        self._peers = None
        self._task = None
        self.dropped_messages = 0

    @property
    def members(self):
        """Read-only mapping of the known records by member ID."""
        return self._detector.members

    def start(self):
        """Starts and returns the task; it raises `SupersededError` if this member is superseded."""
        self._links.on(CHANNEL, self._receive)
        self._set_peers()
        self._task = asyncio.create_task(self._run())
        return self._task

    async def stop(self):
        """Stops the task without announcing a leave."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def leave(self):
        """Stops the task and announces the leave; `Links.stop` flushes the queued messages."""
        await self.stop()
        self._apply(self._detector.leave(self._clock()))

    def subscribe(self):
        """Returns a queue that receives every subsequent `effects.Change`."""
        queue = asyncio.Queue()
        self._subscribers.append(queue)
        return queue

    def unsubscribe(self, queue):
        """Ends a subscription."""
        self._subscribers.remove(queue)

    def update(self, **fields):
        """Changes fields of the local member's record, for example ``metadata``."""
        self._apply(self._detector.update(self._clock(), **fields))

    def _receive(self, sender, payload):
        try:
            self._inbox.put_nowait((sender, payload))
        except asyncio.QueueFull:
            self.dropped_messages += 1

    async def _run(self):
        wake_at = self._apply(self._detector.join(self._seeds, self._clock()))
        while True:
            if self._clock() >= wake_at:
                # Runs before the inbox is read, so that a full inbox cannot delay the timers.
                wake_at = self._apply(self._detector.tick(self._clock()))
            try:
                async with asyncio.timeout(max(0.0, wake_at - self._clock())):
                    sender, payload = await self._inbox.get()
            except TimeoutError:
                continue
            try:
                message = members.decode(payload)
            except msgspec.MsgspecError as error:
                _LOG.warning("message from member %s cannot be decoded: %s", sender, error)
                continue
            effects = self._detector.receive(sender, message, self._clock())
            wake_at = self._apply(effects)

    def _apply(self, effects):
        """Carries out effects and returns when the next tick is due."""
        if effects.superseded:
            local = self._detector.local_member
            raise SupersededError(
                f"member {local.id} runs with a higher incarnation than {local.incarnation}"
            )
        if effects.changes:
            self._set_peers()
        for outgoing in effects.messages:
            target = outgoing.to or ADDRESS_PREFIX + outgoing.address
            try:
                self._links.send(target, CHANNEL, members.encode(outgoing.message))
            except errors.CoordinationError as error:
                _LOG.debug("message to member %s was not sent: %s", target, error)
        for change in effects.changes:
            _LOG.info(
                "member %s of zone %s is %s",
                change.member.id,
                change.member.zone,
                change.member.state.name.lower(),
            )
            for queue in self._subscribers:
                queue.put_nowait(change)
        return effects.wake_at

    def _set_peers(self):
        """Sets the peer addresses of the links; dead members are included, as they may return."""
        peers = {
            member.id: member.address
            for member in self._detector.members.values()
            if member.state is not members.State.LEFT
            and member.id != self._detector.local_member.id
        }
        if not any(self._is_reachable(member_id) for member_id in peers):
            seeds = [seed for seed in self._seeds if seed != self._detector.local_member.address]
            peers |= {ADDRESS_PREFIX + seed: seed for seed in seeds}
        if peers != self._peers:
            self._peers = peers
            self._links.set_peers(peers)

    def _is_reachable(self, member_id):
        return self._detector.members[member_id].state <= members.State.SUSPECT
