"""Tests of token streams from an engine through a generation, on real sockets."""

import asyncio
import contextlib
import random
import time
import unittest

from coltsfoothead.daemon import metrics
from coltsfoothead.daemon.http import client, errors
from coltsfoothead.daemon.serving import generation, requests, unreplicated
from coltsfoothead.daemon.upstreams import engine
from coltsfoothead.testsupport import virtualtime

HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
# Silence timeout of tests without silent streams. A busy machine can stop a process for 0.3 s.
LONG_TIMEOUT_SECONDS = 5.0
SILENCE_TIMEOUT_SECONDS = 0.3


def http_chunk(data):
    """Returns one HTTP chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def token(offset, text):
    """Returns the server-sent event of one token, as an engine sends it."""
    return b'id: %d\ndata: {"choices":[{"delta":{"content":"%s"}}]}\n\n' % (offset, text.encode())


END_EVENTS = (
    b'data: {"choices":[{"delta":{},"finish_reason":"stop"}]}\n\n'
    b'data: {"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":2}}\n\n'
    b"data: [DONE]\n\n"
)


class ScriptedEngine:
    """Engine that answers each chat request by the next of its scripts.

    A script is an async function that takes the connection's writer. Requests to other paths are
    read and not answered.
    """

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.connections = 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader, writer):
        self.connections += 1
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().partition(b"content-length:")[2].split()[0])
                await reader.readexactly(length)
                if head.startswith(b"POST /v1/chat"):
                    await self.scripts.pop(0)(writer)
        writer.close()


def send_parts(*parts, pause=0.02):
    """Returns a script that writes the parts one by one, each after `pause` seconds."""

    async def script(writer):
        writer.write(HEAD)
        for part in parts:
            await asyncio.sleep(pause)
            writer.write(part)

    return script


class FixedRouter:
    """Always chooses the same upstream."""

    def __init__(self, address):
        self.target = generation.Target("e1", address, 0)

    def choose(self, request, excluded):
        return self.target

    def attempt_started(self, request, target):
        pass

    def tokens_received(self, request, target, count):
        pass

    def attempt_ended(self, request, target, failed):
        pass


class EngineTestCase(unittest.IsolatedAsyncioTestCase):
    async def start(self, *scripts):
        self.engine_server = ScriptedEngine(*scripts)
        await self.engine_server.start()
        self.addCleanup(self.engine_server.server.close)
        self.client = client.Client(1.0)
        self.addCleanup(self.client.close)


class EngineStreamTest(EngineTestCase):
    async def generate(self, events, silence_seconds=LONG_TIMEOUT_SECONDS):
        await engine.generate(
            self.client, self.engine_server.address, {}, "r1", 1, silence_seconds, events.append
        )

    @staticmethod
    def texts(events):
        return [
            text for event in events if isinstance(event, engine.Tokens) for text in event.texts
        ]

    async def test_split_events_are_reassembled(self):
        """Guards against losing or changing a token whose event or chunk spans several reads."""
        body = token(0, "one ") + b": ping\n\n" + token(1, "two") + END_EVENTS
        stream = (
            b"".join(http_chunk(body[at : at + 7]) for at in range(0, len(body), 7)) + LAST_CHUNK
        )
        scripts = [
            send_parts(*(stream[at : at + size] for at in range(0, len(stream), size)), pause=0)
            for size in (1, 11, 64)
        ]
        await self.start(*scripts)
        for _ in scripts:
            events = []
            await self.generate(events)
            self.assertEqual(self.texts(events), ["one ", "two"])
            self.assertEqual(events[-1], engine.Finished("stop", 3, 2))

    async def test_an_end_in_the_same_read_as_the_last_token_is_processed(self):
        """Guards against waiting for more data after the end, and against losing the connection."""
        answer = (
            http_chunk(token(0, "a"))
            + http_chunk(token(1, "b"))
            + http_chunk(END_EVENTS)
            + LAST_CHUNK
        )
        await self.start(send_parts(answer), send_parts(answer))
        for _ in range(2):
            events = []
            started = time.monotonic()
            await self.generate(events)
            self.assertLess(time.monotonic() - started, LONG_TIMEOUT_SECONDS)
            self.assertEqual(self.texts(events), ["a", "b"])
        self.assertEqual(self.engine_server.connections, 1)

    def test_a_silent_stream_fails_at_its_timeout(self):
        """Guards against a silence timeout that never fires, fires late or ignores new data."""
        with asyncio.Runner(loop_factory=virtualtime.EventLoop) as runner:
            runner.run(self.check_silent_stream())

    async def check_silent_stream(self):
        parts = [http_chunk(token(at, "x")) for at in range(6)]
        await self.start(send_parts(*parts, pause=SILENCE_TIMEOUT_SECONDS / 2))
        events = []
        loop = asyncio.get_running_loop()
        started = loop.time()
        with self.assertRaises(errors.SilentUpstreamError):
            await self.generate(events, SILENCE_TIMEOUT_SECONDS)
        self.assertEqual(len(self.texts(events)), 6)
        silent_for = loop.time() - started - 3 * SILENCE_TIMEOUT_SECONDS
        self.assertGreater(silent_for, SILENCE_TIMEOUT_SECONDS * 0.9)
        self.assertLess(silent_for, SILENCE_TIMEOUT_SECONDS * 2)
        self.engine_server.server.close()
        self.client.close()

    async def test_broken_streams_raise_the_error_of_a_broken_stream(self):
        """Guards against treating a broken stream as an ended or a silent one."""

        async def cut(writer):
            writer.write(HEAD + http_chunk(token(0, "a")))
            await writer.drain()
            writer.transport.abort()

        async def close(writer):
            writer.write(HEAD + http_chunk(token(0, "a")))
            writer.write_eof()

        malformed = send_parts(http_chunk(token(0, "a")) + b"zz\r\n")
        gap = send_parts(http_chunk(token(0, "a")) + http_chunk(token(2, "c")))
        premature = send_parts(http_chunk(token(0, "a")) + LAST_CHUNK)
        scripts = [cut, close, malformed, gap, premature]
        await self.start(*scripts)
        for script in scripts:
            with (
                self.subTest(script=script),
                self.assertRaises(errors.UpstreamBrokeError) as raised,
            ):
                await self.generate([])
            self.assertNotIsInstance(raised.exception, errors.SilentUpstreamError)

    async def test_an_error_of_the_event_handler_is_raised(self):
        """Guards against an error lost in the event loop, after which the request would hang."""
        await self.start(send_parts(http_chunk(token(0, "a"))))

        def fail_on_tokens(event):
            if isinstance(event, engine.Tokens):
                raise ZeroDivisionError

        with self.assertRaises(ZeroDivisionError):
            await engine.generate(
                self.client,
                self.engine_server.address,
                {},
                "r1",
                1,
                LONG_TIMEOUT_SECONDS,
                fail_on_tokens,
            )


class GenerationTest(EngineTestCase):
    def build_generation(self, replicator, silence_seconds=5.0):
        context = generation.Context(
            self.client,
            FixedRouter(self.engine_server.address),
            metrics.Metrics(),
            replicator.request_changed,
            silence_seconds,
            time.monotonic,
            random.Random(1),
        )
        self.request = requests.ModelRequest(
            "r1", "kiosk", {"model": "small"}, 0, time.monotonic() + 10
        )
        return generation.Generation(context, self.request)

    async def test_a_move_drops_late_tokens_and_resumes(self):
        """Guards against tokens of an abandoned attempt in the answer, and against a lost move."""
        moved = asyncio.Event()

        async def first(writer):
            writer.write(HEAD + http_chunk(token(0, "a")))
            await moved.wait()
            writer.write(http_chunk(token(1, "late")))

        second = send_parts(http_chunk(token(1, "b")) + http_chunk(END_EVENTS) + LAST_CHUNK)
        await self.start(first, second)
        running = self.build_generation(unreplicated.Unreplicated())
        task = asyncio.ensure_future(running.run())
        while not self.request.tokens:
            await self.request.wait_for_change(1.0)
        running.move_at(time.monotonic())
        # The late token is sent before the attempt is abandoned.
        moved.set()
        await asyncio.wait_for(task, 5)
        self.assertEqual(self.request.attempt, 2)
        self.assertEqual(self.request.tokens, ["a", "b"])
        self.assertTrue(self.request.finished)

    async def test_a_silent_attempt_is_replaced(self):
        """Guards against a request held by an upstream that went silent."""
        ending = http_chunk(token(1, "b")) + http_chunk(END_EVENTS) + LAST_CHUNK
        await self.start(send_parts(http_chunk(token(0, "a"))), send_parts(ending))
        await asyncio.wait_for(self.build_generation(unreplicated.Unreplicated(), 1.0).run(), 8)
        self.assertEqual(self.request.tokens, ["a", "b"])

    async def test_a_cancelled_generation_ignores_later_tokens(self):
        """Guards against a connection that adds tokens to a cancelled request."""
        await self.start(send_parts(*(http_chunk(token(at, "x")) for at in range(99))))
        task = asyncio.ensure_future(self.build_generation(unreplicated.Unreplicated()).run())
        while not self.request.tokens:
            await self.request.wait_for_change(1.0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        token_count = len(self.request.tokens)
        await asyncio.sleep(0.1)
        self.assertEqual(len(self.request.tokens), token_count)


if __name__ == "__main__":
    unittest.main()
