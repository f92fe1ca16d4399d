"""The leader's part of rollouts: takes orders, decides on steps and permits entries to expose."""

import asyncio
from collections.abc import Callable, Iterable

from coltsfoothead.daemon import errors
from coltsfoothead.daemon.control import proposer
from coltsfoothead.daemon.gateway import clock, eventlog, exchange
from coltsfoothead.daemon.gateway.rollouts import rolloutlog
from coltsfoothead.kernel.rollouts import course, orders, permissions
from coltsfoothead.kernel.traffic import document, upstreams

__all__ = ["LeaderRollouts", "NoDocumentError"]

BARRIER_TIMEOUT_SECONDS = 0.5
# Interval of the search for registers that have to be written again.
RENEWAL_SECONDS = 1.0
# Longest cause that is recorded.
MAX_CAUSE_LENGTH = 200
ABORTED = "an operator has aborted it"


class NoDocumentError(errors.DaemonError):
    """It is not known yet which services there are."""


class LeaderRollouts:
    """Rollouts at a control process, which leads or may lead next.

    Parameters
    ----------
    log : RolloutLog
    barrier : callable
        Confirms the leadership within some seconds, or raises `CoordinationError`.
    bounds : Bounds
    entry_lease_seconds : float
        Time for which an entry may go on serving after its last report.
    routing : callable
        Returns the routing document in force, or None.
    records : callable
        Returns the upstreams that the leader knows.
    events : EventLog
    """

    def __init__(
        self,
        log: rolloutlog.RolloutLog,
        barrier: Callable[[float], object],
        bounds: course.Bounds,
        entry_lease_seconds: float,
        routing: Callable[[], document.RoutingDocument | None],
        records: Callable[[], Iterable[upstreams.Upstream]],
        events: eventlog.EventLog,
    ) -> None:
        self._log = log
        self._barrier = barrier
        self._bounds = bounds
        self._entry_lease_seconds = entry_lease_seconds
        self._routing = routing
        self._records = records
        self._events = events
        self._wall_clock = clock.WallClock()
        self._rollouts: dict[str, list[orders.Rollout]] = {}
        self._rules: tuple[orders.Rule, ...] = ()
        self._digest = 0
        self._courses: dict[str, course.Course] = {}
        # Steady times of the orders by service and number, as this process has heard them.
        self._ordered_at: dict[tuple[str, int], float] = {}
        self._writing: dict[str, asyncio.Task[None]] = {}
        self._renewal: asyncio.Task[None] | None = None
        self._renewed_at = float("-inf")
        # Orders whose outcome this process waits for; they are no inheritance.
        self._taking: set[tuple[str, int]] = set()
        self._lock = asyncio.Lock()

    def begin_term(self) -> None:
        """Forgets what an earlier term of this process has heard."""
        self._courses, self._rollouts = {}, {}
        self._taking.clear()

    def tick(self, now: float) -> None:
        """Reads the log and decides on the steps of all running rollouts; the leader calls it.

        Call it first after a read barrier.
        """
        self._read(now)
        for service, running in self._courses.items():
            newest = self._rollouts[service][-1]
            phase, cause = running.decide(self._surroundings(newest.order), now)
            if phase is not newest.phase and service not in self._writing:
                if phase is orders.Phase.ROLLED_BACK:
                    running.stop(cause)
                step = orders.Rollout(
                    newest.order, phase, cause[:MAX_CAUSE_LENGTH], self._replaced(newest, phase)
                )
                self._start_writing(step)
        if now - self._renewed_at >= RENEWAL_SECONDS and self._rollouts and not self._renewal:
            self._renewed_at = now
            self._renewal = asyncio.create_task(self._renew())

    def answer(self, report: exchange.Report, now: float) -> permissions.EntryAnswer | None:
        """Adds the report of an entry or a follower, and returns the answer, if there is any."""
        known = report.rollouts or permissions.EntryReport()
        permitted = []
        for each in known.services if report.entry else ():
            running = self._courses.get(each.service)
            if running is not None and running.order.number == each.number:
                running.record(report.sender, each, now)
                permitted.append(running.permission(report.sender, now))
        rules = self._rules if known.known != self._digest else None
        elapsed = {}
        if not report.entry:
            elapsed = {name: each.elapsed_seconds(now) for name, each in self._courses.items()}
        if rules is None and not permitted and not elapsed:
            return None
        return permissions.EntryAnswer(rules, tuple(permitted), elapsed)

    def receive(self, answer: permissions.EntryAnswer, now: float) -> None:
        """Learns from the leader, as a follower, how long the running rollouts have run."""
        if answer.rules is not None:
            self._follow(answer.rules)
        numbers = {each.service: each.number for each in self._rules}
        for service, seconds in answer.elapsed.items():
            if service in numbers:
                self._ordered_at[service, numbers[service]] = now - seconds

    def report(self) -> permissions.EntryReport | None:
        """Returns the report of a follower, which may have nothing to say."""
        return permissions.EntryReport(self._digest) if self._digest else None

    async def start(self, service: str, target: str, duration_seconds: float) -> orders.Rollout:
        """Takes an order as the leader; returns the rollout once it is in the log.

        Raises
        ------
        RolloutError
            If the order is not accepted.
        CoordinationError, DaemonError
            If it is not certain that it was recorded.
        """
        async with self._lock:
            await self._barrier(BARRIER_TIMEOUT_SECONDS)
            self._read(clock.steady())
            known = self._rollouts.get(service, [])
            routing = self._routing()
            if routing is None:
                raise NoDocumentError("no routing document is in force")
            order = orders.decide_order(
                known,
                service,
                target,
                duration_seconds,
                routing.services,
                self._wall_clock.now(),
            )
            if order is None:
                self._events.write("rollout_repeated", service=service, target=target)
                return known[-1]
            self._taking.add((service, order.number))
            self._ordered_at[service, order.number] = clock.steady()
            recorded = await self._log.write_order(order)
            if (recorded.target, recorded.duration_seconds) != (target, duration_seconds):
                raise orders.OrderConflictError(
                    f"{service!r} is being moved to {recorded.target!r}, order {recorded.number}"
                )
            self._read(clock.steady())
            self._events.write(
                "rollout_ordered",
                service=service,
                number=order.number,
                target=target,
                seconds=duration_seconds,
            )
            rollout = self._rollouts[service][-1]
            if rollout.phase.running and self._is_in_place(rollout.order):
                rollout = orders.Rollout(
                    rollout.order, orders.Phase.COMPLETED, "no upstream has another version"
                )
                await self._log.write_phase(rollout)
                self._read(clock.steady())
            return rollout

    async def abort(self, service: str) -> orders.Rollout | None:
        """Rolls a running rollout back as the leader; returns the newest, None without any.

        Raises
        ------
        CoordinationError, DaemonError
            If it is not certain that it was recorded.
        """
        rollout = await self.state(service)
        if rollout is None or not rollout.phase.running:
            return rollout
        if service in self._courses:
            self._courses[service].stop(ABORTED)
        aborted = orders.Rollout(rollout.order, orders.Phase.ROLLED_BACK, ABORTED)
        await self._log.write_phase(aborted)
        self._read(clock.steady())
        return self._rollouts[service][-1]

    async def state(self, service: str) -> orders.Rollout | None:
        """Returns the newest rollout of a service as the leader, or None.

        Raises
        ------
        CoordinationError
            If this process cannot confirm that it leads.
        """
        await self._barrier(BARRIER_TIMEOUT_SECONDS)
        self._read(clock.steady())
        rollouts = self._rollouts.get(service)
        return rollouts[-1] if rollouts else None

    def _read(self, now: float) -> None:
        """Adopts what the control log has."""
        rollouts = self._log.read()
        if rollouts is self._rollouts:
            return
        self._rollouts = rollouts
        self._follow(tuple(orders.rule(each) for each in self._rollouts.values()))
        for service, rollouts in self._rollouts.items():
            newest = rollouts[-1]
            known = self._courses.get(service)
            if not newest.phase.running:
                if self._courses.pop(service, None) is not None:
                    self._events.write(
                        "rollout_ended",
                        service=service,
                        number=newest.order.number,
                        target=newest.order.target,
                        state=newest.phase.value,
                        cause=newest.cause,
                        exposed=known.budget.committed,
                        requests=known.budget.requests,
                    )
            elif known is None or known.order.number != newest.order.number:
                self._courses[service] = self._begin(newest, now)
            else:
                known.set_phase(newest.phase, now)

    def _begin(self, rollout: orders.Rollout, now: float) -> course.Course:
        order = rollout.order
        key = (order.service, order.number)
        ordered_at = self._ordered_at.get(key)
        if ordered_at is None:
            # Another process has taken the order, and this one has not heard of it since.
            elapsed = self._wall_clock.now() - order.ordered_at
            ordered_at = now - min(max(0.0, elapsed), order.duration_seconds)
            self._ordered_at[key] = ordered_at
        resumed = key not in self._taking
        self._taking.discard(key)
        self._events.write(
            "rollout_led",
            service=order.service,
            number=order.number,
            target=order.target,
            phase=rollout.phase.value,
            elapsed_s=round(now - ordered_at, 2),
        )
        return course.Course(
            rollout, self._bounds, ordered_at, now, self._entry_lease_seconds, resumed
        )

    def _follow(self, rules: tuple[orders.Rule, ...]) -> None:
        if rules != self._rules:
            self._rules, self._digest = rules, permissions.digest(rules)

    def _upstreams(self, service: str) -> list[upstreams.Upstream]:
        return [
            each
            for each in self._records()
            if each.service == service and each.state is upstreams.State.READY
        ]

    def _surroundings(self, order: orders.Order) -> course.Surroundings:
        ready = self._upstreams(order.service)
        target = tuple(each.id for each in ready if each.version == order.target)
        routing = self._routing()
        routes = routing.routes if routing is not None else ()
        timeouts = [
            each.timeout_seconds
            for each in routes
            if any(target.service == order.service for target in each.targets)
        ]
        return course.Surroundings(target, len(ready) - len(target), max(timeouts, default=0.0))

    def _replaced(self, rollout: orders.Rollout, phase: orders.Phase) -> tuple[str, ...]:
        """Returns the versions that a completed rollout replaces."""
        if phase is not orders.Phase.COMPLETED:
            return ()
        versions = {
            each.version for each in self._records() if each.service == rollout.order.service
        }
        return tuple(sorted(versions - {rollout.order.target}))

    def _is_in_place(self, order: orders.Order) -> bool:
        """Returns whether all upstreams of the service already have the target version."""
        versions = [
            each.version
            for each in self._records()
            if each.service == order.service and each.state is not upstreams.State.GONE
        ]
        return bool(versions) and all(each == order.target for each in versions)

    def _start_writing(self, step: orders.Rollout) -> None:
        service = step.order.service
        judgement = self._courses[service].judgement
        self._events.write(
            "rollout_step",
            service=service,
            number=step.order.number,
            phase=step.phase.value,
            finding=judgement.finding.value,
            cause=step.cause or judgement.cause,
        )
        self._writing[service] = asyncio.create_task(self._write(step))

    async def _write(self, step: orders.Rollout) -> None:
        try:
            await self._log.write_phase(step)
        except (proposer.QuorumLostError, proposer.UnknownOutcomeError) as error:
            self._events.warn("rollout_not_recorded", service=step.order.service, cause=str(error))
        finally:
            del self._writing[step.order.service]

    async def _renew(self) -> None:
        try:
            await self._log.renew()
        except (proposer.QuorumLostError, proposer.UnknownOutcomeError) as error:
            self._events.warn("rollout_not_recorded", service="", cause=str(error))
        finally:
            self._renewal = None
