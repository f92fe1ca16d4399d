"""Small installation for tests: daemons in several zones, fakes and an environment document."""

import asyncio
import dataclasses
import hashlib
import os
import pathlib
import sys
from collections.abc import Sequence
from typing import Any

from coltsfoothead.testsupport import harness, processes, webclient

__all__ = ["Cluster", "DaemonSpec", "ZONES", "api_key", "document"]

OPERATOR_TOKEN = "operators-token-of-a-test-cluster"
READY_TIMEOUT_SECONDS = 30.0
LISTENERS = ("callers", "upstreams", "operators", "peers")
ZONES = ("home-a", "home-b", "away-a")
CLI_MODULE = "coltsfoothead.cli.main"


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonSpec:
    """Daemon of a test cluster.

    Attributes
    ----------
    id : str
        Daemon ID; it is also the name of the process.
    zone : str
        Zone; its name begins with the region.
    voter : bool
        Whether the daemon has a disk and is one of the founding voters.
    """

    id: str
    zone: str
    voter: bool = True

    @property
    def region(self) -> str:
        """Region of the daemon, which is the first part of the zone's name."""
        return self.zone.partition("-")[0]


def api_key(organisation: str) -> str:
    """Returns the API key of an organisation of a test document."""
    return f"key-of-{organisation}"


def document(
    organisations: Sequence[str] = ("kiosk", "garage"),
    *,
    environment: str = "trial",
    models: Sequence[str] = ("small",),
    services: Sequence[str] = ("parts",),
    comment: str = "",
    extra: str = "",
) -> str:
    """Returns an environment document in which every organisation may use everything."""
    lines = [f"# {comment}", f'environment = "{environment}"', extra]
    lines += [f'[[models]]\nname = "{name}"\n' for name in models]
    lines += [f'[[services]]\nname = "{name}"\n' for name in services]
    for name in organisations:
        digest = hashlib.sha256(api_key(name).encode()).hexdigest()
        lines.append(
            f'[[organisations]]\nname = "{name}"\nkey_sha256 = ["{digest}"]\n'
            f"models = {list(models)!r}\nservices = {list(services)!r}\n"
        )
    return "\n".join(lines)


def _loopback_network() -> str:
    """Returns a loopback network that only this process uses.

    While a daemon is down between two starts, no daemon of another test can take its port.
    """
    pid = os.getpid()
    return f"127.{1 + pid // 250 % 250}.{pid % 250}"


class Cluster:
    """Daemons and fakes as child processes of a harness.

    Parameters
    ----------
    children : Harness
        Owner of the child processes.
    daemon_specs : sequence of DaemonSpec
        Daemons of the cluster; without any, one voter in each zone.
    """

    def __init__(self, children: harness.Harness, daemon_specs: Sequence[DaemonSpec] = ()) -> None:
        self.children = children
        self.daemon_specs = {
            spec.id: spec
            for spec in daemon_specs
            or [DaemonSpec(f"d{number}", zone) for number, zone in enumerate(ZONES, 1)]
        }
        self.addresses: dict[str, dict[str, str]] = {}
        self.peer_addresses: dict[str, str] = {}
        ports = harness.free_ports(len(self.daemon_specs) * len(LISTENERS))
        for position, name in enumerate(self.daemon_specs):
            own_ports = ports[position * len(LISTENERS) :]
            host = f"{_loopback_network()}.{position + 1}"
            self.addresses[name] = {
                listener: f"{host}:{port}"
                for listener, port in zip(LISTENERS, own_ports, strict=False)
            }
            self.peer_addresses[name] = self.addresses[name]["peers"]
        self.token_file = children.folder / "token"
        self.token_file.write_text(OPERATOR_TOKEN)

    @property
    def caller_addresses(self) -> list[str]:
        """Addresses of the callers' listeners of all daemons."""
        return [each["callers"] for each in self.addresses.values()]

    @property
    def announce_arguments(self) -> list[str]:
        """Arguments that make a fake upstream announce itself to every daemon in turn."""
        urls = [f"http://{each['upstreams']}" for each in self.addresses.values()]
        return [part for url in urls for part in ("--announce", url)]

    def settings(self, name: str, **tables: Any) -> dict[str, Any]:
        """Returns the settings of one daemon, with `tables` merged into those of the same name."""
        spec = self.daemon_specs[name]
        founders = [
            {"id": each.id, "address": self.peer_addresses[each.id], "zone": each.zone}
            for each in self.daemon_specs.values()
            if each.voter
        ]
        daemon = {
            "id": name,
            "cluster": "test",
            "region": spec.region,
            "zone": spec.zone,
            "vm": f"vm-{name}",
        }
        if spec.voter:
            daemon["data_folder"] = str(self.data_folder(name))
        cluster: dict[str, Any] = {"founders": founders}
        if len(self.daemon_specs) > 1:
            cluster["advertise"] = self.peer_addresses[name]
        if len(founders) == 1 and len(self.daemon_specs) == 1:
            cluster = {}
        settings = {
            "daemon": daemon,
            "listen": self.addresses[name],
            "operators": {"token_file": str(self.token_file)},
            "cluster": cluster,
        }
        for table, values in tables.items():
            settings[table] = settings.get(table, {}) | values
        return settings

    def data_folder(self, name: str) -> pathlib.Path:
        """Returns the data folder of a daemon."""
        return self.children.folder / f"data-{name}"

    async def start_daemons(self, names: Sequence[str] = (), **tables: Any) -> None:
        """Starts daemons, by default all, and waits until each answers `GET /healthz`."""
        started = [
            await self.children.start_daemon(
                name,
                self.settings(name, **tables),
                self.addresses[name]["callers"],
                wait=False,
            )
            for name in names or self.daemon_specs
        ]
        for process in started:
            await self.children.wait_ready(process, "/healthz", READY_TIMEOUT_SECONDS)

    async def wait_ready(self, names: Sequence[str] = ()) -> None:
        """Waits until daemons, by default all, are ready to serve."""
        for name in names or self.daemon_specs:
            process = self.children.processes[name]
            await self.children.wait_ready(process, "/readyz", READY_TIMEOUT_SECONDS)

    async def wait_upstreams(self, count: int, names: Sequence[str] = ()) -> None:
        """Waits until each daemon knows at least `count` upstreams."""
        for name in names or self.daemon_specs:

            async def upstreams_known(name: str = name) -> bool:
                status = await self.request_operators_api(name, "GET", "/status")
                return status["upstreams"] >= count

            await harness.wait_until(
                upstreams_known, READY_TIMEOUT_SECONDS, f"{count} upstreams at {name}"
            )

    async def request_operators_api(
        self, name: str, method: str, path: str, body: Any = None, seconds: float = 15.0
    ) -> Any:
        """Sends a request to a daemon's operators' API and returns the decoded answer."""
        reply = await webclient.fetch(
            self.addresses[name]["operators"],
            method,
            path,
            json=body,
            headers={"authorization": f"Bearer {OPERATOR_TOKEN}"},
            timeout_seconds=seconds,
        )
        return reply.json()

    async def apply(self, name: str, text: str, change_id: str, wait: bool = True) -> Any:
        """Applies a document on top of the one in force and returns the answer.

        While the voters are still electing a leader, the answer is an error or its outcome is
        unknown. The change is then sent again under the same ID, as an operator would do.
        """
        current = await self.request_operators_api(name, "GET", "/config")
        change = self.change_body(current, text, change_id, wait)
        answer: dict[str, Any] = {}

        async def outcome_known() -> bool:
            nonlocal answer
            answer = await self.request_operators_api(name, "POST", "/config/apply", change)
            code = answer.get("error", {}).get("code")
            return code != "no_leader" and answer.get("outcome") != "unknown"

        await harness.wait_until(
            outcome_known, READY_TIMEOUT_SECONDS, f"answer to change {change_id}"
        )
        return answer

    @staticmethod
    def change_body(
        current: dict[str, Any], text: str, change_id: str, wait: bool = True
    ) -> dict[str, Any]:
        """Returns the request body of a change on top of the configuration `current`."""
        return {
            "change_id": change_id,
            "author": "tester",
            "expected_version": current["version"],
            "expected_digest": current["digest"],
            "document": text,
            "wait": wait,
        }

    async def run_cli(self, *arguments: str) -> tuple[int, str]:
        """Runs the operators' command line and returns its exit code and output."""
        addresses = ",".join(each["operators"] for each in self.addresses.values())
        child = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", CLI_MODULE),
            *("--address", addresses, "--token-file", str(self.token_file), *arguments),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await child.communicate()
        assert child.returncode is not None
        return child.returncode, output.decode()

    async def start_engine(self, name: str, zone: str, *arguments: str) -> processes.Process:
        """Starts a fake engine that announces itself."""
        return await self._start_upstream("engine", name, zone, *arguments)

    async def start_service(self, name: str, zone: str, *arguments: str) -> processes.Process:
        """Starts a fake service that announces itself."""
        return await self._start_upstream("service", name, zone, *arguments)

    async def _start_upstream(
        self, module: str, name: str, zone: str, *arguments: str
    ) -> processes.Process:
        placement = ("--upstream", name, "--zone", zone, "--region", zone.partition("-")[0])
        return await self.children.start_fake(
            module,
            *placement,
            "--vm",
            f"vm-{name}",
            *self.announce_arguments,
            *arguments,
            name=name,
        )
