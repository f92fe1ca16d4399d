"""Keeps the leases of the control log, and holds leases for this daemon."""

import asyncio
import uuid
from collections.abc import Callable

from absl import logging

from coltsfoothead.coordination.lease import clocks, commands
from coltsfoothead.daemon.control import loghost, proposer

__all__ = ["HeldLease", "keep_leases"]

KEEP_SECONDS = 0.25


async def keep_leases(
    logs: loghost.LogHost, proposals: proposer.Proposer, clock: Callable[[], float]
) -> None:
    """Ends leases whose holders have surely stopped, while this daemon leads the control log."""
    keeper = clocks.LeaseExpiryTracker()
    term = 0
    while True:
        await asyncio.sleep(KEEP_SECONDS)
        if loghost.CONTROL not in logs.tasks or not logs.leads(loghost.CONTROL):
            if term:
                keeper.stop_leading()
                term = 0
            continue
        state = logs.machine(loghost.CONTROL).state(commands.NAME)
        status = logs.tasks[loghost.CONTROL].status()
        if status.term != term:
            term = status.term
            keeper.start_leading(clock(), state.leases)
        for lease in state.leases:
            keeper.record_applied(clock(), lease.resource, lease)
        for command in keeper.due_expirations(clock()):
            try:
                await proposals.propose(loghost.CONTROL, commands.NAME, command)
            except (proposer.QuorumLostError, proposer.UnknownOutcomeError):
                break
            keeper.record_applied(clock(), command.resource, state.lease(command.resource))


class HeldLease:
    """Acquires and renews one lease.

    Parameters
    ----------
    resource : str
    holder : str
        This daemon.
    incarnation : int
    ttl_seconds : float
    proposals : Proposer
    clock : callable
    wanted : callable, optional
        Returns whether this daemon should hold the lease now; a held one runs out otherwise.
    retry_seconds : float, optional
        Pause between tries while another holds it; half of its time to live by default.
    """

    def __init__(
        self,
        resource: str,
        holder: str,
        incarnation: int,
        ttl_seconds: float,
        proposals: proposer.Proposer,
        clock: Callable[[], float],
        wanted: Callable[[], bool] = lambda: True,
        retry_seconds: float | None = None,
    ) -> None:
        self._retry_seconds = ttl_seconds / 2 if retry_seconds is None else retry_seconds
        self._wanted = wanted
        self._resource = resource
        self._holder = holder
        self._incarnation = incarnation
        self._ttl_seconds = ttl_seconds
        self._proposals = proposals
        self._clock = clock
        self._lease = clocks.LeaseHolder()
        self._other: str | None = None
        self._closed = False

    @property
    def fence(self) -> int:
        """Fencing number of the newest grant, or 0."""
        return self._lease.fence

    @property
    def holder(self) -> str | None:
        """Who holds the lease as far as this daemon knows."""
        return self._holder if self.held() else self._other

    def held(self) -> bool:
        """Returns whether this daemon may act now."""
        return self._lease.is_held(self._clock())

    def remaining(self) -> float:
        """Returns the seconds for which this daemon may act."""
        return self._lease.remaining(self._clock())

    async def run(self) -> None:
        """Tries to hold the lease until cancelled or released for good."""
        while not self._closed:
            try:
                await self._step()
            except (proposer.QuorumLostError, proposer.UnknownOutcomeError) as error:
                logging.debug("lease %s: %s", self._resource, error)
            if self._closed:
                # The step may have been under way when the lease was released.
                await self.release()
                return
            # Each try to take a lease that another holds costs an entry of the log.
            waiting = self._other is not None and not self.held()
            pause = self._retry_seconds if waiting else self._ttl_seconds / 6
            await asyncio.sleep(pause)

    async def release(self, for_good: bool = False) -> None:
        """Gives the lease back so that another daemon need not wait for its end.

        Parameters
        ----------
        for_good : bool
            Do not take it again, for example because this daemon stops.
        """
        self._closed = self._closed or for_good
        if not self.held():
            return
        self._lease.mark_ended()
        command = commands.Release(self._resource, self._holder, self._incarnation, self.fence)
        try:
            await self._proposals.propose(loghost.CONTROL, commands.NAME, command)
        except (proposer.QuorumLostError, proposer.UnknownOutcomeError) as error:
            logging.debug("lease %s not released: %s", self._resource, error)

    async def _step(self) -> None:
        if not self._wanted():
            return
        asked_at = self._clock()
        if not self.held():
            command = commands.Grant(
                self._resource,
                self._holder,
                self._incarnation,
                self._ttl_seconds,
                uuid.uuid4().hex,
            )
        elif self._lease.should_renew(asked_at):
            command = commands.Renew(self._resource, self._holder, self._incarnation, self.fence)
        else:
            return
        answer = await self._proposals.propose(loghost.CONTROL, commands.NAME, command)
        match answer:
            case commands.Granted() | commands.Renewed():
                fresh = answer.fence != self.fence
                self._lease.extend(asked_at, answer)
                if fresh:
                    logging.info("lease %s held with fence %d", self._resource, answer.fence)
            case commands.Held(lease):
                self._other = lease.holder
            case commands.NotHeld():
                self._lease.mark_ended()
