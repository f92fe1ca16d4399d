"""A server fails a request that it has run with 503 or 429; the client is told that it did not run."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
import standins  # noqa: E402

SERVERS = 3
REQUESTS = 100
# One of the three servers fails this part of its requests.
FAILING_PART = 0.4
STATUSES = (503, 429)


async def case(record):
    ran = {}
    rng = random.Random(6)

    async def answer(server, request, writer):
        number = request["headers"]["request-id"]
        order = request["body"].decode()
        ran.setdefault(order, []).append((number, server.name))
        await asyncio.sleep(0.02)
        fails = standins.TROUBLE and server.name == "i-1" and rng.random() < FAILING_PART
        status = rng.choice(STATUSES) if fails else 200
        record.write(f"{server.name} ran order {order} of request {number}, answers {status}")
        body = b"done" if status == 200 else b"failed after the order was placed"
        writer.write(standins.encode_answer(server, request, status, body))
        return True

    servers = [
        standins.Server(f"i-{number}", "desk-app", answer, record) for number in range(SERVERS)
    ]
    platform = standins.Platform(record)
    try:
        for each in servers:
            await each.start()
        platform.start()
        tenants = [{"name": "t1", "api_keys": ["key-of-t1"]}]
        await platform.put_config(
            standins.manifest(
                1,
                [standins.route("order", "/orders/", "unsafe", "desk-app")],
                [standins.service("desk-app")],
                tenants,
            )
        )
        for each in servers:
            each.start_beats(platform.control_addresses, 1.2)
        await platform.wait_ready()
        await asyncio.sleep(2.0)
        promises_broken, twice = [], []
        for number in range(REQUESTS):
            order, entry = f"o{number}", number % 2
            for attempt in range(2):
                identifier = standins.request_id()
                sent = await standins.call(
                    platform.front_address(entry),
                    "POST",
                    "/orders/new",
                    order.encode(),
                    [
                        ("Host", "desk.example"),
                        ("Request-Id", identifier),
                        ("Deadline-Ms", "2000"),
                        ("Authorization", "Bearer key-of-t1"),
                    ],
                )
                record.write(f"request {identifier} for order {order}: {sent}")
                has_run = any(identifier == each for each, _ in ran.get(order, []))
                if sent.status in (408, 421, 429, 503) and has_run:
                    promises_broken.append(identifier)
                # A client sends an unsafe request again after such a status only.
                if sent.status not in (408, 421, 429, 503):
                    break
                entry = 1 - entry
            if len(ran.get(order, [])) > 1:
                twice.append(order)
        record.write(f"answered as not run, though it had run: {len(promises_broken)} requests")
        record.write(f"orders placed twice in consequence: {len(twice)} of {REQUESTS}")
        if not ran:
            raise standins.CannotRun("no request reached a server")
        return not promises_broken
    finally:
        platform.stop()
        for each in servers:
            await each.stop()


standins.main(pathlib.Path(__file__).parent, case)
