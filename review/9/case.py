"""A server leaves while its service isn't in the manifest; its report is acknowledged, but dropped."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
import standins  # noqa: E402

DRAIN_SECONDS = standins.BOUNDS["drain_ms"] / 1000
BEAT_SECONDS = 1.2
# The server goes on serving for this long after drain_ms, then withdraws and exits.
LINGER_SECONDS = 0.8
WORK_SECONDS = 0.15
REQUESTS_PER_SECOND = 40


async def case(record):
    acked_at = None
    late, lost = [], []
    exited = False
    reached = {"i-leaves": 0, "i-stays": 0, "i-other": 0}

    async def answer(server, request, writer):
        identifier = request["headers"]["request-id"]
        reached[server.name] += 1
        if server is leaving and acked_at is not None:
            after = time.monotonic() - acked_at
            if after > DRAIN_SECONDS:
                late.append(identifier)
            record.write(f"{identifier} reaches {server.name} {after:.3f} s after its report was acked")
        await asyncio.sleep(WORK_SECONDS)
        if server is leaving and exited:
            # The server has exited while it worked on this order.
            lost.append(identifier)
            return False
        writer.write(standins.encode_answer(server, request, 200, b"done"))
        return True

    leaving = standins.Server("i-leaves", "fleet-a", answer, record)
    staying = standins.Server("i-stays", "fleet-a", answer, record)
    other = standins.Server("i-other", "fleet-b", answer, record)
    servers = [leaving, staying, other]
    platform = standins.Platform(record)
    both = [standins.service("fleet-a"), standins.service("fleet-b")]
    tenants = [{"name": "t1", "api_keys": ["key-of-t1"]}]

    def manifest(version, target, services):
        route = standins.route("order", "/orders/", "unsafe", target)
        return standins.manifest(version, [route], services, tenants)

    async def send_request(address, headers, body):
        sent = await standins.call(address, "POST", "/orders/new", body, headers)
        if sent.status != 200:
            record.write(f"request {headers[1][1]}: {sent}")

    async def send_requests():
        number = 0
        while True:
            number += 1
            headers = [
                ("Host", "desk.example"),
                ("Request-Id", standins.request_id()),
                ("Deadline-Ms", "2000"),
                ("Authorization", "Bearer key-of-t1"),
            ]
            address = platform.front_address(number % 2)
            asyncio.create_task(send_request(address, headers, b"order %d" % number))
            await asyncio.sleep(1 / REQUESTS_PER_SECOND)

    async def beat_acked(server):
        for control in platform.control_addresses * 3:
            if await server.beat(control):
                return time.monotonic()
        raise standins.CannotRun("no beat of the leaving server is acknowledged")

    async def beat_on(server):
        while True:
            await asyncio.sleep(BEAT_SECONDS)
            await beat_acked(server)

    tasks = []
    try:
        for each in servers:
            await each.start()
        platform.start()
        await platform.put_config(manifest(1, "fleet-a", both))
        for each in (staying, other):
            each.start_beats(platform.control_addresses, BEAT_SECONDS)
        leaving.start_beats(platform.control_addresses, BEAT_SECONDS)
        await platform.wait_ready()
        await asyncio.sleep(5.0)
        tasks.append(asyncio.create_task(send_requests()))
        await asyncio.sleep(2.0)
        if not reached["i-leaves"]:
            raise standins.CannotRun("the server that will leave gets no requests")
        leaving._beating.cancel()
        await beat_acked(leaving)
        if standins.TROUBLE:
            confirmed = await platform.put_config(manifest(2, "fleet-b", both[1:]))
            record.write(f"manifest 2 without fleet-a: status {confirmed.status}")
        await asyncio.sleep(0.5)
        # The server reports that it leaves, and goes on reporting it and serving.
        leaving.state = "draining"
        acked_at = await beat_acked(leaving)
        record.write("the report of i-leaves that it is draining is acknowledged")
        tasks.append(asyncio.create_task(beat_on(leaving)))
        await asyncio.sleep(DRAIN_SECONDS - 0.05)
        if standins.TROUBLE:
            confirmed = await platform.put_config(manifest(3, "fleet-a", both))
            record.write(f"manifest 3 with fleet-a again: status {confirmed.status}")
        await asyncio.sleep(acked_at + DRAIN_SECONDS + LINGER_SECONDS - time.monotonic())
        tasks[-1].cancel()
        for control in platform.control_addresses:
            body = b'{"born": %d}' % leaving.born
            withdrawn = await standins.call(control, "DELETE", "/instances/i-leaves", body)
            if withdrawn.status == 200:
                break
        exited = True
        await leaving.stop()
        record.write("i-leaves has withdrawn and exits")
        await asyncio.sleep(3.0)
        record.write(f"requests per server: {reached}")
        record.write(f"orders that i-leaves had begun when it exited: {len(lost)}")
        record.write(f"requests that reach i-leaves later than drain_ms: {len(late)}")
        return not late
    finally:
        for each in tasks:
            each.cancel()
        platform.stop()
        for each in (staying, other):
            await each.stop()


standins.main(pathlib.Path(__file__).parent, case)
