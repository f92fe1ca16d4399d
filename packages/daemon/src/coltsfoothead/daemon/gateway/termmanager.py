"""Starts and ends this process's terms as leader, and answers reports during them."""

import asyncio
from collections.abc import Callable

from coltsfoothead.coordination import configuration, writeonce
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
    planstore,
    promptguard,
)
from coltsfoothead.daemon.gateway.pacing import leaderpacing
from coltsfoothead.daemon.gateway.rollouts import leaderrollouts
from coltsfoothead.daemon.gateway.sharing import termshares
from coltsfoothead.daemon.gateway.speeds import leaderside
from coltsfoothead.daemon.gateway.speeds import wire as speedwire
from coltsfoothead.kernel.sharing import work
from coltsfoothead.kernel.traffic import (
    brittleness,
    quarantine,
    quota,
    requestlimits,
    streamorigins,
    upstreams,
)

__all__ = ["END_PREFIXES", "TermManager"]

CHECK_INTERVAL_SECONDS = 0.1
# A check that is later than this means that the process was suspended. Nothing that it missed
# meanwhile is silence of another process.
MAX_CHECK_DELAY_SECONDS = 0.5
# Prefixes of the registers of upstreams that drain or are gone; the rest of a key is ID and start.
END_PREFIXES = {upstreams.State.GONE: "ended/", upstreams.State.DRAINING: "draining/"}
# Interval of the read barriers that confirm this process as leader and extend the document lease.
CONFIRM_INTERVAL_SECONDS = 0.3
CONFIRM_TIMEOUT_SECONDS = 1.0
# An entry waits for an answer about an origin for 0.2 s.
ORIGIN_TIMEOUT_SECONDS = 0.2


class TermManager:
    """Manages the state of the current term.

    Parameters
    ----------
    logs : LogHost
    documents : DocumentCopy
    directory_copy : DirectoryCopy
    replica : str
        Replica ID of this process.
    announcement_interval_seconds : float
        Interval at which an upstream announces itself.
    lease_seconds : float
        Length of the lease on the document.
    usage_retention_seconds : float
        How long the usage of an entry that has stopped reporting is kept.
    tolerance : Tolerance
        By how much quotas may be exceeded.
    live_controls : callable
        Returns the peer addresses of the live control processes.
    plans : PlanStore
    quarantines : QuarantineTable
        This process's copy of the quarantines.
    limits : LimitTable
        This process's copy of the limits that upstreams have named.
    brittle : BrittleTable
        This process's copy of the brittle upstreams.
    origins : OriginTable
        This process's copy of the origins of streams.
    load_quarantines : callable
        Merges the quarantines that the log holds into this process's copy.
    record_quarantine : callable
        Starts to write a quarantine to the log.
    events : EventLog
    speeds : ControlSpeeds, optional
        Learned speeds of the upstreams; None if they are not learned.
    shares : TermShares, optional
        Divides the room of services; None if it is not divided.
    new_pacing : callable, optional
        Returns the windows of upstreams for a term with a directory, or None while pacing is off.
    rollouts : LeaderRollouts, optional
        None if rollouts are switched off.
    """

    def __init__(
        self,
        logs: loghost.LogHost,
        documents: documentcopy.DocumentCopy,
        directory_copy: directory.DirectoryCopy,
        replica: str,
        announcement_interval_seconds: float,
        lease_seconds: float,
        usage_retention_seconds: float,
        tolerance: quota.Tolerance,
        live_controls: Callable[[], list[str]],
        plans: planstore.PlanStore,
        quarantines: quarantine.QuarantineTable,
        limits: requestlimits.LimitTable,
        brittle: brittleness.BrittleTable,
        origins: streamorigins.OriginTable,
        load_quarantines: Callable[[], None],
        record_quarantine: Callable[[quarantine.Quarantine], None],
        events: eventlog.EventLog,
        speeds: leaderside.ControlSpeeds | None = None,
        shares: termshares.TermShares | None = None,
        new_pacing: Callable[
            [directory.Directory, float], leaderpacing.LeaderPacing | None
        ] = lambda upstream_directory, now: None,
        rollouts: leaderrollouts.LeaderRollouts | None = None,
    ) -> None:
        self._new_pacing = new_pacing
        self._rollouts = rollouts
        self._logs = logs
        self._documents = documents
        self._directory_copy = directory_copy
        self._replica = replica
        self._announcement_interval_seconds = announcement_interval_seconds
        self._lease_seconds = lease_seconds
        self._usage_retention_seconds = usage_retention_seconds
        self._tolerance = tolerance
        self._live_controls = live_controls
        self._plans = plans
        self._quarantines = quarantines
        self._limits = limits
        self._brittle = brittle
        self._origins = origins
        self._load_quarantines = load_quarantines
        self._record_quarantine = record_quarantine
        self._events = events
        self._speeds = speeds
        self._shares = shares
        self._current: leadership.Leadership | None = None
        self._term_number = 0
        # Entries that report to the leader, and when this process knew that.
        self._entry_count = 0
        self._entry_count_at = float("-inf")
        # Whether the current term has taken over what the log records beside the documents.
        self._log_read = False

    @property
    def current(self) -> leadership.Leadership | None:
        """State of the current term if this process is the leader, else None."""
        status = self._logs.tasks[loghost.CONTROL].status()
        # Leadership may have been lost and won again since the last check.
        leads = status.role == "leader" and status.term == self._term_number
        return self._current if leads else None

    @staticmethod
    def now() -> float:
        """Returns the steady time in seconds, as used by the state of a term."""
        return clock.steady()

    def record_entry_count(self, entry_count: int) -> None:
        """Records how many entries report to the leader, in case this process leads next."""
        self._entry_count, self._entry_count_at = entry_count, clock.steady()

    def leader_address(self) -> str | None:
        """Returns the peer address of the leader, if one is known."""
        task = self._logs.tasks[loghost.CONTROL]
        leader = task.status().leader
        member = task.members.get(leader) if leader is not None else None
        return member[0] if member is not None else None

    def names_service(self, service: str) -> bool:
        """Returns whether the document in force names a service; True while none is known."""
        table = self._documents.table
        return table is None or service in table.routing.services

    def refresh_document(self) -> None:
        """Updates this process's copy of the document, as the leader, to the newest committed."""
        term, now = self.current, clock.steady()
        if term is not None and term.lease.valid(now):
            self._refresh_document(term, now)

    async def run(self) -> None:
        """Starts and ends terms with the leadership of the log, until cancelled."""
        confirmed_at = 0.0
        while True:
            slept_at = clock.steady()
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            self._allow_for_suspension(slept_at + CHECK_INTERVAL_SECONDS)
            status = self._logs.tasks[loghost.CONTROL].status()
            if status.role != "leader":
                self._end_term()
                continue
            if self._current is None or self._term_number != status.term:
                self._begin_term(status.term)
            now = clock.steady()
            if now - confirmed_at >= CONFIRM_INTERVAL_SECONDS:
                confirmed_at = now
                await self._confirm_leadership(now)
            self._expire_silent(now)
            self._attribute_crashes(now)
            if self._rollouts is not None and self._log_read:
                self._rollouts.tick(clock.steady())

    def answer_report(self, report: exchange.Report) -> exchange.Answer | exchange.NotLeading:
        """Answers a report of an entry or a control follower."""
        term, now = self.current, clock.steady()
        if term is None or not term.lease.valid(now):
            return exchange.NotLeading(self.leader_address(), tuple(self._live_controls()))
        term.record_report(report, now)
        entry_count = term.entry_count(now)
        self.record_entry_count(entry_count)
        state = self._logs.machine(loghost.CONTROL).state(configuration.NAME)
        if state.current.version != self._documents.version:
            # The reporting process gets this document with the answer, and needs allowances for
            # the document's organisations.
            self._refresh_document(term, now)
        table = self._documents.table
        organisations = table.routing.organisations if table is not None else ()
        return exchange.Answer(
            lease.answer_poll(report.poll, term.lease.remaining(now), state),
            term.directory.update_since(report.directory),
            entry_count,
            term.allowances(report.sender, organisations, now) if report.entry else {},
            term.other_loads(report.sender, now) if report.entry else {},
            tuple(self._live_controls()),
            term.new_reads(report.sender) if report.entry else (),
            {} if report.entry else self._plans.states(now),
            term.crash_attribution.decisions(now),
            term.limit_shares(report.sender, now),
            (
                exchange.OriginUpdate()
                if report.entry
                else term.origin_update(report.origins_version)
            ),
            term.peers(report, now) if report.entry else None,
            term.brittle.tolerances(now),
            term.brittle.rejections(now),
            self._answer_speeds(report, term),
            self._divide_room(term, report, entry_count, now),
            term.paces(report, now),
            appointments=term.appointments.unsent(report.sender, now) if report.entry else (),
            rollouts=self._rollouts.answer(report, now) if self._rollouts is not None else None,
        )

    def _answer_speeds(
        self, report: exchange.Report, term: leadership.Leadership
    ) -> speedwire.SpeedAnswer | None:
        if self._speeds is None or report.speeds is None:
            return None
        same_term = report.directory[0] == term.directory.leadership_id
        return self._speeds.answer(report.speeds, term.directory.upstream, same_term)

    def _divide_room(
        self, term: leadership.Leadership, report: exchange.Report, entry_count: int, now: float
    ) -> tuple[work.ServiceShare, ...] | None:
        if self._shares is None or not report.entry:
            return None
        table = self._documents.table
        return self._shares.answer(term, report, table, entry_count, now)

    def answer_draw(self, request: exchange.DrawRequest) -> exchange.DrawResponse:
        """Answers an entry's request for quota units beyond its allowance."""
        term, now = self.current, clock.steady()
        if term is None or not term.lease.valid(now):
            return exchange.DrawResponse(None)
        return exchange.DrawResponse(term.draw(request, now))

    async def answer_origin(self, request: exchange.OriginRequest) -> exchange.OriginResponse:
        """Answers an entry's question which software version began a stream.

        An origin that is known never changes. That a stream has the only version of its service is
        concluded from what this process has not heard, for which it must still be the leader: one
        that was suspended or cut off has not heard of versions that began to serve meanwhile.
        """
        term, now = self.current, clock.steady()
        if term is None or not term.lease.valid(now):
            return exchange.OriginResponse(leads=False)
        known = term.known_origin(request.stream_id)
        if known is not None or not request.service:
            return exchange.OriginResponse(leads=True, origin=known)
        try:
            await self._logs.tasks[loghost.CONTROL].barrier(ORIGIN_TIMEOUT_SECONDS)
        except coordination_errors.CoordinationError as error:
            self._events.write("leadership_not_confirmed", term=self._term_number, cause=str(error))
            return exchange.OriginResponse(leads=False)
        if self.current is not term:
            return exchange.OriginResponse(leads=False)
        return exchange.OriginResponse(leads=True, origin=term.origin(request, clock.steady()))

    def answer_probe(self, request: exchange.ProbeRequest) -> exchange.ProbeResponse:
        """Answers an entry's request to probe a part, or to try a request."""
        term, now = self.current, clock.steady()
        if term is None or not term.lease.valid(now):
            return exchange.ProbeResponse(None)
        return exchange.ProbeResponse(term.grant_probe(request, now))

    def _allow_for_suspension(self, due_at: float) -> None:
        """Postpones expiry if this process was suspended before a check that was due."""
        now = clock.steady()
        if self._current is not None and now - due_at > MAX_CHECK_DELAY_SECONDS:
            self._current.postpone_expiry(now - due_at, now)
            self._events.write("leader_suspended", seconds=round(now - due_at, 2))

    def _begin_term(self, term_number: int) -> None:
        self._term_number = term_number
        now = clock.steady()
        leadership_id = f"{self._replica}/{term_number}"
        inherited = self._directory_copy.records
        upstream_directory = directory.Directory(
            leadership_id, self._announcement_interval_seconds, inherited, now
        )
        self._current = leadership.Leadership(
            upstream_directory,
            self._lease_seconds,
            self._tolerance,
            self._quarantines,
            self._limits,
            self._brittle,
            self._origins,
            now,
            self._entry_count if now - self._entry_count_at < self._lease_seconds else 0,
            self._new_pacing(upstream_directory, now),
        )
        if self._shares is not None:
            self._shares.begin(now)
        self._log_read = False
        if self._rollouts is not None:
            self._rollouts.begin_term()
        self._events.write("leading", term=term_number, upstreams=len(inherited))

    def _end_term(self) -> None:
        if self._current is None:
            return
        self._directory_copy.receive(self._current.directory.update_since(("", 0)))
        self._current = None
        if self._shares is not None:
            self._shares.end()
        self._events.write("no_longer_leading", term=self._term_number)

    async def _confirm_leadership(self, started_at: float) -> None:
        assert self._current is not None
        term = self._current
        try:
            await self._logs.tasks[loghost.CONTROL].barrier(CONFIRM_TIMEOUT_SECONDS)
        except coordination_errors.CoordinationError as error:
            self._events.write("leadership_not_confirmed", term=self._term_number, cause=str(error))
            return
        if not self._log_read:
            # Before the barrier, this process may not have applied all entries of its log.
            self._log_read = True
            self._restore_ends(term.directory)
            self._load_quarantines()
            if self._rollouts is not None:
                self._rollouts.tick(clock.steady())
        term.lease.extend(started_at)
        self._refresh_document(term, started_at)

    def _restore_ends(self, upstream_directory: directory.Directory) -> None:
        """Adds the draining and ended upstreams that the control log records to the directory."""
        registers = self._logs.machine(loghost.CONTROL).state(writeonce.NAME)
        now = clock.steady()
        for state, prefix in END_PREFIXES.items():
            for key in registers.read_all(prefix):
                upstream_id, _, born = key.rpartition("/")
                upstream_directory.restore_end(upstream_id, int(born), state, now)

    def _refresh_document(self, term: leadership.Leadership, polled_at: float) -> None:
        """Updates this process's copy of the document from its own log, as an entry would."""
        state = self._logs.machine(loghost.CONTROL).state(configuration.NAME)
        poll = self._documents.poll(polled_at)
        remaining = term.lease.remaining(clock.steady())
        self._documents.receive(lease.answer_poll(poll, remaining, state))

    def _attribute_crashes(self, now: float) -> None:
        assert self._current is not None
        for state in self._current.crash_attribution.evaluate(now):
            self._record_quarantine(state)
            promptguard.log_change(self._events, state)

    def _expire_silent(self, now: float) -> None:
        assert self._current is not None
        for lost in self._current.directory.expire(now):
            self._events.write("upstream_silent", id=lost.id, service=lost.service, zone=lost.zone)
        self._current.remove_silent(now, self._usage_retention_seconds)
