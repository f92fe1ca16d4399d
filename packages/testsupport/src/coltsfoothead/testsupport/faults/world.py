"""The installation of one matrix cell: daemons, peer links, fakes, callers and final checks."""

import asyncio
import collections
import contextlib
import dataclasses
import random
import time
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec

from coltsfoothead.testsupport import (
    announce,
    caller,
    cloud,
    cluster,
    engine,
    errors,
    harness,
    invariants,
    proxy,
    records,
    service,
)
from coltsfoothead.testsupport.faults import mesh, registry, watch

__all__ = ["SPARE", "Scenario", "World"]

SPARE = "d4"
ORGANISATION = "kiosk"
SETTLE_TIMEOUT_SECONDS = 25.0
RETRY_DELAY_SECONDS = 0.2
# The failure detector takes up to 6 s; a caller that reconnects gets its answer soon after.
RECONNECT_TIMEOUT_SECONDS = 14.0
EXIT_TIMEOUT_SECONDS = 15.0
TOKEN_GAP_SECONDS = 0.03
NOTICE_POLL_INTERVAL_SECONDS = 0.2
_FAILURES = (errors.TestSupportError, TimeoutError, msgspec.DecodeError)


@dataclasses.dataclass(slots=True)
class Scenario:
    """The requests and operations that are in progress when a fault is injected.

    Attributes
    ----------
    victim : str
        Daemon that process and network faults act on.
    client : Caller
        Sends to the victim first and reconnects through the other daemons.
    tasks : list of asyncio.Task
        Operations in progress.
    completions : list of callables
        Coroutine functions that complete the work of the scenario after the fault was repaired.
    """

    step: registry.Step
    victim: str
    client: caller.Caller
    tasks: list[asyncio.Task[Any]] = dataclasses.field(default_factory=list)
    completions: list[Callable[[], Coroutine[Any, Any, None]]] = dataclasses.field(
        default_factory=list
    )


class _Cluster(cluster.Cluster):
    """A cluster whose daemons poll for reclaim notices; the spare has a disk but is no founder."""

    cloud_address = ""

    def settings(self, name: str, **tables: Any) -> dict[str, Any]:
        url = f"http://{self.cloud_address}/vms/vm-{name}/notice"
        platform = {"notice_url": url, "poll_seconds": NOTICE_POLL_INTERVAL_SECONDS}
        settings = super().settings(name, platform=platform, **tables)
        settings["daemon"]["data_folder"] = str(self.data_folder(name))
        return settings

    def move_spare(self, zone: str) -> None:
        """Places the spare, which has not started yet, in another zone."""
        self.daemon_specs[SPARE] = cluster.DaemonSpec(SPARE, zone, voter=False)


class World:
    """Installation that a fault is injected into; an asynchronous context manager.

    Parameters
    ----------
    seed : int
        Seed of the random choices that faults make.
    """

    def __init__(self, seed: int = 0) -> None:
        self.rng = random.Random(seed)
        self.children = harness.Harness()
        self.proxy = proxy.Proxy()
        self.cloud = cloud.Cloud(hook=self._vm_changed)
        self.engines: list[engine.Engine] = []
        self.services: list[service.Service] = []
        self.callers: list[caller.Caller] = []
        self.killed: set[str] = set()
        self.problems: list[str] = []
        self.forbidden_keys: set[str] = set()
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> "World":
        await self.children.__aenter__()
        try:
            await self._start()
        except BaseException:
            await self.__aexit__(None, None, None)
            raise
        return self

    async def __aexit__(self, *exception) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.children.__aexit__(*exception)
        if hasattr(self, "mesh"):
            self.mesh.close()
        for fake in (*self.engines, *self.services, self.cloud, self.proxy):
            with contextlib.suppress(RuntimeError):
                await fake.close()

    async def _start(self) -> None:
        await self.proxy.start()
        await self.cloud.start()
        places = [
            cluster.DaemonSpec(f"d{number}", zone) for number, zone in enumerate(cluster.ZONES, 1)
        ]
        spare = cluster.DaemonSpec(SPARE, cluster.ZONES[0], voter=False)
        self.cluster = _Cluster(self.children, [*places, spare])
        self.cluster.cloud_address = self.cloud.address
        self.names = [place.id for place in places]
        self.mesh = mesh.Mesh(self.children, self.proxy)
        all_names = [*self.names, SPARE]
        for name in all_names:
            others = [other for other in all_names if other != name]
            target = self.cluster.addresses[name]["peers"]
            self.cluster.peer_addresses[name] = await self.mesh.add(name, target, others)
            zone = self.cluster.daemon_specs[name].zone
            self.cloud.register(f"vm-{name}", "standard", zone, "reclaimable")
        await self.cluster.start_daemons(self.names)
        await self._start_fakes()
        self.watch = watch.Watch(self.cluster)
        await self.apply_change("d1", "first", "change-1")
        await self.cluster.wait_ready(self.names)
        count = len(self.engines) + len(self.services)
        await self.cluster.wait_upstreams(count, self.names)
        # The ledger may have its first leader later than the control log.
        client = self.new_caller("d1")
        await self.finish_call(client, await client.call("parts", "/warm-up", key="warm-up"))
        for name in (*self.names, SPARE):
            self._tasks.append(asyncio.create_task(self.watch.run(name)))

    async def _start_fakes(self) -> None:
        urls = [f"http://{self.cluster.addresses[name]['upstreams']}" for name in self.names]
        for number, zone in enumerate(cluster.ZONES, 1):
            placement = announce.Placement(
                f"e{number}", zone.partition("-")[0], zone, f"vm-e{number}"
            )
            created = engine.Engine(
                engine.Settings(gap_seconds=TOKEN_GAP_SECONDS), placement, list(urls)
            )
            await self._start_behind_proxy(created, f"e{number}")
            self.engines.append(created)
        for number, zone in ((1, "home-b"), (2, "away-a")):
            placement = announce.Placement(
                f"s{number}", zone.partition("-")[0], zone, f"vm-s{number}"
            )
            fake_service = service.Service("parts", placement, list(urls))
            await self._start_behind_proxy(fake_service, f"s{number}")
            self.services.append(fake_service)

    async def _start_behind_proxy(self, fake: Any, name: str) -> None:
        # Announced only under the proxy's address: calls to the fake's own would bypass cuts.
        fake.announcer.enabled = False
        fake.address = await self.proxy.add_route(name, await fake.start())
        fake.announcer.enabled = True
        fake.announcer.renew()

    def new_caller(self, first: str) -> caller.Caller:
        """Returns a recording caller that sends to the daemon `first` and then to the others."""
        names = [first, *(name for name in self.names if name != first)]
        addresses = [self.cluster.addresses[name]["callers"] for name in names]
        created = caller.Caller(addresses, cluster.api_key(ORGANISATION), timeout_seconds=12.0)
        self.callers.append(created)
        return created

    async def leader(self, log: str = "control_log") -> str:
        """Returns the ID of the daemon that leads a log, once there is one."""
        found: list[str] = []

        async def leader_known() -> bool:
            found.clear()
            for name in self.names:
                with contextlib.suppress(*_FAILURES):
                    status = await self.cluster.request_operators_api(
                        name, "GET", "/status", seconds=1.0
                    )
                    if status[log] and status[log]["role"] == "leader":
                        found.append(name)
            return bool(found)

        await harness.wait_until(leader_known, SETTLE_TIMEOUT_SECONDS, f"leader of the {log}")
        return found[0]

    def is_running(self, name: str) -> bool:
        """Tells whether a daemon's process runs."""
        process = self.children.processes.get(name)
        return process is not None and process.returncode is None

    def kill(self, name: str) -> None:
        """Kills a daemon without warning."""
        self.killed.add(name)
        self.children.processes[name].kill()

    def has_executed(self, key: str) -> bool:
        """Tells whether a service has executed a call with this key."""
        return any(entry["key"] == key for each in self.services for entry in each.executions)

    async def restart(self, name: str) -> None:
        """Restarts a daemon that has exited or is exiting, and withdraws the notice of its VM."""
        if name in self.children.processes:
            code = await self.children.processes[name].wait()
            if name not in self.killed and code != 0:
                self.problems.append(f"P6 {name}: exit code {code} of a graceful stop")
        self.killed.discard(name)
        vm = self.cloud.vms[f"vm-{name}"]
        vm.reclaimed_at, vm.ended_at, vm.state = None, None, "running"
        await self.cluster.start_daemons([name])

    async def drain(self, name: str, seconds: float = 20.0) -> None:
        """Starts draining a daemon through the operators' API."""
        body = {"daemon": name, "deadline_seconds": seconds}
        await self.cluster.request_operators_api(name, "POST", "/drain", body)

    async def apply_change(
        self, name: str, comment: str, change_id: str, wait: bool = False
    ) -> Any:
        """Applies a document as an operator does: after a conflict, on top of the newer version."""
        text = cluster.document(comment=comment)
        deadline = time.monotonic() + SETTLE_TIMEOUT_SECONDS
        answer: Any = {"outcome": "conflict"}
        attempt = 0
        while answer["outcome"] == "conflict" and time.monotonic() < deadline:
            config = await self.current_config(name)
            # A refused change ID keeps its answer, so another attempt needs another ID.
            body = self.cluster.change_body(config, text, f"{change_id}-{attempt}", wait)
            answer = await self.send_change(name, body)
            attempt += 1
        return answer

    async def current_config(self, name: str) -> Any:
        """Returns the document in force, once the daemon is ready or if none was ever accepted."""
        first = not self.watch.accepted

        async def ready() -> bool:
            with contextlib.suppress(*_FAILURES):
                status = await self.cluster.request_operators_api(
                    name, "GET", "/status", seconds=1.0
                )
                return first or status["ready"]
            return False

        await harness.wait_until(ready, SETTLE_TIMEOUT_SECONDS, f"ready {name}")
        return await self.request_any_daemon(name, "GET", "/config")

    async def send_change(self, name: str, body: dict[str, Any]) -> Any:
        """Sends a change until its outcome is known; records it if it was accepted."""
        answer = await self.request_any_daemon(name, "POST", "/config/apply", body)
        if answer["outcome"] == "accepted":
            self.record_accepted(answer)
        elif answer.get("winner_change_id") == body["change_id"]:
            self.problems.append(f"P7 {body['change_id']}: a resent change lost to itself")
        return answer

    def record_accepted(self, answer: dict[str, Any]) -> None:
        """Records an accepted change for the final checks."""
        change = watch.AcceptedChange(
            answer["change_id"], answer["version"], answer["digest"], time.monotonic()
        )
        recorded = [each for each in self.watch.accepted if each.change_id == change.change_id]
        if not recorded:
            self.watch.accepted.append(change)
        elif (recorded[0].version, recorded[0].digest) != (change.version, change.digest):
            self.problems.append(f"P7 {change.change_id}: a resent change got another answer")

    async def request_any_daemon(self, name: str, method: str, path: str, body: Any = None) -> Any:
        """Sends an operator's request to the daemons in turn until one gives a definite answer.

        Raises
        ------
        CellFailedError
            If none did within `SETTLE_TIMEOUT_SECONDS`.
        """
        deadline = time.monotonic() + SETTLE_TIMEOUT_SECONDS
        attempt = self.names.index(name) if name in self.names else 0
        answer: Any = None
        while time.monotonic() < deadline:
            target = self.names[attempt % len(self.names)]
            attempt += 1
            with contextlib.suppress(*_FAILURES):
                answer = await self.cluster.request_operators_api(target, method, path, body, 5.0)
                if "error" not in answer and answer.get("outcome") != "unknown":
                    return answer
            await asyncio.sleep(RETRY_DELAY_SECONDS)
        raise registry.CellFailedError(f"{method} {path} was not settled: {answer}")

    async def settle(self, scenario: Scenario) -> None:
        """Completes every request of a scenario through any daemon."""
        await asyncio.gather(*scenario.tasks)
        for complete in scenario.completions:
            await complete()
        for record in list(scenario.client.records):
            if record.kind == "chat":
                await self.finish_chat(scenario.client, record)
            else:
                await self.finish_call(scenario.client, record)

    async def finish_chat(self, client: caller.Caller, record: records.Record) -> None:
        """Repeats a refused chat until it is accepted, then reconnects until it is complete."""
        deadline = time.monotonic() + SETTLE_TIMEOUT_SECONDS
        while not any(part.status == 200 for part in record.parts):
            if time.monotonic() > deadline:
                raise registry.CellFailedError(f"chat was never accepted: {record.parts[-1]}")
            await asyncio.sleep(RETRY_DELAY_SECONDS)
            await client.repeat(record)
        if not record.done and not await client.finish(record, RECONNECT_TIMEOUT_SECONDS):
            part = record.parts[-1]
            text = f"P1 {record.request_id}: accepted, {len(record.tokens())} tokens, then "
            self.problems.append(f"{text}{part.status} {part.ended} {part.body[:120]!r}")

    async def finish_call(self, client: caller.Caller, record: records.Record) -> None:
        """Repeats a call, under its key, until it is answered or its outcome is unknown."""
        deadline = time.monotonic() + SETTLE_TIMEOUT_SECONDS
        while not _is_settled(record):
            if time.monotonic() > deadline:
                part = record.parts[-1]
                text = f"{part.status} {part.ended} {part.body[:200]!r}"
                raise registry.CellFailedError(f"call was not settled: {text}")
            await asyncio.sleep(RETRY_DELAY_SECONDS)
            await client.repeat(record)

    async def check(self) -> list[str]:
        """Checks that daemons serve again and stop gracefully, and that every property held.

        Returns
        -------
        list of str
            Problems found; empty if the cell passed.
        """
        running = [name for name in (*self.names, SPARE) if self.is_running(name)]
        for each in self.services:
            each.controls["delay_ms"](0)
        await asyncio.gather(*(self._check_serves(name) for name in running))
        for name in running:
            await self._check_history(name)
        for name in running:
            self.children.processes[name].terminate()
        for name in running:
            code = await self.children.processes[name].wait(EXIT_TIMEOUT_SECONDS)
            if code:
                self.problems.append(f"P6 {name}: exit code {code} of a graceful stop")
        engines = [{"name": f"e{i}", **each.stats()} for i, each in enumerate(self.engines, 1)]
        services = [_execution_stats(each) for each in self.services]
        requests = [record for each in self.callers for record in each.records]
        found = invariants.check_all(requests, engines, services)
        ran = {entry["key"] for each in services for entry in each["execution_log"]}
        self.problems += [f"{each.property} {each.subject}: {each.message}" for each in found]
        self.problems += [
            f"P3 {key}: ran without being accepted" for key in ran & self.forbidden_keys
        ]
        return list(dict.fromkeys([*self.problems, *self.watch.problems]))

    async def _check_serves(self, name: str) -> None:
        process = self.children.processes[name]
        try:
            await self.children.wait_ready(process, "/readyz", SETTLE_TIMEOUT_SECONDS)
        except errors.TestSupportError as error:
            self.problems.append(f"ready {name}: {error}")
            return
        client = self.new_caller(name)
        call = await client.call("parts", "/probe", body={"at": name}, key=f"probe-{name}")
        await self.finish_call(client, call)
        address = self.cluster.addresses[name]["callers"]
        chat = await client.chat(f"probe of {name} len=5", address=address)
        await self.finish_chat(client, chat)

    async def _check_history(self, name: str) -> None:
        newest = max(self.watch.accepted, key=lambda each: each.version)
        status = await self.cluster.request_operators_api(name, "GET", "/status")
        if status["control_log"] is None:
            return
        # A restarted voter learns the commit index only from the leader's next message.
        deadline = time.monotonic() + watch.IN_FORCE_BOUND_SECONDS
        while missing := await self._missing_changes(name):
            if time.monotonic() > deadline:
                self.problems += [
                    f"P7 {name}: accepted change {each} is missing" for each in missing
                ]
                break
            await asyncio.sleep(RETRY_DELAY_SECONDS)
        if status["ready"] and status["config_version"] < newest.version:
            late_seconds = time.monotonic() - newest.accepted_at - watch.IN_FORCE_BOUND_SECONDS
            if late_seconds > 0:
                self.problems.append(f"P7 {name}: ready without version {newest.version}")

    async def _missing_changes(self, name: str) -> list[str]:
        """Returns the accepted changes that a voter's history lacks or records differently."""
        history = await self.cluster.request_operators_api(name, "GET", "/config/history")
        kept = {each["change_id"]: (each["version"], each["digest"]) for each in history["entries"]}
        oldest = min((version for version, _ in kept.values()), default=0)
        return [
            change.change_id
            for change in self.watch.accepted
            if kept.get(change.change_id) != (change.version, change.digest)
            and not (history["truncated"] and change.version < oldest)
        ]

    def _vm_changed(self, change: str, vm: cloud.Vm) -> None:
        name = vm.id.removeprefix("vm-")
        if change == "reclaimed" and self.is_running(name):
            if name not in self.killed:
                self.problems.append(f"P6 {name}: still running when its VM was reclaimed")
            self.kill(name)


def _is_settled(record: records.Record) -> bool:
    part = record.parts[-1]
    if part.ended != "complete":
        return False
    if part.status == 200:
        return True
    error = record.error() or {}
    # A call without a key must not be repeated, so an unknown outcome is final.
    return error.get("code") == "outcome_unknown" or (
        error.get("execution") == "unknown" and "idempotency-key" not in record.sent_headers
    )


def _execution_stats(source: service.Service) -> dict[str, Any]:
    counts = collections.Counter(entry["key"] for entry in source.executions if entry["key"])
    return {
        "executions": counts,
        "execution_log": source.executions,
        "leaving_since": source.announcer.leaving_since,
    }
