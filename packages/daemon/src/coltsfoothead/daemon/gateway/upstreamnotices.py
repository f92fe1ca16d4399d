"""What upstreams say in their answers about requests to come, as one entry has heard it."""

from coltsfoothead.daemon.gateway import clock, eventlog, ports
from coltsfoothead.kernel.traffic import departures, upstreams

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

    def leaving(self) -> tuple[departures.Departure, ...]:
        """Returns the upstreams that have said that they leave, for the leader."""
        return self._departures.report(clock.steady())

    def leaves(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether an upstream has said that it leaves."""
        return self._departures.leaves(upstream)

    def record(self, upstream: upstreams.Upstream, head: ports.ResponseHead) -> None:
        """Records the notices in an answer, or in one that reached another entry through this."""
        if head.leaving and self._departures.record(upstream, clock.steady()):
            self._events.write("upstream_leaving", upstream=upstream.id, born=upstream.born)
