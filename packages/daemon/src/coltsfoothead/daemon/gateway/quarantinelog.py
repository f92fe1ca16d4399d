"""Keeps the quarantines of prompt parts in the control log, which outlives all processes."""

import asyncio
import dataclasses

import msgspec

from coltsfoothead.coordination import writeonce
from coltsfoothead.daemon.control import loghost, proposer
from coltsfoothead.daemon.gateway import clock, eventlog
from coltsfoothead.kernel.traffic import quarantine

__all__ = ["QuarantineLog"]

# Prefix of the registers; the rest of the key is the part's ID and the revision.
PREFIX = "quarantine/"


class _Record(msgspec.Struct, frozen=True):
    """A quarantine in a register; `ends_at` is a Unix time in seconds."""

    state: quarantine.Quarantine
    ends_at: float


class QuarantineLog:
    """Records quarantines as the leader, and reads those of earlier leaders.

    Parameters
    ----------
    logs : LogHost
    log_proposer : Proposer
    table : QuarantineTable
        Receives the quarantines that were read.
    events : EventLog
    """

    def __init__(
        self,
        logs: loghost.LogHost,
        log_proposer: proposer.Proposer,
        table: quarantine.QuarantineTable,
        events: eventlog.EventLog,
    ) -> None:
        self._logs = logs
        self._proposer = log_proposer
        self._table = table
        self._events = events
        self._wall_clock = clock.WallClock()
        self._tasks: set[asyncio.Task[None]] = set()

    def record(self, state: quarantine.Quarantine) -> None:
        """Starts to write a state; the entries keep it if the write fails."""
        task = asyncio.create_task(self._write(state))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def load(self) -> None:
        """Merges the states in the log into the table; call it after a read barrier."""
        registers = self._logs.machine(loghost.CONTROL).state(writeonce.NAME)
        now, unix_now = clock.steady(), self._wall_clock.now()
        for content in registers.read_all(PREFIX).values():
            record = msgspec.msgpack.decode(content, type=_Record)
            # A wall clock that was set back must not prolong a quarantine.
            left_seconds = min(record.ends_at - unix_now, record.state.remaining_seconds)
            if left_seconds > -quarantine.RECORD_RETENTION_SECONDS:
                state = dataclasses.replace(record.state, remaining_seconds=left_seconds)
                self._table.merge([state], now)

    async def _write(self, state: quarantine.Quarantine) -> None:
        record = _Record(state, self._wall_clock.now() + state.remaining_seconds)
        key = f"{PREFIX}{state.part_id}/{state.revision}"
        command = writeonce.Write(key, msgspec.msgpack.encode(record))
        try:
            await self._proposer.propose(loghost.CONTROL, writeonce.NAME, command)
        except (proposer.QuorumLostError, proposer.UnknownOutcomeError) as error:
            self._events.warn("quarantine_not_recorded", part=state.part_id, cause=str(error))
