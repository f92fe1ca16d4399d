"""Measures real daemons by the size of fleet, directory and document, and by the change rate."""

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
VOTER_COUNT = 3
SETTLE_SECONDS = 4.0
MEASUREMENT_SECONDS = 10.0
MEMBERS_TIMEOUT_SECONDS = 60.0
ANNOUNCER = pathlib.Path(__file__).with_name("announcer.py")


@contextlib.asynccontextmanager
async def running_installation(count=VOTER_COUNT, started_count=None):
    """Yields a cluster with three voters of which the first `started_count` daemons are running."""
    places = [
        cluster.DaemonSpec(
            f"d{number:02}", cluster.ZONES[number % len(cluster.ZONES)], number < VOTER_COUNT
        )
        for number in range(count)
    ]
    async with harness.Harness() as children:
        installation = cluster.Cluster(children, places)
        await installation.start_daemons(list(installation.daemon_specs)[: started_count or count])
        yield installation


async def wait_until_members_alive(installation, names):
    """Waits until every daemon in `names` sees all of them alive."""
    for name in names:

        async def all_alive(name=name):
            answer = await installation.request_operators_api(name, "GET", "/members")
            return sum(each["state"] == "alive" for each in answer["members"]) >= len(names)

        await harness.wait_until(all_alive, MEMBERS_TIMEOUT_SECONDS, f"members at {name}")


async def sample_daemons(installation, names):
    """Returns time, processor seconds, resident MB and link counters by daemon."""
    samples = {}
    for name in names:
        pid = installation.children.processes[name].pid
        answer = await installation.request_operators_api(name, "GET", "/metrics")
        samples[name] = (
            time.monotonic(),
            measure_relay.processor_seconds(pid),
            measure_relay.resident_megabytes(pid),
            {key: value for key, value in answer["counters"].items() if key.startswith("link_")},
        )
    return samples


def daemon_row(before, after):
    """Returns the row of one daemon: its load and message rates between two samples."""
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


def column_means(rows):
    """Returns the mean of each column; a row without the column counts as 0."""
    names = dict.fromkeys(name for row in rows for name in row)
    return {name: round(sum(row.get(name, 0.0) for row in rows) / len(rows), 2) for name in names}


async def measure_window(installation, names, groups, seconds=MEASUREMENT_SECONDS):
    """Measures the daemons for `seconds`; returns a row of means per group of daemons."""
    before = await sample_daemons(installation, names)
    await asyncio.sleep(seconds)
    after = await sample_daemons(installation, names)
    daemon_rows = {name: daemon_row(before[name], after[name]) for name in names}
    return [
        {"group": group} | column_means([daemon_rows[name] for name in chosen])
        for group, chosen in groups.items()
        if chosen
    ]


async def daemons_by_role(installation, names):
    """Returns the daemons by role: leader of the control log, other voters, non-voters."""
    leader = None
    while leader is None:
        leader = (await installation.request_operators_api(names[0], "GET", "/status"))[
            "control_log"
        ]["leader"]
        await asyncio.sleep(0.1)
    voters = [name for name in names if installation.daemon_specs[name].voter]
    return {
        "leader": [leader],
        "voter": [name for name in voters if name != leader],
        "other": [name for name in names if name not in voters],
    }


def count_suspicions(installation, name):
    """Returns how often a daemon suspected another one since its start."""
    return installation.children.processes[name].output().count(" is suspect")


async def daemons():
    """Measures idle daemons with a document in force, by number of daemons."""
    rows = []
    async with running_installation(DAEMON_COUNTS[-1], DAEMON_COUNTS[0]) as installation:
        names = list(installation.daemon_specs)
        running = DAEMON_COUNTS[0]
        await installation.apply(names[0], cluster.document(), "first")
        for count in DAEMON_COUNTS:
            if count > running:
                await installation.start_daemons(names[running:count])
                running = count
            await installation.wait_ready(names[:count])
            await wait_until_members_alive(installation, names[:count])
            await asyncio.sleep(SETTLE_SECONDS)
            groups = await daemons_by_role(installation, names[:count])
            group_rows = await measure_window(installation, names[:count], groups)
            for row in group_rows:
                # No daemon has failed, so every suspicion is a false positive.
                suspicions = sum(
                    count_suspicions(installation, name) for name in groups[row["group"]]
                )
                rows.append({"daemons": count, "suspicions_so_far": suspicions} | row)
    return "daemons", rows


async def upstreams():
    """Measures three daemons by number of upstreams; the first gets all announcements."""
    rows = []
    async with running_installation() as installation:
        names = list(installation.daemon_specs)
        groups = {"receives announcements": names[:1], "receives batches": names[1:]}
        await installation.apply(names[0], cluster.document(), "first")
        await installation.wait_ready()
        for count in UPSTREAM_COUNTS:
            target = installation.addresses[names[0]]["upstreams"]
            command = (str(ANNOUNCER), "--announce", target, "--count", str(count))
            child = await asyncio.create_subprocess_exec(sys.executable, *command)
            try:
                await installation.wait_upstreams(count)
                await asyncio.sleep(SETTLE_SECONDS)
                rows += [
                    {"upstreams": count} | r
                    for r in await measure_window(installation, names, groups)
                ]
            finally:
                with contextlib.suppress(ProcessLookupError):
                    child.kill()
                await child.wait()
    return "upstreams", rows


def organisation_names(count):
    """Returns the names of `count` organisations."""
    return [f"organisation-{number}" for number in range(count)]


async def organisations():
    """Measures the first apply and idle load of three daemons, by number of organisations."""
    rows = []
    for count in ORGANISATION_COUNTS:
        async with running_installation() as installation:
            names = list(installation.daemon_specs)
            text = cluster.document(organisation_names(count))
            groups = await daemons_by_role(installation, names)
            before = await sample_daemons(installation, names)
            started = time.monotonic()
            answer = await installation.apply(names[0], text, "first", wait=False)
            assert answer["outcome"] == "accepted", answer
            await installation.wait_ready()
            ready = time.monotonic() - started
            await asyncio.sleep(1.0)
            after = await sample_daemons(installation, names)
            idle = await measure_window(installation, names, groups, MEASUREMENT_SECONDS / 2)
            for row in idle:
                chosen = groups[row["group"]]
                spent = sum(after[name][1] - before[name][1] for name in chosen) / len(chosen)
                extra = {"document_bytes": len(text), "first_apply_cpu_s": round(spent, 3)}
                rows.append({"organisations": count} | row | extra | {"ready_s": round(ready, 2)})
    return "organisations", rows


async def changes():
    """Measures four daemons with 100 organisations, by configuration changes per minute."""
    rows = []
    async with running_installation(VOTER_COUNT + 1) as installation:
        names = list(installation.daemon_specs)
        base = cluster.document(organisation_names(100))
        # Each change expects the version in the answer to the previous change, because a read may
        # return an older one.
        last_answer = await installation.apply(names[0], base, "first")
        await installation.wait_ready()
        groups = await daemons_by_role(installation, names)
        for rate in CHANGES_PER_MINUTE:
            latencies = []

            async def change(rate=rate, latencies=latencies):
                nonlocal last_answer
                while rate:
                    started = time.monotonic()
                    name = f"change-{last_answer['version']}"
                    body = installation.change(
                        last_answer, base.replace("# ", f"# {name}", 1), name, False
                    )
                    last_answer = await installation.request_operators_api(
                        names[0], "POST", "/config/apply", body
                    )
                    assert last_answer["outcome"] == "accepted", last_answer
                    latencies.append(time.monotonic() - started)
                    await asyncio.sleep(max(0.0, started + 60 / rate - time.monotonic()))

            task = asyncio.create_task(change())
            group_rows = await measure_window(installation, names, groups)
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
            folder = installation.data_folder(names[0])
            stored = sum(path.stat().st_size for path in folder.rglob("*") if path.is_file())
            for row in group_rows:
                row |= {"changes": len(latencies), "data_folder_bytes": stored}
                if latencies:
                    row["apply_ms"] = round(1000 * sum(latencies) / len(latencies), 1)
                rows.append({"changes_per_minute": rate} | row)
    return "changes_per_minute", rows
