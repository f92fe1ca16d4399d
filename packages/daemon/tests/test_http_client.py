"""Tests of the HTTP client against servers that send unexpected responses."""

import asyncio
import unittest
import unittest.mock

from coltsfoothead.daemon.http import client, connection, errors, message


def response(name, body=b"hi"):
    """Returns a response that carries the ID of its request in a header."""
    head = f"HTTP/1.1 200 OK\r\nrequest-id: {name}\r\ncontent-length: {len(body)}\r\n\r\n"
    return head.encode() + body


class UnexpectedResponseTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, respond):
        """Starts a server that calls `respond(number, writer)` for each request."""
        self.connections = 0

        async def accept(reader, writer):
            self.connections += 1
            number = 0
            while await reader.readuntil(b"\r\n\r\n"):
                number += 1
                await respond(number, writer)

        async def accept_until_closed(reader, writer):
            try:
                await accept(reader, writer)
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()

        server = await asyncio.start_server(accept_until_closed, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        self.client = client.Client(1.0)
        self.addCleanup(self.client.close)

    async def fetch(self, name):
        """Sends a request and returns the body of the response that belongs to it."""

        def matches_request(head, reused):
            return dict(head.headers).get(b"request-id") == name.encode()

        request = message.Request("GET", f"/{name}", (), b"")
        streamed_response = await self.client.send(
            self.address, request, 2.0, matches_request=matches_request
        )
        return await streamed_response.read(2.0, 1000)

    async def test_a_late_extra_response_is_skipped(self):
        """Guards against returning a late extra response for the next request."""

        async def respond(number, writer):
            if number == 2:
                writer.write(response("one", b"late") + response("two", b"right"))
            else:
                writer.write(response("one", b"first"))

        await self.start(respond)
        self.assertEqual(await self.fetch("one"), b"first")
        self.assertEqual(await self.fetch("two"), b"right")
        self.assertEqual(self.connections, 1)

    async def test_an_extra_response_after_the_right_one_ends_the_connection(self):
        """Guards against reusing a connection with surplus bytes for the next request."""

        async def respond(number, writer):
            writer.write(response("one", b"first") + response("one", b"again"))

        await self.start(respond)
        self.assertEqual(await self.fetch("one"), b"first")
        self.assertEqual(await self.fetch("one"), b"first")
        self.assertEqual(self.connections, 2)

    async def test_bytes_on_an_idle_connection_end_it(self):
        """Guards against reusing a connection on which a response arrived without a request."""

        async def respond(number, writer):
            writer.write(response("one", b"first"))
            await asyncio.sleep(0.1)
            writer.write(response("one", b"again"))

        await self.start(respond)
        self.assertEqual(await self.fetch("one"), b"first")
        await asyncio.sleep(0.3)
        self.assertEqual(await self.fetch("one"), b"first")
        self.assertEqual(self.connections, 2)

    async def test_only_an_unrelated_response_is_a_failure(self):
        """Guards against returning an unrelated response when the right one is missing."""

        async def respond(number, writer):
            writer.write(response("other"))
            writer.close()

        await self.start(respond)
        with self.assertRaises(errors.UpstreamBrokeError):
            await self.fetch("one")

    async def test_a_slow_answer_on_a_used_connection_is_waited_for(self):
        """Guards against counting the end of the last stream as the begin of the next head."""

        async def respond(number, writer):
            if number == 2:
                await asyncio.sleep(0.5)
            writer.write(response("one"))

        await self.start(respond)
        request = message.Request("GET", "/one", (), b"")
        with unittest.mock.patch.object(connection, "HEAD_TIMEOUT_SECONDS", 0.1):
            for _ in range(2):
                parts = []
                streamed_response = await self.client.send(self.address, request, None)
                await streamed_response.pump(parts.append, None)
                self.assertEqual(b"".join(parts), b"hi")
        self.assertEqual(self.connections, 1)

    async def test_an_endless_answer_that_is_given_up_is_closed(self):
        """Guards against a connection that stays open after its answer was given up."""
        closed = asyncio.Event()

        async def respond(number, writer):
            writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
            try:
                while True:
                    writer.write(b"1\r\nx\r\n")
                    await writer.drain()
                    await asyncio.sleep(0.01)
            finally:
                closed.set()

        await self.start(respond)
        request = message.Request("POST", "/scale", (), b"")
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.2):
                streamed_response = await self.client.send(self.address, request, None)
                await streamed_response.read(None, 64 * 1024)
        await asyncio.wait_for(closed.wait(), 5)

    async def test_idle_connections_are_kept_for_the_keep_alive_time_of_the_server(self):
        """Guards against sending a request while the server closes the idle connection."""

        async def respond(number, writer):
            head = b"HTTP/1.1 200 OK\r\nrequest-id: one\r\nkeep-alive: timeout=1\r\n"
            writer.write(head + b"content-length: 2\r\n\r\nhi")

        await self.start(respond)
        await self.fetch("one")
        await self.fetch("one")
        self.assertEqual(self.connections, 1)
        await asyncio.sleep(0.7)
        await self.fetch("one")
        self.assertEqual(self.connections, 2)


if __name__ == "__main__":
    unittest.main()
