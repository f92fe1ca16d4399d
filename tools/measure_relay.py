"""Measures the cost of relaying through one daemon, compared to calling the fake engine directly.

Prints the processor time of the daemon's process per token and per request, and the time that the
same load takes with and without the daemon. Load, engine and daemon are separate processes.
"""

import argparse
import asyncio
import json
import os
import pathlib
import time

from coltsfoothead.testsupport import caller, cluster, harness

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def processor_seconds(pid):
    """Returns user and system time of a process, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_megabytes(pid):
    """Returns the resident memory of a process, in MB."""
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


async def run_streams(address, count, tokens):
    """Runs `count` streams at the same time; returns the seconds taken."""
    caller_client = caller.Caller([address], cluster.api_key("kiosk"), timeout_seconds=120)
    started = time.monotonic()
    records = await asyncio.gather(
        *(caller_client.chat(f"stream {number} len={tokens}") for number in range(count))
    )
    assert all(record.done for record in records)
    return time.monotonic() - started


async def run_service_calls(address, through_daemon, count, concurrency):
    """Sends `count` service calls, `concurrency` at a time; returns the seconds taken.

    `through_daemon` states whether `address` belongs to a daemon or to the service itself.
    """
    caller_client = caller.Caller([address], cluster.api_key("kiosk"), timeout_seconds=60)
    semaphore = asyncio.Semaphore(concurrency)

    async def call():
        async with semaphore:
            if through_daemon:
                record = await caller_client.call("parts", "/stock", method="GET")
            else:
                record = await caller_client.call("", "stock", method="GET")
            assert record.status == 200, record.error()

    started = time.monotonic()
    await asyncio.gather(*(call() for _ in range(count)))
    return time.monotonic() - started


async def measure(options):
    """Runs the measurement and returns its figures."""
    async with harness.Harness() as children:
        daemon_place = cluster.DaemonSpec("d1", "home-a")
        installation = cluster.Cluster(children, [daemon_place])
        await installation.start_daemons()
        engine = await installation.start_engine(
            "e1",
            "home-a",
            "--gap-seconds",
            str(options.gap_seconds),
            "--slots",
            str(options.streams),
        )
        service = await installation.start_service("s1", "home-a")
        await installation.apply("d1", cluster.document(), "c1")
        await installation.wait_ready()
        await installation.wait_upstreams(2)
        callers_address = installation.addresses["d1"]["callers"]
        daemon = children.processes["d1"]
        await run_streams(callers_address, 4, 20)
        tokens = options.streams * options.tokens
        cpu_seconds_before = processor_seconds(daemon.pid)
        seconds_through = await run_streams(callers_address, options.streams, options.tokens)
        cpu_seconds_per_token = (processor_seconds(daemon.pid) - cpu_seconds_before) / tokens
        seconds_direct = await run_streams(engine.address, options.streams, options.tokens)
        cpu_seconds_before = processor_seconds(daemon.pid)
        service_seconds_through = await run_service_calls(callers_address, True, options.calls, 8)
        cpu_seconds_per_call = (processor_seconds(daemon.pid) - cpu_seconds_before) / options.calls
        service_seconds_direct = await run_service_calls(service.address, False, options.calls, 8)
        return {
            "streams": options.streams,
            "gap_seconds": options.gap_seconds,
            "tokens": tokens,
            "daemon_us_per_token": round(cpu_seconds_per_token * 1e6, 1),
            "seconds_through": round(seconds_through, 2),
            "seconds_direct": round(seconds_direct, 2),
            "daemon_us_per_service_call": round(cpu_seconds_per_call * 1e6),
            "service_calls_per_core_second": round(1 / cpu_seconds_per_call),
            "service_seconds_through": round(service_seconds_through, 2),
            "service_seconds_direct": round(service_seconds_direct, 2),
            "resident_mb": round(resident_megabytes(daemon.pid), 1),
        }


def main():
    """Parses the arguments, measures and prints JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, default=32)
    parser.add_argument("--tokens", type=int, default=500)
    parser.add_argument("--calls", type=int, default=2000)
    parser.add_argument(
        "--gap-seconds", type=float, default=0.002, help="time between the tokens of a stream"
    )
    print(json.dumps(asyncio.run(measure(parser.parse_args())), indent=2))


if __name__ == "__main__":
    main()
