"""Checks that changes of the configuration are in force within 6 s and never reverted."""

import asyncio
import dataclasses
import time
from typing import Any

import msgspec

from coltsfoothead.testsupport import cluster, errors

__all__ = ["AcceptedChange", "Watch"]

IN_FORCE_BOUND_SECONDS = 6.0
_POLL_INTERVAL_SECONDS = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedChange:
    """Change that was answered as accepted, with the monotonic time of the answer."""

    change_id: str
    version: int
    digest: str
    accepted_at: float


class Watch:
    """Polls the status of daemons and records contradictions to the accepted changes.

    Attributes
    ----------
    accepted : list of AcceptedChange
        Changes that were answered as accepted.
    problems : list of str
        Violations of property P7 found so far.
    """

    def __init__(self, installation: cluster.Cluster) -> None:
        self.accepted: list[AcceptedChange] = []
        self.problems: list[str] = []
        self._cluster = installation
        self._last_seen: dict[str, tuple[int, str]] = {}

    async def run(self, name: str) -> None:
        """Polls one daemon until cancelled."""
        while True:
            requested_at = time.monotonic()
            try:
                status = await self._cluster.request_operators_api(
                    name, "GET", "/status", seconds=1.0
                )
            except (errors.TestSupportError, TimeoutError, msgspec.DecodeError):
                status = {"ready": False}
            if status["ready"]:
                self._check(name, status, requested_at)
            await asyncio.sleep(_POLL_INTERVAL_SECONDS)

    def _check(self, name: str, status: dict[str, Any], requested_at: float) -> None:
        version, digest = status["config_version"], status["config_digest"]
        previous, _ = self._last_seen.get(name, (0, ""))
        if version < previous:
            self.problems.append(f"P7 {name}: ready with version {version} after {previous}")
        self._last_seen[name] = (version, digest)
        for change in self.accepted:
            late_seconds = requested_at - change.accepted_at - IN_FORCE_BOUND_SECONDS
            if late_seconds > 0 and version < change.version:
                self.problems.append(
                    f"P7 {name}: ready with version {version}, {late_seconds:.1f} s after the "
                    f"bound of version {change.version}"
                )
            if version == change.version and digest != change.digest:
                self.problems.append(f"P7 {name}: version {version} has another document")
