"""Learned speeds at an entry: it observes answers, reports them and applies what is learned."""

import asyncio

from coltsfoothead.daemon.gateway import clock, loads, requeststate
from coltsfoothead.daemon.gateway.speeds import wire
from coltsfoothead.kernel.speeds import observing, rates
from coltsfoothead.kernel.traffic import placement, upstreams

__all__ = ["SpeedMonitor", "Watch"]


class Watch:
    """Observes the answer of one attempt; does nothing if it tells nothing about the speed.

    Parameters
    ----------
    watched : AnswerWatch or None
    tracker : LoadTracker
    upstream_id : str
    """

    def __init__(
        self, watched: observing.AnswerWatch | None, tracker: loads.LoadTracker, upstream_id: str
    ) -> None:
        self._watched = watched
        self._loads = tracker
        self._upstream_id = upstream_id

    def record_events(self, count: int) -> None:
        """Records that some events have arrived."""
        if self._watched is not None:
            load = self._loads.load(self._upstream_id)
            self._watched.record_events(count, load, asyncio.get_running_loop().time())

    def finish(self) -> None:
        """Records what was observed; may be called twice."""
        if self._watched is not None:
            self._watched.finish()
            self._watched = None


class SpeedMonitor:
    """Speeds of the upstreams as one entry knows them.

    Parameters
    ----------
    learned : bool
        Whether speeds are learned; otherwise all upstreams have the nominal rates.
    tracker : LoadTracker
    """

    def __init__(self, learned: bool, tracker: loads.LoadTracker) -> None:
        self._speeds = observing.EntrySpeeds(learned)
        self._loads = tracker

    def rates(self, upstream: upstreams.Upstream) -> rates.Rates:
        """Returns the rates of an upstream."""
        return self._speeds.rates(upstream)

    def watch(
        self,
        state: requeststate.RequestState,
        chosen: placement.Candidate,
        unread_tokens: int | None,
    ) -> Watch:
        """Starts to watch the answer to a request that is about to be sent.

        Parameters
        ----------
        state : RequestState
        chosen : Candidate
        unread_tokens : int or None
            Prompt tokens that the upstream has to prefill; None if the time to the first event
            depends on something else, too.
        """
        watched = None
        engine = state.engine
        has_engine = engine is not None and engine.tokens_per_event > 0
        if self._speeds.learned and has_engine and state.prompt is not None:
            watched = self._speeds.watch(
                chosen.upstream,
                chosen.load,
                unread_tokens,
                engine.tokens_per_event,
                asyncio.get_running_loop().time(),
            )
        return Watch(watched, self._loads, chosen.upstream.id)

    def report(self, leadership: str) -> wire.SpeedReport | None:
        """Returns the report to the leader of a term; None if no speeds are learned."""
        if not self._speeds.learned:
            return None
        observed = self._speeds.pop_observations(clock.steady())
        return wire.SpeedReport(
            self._speeds.version(leadership), observed.deviations, dict(observed.sums)
        )

    def receive(self, answer: wire.SpeedAnswer | None, leadership: str) -> None:
        """Applies what the leader has learned."""
        if answer is not None and self._speeds.learned:
            self._speeds.receive(answer.update, leadership, clock.steady())

    def remove_upstream(self, upstream_id: str) -> None:
        """Removes what is known of an upstream that is gone."""
        self._speeds.remove_upstream(upstream_id)
