"""Divides the room of services at the leader, in each of its terms."""

import collections
import statistics
from collections.abc import Iterable

from coltsfoothead.daemon.gateway import eventlog, exchange, leadership
from coltsfoothead.kernel.sharing import leadershares, work
from coltsfoothead.kernel.traffic import overload, routetable, upstreams

__all__ = ["TermShares"]

# Requests that wait at upstreams in these states are still going to be served there.
SERVING_STATES = (upstreams.State.READY, upstreams.State.DRAINING)


class TermShares:
    """Divides the room of services among organisations and entries.

    Parameters
    ----------
    events : EventLog
    """

    def __init__(self, events: eventlog.EventLog) -> None:
        self._events = events
        self._shares = leadershares.LeaderShares(0.0)

    def begin(self, now: float) -> None:
        """Begins a term; the entries keep their shares until enough has been reported in it."""
        self.end()
        self._shares = leadershares.LeaderShares(now)

    def end(self) -> None:
        """Ends a term; nothing is divided by this process from now on."""
        self._log(self._shares.end())

    def answer(
        self,
        term: leadership.Leadership,
        report: exchange.Report,
        table: routetable.RouteTable | None,
        entry_count: int,
        now: float,
    ) -> tuple[work.ServiceShare, ...] | None:
        """Takes in the report of an entry and returns its shares.

        Parameters
        ----------
        term : Leadership
        report : Report
        table : RouteTable or None
            None if no document is in force.
        entry_count : int
            Entries that may be serving.
        now : float
            Steady time in seconds.
        """
        self._shares.record(report.sender, report.sharing, now)
        self._log(self._shares.update(lambda: _service_states(term, table, now), now))
        return self._shares.shares(report.sender, entry_count, now)

    def _log(self, changes: Iterable[leadershares.RoomChange]) -> None:
        for change in changes:
            self._events.write(
                "service_short" if change.short else "service_not_short",
                service=change.service,
                room=round(change.room, 2),
                offered=round(change.offered, 2),
                served=round(change.served, 2),
                backlog=round(change.backlog, 2),
                target=round(change.target_backlog, 2),
                limited=change.limited,
            )


def _service_states(
    term: leadership.Leadership, table: routetable.RouteTable | None, now: float
) -> dict[str, leadershares.ServiceState]:
    """Returns what is known of each service with model runners."""
    if table is None:
        return {}
    goals: dict[str, list[float]] = {}
    for route in table.routing.routes:
        for target in route.targets:
            if route.goal_seconds is not None:
                goals.setdefault(target.service, []).append(route.goal_seconds)
    ready: collections.Counter[str] = collections.Counter()
    waiting_tokens: collections.Counter[str] = collections.Counter()
    waiting_requests: collections.Counter[str] = collections.Counter()
    loads = term.total_loads(now)
    for each in term.directory.records:
        ready[each.service] += each.state is upstreams.State.READY
        if each.id in loads and each.state in SERVING_STATES:
            waiting_tokens[each.service] += loads[each.id].waiting_tokens
            waiting_requests[each.service] += loads[each.id].waiting
    return {
        name: leadershares.ServiceState(
            waiting_tokens[name],
            ready[name],
            statistics.fmean(goals.get(name, (overload.DEFAULT_GOAL_SECONDS,))),
            waiting_requests[name],
        )
        for name, service in table.routing.services.items()
        if service.engine is not None
    }
