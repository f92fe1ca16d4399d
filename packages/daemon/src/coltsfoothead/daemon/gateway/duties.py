"""Duties that one process at a time performs: usage reports and orders of runners."""

import asyncio
from collections.abc import Callable

import msgspec

from coltsfoothead.coordination import writeonce
from coltsfoothead.daemon import errors
from coltsfoothead.daemon import metrics as metrics_module
from coltsfoothead.daemon.control import leases, loghost, proposer
from coltsfoothead.daemon.gateway import clock, eventlog, leadership, planstore, ports
from coltsfoothead.daemon.gateway.speeds import leaderside
from coltsfoothead.daemon.http import client as http_client
from coltsfoothead.daemon.http import errors as http_errors
from coltsfoothead.kernel.speeds import fleet
from coltsfoothead.kernel.traffic import demandmeter, document, upstreams

__all__ = ["CloudDuties"]

# A cloud call is started only if the lease outlasts this timeout and a margin, so that the call
# cannot arrive after another process has taken over the duties.
CALL_TIMEOUT_SECONDS = 0.6
LEASE_MARGIN_SECONDS = 0.1
CHECK_INTERVAL_SECONDS = 0.25
# Delay after the end of a usage window until it is reported. In that time the entries send its last
# counts; it covers two report exchanges and a lost one.
USAGE_SETTLE_SECONDS = 2.5
# Pause after a failed call, so that an unavailable cloud API is not flooded with calls.
RETRY_DELAY_SECONDS = 0.7
MAX_ANSWER_BYTES = 64 * 1024
# Interval at which runners are planned; a new runner takes seconds until it serves.
PLAN_INTERVAL_SECONDS = 0.5


class LeaseEndedError(errors.DaemonError):
    """The lease on the duties ended before a call was sent."""


class CloudDuties:
    """Performs the duties while this process is the leader and holds the lease on them.

    Parameters
    ----------
    dialect : CloudDialect
    address : str
        Address of the cloud API.
    client : Client
    lease : ManagedLease
        The lease on the duties; its fencing number goes with each cloud call.
    log_proposer : Proposer
    holder_id : str
        ID of this process.
    window_seconds, due_seconds : float
        Length of a usage window, and time after its end within which its report is due.
    routing : callable
        Returns the routing document in force, or None.
    term : callable
        Returns the state of the current term if this process is the leader, else None.
    plans : PlanStore
    events : EventLog
    metrics : Metrics
    speeds : ControlSpeeds, optional
        Learned speeds of the runners; None if they are not learned.
    """

    def __init__(
        self,
        dialect: ports.CloudDialect,
        address: str,
        client: http_client.Client,
        lease: leases.ManagedLease,
        log_proposer: proposer.Proposer,
        holder_id: str,
        window_seconds: float,
        due_seconds: float,
        routing: Callable[[], document.RoutingDocument | None],
        term: Callable[[], leadership.Leadership | None],
        plans: planstore.PlanStore,
        events: eventlog.EventLog,
        metrics: metrics_module.Metrics,
        speeds: leaderside.ControlSpeeds | None = None,
    ) -> None:
        self._speeds = speeds
        self._dialect = dialect
        self._address = address
        self._client = client
        self._lease = lease
        self._proposer = log_proposer
        self._holder_id = holder_id
        self._window_seconds = window_seconds
        self._due_seconds = due_seconds
        self._routing = routing
        self._term = term
        self._events = events
        self._metrics = metrics
        self._wall_clock = clock.WallClock()
        self._last_reported_window: int | None = None
        self._plans = plans
        self._planned_at = 0.0
        self._fence = 0

    async def run(self) -> None:
        """Reports usage and orders runners when due, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            term, routing = self._term(), self._routing()
            if term is None or routing is None or not self._lease_allows_call():
                continue
            if self._fence != self._lease.fence:
                self._fence = self._lease.fence
                plans_known = self._plans.take_over(clock.steady())
                self._events.write("duties_taken", fence=self._fence, plans_known=plans_known)
            succeeded = await self._report_usage(term, routing)
            now = clock.steady()
            if now - self._planned_at >= PLAN_INTERVAL_SECONDS:
                self._planned_at = now
                succeeded = await self._order_runners(term, routing) and succeeded
            if not succeeded:
                await asyncio.sleep(RETRY_DELAY_SECONDS)

    def _lease_allows_call(self) -> bool:
        return self._lease.remaining() > CALL_TIMEOUT_SECONDS + LEASE_MARGIN_SECONDS

    def _check_lease(self) -> None:
        """Raises `LeaseEndedError` if a call that is sent now could arrive after the lease.

        The process may have been suspended since the call was decided.
        """
        if self._lease.remaining() <= LEASE_MARGIN_SECONDS or self._lease.fence != self._fence:
            raise LeaseEndedError("the lease ended before the call was sent")

    async def _report_usage(
        self, term: leadership.Leadership, routing: document.RoutingDocument
    ) -> bool:
        """Reports the usage windows that have ended; returns False if a report failed.

        The counts of a window are final once they are committed, so that all entries must have
        been able to report to this term before.
        """
        if term.listened_seconds(clock.steady()) < USAGE_SETTLE_SECONDS:
            return True
        now = self._wall_clock.now()
        newest_window = int((now - USAGE_SETTLE_SECONDS) // self._window_seconds) - 1
        oldest_window = int((now - self._due_seconds) // self._window_seconds)
        if self._last_reported_window is None:
            self._last_reported_window = oldest_window - 1
        for window in range(max(self._last_reported_window + 1, oldest_window), newest_window + 1):
            if not self._lease_allows_call():
                return False
            counts = await self._commit_counts(term, routing, window)
            if counts is None:
                return False
            outcome = await self._call_cloud(ports.UsageReport(window, counts))
            self._events.write(
                "usage_reported",
                window=window,
                counts=counts,
                outcome=outcome.value,
                fence=self._fence,
            )
            if outcome is not ports.CloudOutcome.DONE:
                return False
            self._last_reported_window = window
        return True

    async def _commit_counts(
        self, term: leadership.Leadership, routing: document.RoutingDocument, window: int
    ) -> dict[str, int] | None:
        """Commits the counts of a window to the log, so that all reports of it are the same.

        Returns
        -------
        dict of str to int or None
            The committed counts by organisation, which an earlier holder of the duties may have
            written; None if the log is unavailable.
        """
        names = [organisation.name for organisation in routing.organisations]
        counts = term.usage(window, names)
        command = writeonce.Write(f"usage/{window}", msgspec.json.encode(counts))
        try:
            committed = await self._proposer.propose(loghost.CONTROL, writeonce.NAME, command)
        except (proposer.QuorumLostError, proposer.UnknownOutcomeError) as error:
            self._events.write("usage_not_fixed", window=window, cause=str(error))
            return None
        return msgspec.json.decode(committed.value, type=dict[str, int])

    async def _order_runners(
        self, term: leadership.Leadership, routing: document.RoutingDocument
    ) -> bool:
        """Orders the runners that the plans call for; returns False if an order failed."""
        now = clock.steady()
        demand = term.demand(now)
        for service in routing.services.values():
            if service.scaling is None:
                continue
            plan = self._plans.plan(service, now)
            service_upstreams = [
                each for each in term.directory.records if each.service == service.name
            ]
            ready = [each for each in service_upstreams if each.state is upstreams.State.READY]
            rates = demand.get(service.name, demandmeter.DemandRates())
            speeds = fleet.EQUAL
            if self._speeds is not None:
                speeds = self._speeds.fleet(service.name, service_upstreams)
            for order in plan.due_orders(service_upstreams, rates, now, speeds):
                if not self._lease_allows_call():
                    return False
                outcome = await self._call_cloud(
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
                    ready=len(ready),
                    prompt_tokens=round(rates.prompt_tokens),
                    output_tokens=round(rates.output_tokens),
                    late_fraction=round(rates.late_fraction, 3),
                    load_per_runner=round(plan.load_per_runner, 3),
                    capacity=round(speeds.capacity(ready), 2),
                )
                plan.record_outcome(order, outcome is ports.CloudOutcome.DONE, now)
                if outcome is ports.CloudOutcome.FAILED:
                    return False
        return True

    async def _call_cloud(self, call: ports.UsageReport | ports.RunnerOrder) -> ports.CloudOutcome:
        request = self._dialect.encode(call, self._holder_id, self._fence)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                answer = await self._client.send(
                    self._address, request, None, before_send=self._check_lease
                )
                await answer.read(None, MAX_ANSWER_BYTES)
        except (http_errors.HttpError, LeaseEndedError, TimeoutError) as error:
            self._events.warn("cloud_unreachable", order=type(call).__name__, cause=str(error))
            self._metrics.count("cloud_calls_failed")
            return ports.CloudOutcome.FAILED
        self._metrics.count("cloud_calls")
        return self._dialect.decode_outcome(answer.status)
