"""Window of the requests in flight at one upstream, from all entries together.

It answers a load of many entries that see an idle upstream at the same moment. An answer in time
admits further requests, so that the number of new ones doubles from one round to the next.
"""

from coltsfoothead.kernel.pacing import messages

__all__ = ["MIN_SIZE", "Window"]

# Smallest window; an upstream that gets no request could not show that it has recovered.
MIN_SIZE = 1.0
# Requests that an answer in time adds: as many as have been answered while the first window is
# being confirmed, and twice as many after it.
FIRST_GAIN = 1.0
GAIN = 2.0
# Factors by which late answers, and refused or broken requests, close the window.
LATE_FACTOR = 0.75
FAILED_FACTOR = 0.5
# Least time between two closings; the entries report one congestion within an exchange.
CLOSE_SECONDS = 0.25
# Time in which a window opens by itself to all slots, so that an upstream without requests does
# not stay closed.
IDLE_OPEN_SECONDS = 20.0
# Time after a late or failed request in which the window does not open by itself.
HOLD_SECONDS = 2.0
# Life of a window until it is released. An upstream that answers late for longer is slow or as busy
# as others.
LIFETIME_SECONDS = 30.0
# Time in which an expired window opens to all slots, whatever the answers: entries that saw a
# lightly loaded upstream without a window would all send to it at once.
RELEASE_SECONDS = 5.0


class Window:
    """Window of one upstream.

    Parameters
    ----------
    size : float
        Requests in flight with which it starts.
    slots : int
        Requests that the upstream serves at once. A window of this size is full.
    now : float
        Steady time in seconds.
    """

    def __init__(self, size: float, slots: int, now: float) -> None:
        self._slots = float(max(1, slots))
        self._size = min(self._slots, max(MIN_SIZE, size))
        # Answers in time that still open it by the first gain.
        self._unconfirmed = self._size
        self._opened_at = self._advanced_at = now
        # Times of the latest closing, and of the latest late or failed request.
        self._closed_at = self._bad_at = float("-inf")
        self._releases = False
        self._outcomes = messages.Outcomes()

    @property
    def size(self) -> float:
        """Requests that may be in flight."""
        return self._size

    @property
    def slots(self) -> float:
        """Size at which the window is full."""
        return self._slots

    @property
    def full(self) -> bool:
        """Whether the upstream may get its full share."""
        return self._size >= self._slots

    @property
    def releases(self) -> bool:
        """Whether the window opens whatever the answers."""
        return self._releases

    @property
    def opened_at(self) -> float:
        """Steady time at which the window was opened."""
        return self._opened_at

    @property
    def outcomes(self) -> messages.Outcomes:
        """All outcomes recorded."""
        return self._outcomes

    def record(self, outcomes: messages.Outcomes, in_flight: int, now: float) -> bool:
        """Opens or closes the window by some outcomes; returns whether it was closed.

        Parameters
        ----------
        outcomes : Outcomes
        in_flight : int
            Requests in flight. While they exceed the window, those that are late were sent before
            it was closed, and close it no further.
        now : float
        """
        self.advance(now)
        self._outcomes += outcomes
        failed = outcomes.refused + outcomes.broken
        closes = bool(failed or outcomes.late) and in_flight <= self._size
        closes = closes and now - self._closed_at >= CLOSE_SECONDS and not self._releases
        if closes:
            factor = FAILED_FACTOR if failed else LATE_FACTOR
            self._size = max(MIN_SIZE, factor * self._size)
            self._unconfirmed = self._size
            self._closed_at = now
        if failed or outcomes.late:
            self._bad_at = now
        first = min(outcomes.in_time, self._unconfirmed)
        self._unconfirmed -= first
        self._grow(FIRST_GAIN * first + GAIN * (outcomes.in_time - first))
        return closes

    def advance(self, now: float) -> None:
        """Opens the window by the time that has passed."""
        since, seconds = max(self._advanced_at, self._bad_at + HOLD_SECONDS), IDLE_OPEN_SECONDS
        if self._releases:
            since, seconds = self._advanced_at, RELEASE_SECONDS
        self._advanced_at = now
        if now > since:
            self._grow((now - since) * self._slots / seconds)

    def release(self, now: float) -> None:
        """Opens the window from now on whatever the answers, until it is full."""
        self.advance(now)
        self._releases = True

    def adopt(self, size: float) -> None:
        """Opens the window to the size that it had in the previous term, if that is larger."""
        self._grow(size - self._size)

    def _grow(self, amount: float) -> None:
        self._size = min(self._slots, self._size + max(0.0, amount))
