"""Demonstration: three daemons and fakes serve requests, one daemon is killed mid-stream."""

import asyncio
import sys
import time

from coltsfoothead.testsupport import answers, balancer, caller, cluster, harness, records

__all__ = ["main"]

PROMPT = "Report on the returned chaise longue, len=120"
KILL_AFTER_TOKENS = 20
RESUME_TIMEOUT_SECONDS = 30.0


def print_line(text: str) -> None:
    """Prints one line and flushes the output."""
    print(text, flush=True)


async def start(children: harness.Harness) -> cluster.Cluster:
    """Starts daemons and fakes and brings an environment document into force."""
    installation = cluster.Cluster(children)
    await installation.start_daemons()
    for number, zone in enumerate(cluster.ZONES, 1):
        await installation.start_engine(f"engine-{number}", zone, "--gap-seconds", "0.02")
    await installation.start_service("parts-1", "home-a")
    path = children.folder / "trial.toml"
    path.write_text(cluster.document(comment="written by the demo"), "utf-8")
    for arguments in (("check", str(path)), ("apply", str(path), "--author", "demo")):
        code, output = await installation.run_cli(*arguments)
        print_line(output.strip())
        if code:
            raise SystemExit(f"'coltsfoothead {arguments[0]}' ended with {code}")
    await installation.wait_ready()
    await installation.wait_upstreams(4)
    return installation


async def serve(client: caller.Caller) -> None:
    """Sends a streamed chat request, one that is not streamed, and a repeated service call."""
    streamed = await client.chat("A tag for the brass lamp, len=8")
    print_line(f"streamed answer ({streamed.status}): {streamed.text()}")
    whole = await client.chat("A tag for the velvet throne, len=8", stream=False)
    print_line(f"whole answer ({whole.status}): {whole.text()}")
    for turn in ("first", "repeated"):
        hold = await client.call("parts", "/holds", body={"item": "throne"}, key="hold-1")
        replay = hold.parts[-1].headers.get("x-idempotent-replay", "false")
        print_line(f"hold, {turn} call: status {hold.status}, replayed {replay}")


async def kill_mid_stream(
    installation: cluster.Cluster, client: caller.Caller
) -> tuple[records.Record, str]:
    """Kills the daemon that serves a stream; the caller reconnects to the others."""
    task = asyncio.create_task(client.chat(PROMPT))
    record = await first_tokens(client)
    owner = await owner_daemon(installation, record.request_id)
    print_line(
        f"request {record.request_id}: {len(record.tokens())} tokens so far, killing {owner}"
    )
    installation.children.processes[owner].kill()
    await task
    print_line(f"the connection broke after {len(record.tokens())} tokens; coming back")
    await client.finish(record, RESUME_TIMEOUT_SECONDS)
    return record, owner


async def first_tokens(client: caller.Caller) -> records.Record:
    """Waits until the newest request has received `KILL_AFTER_TOKENS` tokens."""
    await harness.wait_until(
        lambda: client.records[-1].kind == "chat"
        and len(client.records[-1].tokens()) >= KILL_AFTER_TOKENS,
        RESUME_TIMEOUT_SECONDS,
        "first tokens",
    )
    return client.records[-1]


async def owner_daemon(installation: cluster.Cluster, request_id: str) -> str:
    """Returns the daemon that owns a running request."""
    for name in installation.daemon_specs:
        answer = await installation.request_operators_api(name, "GET", f"/requests?id={request_id}")
        if answer["requests"]:
            return answer["requests"][0]["owner"]
    raise SystemExit(f"no daemon holds request {request_id}")


async def run() -> int:
    """Runs the demonstration and returns the exit code."""
    started = time.monotonic()
    async with harness.Harness() as children:
        print_line("starting three daemons, three engines and a service")
        installation = await start(children)
        entry = balancer.Balancer(installation.caller_addresses)
        async with entry:
            await harness.wait_until(
                lambda: len(entry.ready) == len(installation.daemon_specs),
                RESUME_TIMEOUT_SECONDS,
                "balancer",
            )
            client = caller.Caller([entry.traffic_address], cluster.api_key("kiosk"))
            await serve(client)
            record, killed = await kill_mid_stream(installation, client)
        # The fake engine's answer is a pure function of the prompt, so it can be checked.
        messages = [{"role": "user", "content": PROMPT}]
        whole = record.done and record.text() == "".join(answers.answer(answers.render(messages)))
        print_line(f"answer whole: {whole}, {len(record.tokens())} tokens")
        code, output = await installation.run_cli("status")
        print_line(output)
        codes = await stop(installation, killed)
    print_line(f"exit codes of the daemons that were stopped: {codes}")
    print_line(f"finished in {time.monotonic() - started:.1f} s")
    return 0 if whole and not code and not any(codes.values()) else 1


async def stop(installation: cluster.Cluster, killed: str) -> dict[str, int]:
    """Stops the remaining daemons gracefully and returns their exit codes."""
    names = [name for name in installation.daemon_specs if name != killed]
    for name in names:
        installation.children.processes[name].terminate()
    return {name: await installation.children.processes[name].wait() for name in names}


def main() -> None:
    """Entry point."""
    sys.exit(asyncio.run(run()))


if __name__ == "__main__":
    main()
