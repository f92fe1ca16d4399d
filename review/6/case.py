"""The answer of a server that ran an unsafe request is lost; the system runs the request again."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
import standins  # noqa: E402

SERVERS = 5
REQUESTS = 150
# Three of the five servers (share 0.6) lose the answers of three in ten requests that they ran.
LOSING = ("i-0", "i-1", "i-2")
LOST_PART = 0.3


async def case(record):
    ran = {}
    rng = random.Random(7)

    async def answer(server, request, writer):
        identifier = request["headers"]["request-id"]
        ran.setdefault(identifier, []).append(server.name)
        await asyncio.sleep(0.02)
        lost = standins.TROUBLE and server.name in LOSING and rng.random() < LOST_PART
        record.write(f"{server.name} ran request {identifier}" + (", answer lost" * lost))
        if lost:
            # The answer is lost: the channel ends without one.
            return False
        writer.write(standins.encode_answer(server, request, 200, b"done"))
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
                [standins.route("order", "/orders/", "unsafe", "desk-app", resumable=True)],
                [standins.service("desk-app")],
                [{"name": "t1", "api_keys": ["key-of-t1"]}],
            )
        )
        for each in servers:
            each.start_beats(platform.control_addresses, 1.2)
        await platform.wait_ready()
        await asyncio.sleep(2.0)
        for number in range(REQUESTS):
            identifier = standins.request_id()
            headers = [
                ("Host", "desk.example"),
                ("Request-Id", identifier),
                ("Deadline-Ms", "2000"),
                ("Authorization", "Bearer key-of-t1"),
            ]
            sent = await standins.call(
                platform.front_address(number % 2), "POST", "/orders/new", b"order %d" % number, headers
            )
            record.write(f"request {identifier}: {sent}")
        twice = [identifier for identifier, names in ran.items() if len(names) > 1]
        record.write(f"{len(twice)} of {len(ran)} unsafe requests ran more than once: {twice}")
        if not ran:
            raise standins.CannotRun("no request reached a server")
        return not twice
    finally:
        platform.stop()
        for each in servers:
            await each.stop()


standins.main(pathlib.Path(__file__).parent, case)
