"""Learned speeds at a control process: it learns them as the leader, and follows them otherwise."""

import asyncio
from collections.abc import Callable, Iterable

from coltsfoothead.daemon import metrics as metrics_module
from coltsfoothead.daemon.gateway import clock, eventlog
from coltsfoothead.daemon.gateway.speeds import wire
from coltsfoothead.kernel.speeds import answermodel, estimation, fleet
from coltsfoothead.kernel.traffic import upstreams

__all__ = ["ControlSpeeds"]

# Interval of the log lines and metrics.
LOG_INTERVAL_SECONDS = 5.0


class ControlSpeeds:
    """Speeds of all upstreams at one control process.

    Parameters
    ----------
    events : EventLog
    metrics : Metrics
    """

    def __init__(self, events: eventlog.EventLog, metrics: metrics_module.Metrics) -> None:
        self._events = events
        self._metrics = metrics
        self._version = ("", 0)
        self._logged: dict[str, estimation.Summary] = {}
        self.table = estimation.SpeedTable()

    def answer(
        self,
        report: wire.SpeedReport,
        known: Callable[[str], upstreams.Upstream | None],
        same_term: bool,
    ) -> wire.SpeedAnswer | None:
        """Adds a report to the leader's estimates; returns what its sender lacks.

        Parameters
        ----------
        report : SpeedReport
        known : callable
            Returns the record of an upstream in the leader's directory, or None.
        same_term : bool
            Whether the version that the sender knows is one of the current term.

        Returns
        -------
        SpeedAnswer or None
            None if the sender lacks nothing.
        """
        now = clock.steady()
        if report.deviations or report.sums:
            self.table.record(report.observations, known, now)
        update = self.table.update_since(report.version if same_term else 0, now)
        if update is None:
            return None
        return wire.SpeedAnswer(update.version, update.speeds, dict(update.models))

    def report(self, leadership: str) -> wire.SpeedReport:
        """Returns the report of a follower."""
        return wire.SpeedReport(self._version[1] if self._version[0] == leadership else 0)

    def receive(
        self,
        answer: wire.SpeedAnswer,
        leadership: str,
        known: Callable[[str], upstreams.Upstream | None],
    ) -> None:
        """Takes over what the leader has learned."""
        self._version = (leadership, answer.version)
        self.table.receive(answer.update, known, clock.steady())

    def fleet(self, service: str, known: Iterable[upstreams.Upstream]) -> fleet.FleetSpeeds:
        """Returns the speeds of a service's runners for its runner plan."""
        runners = list(known)
        # A runner with few slots decodes fewer requests at once, however fast it is.
        slots = min((each.slots for each in runners), default=answermodel.DECODED_REQUESTS)
        decoded_requests = min(answermodel.DECODED_REQUESTS, slots)
        return fleet.FleetSpeeds(
            self.table.rates(service, decoded_requests),
            {each.id: self.table.speed(each.id, each.born) for each in runners},
            learned=True,
        )

    async def run(self) -> None:
        """Logs and records the speeds that have changed while this process leads."""
        while True:
            await asyncio.sleep(LOG_INTERVAL_SECONDS)
            for service, summary in self.table.summaries().items():
                if self.table.follows or self._logged.get(service) == summary:
                    continue
                self._logged[service] = summary
                rates = summary.rates
                self._events.write(
                    "speeds",
                    service=service,
                    upstreams=summary.upstreams,
                    slowest=summary.slowest,
                    median=summary.median,
                    fastest=summary.fastest,
                    prefill_tokens_per_s=round(rates.prefill_tokens_per_second),
                    idle_prefill_tokens_per_s=round(rates.idle_prefill_tokens_per_second),
                    decode_tokens_per_s=round(rates.decode_tokens_per_second),
                    request_ms=round(rates.delay_seconds_per_request * 1e3, 2),
                )
                self._metrics.record("speed_median_percent", 100 * summary.median)
                spread = summary.fastest / summary.slowest
                self._metrics.record("speed_spread_percent", 100 * spread)
