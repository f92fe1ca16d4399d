"""Starts the project's programs as processes on loopback addresses, as the deploy file says.

Uses the standard library only. Each machine has a loopback address of its own; its settings are
the templates of the deploy file, filled in from the fields that the platform's pages list.
"""

import http.client
import itertools
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = {"zone-a": "region-1", "zone-b": "region-1", "zone-c": "region-2"}
BOUNDS = {
    "contact_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 2500,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2500,
    "revoke_everywhere": True,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 52,
    "quota_window_s": 8,
    "quota_overage": 0.1,
    "quota_slack": 140000,
    "require_fence": False,
    "lease_ms": 3000,
    "thaw_slack_ms": 300,
    "usage_window_s": 5,
    "usage_late_s": 10,
    "recover_s": 12,
}

# All processes that were started, so that none of them outlives a case that is stopped.
_started = []
_folders = []


def _end_all(number, frame):
    for process in _started:
        process.kill()
    for folder in _folders:
        shutil.rmtree(folder, ignore_errors=True)
    os._exit(2)


signal.signal(signal.SIGTERM, _end_all)
signal.signal(signal.SIGINT, _end_all)

_TAG = re.compile(r"\{\{([#^/]?)([^{}|]+)(\|json)?\}\}")


def _lookup(name, scopes):
    for scope in scopes:
        value, found = scope, True
        for part in () if name == "." else name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                found = False
                break
        if found:
            return value
    return None


def render(template, fields):
    """Fills in a template of the deploy file."""

    def run(text, scopes):
        out, position = [], 0
        while match := _TAG.search(text, position):
            out.append(text[position : match.start()])
            kind, name, as_json = match.groups()
            position = match.end()
            value = _lookup(name, scopes)
            if kind in ("#", "^"):
                end = text.index("{{/" + name + "}}", position)
                body = text[position:end]
                position = end + len(name) + 5
                if kind == "^":
                    out.append(run(body, scopes) if not value else "")
                elif isinstance(value, dict):
                    for key, each in value.items():
                        out.append(run(body, [{"@": key, ".": each}, *scopes]))
                elif isinstance(value, list):
                    for key, each in enumerate(value):
                        out.append(run(body, [{"@": key, ".": each}, *scopes]))
                elif value not in (None, False):
                    out.append(run(body, [{".": value}, *scopes]))
                continue
            if name in ("@", "."):
                value = next(scope[name] for scope in scopes if name in scope)
            if as_json:
                out.append(json.dumps(value))
            elif isinstance(value, bool):
                out.append("true" if value else "false")
            elif value is not None:
                out.append(str(value))
        out.append(text[position:])
        return "".join(out)

    return run(template, [fields])


def free_ports(count):
    """Returns ports that no process uses at present."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Installation:
    """The machines of one installation, and the operator's calls."""

    _subnets = itertools.count(1)

    def __init__(self, cores, edges=0, seeds=3, cloud=None, heartbeat_ms=1200):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        _folders.append(self.folder)
        subnet = f"127.{20 + os.getpid() % 200}.{next(self._subnets)}"
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self._roles = {"core": deploy["control"], "edge": deploy["entry"]}
        names = list(itertools.islice(itertools.cycle(ZONES), cores))
        self.machines = {}
        for number in range(cores):
            self._add("core", f"{subnet}.{number + 11}", names[number])
        for number, zone in zip(range(edges), itertools.cycle(ZONES)):
            self._add("edge", f"{subnet}.{number + 111}", zone)
        self.ports = dict(zip(("front", "ready", "control", "peers"), free_ports(4), strict=True))
        self.seeds = [each for each in self.machines if each in self.of("core")][:seeds]
        self.cloud, self.heartbeat_ms = cloud, heartbeat_ms
        self.processes = {}
        self.started_at = time.monotonic()
        self.record = None

    def _add(self, kind, ip, zone):
        self.machines[ip] = {"kind": kind, "zone": zone, "started": False}

    def of(self, kind):
        """Returns the addresses of the machines of a class."""
        return [ip for ip, each in self.machines.items() if each["kind"] == kind]

    def note(self, text):
        """Writes a line with the time to the record."""
        if self.record is not None:
            self.record.write(f"{time.monotonic() - self.started_at:8.3f} {text}\n")
            self.record.flush()

    def settings(self, ip, bootstrap):
        """Returns the fields from which the platform fills in a template."""
        machine = self.machines[ip]
        core = machine["kind"] == "core"
        listen = (
            {"control": f"{ip}:{self.ports['control']}"}
            if core
            else {"front": f"{ip}:{self.ports['front']}", "ready": f"{ip}:{self.ports['ready']}"}
        )
        return {
            "node": f"{machine['kind']}-{machine['zone']}-{ip.rpartition('.')[2]}",
            "ip": ip,
            "zone": machine["zone"],
            "region": ZONES[machine["zone"]],
            "zones": ZONES,
            "listen": listen,
            "internal_ports": [self.ports["peers"], self.ports["peers"] + 15],
            "seeds": [f"{each}:{self.ports['control']}" for each in self.seeds],
            "bootstrap": bootstrap,
            "data_dir": str(self.folder / ip) if core else None,
            "heartbeat_ms": self.heartbeat_ms,
            "bounds": BOUNDS,
            "cloud": {"address": self.cloud} if self.cloud and core else {},
        }

    def start(self, *ips, bootstrap=False):
        """Starts the processes of some machines."""
        for ip in ips:
            machine = self.machines[ip]
            role = self._roles[machine["kind"]]
            if machine["kind"] == "core":
                (self.folder / ip).mkdir(exist_ok=True)
            settings = self.folder / f"{ip}.toml"
            template = (ROOT / role["template"]).read_text()
            settings.write_text(render(template, self.settings(ip, bootstrap)))
            environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
            environment["PYTHONPATH"] = str(ROOT / "target/deps")
            environment["COLTSFOOTHEAD_SETTINGS"] = str(settings)
            with open(self.folder / f"{ip}.log", "ab") as log:
                process = subprocess.Popen(
                    role["run"].split(),
                    cwd=ROOT,
                    env=environment,
                    stdin=subprocess.DEVNULL,
                    stdout=log,
                    stderr=log,
                )
            self.processes[ip] = process
            _started.append(process)
            self.note(f"start {ip} bootstrap={bootstrap}")

    def signal(self, ip, number):
        """Sends a signal to the process of a machine."""
        self.note(f"signal {signal.Signals(number).name} to {ip}")
        self.processes[ip].send_signal(number)

    def kill(self, ip, wipe=False):
        """Kills the process of a machine; with `wipe`, its disk is lost, too."""
        self.note(f"kill {ip}{', disk lost' if wipe else ''}")
        process = self.processes.pop(ip)
        process.kill()
        process.wait()
        if wipe:
            shutil.rmtree(self.folder / ip)

    def events(self, ip, name):
        """Returns the log lines of one event of a machine, decoded."""
        path = self.folder / f"{ip}.log"
        lines = path.read_bytes().splitlines() if path.exists() else []
        found = [json.loads(each) for each in lines if each.startswith(b"{")]
        return [each for each in found if each.get("event") == name]

    def leader(self):
        """Returns the running core machine that has begun to lead last, or None."""
        terms = {
            ip: events[-1]["term"]
            for ip in self.of("core")
            if ip in self.processes and (events := self.events(ip, "leading"))
        }
        return max(terms, key=terms.get) if terms else None

    def call(self, ip, method, path, body=None, timeout=1.0, headers=()):
        """Calls a core machine; returns status and body, or None if there is no answer."""
        connection = http.client.HTTPConnection(ip, self.ports["control"], timeout=timeout)
        try:
            connection.request(method, path, body, dict(headers))
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()

    def put_manifest(self, manifest, seconds, machines=None):
        """Sends a manifest, as the operator does, until it is acknowledged; None if it is not."""
        body = json.dumps(manifest).encode()
        end = time.monotonic() + seconds
        pause = 0.1
        controls = itertools.cycle(machines or self.of("core"))
        while time.monotonic() < end:
            ip = next(controls)
            if ip not in self.processes:
                continue
            answer = self.call(ip, "PUT", "/config", body, timeout=1.5)
            if answer is not None and answer[0] == 200:
                self.note(f"manifest {manifest['version']} acknowledged by {ip}")
                return ip
            time.sleep(pause)
            pause = min(1.0, pause * 1.5)
        return None

    def read_manifest(self, seconds):
        """Reads the manifest, as the operator does; returns the answers that were 200."""
        end = time.monotonic() + seconds
        versions = []
        controls = itertools.cycle(self.of("core"))
        while time.monotonic() < end:
            ip = next(controls)
            answer = self.call(ip, "GET", "/config") if ip in self.processes else None
            if answer is not None and answer[0] == 200:
                versions.append(json.loads(answer[1])["version"])
            time.sleep(0.1)
        return versions

    def close(self):
        """Ends all processes that were started, and removes their files."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def in_parallel(*calls):
    """Runs some calls in threads of their own and returns their results."""
    results = [None] * len(calls)

    def run(number):
        results[number] = calls[number]()

    threads = [threading.Thread(target=run, args=(number,)) for number in range(len(calls))]
    for each in threads:
        each.start()
    for each in threads:
        each.join()
    return results
