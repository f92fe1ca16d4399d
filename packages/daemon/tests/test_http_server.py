"""Tests of the HTTP server against misbehaving callers, and of the HTTP client."""

import asyncio
import socket
import unittest
import unittest.mock

import builders
import msgspec

from coltsfoothead.daemon.callers import frontend
from coltsfoothead.daemon.http import client, errors, message, server

COMPLETE_REQUEST = b"POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nhi"


async def echo(exchange):
    """Responds with the body of the request."""
    await exchange.respond(message.Response(200, (), exchange.request.body))


class ServerTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, **bounds):
        self.server = server.Server(echo, frontend.encode_error, builders.bounds(**bounds))
        self.address = await self.server.start("127.0.0.1", 0)
        self.addAsyncCleanup(self.server.stop, 0.0)

    async def send_raw(self, data, half_close=False):
        """Sends raw bytes and returns all received bytes."""
        host, port = self.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        if half_close:
            writer.write_eof()
        received = await asyncio.wait_for(reader.read(), 10)
        writer.close()
        return received

    def check_refusal(self, received, status, code):
        head, _, body = received.partition(b"\r\n\r\n")
        self.assertIn(f" {status} ".encode(), head.splitlines()[0])
        self.assertIn(b"x-execution: not_run", head.lower())
        self.assertEqual(msgspec.json.decode(body)["error"]["code"], code)

    async def check_still_serving(self):
        received = await self.send_raw(COMPLETE_REQUEST, half_close=True)
        self.assertTrue(received.endswith(b"hi"), received)

    async def test_a_body_above_the_limit_is_refused(self):
        """Guards against unbounded memory use, with a declared and with a chunked body length."""
        await self.start()
        declared = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5000\r\n\r\n" + b"x" * 2000
        self.check_refusal(await self.send_raw(declared), 413, "body_too_large")
        chunked = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
        received = await self.send_raw(chunked + b"800\r\n" + b"x" * 2048 + b"\r\n")
        self.check_refusal(received, 413, "body_too_large")
        await self.check_still_serving()

    async def test_two_framings_of_one_body_are_refused(self):
        """Guards against request smuggling: another parser reads the body as a request."""
        await self.start()
        smuggled = b"GET /inner HTTP/1.1\r\nhost: a\r\n\r\n"
        head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n"
        received = await self.send_raw(
            head + b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled
        )
        self.check_refusal(received, 400, "malformed_request")
        self.assertEqual(received.count(b"HTTP/1.1 "), 1)
        self.assertIn(b"connection: close", received.lower())

    async def test_a_declared_length_beyond_the_limit_is_refused_before_the_body(self):
        """Guards against receiving a body that is refused anyway."""
        await self.start()
        declared = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 999999\r\n\r\n"
        self.check_refusal(await self.send_raw(declared), 413, "body_too_large")
        await self.check_still_serving()

    async def test_a_disconnect_of_a_waiting_caller_cancels_its_request(self):
        """Guards against work that goes on for a caller that has closed its connection."""
        cancelled = asyncio.Event()

        async def wait(exchange):
            with exchange.cancel_on_disconnect():
                try:
                    await asyncio.sleep(10)
                except asyncio.CancelledError:
                    cancelled.set()
                    raise

        self.server = server.Server(wait, frontend.encode_error, builders.bounds())
        address = await self.server.start("127.0.0.1", 0)
        self.addAsyncCleanup(self.server.stop, 0.0)
        host, port = address.split(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(COMPLETE_REQUEST)
        await asyncio.sleep(0.1)
        writer.close()
        await asyncio.wait_for(cancelled.wait(), 2)

    async def test_a_broken_chunk_is_refused(self):
        """Guards against a parser error that ends the daemon or goes unanswered."""
        await self.start()
        broken = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nhi"
        self.check_refusal(await self.send_raw(broken), 400, "malformed_request")
        await self.check_still_serving()

    async def test_a_slow_sender_is_refused_in_bounded_time(self):
        """Guards against connections occupied by senders that never complete a request."""
        await self.start(receive_seconds=0.2)
        self.check_refusal(await self.send_raw(COMPLETE_REQUEST[:-1]), 408, "request_timeout")
        await self.check_still_serving()

    async def test_a_half_closed_connection_gets_its_response(self):
        """Guards against dropping a complete request, and against waiting on a truncated one."""
        await self.start()
        await self.check_still_serving()
        received = await self.send_raw(COMPLETE_REQUEST[:-1], half_close=True)
        self.check_refusal(received, 400, "malformed_request")

    async def test_too_large_headers_are_refused(self):
        """Guards against unbounded header blocks."""
        await self.start()
        data = b"GET / HTTP/1.1\r\nhost: a\r\nx-long: " + b"x" * 20_000
        self.check_refusal(await self.send_raw(data), 400, "malformed_request")
        await self.check_still_serving()

    async def test_two_requests_on_one_connection_are_answered_in_order(self):
        """Guards against responses out of order on a persistent connection."""
        await self.start()
        second = COMPLETE_REQUEST.replace(b"hi", b"ho")
        received = await self.send_raw(COMPLETE_REQUEST + second, half_close=True)
        self.assertLess(received.index(b"hi"), received.index(b"ho"))


class ClientTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_refused_connection_is_distinguished_from_a_broken_one(self):
        """Guards against reporting a request as not run after bytes were sent, or the reverse."""

        async def close_at_once(reader, writer):
            await reader.read(10)
            writer.transport.abort()

        listener = await asyncio.start_server(close_at_once, "127.0.0.1", 0)
        address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
        http_client = client.Client(1.0)
        request = message.Request("POST", "/", (), b"body")
        with self.assertRaises(errors.UpstreamBrokeError):
            await http_client.send(address, request, 5.0)
        listener.close()
        await listener.wait_closed()
        with self.assertRaises(errors.ConnectError):
            await http_client.send(address, request, 5.0)

    async def test_a_read_from_a_silent_server_times_out(self):
        """Guards against waiting forever on a silent connection."""

        async def stay_silent(reader, writer):
            await reader.read()

        listener = await asyncio.start_server(stay_silent, "127.0.0.1", 0)
        self.addCleanup(listener.close)
        address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
        http_client = client.Client(1.0)
        with self.assertRaises(errors.SilentUpstreamError):
            await http_client.send(address, message.Request("GET", "/", (), b""), 0.2)

    async def test_a_large_response_read_late_is_complete_and_bounded(self):
        """Guards against unbounded buffering of an unread response, and against a stuck read."""
        size = 20_000_000
        writers = []

        async def answer(reader, writer):
            writers.append(writer)
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % size)
            for _ in range(size // 20_000):
                writer.write(b"x" * 20_000)
                await writer.drain()

        listener = await asyncio.start_server(answer, "127.0.0.1", 0)
        self.addCleanup(listener.close)
        address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
        http_client = client.Client(1.0)
        self.addCleanup(http_client.close)
        response = await http_client.send(address, message.Request("GET", "/", (), b""), 5.0)
        await asyncio.sleep(0.3)
        # The server's write blocks, so the sockets are full and the client has stopped reading.
        self.assertGreater(writers[0].transport.get_write_buffer_size(), 0)
        self.assertEqual(len(await response.read(5.0, size)), size)

    async def test_an_idle_connection_closed_by_the_server_is_not_reused(self):
        """Guards against sending on a closed connection, which leaves unknown whether it ran."""

        async def answer_once(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi")
            await asyncio.sleep(0.05)
            writer.close()

        listener = await asyncio.start_server(answer_once, "127.0.0.1", 0)
        self.addCleanup(listener.close)
        address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
        http_client = client.Client(1.0)
        self.addCleanup(http_client.close)
        for _ in range(3):
            response = await http_client.send(address, message.Request("GET", "/", (), b""), 5.0)
            self.assertEqual(await response.read(5.0, 100), b"hi")
            await asyncio.sleep(0.2)


class StopTest(unittest.IsolatedAsyncioTestCase):
    async def connect(self, stopping):
        """Starts a server and returns a blocking socket that is connected to it."""
        host, port = (await stopping.start("127.0.0.1", 0)).split(":")
        connected = socket.create_connection((host, int(port)))
        self.addCleanup(connected.close)
        connected.settimeout(10)
        return connected

    async def test_a_request_that_has_arrived_unread_is_answered(self):
        """Guards against closing a connection as idle whose request no task has read yet.

        On a busy event loop, the task of a connection runs some time after its data arrived.
        """
        stopping = server.Server(echo, frontend.encode_error, builders.bounds())
        connected = await self.connect(stopping)
        while not stopping.connections:
            await asyncio.sleep(0)
        await asyncio.sleep(0.05)
        connected.sendall(COMPLETE_REQUEST)
        closed = False

        def close_idle_before_the_task_runs():
            nonlocal closed
            closed = True
            stopping.close_idle()

        original = server._CallerProtocol.data_received

        def data_received(protocol, data):
            original(protocol, data)
            close_idle_before_the_task_runs()

        with unittest.mock.patch.object(server._CallerProtocol, "data_received", data_received):
            received = await asyncio.to_thread(connected.recv, 65536)
        self.assertTrue(closed)
        self.assertTrue(received.endswith(b"hi"), received)
        await stopping.stop(1.0)

    async def test_a_connection_that_waits_to_be_accepted_is_served_by_a_stopping_server(self):
        """Guards against resetting a caller whose connection waits to be accepted."""
        stopping = server.Server(echo, frontend.encode_error, builders.bounds())
        connected = await self.connect(stopping)
        connected.sendall(COMPLETE_REQUEST)
        self.assertEqual(stopping.connections, 0)
        await stopping.stop(1.0)
        received = await asyncio.to_thread(connected.recv, 65536)
        self.assertTrue(received.endswith(b"hi"), received)

    async def test_a_request_in_transit_is_answered_while_the_server_stops(self):
        """Guards against resetting a caller that connected just before a graceful stop."""
        stopping = server.Server(echo, frontend.encode_error, builders.bounds())
        host, port = (await stopping.start("127.0.0.1", 0)).split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        while not stopping.connections:
            await asyncio.sleep(0)
        stop = asyncio.create_task(stopping.stop(5.0))
        await asyncio.sleep(0)
        writer.write(COMPLETE_REQUEST)
        received = await asyncio.wait_for(reader.read(), 10)
        self.assertTrue(received.endswith(b"hi"), received)
        writer.close()
        await stop
