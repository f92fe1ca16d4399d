"""Announces many upstreams from one process over a few keep-alive connections.

Stands in for the upstreams of a large installation where only their announcements matter.
"""

import argparse
import asyncio
import random
import time

import msgspec

from coltsfoothead.testsupport import webclient

PERIOD_SECONDS = 0.5
PER_CONNECTION = 50


def record(number, incarnation, sequence):
    """Returns one announcement of a model runner."""
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


async def announce(address, numbers):
    """Announces some upstreams one after the other, each once in a period, for ever."""
    incarnation = time.time_ns() // 1_000_000
    connection = await webclient.Connection.open(address)
    await asyncio.sleep(random.uniform(0, PERIOD_SECONDS))
    sequence = 0
    while True:
        started = time.monotonic()
        sequence += 1
        for position, number in enumerate(numbers):
            # Spread over the period, as independent upstreams would be.
            due = started + PERIOD_SECONDS * position / len(numbers)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            body = msgspec.json.encode(record(number, incarnation, sequence))
            headers = {"content-type": "application/json"}
            await connection.send("POST", "/announce", body=body, headers=headers)
            await connection.read()
        await asyncio.sleep(max(0.0, started + PERIOD_SECONDS - time.monotonic()))


async def run(options):
    """Runs all connections."""
    numbers = range(options.count)
    chunks = [
        numbers[start : start + PER_CONNECTION] for start in range(0, options.count, PER_CONNECTION)
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
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
