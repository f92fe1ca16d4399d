"""Tests of the HTTP client against servers that send more than was asked."""

import asyncio
import unittest

from coltsfoothead.daemon.http import client, errors, message


def answer(name, body=b"hi"):
    """Returns an answer that names its request."""
    head = f"HTTP/1.1 200 OK\r\nrequest-id: {name}\r\ncontent-length: {len(body)}\r\n\r\n"
    return head.encode() + body


class SurplusAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, respond):
        """Starts a server that calls `respond(number, writer)` for each request."""
        self.connections = 0

        async def accept(reader, writer):
            self.connections += 1
            number = 0
            while await reader.readuntil(b"\r\n\r\n"):
                number += 1
                await respond(number, writer)

        async def guarded(reader, writer):
            try:
                await accept(reader, writer)
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()

        server = await asyncio.start_server(guarded, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        self.client = client.Client(1.0)
        self.addCleanup(self.client.close)

    async def ask(self, name):
        """Sends a request and returns the body of the answer that belongs to it."""

        def belongs(head):
            return dict(head.headers).get(b"request-id") == name.encode()

        request = message.Request("GET", f"/{name}", (), b"")
        received = await self.client.send(self.address, request, 2.0, belongs=belongs)
        return await received.read(2.0, 1000)

    async def test_a_late_extra_answer_is_skipped(self):
        """Guards against an answer that goes to the caller of the next request."""

        async def respond(number, writer):
            if number == 2:
                writer.write(answer("one", b"late") + answer("two", b"right"))
            else:
                writer.write(answer("one", b"first"))

        await self.start(respond)
        self.assertEqual(await self.ask("one"), b"first")
        self.assertEqual(await self.ask("two"), b"right")
        self.assertEqual(self.connections, 1)

    async def test_an_extra_answer_with_the_right_one_ends_the_connection(self):
        """Guards against surplus bytes that are kept for the next request."""

        async def respond(number, writer):
            writer.write(answer("one", b"first") + answer("one", b"again"))

        await self.start(respond)
        self.assertEqual(await self.ask("one"), b"first")
        self.assertEqual(await self.ask("one"), b"first")
        self.assertEqual(self.connections, 2)

    async def test_bytes_on_an_idle_connection_end_it(self):
        """Guards against an answer that arrives while nobody has asked."""

        async def respond(number, writer):
            writer.write(answer("one", b"first"))
            await asyncio.sleep(0.1)
            writer.write(answer("one", b"again"))

        await self.start(respond)
        self.assertEqual(await self.ask("one"), b"first")
        await asyncio.sleep(0.3)
        self.assertEqual(await self.ask("one"), b"first")
        self.assertEqual(self.connections, 2)

    async def test_only_a_foreign_answer_is_a_failure(self):
        """Guards against taking a foreign answer for want of the right one."""

        async def respond(number, writer):
            writer.write(answer("other"))
            writer.close()

        await self.start(respond)
        with self.assertRaises(errors.UpstreamBrokeError):
            await self.ask("one")

    async def test_connections_are_kept_as_long_as_the_server_says(self):
        """Guards against a request that crosses the server's close of a kept connection."""

        async def respond(number, writer):
            head = b"HTTP/1.1 200 OK\r\nrequest-id: one\r\nkeep-alive: timeout=1\r\n"
            writer.write(head + b"content-length: 2\r\n\r\nhi")

        await self.start(respond)
        await self.ask("one")
        await self.ask("one")
        self.assertEqual(self.connections, 1)
        await asyncio.sleep(0.7)
        await self.ask("one")
        self.assertEqual(self.connections, 2)


if __name__ == "__main__":
    unittest.main()
