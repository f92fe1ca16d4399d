"""The leader's windows of one term, with their log lines and metrics."""

from collections.abc import Mapping

from coltsfoothead.daemon import metrics as metrics_module
from coltsfoothead.daemon.gateway import directory, eventlog, exchange
from coltsfoothead.kernel.pacing import messages, table
from coltsfoothead.kernel.traffic import placement

__all__ = ["LeaderPacing"]

# Interval of the lines about one window that late answers close again and again.
CLOSED_LINE_SECONDS = 1.0


class LeaderPacing:
    """Answers the entries' reports of one term with their permits.

    Parameters
    ----------
    upstream_directory : Directory
    discovery_seconds : float
        Time in which all running upstreams announce themselves after a restart of everything.
    events : EventLog
    metrics : Metrics
    now : float
        Steady time at which the term begins.
    """

    def __init__(
        self,
        upstream_directory: directory.Directory,
        discovery_seconds: float,
        events: eventlog.EventLog,
        metrics: metrics_module.Metrics,
        now: float,
    ) -> None:
        self._directory = upstream_directory
        self._events = events
        self._metrics = metrics
        self._table = table.PaceTable(upstream_directory.records, discovery_seconds, now)
        self._observed_change = upstream_directory.change_number
        self._closed_lines_at: dict[str, float] = {}

    def answer(
        self, report: exchange.Report, loads: Mapping[str, placement.Load], now: float
    ) -> dict[str, messages.Pace]:
        """Returns the windows with the permits of an entry.

        Parameters
        ----------
        report : Report
        loads : mapping of str to Load
            Requests in flight of all entries by upstream ID, with those of the report.
        now : float
        """
        if self._observed_change != self._directory.change_number:
            self._observed_change = self._directory.change_number
            self._table.observe(self._directory.records, loads, now)
        paces: dict[str, messages.Pace] = {}
        if report.entry and report.pacing is not None:
            self._table.record(report.pacing, loads, now)
            paces = self._table.paces(report.sender, report.zone, report.loads, loads, now)
        for change in self._table.pop_changes():
            self._write(change, now)
        return paces

    def _write(self, change: table.Change, now: float) -> None:
        """Writes a line about a change, and counts it."""
        name, service = change.upstream.id, change.upstream.service
        match change:
            case table.Opened(cause=cause, size=size, flaps=flaps):
                self._metrics.count("pacing_windows_opened")
                self._events.write(
                    "window_opened",
                    upstream=name,
                    service=service,
                    cause=cause,
                    size=round(size, 1),
                    slots=change.upstream.slots,
                    flaps=flaps,
                )
            case table.Closed(size=size, outcomes=outcomes):
                self._metrics.count("pacing_windows_closed")
                if now - self._closed_lines_at.get(name, float("-inf")) >= CLOSED_LINE_SECONDS:
                    self._closed_lines_at[name] = now
                    self._events.write(
                        "window_closed",
                        upstream=name,
                        size=round(size, 1),
                        late=outcomes.late,
                        refused=outcomes.refused,
                        broken=outcomes.broken,
                    )
            case table.Ended(cause=cause, seconds=seconds, outcomes=outcomes):
                self._closed_lines_at.pop(name, None)
                self._metrics.count("pacing_windows_ended")
                self._metrics.record("pacing_window_requests", outcomes.total)
                self._metrics.record("pacing_window_late", outcomes.late)
                if cause == "full":
                    self._metrics.record("pacing_full_share_ms", seconds * 1e3)
                self._events.write(
                    "window_dropped",
                    upstream=name,
                    service=service,
                    cause=cause,
                    seconds=round(seconds, 2),
                    in_time=outcomes.in_time,
                    late=outcomes.late,
                    refused=outcomes.refused,
                    broken=outcomes.broken,
                )
