"""The leader's windows of upstreams that have started, returned or flapped.

Load pattern: sixty entries see a new upstream without load, and each sees the requests of the
others half a second late. The leader therefore hands out permits: the requests in flight that the
entries report and the permits that they hold add up to no more than the window.
"""

import dataclasses
import math
import statistics
from collections.abc import Iterable, Mapping

from coltsfoothead.kernel.pacing import messages, window
from coltsfoothead.kernel.traffic import placement, upstreams

__all__ = ["Change", "Closed", "Ended", "Opened", "PaceTable"]

# A window starts with this fraction of the median requests in flight at the other upstreams.
START_FRACTION = 0.25
# Least requests of a first window: with one, a single slow prompt would decide.
MIN_START = 2.0
# A further window within this time is a flap; each one halves the start.
FLAP_SECONDS = 30.0
# Fraction of a service's slots outside windows that suffices to keep others within theirs. With
# less, the windows are wider, as callers would be refused otherwise.
SETTLED_FRACTION = 0.5
# An upstream that has been ready for this long shows that its service was served before another.
SERVED_SECONDS = 2.0
# Time from the start of a term in which entries tell the windows of the previous one.
ADOPTION_SECONDS = 4.0
# A permit that was not reported back is void after this time: the longest age of an answer that an
# entry accepts, and the time for which it uses it.
PERMIT_SECONDS = 2.0
# Entries among which the room of a window is divided.
HOLDERS = 8
# Time in which an entry gets no permit after it has not used one, if others wait for it.
YIELD_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Opened:
    """A window was opened.

    Attributes
    ----------
    upstream : Upstream
    cause : str
        ``started``, ``returned`` or ``adopted``.
    size : float
    flaps : int
        Windows of the upstream shortly before this one.
    """

    upstream: upstreams.Upstream
    cause: str
    size: float
    flaps: int


@dataclasses.dataclass(frozen=True, slots=True)
class Closed:
    """A window was made smaller by late or failed requests."""

    upstream: upstreams.Upstream
    size: float
    outcomes: messages.Outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """A window was dropped.

    Attributes
    ----------
    cause : str
        ``full`` or ``expired`` if the upstream gets its full share now; ``left`` if it is no longer
        ready.
    seconds : float
        Time since the window was opened.
    outcomes : Outcomes
        All outcomes within the window.
    """

    upstream: upstreams.Upstream
    cause: str
    seconds: float
    outcomes: messages.Outcomes


Change = Opened | Closed | Ended


@dataclasses.dataclass(slots=True)
class _Held:
    permits: int
    given_at: float


@dataclasses.dataclass(slots=True)
class _Paced:
    upstream: upstreams.Upstream
    window: window.Window
    held: dict[str, _Held] = dataclasses.field(default_factory=dict)
    # Until when entries that have not used a permit get none.
    yielding: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class _Sender:
    zone: str
    seen_at: float


class PaceTable:
    """Windows of one term.

    Parameters
    ----------
    inherited : iterable of Upstream
        Upstreams that are known at the start of the term; they have no window.
    discovery_seconds : float
        Time in which all running upstreams announce themselves after a restart of everything.
    now : float
        Steady time in seconds at which the term begins.
    """

    def __init__(
        self, inherited: Iterable[upstreams.Upstream], discovery_seconds: float, now: float
    ) -> None:
        self._began_at = now
        self._discovery_seconds = discovery_seconds
        self._records = {each.id: each for each in inherited}
        self._ready_since = dict.fromkeys(self._records, float("-inf"))
        self._inherited_services = {each.service for each in self._ready()}
        self._paced: dict[str, _Paced] = {}
        # Times of the latest windows of an upstream.
        self._opened_at: dict[str, list[float]] = {}
        self._senders: dict[str, _Sender] = {}
        self._floors: dict[str, float] = {}
        self._changes: list[Change] = []

    @property
    def windows(self) -> dict[str, window.Window]:
        """Windows by upstream ID."""
        return {name: paced.window for name, paced in self._paced.items()}

    def pop_changes(self) -> list[Change]:
        """Returns and clears the changes of windows since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def observe(
        self,
        records: Iterable[upstreams.Upstream],
        loads: Mapping[str, placement.Load],
        now: float,
    ) -> None:
        """Opens and drops windows by what has changed in the directory.

        Parameters
        ----------
        records : iterable of Upstream
            All records of the directory.
        loads : mapping of str to Load
            Requests in flight of all entries by upstream ID.
        now : float
        """
        previous, self._records = self._records, {each.id: each for each in records}
        for name, paced in list(self._paced.items()):
            current = self._records.get(name)
            if current is None or not _same_start(current, paced.upstream) or not _ready(current):
                self._end(paced, "left", now)
        arrived = [each for each in self._ready() if not _continues(previous.get(each.id), each)]
        # Those that arrive together do not show that their service was served before them.
        opening = [(each, self._cause(previous.get(each.id), each, now)) for each in arrived]
        for each in arrived:
            self._ready_since[each.id] = now
        arrived_ids = {each.id for each in arrived}
        for each, cause in opening:
            if cause is not None:
                self._open(each, cause, self._start_size(each, loads, arrived_ids), now)
        for times in (self._ready_since, self._opened_at):
            for name in times.keys() - self._records.keys():
                del times[name]
        self._forget_senders(now)
        self._update_floors()

    def record(
        self, report: messages.PaceReport, loads: Mapping[str, placement.Load], now: float
    ) -> None:
        """Applies what an entry has observed, beside the requests in flight of all entries."""
        if report.sizes and now - self._began_at <= ADOPTION_SECONDS:
            self._adopt(report.sizes, now)
        for name, outcomes in report.outcomes.items():
            paced = self._paced.get(name)
            if paced is None:
                continue
            if paced.window.record(outcomes, _in_flight(loads, name), now):
                self._changes.append(Closed(paced.upstream, paced.window.size, outcomes))
            self._end_if_due(paced, now)

    def paces(
        self,
        sender: str,
        zone: str,
        own: Mapping[str, placement.Load],
        loads: Mapping[str, placement.Load],
        now: float,
    ) -> dict[str, messages.Pace]:
        """Returns the windows with an entry's permits, which replace those that it holds.

        Parameters
        ----------
        sender, zone : str
            Entry that has just reported, and its zone.
        own, loads : mapping of str to Load
            Requests in flight of this entry, and of all entries together.
        now : float
        """
        self._senders[sender] = _Sender(zone, now)
        if not self._paced:
            return {}
        self._forget_senders(now)
        zones = {each.zone for each in self._senders.values()}
        for paced in list(self._paced.values()):
            paced.window.advance(now)
            self._end_if_due(paced, now)
        return {
            name: messages.Pace(
                round(paced.window.size, 1),
                self._permits(
                    paced, sender, zones, _in_flight(own, name), _in_flight(loads, name), now
                ),
            )
            for name, paced in self._paced.items()
        }

    def _permits(
        self,
        paced: _Paced,
        sender: str,
        zones: set[str],
        own_in_flight: int,
        in_flight: int,
        now: float,
    ) -> int | None:
        """Returns and records the permits of an entry; None if the window does not bind."""
        returned = paced.held.pop(sender, None)
        limit = max(paced.window.size, self._floors[paced.upstream.service] * paced.window.slots)
        if limit >= paced.window.slots:
            paced.held.clear()
            return None
        paced.held = {
            name: held for name, held in paced.held.items() if now - held.given_at <= PERMIT_SECONDS
        }
        room = int(limit) - in_flight - sum(held.permits for held in paced.held.values())
        unused = returned is not None and returned.permits > 0 and own_in_flight == 0
        if unused and room < len(self._senders):
            paced.yielding[sender] = now + YIELD_SECONDS
        if now < paced.yielding.get(sender, now):
            return 0
        paced.yielding.pop(sender, None)
        zone = paced.upstream.zone
        if self._senders[sender].zone != zone and zone in zones:
            # One permit is left to the entries near the upstream.
            room -= 1
        permits = max(0, math.ceil(room / min(HOLDERS, len(self._senders))))
        if permits:
            paced.held[sender] = _Held(permits, now)
        return permits

    def _cause(
        self, previous: upstreams.Upstream | None, arrived: upstreams.Upstream, now: float
    ) -> str | None:
        """Returns why an upstream that has become ready gets a window, or None if it gets none."""
        discovers = arrived.service not in self._inherited_services
        if discovers and now - self._began_at < self._discovery_seconds:
            return None
        if not any(
            now - self._ready_since.get(each.id, now) >= SERVED_SECONDS
            for each in self._ready(arrived.service)
            if each.id != arrived.id
        ):
            return None
        returns = previous is not None and _same_start(previous, arrived)
        return "returned" if returns else "started"

    def _start_size(
        self,
        opened: upstreams.Upstream,
        loads: Mapping[str, placement.Load],
        arrived_ids: set[str],
    ) -> float:
        """Returns the start of a window by what the other upstreams of the service carry."""
        others = [
            _in_flight(loads, each.id)
            for each in self._ready(opened.service)
            if each.id not in arrived_ids and each.id not in self._paced
        ]
        return max(MIN_START, START_FRACTION * statistics.median(others or [0]))

    def _open(self, opened: upstreams.Upstream, cause: str, size: float, now: float) -> None:
        times = [at for at in self._opened_at.get(opened.id, ()) if now - at <= FLAP_SECONDS]
        self._opened_at[opened.id] = [*times, now]
        size = max(window.MIN_SIZE, size / 2 ** len(times))
        opened_window = window.Window(size, opened.slots, now)
        if opened_window.full:
            return
        self._paced[opened.id] = _Paced(opened, opened_window)
        self._changes.append(Opened(opened, cause, size, len(times)))

    def _adopt(self, sizes: Mapping[str, float], now: float) -> None:
        for name, size in sizes.items():
            known = self._records.get(name)
            if known is None or not _ready(known):
                continue
            if name in self._paced:
                self._paced[name].window.adopt(size)
            elif name not in self._opened_at:
                # Otherwise this term has already ended the window.
                self._open(known, "adopted", size, now)
        self._update_floors()

    def _end_if_due(self, paced: _Paced, now: float) -> None:
        if not paced.window.releases and now - paced.window.opened_at > window.LIFETIME_SECONDS:
            paced.window.release(now)
        if paced.window.full:
            self._end(paced, "expired" if paced.window.releases else "full", now)
            self._update_floors()

    def _end(self, paced: _Paced, cause: str, now: float) -> None:
        del self._paced[paced.upstream.id]
        seconds = now - paced.window.opened_at
        self._changes.append(Ended(paced.upstream, cause, seconds, paced.window.outcomes))

    def _update_floors(self) -> None:
        """Computes how wide the windows of each service are at least, as a fraction of slots."""
        self._floors = {}
        for service in {each.upstream.service for each in self._paced.values()}:
            ready = self._ready(service)
            settled = sum(each.slots for each in ready if each.id not in self._paced)
            fraction = settled / max(1, sum(each.slots for each in ready))
            self._floors[service] = max(0.0, 1.0 - fraction / SETTLED_FRACTION)

    def _forget_senders(self, now: float) -> None:
        self._senders = {
            name: each
            for name, each in self._senders.items()
            if now - each.seen_at <= PERMIT_SECONDS
        }

    def _ready(self, service: str | None = None) -> list[upstreams.Upstream]:
        return [
            each
            for each in self._records.values()
            if _ready(each) and service in (None, each.service)
        ]


def _ready(record: upstreams.Upstream) -> bool:
    return record.state is upstreams.State.READY


def _same_start(first: upstreams.Upstream, second: upstreams.Upstream) -> bool:
    return first.born == second.born and first.service == second.service


def _continues(previous: upstreams.Upstream | None, current: upstreams.Upstream) -> bool:
    """Returns whether an upstream that is ready was so before, since the same start."""
    return previous is not None and _ready(previous) and _same_start(previous, current)


def _in_flight(loads: Mapping[str, placement.Load], upstream_id: str) -> int:
    load = loads.get(upstream_id)
    return load.running + load.waiting if load is not None else 0
