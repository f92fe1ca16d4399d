"""One installation of a cell: daemons, their peer links, fakes, callers and the final checks."""

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

__all__ = ["SPARE", "Scene", "World"]

SPARE = "d4"
ORGANISATION = "kiosk"
SETTLE_SECONDS = 25.0
RETRY_SECONDS = 0.2
# The failure detector's bound is 6 s; a caller that comes back has its answer soon after.
RECONNECT_SECONDS = 14.0
EXIT_SECONDS = 15.0
GAP_SECONDS = 0.03
NOTICE_POLL_SECONDS = 0.2
_FAILURES = (errors.TestSupportError, TimeoutError, msgspec.DecodeError)


@dataclasses.dataclass(slots=True)
class Scene:
    """The work that a fault hits.

    Attributes
    ----------
    victim : str
        Daemon that process and network faults act on.
    front : Caller
        Sends to the victim first and comes back through the other daemons.
    finish : list of callables
        Coroutine functions that complete the scene's own work after the repair.
    """

    step: registry.Step
    victim: str
    front: caller.Caller
    tasks: list[asyncio.Task[Any]] = dataclasses.field(default_factory=list)
    finish: list[Callable[[], Coroutine[Any, Any, None]]] = dataclasses.field(default_factory=list)


class _Cluster(cluster.Cluster):
    """A cluster whose daemons read notices; the spare has a disk but is no founder."""

    cloud_address = ""

    def settings(self, name: str, **tables: Any) -> dict[str, Any]:
        url = f"http://{self.cloud_address}/vms/vm-{name}/notice"
        platform = {"notice_url": url, "poll_seconds": NOTICE_POLL_SECONDS}
        settings = super().settings(name, platform=platform, **tables)
        settings["daemon"]["data_folder"] = str(self.data_folder(name))
        return settings

    def move_spare(self, zone: str) -> None:
        """Places the spare, which has not started yet, in another zone."""
        self.places[SPARE] = cluster.DaemonPlace(SPARE, zone, voter=False)


class World:
    """The installation; an asynchronous context manager."""

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
            cluster.DaemonPlace(f"d{number}", zone) for number, zone in enumerate(cluster.ZONES, 1)
        ]
        spare = cluster.DaemonPlace(SPARE, cluster.ZONES[0], voter=False)
        self.cluster = _Cluster(self.children, [*places, spare])
        self.cluster.cloud_address = self.cloud.address
        self.names = [place.id for place in places]
        self.mesh = mesh.Mesh(self.children, self.proxy)
        everyone = [*self.names, SPARE]
        for name in everyone:
            others = [other for other in everyone if other != name]
            target = self.cluster.addresses[name]["peers"]
            self.cluster.peer_addresses[name] = await self.mesh.add(name, target, others)
            zone = self.cluster.places[name].zone
            self.cloud.register(f"vm-{name}", "standard", zone, "reclaimable")
        await self.cluster.start_daemons(self.names)
        await self._start_fakes()
        self.watch = watch.Watch(self.cluster)
        await self.change("d1", "first", "change-1")
        await self.cluster.wait_ready(self.names)
        count = len(self.engines) + len(self.services)
        await self.cluster.wait_upstreams(count, self.names)
        # The ledger may have its first leader later than the control log.
        front = self.new_caller("d1")
        await self.finish_call(front, await front.call("parts", "/warm-up", key="warm-up"))
        for name in (*self.names, SPARE):
            self._tasks.append(asyncio.create_task(self.watch.run(name)))

    async def _start_fakes(self) -> None:
        urls = [f"http://{self.cluster.addresses[name]['upstreams']}" for name in self.names]
        for number, zone in enumerate(cluster.ZONES, 1):
            where = announce.Placement(f"e{number}", zone.partition("-")[0], zone, f"vm-e{number}")
            made = engine.Engine(engine.Settings(gap_seconds=GAP_SECONDS), where, list(urls))
            await self._behind_proxy(made, f"e{number}")
            self.engines.append(made)
        for number, zone in ((1, "home-b"), (2, "away-a")):
            where = announce.Placement(f"s{number}", zone.partition("-")[0], zone, f"vm-s{number}")
            plain = service.Service("parts", where, list(urls))
            await self._behind_proxy(plain, f"s{number}")
            self.services.append(plain)

    async def _behind_proxy(self, fake: Any, name: str) -> None:
        # Announced only with the proxy's address; a call to the fake's own would pass a cut.
        fake.announcer.enabled = False
        fake.address = await self.proxy.add_route(name, await fake.start())
        fake.announcer.enabled = True
        fake.announcer.renew()

    def new_caller(self, first: str) -> caller.Caller:
        """Returns a recording caller that begins at a daemon and goes on with the others."""
        names = [first, *(name for name in self.names if name != first)]
        addresses = [self.cluster.addresses[name]["callers"] for name in names]
        made = caller.Caller(addresses, cluster.api_key(ORGANISATION), timeout_seconds=12.0)
        self.callers.append(made)
        return made

    async def leader(self, log: str = "control_log") -> str:
        """Returns the daemon that leads a log."""
        found: list[str] = []

        async def known() -> bool:
            found.clear()
            for name in self.names:
                with contextlib.suppress(*_FAILURES):
                    status = await self.cluster.operators(name, "GET", "/status", seconds=1.0)
                    if status[log] and status[log]["role"] == "leader":
                        found.append(name)
            return bool(found)

        await harness.wait_until(known, SETTLE_SECONDS, f"leader of the {log}")
        return found[0]

    def running(self, name: str) -> bool:
        """Tells whether a daemon's process runs."""
        process = self.children.processes.get(name)
        return process is not None and process.returncode is None

    def kill(self, name: str) -> None:
        """Kills a daemon without warning."""
        self.killed.add(name)
        self.children.processes[name].kill()

    def executed(self, key: str) -> bool:
        """Tells whether a service has executed a call with this key."""
        return any(entry["key"] == key for each in self.services for entry in each.executions)

    async def restart(self, name: str) -> None:
        """Starts a daemon again that has ended or is ending; its VM has no notice any more."""
        if name in self.children.processes:
            code = await self.children.processes[name].wait()
            if name not in self.killed and code != 0:
                self.problems.append(f"P6 {name}: exit code {code} of a graceful stop")
        self.killed.discard(name)
        vm = self.cloud.vms[f"vm-{name}"]
        vm.reclaimed_at, vm.ended_at, vm.state = None, None, "running"
        await self.cluster.start_daemons([name])

    async def drain(self, name: str, seconds: float = 20.0) -> None:
        """Begins a graceful stop over the operators' API."""
        body = {"daemon": name, "deadline_seconds": seconds}
        await self.cluster.operators(name, "POST", "/drain", body)

    async def change(self, name: str, comment: str, change_id: str, wait: bool = False) -> Any:
        """Changes the document as an operator does: reads it again after a conflict."""
        text = cluster.document(comment=comment)
        deadline = time.monotonic() + SETTLE_SECONDS
        answer: Any = {"outcome": "conflict"}
        turn = 0
        while answer["outcome"] == "conflict" and time.monotonic() < deadline:
            current = await self.current(name)
            # A refused change ID keeps its answer, so another attempt needs another ID.
            body = self.cluster.change(current, text, f"{change_id}-{turn}", wait)
            answer = await self.send_change(name, body)
            turn += 1
        return answer

    async def current(self, name: str) -> Any:
        """Returns the document in force at a daemon that is ready or has none yet."""
        first = not self.watch.accepted

        async def ready() -> bool:
            with contextlib.suppress(*_FAILURES):
                status = await self.cluster.operators(name, "GET", "/status", seconds=1.0)
                return first or status["ready"]
            return False

        await harness.wait_until(ready, SETTLE_SECONDS, f"ready {name}")
        return await self.try_operators(name, "GET", "/config")

    async def send_change(self, name: str, body: dict[str, Any]) -> Any:
        """Sends a change until its outcome is known; notes it if it was accepted."""
        answer = await self.try_operators(name, "POST", "/config/apply", body)
        if answer["outcome"] == "accepted":
            self.note_accepted(answer)
        elif answer.get("winner_change_id") == body["change_id"]:
            self.problems.append(f"P7 {body['change_id']}: a resent change lost to itself")
        return answer

    def note_accepted(self, answer: dict[str, Any]) -> None:
        """Keeps an accepted change for the final checks."""
        change = watch.Accepted(
            answer["change_id"], answer["version"], answer["digest"], time.monotonic()
        )
        known = [each for each in self.watch.accepted if each.change_id == change.change_id]
        if not known:
            self.watch.accepted.append(change)
        elif (known[0].version, known[0].digest) != (change.version, change.digest):
            self.problems.append(f"P7 {change.change_id}: a resent change got another answer")

    async def try_operators(self, name: str, method: str, path: str, body: Any = None) -> Any:
        """Sends an operator's request to one daemon after the other until it is settled."""
        deadline = time.monotonic() + SETTLE_SECONDS
        turn = self.names.index(name) if name in self.names else 0
        answer: Any = None
        while time.monotonic() < deadline:
            target = self.names[turn % len(self.names)]
            turn += 1
            with contextlib.suppress(*_FAILURES):
                answer = await self.cluster.operators(target, method, path, body, 5.0)
                if "error" not in answer and answer.get("outcome") != "unknown":
                    return answer
            await asyncio.sleep(RETRY_SECONDS)
        raise registry.CellFailedError(f"{method} {path} was not settled: {answer}")

    async def settle(self, scene: Scene) -> None:
        """Brings every request of a scene to its end through any daemon."""
        await asyncio.gather(*scene.tasks)
        for finish in scene.finish:
            await finish()
        for record in list(scene.front.records):
            if record.kind == "chat":
                await self.finish_chat(scene.front, record)
            else:
                await self.finish_call(scene.front, record)

    async def finish_chat(self, front: caller.Caller, record: records.Record) -> None:
        """Repeats a refused chat until it is accepted, then comes back for the rest of it."""
        deadline = time.monotonic() + SETTLE_SECONDS
        while not any(part.status == 200 for part in record.parts):
            if time.monotonic() > deadline:
                raise registry.CellFailedError(f"chat was never accepted: {record.parts[-1]}")
            await asyncio.sleep(RETRY_SECONDS)
            await front.repeat(record)
        if not record.done and not await front.finish(record, RECONNECT_SECONDS):
            part = record.parts[-1]
            text = f"P1 {record.request_id}: accepted, {len(record.tokens())} tokens, then "
            self.problems.append(f"{text}{part.status} {part.ended} {part.body[:120]!r}")

    async def finish_call(self, front: caller.Caller, record: records.Record) -> None:
        """Repeats a call, under its key, until it is answered or its outcome is unknown."""
        deadline = time.monotonic() + SETTLE_SECONDS
        while not _settled(record):
            if time.monotonic() > deadline:
                part = record.parts[-1]
                text = f"{part.status} {part.ended} {part.body[:200]!r}"
                raise registry.CellFailedError(f"call was not settled: {text}")
            await asyncio.sleep(RETRY_SECONDS)
            await front.repeat(record)

    async def check(self) -> list[str]:
        """Checks that the installation serves again, stops gracefully and kept every property."""
        live = [name for name in (*self.names, SPARE) if self.running(name)]
        for each in self.services:
            each.controls["delay_ms"](0)
        await asyncio.gather(*(self._serves(name) for name in live))
        for name in live:
            await self._check_history(name)
        for name in live:
            self.children.processes[name].terminate()
        for name in live:
            code = await self.children.processes[name].wait(EXIT_SECONDS)
            if code:
                self.problems.append(f"P6 {name}: exit code {code} of a graceful stop")
        engines = [{"name": f"e{i}", **each.stats()} for i, each in enumerate(self.engines, 1)]
        services = [_executions(each) for each in self.services]
        requests = [record for each in self.callers for record in each.records]
        found = invariants.check_all(requests, engines, services)
        ran = {entry["key"] for each in services for entry in each["execution_log"]}
        self.problems += [f"{each.property} {each.subject}: {each.message}" for each in found]
        self.problems += [
            f"P3 {key}: ran without being accepted" for key in ran & self.forbidden_keys
        ]
        return list(dict.fromkeys([*self.problems, *self.watch.problems]))

    async def _serves(self, name: str) -> None:
        process = self.children.processes[name]
        try:
            await self.children.wait_ready(process, "/readyz", SETTLE_SECONDS)
        except errors.TestSupportError as error:
            self.problems.append(f"ready {name}: {error}")
            return
        front = self.new_caller(name)
        call = await front.call("parts", "/probe", body={"at": name}, key=f"probe-{name}")
        await self.finish_call(front, call)
        address = self.cluster.addresses[name]["callers"]
        chat = await front.chat(f"probe of {name} len=5", address=address)
        await self.finish_chat(front, chat)

    async def _check_history(self, name: str) -> None:
        newest = max(self.watch.accepted, key=lambda each: each.version)
        status = await self.cluster.operators(name, "GET", "/status")
        if status["control_log"] is None:
            return
        # A voter that has just come back learns what is committed with the leader's next message.
        deadline = time.monotonic() + watch.IN_FORCE_SECONDS
        while missing := await self._missing(name):
            if time.monotonic() > deadline:
                self.problems += [
                    f"P7 {name}: accepted change {each} is missing" for each in missing
                ]
                break
            await asyncio.sleep(RETRY_SECONDS)
        if status["ready"] and status["config_version"] < newest.version:
            late = time.monotonic() - newest.at - watch.IN_FORCE_SECONDS
            if late > 0:
                self.problems.append(f"P7 {name}: ready without version {newest.version}")

    async def _missing(self, name: str) -> list[str]:
        """Returns the accepted changes that a voter's history lacks or has otherwise."""
        history = await self.cluster.operators(name, "GET", "/config/history")
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
        if change == "reclaimed" and self.running(name):
            if name not in self.killed:
                self.problems.append(f"P6 {name}: still running when its VM was reclaimed")
            self.kill(name)


def _settled(record: records.Record) -> bool:
    part = record.parts[-1]
    if part.ended != "complete":
        return False
    if part.status == 200:
        return True
    error = record.error() or {}
    # A call without a key may not be sent again; an unknown outcome is its end.
    return error.get("code") == "outcome_unknown" or (
        error.get("execution") == "unknown" and "idempotency-key" not in record.sent_headers
    )


def _executions(source: service.Service) -> dict[str, Any]:
    counts = collections.Counter(entry["key"] for entry in source.executions if entry["key"])
    return {
        "executions": counts,
        "execution_log": source.executions,
        "leaving_since": source.announcer.leaving_since,
    }
