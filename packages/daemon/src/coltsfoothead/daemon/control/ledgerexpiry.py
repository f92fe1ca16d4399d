"""Expiry of old ledger records, proposed by the daemon that leads the ledger's log."""

import asyncio
import time

from coltsfoothead.coordination.ledger import commands
from coltsfoothead.daemon.control import loghost, proposer

__all__ = ["expire_ledger_records"]

EXPIRE_INTERVAL_SECONDS = 60.0


async def expire_ledger_records(logs: loghost.LogHost, log_proposer: proposer.Proposer) -> None:
    """Proposes `Expire` once a minute, and again at once while more records are due."""
    while True:
        await asyncio.sleep(EXPIRE_INTERVAL_SECONDS)
        more = loghost.LEDGER in logs.tasks and logs.leads(loghost.LEDGER)
        while more:
            command = commands.Expire(time.time_ns() // 1_000_000)
            try:
                answer = await log_proposer.propose(loghost.LEDGER, commands.NAME, command)
            except (proposer.QuorumLostError, proposer.UnknownOutcomeError):
                break
            more = isinstance(answer, commands.Expired) and answer.more
