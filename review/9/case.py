"""A server spoils the head of some answers; clients get a success without the server's proof."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
import standins  # noqa: E402

SERVERS = 3
REQUESTS = 600
# One of the three servers spoils this part of its answers.
SPOILED_PART = 0.05


async def case(record):
    rng = random.Random(9)

    async def answer(server, request, writer):
        spoiled = standins.TROUBLE and server.name == "i-1" and rng.random() < SPOILED_PART
        identifier = request["headers"]["request-id"]
        record.write(f"{server.name} ran request {identifier}" + (", spoils its answer" * spoiled))
        data = standins.encode_answer(server, request, 200, b"done")
        if spoiled:
            data = data.replace(b"Response-Stamp", b"Respon5e-Stamp")
        writer.write(data)
        return True

    servers = [
        standins.Server(f"i-{number}", "desk-app", answer, record) for number in range(SERVERS)
    ]
    platform = standins.Platform(record)
    try:
        for each in servers:
            await each.start()
        platform.start()
        await platform.put_config(
            standins.manifest(
                1,
                [standins.route("read", "/read/", "safe", "desk-app")],
                [standins.service("desk-app")],
                [{"name": "t1", "api_keys": ["key-of-t1"]}],
            )
        )
        for each in servers:
            each.start_beats(platform.control_addresses, 1.2)
        await platform.wait_ready()
        await asyncio.sleep(2.0)
        unproven = []
        for number in range(REQUESTS):
            identifier = standins.request_id()
            headers = [
                ("Host", "desk.example"),
                ("Request-Id", identifier),
                ("Deadline-Ms", "2000"),
                ("Authorization", "Bearer key-of-t1"),
            ]
            sent = await standins.call(
                platform.front_address(number % 2), "GET", f"/read/{number}", b"", headers
            )
            record.write(f"request {identifier}: {sent}")
            if sent.status == 200 and "response-stamp" not in sent.headers:
                unproven.append(identifier)
        record.write(f"success without proof: {len(unproven)} of {REQUESTS}")
        return not unproven
    finally:
        platform.stop()
        for each in servers:
            await each.stop()


standins.main(pathlib.Path(__file__).parent, case)
