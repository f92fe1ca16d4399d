"""Decisions between owner and guard through the control log."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from absl import logging

from coltsfoothead.coordination import arbitration
from coltsfoothead.daemon.control import loghost, proposer

__all__ = ["Arbiter"]

RETRY_SECONDS = 0.5


class Arbiter:
    """Proposes decisions until the control log answers, each one once at a time.

    Parameters
    ----------
    proposals : Proposer
    """

    def __init__(self, proposals: proposer.Proposer) -> None:
        self._proposals = proposals
        self._tasks: dict[msgspec.Struct, asyncio.Task[None]] = {}

    def decide(self, command: msgspec.Struct, decided: Callable[[bool], Awaitable[None]]) -> None:
        """Calls `decided` with whether the proposal won, unless it is being decided already."""
        if command in self._tasks:
            return
        task = asyncio.get_running_loop().create_task(self._decide(command, decided))
        self._tasks[command] = task
        task.add_done_callback(lambda _: self._tasks.pop(command, None))

    async def stop(self) -> None:
        """Cancels what is undecided."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _decide(
        self, command: msgspec.Struct, decided: Callable[[bool], Awaitable[None]]
    ) -> None:
        while True:
            try:
                answer = await self._proposals.propose(loghost.CONTROL, arbitration.NAME, command)
                break
            except (proposer.QuorumLostError, proposer.UnknownOutcomeError) as error:
                logging.info("arbitration is waiting: %s", error)
                await asyncio.sleep(RETRY_SECONDS)
        won = isinstance(answer, arbitration.Decided) and answer.won
        try:
            await decided(won)
        except Exception:
            logging.exception("decision %r could not be carried out", command)
