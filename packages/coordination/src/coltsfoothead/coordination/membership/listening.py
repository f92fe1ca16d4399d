"""Clock that measures how long a process has listened to its peers."""

__all__ = ["ListeningClock"]


class ListeningClock:
    """Clock that stands still while its process cannot receive messages.

    The silence of a peer is measured with it: a process that was suspended has not heard its peers
    either, which tells nothing about them.

    Parameters
    ----------
    max_step_seconds : float
        Longest time between two readings that counts in full. Of a longer one, which means that the
        process was suspended or blocked, this much counts.
    now : float
        Steady time in seconds.
    """

    def __init__(self, max_step_seconds: float, now: float) -> None:
        self._max_step_seconds = max_step_seconds
        self._read_at = now
        self._listened_seconds = 0.0

    def read(self, now: float) -> float:
        """Returns the seconds for which the process has listened."""
        step = min(max(0.0, now - self._read_at), self._max_step_seconds)
        self._listened_seconds += step
        self._read_at = now
        return self._listened_seconds
