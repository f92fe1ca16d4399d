"""Counts of begun requests per organisation in windows of the wall clock."""

from collections.abc import Iterable, Mapping

__all__ = ["WindowCounts", "total"]


class WindowCounts:
    """Counts of one process for the newest windows.

    Parameters
    ----------
    window_seconds : float
        Windows begin at multiples of it since the start of 1970.
    kept : int
        Windows that are kept.
    """

    def __init__(self, window_seconds: float, kept: int) -> None:
        self._window_seconds = window_seconds
        self._kept = kept
        self._counts: dict[int, dict[str, int]] = {}

    @property
    def counts(self) -> Mapping[int, Mapping[str, int]]:
        """Counts by window and organisation."""
        return self._counts

    def began(self, organisation: str, wall_seconds: float) -> None:
        """Counts a request that began to run at a wall-clock time."""
        number = int(wall_seconds // self._window_seconds)
        if number not in self._counts:
            self._counts[number] = {}
            for old in sorted(self._counts)[: -self._kept]:
                del self._counts[old]
        window = self._counts.get(number)
        if window is not None:
            window[organisation] = window.get(organisation, 0) + 1


def total(
    reports: Iterable[Mapping[int, Mapping[str, int]]], number: int, organisations: Iterable[str]
) -> dict[str, int]:
    """Adds up the counts that several processes report for one window."""
    added = dict.fromkeys(organisations, 0)
    for report in reports:
        for name, count in report.get(number, {}).items():
            added[name] = added.get(name, 0) + count
    return added
