"""Times at which refused callers return, given one after another.

Load pattern: a herd of callers is refused within a moment, and would return within another one.
Each entry gives times at the rate at which it admits requests. The rates of all entries together
are the room of the service, so that the entries need not agree on the times.
"""

import bisect
import collections
import dataclasses
import itertools
import random
from collections.abc import Iterable

import msgspec

__all__ = [
    "EARLY_SECONDS",
    "Appointment",
    "AppointmentBook",
    "AppointmentTable",
    "Schedule",
    "latest_return",
]

# A caller needs this time to read the refusal and to connect again.
LEAST_RETURN_SECONDS = 0.05
# Callers wait as told up to this fraction of the time that they have left; a little less, as a part
# of it passes while the refusal is on its way.
LEFT_FRACTION = 0.95 / 3
# Rate that is assumed while nothing is known: that of an entry with hardly any room.
DEFAULT_RATE_PER_SECOND = 0.5
# Part of the time between two slots by which the time told differs from the slot.
JITTER_FRACTION = 0.2
# A caller that returns by so much early counts as punctual; times are told in milliseconds.
EARLY_SECONDS = 0.02
# Time that an appointment of another entry may have been under way. Without it, punctual callers
# would count as early at the other entries.
TRANSIT_SECONDS = 0.2
# An appointment ends by itself this long after its time.
GRACE_SECONDS = 1.5
# Bounds of the memory and messages that a herd can cause.
MAX_OWN = 512
MAX_SHARED = 512
MAX_MESSAGE = 64


class Appointment(msgspec.Struct, frozen=True, array_like=True):
    """An appointment, as processes tell it each other.

    Parameters
    ----------
    key : int
        Short digest of the request.
    due_ms : int
        Milliseconds until the caller returns.
    """

    key: int
    due_ms: int


def latest_return(left_seconds: float) -> float:
    """Returns the longest delay that a caller honours which has some time left."""
    return LEFT_FRACTION * max(0.0, left_seconds)


class Schedule:
    """Slots in which the refused callers of one service return to one entry.

    Parameters
    ----------
    rng : random.Random
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._slots: list[float] = []

    def take_slot(
        self, now: float, latest_seconds: float, rate: float | None, after_seconds: float = 0.0
    ) -> float:
        """Takes the next free slot and returns the delay after which its caller returns.

        If there is none that the caller would wait for, the widest gap between two slots is
        divided, so that the callers without a slot do not return together, either.

        Parameters
        ----------
        latest_seconds : float
            Longest delay that the caller honours.
        rate : float or None
            Admissions per second at this entry, if known.
        after_seconds : float, optional
            Time in which no room arises, or the requests that already wait take it.
        """
        spacing = 1.0 / (rate or DEFAULT_RATE_PER_SECOND)
        self._free_passed(now, spacing)
        latest = now + latest_seconds
        earliest = min(now + max(LEAST_RETURN_SECONDS, after_seconds), latest)
        begin = earliest if earliest < latest else min(now + LEAST_RETURN_SECONDS, latest)
        if len(self._slots) >= MAX_OWN:
            # The slots that are taken hold; without one, returns are spread by chance.
            return self._rng.uniform(begin, latest) - now
        slot = self._free_slot(earliest, spacing)
        if slot > latest:
            slot, spacing = self._widest_gap(begin, latest)
        bisect.insort(self._slots, slot)
        told = slot + self._rng.uniform(0.0, JITTER_FRACTION * spacing)
        return min(told, latest) - now

    def _free_passed(self, now: float, spacing: float) -> None:
        """Forgets slots that no longer keep the next one at a distance."""
        del self._slots[: bisect.bisect_left(self._slots, now - spacing)]

    def _free_slot(self, earliest: float, spacing: float) -> float:
        if not self._slots:
            # Entries that begin to refuse together begin at different phases.
            return earliest + self._rng.uniform(0.0, spacing)
        first = self._slots[0]
        if first - spacing >= earliest:
            return first - spacing * ((first - earliest) // spacing)
        for earlier, later in itertools.pairwise(self._slots):
            slot = max(earlier + spacing, earliest)
            if slot + spacing <= later:
                return slot
        return max(self._slots[-1] + spacing, earliest)

    def _widest_gap(self, earliest: float, latest: float) -> tuple[float, float]:
        """Returns the middle of the widest gap between slots, and half its width."""
        inside = [each for each in self._slots if earliest < each < latest]
        bounds = [earliest, *inside, latest]
        begin, end = max(itertools.pairwise(bounds), key=lambda gap: gap[1] - gap[0])
        half = (end - begin) / 2
        return begin + half, half


@dataclasses.dataclass(slots=True)
class _Told:
    due: float
    own: bool
    unreported: bool


class AppointmentBook:
    """Appointments that one entry knows: its own, and the newest of the other entries'."""

    def __init__(self) -> None:
        self._told: collections.OrderedDict[int, _Told] = collections.OrderedDict()
        self._sent: tuple[tuple[int, _Told], ...] = ()

    def __len__(self) -> int:
        return len(self._told)

    def add(self, key: int, due: float, now: float) -> None:
        """Records the time that a caller was told by this entry."""
        self._put(key, _Told(due, True, True), now)

    def due(self, key: int, now: float) -> float | None:
        """Returns the time of an appointment whose caller is expected, or None."""
        told = self._told.get(key)
        if told is None or now > told.due + GRACE_SECONDS:
            return None
        return told.due

    def keep(self, key: int, now: float) -> bool:
        """Ends the appointment of a caller that has returned; returns whether it was in time."""
        due = self.due(key, now)
        if due is None or now < due - EARLY_SECONDS:
            return False
        del self._told[key]
        return True

    def report(self, now: float) -> tuple[Appointment, ...]:
        """Returns the newest own appointments that the leader has not confirmed."""
        newest = [
            (key, each)
            for key, each in reversed(self._told.items())
            if each.unreported and each.due > now
        ]
        newest = newest[:MAX_MESSAGE]
        self._sent = tuple(newest)
        return tuple(Appointment(key, round((each.due - now) * 1e3)) for key, each in newest)

    def confirm(self) -> None:
        """Records that the leader has answered the last report."""
        for _, told in self._sent:
            # A later time of the same caller is an object of its own.
            told.unreported = False
        self._sent = ()

    def receive(self, appointments: Iterable[Appointment], now: float) -> None:
        """Adds what other entries have told their callers; own ones hold until they pass."""
        for each in appointments:
            known = self._told.get(each.key)
            if known is None or not known.own or self.due(each.key, now) is None:
                due = now + each.due_ms * 1e-3 - TRANSIT_SECONDS
                self._put(each.key, _Told(due, False, False), now)

    def _put(self, key: int, told: _Told, now: float) -> None:
        self._told.pop(key, None)
        self._told[key] = told
        if len(self._told) > MAX_OWN + MAX_SHARED:
            for passed in [
                name for name, each in self._told.items() if now > each.due + GRACE_SECONDS
            ]:
                del self._told[passed]
        while len(self._told) > MAX_OWN + MAX_SHARED:
            self._told.popitem(last=False)


@dataclasses.dataclass(frozen=True, slots=True)
class _Shared:
    number: int
    sender: str
    due: float


class AppointmentTable:
    """Appointments that the entries have reported in one leader's term."""

    def __init__(self) -> None:
        self._shared: collections.OrderedDict[int, _Shared] = collections.OrderedDict()
        self._number = 0
        self._sent: dict[str, int] = {}

    def record(self, sender: str, appointments: Iterable[Appointment], now: float) -> None:
        """Adds the appointments in an entry's report."""
        for each in appointments:
            self._number += 1
            self._shared.pop(each.key, None)
            self._shared[each.key] = _Shared(self._number, sender, now + each.due_ms * 1e-3)
        while len(self._shared) > MAX_SHARED:
            self._shared.popitem(last=False)

    def unsent(self, receiver: str, now: float) -> tuple[Appointment, ...]:
        """Returns the newest appointments of other entries that an entry has not been sent."""
        if not self._shared:
            self._sent.clear()
            return ()
        last_sent = self._sent.get(receiver, 0)
        self._sent[receiver] = self._number
        while self._shared and next(iter(self._shared.values())).due < now:
            self._shared.popitem(last=False)
        newest = itertools.takewhile(
            lambda item: item[1].number > last_sent, reversed(self._shared.items())
        )
        others = (
            Appointment(key, round((each.due - now) * 1e3))
            for key, each in newest
            if each.sender != receiver and each.due > now
        )
        return tuple(itertools.islice(others, MAX_MESSAGE))
