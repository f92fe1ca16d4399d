"""Tests of the delivery of answers over real sockets to slow, leaving and waiting callers."""

import asyncio
import socket
import time
import unittest

import builders

from coltsfoothead.daemon.callers import delivery, frontend
from coltsfoothead.daemon.http import errors, server
from coltsfoothead.daemon.serving import requests

HEARTBEAT_SECONDS = 0.2
REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
# Far more than the buffers of the sockets hold.
LONG_ANSWER_TOKENS = 60_000


class DeliveryTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        body = {"model": "small", "stream": True}
        self.request = requests.ModelRequest("r1", "kiosk", body, 0, time.monotonic() + 60)
        self.request.attempt = 1
        self.exchanges = []
        self.results = asyncio.Queue()
        self.server = server.Server(self.handle, frontend.encode_error, builders.bounds())
        self.address = await self.server.start("127.0.0.1", 0)
        self.addAsyncCleanup(self.server.stop, 0.0)

    async def handle(self, exchange):
        self.exchanges.append(exchange)
        try:
            await delivery.deliver(exchange, self.request, 0, HEARTBEAT_SECONDS)
        except errors.CallerGoneError as error:
            self.results.put_nowait(error)
            raise
        self.results.put_nowait(None)

    async def connect(self, receive_bytes=None, limit=65536):
        host, port = self.address.split(":")
        caller = socket.socket()
        if receive_bytes is not None:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        caller.setblocking(False)
        await asyncio.get_running_loop().sock_connect(caller, (host, int(port)))
        reader, writer = await asyncio.open_connection(sock=caller, limit=limit)
        self.addCleanup(writer.close)
        count = len(self.exchanges)
        writer.write(REQUEST)
        while len(self.exchanges) == count:
            await asyncio.sleep(0.001)
        await reader.readuntil(b"\r\n\r\n")
        return reader, writer

    def add(self, *texts):
        self.request.append(1, len(self.request.tokens), texts)
        self.request.release(len(self.request.tokens), end=False)

    def finish(self):
        self.request.finish(requests.Completion("stop", 1, 1), time.monotonic())
        self.request.release(len(self.request.tokens), end=True)

    @staticmethod
    def event_ids(received):
        lines = received.replace(b"\r\n", b"\n").split(b"\n")
        return [int(line[4:]) for line in lines if line.startswith(b"id: ")]

    async def test_a_token_waits_for_its_release(self):
        """Guards against delivering a token of which no other zone has a copy."""
        reader, _ = await self.connect()
        self.request.append(1, 0, ["one", "two"])
        self.request.notify()
        await asyncio.sleep(0.05)
        self.assertEqual(self.exchanges[0].transport.get_write_buffer_size(), 0)
        self.request.release(1, end=False)
        received = await asyncio.wait_for(reader.read(4096), 5)
        self.assertEqual(self.event_ids(received), [0])
        self.finish()
        received = await asyncio.wait_for(reader.readuntil(LAST_CHUNK), 5)
        self.assertEqual(self.event_ids(received), [1])
        self.assertTrue(received.endswith(b"data: [DONE]\n\n\r\n" + LAST_CHUNK), received)

    async def test_tokens_and_end_released_together_arrive_in_order(self):
        """Guards against an end sent before tokens deferred to the end of the loop iteration."""
        reader, _ = await self.connect()
        for number in range(5):
            self.add(f"t{number}")
        self.finish()
        received = await asyncio.wait_for(reader.readuntil(LAST_CHUNK), 5)
        self.assertEqual(self.event_ids(received), [0, 1, 2, 3, 4])
        self.assertLess(received.index(b"id: 4"), received.index(b"[DONE]"))
        self.assertIsNone(await asyncio.wait_for(self.results.get(), 5))

    async def test_a_slow_caller_costs_bounded_memory_and_delays_nobody(self):
        """Guards against buffering a whole answer for a caller that does not read."""
        slow, _ = await self.connect(receive_bytes=4096, limit=1024)
        quick, _ = await self.connect()
        reading = asyncio.ensure_future(read_to_end(quick))
        limit = 0
        for start in range(0, LONG_ANSWER_TOKENS, 100):
            self.add(*("x" * 100 for _ in range(start, start + 100)))
            await asyncio.sleep(0)
            limit = max(limit, self.exchanges[0].transport.get_write_buffer_size())
        self.finish()
        received = await asyncio.wait_for(reading, 30)
        self.assertEqual(self.event_ids(received), list(range(LONG_ANSWER_TOKENS)))
        self.assertGreater(len(received), 10_000_000)
        buffered = self.exchanges[0].transport.get_write_buffer_size()
        self.assertGreater(buffered, 0)
        self.assertLess(max(limit, buffered), 400_000)
        received = await asyncio.wait_for(read_to_end(slow), 60)
        self.assertEqual(self.event_ids(received), list(range(LONG_ANSWER_TOKENS)))

    async def test_a_caller_that_left_while_waiting_is_noticed(self):
        """Guards against a delivery that waits forever, and against harm to the other callers."""
        _, leaving = await self.connect()
        staying, _ = await self.connect()
        leaving.transport.abort()
        error = await asyncio.wait_for(self.results.get(), HEARTBEAT_SECONDS * 5)
        self.assertIsInstance(error, errors.CallerGoneError)
        self.add("one")
        self.finish()
        received = await asyncio.wait_for(staying.readuntil(LAST_CHUNK), 5)
        self.assertEqual(self.event_ids(received), [0])

    async def test_a_caller_that_left_does_not_stop_the_release(self):
        """Guards against an error of one delivery that affects the generation or other callers."""
        for _ in range(2):
            _, leaving = await self.connect()
            leaving.transport.abort()
        staying, _ = await self.connect()
        for number in range(20):
            self.add(f"t{number}")
            await asyncio.sleep(0.01)
        self.finish()
        received = await asyncio.wait_for(staying.readuntil(LAST_CHUNK), 5)
        self.assertEqual(self.event_ids(received), list(range(20)))
        for _ in range(2):
            self.assertIsInstance(await self.results.get(), errors.CallerGoneError)

    async def test_heartbeats_come_only_in_silence(self):
        """Guards against a connection that stays silent, and against heartbeats between tokens."""
        reader, _ = await self.connect()
        for number in range(6):
            self.add(f"t{number}")
            await asyncio.sleep(HEARTBEAT_SECONDS / 4)
        received = await reader.read(65536)
        self.assertEqual(self.event_ids(received), list(range(6)))
        self.assertNotIn(delivery.SSE_HEARTBEAT, received)
        started = time.monotonic()
        received = await asyncio.wait_for(reader.read(65536), 5)
        self.assertIn(delivery.SSE_HEARTBEAT, received)
        self.assertLess(time.monotonic() - started, HEARTBEAT_SECONDS * 2)


async def read_to_end(reader):
    """Returns all data up to the last chunk."""
    received = bytearray()
    while not received.endswith(LAST_CHUNK):
        data = await reader.read(65536)
        assert data, "connection closed early"
        received += data
    return bytes(received)


if __name__ == "__main__":
    unittest.main()
