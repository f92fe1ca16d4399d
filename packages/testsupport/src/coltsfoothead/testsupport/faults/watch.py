"""Watches the configuration at every daemon: in force within 6 s and never reverted."""

import asyncio
import dataclasses
import time
from typing import Any

import msgspec

from coltsfoothead.testsupport import cluster, errors

__all__ = ["Accepted", "Watch"]

IN_FORCE_SECONDS = 6.0
_POLL_SECONDS = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A change that an operator was told is accepted."""

    change_id: str
    version: int
    digest: str
    at: float


class Watch:
    """Polls the status of each daemon and keeps what contradicts the accepted changes."""

    def __init__(self, installation: cluster.Cluster) -> None:
        self.accepted: list[Accepted] = []
        self.problems: list[str] = []
        self._cluster = installation
        self._seen: dict[str, tuple[int, str]] = {}

    async def run(self, name: str) -> None:
        """Polls one daemon until cancelled."""
        while True:
            asked_at = time.monotonic()
            try:
                status = await self._cluster.operators(name, "GET", "/status", seconds=1.0)
            except (errors.TestSupportError, TimeoutError, msgspec.DecodeError):
                status = {"ready": False}
            if status["ready"]:
                self._check(name, status, asked_at)
            await asyncio.sleep(_POLL_SECONDS)

    def _check(self, name: str, status: dict[str, Any], asked_at: float) -> None:
        version, digest = status["config_version"], status["config_digest"]
        before, _ = self._seen.get(name, (0, ""))
        if version < before:
            self.problems.append(f"P7 {name}: ready with version {version} after {before}")
        self._seen[name] = (version, digest)
        for change in self.accepted:
            late = asked_at - change.at - IN_FORCE_SECONDS
            if late > 0 and version < change.version:
                self.problems.append(
                    f"P7 {name}: ready with version {version}, {late:.1f} s after the bound of "
                    f"version {change.version}"
                )
            if version == change.version and digest != change.digest:
                self.problems.append(f"P7 {name}: version {version} has another document")
