"""The requests that wait at an entry for room at a service.

Load pattern: more requests arrive within a moment than the upstreams can start, and room arises
soon enough for some of them. A request waits only as long as its answer can still be in time; the
others are refused at once, so that their callers can use the time that they have left.
"""

import bisect
import dataclasses

__all__ = ["Bounds", "Place", "WaitingQueue", "expected_wait_seconds"]

# A request joins the queue if it would be in time even with a wait longer than expected by this
# factor, as the room of the next moments is uncertain.
WAIT_MARGIN = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds of one queue.

    Attributes
    ----------
    requests : int
    body_bytes : int
        Bytes of the bodies of all waiting requests.
    """

    requests: int
    body_bytes: int


@dataclasses.dataclass(slots=True, eq=False)
class Place:
    """The place of one request in the order of those that wait.

    Attributes
    ----------
    appointed : bool
        Whether the caller returned at the time that it was told.
    urgency : int
        0 is the most urgent.
    useful_until : float
        Latest time at which the request can be sent to be answered within its objective.
    body_bytes : int
    """

    appointed: bool
    urgency: int
    useful_until: float
    body_bytes: int = 0

    @property
    def rank(self) -> tuple[bool, int]:
        """What orders requests before their time counts; lower goes first."""
        return not self.appointed, self.urgency

    @property
    def order(self) -> tuple[bool, int, float]:
        """Sort key of the queue."""
        return *self.rank, self.useful_until


def expected_wait_seconds(position: int, backlog_seconds: float, rate: float | None) -> float:
    """Returns the time until the request at a position of the queue is expected to be admitted.

    Parameters
    ----------
    position : int
        Number of requests that go before it.
    backlog_seconds : float
        Time in which the best upstream processes what it has too much of; 0 if that is not known.
    rate : float or None
        Admissions per second at this entry; None if hardly any are known.
    """
    if rate is None:
        return backlog_seconds if backlog_seconds and not position else float("inf")
    return max(backlog_seconds, 1.0 / rate) + position / rate


class WaitingQueue:
    """Requests for one service that wait at one entry, in the order in which they are tried.

    Parameters
    ----------
    bounds : Bounds
    """

    def __init__(self, bounds: Bounds) -> None:
        self._bounds = bounds
        self._places: list[Place] = []
        self._body_bytes = 0

    def __len__(self) -> int:
        return len(self._places)

    @property
    def head(self) -> Place | None:
        """The place that is tried next."""
        return self._places[0] if self._places else None

    def goes_before(self, place: Place) -> bool:
        """Returns whether a waiting request of the same or a higher rank goes before a new one.

        A caller that has kept its time goes before newcomers of its own urgency, but not before
        more urgent ones.
        """
        return any(
            each.rank <= place.rank and each.urgency <= place.urgency for each in self._places
        )

    def has_hope(
        self, place: Place, now: float, backlog_seconds: float, rate: float | None
    ) -> bool:
        """Returns whether a request that joins now is expected to be sent in time."""
        wait = expected_wait_seconds(self.position(place), backlog_seconds, rate)
        return WAIT_MARGIN * wait <= place.useful_until - now

    def position(self, place: Place) -> int:
        """Returns the number of waiting requests that go before a place."""
        if place in self._places:
            return self._places.index(place)
        return bisect.bisect_right(self._places, place.order, key=_order)

    def join(
        self, place: Place, now: float, backlog_seconds: float, rate: float | None
    ) -> list[Place]:
        """Lets a request wait if it has hope; returns the places that have to leave instead.

        These are the new place itself if it has no hope, and the last ones of a full queue.
        """
        if not self.has_hope(place, now, backlog_seconds, rate):
            return [place]
        bisect.insort_right(self._places, place, key=_order)
        self._body_bytes += place.body_bytes
        leaving = []
        while (
            len(self._places) > self._bounds.requests or self._body_bytes > self._bounds.body_bytes
        ):
            last = self._places[-1]
            self.leave(last)
            leaving.append(last)
        return leaving

    def leave(self, place: Place) -> None:
        """Removes a place; does nothing if it does not wait."""
        if place in self._places:
            self._places.remove(place)
            self._body_bytes -= place.body_bytes

    def remove_hopeless(self, now: float, rate: float | None) -> list[Place]:
        """Removes and returns the places whose turn is expected after their latest useful time."""
        hopeless = []
        left = 0
        for place in list(self._places):
            if now + _passing_seconds(left, rate) > place.useful_until:
                hopeless.append(place)
                self.leave(place)
            else:
                left += 1
        return hopeless


def _passing_seconds(position: int, rate: float | None) -> float:
    """Returns the time in which the requests before a position are expected to be admitted."""
    if not position:
        return 0.0
    return position / rate if rate is not None else float("inf")


def _order(place: Place) -> tuple[bool, int, float]:
    return place.order
