"""Service-level accounting: which requests of each organisation met their targets."""

from collections.abc import Callable

from coltsfoothead.daemon import metrics as metrics_module
from coltsfoothead.daemon.serving import requests
from coltsfoothead.kernel import environment, operations
from coltsfoothead.kernel.slo import burn

__all__ = ["ServiceLevel"]

_ALERT_STATES = {
    burn.AlertKind.FAST: operations.AlertState.PAGE,
    burn.AlertKind.SLOW: operations.AlertState.TICKET,
}


class ServiceLevel:
    """Measures how fast each organisation burns its error budget at this daemon.

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

    def count_model_request(self, request: requests.ModelRequest) -> None:
        """Counts an ended model request.

        It is good if its answer is complete and both the time to first token and the mean time
        between tokens met their targets.
        """
        document = self._document()
        if document is None or request.started_at is None:
            return
        targets = document.targets
        good = isinstance(request.end, requests.Completion)
        if request.first_token_at is not None:
            first_token_seconds = request.first_token_at - request.started_at
            token_gap_seconds = (self._clock() - request.first_token_at) / max(
                1, len(request.tokens) - 1
            )
            self._metrics.record("first_token_us", first_token_seconds * 1e6)
            self._metrics.record("token_gap_us", token_gap_seconds * 1e6)
            good = good and first_token_seconds <= targets.first_token_seconds
            good = good and token_gap_seconds <= targets.token_gap_seconds
        self._record(request.organisation, good, document)

    def count_service_call(self, organisation: str, seconds: float, answered: bool) -> None:
        """Counts a service call, which is good if it was answered within the target time."""
        document = self._document()
        if document is not None:
            good = answered and seconds <= document.targets.service_seconds
            self._record(organisation, good, document)

    def count_refusal(self, organisation: str) -> None:
        """Counts a request that was refused for lack of capacity."""
        document = self._document()
        if document is not None:
            self._record(organisation, False, document)

    def report(self) -> operations.SloAnswer:
        """Returns the burn rates and alerts of all organisations."""
        if self._meter is None:
            return operations.SloAnswer()
        return operations.SloAnswer(
            organisations=tuple(
                self._organisation_slo(each) for each in self._meter.report(self._clock())
            )
        )

    def _record(self, organisation: str, good: bool, document: environment.Environment) -> None:
        # An objective of 1 leaves an error budget of 0, by which the burn rate cannot be divided.
        objective = min(document.targets.objective, 0.9999)
        if self._meter is None or objective != self._objective:
            self._objective = objective
            self._meter = burn.BurnMeter(objective)
        self._meter.record(organisation, int(good), 1, self._clock())

    def _organisation_slo(self, report: burn.BurnReport) -> operations.OrganisationSlo:
        kinds = {alert.kind for alert in report.alerts}
        states = [state for kind, state in _ALERT_STATES.items() if kind in kinds]
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
            alert=states[0] if states else operations.AlertState.OK,
            windows=tuple(windows[seconds] for seconds in sorted(windows)),
        )
