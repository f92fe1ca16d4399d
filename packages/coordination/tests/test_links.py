"""Tests of the links over real loopback sockets."""

import asyncio
import contextlib
import unittest

import relay

from coltsfoothead.coordination.transport import errors, links

FAST_SETTINGS = links.Settings(
    heartbeat_seconds=0.1, silence_timeout_seconds=0.6, backoff_max_seconds=0.2
)
ON_DEMAND_SETTINGS = links.Settings(
    heartbeat_seconds=0.1, silence_timeout_seconds=0.6, idle_timeout_seconds=0.3
)
TEST_TIMEOUT_SECONDS = 60


class LinksTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)

    async def endpoint(self, name, cluster="c", incarnation=1, settings=FAST_SETTINGS, port=0):
        endpoint_links = links.Links(cluster, name, incarnation, f"127.0.0.1:{port}", settings)
        address = await endpoint_links.start()
        self.stack.push_async_callback(endpoint_links.stop, 0)
        return endpoint_links, address

    async def pair(self, **options):
        (a, _), (b, address) = await self.endpoint("a"), await self.endpoint("b", **options)
        a.set_peers({"b": address})
        return a, b, address

    async def relayed(self):
        a, b, address = await self.pair()
        tcp_relay = relay.Relay(int(address.rpartition(":")[2]))
        a.set_peers({"b": await tcp_relay.start()})
        self.stack.push_async_callback(tcp_relay.stop)
        return a, b, tcp_relay

    async def wait_until(self, condition):
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while not condition():
                await asyncio.sleep(0.01)

    async def test_messages_and_replies(self):
        """Guards against reordered messages, wrong counters, and replies that need an address."""
        a, b, _ = await self.pair()
        received, replies = [], []
        b.on(
            "swim",
            lambda sender, payload: (received.append(payload), b.send(sender, "swim", payload)),
        )
        a.on("swim", lambda sender, payload: replies.append((sender, payload)))
        sent = [b"%d" % number for number in range(500)]
        for payload in sent:
            a.send("b", "swim", payload)
        await self.wait_until(lambda: len(replies) == len(sent))
        self.assertEqual((received, replies), (sent, [("b", payload) for payload in sent]))
        counts = a.counters()
        self.assertEqual(counts.channels["swim"].messages_out, 500)
        self.assertEqual(counts.channels["swim"].bytes_in, sum(map(len, sent)))
        self.assertLess(counts.batches_out, 500)
        with self.assertRaises(errors.PeerUnknownError):
            a.send("x", "swim", b"")

    async def test_calls(self):
        """Guards against calls whose failure lacks its type."""
        a, b, address = await self.pair()

        async def echo(sender, payload):
            if payload == b"bad":
                raise ValueError("refused value")
            if payload == b"slow":
                await asyncio.sleep(TEST_TIMEOUT_SECONDS)
            return sender.encode() + payload

        b.serve("echo", echo)
        self.assertEqual(await a.call("b", "echo", b"1", TEST_TIMEOUT_SECONDS), b"a1")
        a.set_peers({"@" + address: address})
        self.assertEqual(await a.call("@" + address, "echo", b"2", TEST_TIMEOUT_SECONDS), b"a2")
        for payload, method, name in ((b"bad", "echo", "ValueError"), (b"", "no", "MethodUnk")):
            with self.assertRaises(errors.RemoteError) as caught:
                await a.call("@" + address, method, payload, TEST_TIMEOUT_SECONDS)
            self.assertTrue(caught.exception.type_name.startswith(name))
        with self.assertRaises(errors.LinkTimeoutError):
            await a.call("@" + address, "echo", b"slow", 0.05)

    async def test_streams(self):
        """Guards against lost items, an overrun window, and handlers that outlive a cancel."""
        a, b, _ = await self.pair()
        produced, ended = [], asyncio.Event()

        async def count(_, payload):
            try:
                for number in range(int(payload)):
                    produced.append(number)
                    yield b"%d" % number
                if payload == b"3":
                    await asyncio.sleep(TEST_TIMEOUT_SECONDS)
            finally:
                ended.set()

        b.serve_stream("count", count)
        items = [item async for item in a.stream("b", "count", b"1000", TEST_TIMEOUT_SECONDS)]
        self.assertEqual(items, [b"%d" % number for number in range(1000)])
        ended.clear()
        produced.clear()
        stream = a.stream("b", "count", b"100000", TEST_TIMEOUT_SECONDS)
        await anext(stream)
        self.assertLessEqual(len(produced), FAST_SETTINGS.stream_window_items + 1)
        await stream.aclose()
        await asyncio.wait_for(ended.wait(), TEST_TIMEOUT_SECONDS)
        ended.clear()
        with self.assertRaises(errors.LinkTimeoutError):
            async for _ in a.stream("b", "count", b"3", 0.2):
                pass
        await asyncio.wait_for(ended.wait(), TEST_TIMEOUT_SECONDS)

    async def test_frozen_connection_is_replaced(self):
        """Guards against a link that keeps using a connection that went silent."""
        a, b, tcp_relay = await self.relayed()
        received, ended = [], asyncio.Event()
        b.on("swim", lambda sender, payload: received.append(payload))

        async def forever(_, payload):
            try:
                yield payload
                await asyncio.sleep(TEST_TIMEOUT_SECONDS)
            finally:
                ended.set()

        b.serve_stream("forever", forever)
        stream = a.stream("b", "forever", b"x", TEST_TIMEOUT_SECONDS)
        await anext(stream)
        before = a.counters().reconnects
        opened = tcp_relay.accepted_connections
        tcp_relay.freeze()
        with self.assertRaises(errors.LinkLostError):
            await anext(stream)
        await asyncio.wait_for(ended.wait(), TEST_TIMEOUT_SECONDS)
        a.send("b", "swim", b"after")
        await self.wait_until(lambda: received)
        self.assertGreater(tcp_relay.accepted_connections, opened)
        self.assertGreater(a.counters().reconnects, before)

    async def test_links_on_demand(self):
        """Guards against idle links that stay open, and a link closed during a running call."""
        a, a_address = await self.endpoint("a", settings=ON_DEMAND_SETTINGS)
        b, b_address = await self.endpoint("b", settings=ON_DEMAND_SETTINGS)
        tcp_relay = relay.Relay(int(b_address.rpartition(":")[2]))
        self.stack.push_async_callback(tcp_relay.stop)
        a.set_peers({"b": await tcp_relay.start()})
        b.set_peers({"a": a_address})
        replies = []
        b.on("swim", lambda sender, payload: b.send(sender, "swim", payload))
        a.on("swim", lambda _, payload: replies.append(payload))

        async def slow(_, payload):
            await asyncio.sleep(3 * ON_DEMAND_SETTINGS.idle_timeout_seconds)
            return payload

        b.serve("slow", slow)
        await asyncio.sleep(2 * ON_DEMAND_SETTINGS.heartbeat_seconds)
        self.assertEqual(tcp_relay.accepted_connections, 0)
        self.assertEqual(await a.call("b", "slow", b"1", TEST_TIMEOUT_SECONDS), b"1")
        self.assertEqual(tcp_relay.accepted_connections, 1)
        for payload in (b"2", b"3"):
            a.send("b", "swim", payload)
            await self.wait_until(lambda payload=payload: payload in replies)
            await self.wait_until(lambda: not a.connected_peers)
        self.assertFalse(b.connected_peers, "the reply opened a second link")
        self.assertGreater(tcp_relay.accepted_connections, 1)
        self.assertEqual(a.counters().reconnects, 0)

    async def test_stop_flushes_to_a_closed_link(self):
        """Guards against a leave message that is lost since no link was open when it was queued."""
        a, _ = await self.endpoint("a", settings=ON_DEMAND_SETTINGS)
        b, address = await self.endpoint("b", settings=ON_DEMAND_SETTINGS)
        a.set_peers({"b": address, "dead": "127.0.0.1:1"})
        received = []
        b.on("swim", lambda _, payload: received.append(payload))
        a.send("b", "swim", b"leave")
        a.send("dead", "swim", b"leave")
        await a.stop(TEST_TIMEOUT_SECONDS)
        await self.wait_until(lambda: received)

    async def test_restart_and_incarnations(self):
        """Guards against a link that is not restored, and accepting an older incarnation."""
        a, b, address = await self.pair(incarnation=2)
        await self.wait_until(lambda: "b" in a.connected_peers)
        await b.stop(0)
        port = int(address.rpartition(":")[2])
        stale, _ = await self.endpoint("b", incarnation=1, port=port)
        await self.wait_until(lambda: a.counters().stale_incarnations_refused)
        with self.assertRaises(errors.StaleIncarnationError):
            await a.call("b", "x", b"", TEST_TIMEOUT_SECONDS)
        await stale.stop(0)
        new, _ = await self.endpoint("b", incarnation=3, port=port)
        received = []
        new.on("swim", lambda sender, payload: received.append(sender))
        a.send("b", "swim", b"")
        await self.wait_until(lambda: received)

    async def test_strangers(self):
        """Guards against traffic with another cluster or with the wrong member at an address."""
        a, b, address = await self.pair(cluster="other")
        with self.assertRaises(errors.StrangerError):
            await a.call("b", "x", b"", TEST_TIMEOUT_SECONDS)
        self.assertGreater(b.counters().strangers_refused, 0)
        _, other = await self.endpoint("c")
        a.set_peers({"d": other})
        with self.assertRaises(errors.StrangerError):
            await a.call("d", "x", b"", TEST_TIMEOUT_SECONDS)

    async def test_unreachable_peer_does_not_block_others(self):
        """Guards against a dead or silent peer that delays others, and an unbounded queue."""
        settings = links.Settings(max_queued_frames=10)
        a, _ = await self.endpoint("a", settings=settings)
        b, address = await self.endpoint("b")
        received = []
        b.on("swim", lambda sender, payload: received.append(payload))
        silent_server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        self.stack.callback(silent_server.close)
        silent = f"127.0.0.1:{silent_server.sockets[0].getsockname()[1]}"
        a.set_peers({"dead": "127.0.0.1:1", "silent": silent, "b": address})
        for _ in range(25):
            a.send("dead", "swim", b"")
            a.send("silent", "swim", b"")
        a.send("b", "swim", b"x")
        await self.wait_until(lambda: received)
        self.assertEqual(a.counters().dropped, 30)
        with self.assertRaises(errors.FrameTooLargeError):
            a.send("b", "swim", bytes(settings.max_payload_bytes + 1))


if __name__ == "__main__":
    unittest.main()
