"""Expiry of the leases in the control log, and leases that this daemon acquires and renews."""

import asyncio
import uuid
from collections.abc import Callable

from absl import logging

from coltsfoothead.coordination.lease import clocks, commands
from coltsfoothead.daemon.control import loghost, proposer

__all__ = ["ManagedLease", "expire_leases"]

EXPIRY_CHECK_SECONDS = 0.25


async def expire_leases(
    logs: loghost.LogHost, log_proposer: proposer.Proposer, clock: Callable[[], float]
) -> None:
    """Expires overdue leases while this daemon leads the control log.

    A lease is overdue once its holder must have stopped acting on it, even if its clock drifts.
    """
    expiry_tracker = clocks.LeaseExpiryTracker()
    term = 0
    while True:
        await asyncio.sleep(EXPIRY_CHECK_SECONDS)
        if loghost.CONTROL not in logs.tasks or not logs.leads(loghost.CONTROL):
            if term:
                expiry_tracker.stop_leading()
                term = 0
            continue
        state = logs.machine(loghost.CONTROL).state(commands.NAME)
        status = logs.tasks[loghost.CONTROL].status()
        if status.term != term:
            term = status.term
            expiry_tracker.start_leading(clock(), state.leases)
        for lease in state.leases:
            expiry_tracker.record_applied(clock(), lease.resource, lease)
        for command in expiry_tracker.due_expirations(clock()):
            try:
                await log_proposer.propose(loghost.CONTROL, commands.NAME, command)
            except (proposer.QuorumLostError, proposer.UnknownOutcomeError):
                break
            expiry_tracker.record_applied(clock(), command.resource, state.lease(command.resource))


class ManagedLease:
    """Acquires and renews one lease.

    Parameters
    ----------
    resource : str
        Name of the resource that the lease protects.
    holder : str
        ID of this daemon.
    incarnation : int
        Incarnation of this daemon.
    ttl_seconds : float
        Time to live of the lease.
    log_proposer : Proposer
    clock : callable
        Returns monotonic time in seconds.
    should_hold : callable, optional
        Returns whether this daemon should hold the lease now. While it returns false, the lease
        is neither acquired nor renewed, so a held one expires.
    retry_seconds : float, optional
        Pause between attempts while another daemon holds the lease; half of the time to live by
        default.
    """

    def __init__(
        self,
        resource: str,
        holder: str,
        incarnation: int,
        ttl_seconds: float,
        log_proposer: proposer.Proposer,
        clock: Callable[[], float],
        should_hold: Callable[[], bool] = lambda: True,
        retry_seconds: float | None = None,
    ) -> None:
        self._retry_seconds = ttl_seconds / 2 if retry_seconds is None else retry_seconds
        self._should_hold = should_hold
        self._resource = resource
        self._holder = holder
        self._incarnation = incarnation
        self._ttl_seconds = ttl_seconds
        self._proposer = log_proposer
        self._clock = clock
        self._lease = clocks.LeaseHolder()
        self._other_holder: str | None = None
        self._released_permanently = False

    @property
    def fence(self) -> int:
        """Fencing number of the newest grant, or 0."""
        return self._lease.fence

    @property
    def holder(self) -> str | None:
        """ID of the holder, or None if this daemon knows of none."""
        return self._holder if self.is_held() else self._other_holder

    def is_held(self) -> bool:
        """Returns whether this daemon holds the lease now."""
        return self._lease.is_held(self._clock())

    def remaining(self) -> float:
        """Returns the remaining time of this daemon's lease, in seconds."""
        return self._lease.remaining(self._clock())

    async def run(self) -> None:
        """Acquires and renews the lease until cancelled or permanently released."""
        while not self._released_permanently:
            try:
                await self._acquire_or_renew()
            except (proposer.QuorumLostError, proposer.UnknownOutcomeError) as error:
                logging.debug("lease %s not acquired or renewed: %s", self._resource, error)
            if self._released_permanently:
                # An acquisition or renewal may have completed after the release.
                await self.release()
                return
            # Every attempt to acquire a lease that another daemon holds adds an entry to the log.
            held_elsewhere = self._other_holder is not None and not self.is_held()
            pause = self._retry_seconds if held_elsewhere else self._ttl_seconds / 6
            await asyncio.sleep(pause)

    async def release(self, permanently: bool = False) -> None:
        """Releases the lease so that another daemon need not wait for its expiry.

        Parameters
        ----------
        permanently : bool
            Never acquire the lease again, for example because this daemon stops.
        """
        self._released_permanently = self._released_permanently or permanently
        if not self.is_held():
            return
        self._lease.mark_ended()
        command = commands.Release(self._resource, self._holder, self._incarnation, self.fence)
        try:
            await self._proposer.propose(loghost.CONTROL, commands.NAME, command)
        except (proposer.QuorumLostError, proposer.UnknownOutcomeError) as error:
            logging.debug("lease %s not released: %s", self._resource, error)

    async def _acquire_or_renew(self) -> None:
        if not self._should_hold():
            return
        requested_at = self._clock()
        if not self.is_held():
            command = commands.Grant(
                self._resource,
                self._holder,
                self._incarnation,
                self._ttl_seconds,
                uuid.uuid4().hex,
            )
        elif self._lease.should_renew(requested_at):
            command = commands.Renew(self._resource, self._holder, self._incarnation, self.fence)
        else:
            return
        answer = await self._proposer.propose(loghost.CONTROL, commands.NAME, command)
        match answer:
            case commands.Granted() | commands.Renewed():
                newly_granted = answer.fence != self.fence
                self._lease.extend(requested_at, answer)
                if newly_granted:
                    logging.info("lease %s acquired with fence %d", self._resource, answer.fence)
            case commands.Held(lease):
                self._other_holder = lease.holder
            case commands.NotHeld():
                self._lease.mark_ended()
