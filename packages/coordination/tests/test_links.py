"""Links over real loopback sockets."""

import asyncio
import contextlib
import unittest

import relay

from coltsfoothead.coordination.transport import errors, links

FAST = links.Settings(heartbeat_seconds=0.1, silence_seconds=0.6, backoff_most_seconds=0.2)
ON_DEMAND = links.Settings(heartbeat_seconds=0.1, silence_seconds=0.6, idle_seconds=0.3)
PATIENCE_SECONDS = 60


class LinksTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)

    async def endpoint(self, name, cluster="c", incarnation=1, settings=FAST, port=0):
        end = links.Links(cluster, name, incarnation, f"127.0.0.1:{port}", settings)
        address = await end.start()
        self.stack.push_async_callback(end.stop, 0)
        return end, address

    async def pair(self, **options):
        (a, _), (b, address) = await self.endpoint("a"), await self.endpoint("b", **options)
        a.set_peers({"b": address})
        return a, b, address

    async def relayed(self):
        a, b, address = await self.pair()
        hop = relay.Relay(int(address.rpartition(":")[2]))
        a.set_peers({"b": await hop.start()})
        self.stack.push_async_callback(hop.stop)
        return a, b, hop

    async def until(self, condition):
        async with asyncio.timeout(PATIENCE_SECONDS):
            while not condition():
                await asyncio.sleep(0.01)

    async def test_messages_and_replies(self):
        """Guards against lost order, wrong counts, and a reply that needs the sender's address."""
        a, b, _ = await self.pair()
        got, back = [], []
        b.on("swim", lambda sender, payload: (got.append(payload), b.send(sender, "swim", payload)))
        a.on("swim", lambda sender, payload: back.append((sender, payload)))
        sent = [b"%d" % number for number in range(500)]
        for payload in sent:
            a.send("b", "swim", payload)
        await self.until(lambda: len(back) == len(sent))
        self.assertEqual((got, back), (sent, [("b", payload) for payload in sent]))
        counts = a.counters()
        self.assertEqual(counts.channels["swim"].messages_out, 500)
        self.assertEqual(counts.channels["swim"].bytes_in, sum(map(len, sent)))
        self.assertLess(counts.batches_out, 500)
        with self.assertRaises(errors.PeerUnknownError):
            a.send("x", "swim", b"")

    async def test_calls(self):
        """Guards against untyped failures of calls."""
        a, b, address = await self.pair()

        async def echo(sender, payload):
            if payload == b"bad":
                raise ValueError("refused value")
            if payload == b"slow":
                await asyncio.sleep(PATIENCE_SECONDS)
            return sender.encode() + payload

        b.serve("echo", echo)
        self.assertEqual(await a.call("b", "echo", b"1", PATIENCE_SECONDS), b"a1")
        a.set_peers({"@" + address: address})
        self.assertEqual(await a.call("@" + address, "echo", b"2", PATIENCE_SECONDS), b"a2")
        for payload, method, name in ((b"bad", "echo", "ValueError"), (b"", "no", "MethodUnk")):
            with self.assertRaises(errors.RemoteError) as caught:
                await a.call("@" + address, method, payload, PATIENCE_SECONDS)
            self.assertTrue(caught.exception.type_name.startswith(name))
        with self.assertRaises(errors.LinkTimeoutError):
            await a.call("@" + address, "echo", b"slow", 0.05)

    async def test_streams(self):
        """Guards against lost items, a runaway producer and a handler left after a cancel."""
        a, b, _ = await self.pair()
        produced, ended = [], asyncio.Event()

        async def count(_, payload):
            try:
                for number in range(int(payload)):
                    produced.append(number)
                    yield b"%d" % number
                if payload == b"3":
                    await asyncio.sleep(PATIENCE_SECONDS)
            finally:
                ended.set()

        b.serve_stream("count", count)
        items = [item async for item in a.stream("b", "count", b"1000", PATIENCE_SECONDS)]
        self.assertEqual(items, [b"%d" % number for number in range(1000)])
        ended.clear()
        produced.clear()
        stream = a.stream("b", "count", b"100000", PATIENCE_SECONDS)
        await anext(stream)
        self.assertLessEqual(len(produced), FAST.stream_window + 1)
        await stream.aclose()
        await asyncio.wait_for(ended.wait(), PATIENCE_SECONDS)
        ended.clear()
        with self.assertRaises(errors.LinkTimeoutError):
            async for _ in a.stream("b", "count", b"3", 0.2):
                pass
        await asyncio.wait_for(ended.wait(), PATIENCE_SECONDS)

    async def test_frozen_connection_is_replaced(self):
        """Guards against a link that stays on a connection which went silent."""
        a, b, hop = await self.relayed()
        got, ended = [], asyncio.Event()
        b.on("swim", lambda sender, payload: got.append(payload))

        async def forever(_, payload):
            try:
                yield payload
                await asyncio.sleep(PATIENCE_SECONDS)
            finally:
                ended.set()

        b.serve_stream("forever", forever)
        stream = a.stream("b", "forever", b"x", PATIENCE_SECONDS)
        await anext(stream)
        before = a.counters().reconnects
        opened = hop.accepted_connections
        hop.freeze()
        with self.assertRaises(errors.LinkLostError):
            await anext(stream)
        await asyncio.wait_for(ended.wait(), PATIENCE_SECONDS)
        a.send("b", "swim", b"after")
        await self.until(lambda: got)
        self.assertGreater(hop.accepted_connections, opened)
        self.assertGreater(a.counters().reconnects, before)

    async def test_links_on_demand(self):
        """Guards against links that nobody uses, and against one closed under a running call."""
        a, a_address = await self.endpoint("a", settings=ON_DEMAND)
        b, b_address = await self.endpoint("b", settings=ON_DEMAND)
        hop = relay.Relay(int(b_address.rpartition(":")[2]))
        self.stack.push_async_callback(hop.stop)
        a.set_peers({"b": await hop.start()})
        b.set_peers({"a": a_address})
        back = []
        b.on("swim", lambda sender, payload: b.send(sender, "swim", payload))
        a.on("swim", lambda _, payload: back.append(payload))

        async def slow(_, payload):
            await asyncio.sleep(3 * ON_DEMAND.idle_seconds)
            return payload

        b.serve("slow", slow)
        await asyncio.sleep(2 * ON_DEMAND.heartbeat_seconds)
        self.assertEqual(hop.accepted_connections, 0)
        self.assertEqual(await a.call("b", "slow", b"1", PATIENCE_SECONDS), b"1")
        self.assertEqual(hop.accepted_connections, 1)
        for payload in (b"2", b"3"):
            a.send("b", "swim", payload)
            await self.until(lambda payload=payload: payload in back)
            await self.until(lambda: not a.connected)
        self.assertFalse(b.connected, "the answer opened a second link")
        self.assertGreater(hop.accepted_connections, 1)
        self.assertEqual(a.counters().reconnects, 0)

    async def test_stop_flushes_to_a_closed_link(self):
        """Guards against a leave that is dropped because no link was open when it was queued."""
        a, _ = await self.endpoint("a", settings=ON_DEMAND)
        b, address = await self.endpoint("b", settings=ON_DEMAND)
        a.set_peers({"b": address, "dead": "127.0.0.1:1"})
        got = []
        b.on("swim", lambda _, payload: got.append(payload))
        a.send("b", "swim", b"leave")
        a.send("dead", "swim", b"leave")
        await a.stop(PATIENCE_SECONDS)
        await self.until(lambda: got)

    async def test_restart_and_incarnations(self):
        """Guards against a link that does not come back, and an old process that is believed."""
        a, b, address = await self.pair(incarnation=2)
        await self.until(lambda: "b" in a.connected)
        await b.stop(0)
        port = int(address.rpartition(":")[2])
        stale, _ = await self.endpoint("b", incarnation=1, port=port)
        await self.until(lambda: a.counters().stale_refused)
        with self.assertRaises(errors.StaleIncarnationError):
            await a.call("b", "x", b"", PATIENCE_SECONDS)
        await stale.stop(0)
        new, _ = await self.endpoint("b", incarnation=3, port=port)
        got = []
        new.on("swim", lambda sender, payload: got.append(sender))
        a.send("b", "swim", b"")
        await self.until(lambda: got)

    async def test_strangers(self):
        """Guards against traffic between clusters and with a member of another name."""
        a, b, address = await self.pair(cluster="other")
        with self.assertRaises(errors.StrangerError):
            await a.call("b", "x", b"", PATIENCE_SECONDS)
        self.assertGreater(b.counters().strangers_refused, 0)
        _, other = await self.endpoint("c")
        a.set_peers({"d": other})
        with self.assertRaises(errors.StrangerError):
            await a.call("d", "x", b"", PATIENCE_SECONDS)

    async def test_unreachable_peer_blocks_nobody(self):
        """Guards against a full or dead peer that delays others, and an unbounded queue."""
        settings = links.Settings(queue_frames=10)
        a, _ = await self.endpoint("a", settings=settings)
        b, address = await self.endpoint("b")
        got = []
        b.on("swim", lambda sender, payload: got.append(payload))
        hole = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        self.stack.callback(hole.close)
        silent = f"127.0.0.1:{hole.sockets[0].getsockname()[1]}"
        a.set_peers({"dead": "127.0.0.1:1", "silent": silent, "b": address})
        for _ in range(25):
            a.send("dead", "swim", b"")
            a.send("silent", "swim", b"")
        a.send("b", "swim", b"x")
        await self.until(lambda: got)
        self.assertEqual(a.counters().dropped, 30)
        with self.assertRaises(errors.FrameTooLargeError):
            a.send("b", "swim", bytes(settings.frame_bytes + 1))


if __name__ == "__main__":
    unittest.main()
