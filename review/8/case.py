"""The last tenant is removed; requests run without a key, with its key, and with keys of nobody."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
import standins  # noqa: E402

REVOKE_SECONDS = standins.BOUNDS["revoke_ms"] / 1000
REQUESTS = 20


async def case(record):
    ran = []

    async def answer(server, request, writer):
        ran.append(request["headers"]["request-id"])
        record.write(f"{server.name} ran request {ran[-1]}")
        writer.write(standins.encode_answer(server, request, 200, b"done"))
        return True

    server = standins.Server("i-0", "desk-app", answer, record)
    platform = standins.Platform(record)

    def manifest(version, tenants):
        route = standins.route("read", "/read/", "safe", "desk-app")
        return standins.manifest(version, [route], [standins.service("desk-app")], tenants)

    async def send(key, entry):
        identifier = standins.request_id()
        headers = [("Host", "desk.example"), ("Request-Id", identifier), ("Deadline-Ms", "2000")]
        headers.append(("Authorization", f"Bearer {key}"))
        sent = await standins.call(
            platform.front_address(entry), "GET", "/read/1", b"", headers
        )
        record.write(f"request {identifier} with key {key!r}: {sent}")
        return identifier in ran, sent

    try:
        await server.start()
        platform.start()
        await platform.put_config(manifest(1, [{"name": "t1", "api_keys": ["key-of-t1"]}]))
        server.start_beats(platform.control_addresses, 1.2)
        await platform.wait_ready()
        await asyncio.sleep(2.0)
        has_run, sent = await send("key-of-t1", 0)
        if not has_run:
            raise standins.CannotRun(f"the key in force doesn't work: {sent}")
        for entry in range(2):
            has_run, sent = await send("key-of-nobody", entry)
            if has_run or sent.status != 401:
                raise standins.CannotRun(f"a key of nobody isn't refused at first: {sent}")
        # The plain way to take the key away keeps the tenant, without keys.
        tenants = [] if standins.TROUBLE else [{"name": "t1", "api_keys": []}]
        confirmed = await platform.put_config(manifest(2, tenants))
        record.write(f"manifest 2 with tenants {tenants}: status {confirmed.status}")
        await asyncio.sleep(REVOKE_SECONDS + 0.5)
        revoked = [(await send("key-of-t1", number % 2))[0] for number in range(REQUESTS)]
        never_held = [(await send("key-of-nobody", number % 2))[0] for number in range(REQUESTS)]
        record.write(f"ran with the key that was taken away: {sum(revoked)} of {REQUESTS}")
        record.write(f"ran with a key that no manifest ever held: {sum(never_held)} of {REQUESTS}")
        return not any(revoked) and not any(never_held)
    finally:
        platform.stop()
        await server.stop()


standins.main(pathlib.Path(__file__).parent, case)
