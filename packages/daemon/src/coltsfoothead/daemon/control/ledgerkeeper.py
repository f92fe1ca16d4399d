"""Lets the ledger forget old records, from the daemon that leads its log."""

import asyncio
import time

from coltsfoothead.coordination.ledger import commands
from coltsfoothead.daemon.control import loghost, proposer

__all__ = ["keep_ledger"]

EXPIRE_SECONDS = 60.0


async def keep_ledger(logs: loghost.LogHost, proposals: proposer.Proposer) -> None:
    """Proposes `Expire` once a minute, and again at once while there is more to expire."""
    while True:
        await asyncio.sleep(EXPIRE_SECONDS)
        more = loghost.LEDGER in logs.tasks and logs.leads(loghost.LEDGER)
        while more:
            command = commands.Expire(time.time_ns() // 1_000_000)
            try:
                answer = await proposals.propose(loghost.LEDGER, commands.NAME, command)
            except (proposer.QuorumLostError, proposer.UnknownOutcomeError):
                break
            more = isinstance(answer, commands.Expired) and answer.more
