"""Applies the rollouts to the requests of one entry, and counts what their answers tell."""

from collections.abc import Sequence

from coltsfoothead.daemon.gateway import clock, failures, requeststate
from coltsfoothead.kernel.rollouts import entry
from coltsfoothead.kernel.traffic import upstreams

__all__ = ["VersionChoice"]


class VersionChoice:
    """Chooses the versions to which attempts may go.

    Parameters
    ----------
    rollouts : EntryRollouts or None
        None if rollouts are switched off; then each attempt may go to every version.
    """

    def __init__(self, rollouts: entry.EntryRollouts | None = None) -> None:
        self._rollouts = rollouts

    def choose(self, state: requeststate.RequestState) -> None:
        """Chooses the versions for the next attempt of a request."""
        if self._rollouts is None:
            return
        bound_version = None
        if state.bound_to_version:
            bound_version = state.origin.version if state.origin is not None else ""
        state.choice = self._rollouts.choose(
            state.service,
            state.route.name,
            clock.steady(),
            first=state.choice is None,
            bound_version=bound_version,
        )

    def filter(
        self, state: requeststate.RequestState, candidates: Sequence[upstreams.Upstream]
    ) -> list[upstreams.Upstream]:
        """Returns the upstreams whose version the attempt may go to."""
        choice = state.choice
        if choice is None or choice.rule is None:
            return list(candidates)
        return [each for each in candidates if choice.allows(each)]

    def fall_back(self, state: requeststate.RequestState, refused: bool) -> bool:
        """Chooses the other versions for an attempt that found no upstream of the target.

        Parameters
        ----------
        state : RequestState
        refused : bool
            Whether the target has upstreams, which cannot take the request now.

        Returns
        -------
        bool
            Whether the choice has changed.
        """
        choice = state.choice
        if choice is None or not choice.exposed or state.bound_to_version:
            return False
        if refused and choice.only:
            return False
        state.choice = entry.Choice(choice.rule)
        return True

    def begin(self, state: requeststate.RequestState, upstream: upstreams.Upstream) -> bool:
        """Counts a request that is about to be sent; returns whether it still may be."""
        if self._rollouts is None:
            return True
        self._abandon(state)
        state.sending = self._rollouts.begin(
            state.service,
            state.route.name,
            upstream,
            clock.steady(),
            first=not state.sent_count,
        )
        return state.sending is not None

    def record_answer(self, state: requeststate.RequestState, status: int) -> None:
        """Records that an upstream has answered a request completely."""
        self._end(state, failed=status >= 500)

    def record_failure(
        self, state: requeststate.RequestState, failure: failures.AttemptFailedError
    ) -> None:
        """Records that an attempt failed."""
        if failure.response is not None:
            self.record_answer(state, failure.response.status)
        elif failure.not_run or not failure.sent or state.relayed:
            # It tells about the way to the upstream, or about its load.
            self._abandon(state)
        else:
            self._end(state, broken=True)

    def finish(self, state: requeststate.RequestState, timed_out: bool) -> None:
        """Records that a request has ended, perhaps while an attempt was under way."""
        if timed_out:
            self._end(state, failed=True)
        self._abandon(state)

    def _end(
        self, state: requeststate.RequestState, failed: bool = False, broken: bool = False
    ) -> None:
        if self._rollouts is not None and state.sending is not None:
            self._rollouts.end(state.sending, clock.steady(), failed, broken)
        state.sending = None

    def _abandon(self, state: requeststate.RequestState) -> None:
        if self._rollouts is not None and state.sending is not None:
            self._rollouts.abandon(state.sending)
        state.sending = None
