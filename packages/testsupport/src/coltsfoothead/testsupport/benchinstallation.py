"""Installation for the benchmark: six daemons, nine engines and three services."""

import asyncio
import contextlib
import dataclasses
import time
from collections.abc import Sequence
from typing import Any

from coltsfoothead.testsupport import (
    benchfigures,
    benchtrace,
    caller,
    cluster,
    errors,
    harness,
    processes,
    records,
    webclient,
)

__all__ = [
    "DAEMONS",
    "ENGINES",
    "TOKEN_GAP_SECONDS",
    "ENGINE_SLOTS",
    "Installation",
    "Outcomes",
    "Phase",
]

ENGINE_SLOTS = 4
TOKEN_GAP_SECONDS = 0.02
ENGINES_PER_ZONE = 3
DAEMONS = tuple(
    cluster.DaemonSpec(f"d{zone * 2 + number}", name, voter=number == 1)
    for zone, name in enumerate(cluster.ZONES)
    for number in (1, 2)
)
ENGINES = tuple(
    (f"e{zone * ENGINES_PER_ZONE + number}", name, number > 1)
    for zone, name in enumerate(cluster.ZONES)
    for number in (1, 2, 3)
)
"""Name, zone and whether it is reclaimable of each engine; 6 of 9 are (69% at the planned size)."""

LINK_BYTES_PER_SECOND = 1_875_000
LINK_LATENCY_MS = 12.0
LOAD_LAG_SECONDS = 1.0
# Later answers miss the targets: at most 1.7 s to the first token and 300 gaps of 34 ms.
DRAIN_SECONDS = 12.0
IDLE_TIMEOUT_SECONDS = 40.0
REQUEST_IDLE_TIMEOUT_SECONDS = 20.0
_POLL_INTERVAL_SECONDS = 0.2
_RESTART_SETTLE_SECONDS = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Phase:
    """One part of a run.

    Attributes
    ----------
    seconds : float
        Duration of the trace.
    slowdowns : sequence of Slowdown
        Temporary slowdowns of engines.
    slowdown_factors : dict
        Slowness factors of engines, by name, for the whole phase.
    wave_at : float, optional
        Seconds from the start at which the engines of `wave_zone` announce that they leave.
    wave_notice_seconds : float
        Time that leaving engines have.
    drain_seconds : float
        Time after the trace in which requests may still end.
    wait_until_idle : bool
        Whether to wait in the end until no engine has work.
    """

    name: str
    seconds: float
    arrivals: Sequence[benchtrace.Arrival]
    slowdowns: Sequence[benchtrace.Slowdown] = ()
    slowdown_factors: dict[str, float] = dataclasses.field(default_factory=dict)
    wave_at: float | None = None
    wave_zone: str = "home-b"
    wave_notice_seconds: float = 3.0
    drain_seconds: float = DRAIN_SECONDS
    wait_until_idle: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Outcomes:
    """Result of a phase; the counters are sums over all engines during the phase."""

    requests: list[benchfigures.Outcome]
    refusals: dict[str, int]
    executions: int
    executed_requests: int
    generated_tokens: int
    recomputed_tokens: int


class Installation(cluster.Cluster):
    """Daemons and fakes behind a proxy that simulates the network.

    Parameters
    ----------
    children : Harness
    zone_latency_ms : float
        One-way latency between data centres of the home region.

    Notes
    -----
    A daemon and an engine have one address for all others. Those of the away region lie behind
    the link for everyone, so two daemons of that region also meet each other over it, and what
    they open towards the home region carries only the latency of a home zone.
    """

    def __init__(self, children: harness.Harness, zone_latency_ms: float) -> None:
        super().__init__(children, DAEMONS)
        self._zone_latency_ms = zone_latency_ms
        self._proxy = ""
        self._change_count = 0
        self._stats_of_ended_engines: list[dict[str, Any]] = []

    async def start(self) -> None:
        """Starts the proxy, the daemons, the engines and the services."""
        proxy = await self.children.start_fake("proxy", name="proxy")
        self._proxy = proxy.address
        await self._control(
            self._proxy, add_pipe={"name": "link", "bytes_per_second": LINK_BYTES_PER_SECOND}
        )
        for name, spec in self.daemon_specs.items():
            self.peer_addresses[name] = await self._route(
                f"peer-{name}", self.addresses[name]["peers"], spec.region
            )
        await self.start_daemons()
        await asyncio.gather(*(self._start_engine(*engine) for engine in ENGINES))
        for zone in cluster.ZONES:
            await self.start_service(f"service-{zone}", zone)

    async def apply_routing(self, routing: str, targets: benchfigures.Targets) -> None:
        """Applies a document with a routing policy and targets; waits until daemons are ready."""
        self._change_count += 1
        extra = (
            f'[policies]\nrouting = "{routing}"\n[targets]\n'
            f"first_token_seconds = {targets.first_token_seconds}\n"
            f"token_gap_seconds = {targets.token_gap_seconds}\n"
            f"service_seconds = {targets.service_seconds}\n"
        )
        text = cluster.document(tuple(benchtrace.ORGANISATIONS), extra=extra)
        answer = await self.apply("d1", text, f"bench-{self._change_count}")
        if answer.get("outcome") != "accepted":
            raise RuntimeError(f"document with routing {routing!r} was not accepted: {answer}")
        await self.wait_ready()
        await self.wait_upstreams(len(ENGINES) + len(cluster.ZONES))

    async def run(self, phase: Phase) -> Outcomes:
        """Sends the requests of a phase at their arrival times and returns the outcomes."""
        before = await self._engine_totals()
        callers = self._callers()
        for name, factor in phase.slowdown_factors.items():
            await self._set_slowness(name, factor)
        started = time.monotonic() + 0.1
        disturbance_tasks = [
            asyncio.create_task(self._apply_slowdown(each, phase, started))
            for each in phase.slowdowns
        ]
        if phase.wave_at is not None:
            disturbance_tasks.append(asyncio.create_task(self._run_wave(phase, started)))
        send_tasks = [
            asyncio.create_task(self._send(callers[each.organisation, each.region], each, started))
            for each in phase.arrivals
        ]
        await asyncio.wait(send_tasks, timeout=0.1 + phase.seconds + phase.drain_seconds)
        unfinished = [send for send in send_tasks if not send.done()]
        for send in unfinished:
            send.cancel()
        await asyncio.gather(*unfinished, return_exceptions=True)
        await asyncio.gather(*disturbance_tasks)
        for name in phase.slowdown_factors:
            await self._set_slowness(name, 1.0)
        after = await self._engine_totals()
        if phase.wait_until_idle:
            await harness.wait_until(
                self._idle, IDLE_TIMEOUT_SECONDS, f"idle engines after {phase.name}"
            )
        results = [
            (_unfinished_outcome(arrival), "unfinished") if send.cancelled() else send.result()
            for arrival, send in zip(phase.arrivals, send_tasks, strict=True)
        ]
        refusals: dict[str, int] = {}
        for _, code in results:
            if code:
                refusals[code] = refusals.get(code, 0) + 1
        executed = after["executions"] - before["executions"]
        return Outcomes(
            [outcome for outcome, _ in results],
            refusals,
            len(executed),
            len({request for request, _, _ in executed}),
            after["generated_tokens"] - before["generated_tokens"],
            after["recomputed_tokens"] - before["recomputed_tokens"],
        )

    async def link_bytes(self) -> int:
        """Returns the total bytes that have crossed the link in both directions."""
        reply = await webclient.fetch(self._proxy, "GET", "/routes")
        return sum(
            sum(route["bytes"].values())
            for name, route in reply.json().items()
            if name.endswith("-away")
        )

    async def restart_ended(self) -> None:
        """Restarts the engines that have ended in a wave."""
        for name, zone, reclaimable in ENGINES:
            process = self.children.processes[name]
            if process.returncode is not None:
                await self._start_engine(name, zone, reclaimable)
        await asyncio.sleep(_RESTART_SETTLE_SECONDS)

    def _callers(self) -> dict[tuple[str, str], caller.Caller]:
        entries: dict[str, list[str]] = {}
        for name, spec in self.daemon_specs.items():
            entries.setdefault(spec.region, []).append(self.addresses[name]["callers"])
        return {
            (organisation, region): caller.Caller(
                addresses, cluster.api_key(organisation), REQUEST_IDLE_TIMEOUT_SECONDS
            )
            for organisation in benchtrace.ORGANISATIONS
            for region, addresses in entries.items()
        }

    async def _send(
        self, client: caller.Caller, arrival: benchtrace.Arrival, started: float
    ) -> tuple[benchfigures.Outcome, str]:
        at = started + arrival.at
        await asyncio.sleep(at - time.monotonic())
        if arrival.kind == "service":
            record = await client.call("parts", "/stock", method="GET", intended_at=at)
        else:
            fields = {} if arrival.max_tokens is None else {"max_tokens": arrival.max_tokens}
            record = await client.chat(arrival.prompt, intended_at=at, **fields)
            if record.status == 200:
                # A stream may end early and require a reconnect, for example after a take-over.
                await client.finish(record, DRAIN_SECONDS)
        return _outcome(arrival, record), _failure_code(arrival, record)

    async def _apply_slowdown(
        self, slowdown: benchtrace.Slowdown, phase: Phase, started: float
    ) -> None:
        name = ENGINES[slowdown.upstream][0]
        if phase.wave_at is not None and ENGINES[slowdown.upstream][1] == phase.wave_zone:
            return
        base = phase.slowdown_factors.get(name, 1.0)
        await asyncio.sleep(started + slowdown.at - time.monotonic())
        await self._set_slowness(name, max(base, slowdown.factor))
        await asyncio.sleep(slowdown.seconds)
        await self._set_slowness(name, base)

    async def _run_wave(self, phase: Phase, started: float) -> None:
        leaving = [
            self.children.processes[name] for name, zone, _ in ENGINES if zone == phase.wave_zone
        ]
        await asyncio.sleep(started + phase.wave_at - time.monotonic())
        deadline_ms = round(phase.wave_notice_seconds * 1000)
        for process in leaving:
            await self._control(process.address, leave={"deadline_ms": deadline_ms})
        self._stats_of_ended_engines += await asyncio.gather(
            *(_final_stats(each) for each in leaving)
        )

    async def _engine_totals(self) -> dict[str, Any]:
        live_stats = [
            await _stats(self.children.processes[name])
            for name, _, _ in ENGINES
            if self.children.processes[name].returncode is None
        ]
        all_stats = self._stats_of_ended_engines + live_stats
        return {
            "generated_tokens": sum(each["generated_tokens"] for each in all_stats),
            "recomputed_tokens": sum(each["recomputed_tokens"] for each in all_stats),
            "executions": {
                (entry["request_id"], entry["attempt"], entry["at"])
                for each in all_stats
                for entry in each["execution_log"]
            },
        }

    async def _idle(self) -> bool:
        for name, _, _ in ENGINES:
            process = self.children.processes[name]
            if process.returncode is None:
                stats = await _stats(process)
                if stats["running"] or stats["waiting"]:
                    return False
        return True

    async def _start_engine(self, name: str, zone: str, reclaimable: bool) -> None:
        arguments = ["--slots", str(ENGINE_SLOTS), "--gap-seconds", str(TOKEN_GAP_SECONDS)]
        arguments += ["--load-lag-seconds", str(LOAD_LAG_SECONDS)]
        arguments += ["--vm-class", "reclaimable" if reclaimable else "on-demand"]
        if zone.startswith("away"):
            own_address = f"127.0.0.1:{harness.free_ports(1)[0]}"
            advertised = await self._route(f"engine-{name}", own_address, "away")
            arguments += ["--listen", own_address, "--advertised-address", advertised]
        await self.start_engine(name, zone, *arguments)

    async def _route(self, name: str, target: str, region: str) -> str:
        name = f"{name}-{region}"
        away = region == "away"
        added = await self._control(
            self._proxy,
            add_route={"name": name, "target": target, "pipe": "link" if away else None},
            set={
                "routes": name,
                "latency_ms": LINK_LATENCY_MS if away else self._zone_latency_ms,
            },
        )
        return added["add_route"]

    async def _set_slowness(self, name: str, factor: float) -> None:
        await self._control(self.children.processes[name].address, slowness=factor)

    @staticmethod
    async def _control(address: str, **verbs: Any) -> dict[str, Any]:
        reply = await webclient.fetch(address, "POST", "/control", json=verbs)
        if reply.status != 200:
            raise RuntimeError(f"control of {address} failed: {reply.body!r}")
        return reply.json()


async def _stats(process: processes.Process) -> dict[str, Any]:
    return (await webclient.fetch(process.address, "GET", "/stats")).json()


async def _final_stats(process: processes.Process) -> dict[str, Any]:
    """Polls the counters of a leaving engine until it has exited and returns the last ones."""
    last = await _stats(process)
    while process.returncode is None:
        with contextlib.suppress(TimeoutError, errors.TestSupportError):
            last = await _stats(process)
        await asyncio.sleep(_POLL_INTERVAL_SECONDS)
    return last


def _unfinished_outcome(arrival: benchtrace.Arrival) -> benchfigures.Outcome:
    infinite = float("inf")
    return benchfigures.Outcome(
        arrival.kind, arrival.organisation, arrival.length, infinite, infinite
    )


def _outcome(arrival: benchtrace.Arrival, record: records.Record) -> benchfigures.Outcome:
    if arrival.kind == "service":
        if not record.done or record.status != 200:
            return _unfinished_outcome(arrival)
        last = record.parts[-1].ended_at - record.intended_at
        return benchfigures.Outcome("service", arrival.organisation, 0, last, last)
    tokens = [item for part in record.parts for item in part.events if item.event.id is not None]
    if not record.done or len(tokens) != arrival.length:
        return _unfinished_outcome(arrival)
    return benchfigures.Outcome(
        arrival.kind,
        arrival.organisation,
        arrival.length,
        tokens[0].at - record.intended_at,
        tokens[-1].at - record.intended_at,
    )


def _failure_code(arrival: benchtrace.Arrival, record: records.Record) -> str:
    """Returns the reason why a request has no complete answer; empty if it has one."""
    error = record.error()
    if error is not None:
        return str(error.get("code"))
    if record.done:
        return ""
    return record.parts[-1].ended if record.parts else "unsent"
