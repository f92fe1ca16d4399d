"""Announces many simulated upstreams from one process over a few keep-alive connections.

Replaces the upstreams of a large installation in measurements that need only the announcements.
"""

import argparse
import asyncio
import random
import time

import msgspec

from coltsfoothead.testsupport import webclient

ANNOUNCE_PERIOD_SECONDS = 0.5
UPSTREAMS_PER_CONNECTION = 50


def make_announcement(number, incarnation, sequence):
    """Returns the body of one announcement of a model runner."""
    return {
        "upstream": f"runner-{number}",
        "incarnation": incarnation,
        "sequence": sequence,
        "state": "serving",
        "kind": "model",
        "address": f"127.0.0.1:{10_000 + number % 50_000}",
        "slots": 16,
        "region": "home",
        "zone": "home-a",
        "vm": f"vm-of-runner-{number}",
        "vm_class": "standard",
        "models": [{"name": "small", "version": "1", "adapters": []}],
        "load": {"running": number % 16, "waiting": 0, "measured_ms_ago": 50.0},
    }


async def announce(address, upstream_numbers):
    """Announces each of some upstreams once per period over one connection, without end."""
    incarnation = time.time_ns() // 1_000_000
    connection = await webclient.Connection.open(address)
    await asyncio.sleep(random.uniform(0, ANNOUNCE_PERIOD_SECONDS))
    sequence = 0
    while True:
        period_started_at = time.monotonic()
        sequence += 1
        for position, number in enumerate(upstream_numbers):
            # Announcements are spread over the period, like those of independent upstreams.
            due = period_started_at + ANNOUNCE_PERIOD_SECONDS * position / len(upstream_numbers)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            body = msgspec.json.encode(make_announcement(number, incarnation, sequence))
            headers = {"content-type": "application/json"}
            await connection.send("POST", "/announce", body=body, headers=headers)
            await connection.read()
        await asyncio.sleep(
            max(0.0, period_started_at + ANNOUNCE_PERIOD_SECONDS - time.monotonic())
        )


async def run_connections(options):
    """Opens all connections and announces over them without end."""
    upstream_numbers = range(options.count)
    chunks = [
        upstream_numbers[start : start + UPSTREAMS_PER_CONNECTION]
        for start in range(0, options.count, UPSTREAMS_PER_CONNECTION)
    ]
    async with asyncio.TaskGroup() as group:
        for position, chunk in enumerate(chunks):
            address = options.announce[position % len(options.announce)]
            group.create_task(announce(address, chunk))


def main():
    """Parses the arguments and announces until killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--announce", action="append", required=True, help="IP:PORT; repeatable")
    parser.add_argument("--count", type=int, required=True)
    asyncio.run(run_connections(parser.parse_args()))


if __name__ == "__main__":
    main()
