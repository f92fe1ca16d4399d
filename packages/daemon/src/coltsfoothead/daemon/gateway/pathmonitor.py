"""Notices which upstreams an entry cannot reach, and when it reaches them again."""

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable, Coroutine, Iterator, Sequence

from coltsfoothead.daemon.gateway import directory, eventlog, loads
from coltsfoothead.daemon.http import client as http_client
from coltsfoothead.daemon.http import errors as http_errors
from coltsfoothead.kernel.traffic import reachability, upstreams

__all__ = ["PathMonitor"]

CHECK_INTERVAL_SECONDS = 0.25
# Time after which an attempt to connect that goes on, or a request without an answer, is a reason
# to probe upstreams. Several round trips between regions, or a sound upstream that pauses.
SLOW_CONNECT_SECONDS = 0.2
SILENCE_SECONDS = 1.0
# Intervals at which an upstream is probed again: one that alone cannot be reached, and any of a
# service that cannot.
REPROBE_SECONDS = 1.0
ISOLATED_REPROBE_SECONDS = 0.5
# Upstreams probed at a time, to tell whether one has stopped or this entry is cut off.
PROBED_UPSTREAMS = 3
ISOLATED_PROBED_UPSTREAMS = 2
# Several round trips between regions; a lost first packet is sent again after a second only.
PROBE_TIMEOUT_SECONDS = 0.3


class PathMonitor:
    """Tracks which upstreams accept connections of this entry, and probes those in doubt.

    A probe opens a connection and closes it. Upstreams are probed only after an attempt to connect,
    a connection or a request gives a reason.

    Parameters
    ----------
    client : Client
    directory_copy : DirectoryCopy
    tracker : LoadTracker
    lost_after_seconds : float
        Time after which the directory no longer lists an upstream that has stopped as ready.
    ask_peers : callable
        Asks the peers of this entry which services they reach.
    events : EventLog
    rng : random.Random
    """

    def __init__(
        self,
        client: http_client.Client,
        directory_copy: directory.DirectoryCopy,
        tracker: loads.LoadTracker,
        lost_after_seconds: float,
        ask_peers: Callable[[], Awaitable[None]],
        events: eventlog.EventLog,
        rng: random.Random,
    ) -> None:
        self._client = client
        self._directory = directory_copy
        self._loads = tracker
        self._lost_after_seconds = lost_after_seconds
        self._ask_peers = ask_peers
        self._events = events
        self._rng = rng
        self._reachability = reachability.Reachability()
        self._probed_at: dict[str, float] = {}
        self._isolated: set[str] = set()
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def usable(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether a request should be sent to an upstream over this entry's connections.

        Connections that exist may live on while new ones are refused.
        """
        isolated = upstream.service in self._isolated
        if not isolated and not self._reachability.failing(upstream.id):
            return True
        ids = self._ready_ids(upstream.service) if isolated else [upstream.id]
        return self._reachability.refused(ids) and self._client.has_idle(upstream.address)

    def needs_peer(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether a request should be sent to an upstream through another entry.

        An upstream that does not accept connections of this entry, but still announces itself to
        the control processes, has not stopped.
        """
        if self.usable(upstream):
            return False
        now = asyncio.get_running_loop().time()
        failing_seconds = self._reachability.failing_seconds(upstream.id, now)
        return self.isolated(upstream.service) or failing_seconds > self._lost_after_seconds

    def isolated(self, service: str) -> bool:
        """Returns whether this entry seems to be cut off from a service."""
        return service in self._isolated

    def unreached_services(self) -> tuple[str, ...]:
        """Returns the services that this entry cannot reach."""
        return tuple(sorted(self._isolated))

    @contextlib.contextmanager
    def watch(self, upstream: upstreams.Upstream) -> Iterator[asyncio.TimerHandle]:
        """Records the outcome of an attempt to connect, and probes others while it takes long.

        Yields a timer that has to be cancelled once the connection is open.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        timer = loop.call_later(SLOW_CONNECT_SECONDS, self._assess, upstream, PROBED_UPSTREAMS)
        try:
            yield timer
        except http_errors.ConnectError as error:
            self._record_failed(upstream, error, started_at)
            self._assess(upstream)
            raise
        finally:
            timer.cancel()
            self._update(upstream.service)

    def record_break(self, upstream: upstreams.Upstream) -> None:
        """Probes an upstream whose connection broke off, and others of its service."""
        self._assess(upstream)

    async def run(self) -> None:
        """Probes upstreams in doubt until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            self._check()
            if self._isolated:
                await self._ask_peers()

    def close(self) -> None:
        """Cancels the probes."""
        for task in self._tasks.values():
            task.cancel()

    def _check(self) -> None:
        now = asyncio.get_running_loop().time()
        ready = {
            each.id: each
            for each in self._directory.records.values()
            if each.state is upstreams.State.READY
        }
        self._reachability.retain(ready)
        self._probed_at = {name: at for name, at in self._probed_at.items() if name in ready}
        for each in self._silent(ready, now):
            self._assess(each)
        due: dict[str, list[upstreams.Upstream]] = {}
        for each in ready.values():
            interval = REPROBE_SECONDS
            if each.service in self._isolated:
                interval = ISOLATED_REPROBE_SECONDS
            elif not self._reachability.failing(each.id):
                continue
            if now - self._probed_at.get(each.id, float("-inf")) >= interval:
                due.setdefault(each.service, []).append(each)
        for service, group in due.items():
            if service in self._isolated:
                group = self._rng.sample(group, min(len(group), ISOLATED_PROBED_UPSTREAMS))
            self._start(service, self._probe_all(group))
        for service in {each.service for each in ready.values()} | self._isolated:
            self._update(service)

    def _silent(
        self, ready: dict[str, upstreams.Upstream], now: float
    ) -> Iterator[upstreams.Upstream]:
        """Yields upstreams with requests of this entry from which nothing arrives."""
        for upstream_id in self._loads.own_loads:
            upstream = ready.get(upstream_id)
            if upstream is None:
                continue
            age = self._client.contact_age_seconds(upstream.address)
            probed_at = self._probed_at.get(upstream_id, float("-inf"))
            if (age is None or age >= SILENCE_SECONDS) and now - probed_at >= SILENCE_SECONDS:
                yield upstream

    def _assess(self, upstream: upstreams.Upstream, first_count: int = 1) -> None:
        """Probes an upstream in doubt, and others of its service if it cannot be reached.

        Parameters
        ----------
        upstream : Upstream
        first_count : int
            Upstreams that are probed at once, the one in doubt among them.
        """
        if not self.isolated(upstream.service):
            self._start(upstream.service, self._find_open(upstream, first_count))

    async def _find_open(self, upstream: upstreams.Upstream, first_count: int) -> None:
        """Probes upstreams of a service, a few at a time, until one accepts a connection."""
        untried = [
            each
            for each in self._directory.ready_upstreams(upstream.service)
            if each.id != upstream.id and not self._reachability.failing(each.id)
        ]
        self._rng.shuffle(untried)
        count = PROBED_UPSTREAMS
        if not self._reachability.failing(upstream.id):
            untried.insert(0, upstream)
            count = first_count
        while untried and not self.isolated(upstream.service):
            group, untried = untried[:count], untried[count:]
            if any(await self._probe_all(group)):
                return
            count = PROBED_UPSTREAMS

    def _start(self, service: str, probing: Coroutine[None, None, object]) -> None:
        """Runs probes of a service, unless some are running."""
        running = self._tasks.get(service)
        if running is not None and not running.done():
            probing.close()
            return
        self._tasks[service] = asyncio.create_task(probing)

    async def _probe_all(self, group: Sequence[upstreams.Upstream]) -> list[bool]:
        """Probes upstreams at once; returns which of them accepted a connection."""
        return await asyncio.gather(*(self._probe(each) for each in group))

    async def _probe(self, upstream: upstreams.Upstream) -> bool:
        started_at = asyncio.get_running_loop().time()
        self._probed_at[upstream.id] = started_at
        try:
            await self._client.check_connection(upstream.address, PROBE_TIMEOUT_SECONDS)
        except http_errors.ConnectError as error:
            self._record_failed(upstream, error, started_at)
            return False
        finally:
            self._update(upstream.service)
        return True

    def _record_failed(
        self, upstream: upstreams.Upstream, error: http_errors.ConnectError, started_at: float
    ) -> None:
        self._reachability.record_failed(upstream.id, error.refused, started_at)
        waited_seconds = asyncio.get_running_loop().time() - started_at
        age = self._client.contact_age_seconds(upstream.address)
        if not error.refused and (age is None or age > waited_seconds):
            # Connections over which nothing has arrived either would hold the next requests.
            self._client.drop_idle(upstream.address)

    def _update(self, service: str) -> None:
        """Notices that a service can no longer be reached, or can be reached again."""
        ready = self._directory.ready_upstreams(service)
        for each in ready:
            opened_at = self._client.opened_at(each.address)
            if opened_at is not None:
                self._reachability.record_opened(each.id, opened_at)
        isolated = self._reachability.isolated(each.id for each in ready)
        if isolated == (service in self._isolated):
            return
        if isolated:
            self._isolated.add(service)
        else:
            self._isolated.discard(service)
        self._events.write(
            "service_unreachable" if isolated else "service_reachable",
            service=service,
            upstreams=len(ready),
            failing=sum(self._reachability.failing(each.id) for each in ready),
        )

    def _ready_ids(self, service: str) -> list[str]:
        return [each.id for each in self._directory.ready_upstreams(service)]
