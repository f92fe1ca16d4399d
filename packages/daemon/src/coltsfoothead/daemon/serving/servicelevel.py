"""Counts which requests met their targets, per organisation."""

from collections.abc import Callable

from coltsfoothead.daemon import metrics as metrics_module
from coltsfoothead.daemon.serving import requests
from coltsfoothead.kernel import environment, operations
from coltsfoothead.kernel.slo import burn

__all__ = ["ServiceLevel"]

_ALERTS = {
    burn.AlertKind.FAST: operations.AlertState.PAGE,
    burn.AlertKind.SLOW: operations.AlertState.TICKET,
}


class ServiceLevel:
    """Burn of each organisation's error budget at this daemon.

    Parameters
    ----------
    document : callable
        Returns the environment document, or None.
    metrics : Metrics
    clock : callable
        Monotonic seconds.
    """

    def __init__(
        self,
        document: Callable[[], environment.Environment | None],
        metrics: metrics_module.Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._document = document
        self._metrics = metrics
        self._clock = clock
        self._meter: burn.BurnMeter | None = None
        self._objective = 0.0

    def model_ended(self, request: requests.ModelRequest) -> None:
        """Counts a model request; it is good if whole, first token and mean gap were in time."""
        document = self._document()
        if document is None or request.started_at is None:
            return
        targets = document.targets
        good = isinstance(request.end, requests.Completion)
        if request.first_token_at is not None:
            first = request.first_token_at - request.started_at
            gap = (self._clock() - request.first_token_at) / max(1, len(request.tokens) - 1)
            self._metrics.record("first_token_us", first * 1e6)
            self._metrics.record("token_gap_us", gap * 1e6)
            good = good and first <= targets.first_token_seconds
            good = good and gap <= targets.token_gap_seconds
        self._count(request.organisation, good, document)

    def service_ended(self, organisation: str, seconds: float, answered: bool) -> None:
        """Counts a service call; it is good if it was answered in time."""
        document = self._document()
        if document is not None:
            good = answered and seconds <= document.targets.service_seconds
            self._count(organisation, good, document)

    def refused(self, organisation: str) -> None:
        """Counts a request that was refused for lack of capacity."""
        document = self._document()
        if document is not None:
            self._count(organisation, False, document)

    def report(self) -> operations.SloAnswer:
        """Returns the burn report."""
        if self._meter is None:
            return operations.SloAnswer()
        return operations.SloAnswer(
            organisations=tuple(self._entry(each) for each in self._meter.report(self._clock()))
        )

    def _count(self, organisation: str, good: bool, document: environment.Environment) -> None:
        # An objective of 1 leaves no budget to divide by.
        objective = min(document.targets.objective, 0.9999)
        if self._meter is None or objective != self._objective:
            self._objective = objective
            self._meter = burn.BurnMeter(objective)
        self._meter.record(organisation, int(good), 1, self._clock())

    def _entry(self, report: burn.BurnReport) -> operations.OrganisationSlo:
        kinds = {alert.kind for alert in report.alerts}
        found = [state for kind, state in _ALERTS.items() if kind in kinds]
        windows = {
            window.seconds: operations.SloWindow(
                window_seconds=window.seconds,
                burn_rate=round(window.rate, 3),
                requests=window.total,
            )
            for window in report.windows
        }
        return operations.OrganisationSlo(
            organisation=report.organisation,
            objective=self._objective,
            budget_left=round(report.budget_left, 4),
            alert=found[0] if found else operations.AlertState.OK,
            windows=tuple(windows[seconds] for seconds in sorted(windows)),
        )
