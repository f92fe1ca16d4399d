"""Usage counts: started requests per organisation in windows of wall-clock time."""

from collections.abc import Iterable, Mapping

__all__ = ["WindowCounts", "total_counts"]


class WindowCounts:
    """Counts of one process for the latest windows.

    Parameters
    ----------
    window_seconds : float
        Length of a window; windows begin at multiples of it in Unix time.
    max_windows : int
        Number of windows that are kept.
    """

    def __init__(self, window_seconds: float, max_windows: int) -> None:
        self._window_seconds = window_seconds
        self._max_windows = max_windows
        self._counts: dict[int, dict[str, int]] = {}

    @property
    def counts(self) -> Mapping[int, Mapping[str, int]]:
        """Counts by window number and organisation."""
        return self._counts

    def record_start(self, organisation: str, wall_seconds: float) -> None:
        """Counts a request that started at a Unix time."""
        number = int(wall_seconds // self._window_seconds)
        if number not in self._counts:
            self._counts[number] = {}
            for old in sorted(self._counts)[: -self._max_windows]:
                del self._counts[old]
        window = self._counts.get(number)
        if window is not None:
            window[organisation] = window.get(organisation, 0) + 1


def total_counts(
    reports: Iterable[Mapping[int, Mapping[str, int]]], number: int, organisations: Iterable[str]
) -> dict[str, int]:
    """Sums the counts of several processes for one window; includes organisations without any."""
    totals = dict.fromkeys(organisations, 0)
    for report in reports:
        for name, count in report.get(number, {}).items():
            totals[name] = totals.get(name, 0) + count
    return totals
