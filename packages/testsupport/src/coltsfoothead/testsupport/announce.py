"""Announcements of the fake upstreams to the daemons."""

import argparse
import asyncio
import collections
import dataclasses
import time
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from coltsfoothead.testsupport import errors, webclient

__all__ = ["Announcer", "LaggingLoad", "Placement", "add_arguments", "placement_from_options"]

_DEFAULT_RENEW_INTERVAL_SECONDS = 0.5
_ATTEMPT_TIMEOUT_SECONDS = 1.0
_RETRY_DELAY_SECONDS = 0.1
_LOAD_SAMPLE_INTERVAL_SECONDS = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Identity and location of an upstream.

    `advertised_address` is announced instead of the upstream's own address, for example the address
    of a proxy route in front of it.
    """

    upstream: str = "upstream-1"
    region: str = "home"
    zone: str = "home-a"
    vm: str = "vm-1"
    vm_class: str = "standard"
    advertised_address: str = ""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command-line arguments of an upstream that announces itself."""
    parser.add_argument("--announce", action="append", default=[], help="daemon URL; repeatable")
    parser.add_argument("--load-lag-seconds", type=float, default=0.0)
    for field in dataclasses.fields(Placement):
        name = "--" + field.name.replace("_", "-")
        parser.add_argument(name, default=field.default)


def placement_from_options(options: argparse.Namespace) -> Placement:
    """Returns the placement given by the command-line arguments."""
    names = [field.name for field in dataclasses.fields(Placement)]
    return Placement(**{name: getattr(options, name) for name in names})


class LaggingLoad:
    """Reports load samples that are at least `lag_seconds` old.

    Parameters
    ----------
    measure : callable
        Returns the current load.
    lag_seconds : float
        Least age of a reported sample; 0 reports the current load.
    """

    def __init__(self, measure: Callable[[], dict[str, Any]], lag_seconds: float):
        self._measure = measure
        self._lag_seconds = lag_seconds
        self._samples: collections.deque[tuple[float, dict[str, Any]]] = collections.deque()

    async def run(self) -> None:
        while True:
            self._samples.append((time.monotonic(), self._measure()))
            await asyncio.sleep(_LOAD_SAMPLE_INTERVAL_SECONDS)

    def report(self) -> dict[str, Any]:
        """Returns the newest sample that is old enough, with its age in milliseconds."""
        now = time.monotonic()
        if not self._lag_seconds or not self._samples:
            return {**self._measure(), "measured_ms_ago": 0}
        while len(self._samples) > 1 and self._samples[1][0] <= now - self._lag_seconds:
            self._samples.popleft()
        taken_at, sample = self._samples[0]
        return {**sample, "measured_ms_ago": round((now - taken_at) * 1000)}


class Announcer:
    """Announces an upstream and renews the announcement at the interval that the daemon requests.

    Parameters
    ----------
    urls : sequence of str
        Daemons to announce to; after a failure the next one is tried.
    placement : Placement
        Identity and location of the upstream.
    describe : callable
        Returns the fields of the announcement that depend on the kind of upstream.
    """

    def __init__(
        self, urls: Sequence[str], placement: Placement, describe: Callable[[], dict[str, Any]]
    ):
        self.accepted = 0
        self.failed = 0
        self.enabled = True
        self.leaving_since: float | None = None
        self._urls = list(urls)
        self._placement = placement
        self._describe = describe
        self._incarnation = time.time_ns() // 1_000_000
        self._sequence = 0
        self._deadline: float | None = None
        self._renew_now = asyncio.Event()

    @property
    def zone(self) -> str:
        return self._placement.zone

    @property
    def leaving(self) -> bool:
        return self.leaving_since is not None

    def renew(self) -> None:
        """Announces at once, for example after a change of the models."""
        self._renew_now.set()

    def leave(self, deadline_seconds: float) -> None:
        """Announces the state `leaving` from now on, with a deadline in seconds from now."""
        self.leaving_since = time.monotonic()
        self._deadline = self.leaving_since + deadline_seconds
        self.renew()

    def body(self) -> dict[str, Any]:
        """Returns the body of the next announcement."""
        self._sequence += 1
        remaining_ms = None
        if self._deadline is not None:
            remaining_ms = max(0, round((self._deadline - time.monotonic()) * 1000))
        identity = dataclasses.asdict(self._placement)
        advertised = identity.pop("advertised_address")
        body = {
            **identity,
            "incarnation": self._incarnation,
            "sequence": self._sequence,
            "state": "leaving" if self.leaving else "serving",
            "deadline_ms": remaining_ms,
            **self._describe(),
        }
        return {**body, "address": advertised} if advertised else body

    async def run(self) -> None:
        """Announces until cancelled."""
        while self._urls:
            self._renew_now.clear()
            wait_seconds = (
                await self._announce() if self.enabled else _DEFAULT_RENEW_INTERVAL_SECONDS
            )
            try:
                async with asyncio.timeout(wait_seconds):
                    await self._renew_now.wait()
            except TimeoutError:
                continue

    async def _announce(self) -> float:
        try:
            reply = await webclient.fetch(
                self._urls[0],
                "POST",
                "/announce",
                json=self.body(),
                timeout_seconds=_ATTEMPT_TIMEOUT_SECONDS,
            )
            if reply.status == 200:
                self.accepted += 1
                return reply.json()["renew_after_ms"] / 1000
        except (errors.TestSupportError, TimeoutError, msgspec.DecodeError, KeyError):
            pass
        self.failed += 1
        self._urls.append(self._urls.pop(0))
        return _RETRY_DELAY_SECONDS
