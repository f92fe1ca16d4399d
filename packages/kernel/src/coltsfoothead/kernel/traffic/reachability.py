"""Reachability of upstreams from one entry, by the outcomes of its attempts to connect.

An entry that cannot reach an upstream may be cut off itself, or the upstream may have stopped. It
takes itself for cut off from a service if several upstreams of the service, or all of them if they
are few, began to fail after the last connection that any of them accepted.
"""

import dataclasses
from collections.abc import Container, Iterable

__all__ = ["Reachability"]

# Upstreams that have to fail, unless the service has fewer.
MIN_FAILED_UPSTREAMS = 6


@dataclasses.dataclass(slots=True)
class _Path:
    opened_at: float = float("-inf")
    failed_at: float = float("-inf")
    refused: bool = False

    @property
    def failing(self) -> bool:
        return self.failed_at > self.opened_at


class Reachability:
    """Tracks to which upstreams connections can be opened.

    All times are in seconds on one monotonic clock.
    """

    def __init__(self) -> None:
        self._paths: dict[str, _Path] = {}

    def record_opened(self, upstream_id: str, now: float) -> None:
        """Records that an upstream accepted a connection."""
        self._paths.setdefault(upstream_id, _Path()).opened_at = now

    def record_failed(self, upstream_id: str, refused: bool, started_at: float) -> None:
        """Records that no connection could be opened.

        Parameters
        ----------
        upstream_id : str
        refused : bool
            Whether the attempt was refused, instead of receiving no answer. Connections that exist
            may live on while new ones are refused.
        started_at : float
            Time at which the attempt began.
        """
        path = self._paths.setdefault(upstream_id, _Path())
        path.refused = refused
        if not path.failing:
            path.failed_at = started_at

    def failing(self, upstream_id: str) -> bool:
        """Returns whether the last attempt to connect to an upstream failed."""
        path = self._paths.get(upstream_id)
        return path is not None and path.failing

    def failing_seconds(self, upstream_id: str, now: float) -> float:
        """Returns for how long attempts to connect to an upstream have failed."""
        return now - self._paths[upstream_id].failed_at if self.failing(upstream_id) else 0.0

    def isolated(self, upstream_ids: Iterable[str]) -> bool:
        """Returns whether this entry seems to be cut off from a service.

        Parameters
        ----------
        upstream_ids : iterable of str
            Upstreams of the service that accept new requests.
        """
        paths = [self._paths.get(each, _Path()) for each in upstream_ids]
        opened_at = max((each.opened_at for each in paths), default=float("-inf"))
        failed = sum(each.failed_at > opened_at for each in paths)
        return bool(paths) and failed >= min(MIN_FAILED_UPSTREAMS, len(paths))

    def refused(self, upstream_ids: Iterable[str]) -> bool:
        """Returns whether all upstreams among these that fail refuse connections."""
        return all(self._paths[each].refused for each in upstream_ids if self.failing(each))

    def retain(self, upstream_ids: Container[str]) -> None:
        """Removes the records of all upstreams but the given ones."""
        self._paths = {name: each for name, each in self._paths.items() if name in upstream_ids}
