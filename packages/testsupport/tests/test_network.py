"""Tests of the fault-injecting proxy, the balancer and the weight store."""

import asyncio
import time
import unittest

from coltsfoothead.testsupport import (
    balancer,
    caller,
    engine,
    errors,
    fake,
    proxy,
    service,
    web,
    webclient,
    weights,
)


async def until(condition):
    """Waits up to 10 s for a condition."""
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.005)


class Backend(fake.Fake):
    """Answers with its name, and with `status` to readiness polls."""

    def __init__(self, name):
        super().__init__()
        self.status = 200
        self.router.route("GET", "/name")(self._name(name))
        self.router.route("GET", "/readyz")(self._ready)

    def _name(self, name):
        async def handle(request):
            return web.json_response(name)

        return handle

    async def _ready(self, request):
        return web.json_response({}, self.status)


class ProxyTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):  # noqa: N802
        self.target = service.Service()
        await self.target.start()
        self.addAsyncCleanup(self.target.close)
        self.proxy = proxy.Proxy()
        await self.proxy.start()
        self.addAsyncCleanup(self.proxy.close)

    async def control(self, **verbs):
        reply = await webclient.fetch(self.proxy.address, "POST", "/control", json=verbs)
        self.assertEqual(reply.status, 200, reply.body)
        return reply.json()

    async def get(self, address, timeout_seconds=10.0):
        return await webclient.fetch(address, "GET", "/x", timeout_seconds=timeout_seconds)

    async def test_a_freeze_silences_open_connections_and_spares_new_ones(self):
        """Guards against a freeze that closes, or that also stops new connections."""
        route = {"name": "a", "target": self.target.address}
        address = (await self.control(add_route=route))["add_route"]
        connection = await webclient.Connection.open(address)
        await connection.send("GET", "/one")
        await connection.read()
        self.assertEqual((await self.control(freeze={"routes": "a"}))["freeze"], 1)
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.3):
                await connection.send("GET", "/two")
        self.assertEqual((await self.get(address)).status, 200)
        connection.close()
        await asyncio.sleep(0.1)
        self.assertEqual(len(self.proxy.routes["a"].connections), 1)

    async def test_a_frozen_connection_hides_the_end_of_the_other_side(self):
        """Guards against a freeze that a caller notices because the target ended."""
        address = await self.proxy.add_route("a", self.target.address)
        connection = await webclient.Connection.open(address)
        await connection.send("GET", "/one")
        await connection.read()
        self.proxy.freeze("a")
        await self.target.close()
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.3):
                await connection.send("GET", "/two")
        connection.close()

    async def test_a_cut_holds_bytes_back_until_it_is_healed(self):
        """Guards against a cut that loses bytes, breaks the connection or works both ways."""
        address = await self.proxy.add_route("a", self.target.address)
        connection = await webclient.Connection.open(address)
        await connection.send("GET", "/one")
        await connection.read()
        await self.control(cut={"routes": "*", "direction": "down"})
        waiting = asyncio.ensure_future(connection.send("GET", "/two"))
        await until(lambda: len(self.target.executions) == 2)
        with self.assertRaises(TimeoutError):
            await self.get(address, timeout_seconds=0.2)
        self.assertFalse(waiting.done())
        await self.control(heal={"routes": "*"})
        self.assertEqual((await waiting)[0], 200)
        connection.close()

    async def test_a_reset_breaks_open_connections(self):
        """Guards against a reset that looks like an orderly end."""
        address = await self.proxy.add_route("a", self.target.address)
        connection = await webclient.Connection.open(address)
        await connection.send("GET", "/one")
        await connection.read()
        self.proxy.reset("a")
        with self.assertRaises(errors.BrokenConnectionError):
            await connection.send("GET", "/two")
        self.proxy.refuse("a")
        with self.assertRaises(errors.BrokenConnectionError):
            await self.get(address)

    async def test_routes_share_the_bandwidth_of_a_pipe(self):
        """Guards against a limit per connection instead of one per link and direction."""
        await self.control(add_pipe={"name": "link", "bytes_per_second": 400_000})
        self.target.controls["large_answer_bytes"](100_000)
        addresses = [
            await self.proxy.add_route(name, self.target.address, pipe="link")
            for name in ("a", "b")
        ]
        started = time.monotonic()
        replies = await asyncio.gather(*(self.get(address) for address in addresses))
        elapsed = time.monotonic() - started
        sent = sum(len(reply.body) for reply in replies)
        # The first chunk of each route passes without a wait, and a loaded machine may be slow, so
        # only the lower bound is tight.
        self.assertGreaterEqual(elapsed, 0.9 * sent / 400_000)
        self.assertLess(elapsed, 8.0)
        listed = (await webclient.fetch(self.proxy.address, "GET", "/routes")).json()
        self.assertGreater(listed["a"]["bytes"]["down"], 100_000)
        self.assertLess(listed["a"]["bytes"]["up"], 1000)

    async def test_latency_is_added_per_direction(self):
        """Guards against latency that is lost or that is added per chunk."""
        address = await self.proxy.add_route("a", self.target.address)
        await self.control(set={"routes": "a", "direction": "up", "latency_ms": 150})
        self.target.controls["large_answer_bytes"](500_000)
        started = time.monotonic()
        await self.get(address)
        elapsed = time.monotonic() - started
        self.assertGreaterEqual(elapsed, 0.15)
        self.assertLess(elapsed, 5.0)

    async def test_an_early_disconnect_reaches_the_engine_through_the_proxy(self):
        """Guards against executions that go on because the proxy keeps its side open."""
        async with engine.Engine(engine.Settings(gap_seconds=0.01)) as upstream:
            address = await self.proxy.add_route("e", upstream.address)
            client = caller.Caller([address])
            call = asyncio.ensure_future(client.chat("len=100000"))
            await until(lambda: upstream.batch.running)
            call.cancel()
            await until(lambda: not upstream.batch.running)


class BalancerTest(unittest.IsolatedAsyncioTestCase):
    async def test_connections_go_to_ready_backends_in_turn(self):
        """Guards against traffic to backends that are unready or were taken out."""
        async with Backend("one") as one, Backend("two") as two, balancer.Balancer() as front:
            front.set_backends([one.address, two.address])
            await until(lambda: len(front.ready) == 2)
            self.assertEqual(await self.names(front), {"one", "two"})
            two.status = 503
            await until(lambda: len(front.ready) == 1)
            self.assertEqual(await self.names(front), {"one"})
            two.status = 200
            await until(lambda: len(front.ready) == 2)
            body = {"backends": [two.address]}
            await webclient.fetch(front.address, "POST", "/control", json=body)
            self.assertEqual(await self.names(front), {"two"})

    async def names(self, front):
        replies = [await webclient.fetch(front.traffic_address, "GET", "/name") for _ in range(4)]
        return {reply.json() for reply in replies}


class WeightStoreTest(unittest.IsolatedAsyncioTestCase):
    async def test_downloads_share_the_rate(self):
        """Guards against a limit per download, and against loads that skip the store."""
        async with weights.WeightStore(500_000, 100_000) as store:
            settings = engine.Settings(weights=store.address)
            async with engine.Engine(settings) as first, engine.Engine(settings) as second:
                started = time.monotonic()
                order = {"order": "load", "fence": 1, "model": "large", "version": "3"}
                await asyncio.gather(
                    *(
                        webclient.fetch(upstream.address, "POST", "/orders", json=order)
                        for upstream in (first, second)
                    )
                )
                elapsed = time.monotonic() - started
                self.assertTrue(first.orders.serves("large"))
            self.assertEqual(store.downloads, {"large/3": 2})
        self.assertGreaterEqual(elapsed, 0.4)
        self.assertLess(elapsed, 8.0)
