"""Begins and ends this process's terms as leader, and answers reports while it leads."""

import asyncio
from collections.abc import Callable

from coltsfoothead.coordination import configuration
from coltsfoothead.coordination import errors as coordination_errors
from coltsfoothead.coordination.configuration import lease
from coltsfoothead.daemon.control import loghost
from coltsfoothead.daemon.gateway import (
    clock,
    directory,
    documentcopy,
    eventlog,
    exchange,
    leadership,
    planbook,
)
from coltsfoothead.kernel.traffic import quota

__all__ = ["TermKeeper"]

STEP_SECONDS = 0.1
# Interval of the rounds that confirm the leader, and thereby the lease on the document.
CONFIRM_SECONDS = 0.3
CONFIRM_TIMEOUT_SECONDS = 1.0


class TermKeeper:
    """Keeps the state of the present term.

    Parameters
    ----------
    logs : LogHost
    documents : DocumentCopy
    copy : DirectoryCopy
    replica : str
    interval_seconds : float
        Of the upstreams' announcements.
    lease_seconds : float
        Length of the lease on the document.
    usage_seconds : float
        How long the usage of a silent entry is kept.
    tolerance : Tolerance
        Of the quotas.
    controls : callable
        Returns the peer addresses of the live control processes.
    plans : PlanBook
    events : EventLog
    """

    def __init__(
        self,
        logs: loghost.LogHost,
        documents: documentcopy.DocumentCopy,
        copy: directory.DirectoryCopy,
        replica: str,
        interval_seconds: float,
        lease_seconds: float,
        usage_seconds: float,
        tolerance: quota.Tolerance,
        controls: Callable[[], list[str]],
        plans: planbook.PlanBook,
        events: eventlog.EventLog,
    ) -> None:
        self._logs = logs
        self._documents = documents
        self._copy = copy
        self._replica = replica
        self._interval_seconds = interval_seconds
        self._lease_seconds = lease_seconds
        self._usage_seconds = usage_seconds
        self._tolerance = tolerance
        self._controls = controls
        self._plans = plans
        self._events = events
        self._current: leadership.Leadership | None = None
        self._number = 0

    @property
    def current(self) -> leadership.Leadership | None:
        """State of the term in which this process leads, or None."""
        return self._current if self._logs.leads(loghost.CONTROL) else None

    @staticmethod
    def now() -> float:
        """Returns the time that the state of a term counts in."""
        return clock.steady()

    def leader_address(self) -> str | None:
        """Returns the peer address of the leader, if one is known."""
        task = self._logs.tasks[loghost.CONTROL]
        leader = task.status().leader
        member = task.members.get(leader) if leader is not None else None
        return member[0] if member is not None else None

    async def run(self) -> None:
        """Begins and ends terms until cancelled."""
        confirmed_at = 0.0
        while True:
            await asyncio.sleep(STEP_SECONDS)
            status = self._logs.tasks[loghost.CONTROL].status()
            if status.role != "leader":
                self._end()
                continue
            if self._current is None or self._number != status.term:
                self._begin(status.term)
            now = clock.steady()
            if now - confirmed_at >= CONFIRM_SECONDS:
                confirmed_at = now
                await self._confirm(now)
            self._sweep(now)

    def answer(self, report: exchange.Report) -> exchange.Answer | exchange.NotLeading:
        """Answers a report of an entry or of a control follower."""
        term, now = self.current, clock.steady()
        if term is None or not term.lease.valid(now):
            return exchange.NotLeading(self.leader_address(), tuple(self._controls()))
        term.take(report, now)
        state = self._logs.machine(loghost.CONTROL).state(configuration.NAME)
        if state.current.version != self._documents.version:
            # The asker gets this document now, and needs allowances for its organisations.
            self._take_document(term, now)
        table = self._documents.table
        organisations = table.routing.organisations if table is not None else ()
        return exchange.Answer(
            lease.answer_poll(report.poll, term.lease.remaining(now), state),
            term.directory.update(report.directory),
            term.entries(now),
            term.allowances(report.sender, organisations, now) if report.entry else {},
            term.other_loads(report.sender, now) if report.entry else {},
            tuple(self._controls()),
            term.new_reads(report.sender) if report.entry else (),
            {} if report.entry else self._plans.states(now),
        )

    def draw(self, draw: exchange.Draw) -> exchange.Drawn:
        """Answers an entry that wants more of a quota for one request."""
        term, now = self.current, clock.steady()
        if term is None or not term.lease.valid(now):
            return exchange.Drawn(None)
        return exchange.Drawn(term.draw(draw, now))

    def _begin(self, number: int) -> None:
        self._number = number
        now = clock.steady()
        leadership_id = f"{self._replica}/{number}"
        inherited = self._copy.records
        upstreams = directory.Directory(leadership_id, self._interval_seconds, inherited, now)
        self._current = leadership.Leadership(upstreams, self._lease_seconds, self._tolerance)
        self._events.write("leading", term=number, upstreams=len(inherited))

    def _end(self) -> None:
        if self._current is None:
            return
        self._copy.receive(self._current.directory.update(("", 0)))
        self._current = None
        self._events.write("no_longer_leading", term=self._number)

    async def _confirm(self, started: float) -> None:
        assert self._current is not None
        term = self._current
        try:
            await self._logs.tasks[loghost.CONTROL].barrier(CONFIRM_TIMEOUT_SECONDS)
        except coordination_errors.CoordinationError as error:
            self._events.write("leadership_not_confirmed", term=self._number, cause=str(error))
            return
        term.lease.extend(started)
        self._take_document(term, started)

    def _take_document(self, term: leadership.Leadership, asked_at: float) -> None:
        """Gives this process the document of its own log, as an entry gets it."""
        state = self._logs.machine(loghost.CONTROL).state(configuration.NAME)
        poll = self._documents.poll(asked_at)
        remaining = term.lease.remaining(clock.steady())
        self._documents.receive(lease.answer_poll(poll, remaining, state))

    def _sweep(self, now: float) -> None:
        assert self._current is not None
        for lost in self._current.directory.expire(now):
            self._events.write("upstream_silent", id=lost.id, service=lost.service, zone=lost.zone)
        self._current.forget_old(now, self._usage_seconds)
