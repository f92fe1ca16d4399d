"""What upstreams say in their answers about requests to come, as one entry has heard it."""

from collections.abc import Iterable

from coltsfoothead.daemon.gateway import clock, eventlog, ports
from coltsfoothead.kernel.traffic import brittleness, departures, upstreams

__all__ = ["UpstreamNotices"]


class UpstreamNotices:
    """Decides by the upstreams' notices whether a request may be sent to them.

    Parameters
    ----------
    events : EventLog
    """

    def __init__(self, events: eventlog.EventLog) -> None:
        self._events = events
        self._departures = departures.DepartureTable()
        self._pauses = departures.PauseTable()
        self._brittle = brittleness.BrittleTable()

    @property
    def brittle(self) -> brittleness.BrittleTable:
        """Brittle upstreams."""
        return self._brittle

    def leaving(self) -> tuple[departures.Departure, ...]:
        """Returns the upstreams that have said that they leave, for the leader."""
        return self._departures.report(clock.steady())

    def leaves(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether an upstream has said that it leaves."""
        return self._departures.leaves(upstream)

    def pauses(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether an upstream has asked this entry for a pause that goes on."""
        return self._pauses.remaining_seconds(upstream, clock.steady()) > 0

    def pause_seconds(self, group: Iterable[upstreams.Upstream]) -> float:
        """Returns the time until the first of some upstreams accepts requests of this entry."""
        return self._pauses.shortest_seconds(group, clock.steady())

    def record(self, upstream: upstreams.Upstream, head: ports.ResponseHead) -> None:
        """Records the notices in an answer, or in one that reached another entry through this."""
        if head.leaving and self._departures.record(upstream, clock.steady()):
            self._events.write("upstream_leaving", upstream=upstream.id, born=upstream.born)
        now = clock.steady()
        self._record_brittleness(upstream, head, now)
        if head.pause_seconds:
            self._pauses.record(upstream, head.pause_seconds, now)
            self._events.write(
                "upstream_pauses", upstream=upstream.id, seconds=round(head.pause_seconds, 2)
            )

    def _record_brittleness(
        self, upstream: upstreams.Upstream, head: ports.ResponseHead, now: float
    ) -> None:
        tolerated = head.tolerated_rejections
        # A failed or rejected request does not tell that an upstream is no longer brittle.
        told = tolerated is not None or not (head.not_run or head.status >= 500)
        if told and self._brittle.record_answer(upstream.id, tolerated, now):
            self._events.write("upstream_brittle", upstream=upstream.id, tolerated=tolerated)
        if head.not_run and not head.misdirected:
            self._brittle.record_rejection(upstream.id, now)
