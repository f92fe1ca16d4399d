"""Slopes measured on real daemons: sizes of the fleet, directory, document and change rate."""

import asyncio
import contextlib
import pathlib
import sys
import time

import measure_relay

from coltsfoothead.testsupport import cluster, harness

DAEMON_COUNTS = (3, 6, 12, 24, 48)
# One announcing process reaches about 1,200 announcements a second.
UPSTREAM_COUNTS = (0, 100, 200, 400, 600)
ORGANISATION_COUNTS = (5, 100, 1000)
CHANGES_PER_MINUTE = (0, 30, 120, 300)
VOTERS = 3
SETTLE_SECONDS = 4.0
WINDOW_SECONDS = 10.0
MEMBERS_TIMEOUT_SECONDS = 60.0
ANNOUNCER = pathlib.Path(__file__).with_name("announcer.py")


@contextlib.asynccontextmanager
async def installation(count=VOTERS, started=None):
    """Gives a cluster with three voters; the first `started` daemons run."""
    places = [
        cluster.DaemonSpec(
            f"d{number:02}", cluster.ZONES[number % len(cluster.ZONES)], number < VOTERS
        )
        for number in range(count)
    ]
    async with harness.Harness() as children:
        made = cluster.Cluster(children, places)
        await made.start_daemons(list(made.daemon_specs)[: started or count])
        yield made


async def wait_members(made, names):
    """Waits until every daemon sees all of `names` alive."""
    for name in names:

        async def complete(name=name):
            answer = await made.request_operators_api(name, "GET", "/members")
            return sum(each["state"] == "alive" for each in answer["members"]) >= len(names)

        await harness.wait_until(complete, MEMBERS_TIMEOUT_SECONDS, f"members at {name}")


async def sample(made, names):
    """Returns processor seconds, resident memory and link counters by daemon."""
    found = {}
    for name in names:
        pid = made.children.processes[name].pid
        answer = await made.request_operators_api(name, "GET", "/metrics")
        found[name] = (
            time.monotonic(),
            measure_relay.processor_seconds(pid),
            measure_relay.resident_megabytes(pid),
            {key: value for key, value in answer["counters"].items() if key.startswith("link_")},
        )
    return found


def rates(before, after):
    """Returns the figures of one daemon per second between two samples."""
    seconds = after[0] - before[0]
    rates = {
        key.removeprefix("link_"): (value - before[3].get(key, 0)) / seconds
        for key, value in after[3].items()
    }
    row = {"core_percent": 100 * (after[1] - before[1]) / seconds, "resident_mb": after[2]}
    row["messages_s"] = sum(rates[key] for key in ("batches_in", "batches_out"))
    row["bytes_s"] = sum(value for key, value in rates.items() if key.startswith("bytes_"))
    for channel in sorted({key.partition("_")[2].partition("_")[2] for key in rates}):
        if f"bytes_out_{channel}" in rates:
            row[f"{channel}_messages_s"] = rates[f"messages_in_{channel}"]
            row[f"{channel}_messages_s"] += rates[f"messages_out_{channel}"]
            row[f"{channel}_bytes_s"] = rates[f"bytes_in_{channel}"]
            row[f"{channel}_bytes_s"] += rates[f"bytes_out_{channel}"]
    return row


def mean(rows):
    """Returns the mean of each column."""
    names = dict.fromkeys(name for row in rows for name in row)
    return {name: round(sum(row.get(name, 0.0) for row in rows) / len(rows), 2) for name in names}


async def window(made, names, groups, seconds=WINDOW_SECONDS):
    """Measures a quiet window; returns a row per group of daemons."""
    before = await sample(made, names)
    await asyncio.sleep(seconds)
    after = await sample(made, names)
    found = {name: rates(before[name], after[name]) for name in names}
    return [
        {"group": group} | mean([found[name] for name in chosen])
        for group, chosen in groups.items()
        if chosen
    ]


async def roles(made, names):
    """Returns the daemons by role: leader of the control log, other voters, the rest."""
    leader = None
    while leader is None:
        leader = (await made.request_operators_api(names[0], "GET", "/status"))["control_log"][
            "leader"
        ]
        await asyncio.sleep(0.1)
    voters = [name for name in names if made.daemon_specs[name].voter]
    return {
        "leader": [leader],
        "voter": [name for name in voters if name != leader],
        "other": [name for name in names if name not in voters],
    }


def suspected(made, name):
    """Returns how often a daemon suspected another one since its start."""
    return made.children.processes[name].output().count(" is suspect")


async def daemons():
    """Idle daemons with a document in force, by number of daemons."""
    rows = []
    async with installation(DAEMON_COUNTS[-1], DAEMON_COUNTS[0]) as made:
        names = list(made.daemon_specs)
        running = DAEMON_COUNTS[0]
        await made.apply(names[0], cluster.document(), "first")
        for count in DAEMON_COUNTS:
            if count > running:
                await made.start_daemons(names[running:count])
                running = count
            await made.wait_ready(names[:count])
            await wait_members(made, names[:count])
            await asyncio.sleep(SETTLE_SECONDS)
            groups = await roles(made, names[:count])
            found = await window(made, names[:count], groups)
            for row in found:
                # All daemons live, so each suspicion is a false one.
                suspicions = sum(suspected(made, name) for name in groups[row["group"]])
                rows.append({"daemons": count, "suspicions_so_far": suspicions} | row)
    return "daemons", rows


async def upstreams():
    """Three daemons; all announcements go to the first, by number of upstreams."""
    rows = []
    async with installation() as made:
        names = list(made.daemon_specs)
        groups = {"receives announcements": names[:1], "receives batches": names[1:]}
        await made.apply(names[0], cluster.document(), "first")
        await made.wait_ready()
        for count in UPSTREAM_COUNTS:
            target = made.addresses[names[0]]["upstreams"]
            command = (str(ANNOUNCER), "--announce", target, "--count", str(count))
            child = await asyncio.create_subprocess_exec(sys.executable, *command)
            try:
                await made.wait_upstreams(count)
                await asyncio.sleep(SETTLE_SECONDS)
                rows += [{"upstreams": count} | r for r in await window(made, names, groups)]
            finally:
                with contextlib.suppress(ProcessLookupError):
                    child.kill()
                await child.wait()
    return "upstreams", rows


def many(count):
    """Returns names of organisations."""
    return [f"organisation-{number}" for number in range(count)]


async def organisations():
    """Three daemons; one document, by number of organisations."""
    rows = []
    for count in ORGANISATION_COUNTS:
        async with installation() as made:
            names = list(made.daemon_specs)
            text = cluster.document(many(count))
            groups = await roles(made, names)
            before = await sample(made, names)
            started = time.monotonic()
            answer = await made.apply(names[0], text, "first", wait=False)
            assert answer["outcome"] == "accepted", answer
            await made.wait_ready()
            ready = time.monotonic() - started
            await asyncio.sleep(1.0)
            after = await sample(made, names)
            idle = await window(made, names, groups, WINDOW_SECONDS / 2)
            for row in idle:
                chosen = groups[row["group"]]
                spent = sum(after[name][1] - before[name][1] for name in chosen) / len(chosen)
                extra = {"document_bytes": len(text), "first_apply_cpu_s": round(spent, 3)}
                rows.append({"organisations": count} | row | extra | {"ready_s": round(ready, 2)})
    return "organisations", rows


async def changes():
    """Four daemons and 100 organisations, by configuration changes per minute."""
    rows = []
    async with installation(VOTERS + 1) as made:
        names = list(made.daemon_specs)
        base = cluster.document(many(100))
        # Each change builds on the answer to the one before; what a daemon reads back may be older.
        newest = await made.apply(names[0], base, "first")
        await made.wait_ready()
        groups = await roles(made, names)
        for rate in CHANGES_PER_MINUTE:
            latencies = []

            async def change(rate=rate, latencies=latencies):
                nonlocal newest
                while rate:
                    started = time.monotonic()
                    name = f"change-{newest['version']}"
                    body = made.change_body(newest, base.replace("# ", f"# {name}", 1), name, False)
                    newest = await made.request_operators_api(
                        names[0], "POST", "/config/apply", body
                    )
                    assert newest["outcome"] == "accepted", newest
                    latencies.append(time.monotonic() - started)
                    await asyncio.sleep(max(0.0, started + 60 / rate - time.monotonic()))

            task = asyncio.create_task(change())
            found = await window(made, names, groups)
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
            folder = made.data_folder(names[0])
            stored = sum(path.stat().st_size for path in folder.rglob("*") if path.is_file())
            for row in found:
                row |= {"changes": len(latencies), "data_folder_bytes": stored}
                if latencies:
                    row["apply_ms"] = round(1000 * sum(latencies) / len(latencies), 1)
                rows.append({"changes_per_minute": rate} | row)
    return "changes_per_minute", rows
