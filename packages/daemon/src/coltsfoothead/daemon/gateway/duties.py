"""Duties of one process at a time: usage reports and orders of runners."""

import asyncio
from collections.abc import Callable

import msgspec

from coltsfoothead.coordination import writeonce
from coltsfoothead.daemon import metrics as metrics_module
from coltsfoothead.daemon.control import leases, loghost, proposer
from coltsfoothead.daemon.gateway import clock, eventlog, leadership, planbook, ports
from coltsfoothead.daemon.http import client as http_client
from coltsfoothead.daemon.http import errors as http_errors
from coltsfoothead.kernel.traffic import demandmeter, document, upstreams

__all__ = ["Duties"]

# An order is begun only if the lease outlives its time-out, so that it cannot arrive after another
# process has taken over.
ORDER_TIMEOUT_SECONDS = 0.6
MARGIN_SECONDS = 0.1
STEP_SECONDS = 0.25
# A window is reported once the entries have sent its last counts: two exchanges and a lost one.
SETTLE_SECONDS = 2.5
# Pause after an order that failed, so that a cloud that is down is not pressed.
RETRY_SECONDS = 0.7
# Runners are planned at this interval; a new one takes seconds to serve.
PLAN_SECONDS = 0.5


class Duties:
    """Carries out the duties while this process leads and holds their lease.

    Parameters
    ----------
    dialect : CloudDialect
    address : str
        Of the cloud.
    client : Client
    lease : HeldLease
    proposals : Proposer
    holder : str
        Name of this process.
    window_seconds, due_seconds : float
        Length of a usage window, and time after its end within which it is due.
    routing : callable
        Returns the document in force, or None.
    term : callable
        Returns the present leadership, or None.
    plans : PlanBook
    events : EventLog
    metrics : Metrics
    """

    def __init__(
        self,
        dialect: ports.CloudDialect,
        address: str,
        client: http_client.Client,
        lease: leases.HeldLease,
        proposals: proposer.Proposer,
        holder: str,
        window_seconds: float,
        due_seconds: float,
        routing: Callable[[], document.RoutingDocument | None],
        term: Callable[[], leadership.Leadership | None],
        plans: planbook.PlanBook,
        events: eventlog.EventLog,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._dialect = dialect
        self._address = address
        self._client = client
        self._lease = lease
        self._proposals = proposals
        self._holder = holder
        self._window_seconds = window_seconds
        self._due_seconds = due_seconds
        self._routing = routing
        self._term = term
        self._events = events
        self._metrics = metrics
        self._wall = clock.WallClock()
        self._reported: int | None = None
        self._plans = plans
        self._planned_at = 0.0
        self._fence = 0

    async def run(self) -> None:
        """Carries out what is due until cancelled."""
        while True:
            await asyncio.sleep(STEP_SECONDS)
            term, routing = self._term(), self._routing()
            if term is None or routing is None or not self._may_order():
                continue
            if self._fence != self._lease.fence:
                self._fence = self._lease.fence
                known = self._plans.take_over(clock.steady())
                self._events.write("duties_taken", fence=self._fence, plans_known=known)
            done = await self._report_usage(term, routing)
            now = clock.steady()
            if now - self._planned_at >= PLAN_SECONDS:
                self._planned_at = now
                done = await self._order_runners(term, routing) and done
            if not done:
                await asyncio.sleep(RETRY_SECONDS)

    def _may_order(self) -> bool:
        return self._lease.remaining() > ORDER_TIMEOUT_SECONDS + MARGIN_SECONDS

    async def _report_usage(
        self, term: leadership.Leadership, routing: document.RoutingDocument
    ) -> bool:
        """Reports the windows that are over; returns False if a report failed."""
        now = self._wall.now()
        newest = int((now - SETTLE_SECONDS) // self._window_seconds) - 1
        oldest = int((now - self._due_seconds) // self._window_seconds)
        if self._reported is None:
            self._reported = oldest - 1
        for window in range(max(self._reported + 1, oldest), newest + 1):
            if not self._may_order():
                return False
            counts = await self._fix_counts(term, routing, window)
            if counts is None:
                return False
            outcome = await self._order(ports.UsageReport(window, counts))
            self._events.write(
                "usage_reported",
                window=window,
                counts=counts,
                outcome=outcome.value,
                fence=self._fence,
            )
            if outcome is not ports.CloudOutcome.DONE:
                return False
            self._reported = window
        return True

    async def _fix_counts(
        self, term: leadership.Leadership, routing: document.RoutingDocument, window: int
    ) -> dict[str, int] | None:
        """Commits the counts of a window, so that no other report of it can differ."""
        names = [organisation.name for organisation in routing.organisations]
        counts = term.usage(window, names)
        command = writeonce.Write(f"usage/{window}", msgspec.json.encode(counts))
        try:
            fixed = await self._proposals.propose(loghost.CONTROL, writeonce.NAME, command)
        except (proposer.QuorumLostError, proposer.UnknownOutcomeError) as error:
            self._events.write("usage_not_fixed", window=window, cause=str(error))
            return None
        return msgspec.json.decode(fixed.value, type=dict[str, int])

    async def _order_runners(
        self, term: leadership.Leadership, routing: document.RoutingDocument
    ) -> bool:
        """Orders the runners that the plan wants; returns False if an order failed."""
        now = clock.steady()
        demand = term.demand(now)
        for service in routing.services.values():
            if service.scaling is None:
                continue
            plan = self._plans.plan(service, now)
            known = [each for each in term.directory.records if each.service == service.name]
            rates = demand.get(service.name, demandmeter.DemandRates())
            for order in plan.due_orders(known, rates, now):
                if not self._may_order():
                    return False
                outcome = await self._order(
                    ports.RunnerOrder(service.name, order.zone, order.count, order.reclaimable)
                )
                self._events.write(
                    "runners_ordered",
                    service=service.name,
                    zone=order.zone,
                    count=order.count,
                    reclaimable=order.reclaimable,
                    outcome=outcome.value,
                    fence=self._fence,
                    ready=sum(each.state is upstreams.State.READY for each in known),
                    prompt_tokens=round(rates.prompt_tokens),
                    output_tokens=round(rates.output_tokens),
                )
                plan.record_outcome(order, outcome is ports.CloudOutcome.DONE, now)
                if outcome is ports.CloudOutcome.FAILED:
                    return False
        return True

    async def _order(self, order: ports.UsageReport | ports.RunnerOrder) -> ports.CloudOutcome:
        request = self._dialect.encode(order, self._holder, self._fence)
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_SECONDS):
                answer = await self._client.send(self._address, request, None)
                await answer.read(None, 64 * 1024)
        except (http_errors.HttpError, TimeoutError) as error:
            self._events.warn("cloud_unreachable", order=type(order).__name__, cause=str(error))
            self._metrics.count("cloud_calls_failed")
            return ports.CloudOutcome.FAILED
        self._metrics.count("cloud_calls")
        return self._dialect.outcome(answer.status)
