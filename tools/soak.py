"""Injects seeded faults into real processes and checks the answers, executions and documents.

The processes run on loopback addresses; faults of processes are signals and resource limits that
need no privileges, and upstreams are reached through the fault-injecting proxy. A seed determines
the plan of the faults, but not the scheduling of the processes.
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

CONTROL_COUNT, ENTRY_COUNT = 5, 3
EVENTS_PER_STREAM = 8
REQUEST_GAP_SECONDS = 0.025
ANNOUNCE_GAP_SECONDS = 0.25
OPERATOR_TIMEOUT_SECONDS = 1.0
# As document.revoke_seconds in the settings of the processes: the time after which a withdrawn
# key is refused everywhere.
REVOCATION_BOUND_SECONDS = 5.0
# The platform's bound on the recovery after the last fault.
RECOVERY_BOUND_SECONDS = 12.0
WITHDRAWN_KEY = "key-2"
RECOVERY_REQUEST_COUNT = 30


class Upstream(runner.FakeRunner):
    """A runner that records which requests it starts to execute."""

    def __init__(self, name: str, service: str, executions: list[soakchecks.Execution]) -> None:
        super().__init__(name, service, EVENTS_PER_STREAM, 0.05)
        self._executions = executions

    async def handle(self, caller: object) -> None:
        """Records and answers a request."""
        request = caller.request
        if request.header("expect-instance") in (None, self.name):
            self._executions.append(soakchecks.Execution(request.header("request-id"), self.name))
        await super().handle(caller)


class Soak:
    """One run with one seed.

    Parameters
    ----------
    seed : int
    seconds : float
        Time over which the faults are spread.
    folder : Path
        Folder for data and logs of the processes.
    """

    # Tables of the settings that switch parts on.
    parts = {"speeds": {"learned": True}, "sharing": {}, "pacing": {}, "waiting": {}}

    def __init__(self, seed: int, seconds: float, folder: pathlib.Path) -> None:
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._cluster = processes.Cluster(folder, CONTROL_COUNT, ENTRY_COUNT, parts=self.parts)
        self._cloud = fake_cloud.FakeCloud()
        self._resumed_at: list[float] = []
        self._proxy = proxy.Proxy()
        self._operator_client = http_client.Client(1.0)
        self._caller_client = http_client.Client(1.0, preserve_host=True)
        self._executions: list[soakchecks.Execution] = []
        self._answers: list[soakchecks.Answer] = []
        self._upstreams = [
            Upstream(f"i-{service}-{number}", service, self._executions)
            for service in ("models", "orders")
            for number in range(3)
        ]
        self._proxy_addresses: dict[str, str] = {}
        self._faulted_processes: set[str] = set()
        self._unexpected_exits: list[str] = []
        self._version = messages.MANIFEST["version"]
        self._key_withdrawn = False
        self._sent_documents: dict[int, bytes] = {}
        self._acknowledged_at: dict[int, float] = {}
        self._revoked_at: dict[str, float] = {}
        names = [each.name for each in self._upstreams]
        self.plan = soakplan.make_plan(
            seed, seconds, self._cluster.control_addresses, self._cluster.entry_addresses, names
        )

    async def run(self) -> list[str]:
        """Runs the plan of the faults under load and returns the violated guarantees."""
        for each in self._upstreams:
            await each.start()
            self._proxy_addresses[each.name] = await self._proxy.add_route(each.name, each.address)
        await self._cloud.start()
        self._cluster.cloud_address = self._cloud.address
        self._cluster.start()
        background_tasks = [asyncio.ensure_future(self._announce_upstreams())]
        try:
            await self._apply_document({})
            await self._wait_until_served()
            background_tasks.append(asyncio.ensure_future(self._generate_load()))
            await self._inject_faults()
            background_tasks.pop().cancel()
            recovery_outcomes = await self._measure_recovery()
            return soakchecks.check(
                soakchecks.Observations(
                    self._answers,
                    self._executions,
                    EVENTS_PER_STREAM,
                    self._sent_documents,
                    self._acknowledged_at,
                    self._revoked_at,
                    REVOCATION_BOUND_SECONDS,
                    await self._read_final_document(),
                    self._unexpected_exits,
                    recovery_outcomes,
                    self._cloud.calls,
                    self._resumed_at,
                    processes.CLOUD_LEASE_SECONDS,
                )
            )
        finally:
            for task in background_tasks:
                task.cancel()
            self._operator_client.close()
            self._caller_client.close()
            for process in self._cluster.processes.values():
                process.send_signal(signal.SIGCONT)
            self._cluster.stop()
            for each in self._upstreams:
                await each.stop()
            await self._proxy.close()
            await self._cloud.stop()

    async def _inject_faults(self) -> None:
        started_at = time.monotonic()
        fault_tasks = []
        for fault in self.plan:
            await asyncio.sleep(max(0.0, started_at + fault.at_seconds - time.monotonic()))
            fault_tasks.append(asyncio.ensure_future(self._inject_fault(fault)))
        await asyncio.sleep(max(0.0, started_at + self._seconds - time.monotonic()))
        await asyncio.gather(*fault_tasks)

    async def _inject_fault(self, fault: soakplan.Fault) -> None:
        match fault.kind:
            case "document":
                await self._apply_document({})
            case "revoke":
                self._key_withdrawn = True
                await self._apply_document({WITHDRAWN_KEY: True})
            case "delay" | "cut" | "reset" | "silence":
                await self._inject_link_fault(fault)
            case _ if fault.target not in self._faulted_processes:
                self._faulted_processes.add(fault.target)
                await self._inject_process_fault(fault)
                self._faulted_processes.discard(fault.target)

    async def _inject_link_fault(self, fault: soakplan.Fault) -> None:
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
                direction = self._rng.choice(["up", "down", "both"])
                self._proxy.cut(fault.target, direction)
                await asyncio.sleep(fault.seconds)
                self._proxy.heal(fault.target, direction)

    async def _inject_process_fault(self, fault: soakplan.Fault) -> None:
        self._restart_exited_processes()
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
                self._resumed_at.append(time.monotonic())
            case "disk_full":
                unlimited = resource.RLIM_INFINITY
                resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (0, unlimited))
                await asyncio.sleep(fault.seconds)
                resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (unlimited, unlimited))
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

    def _restart_exited_processes(self) -> None:
        for address, process in list(self._cluster.processes.items()):
            if process.poll() is not None:
                self._unexpected_exits.append(f"{address} (code {process.returncode})")
                del self._cluster.processes[address]
                self._cluster.start(address, first_start=False)

    async def _apply_document(self, withdrawn_keys: dict[str, bool]) -> None:
        """Sends a document with a new version until a control process acknowledges it."""
        self._version += self._rng.randrange(1, 4)
        version = self._version
        tenants = [dict(each) for each in messages.MANIFEST["tenants"]]
        if self._key_withdrawn:
            tenants[0]["api_keys"] = ["key-1"]
        content = messages.manifest(version=version, tenants=tenants)
        self._sent_documents[version] = content
        for _ in range(20):
            if await self._put_document(content):
                self._acknowledged_at[version] = time.monotonic()
                for key in withdrawn_keys:
                    self._revoked_at[key] = time.monotonic()
                return
            await asyncio.sleep(0.2)

    async def _put_document(self, content: bytes) -> bool:
        request = message.Request("PUT", "/config", (), content)
        answer = await self._send_to_control(request)
        return answer is not None and answer[0] == 200

    async def _send_to_control(self, request: message.Request) -> tuple[int, bytes] | None:
        target = f"{self._rng.choice(self._cluster.control_addresses)}:{self._cluster.control_port}"
        try:
            async with asyncio.timeout(OPERATOR_TIMEOUT_SECONDS):
                answer = await self._operator_client.send(target, request, None)
                return answer.status, await answer.read(None, 1 << 20)
        except (http_errors.HttpError, OSError, TimeoutError):
            return None

    async def _read_final_document(self) -> tuple[int, bytes] | None:
        deadline = time.monotonic() + RECOVERY_BOUND_SECONDS
        while time.monotonic() < deadline:
            answer = await self._send_to_control(message.Request("GET", "/config", (), b""))
            if answer is not None and answer[0] == 200:
                return json.loads(answer[1])["version"], answer[1]
            await asyncio.sleep(0.2)
        return None

    async def _announce_upstreams(self) -> None:
        while True:
            for each in self._upstreams:
                control = self._rng.choice(self._cluster.control_addresses)
                with contextlib.suppress(http_errors.HttpError, OSError):
                    async with asyncio.timeout(1.0):
                        await each.announce(
                            f"{control}:{self._cluster.control_port}",
                            address=self._proxy_addresses[each.name],
                        )
            await asyncio.sleep(ANNOUNCE_GAP_SECONDS)

    async def _generate_load(self) -> None:
        sending: set[asyncio.Task[bool]] = set()
        try:
            while True:
                task = asyncio.ensure_future(
                    self._send_request(self._rng.choice(self._cluster.entry_addresses))
                )
                sending.add(task)
                task.add_done_callback(sending.discard)
                await asyncio.sleep(REQUEST_GAP_SECONDS)
        finally:
            await asyncio.gather(*sending, return_exceptions=True)

    async def _send_request(self, entry: str) -> bool:
        """Sends one request and records its answer; returns whether it was served."""
        kind = self._rng.choice(["lookup", "order", "chat"])
        key = self._rng.choice(["key-1", "key-1", "key-3", WITHDRAWN_KEY])
        request_id = f"{self._rng.getrandbits(64):016x}"
        fields = {"request_id": request_id, "authorization": f"Bearer {key}", "deadline_ms": "4000"}
        if kind != "chat":
            fields |= {"token_count": None, "prompt_prefix": None, "model": None}
        target = f"/{kind}/{request_id}"
        request = messages.request(target=target, **fields)
        address = f"{entry}:{self._cluster.caller_port}"
        sent_at = time.monotonic()
        uses_kept_connection = kind != "chat" and self._rng.random() < 0.5
        status, headers, body, is_complete = await (
            self._send_on_kept_connection if uses_kept_connection else self._send_on_new_connection
        )(address, request)
        has_stamp = "response-stamp" in headers
        self._answers.append(
            soakchecks.Answer(
                request_id, kind, target, key, sent_at, status, has_stamp, body, is_complete
            )
        )
        return status == 200 and is_complete

    async def _send_on_new_connection(
        self, address: str, request: message.Request
    ) -> tuple[int | None, dict[str, str], bytes, bool]:
        try:
            async with asyncio.timeout(8.0):
                return await runner.send_request(address, request)
        except (OSError, TimeoutError):
            return None, {}, b"", False

    async def _send_on_kept_connection(
        self, address: str, request: message.Request
    ) -> tuple[int | None, dict[str, str], bytes, bool]:
        """Sends a request on a connection that stays open until the entry process closes it."""
        try:
            async with asyncio.timeout(8.0):
                answer = await self._caller_client.send(address, request, None)
                body = await answer.read(None, 1 << 20)
        except (http_errors.HttpError, OSError, TimeoutError):
            return None, {}, b"", False
        return answer.status, dict(answer.headers), body, True

    async def _wait_until_served(self) -> None:
        deadline = time.monotonic() + RECOVERY_BOUND_SECONDS
        while time.monotonic() < deadline:
            served = [await self._send_request(entry) for entry in self._cluster.entry_addresses]
            if all(served):
                return
            await asyncio.sleep(0.1)

    async def _measure_recovery(self) -> list[bool]:
        self._restart_exited_processes()
        # Requests with the withdrawn key are refused and do not count.
        key_still_valid = not self._key_withdrawn
        await self._wait_until_served()
        recovery_outcomes = []
        while len(recovery_outcomes) < RECOVERY_REQUEST_COUNT:
            answer_index = len(self._answers)
            served = await self._send_request(self._rng.choice(self._cluster.entry_addresses))
            if key_still_valid or self._answers[answer_index].key != WITHDRAWN_KEY:
                recovery_outcomes.append(served)
        self._restart_exited_processes()
        return recovery_outcomes


def keep_logs(folder: pathlib.Path, kept: pathlib.Path, violations: list[str]) -> None:
    """Copies the logs of a run that violated guarantees, and the list of these, to a folder."""
    kept.mkdir(parents=True, exist_ok=True)
    (kept / "broken.txt").write_text("\n".join(violations) + "\n", encoding="utf-8")
    for log in folder.glob("*.log"):
        shutil.copy(log, kept)


def run_seed(seed: int, seconds: float, keep: pathlib.Path) -> list[str]:
    """Runs one seed and returns the violated guarantees; keeps the logs in `keep` if it fails."""
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(seed, seconds, pathlib.Path(folder))
        violations = asyncio.run(soak.run())
        if violations:
            log_folder = keep / f"soak-{seed}"
            keep_logs(pathlib.Path(folder), log_folder, violations)
            plan = [json.dumps(dataclasses.asdict(fault)) for fault in soak.plan]
            (log_folder / "plan.jsonl").write_text("\n".join(plan) + "\n", encoding="utf-8")
    return violations


def main(
    seed: Annotated[int, typer.Option(help="First seed.")] = 1,
    count: Annotated[int, typer.Option(help="Number of seeds.")] = 1,
    seconds: Annotated[
        float, typer.Option(help="Time over which the faults of a seed are spread.")
    ] = 8.0,
    jobs: Annotated[int, typer.Option(help="Seeds that run at the same time.")] = 1,
    keep: Annotated[pathlib.Path, typer.Option(help="Folder for the logs of failed seeds.")] = ROOT
    / "target"
    / "soak",
) -> None:
    """Runs seeds; exits with 1 if one of them violated a guarantee."""
    if count == 1:
        violations = run_seed(seed, seconds, keep)
        print(f"seed {seed}: {len(violations)} broken")
        for line in violations:
            print(f"  {line}")
        raise typer.Exit(1 if violations else 0)
    pending_seeds, running_seeds, failed = list(range(seed, seed + count)), [], []
    while pending_seeds or running_seeds:
        while pending_seeds and len(running_seeds) < jobs:
            number = pending_seeds.pop(0)
            command = [sys.executable, __file__, "--seed", str(number), "--seconds", str(seconds)]
            running_seeds.append((number, subprocess.Popen([*command, "--keep", str(keep)])))
        for number, process in list(running_seeds):
            if process.poll() is not None:
                running_seeds.remove((number, process))
                failed += [number] if process.returncode else []
        time.sleep(0.2)
    print(f"{count} seeds played, {len(failed)} failed: {failed}")
    raise typer.Exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
