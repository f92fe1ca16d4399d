"""Periodic exchange with the control leader, by entries and by control followers."""

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

__all__ = ["LeaderSync", "interval_seconds"]

# Bounds of the interval between exchanges. If loads are older than the processing time of a long
# prompt, 0.2 s, several entries choose the same upstream. Changes must be in force within seconds.
MIN_INTERVAL_SECONDS = 0.15
MAX_INTERVAL_SECONDS = 0.5
# Exchanges per second of all entries together; bounds the load of the leader.
MAX_EXCHANGES_PER_SECOND = 250.0
# An answer takes one round trip between regions; if it is late, the next process is tried.
SYNC_TIMEOUT_SECONDS = 0.7
# Time-out for a process that is not known to lead, ten round trips between regions. After a restart
# of all processes the target may still be starting, and a lost first packet costs a second.
SEARCH_TIMEOUT_SECONDS = 0.25
# An answer that took longer arrived while this process was suspended. Its loads, shares and ages
# are no longer true; documents and the directory are numbered, and the lease counts from the poll.
MAX_ANSWER_AGE_SECONDS = 1.0
# Pause after all processes were tried and none answered as leader.
RETRY_SECONDS = 0.1


def interval_seconds(entries: int) -> float:
    """Returns the seconds between two exchanges of one entry, for a number of entries."""
    return min(MAX_INTERVAL_SECONDS, max(MIN_INTERVAL_SECONDS, entries / MAX_EXCHANGES_PER_SECOND))


class LeaderSync:
    """Sends reports to the leader and applies its answers.

    Parameters
    ----------
    link : LeaderLink
    documents : DocumentCopy
    directory_copy : DirectoryCopy
    build_report : callable
        Returns the report for a poll of the document.
    on_answer : callable
        Called with every answer of the leader.
    events : EventLog
    metrics : Metrics
    """

    def __init__(
        self,
        link: leaderlink.LeaderLink,
        documents: documentcopy.DocumentCopy,
        directory_copy: directory.DirectoryCopy,
        build_report: Callable[..., exchange.Report],
        on_answer: Callable[[exchange.Answer], None],
        events: eventlog.EventLog,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._link = link
        self._documents = documents
        self._directory = directory_copy
        self._build_report = build_report
        self._on_answer = on_answer
        self._events = events
        self._metrics = metrics
        self._connected = False
        self._interval_seconds = MIN_INTERVAL_SECONDS

    async def run(self, is_active: Callable[[], bool] = lambda: True) -> None:
        """Exchanges reports until cancelled; pauses while `is_active` returns False."""
        while True:
            started_at = clock.steady()
            synced = not is_active() or await self._sync_with_leader()
            if synced != self._connected:
                self._connected = synced
                self._events.write("leader_reached" if synced else "leader_unreachable")
            pause = (
                self._interval_seconds - (clock.steady() - started_at) if synced else RETRY_SECONDS
            )
            await asyncio.sleep(max(0.0, pause))

    async def _sync_with_leader(self) -> bool:
        """Sends a report to the processes that may lead; returns whether one answered as leader."""
        targets = self._link.targets()
        tried: set[str] = set()
        while targets:
            target = targets.pop(0)
            tried.add(target)
            sent_at = clock.steady()
            answer = await self._exchange(target, sent_at)
            match answer:
                case exchange.Answer():
                    self._link.set_leader(target)
                    self._link.set_controls(answer.controls)
                    self._documents.receive(answer.poll)
                    self._directory.receive(answer.directory, sent_at)
                    self._interval_seconds = interval_seconds(answer.entries)
                    age_seconds = clock.steady() - sent_at
                    if age_seconds <= MAX_ANSWER_AGE_SECONDS:
                        self._on_answer(answer)
                    else:
                        self._events.write("answer_stale", seconds=round(age_seconds, 2))
                    return True
                case exchange.NotLeading(leader=leader) if leader and leader not in tried:
                    self._link.set_leader(leader)
                    targets.insert(0, leader)
        return False

    async def _exchange(
        self, target: str, sent_at: float
    ) -> exchange.Answer | exchange.NotLeading | None:
        report = self._build_report(self._documents.poll(sent_at), self._directory.version)
        timeout_seconds = (
            SYNC_TIMEOUT_SECONDS if target == self._link.leader else SEARCH_TIMEOUT_SECONDS
        )
        try:
            data = await self._link.call(
                target, exchange.SYNC, exchange.encode(report), timeout_seconds
            )
            answer = exchange.decode_answer(data)
        except (leaderlink.LeaderUnreachableError, msgspec.MsgspecError) as error:
            self._metrics.count("exchanges_failed")
            self._events.write("exchange_failed", target=target, cause=str(error))
            return None
        self._metrics.record("exchange_us", (clock.steady() - sent_at) * 1e6)
        return answer
