"""Keeps the requests of one entry to the windows of upstreams that have started or returned."""

import copy

from coltsfoothead.daemon import metrics as metrics_module
from coltsfoothead.daemon.gateway import clock, exchange, failures, loads, requeststate
from coltsfoothead.kernel.pacing import messages, permits
from coltsfoothead.kernel.traffic import overload, placement, upstreams

__all__ = ["EntryPacing"]

# Factor by which an answer in time lowers the weight of the failures before an upstream returned.
RECOVERY_FACTOR = 0.5


class EntryPacing:
    """Prefers upstreams that admit a request, and observes the answers of those in a window.

    Parameters
    ----------
    enabled : bool
        Whether the settings enable pacing. If not, nothing is reported, and no leader tells this
        entry of a window.
    tracker : LoadTracker
    metrics : Metrics or None
    phase : float, default 0
        Fraction that spreads the requests of entries that have no leader, in 0 to 1.
    """

    def __init__(
        self,
        enabled: bool,
        tracker: loads.LoadTracker,
        metrics: metrics_module.Metrics | None = None,
        phase: float = 0.0,
    ) -> None:
        self._enabled = enabled
        self._loads = tracker
        self._metrics = metrics
        self._permits = permits.EntryPermits(clock.steady(), phase)

    def reading_copy(self) -> "EntryPacing":
        """Returns an independent copy that counts nothing, for a request that is not sent."""
        copied = EntryPacing(self._enabled, self._loads)
        copied._permits = copy.deepcopy(self._permits)
        return copied

    def preferred(
        self, group: list[upstreams.Upstream], overrides: bool = True
    ) -> list[upstreams.Upstream]:
        """Returns the upstreams whose windows admit a request.

        Parameters
        ----------
        group : list of Upstream
        overrides : bool, default True
            Whether to return all if none does, as there is no other candidate.
        """
        if not self._permits.paced:
            return group
        admitting = [each for each in group if self._admits(each)]
        if self._metrics is not None and len(admitting) < len(group):
            held_off = admitting or not overrides
            self._metrics.count("pacing_requests_held_off" if held_off else "pacing_overridden")
        return admitting or (group if overrides else [])

    def begin(self, state: requeststate.RequestState) -> None:
        """Notes that a request is being sent to the upstream chosen for it."""
        self.end(state)
        if self._enabled and state.upstream_id is not None:
            goal_seconds = state.route.goal_seconds or overload.DEFAULT_GOAL_SECONDS
            state.pending_answer = self._permits.begin(
                state.upstream_id, goal_seconds, clock.steady()
            )

    def record_answer(self, state: requeststate.RequestState) -> None:
        """Notes that the answer of the last attempt has begun."""
        pending = state.pending_answer
        if pending is not None and self._permits.record_answer(pending, clock.steady()):
            self._loads.ease_failures(pending.upstream_id, RECOVERY_FACTOR, clock.steady())

    def record_failure(
        self, state: requeststate.RequestState, failure: failures.AttemptFailedError
    ) -> None:
        """Notes that the last attempt failed before or after the beginning of its answer."""
        pending = state.pending_answer
        # What failed before it was sent, or at a peer, does not tell how the upstream answers.
        tells = failure.sent and (failure.not_run or not state.relayed)
        if pending is not None and tells:
            self._permits.record_failure(pending, refused=failure.not_run)
        self.end(state)

    def record_response(self, state: requeststate.RequestState, status: int) -> None:
        """Notes that the last attempt ended with a whole response, which may tell a failure."""
        if status >= 500:
            self.record_failure(state, failures.AttemptFailedError(f"status {status}"))
        else:
            self.record_answer(state)

    def end(self, state: requeststate.RequestState) -> None:
        """Notes that nobody waits for the answer any longer."""
        pending, state.pending_answer = state.pending_answer, None
        if pending is not None:
            self._permits.drop(pending)

    def report(self) -> messages.PaceReport | None:
        """Returns what the leader should know; None while pacing is off."""
        return self._permits.report(clock.steady()) if self._enabled else None

    def receive(self, answer: exchange.Answer) -> None:
        """Applies the leader's answer."""
        if self._enabled:
            leadership = answer.directory.leadership
            self._permits.receive(leadership, answer.pacing, clock.steady())

    def _admits(self, upstream: upstreams.Upstream) -> bool:
        own = self._loads.own_loads.get(upstream.id, placement.Load())
        return self._permits.admits(upstream.id, own.running + own.waiting, clock.steady())
