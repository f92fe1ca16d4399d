"""Benchmark of routing, reclaim and overload: real daemons with fake engines and services.

Two installations differ in the latency between zones. The trace is generated from the seed in
advance. Every request is sent at its intended time, regardless of the progress of the others, and
its latency counts from that time. The routing policies are compared in one run, on the same
processes and the same traces.
"""

import argparse
import asyncio
import dataclasses
import json
import os
import resource
import sys
import time

from coltsfoothead.kernel.capacity import bound, offers
from coltsfoothead.testsupport import benchfigures, benchinstallation, benchtrace, harness

ZONE_LATENCY_MS = {"first": 0.5, "second": 1.5}
# Numbers of the figures that are measured with each routing policy, by installation. The second
# installation compares fewer, so that a run of both takes less than 6 minutes.
FIGURES_BY_POLICY = {
    "first": {
        "roundrobin": {1, 2, 3},
        "leastinflight": {1, 2, 3},
        "completion": {1, 2, 3, 5},
    },
    "second": {"roundrobin": {1}, "completion": {1, 2, 3, 5}},
}
# The policy whose figures have limits.
DEFAULT_POLICY = "completion"
TARGETS = benchfigures.Targets(
    first_token_seconds=1.7, token_gap_seconds=0.034, service_seconds=1.0
)
# Price per VM and hour, by zone and VM class.
HOURLY_PRICES = {
    ("home-a", "on-demand"): 3.0,
    ("home-b", "on-demand"): 3.3,
    ("away-a", "on-demand"): 2.7,
    ("home-a", "reclaimable"): 1.0,
    ("home-b", "reclaimable"): 1.1,
    ("away-a", "reclaimable"): 0.9,
}
ENGINE_TOKENS_PER_SECOND = benchinstallation.ENGINE_SLOTS / benchinstallation.TOKEN_GAP_SECONDS
CAPACITY_TOKENS_PER_SECOND = ENGINE_TOKENS_PER_SECOND * len(benchinstallation.ENGINES)
BASE_LOAD_FACTOR = 0.7
FLOOD_LOAD_FACTOR = 1.5
FLOODING_ORGANISATION = "hostel"
# Factors by engine.
SLOWDOWN_FACTORS = {"e2": 5.0, "e9": 5.0}
# Long requests on slowed engines take 30 s; only short requests count in that phase.
SLOWED_PHASE_DRAIN_SECONDS = 6.0
PHASE_SECONDS = 6.0
OVERLOAD_SECONDS = 5.0
FIGURE_NUMBERS = (1, 2, 3, 4, 5)


def fleet_hourly_price(on_demand_only=False):
    """Returns the price per hour of all runners."""
    return sum(
        HOURLY_PRICES[zone, "reclaimable" if reclaimable and not on_demand_only else "on-demand"]
        for _, zone, reclaimable in benchinstallation.ENGINES
    )


def lower_bound_per_thousand(arrivals, seconds):
    """Returns a lower bound on the cost per 1,000 model requests of a trace."""
    model_requests = [each for each in arrivals if each.kind != "service"]
    vm_offers = [
        offers.Offer(zone, kind, kind == "reclaimable", price, ENGINE_TOKENS_PER_SECOND)
        for (zone, kind), price in HOURLY_PRICES.items()
    ]
    tokens_per_second = sum(each.length for each in model_requests) / seconds
    interval = bound.Interval(seconds, {"small": tokens_per_second}, {"small": vm_offers})
    return bound.lower_bound([interval]) / len(model_requests) * 1000


class Bench:
    """One run of one installation with one seed.

    Attributes
    ----------
    figures : list of Figure
    notes : list of str
        Size, duration and outcomes of each phase.
    """

    def __init__(self, name, seed, selected_figures, scale):
        self.figures = []
        self.notes = []
        self._name = name
        self._seed = seed
        self._selected_figures = selected_figures
        self._seconds = PHASE_SECONDS * scale
        self._overload_seconds = OVERLOAD_SECONDS * scale
        self._baseline_cost = None

    async def run(self):
        """Starts the installation, runs every phase and returns the figures."""
        async with harness.Harness() as children:
            installation = benchinstallation.Installation(children, ZONE_LATENCY_MS[self._name])
            await installation.start()
            for policy, figures in FIGURES_BY_POLICY[self._name].items():
                policy_figures = figures & self._selected_figures
                if policy_figures:
                    await installation.apply_routing(policy, TARGETS)
                    mixed = await self._measure_policy(installation, policy, policy_figures)
            if self._selected_figures == {4}:
                await installation.apply_routing(DEFAULT_POLICY, TARGETS)
            if 4 in self._selected_figures:
                await self._measure_reclaim_wave(installation)
            if 5 in self._selected_figures:
                await self._measure_overload(installation, mixed)
            self.notes.append(f"bytes over the link: {await installation.link_bytes()}")
        return self.figures

    def _add_figure(self, number, name, value, limit=None, at_least=False):
        figure = benchfigures.Figure(number, f"{self._name}: {name}", value, limit, at_least)
        self.figures.append(figure)
        # Printed at once, so that an aborted run still shows the figures measured so far.
        print(f"{number}. {figure.name}: {value:.4g}", file=sys.stderr, flush=True)

    async def _run_phase(self, installation, name, load, arrivals=None, **options):
        seconds = options.pop("seconds", self._seconds)
        if arrivals is None:
            arrivals = benchtrace.trace(
                self._seed, name, seconds, load * CAPACITY_TOKENS_PER_SECOND
            )
        engines = len(benchinstallation.ENGINES)
        phase = benchinstallation.Phase(
            name,
            seconds,
            arrivals,
            benchtrace.slowdowns(self._seed, name, seconds, engines),
            **options,
        )
        started = time.monotonic()
        outcomes = await installation.run(phase)
        note = (
            f"{name}: {len(arrivals)} requests in {time.monotonic() - started:.1f} s, "
            f"not answered {outcomes.refusals}, executions {outcomes.executions}"
        )
        self.notes.append(note)
        print(f"{self._name} seed {self._seed} {note}", file=sys.stderr, flush=True)
        return outcomes

    async def _measure_policy(self, installation, policy, policy_figures):
        is_default = policy == DEFAULT_POLICY
        arrivals = benchtrace.trace(
            self._seed, "mixed", self._seconds, BASE_LOAD_FACTOR * CAPACITY_TOKENS_PER_SECOND
        )
        mixed = await self._run_phase(installation, "mixed", BASE_LOAD_FACTOR, arrivals)
        if 1 in policy_figures:
            self._add_cost_figures(policy, mixed, arrivals)
        if 2 in policy_figures:
            short = [each for each in arrivals if each.kind in ("short", "service")]
            without_long = await self._run_phase(installation, "mixed", BASE_LOAD_FACTOR, short)
            upper = benchfigures.short_p99(mixed.requests)
            lower = benchfigures.short_p99(without_long.requests)
            self._add_figure(2, f"{policy}: short p99 with long ones, s", upper)
            self._add_figure(2, f"{policy}: short p99 without long ones, s", lower)
            value = benchfigures.ratio(upper, lower)
            self._add_figure(
                2, f"{policy}: with / without long ones", value, 1.2 if is_default else None
            )
        if 3 in policy_figures:
            slowed = await self._run_phase(
                installation,
                "mixed",
                BASE_LOAD_FACTOR,
                arrivals,
                slowdown_factors=SLOWDOWN_FACTORS,
                drain_seconds=SLOWED_PHASE_DRAIN_SECONDS,
            )
            upper = benchfigures.short_p99(slowed.requests)
            value = benchfigures.ratio(upper, benchfigures.short_p99(mixed.requests))
            self._add_figure(3, f"{policy}: short p99 with 2 of 9 slowed 5x, s", upper)
            self._add_figure(
                3, f"{policy}: slowed / none slowed", value, 1.3 if is_default else None
            )
        return mixed

    def _add_cost_figures(self, policy, mixed, arrivals):
        is_default = policy == DEFAULT_POLICY
        cost = benchfigures.cost_per_thousand(
            mixed.requests, TARGETS, fleet_hourly_price(), self._seconds
        )
        self._add_figure(1, f"{policy}: cost per 1,000 within target", cost)
        lower_bound_cost = lower_bound_per_thousand(arrivals, self._seconds)
        limit = 1.15 if is_default else None
        self._add_figure(
            1, f"{policy}: cost / lower bound", benchfigures.ratio(cost, lower_bound_cost), limit
        )
        if policy == "roundrobin":
            self._baseline_cost = benchfigures.cost_per_thousand(
                mixed.requests, TARGETS, fleet_hourly_price(on_demand_only=True), self._seconds
            )
        elif is_default and self._baseline_cost is not None:
            value = benchfigures.ratio(cost, self._baseline_cost)
            self._add_figure(1, f"{policy}: cost / round-robin on on-demand VMs", value, 0.6)

    async def _measure_reclaim_wave(self, installation):
        outcomes = await self._run_phase(
            installation, "wave", BASE_LOAD_FACTOR / 2, wave_at=self._seconds / 3
        )
        await installation.restart_ended()
        value = benchfigures.ratio(outcomes.recomputed_tokens, outcomes.generated_tokens)
        self._add_figure(4, f"{DEFAULT_POLICY}: recomputed / generated tokens", value, 0.01)
        lost = sum(outcomes.refusals.values())
        self._add_figure(
            4, f"{DEFAULT_POLICY}: requests without a whole answer through the wave", lost
        )

    async def _measure_overload(self, installation, mixed):
        seconds = self._overload_seconds
        arrivals = benchtrace.trace(
            self._seed, "mixed", seconds, BASE_LOAD_FACTOR * CAPACITY_TOKENS_PER_SECOND
        )
        arrivals += benchtrace.flood(
            self._seed,
            FLOODING_ORGANISATION,
            seconds,
            FLOOD_LOAD_FACTOR * CAPACITY_TOKENS_PER_SECOND,
        )
        flooded = await self._run_phase(installation, "flood", 0, arrivals, seconds=seconds)
        shares_without_flood = benchfigures.share_by_organisation(mixed.requests, TARGETS)
        shares = benchfigures.share_by_organisation(flooded.requests, TARGETS)
        for name, share in shares.items():
            self._add_figure(
                5,
                f"share within target of {name} without a flood",
                shares_without_flood.get(name, 0),
            )
            role = "flooding" if name == FLOODING_ORGANISATION else "others flood"
            self._add_figure(5, f"share within target of {name}, {role}", share)
        largest_loss = benchfigures.worst_loss(shares_without_flood, shares, FLOODING_ORGANISATION)
        self._add_figure(
            5, "largest loss of an organisation that does not flood, points", largest_loss, 2.0
        )
        goodput_by_factor = {}
        for factor in (1, 2, 4):
            outcomes = await self._run_phase(
                installation, f"load-{factor}x", factor, seconds=seconds, wait_until_idle=factor < 4
            )
            goodput_by_factor[factor] = benchfigures.goodput(outcomes.requests, TARGETS, seconds)
            self._add_figure(5, f"goodput at {factor}x, requests/s", goodput_by_factor[factor])
        value = benchfigures.ratio(goodput_by_factor[4], goodput_by_factor[1])
        self._add_figure(5, "goodput at 4x / 1x", value, 0.95, at_least=True)
        value = benchfigures.amplification(outcomes.executions, outcomes.executed_requests)
        self._add_figure(5, "executions per executed request at 4x", value, 1.1)


def processor_seconds():
    """Returns the processor time of this process and of its terminated child processes."""
    usages = [resource.getrusage(who) for who in (resource.RUSAGE_SELF, resource.RUSAGE_CHILDREN)]
    return sum(usage.ru_utime + usage.ru_stime for usage in usages)


async def run_installations(options):
    """Runs the selected installations with every seed; returns the report for the table or JSON."""
    names = [options.installation] if options.installation else list(ZONE_LATENCY_MS)
    selected_figures = set(options.only or FIGURE_NUMBERS)
    report = {"seeds": [], "load_averages": [], "rows": [], "notes": []}
    runs = []
    for seed in range(options.seed, options.seed + options.runs):
        report["seeds"].append(seed)
        figures = []
        for name in names:
            run = Bench(name, seed, selected_figures, options.scale)
            report["load_averages"].append(os.getloadavg()[0])
            figures += await run.run()
            report["notes"] += [f"{name} seed {seed} {note}" for note in run.notes]
        runs.append(figures)
    report["load_averages"].append(os.getloadavg()[0])
    report["rows"] = benchfigures.spread(runs)
    return report


def main():
    """Parses the arguments, runs the benchmark and prints its table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--installation", choices=list(ZONE_LATENCY_MS))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1, help="seeds, counted from --seed")
    parser.add_argument("--only", type=int, action="append", choices=FIGURE_NUMBERS)
    parser.add_argument("--scale", type=float, default=1.0, help="factor on the traces' seconds")
    parser.add_argument("--json", action="store_true", help="print JSON in place of the table")
    options = parser.parse_args()
    started = time.monotonic()
    report = asyncio.run(run_installations(options))
    seconds = time.monotonic() - started
    report["seconds"] = round(seconds, 1)
    report["cores"] = round(processor_seconds() / seconds, 2)
    if options.json:
        rows = [
            {
                **dataclasses.asdict(figure),
                "verdict": figure.verdict,
                "lowest": lowest,
                "highest": highest,
            }
            for figure, lowest, highest in report["rows"]
        ]
        print(json.dumps({**report, "rows": rows}, indent=2))
        return
    loads = ", ".join(f"{load:.1f}" for load in report["load_averages"])
    cost = f"{report['seconds']} s, {report['cores']} cores"
    print(f"seeds {report['seeds']}, {cost}, load average {loads}\n")
    print(benchfigures.table(report["rows"]))


if __name__ == "__main__":
    main()
