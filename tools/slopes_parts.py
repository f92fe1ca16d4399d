"""Measures single components: log recovery, ledger, failure detector, poll tree and links."""

import asyncio
import contextlib
import heapq
import itertools
import multiprocessing
import pathlib
import random
import subprocess
import sys
import tempfile
import time
import uuid
from concurrent import futures

import measure_relay

from coltsfoothead.coordination import ledger as ledger_module
from coltsfoothead.coordination.configuration import tree as tree_module
from coltsfoothead.coordination.ledger import commands, keys
from coltsfoothead.coordination.machine import host, registry
from coltsfoothead.coordination.membership import members, swim
from coltsfoothead.coordination.replication import settings, task
from coltsfoothead.coordination.storage import disk, folder
from coltsfoothead.coordination.transport import links as links_module

LOG_LENGTHS = (1_000, 10_000, 50_000)
CLAIM_COUNTS = (10_000, 50_000, 100_000)
WRITER_COUNTS = (1, 16, 128, 512)
MEMBER_COUNTS = (50, 100, 200, 400, 1200)
MEMBERSHIP_MEASUREMENT_SECONDS = 20.0
MEMBERSHIP_SETTLE_SECONDS = 20.0
# The end condition inspects every lost member, which is too costly to do at each event.
EVENTS_PER_CONDITION_CHECK = 200
PARENT_CHOICES = 200
BATCH_FRAMES = (1, 4, 16, 64, 256)
FRAME_BYTES = 60
LINK_COUNTS = (0, 50, 100, 200, 400)
IDLE_MEASUREMENT_SECONDS = 5.0
CLAIMED_AT_MS = 1_700_000_000_000
ANSWER = commands.Answer(200, (("content-type", "application/json"),), b"x" * 500)


def make_claim(number, owner="d1"):
    """Returns an encoded claim, as an entry daemon proposes it, and its key."""
    key = keys.Key("organisation-1", "parts", f"order-{number}-{'k' * 20}")
    digest = number.to_bytes(32, "big")
    request = uuid.UUID(int=number).hex
    return registry.encode(commands.Claim(key, digest, request, owner, 1, CLAIMED_AT_MS)), key


def open_log(root, name, places, send, options):
    """Returns a log task of one replica with the ledger's state machines."""
    replica_folder = folder.ReplicaFolder(
        disk.DirectoryDisk(root / name), "slopes", name, random.Random()
    )
    machine = host.StateMachineHost(host.LEDGER_STATE_MACHINES)
    return task.LogTask(
        replica_folder, machine, send, time.monotonic, random.Random(name), options, places
    )


async def wait_until(condition):
    """Waits until a condition is true."""
    while not condition():
        await asyncio.sleep(0.002)


async def recovery():
    """Measures the restart of one replica of the ledger log, by number of entries written."""
    rows = []
    for length, snapshots in itertools.product(LOG_LENGTHS, (False, True)):
        # A snapshot just before the end leaves few entries to replay.
        snapshot_interval = max(1, length - 100) if snapshots else 10**9
        options = settings.Settings(
            snapshot_entries=snapshot_interval, retained_entries=100, require_zone_spread=False
        )
        with tempfile.TemporaryDirectory() as path:
            root = pathlib.Path(path)
            places = {"a": ("a", "z")}
            log = open_log(root, "a", places, lambda *_: None, options)
            await log.start()
            await wait_until(lambda log=log: log.status().role == "leader")
            for start in range(0, length, 500):
                await asyncio.gather(
                    *(log.propose(make_claim(n)[0], 60) for n in range(start, start + 500))
                )
            await log.stop()
            folder_bytes = sum(each.stat().st_size for each in root.rglob("*") if each.is_file())
            started_at, cpu_seconds = time.monotonic(), time.process_time()
            log = open_log(root, "a", places, lambda *_: None, options)
            await log.start()
            load_seconds = time.monotonic() - started_at
            await wait_until(lambda log=log, length=length: log.status().applied_index > length)
            rows.append(
                {
                    "group": "with snapshot" if snapshots else "log only",
                    "entries": length,
                    "load_s": round(load_seconds, 3),
                    "ready_s": round(time.monotonic() - started_at, 3),
                    "processor_s": round(time.process_time() - cpu_seconds, 3),
                    "folder_bytes": folder_bytes,
                }
            )
            await log.stop()
    return "entries", rows


def _measure_ledger_state(count):
    before = measure_relay.resident_megabytes("self")
    machine = host.StateMachineHost(host.LEDGER_STATE_MACHINES)
    cpu_seconds = time.process_time()
    index = 0
    for number in range(count):
        payload, key = make_claim(number)
        index += 1
        machine.apply(index, payload)
        done = commands.Complete(key, "d1", index, ANSWER)
        index += 1
        machine.apply(index, registry.encode(done))
    cpu_seconds = time.process_time() - cpu_seconds
    size = len(machine.snapshot())
    resident_mb = measure_relay.resident_megabytes("self") - before
    state = machine.state(ledger_module.NAME).state_bytes()
    return {
        "group": "state machine, 500-byte answers",
        "records": count,
        "processor_s": round(cpu_seconds, 3),
        "snapshot_bytes": size,
        "state_bytes": state,
        "resident_mb_with_snapshot": round(resident_mb, 1),
    }


async def _measure_claims(writers, seconds=4.0):
    tasks = {}
    places = {name: (name, f"zone-{name}") for name in "abc"}
    loop = asyncio.get_running_loop()

    def sender(source):
        return lambda peer, payload: loop.call_soon(tasks[peer].receive, source, payload)

    with tempfile.TemporaryDirectory() as path:
        for name in places:
            tasks[name] = open_log(
                pathlib.Path(path), name, places, sender(name), settings.Settings()
            )
        for log in tasks.values():
            await log.start()
        await wait_until(lambda: any(log.status().quorum_contact for log in tasks.values()))
        leader = next(log for log in tasks.values() if log.status().role == "leader")
        numbers = itertools.count()
        latencies = []
        started_at, cpu_seconds = time.monotonic(), time.process_time()

        async def propose_repeatedly():
            while time.monotonic() < started_at + seconds:
                proposed_at = time.monotonic()
                await leader.propose(make_claim(next(numbers))[0])
                latencies.append(time.monotonic() - proposed_at)

        await asyncio.gather(*(propose_repeatedly() for _ in range(writers)))
        elapsed_seconds, cpu_seconds = (
            time.monotonic() - started_at,
            time.process_time() - cpu_seconds,
        )
        for log in tasks.values():
            await log.stop()
    latencies.sort()
    return {
        "group": "three replicas in one process",
        "records": writers,
        "claims_s": round(len(latencies) / elapsed_seconds),
        "us_per_claim_all_replicas": round(1e6 * cpu_seconds / len(latencies), 1),
        "p50_ms": round(1000 * latencies[len(latencies) // 2], 2),
        "p99_ms": round(1000 * latencies[len(latencies) * 99 // 100], 2),
    }


async def ledger():
    """Measures the ledger state by records, and claims per second by concurrent writers.

    Rows of the second kind hold the number of writers in the column `records`.
    """
    # Each count runs in a new process: memory freed after one count would be reused by the next
    # and hide its growth.
    spawn = multiprocessing.get_context("spawn")
    with futures.ProcessPoolExecutor(1, spawn, max_tasks_per_child=1) as pool:
        rows = list(pool.map(_measure_ledger_state, CLAIM_COUNTS))
    rows += [await _measure_claims(writers) for writers in WRITER_COUNTS]
    return "records", rows


class _SimulatedDetectors:
    """Failure detectors of a fleet in simulated time; each message is delivered after 1 ms."""

    def __init__(self, count):
        rng = random.Random(count)
        self.now = 1000.0
        records = [
            members.Member(f"d{n}", f"10.0.{n // 250}.{n % 250}:7000", "home", f"zone-{n % 17}", 1)
            for n in range(count)
        ]
        self.detectors = {each.id: swim.Detector(each, self.now, rng) for each in records}
        self.queue, self.sequence_numbers, self.wake_times = [], itertools.count(), {}
        self.messages = self.bytes = self.largest_message_bytes = 0
        initial_states = members.States(tuple(records), False)
        for each in self.detectors.values():
            self.apply_effects(each.local_member.id, each.receive("d0", initial_states, self.now))
        self.stopped = set()

    def apply_effects(self, name, effects):
        """Schedules the delivery of the messages and the next tick."""
        self.wake_times[name] = effects.wake_at
        self.schedule(effects.wake_at, name, None, None)
        for outgoing in effects.messages:
            payload = members.encode(outgoing.message)
            self.messages += 1
            self.bytes += len(payload)
            self.largest_message_bytes = max(self.largest_message_bytes, len(payload))
            self.schedule(self.now + 0.001, outgoing.to, name, payload)

    def schedule(self, at, target, sender, payload):
        heapq.heappush(self.queue, (at, next(self.sequence_numbers), target, sender, payload))

    def run(self, seconds, condition=lambda: False):
        """Runs events until `seconds` of simulated time have passed or the condition holds."""
        end = self.now + seconds
        for step in itertools.count(1):
            if self.queue[0][0] >= end or step % EVENTS_PER_CONDITION_CHECK == 0 and condition():
                return
            self.now, _, target, sender, payload = heapq.heappop(self.queue)
            if target in self.stopped:
                continue
            detector = self.detectors[target]
            if payload is not None:
                effects = detector.receive(sender, members.decode(payload), self.now)
            elif self.wake_times[target] <= self.now:
                effects = detector.tick(self.now)
            else:
                continue
            self.apply_effects(target, effects)


def _measure_detectors(count):
    fleet = _SimulatedDetectors(count)
    fleet.run(MEMBERSHIP_SETTLE_SECONDS)
    fleet.messages = fleet.bytes = fleet.largest_message_bytes = 0
    cpu_seconds = time.process_time()
    fleet.run(MEMBERSHIP_MEASUREMENT_SECONDS)
    cpu_seconds = time.process_time() - cpu_seconds
    member_seconds = count * MEMBERSHIP_MEASUREMENT_SECONDS
    row = {
        "members": count,
        "messages_s": round(fleet.messages / member_seconds, 3),
        "bytes_s": round(fleet.bytes / member_seconds, 1),
        "core_percent": round(100 * cpu_seconds / member_seconds, 4),
    }
    fleet.stopped = {
        name for name, each in fleet.detectors.items() if each.local_member.zone == "zone-3"
    }
    surviving_detector = next(
        each for name, each in fleet.detectors.items() if name not in fleet.stopped
    )
    fleet.messages = fleet.bytes = fleet.largest_message_bytes = 0
    zone_lost_at = fleet.now
    cpu_seconds = time.process_time()

    def all_declared_dead():
        states = (surviving_detector.members[name].state for name in fleet.stopped)
        return all(state >= members.State.DEAD for state in states)

    fleet.run(120.0, all_declared_dead)
    cpu_seconds = time.process_time() - cpu_seconds
    seconds = fleet.now - zone_lost_at
    remaining_members = count - len(fleet.stopped)
    return row | {
        "zone_lost_members": len(fleet.stopped),
        "zone_lost_all_dead_s": round(seconds, 2),
        "zone_lost_messages_s": round(fleet.messages / seconds / remaining_members, 2),
        "zone_lost_bytes_s": round(fleet.bytes / seconds / remaining_members, 1),
        "zone_lost_core_percent": round(100 * cpu_seconds / seconds / remaining_members, 3),
        "largest_message_bytes": fleet.largest_message_bytes,
    }


def membership():
    """Measures failure detectors in simulated time, first idle, then while a zone is lost."""
    return "members", [_measure_detectors(count) for count in MEMBER_COUNTS]


def tree():
    """Measures the choice of the parent in the poll tree, made by each daemon twice a second."""
    rows = []
    for count in MEMBER_COUNTS:
        fleet = [
            tree_module.Member(f"d{n}", f"region-{n % 5}", f"zone-{n % 17}", n < 5)
            for n in range(count)
        ]
        cpu_seconds = time.process_time()
        for _ in range(PARENT_CHOICES):
            tree_module.parent_candidates("d7", fleet, "d1")
        cpu_seconds = (time.process_time() - cpu_seconds) / PARENT_CHOICES
        rows.append({"members": count, "us_per_choice": round(1e6 * cpu_seconds, 1)})
    return "members", rows


async def frames():
    """Measures round trips of batches between two links in one process, by frames per batch."""
    rows = []
    left = links_module.Links("slopes", "left", 1, "127.0.0.1:0")
    right = links_module.Links("slopes", "right", 1, "127.0.0.1:0")
    addresses = {"left": await left.start(), "right": await right.start()}
    left.set_peers(addresses)
    right.set_peers(addresses)
    await wait_until(lambda: left.connected_peers and right.connected_peers)
    arrived = asyncio.Event()
    counts = {"waited": 0, "echoed": 0}

    def echo(_, payload):
        right.send("left", "echo", payload)

    def count_echo(_, payload):
        counts["echoed"] += 1
        if counts["echoed"] == counts["waited"]:
            arrived.set()

    right.on("echo", echo)
    left.on("echo", count_echo)
    payload = b"x" * FRAME_BYTES
    for size in BATCH_FRAMES:
        rounds = 2000 if size < 64 else 500
        before = left.counters().batches_out + right.counters().batches_out
        cpu_seconds = time.process_time()
        for _ in range(rounds):
            counts.update(waited=size, echoed=0)
            arrived.clear()
            for _ in range(size):
                left.send("right", "echo", payload)
            await arrived.wait()
        cpu_seconds = time.process_time() - cpu_seconds
        batches_sent = left.counters().batches_out + right.counters().batches_out - before
        rows.append(
            {
                "frames": size,
                "batches_per_round": round(batches_sent / rounds, 2),
                "us_per_round_per_side": round(1e6 * cpu_seconds / rounds / 2, 1),
                "us_per_frame_per_side": round(1e6 * cpu_seconds / rounds / 2 / size, 1),
            }
        )
    await left.stop(0)
    await right.stop(0)
    return "frames", rows


async def _serve_links():
    accepting = links_module.Links("slopes", "accepting", 1, "127.0.0.1:0")
    print(await accepting.start(), flush=True)
    await asyncio.Event().wait()


async def links():
    """Measures both ends of idle links from this process to one other, by number of links."""
    command = (sys.executable, __file__, "serve-links")
    child = await asyncio.create_subprocess_exec(*command, stdout=subprocess.PIPE)
    rows = []
    try:
        address = (await child.stdout.readline()).decode().strip()
        opening = links_module.Links("slopes", "opening", 1, "127.0.0.1:0")
        await opening.start()
        for count in LINK_COUNTS:
            # A peer that is known only by its address may have any member ID, so many links can
            # end at one process.
            peers = {f"{links_module.ADDRESS_PREFIX}{n}": address for n in range(count)}
            cpu_seconds, started_at = time.process_time(), time.monotonic()
            opening.set_peers(peers)
            await wait_until(
                lambda opening=opening, count=count: len(opening.connected_peers) == count
            )
            cpu_seconds, elapsed_seconds = (
                time.process_time() - cpu_seconds,
                time.monotonic() - started_at,
            )
            await asyncio.sleep(3.0)
            for group, pid in (("opening", "self"), ("accepting", child.pid)):
                before = measure_relay.processor_seconds(pid)
                await asyncio.sleep(IDLE_MEASUREMENT_SECONDS)
                used_cpu_seconds = measure_relay.processor_seconds(pid) - before
                row = {
                    "group": group,
                    "links": count,
                    "core_percent": round(100 * used_cpu_seconds / IDLE_MEASUREMENT_SECONDS, 2),
                }
                row["resident_mb"] = round(measure_relay.resident_megabytes(pid), 1)
                if group == "opening":
                    row |= {
                        "open_cpu_s": round(cpu_seconds, 3),
                        "open_s": round(elapsed_seconds, 2),
                    }
                rows.append(row)
        await opening.stop(0)
    finally:
        with contextlib.suppress(ProcessLookupError):
            child.kill()
        await child.wait()
    return "links", rows


if __name__ == "__main__":
    asyncio.run(_serve_links())
