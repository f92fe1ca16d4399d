"""Tests of the fake engine's contract."""

import asyncio
import unittest
import unittest.mock

import openai

from coltsfoothead.testsupport import (
    announce,
    answers,
    batching,
    caller,
    completions,
    engine,
    fake,
    web,
    webclient,
)

_FAST = engine.Settings(prefill_seconds=0.0, gap_seconds=0.001)


def chat(content, **fields):
    """Returns a chat request body with one user message."""
    return {"model": "small", "messages": [{"role": "user", "content": content}], **fields}


def expected_tokens(content, max_tokens=None):
    """Returns the tokens of the engine's expected answer to one user message."""
    return answers.answer(answers.render(chat(content)["messages"]), max_tokens)


class FakeDaemon(fake.Fake):
    """Records announcements and answers them as a daemon's upstream listener does."""

    def __init__(self):
        super().__init__()
        self.announcements = []
        self.router.route("POST", "/announce")(self._announce)

    async def _announce(self, request):
        self.announcements.append(request.json())
        return web.json_response({"renew_after_ms": 20})


class EngineTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, settings=_FAST, **arguments):
        upstream = engine.Engine(settings, **arguments)
        await upstream.start()
        self.addAsyncCleanup(upstream.close)
        return upstream

    async def post(self, upstream, path, body):
        return await webclient.fetch(upstream.address, "POST", path, json=body)

    async def test_a_resumed_stream_completes_the_same_answer(self):
        """Guards against resumed answers that repeat, skip or change tokens."""
        upstream = await self.start()
        client = caller.Caller([upstream.address])
        await self.post(upstream, "/control", {"drop_after_tokens": 7})
        first = await client.chat("tell len=40", headers={"x-request-id": "r1"})
        self.assertEqual(first.parts[0].ended, "broken")
        self.assertEqual(first.tokens(), list(enumerate(expected_tokens("tell len=40")[:7])))
        delivered = [text for _, text in first.tokens()]
        headers = {"x-request-id": "r1", "x-attempt": "2"}
        second = await client.chat("tell len=40", headers=headers, resume_tokens=delivered)
        self.assertTrue(second.done)
        self.assertEqual(
            first.tokens() + second.tokens(), list(enumerate(expected_tokens("tell len=40")))
        )
        self.assertEqual(upstream.stats()["executions"], {"r1": {"1": 1, "2": 1}})
        self.assertEqual(upstream.stats()["recomputed_tokens"], 7)

    async def test_answers_are_capped_and_counted(self):
        """Guards against a JSON answer that differs from the streamed one."""
        upstream = await self.start()
        reply = await self.post(upstream, "/v1/chat/completions", chat("tell len=40", max_tokens=5))
        choice = reply.json()["choices"][0]
        self.assertEqual(choice["message"]["content"], "".join(expected_tokens("tell len=40", 5)))
        self.assertEqual(choice["finish_reason"], "length")
        self.assertEqual(reply.json()["usage"]["completion_tokens"], 5)

    async def test_a_cached_prefix_is_not_prefilled_again(self):
        """Guards against a cache without effect on prefill, and against one without a limit."""
        upstream = await self.start(
            engine.Settings(prefill_seconds=0.0, gap_seconds=0.0, cache_blocks=12)
        )
        prompt = "word " * 160 + "len=1"
        await self.post(upstream, "/v1/chat/completions", chat(prompt))
        cold = upstream.stats()["prefilled_tokens"]
        await self.post(upstream, "/v1/chat/completions", chat(prompt))
        warm = upstream.stats()["prefilled_tokens"] - cold
        self.assertEqual(cold - warm, 160)
        await self.post(upstream, "/v1/chat/completions", chat("other " * 160 + "len=1"))
        self.assertEqual(len(upstream.cache), 12)
        await self.post(upstream, "/v1/chat/completions", chat(prompt))
        self.assertLess(upstream.stats()["cached_tokens"], 320)

    async def test_waiting_requests_start_in_priority_order(self):
        """Guards against a queue that ignores the priority."""
        upstream = await self.start(engine.Settings(slots=1, gap_seconds=0.001))
        await self.post(upstream, "/control", {"pause": True})
        client = caller.Caller([upstream.address])
        calls = []
        for name, priority in (("first", 5), ("low", 9), ("high", 1), ("middle", 5)):
            headers = {"x-request-id": name}
            calls.append(
                asyncio.ensure_future(client.chat("len=2", headers=headers, priority=priority))
            )
            while upstream.batch.load()["running"] + upstream.batch.waiting_count < len(calls):
                await asyncio.sleep(0.001)
        await self.post(upstream, "/control", {"pause": False})
        await asyncio.gather(*calls)
        order = [entry["request_id"] for entry in upstream.executions]
        self.assertEqual(order, ["first", "high", "middle", "low"])

    async def test_cancel_and_disconnect_free_the_slot(self):
        """Guards against executions that go on after a cancellation or disconnect."""
        upstream = await self.start(engine.Settings(slots=1, gap_seconds=0.001))
        await self.post(upstream, "/control", {"pause": True})
        client = caller.Caller([upstream.address])
        call = asyncio.ensure_future(client.chat("len=9", headers={"x-request-id": "r1"}))
        while not upstream.batch.running:
            await asyncio.sleep(0.001)
        wrong = await self.post(upstream, "/v1/cancel", {"request_id": "r1", "attempt": 2})
        right = await self.post(upstream, "/v1/cancel", {"request_id": "r1", "attempt": 1})
        self.assertEqual([wrong.json()["cancelled"], right.json()["cancelled"]], [0, 1])
        self.assertFalse((await call).done)
        body = chat("len=9", stream=True)
        async with webclient.stream(upstream.address, "POST", "/v1/chat/completions", json=body):
            self.assertEqual(len(upstream.batch.running) + upstream.batch.waiting_count, 1)
        async with asyncio.timeout(5):
            while upstream.batch.running:
                await asyncio.sleep(0.001)

    async def test_old_fences_are_refused_only_if_checked(self):
        """Guards against checking fences without the setting, or ignoring them with it."""
        for check, statuses in ((True, [200, 409]), (False, [200, 200])):
            upstream = await self.start(engine.Settings(check_fencing=check))
            got = []
            for fence, model in ((8, "large"), (7, "tiny")):
                order = {"order": "load", "fence": fence, "model": model, "version": "2"}
                got.append((await self.post(upstream, "/orders", order)).status)
            self.assertEqual(got, statuses)
            self.assertEqual([entry["fence"] for entry in upstream.stats()["orders"]], [8, 7])
            self.assertEqual(upstream.orders.serves("tiny"), not check)

    async def test_cache_events_are_late_and_have_the_same_gaps_for_a_seed(self):
        """Guards against a feed that is complete, immediate or not repeatable."""
        feeds = []
        clock = unittest.mock.Mock()
        for module in (engine, batching):
            patch = unittest.mock.patch.object(module, "time", clock)
            patch.start()
            self.addCleanup(patch.stop)
        for _ in range(2):
            clock.monotonic.return_value = 100.0
            upstream = await self.start(
                engine.Settings(
                    prefill_seconds=0.0,
                    gap_seconds=0.0,
                    cache_event_drop_probability=0.4,
                    cache_event_delay_seconds=0.3,
                    seed=3,
                )
            )
            await self.post(upstream, "/v1/chat/completions", chat("word " * 400 + "len=1"))
            early = await webclient.fetch(upstream.address, "GET", "/cache-events?after=0")
            clock.monotonic.return_value += 0.35
            late = await webclient.fetch(upstream.address, "GET", "/cache-events?after=2")
            self.assertEqual(early.json()["events"], [])
            feeds.append([event["sequence"] for event in late.json()["events"]])
        self.assertEqual(feeds[0], feeds[1])
        self.assertTrue(0 < len(feeds[0]) < 23)
        self.assertGreater(min(feeds[0]), 2)

    async def test_a_handler_that_waits_for_a_token_can_be_cancelled(self):
        """Guards against a stream that goes on with pings for ever after its engine was closed.

        In Python 3.11, `asyncio.wait_for` drops a cancellation that arrives with the result.
        """
        upstream = await self.start()
        for turns in range(5):
            job = completions._job(chat("word"), "r", 1)
            waiting = asyncio.create_task(upstream.completions._next_output(job))
            await asyncio.sleep(0.01)
            job.output.put_nowait(0)
            for _ in range(turns):
                await asyncio.sleep(0)
            if not waiting.done():
                waiting.cancel()
                with self.assertRaises(asyncio.CancelledError):
                    await waiting

    async def test_exported_context_is_cached_where_it_is_imported(self):
        """Guards against an export without effect or of the wrong size."""
        source, target = await self.start(), await self.start()
        body = chat("word " * 64 + "len=1")
        await self.post(source, "/v1/chat/completions", body)
        export = await self.post(source, "/kv/export", body)
        self.assertGreaterEqual(len(export.body), 64 * 1024)
        await webclient.fetch(target.address, "POST", "/kv/import", body=export.body)
        reply = await self.post(target, "/v1/chat/completions", body)
        cached = reply.json()["usage"]["prompt_tokens_details"]["cached_tokens"]
        self.assertEqual(cached, 64)

    async def test_faults_on_demand(self):
        """Guards against confusing work that was done with work that was answered."""
        upstream = await self.start()
        client = caller.Caller([upstream.address])
        await self.post(upstream, "/control", {"answer_without_running": [503]})
        refused = await client.chat("len=3", headers={"x-request-id": "a"})
        self.assertEqual(refused.error()["execution"], "not_run")
        await self.post(upstream, "/control", {"run_without_answering": 1})
        lost = await client.chat("len=3", headers={"x-request-id": "b"})
        self.assertEqual((lost.parts[0].ended, lost.status), ("broken", None))
        self.assertEqual(upstream.stats()["executions"], {"b": {"1": 1}})
        unknown = await self.post(upstream, "/control", {"slownes": 2})
        self.assertEqual(unknown.status, 400)

    async def test_silence_has_pings_unless_muted(self):
        """Guards against a stream whose heartbeat stops when tokens pause."""
        upstream = await self.start()
        await self.post(upstream, "/control", {"pause": True})
        client = caller.Caller([upstream.address], timeout_seconds=1.5)
        call = asyncio.ensure_future(client.chat("len=3"))
        await asyncio.sleep(1.2)
        await self.post(upstream, "/control", {"silent": True})
        record = await call
        self.assertEqual([item.event.comment for item in record.parts[0].events], ["ping"])
        self.assertEqual(record.parts[0].ended, "timeout")

    async def test_announcements_go_to_the_next_daemon_and_report_leaving(self):
        """Guards against an upstream that vanishes with the first daemon."""
        async with FakeDaemon() as daemon:
            urls = ["http://127.0.0.1:9", f"http://{daemon.address}"]
            placement = announce.Placement(upstream="u7")
            upstream = await self.start(placement=placement, urls=urls)
            async with asyncio.timeout(5):
                while len(daemon.announcements) < 3:
                    await asyncio.sleep(0.005)
                await self.post(upstream, "/control", {"leave": {"deadline_ms": 150}})
                await upstream.finished.wait()
        sequences = [item["sequence"] for item in daemon.announcements]
        self.assertEqual(sequences, sorted(set(sequences)))
        self.assertEqual({item["upstream"] for item in daemon.announcements}, {"u7"})
        self.assertEqual(daemon.announcements[0]["state"], "serving")
        self.assertEqual(daemon.announcements[-1]["state"], "leaving")
        self.assertLessEqual(daemon.announcements[-1]["deadline_ms"], 150)
        self.assertEqual(daemon.announcements[0]["models"][0]["name"], "small")

    async def test_load_reports_lag(self):
        """Guards against reports that are fresher than the stated lag."""
        value = {"running": 0}
        load = announce.LaggingLoad(lambda: dict(value), 0.4)
        sampler = asyncio.ensure_future(load.run())
        await asyncio.sleep(0.5)
        value["running"] = 5
        report = load.report()
        self.assertEqual(report["running"], 0)
        self.assertGreaterEqual(report["measured_ms_ago"], 400)
        await asyncio.sleep(0.6)
        self.assertEqual(load.report()["running"], 5)
        sampler.cancel()

    async def test_the_openai_client_works_with_the_base_url_alone(self):
        """Guards against a stream or answer that the common client cannot read."""
        upstream = await self.start()
        async with openai.AsyncOpenAI(
            base_url=f"http://{upstream.address}/v1", api_key="unused", max_retries=0
        ) as client:
            arguments = chat("hello len=12")
            answer = await client.chat.completions.create(**arguments)
            self.assertEqual(
                answer.choices[0].message.content, "".join(expected_tokens("hello len=12"))
            )
            stream = await client.chat.completions.create(
                **arguments, stream=True, stream_options={"include_usage": True}
            )
            chunks = [chunk async for chunk in stream]
            models = await client.models.list()
        text = "".join(c.choices[0].delta.content or "" for c in chunks if c.choices)
        self.assertEqual(text, "".join(expected_tokens("hello len=12")))
        self.assertEqual(chunks[-1].usage.completion_tokens, 12)
        self.assertEqual([model.id for model in models.data], ["small"])
