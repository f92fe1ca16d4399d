"""Keeps a process that does not lead up to date with the leader."""

import asyncio
from collections.abc import Callable

import msgspec

from coltsfoothead.daemon import metrics as metrics_module
from coltsfoothead.daemon.gateway import (
    clock,
    directory,
    documentcopy,
    eventlog,
    exchange,
    leaderlink,
)

__all__ = ["Following", "interval_seconds"]

# Bounds of the interval of the exchanges. Loads that are older than the time in which a long prompt
# is read, 0.2 s, send several entries to one upstream; changes must be in force within seconds.
SHORTEST_SECONDS = 0.15
LONGEST_SECONDS = 0.5
# Exchanges of all entries per second that bound the work of the leader.
EXCHANGES_PER_SECOND = 250.0
# An answer takes one round trip between regions; a process that does not answer is passed over.
SYNC_TIMEOUT_SECONDS = 0.7
# The same while no leader is known: after a restart of all, the asked process may start only now,
# and a lost first packet costs a second. Ten round trips between regions.
SEARCH_TIMEOUT_SECONDS = 0.25
# Pause after a round in which no process answered as leader.
RETRY_SECONDS = 0.1


def interval_seconds(entries: int) -> float:
    """Returns the interval at which each of a number of entries exchanges reports."""
    return min(LONGEST_SECONDS, max(SHORTEST_SECONDS, entries / EXCHANGES_PER_SECOND))


class Following:
    """Exchanges reports with the leader.

    Parameters
    ----------
    link : LeaderLink
    documents : DocumentCopy
    copy : DirectoryCopy
    report : callable
        Returns the report for a poll of the document.
    taken : callable
        Told of every answer of the leader.
    events : EventLog
    metrics : Metrics
    """

    def __init__(
        self,
        link: leaderlink.LeaderLink,
        documents: documentcopy.DocumentCopy,
        copy: directory.DirectoryCopy,
        report: Callable[..., exchange.Report],
        taken: Callable[[exchange.Answer], None],
        events: eventlog.EventLog,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._link = link
        self._documents = documents
        self._copy = copy
        self._report = report
        self._taken = taken
        self._events = events
        self._metrics = metrics
        self._connected = False
        self._interval_seconds = SHORTEST_SECONDS

    async def run(self, active: Callable[[], bool] = lambda: True) -> None:
        """Exchanges reports while `active`, until cancelled."""
        while True:
            began = clock.steady()
            synced = not active() or await self._sync()
            if synced != self._connected:
                self._connected = synced
                self._events.write("leader_reached" if synced else "leader_unreachable")
            pause = self._interval_seconds - (clock.steady() - began) if synced else RETRY_SECONDS
            await asyncio.sleep(max(0.0, pause))

    async def _sync(self) -> bool:
        """Tries the processes that may lead; returns whether one answered as leader."""
        targets = self._link.targets()
        tried: set[str] = set()
        while targets:
            target = targets.pop(0)
            tried.add(target)
            answer = await self._ask(target)
            match answer:
                case exchange.Answer():
                    self._link.set_leader(target)
                    self._link.set_controls(answer.controls)
                    self._documents.receive(answer.poll)
                    self._copy.receive(answer.directory)
                    self._interval_seconds = interval_seconds(answer.entries)
                    self._taken(answer)
                    return True
                case exchange.NotLeading(leader=leader) if leader and leader not in tried:
                    self._link.set_leader(leader)
                    targets.insert(0, leader)
        return False

    async def _ask(self, target: str) -> exchange.Answer | exchange.NotLeading | None:
        asked_at = clock.steady()
        report = self._report(self._documents.poll(asked_at), self._copy.version)
        timeout = SYNC_TIMEOUT_SECONDS if target == self._link.leader else SEARCH_TIMEOUT_SECONDS
        try:
            data = await self._link.call(target, exchange.SYNC, exchange.encode(report), timeout)
            answer = exchange.decode_answer(data)
        except (leaderlink.LeaderUnreachableError, msgspec.MsgspecError) as error:
            self._metrics.count("exchanges_failed")
            self._events.write("exchange_failed", target=target, cause=str(error))
            return None
        self._metrics.record("exchange_us", (clock.steady() - asked_at) * 1e6)
        return answer
