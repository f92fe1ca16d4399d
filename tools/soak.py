"""Plays faults by seed against the real programs and checks what callers and upstreams saw.

The processes run on loopback addresses with limits and signals of one user; upstreams are reached
through the fault-injecting proxy. A seed fixes the plan of the faults, not the order in which the
processes run.
"""

import asyncio
import contextlib
import dataclasses
import json
import pathlib
import random
import resource
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from typing import Annotated

import typer

from coltsfoothead.daemon.http import client as http_client
from coltsfoothead.daemon.http import errors as http_errors
from coltsfoothead.daemon.http import message
from coltsfoothead.testsupport import proxy

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "platform" / "tests"))

import fake_cloud  # noqa: E402 - needs the path above
import messages  # noqa: E402
import processes  # noqa: E402
import runner  # noqa: E402
import soakchecks  # noqa: E402
import soakplan  # noqa: E402

CONTROLS, ENTRIES = 5, 3
EVENTS = 8
REQUEST_GAP_SECONDS = 0.025
ANNOUNCE_GAP_SECONDS = 0.25
OPERATOR_SECONDS = 1.0
# The settings' time within which a withdrawn key is refused everywhere, and the platform's bound on
# the recovery after a final fault.
REVOKE_SECONDS = 5.0
RECOVER_SECONDS = 12.0
REVOKED_KEY = "key-2"
RECOVERY_REQUESTS = 30


class Upstream(runner.FakeRunner):
    """A runner that notes what it began."""

    def __init__(self, name: str, service: str, runs: list[soakchecks.Run]) -> None:
        super().__init__(name, service, EVENTS, 0.05)
        self._runs = runs

    async def handle(self, caller: object) -> None:
        """Notes and answers a request."""
        request = caller.request
        if request.header("expect-instance") in (None, self.name):
            self._runs.append(soakchecks.Run(request.header("request-id"), self.name))
        await super().handle(caller)


class Soak:
    """One seed."""

    def __init__(self, seed: int, seconds: float, folder: pathlib.Path) -> None:
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._cluster = processes.Cluster(folder, CONTROLS, ENTRIES)
        self._cloud = fake_cloud.FakeCloud()
        self._thawed: list[float] = []
        self._proxy = proxy.Proxy()
        self._operator = http_client.Client(1.0)
        self._caller = http_client.Client(1.0, preserve_host=True)
        self._runs: list[soakchecks.Run] = []
        self._answers: list[soakchecks.Answer] = []
        self._upstreams = [
            Upstream(f"i-{service}-{number}", service, self._runs)
            for service in ("models", "orders")
            for number in range(3)
        ]
        self._links: dict[str, str] = {}
        self._busy: set[str] = set()
        self._ended: list[str] = []
        self._version = messages.MANIFEST["version"]
        self._keys_withdrawn = False
        self._sent: dict[int, bytes] = {}
        self._acknowledged: dict[int, float] = {}
        self._revoked: dict[str, float] = {}
        names = [each.name for each in self._upstreams]
        self.plan = soakplan.make_plan(
            seed, seconds, self._cluster.control_addresses, self._cluster.entry_addresses, names
        )

    async def run(self) -> list[str]:
        """Plays the plan and returns the broken promises."""
        for each in self._upstreams:
            await each.start()
            self._links[each.name] = await self._proxy.add_route(each.name, each.address)
        await self._cloud.start()
        self._cluster.cloud_address = self._cloud.address
        self._cluster.start()
        background = [asyncio.ensure_future(self._announce())]
        try:
            await self._put({})
            await self._until_served()
            background.append(asyncio.ensure_future(self._load()))
            await self._play()
            background.pop().cancel()
            recovery = await self._recover()
            return soakchecks.check(
                soakchecks.Observations(
                    self._answers,
                    self._runs,
                    EVENTS,
                    self._sent,
                    self._acknowledged,
                    self._revoked,
                    REVOKE_SECONDS,
                    await self._read_back(),
                    self._ended,
                    recovery,
                    self._cloud.calls,
                    self._thawed,
                    processes.CLOUD_LEASE_SECONDS,
                )
            )
        finally:
            for task in background:
                task.cancel()
            self._operator.close()
            self._caller.close()
            for process in self._cluster.processes.values():
                process.send_signal(signal.SIGCONT)
            self._cluster.stop()
            for each in self._upstreams:
                await each.stop()
            await self._proxy.close()
            await self._cloud.stop()

    async def _play(self) -> None:
        began = time.monotonic()
        running = []
        for fault in self.plan:
            await asyncio.sleep(max(0.0, began + fault.at_seconds - time.monotonic()))
            running.append(asyncio.ensure_future(self._bring_about(fault)))
        await asyncio.sleep(max(0.0, began + self._seconds - time.monotonic()))
        await asyncio.gather(*running)

    async def _bring_about(self, fault: soakplan.Fault) -> None:
        match fault.kind:
            case "document":
                await self._put({})
            case "revoke":
                self._keys_withdrawn = True
                await self._put({REVOKED_KEY: True})
            case "delay" | "cut" | "reset" | "silence":
                await self._harm_link(fault)
            case _ if fault.target not in self._busy:
                self._busy.add(fault.target)
                await self._harm_process(fault)
                self._busy.discard(fault.target)

    async def _harm_link(self, fault: soakplan.Fault) -> None:
        match fault.kind:
            case "reset":
                self._proxy.reset(fault.target)
            case "silence":
                self._proxy.freeze(fault.target)
            case "delay":
                self._proxy.set(fault.target, latency_ms=200.0)
                await asyncio.sleep(fault.seconds)
                self._proxy.set(fault.target, latency_ms=0.0)
            case "cut":
                way = self._rng.choice(["up", "down", "both"])
                self._proxy.cut(fault.target, way)
                await asyncio.sleep(fault.seconds)
                self._proxy.heal(fault.target, way)

    async def _harm_process(self, fault: soakplan.Fault) -> None:
        self._note_ended()
        process = self._cluster.processes.get(fault.target)
        if process is None:
            return
        match fault.kind:
            case "reload":
                process.send_signal(signal.SIGHUP)
            case "pause":
                process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(fault.seconds)
                process.send_signal(signal.SIGCONT)
                self._thawed.append(time.monotonic())
            case "disk_full":
                endless = resource.RLIM_INFINITY
                resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (0, endless))
                await asyncio.sleep(fault.seconds)
                resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (endless, endless))
            case "stop":
                del self._cluster.processes[fault.target]
                process.terminate()
                deadline = time.monotonic() + processes.GRACE_SECONDS
                while process.poll() is None and time.monotonic() < deadline:
                    await asyncio.sleep(0.05)
                process.kill()
                process.wait()
                self._cluster.start(fault.target, first_start=False)
            case "kill" | "wipe":
                self._cluster.kill(fault.target)
                if fault.kind == "wipe":
                    shutil.rmtree(self._cluster.folder / fault.target)
                await asyncio.sleep(fault.seconds)
                self._cluster.start(fault.target, first_start=False)

    def _note_ended(self) -> None:
        for address, process in list(self._cluster.processes.items()):
            if process.poll() is not None:
                self._ended.append(f"{address} (code {process.returncode})")
                del self._cluster.processes[address]
                self._cluster.start(address, first_start=False)

    async def _put(self, withdrawn: dict[str, bool]) -> None:
        """Sends a document of the next version until a control process acknowledges it."""
        self._version += self._rng.randrange(1, 4)
        version = self._version
        tenants = [dict(each) for each in messages.MANIFEST["tenants"]]
        if self._keys_withdrawn:
            tenants[0]["api_keys"] = ["key-1"]
        content = messages.manifest(version=version, tenants=tenants)
        self._sent[version] = content
        for _ in range(20):
            if await self._order(content):
                self._acknowledged[version] = time.monotonic()
                for key in withdrawn:
                    self._revoked[key] = time.monotonic()
                return
            await asyncio.sleep(0.2)

    async def _order(self, content: bytes) -> bool:
        request = message.Request("PUT", "/config", (), content)
        answer = await self._control(request)
        return answer is not None and answer[0] == 200

    async def _control(self, request: message.Request) -> tuple[int, bytes] | None:
        target = f"{self._rng.choice(self._cluster.control_addresses)}:{self._cluster.control_port}"
        try:
            async with asyncio.timeout(OPERATOR_SECONDS):
                answer = await self._operator.send(target, request, None)
                return answer.status, await answer.read(None, 1 << 20)
        except (http_errors.HttpError, OSError, TimeoutError):
            return None

    async def _read_back(self) -> tuple[int, bytes] | None:
        deadline = time.monotonic() + RECOVER_SECONDS
        while time.monotonic() < deadline:
            answer = await self._control(message.Request("GET", "/config", (), b""))
            if answer is not None and answer[0] == 200:
                return json.loads(answer[1])["version"], answer[1]
            await asyncio.sleep(0.2)
        return None

    async def _announce(self) -> None:
        while True:
            for each in self._upstreams:
                control = self._rng.choice(self._cluster.control_addresses)
                with contextlib.suppress(http_errors.HttpError, OSError):
                    async with asyncio.timeout(1.0):
                        await each.announce(
                            f"{control}:{self._cluster.control_port}",
                            address=self._links[each.name],
                        )
            await asyncio.sleep(ANNOUNCE_GAP_SECONDS)

    async def _load(self) -> None:
        sending: set[asyncio.Task[bool]] = set()
        try:
            while True:
                task = asyncio.ensure_future(
                    self._ask(self._rng.choice(self._cluster.entry_addresses))
                )
                sending.add(task)
                task.add_done_callback(sending.discard)
                await asyncio.sleep(REQUEST_GAP_SECONDS)
        finally:
            await asyncio.gather(*sending, return_exceptions=True)

    async def _ask(self, entry: str) -> bool:
        """Sends one request and notes its answer; returns whether it was served."""
        kind = self._rng.choice(["lookup", "order", "chat"])
        key = self._rng.choice(["key-1", "key-1", "key-3", REVOKED_KEY])
        number = f"{self._rng.getrandbits(64):016x}"
        fields = {"request_id": number, "authorization": f"Bearer {key}", "deadline_ms": "4000"}
        if kind != "chat":
            fields |= {"token_count": None, "prompt_prefix": None, "model": None}
        target = f"/{kind}/{number}"
        request = messages.request(target=target, **fields)
        address = f"{entry}:{self._cluster.caller_port}"
        sent_at = time.monotonic()
        kept = kind != "chat" and self._rng.random() < 0.5
        status, headers, body, whole = await (self._kept if kept else self._fresh)(address, request)
        stamped = "response-stamp" in headers
        self._answers.append(
            soakchecks.Answer(number, kind, target, key, sent_at, status, stamped, body, whole)
        )
        return status == 200 and whole

    async def _fresh(
        self, address: str, request: message.Request
    ) -> tuple[int | None, dict[str, str], bytes, bool]:
        try:
            async with asyncio.timeout(8.0):
                return await runner.send_request(address, request)
        except (OSError, TimeoutError):
            return None, {}, b"", False

    async def _kept(
        self, address: str, request: message.Request
    ) -> tuple[int | None, dict[str, str], bytes, bool]:
        """Sends a request on a connection that is kept until its process closes it."""
        try:
            async with asyncio.timeout(8.0):
                answer = await self._caller.send(address, request, None)
                body = await answer.read(None, 1 << 20)
        except (http_errors.HttpError, OSError, TimeoutError):
            return None, {}, b"", False
        return answer.status, dict(answer.headers), body, True

    async def _until_served(self) -> None:
        deadline = time.monotonic() + RECOVER_SECONDS
        while time.monotonic() < deadline:
            served = [await self._ask(entry) for entry in self._cluster.entry_addresses]
            if all(served):
                return
            await asyncio.sleep(0.1)

    async def _recover(self) -> list[bool]:
        self._note_ended()
        # A request with the withdrawn key is not served.
        keys_left = not self._keys_withdrawn
        await self._until_served()
        recovery = []
        while len(recovery) < RECOVERY_REQUESTS:
            before = len(self._answers)
            served = await self._ask(self._rng.choice(self._cluster.entry_addresses))
            if keys_left or self._answers[before].key != REVOKED_KEY:
                recovery.append(served)
        self._note_ended()
        return recovery


def play(seed: int, seconds: float, keep: pathlib.Path) -> list[str]:
    """Plays one seed; returns the broken promises and keeps the logs of a failed one."""
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(seed, seconds, pathlib.Path(folder))
        broken = asyncio.run(soak.run())
        if broken:
            kept = keep / f"soak-{seed}"
            kept.mkdir(parents=True, exist_ok=True)
            plan = [json.dumps(dataclasses.asdict(fault)) for fault in soak.plan]
            (kept / "plan.jsonl").write_text("\n".join(plan) + "\n", encoding="utf-8")
            (kept / "broken.txt").write_text("\n".join(broken) + "\n", encoding="utf-8")
            for log in pathlib.Path(folder).glob("*.log"):
                shutil.copy(log, kept)
    return broken


def main(
    seed: Annotated[int, typer.Option(help="First seed.")] = 1,
    count: Annotated[int, typer.Option(help="Number of seeds.")] = 1,
    seconds: Annotated[float, typer.Option(help="Length of the faults of a seed.")] = 8.0,
    jobs: Annotated[int, typer.Option(help="Seeds that are played beside each other.")] = 1,
    keep: Annotated[pathlib.Path, typer.Option(help="Where logs go.")] = ROOT / "target" / "soak",
) -> None:
    """Plays seeds; exits with 1 if one of them broke a promise."""
    if count == 1:
        broken = play(seed, seconds, keep)
        print(f"seed {seed}: {len(broken)} broken")
        for line in broken:
            print(f"  {line}")
        raise typer.Exit(1 if broken else 0)
    waiting, running, failed = list(range(seed, seed + count)), [], []
    while waiting or running:
        while waiting and len(running) < jobs:
            number = waiting.pop(0)
            command = [sys.executable, __file__, "--seed", str(number), "--seconds", str(seconds)]
            running.append((number, subprocess.Popen([*command, "--keep", str(keep)])))
        for number, process in list(running):
            if process.poll() is not None:
                running.remove((number, process))
                failed += [number] if process.returncode else []
        time.sleep(0.2)
    print(f"{count} seeds played, {len(failed)} failed: {failed}")
    raise typer.Exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
