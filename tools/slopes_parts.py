"""Slopes of single parts: log recovery, ledger, failure detector, link frames and links."""

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
WRITERS = (1, 16, 128, 512)
MEMBER_COUNTS = (50, 100, 200, 400, 1200)
MEMBERS_SECONDS = 20.0
MEMBERS_SETTLE_SECONDS = 20.0
# The end condition looks at every lost member, which is too costly to do at each event.
CONDITION_EVENTS = 200
TREE_ROUNDS = 200
BATCH_FRAMES = (1, 4, 16, 64, 256)
FRAME_BYTES = 60
LINK_COUNTS = (0, 50, 100, 200, 400)
IDLE_SECONDS = 5.0
NOW_MS = 1_700_000_000_000
ANSWER = commands.Answer(200, (("content-type", "application/json"),), b"x" * 500)


def claim(number, owner="d1"):
    """Returns an encoded claim as an entry makes it."""
    key = keys.Key("organisation-1", "parts", f"order-{number}-{'k' * 20}")
    digest = number.to_bytes(32, "big")
    request = uuid.UUID(int=number).hex
    return registry.encode(commands.Claim(key, digest, request, owner, 1, NOW_MS)), key


def open_log(root, name, places, send, options):
    """Returns a log task with a ledger."""
    stored = folder.ReplicaFolder(disk.DirectoryDisk(root / name), "slopes", name, random.Random())
    machine = host.StateMachineHost(host.LEDGER_STATE_MACHINES)
    return task.LogTask(stored, machine, send, time.monotonic, random.Random(name), options, places)


async def until(condition):
    """Waits until a condition is true."""
    while not condition():
        await asyncio.sleep(0.002)


async def recovery():
    """Restart of one replica of the ledger log, by entries written."""
    rows = []
    for length, snapshots in itertools.product(LOG_LENGTHS, (False, True)):
        # A snapshot just before the end leaves few entries to replay.
        every = max(1, length - 100) if snapshots else 10**9
        options = settings.Settings(
            snapshot_entries=every, retained_entries=100, require_zone_spread=False
        )
        with tempfile.TemporaryDirectory() as path:
            root = pathlib.Path(path)
            places = {"a": ("a", "z")}
            log = open_log(root, "a", places, lambda *_: None, options)
            await log.start()
            await until(lambda log=log: log.status().role == "leader")
            for start in range(0, length, 500):
                await asyncio.gather(
                    *(log.propose(claim(n)[0], 60) for n in range(start, start + 500))
                )
            await log.stop()
            stored = sum(each.stat().st_size for each in root.rglob("*") if each.is_file())
            begun, spent = time.monotonic(), time.process_time()
            log = open_log(root, "a", places, lambda *_: None, options)
            await log.start()
            loaded = time.monotonic() - begun
            await until(lambda log=log, length=length: log.status().applied_index > length)
            rows.append(
                {
                    "group": "with snapshot" if snapshots else "log only",
                    "entries": length,
                    "load_s": round(loaded, 3),
                    "ready_s": round(time.monotonic() - begun, 3),
                    "processor_s": round(time.process_time() - spent, 3),
                    "folder_bytes": stored,
                }
            )
            await log.stop()
    return "entries", rows


def _apply_ledger(count):
    before = measure_relay.resident_megabytes("self")
    machine = host.StateMachineHost(host.LEDGER_STATE_MACHINES)
    spent = time.process_time()
    index = 0
    for number in range(count):
        payload, key = claim(number)
        index += 1
        machine.apply(index, payload)
        done = commands.Complete(key, "d1", index, ANSWER)
        index += 1
        machine.apply(index, registry.encode(done))
    spent = time.process_time() - spent
    size = len(machine.snapshot())
    held = measure_relay.resident_megabytes("self") - before
    state = machine.state(ledger_module.NAME).state_bytes()
    return {
        "group": "state machine, 500-byte answers",
        "records": count,
        "processor_s": round(spent, 3),
        "snapshot_bytes": size,
        "state_bytes": state,
        "resident_mb_with_snapshot": round(held, 1),
    }


async def _claims(writers, seconds=4.0):
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
        await until(lambda: any(log.status().quorum_contact for log in tasks.values()))
        leader = next(log for log in tasks.values() if log.status().role == "leader")
        numbers = itertools.count()
        latencies = []
        begun, spent = time.monotonic(), time.process_time()

        async def write():
            while time.monotonic() < begun + seconds:
                started = time.monotonic()
                await leader.propose(claim(next(numbers))[0])
                latencies.append(time.monotonic() - started)

        await asyncio.gather(*(write() for _ in range(writers)))
        elapsed, spent = time.monotonic() - begun, time.process_time() - spent
        for log in tasks.values():
            await log.stop()
    latencies.sort()
    return {
        "group": "three replicas in one process",
        "records": writers,
        "claims_s": round(len(latencies) / elapsed),
        "us_per_claim_all_replicas": round(1e6 * spent / len(latencies), 1),
        "p50_ms": round(1000 * latencies[len(latencies) // 2], 2),
        "p99_ms": round(1000 * latencies[len(latencies) * 99 // 100], 2),
    }


async def ledger():
    """Ledger state by records, and claims per second; `records` is the writers there."""
    # Memory that an earlier count freed would hide the growth of the next one.
    spawn = multiprocessing.get_context("spawn")
    with futures.ProcessPoolExecutor(1, spawn, max_tasks_per_child=1) as pool:
        rows = list(pool.map(_apply_ledger, CLAIM_COUNTS))
    rows += [await _claims(writers) for writers in WRITERS]
    return "records", rows


class _Detectors:
    """Failure detectors in simulated time that know each other; messages take 1 ms."""

    def __init__(self, count):
        rng = random.Random(count)
        self.now = 1000.0
        records = [
            members.Member(f"d{n}", f"10.0.{n // 250}.{n % 250}:7000", "home", f"zone-{n % 17}", 1)
            for n in range(count)
        ]
        self.detectors = {each.id: swim.Detector(each, self.now, rng) for each in records}
        self.queue, self.order, self.due = [], itertools.count(), {}
        self.messages = self.bytes = self.most_bytes = 0
        known = members.States(tuple(records), False)
        for each in self.detectors.values():
            self.carry_out(each.local_member.id, each.receive("d0", known, self.now))
        self.gone = set()

    def carry_out(self, name, effects):
        """Queues the messages and the next tick."""
        self.due[name] = effects.wake_at
        self.put(effects.wake_at, name, None, None)
        for outgoing in effects.messages:
            payload = members.encode(outgoing.message)
            self.messages += 1
            self.bytes += len(payload)
            self.most_bytes = max(self.most_bytes, len(payload))
            self.put(self.now + 0.001, outgoing.to, name, payload)

    def put(self, at, target, sender, payload):
        heapq.heappush(self.queue, (at, next(self.order), target, sender, payload))

    def run(self, seconds, condition=lambda: False):
        """Runs until `seconds` have passed or the condition holds."""
        end = self.now + seconds
        for step in itertools.count(1):
            if self.queue[0][0] >= end or step % CONDITION_EVENTS == 0 and condition():
                return
            self.now, _, target, sender, payload = heapq.heappop(self.queue)
            if target in self.gone:
                continue
            detector = self.detectors[target]
            if payload is not None:
                effects = detector.receive(sender, members.decode(payload), self.now)
            elif self.due[target] <= self.now:
                effects = detector.tick(self.now)
            else:
                continue
            self.carry_out(target, effects)


def _detectors(count):
    fleet = _Detectors(count)
    fleet.run(MEMBERS_SETTLE_SECONDS)
    fleet.messages = fleet.bytes = fleet.most_bytes = 0
    spent = time.process_time()
    fleet.run(MEMBERS_SECONDS)
    spent = time.process_time() - spent
    per_member = count * MEMBERS_SECONDS
    row = {
        "members": count,
        "messages_s": round(fleet.messages / per_member, 3),
        "bytes_s": round(fleet.bytes / per_member, 1),
        "core_percent": round(100 * spent / per_member, 4),
    }
    fleet.gone = {
        name for name, each in fleet.detectors.items() if each.local_member.zone == "zone-3"
    }
    watcher = next(each for name, each in fleet.detectors.items() if name not in fleet.gone)
    fleet.messages = fleet.bytes = fleet.most_bytes = 0
    started = fleet.now
    spent = time.process_time()

    def given_up():
        states = (watcher.members[name].state for name in fleet.gone)
        return all(state >= members.State.DEAD for state in states)

    fleet.run(120.0, given_up)
    spent = time.process_time() - spent
    seconds = fleet.now - started
    left = count - len(fleet.gone)
    return row | {
        "zone_lost_members": len(fleet.gone),
        "zone_lost_all_dead_s": round(seconds, 2),
        "zone_lost_messages_s": round(fleet.messages / seconds / left, 2),
        "zone_lost_bytes_s": round(fleet.bytes / seconds / left, 1),
        "zone_lost_core_percent": round(100 * spent / seconds / left, 3),
        "largest_message_bytes": fleet.most_bytes,
    }


def membership():
    """Failure detectors without sockets in simulated time, at rest and with a zone lost."""
    return "members", [_detectors(count) for count in MEMBER_COUNTS]


def tree():
    """Choice of the parent in the poll tree, which each daemon makes twice a second."""
    rows = []
    for count in MEMBER_COUNTS:
        fleet = [
            tree_module.Member(f"d{n}", f"region-{n % 5}", f"zone-{n % 17}", n < 5)
            for n in range(count)
        ]
        spent = time.process_time()
        for _ in range(TREE_ROUNDS):
            tree_module.parent_candidates("d7", fleet, "d1")
        spent = (time.process_time() - spent) / TREE_ROUNDS
        rows.append({"members": count, "us_per_choice": round(1e6 * spent, 1)})
    return "members", rows


async def frames():
    """Two links in one process: round trips of batches, by frames per batch."""
    rows = []
    left = links_module.Links("slopes", "left", 1, "127.0.0.1:0")
    right = links_module.Links("slopes", "right", 1, "127.0.0.1:0")
    addresses = {"left": await left.start(), "right": await right.start()}
    left.set_peers(addresses)
    right.set_peers(addresses)
    await until(lambda: left.connected_peers and right.connected_peers)
    arrived = asyncio.Event()
    counts = {"waited": 0, "echoed": 0}

    def echo(_, payload):
        right.send("left", "echo", payload)

    def count(_, payload):
        counts["echoed"] += 1
        if counts["echoed"] == counts["waited"]:
            arrived.set()

    right.on("echo", echo)
    left.on("echo", count)
    payload = b"x" * FRAME_BYTES
    for size in BATCH_FRAMES:
        rounds = 2000 if size < 64 else 500
        before = left.counters().batches_out + right.counters().batches_out
        spent = time.process_time()
        for _ in range(rounds):
            counts.update(waited=size, echoed=0)
            arrived.clear()
            for _ in range(size):
                left.send("right", "echo", payload)
            await arrived.wait()
        spent = time.process_time() - spent
        sent = left.counters().batches_out + right.counters().batches_out - before
        rows.append(
            {
                "frames": size,
                "batches_per_round": round(sent / rounds, 2),
                "us_per_round_per_side": round(1e6 * spent / rounds / 2, 1),
                "us_per_frame_per_side": round(1e6 * spent / rounds / 2 / size, 1),
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
    """Idle links from this process to one other, by their number; both ends are measured."""
    command = (sys.executable, __file__, "serve-links")
    child = await asyncio.create_subprocess_exec(*command, stdout=subprocess.PIPE)
    rows = []
    try:
        address = (await child.stdout.readline()).decode().strip()
        opening = links_module.Links("slopes", "opening", 1, "127.0.0.1:0")
        await opening.start()
        for count in LINK_COUNTS:
            # A peer that is known by address only may be any member, so one process can stand in
            # for many.
            peers = {f"{links_module.ADDRESS_PREFIX}{n}": address for n in range(count)}
            spent, begun = time.process_time(), time.monotonic()
            opening.set_peers(peers)
            await until(lambda opening=opening, count=count: len(opening.connected_peers) == count)
            spent, took = time.process_time() - spent, time.monotonic() - begun
            await asyncio.sleep(3.0)
            for group, pid in (("opening", "self"), ("accepting", child.pid)):
                before = measure_relay.processor_seconds(pid)
                await asyncio.sleep(IDLE_SECONDS)
                used = measure_relay.processor_seconds(pid) - before
                row = {
                    "group": group,
                    "links": count,
                    "core_percent": round(100 * used / IDLE_SECONDS, 2),
                }
                row["resident_mb"] = round(measure_relay.resident_megabytes(pid), 1)
                if group == "opening":
                    row |= {"open_cpu_s": round(spent, 3), "open_s": round(took, 2)}
                rows.append(row)
        await opening.stop(0)
    finally:
        with contextlib.suppress(ProcessLookupError):
            child.kill()
        await child.wait()
    return "links", rows


if __name__ == "__main__":
    asyncio.run(_serve_links())
