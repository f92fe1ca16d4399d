"""Arbitration between the owner of a request and its guard through the control log."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from absl import logging

from coltsfoothead.coordination import arbitration
from coltsfoothead.daemon.control import loghost, proposer

__all__ = ["Arbiter"]

RETRY_DELAY_SECONDS = 0.5


class Arbiter:
    """Proposes arbitration commands until the control log has decided them.

    A command that is already being proposed is not proposed a second time.

    Parameters
    ----------
    log_proposer : Proposer
    """

    def __init__(self, log_proposer: proposer.Proposer) -> None:
        self._proposer = log_proposer
        self._tasks: dict[msgspec.Struct, asyncio.Task[None]] = {}

    def decide(
        self, command: msgspec.Struct, on_decided: Callable[[bool], Awaitable[None]]
    ) -> None:
        """Proposes a command and calls `on_decided` with whether it won.

        Does nothing if the same command is still undecided.
        """
        if command in self._tasks:
            return
        task = asyncio.get_running_loop().create_task(
            self._propose_until_decided(command, on_decided)
        )
        self._tasks[command] = task
        task.add_done_callback(lambda _: self._tasks.pop(command, None))

    async def stop(self) -> None:
        """Cancels the proposals that are still undecided."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _propose_until_decided(
        self, command: msgspec.Struct, on_decided: Callable[[bool], Awaitable[None]]
    ) -> None:
        while True:
            try:
                answer = await self._proposer.propose(loghost.CONTROL, arbitration.NAME, command)
                break
            except (proposer.QuorumLostError, proposer.UnknownOutcomeError) as error:
                logging.info("arbitration command not decided yet, retrying: %s", error)
                await asyncio.sleep(RETRY_DELAY_SECONDS)
        won = isinstance(answer, arbitration.Decided) and answer.won
        try:
            await on_decided(won)
        except Exception:
            logging.exception("failed to apply the decision on %r", command)
