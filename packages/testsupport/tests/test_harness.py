"""Tests of the process harness, the recording caller and the invariant checker."""

import asyncio
import copy
import os
import signal
import tomllib
import unittest

import msgspec

from coltsfoothead.testsupport import (
    answers,
    caller,
    errors,
    fake,
    harness,
    invariants,
    records,
    sse,
    web,
    webclient,
)


def properties(violations):
    """Returns the names of the violated properties."""
    return [violation.property for violation in violations]


class HarnessTest(unittest.IsolatedAsyncioTestCase):
    async def test_children_end_with_the_harness(self):
        """Guards against processes and folders that outlive a failed test."""
        with self.assertRaises(ZeroDivisionError):
            async with harness.Harness() as children:
                frozen = await children.start_fake("service")
                await children.start_fake("engine", "--slots", "2", "--check-fencing")
                frozen.freeze()
                pids = [process.pid for process in children.processes.values()]
                raise ZeroDivisionError
        for pid in pids:
            with self.assertRaises(ProcessLookupError):
                os.kill(pid, 0)
        self.assertFalse(children.folder.exists())

    async def test_signals_and_restart(self):
        """Guards against a freeze that ends the process and a restart under the old address."""
        async with harness.Harness() as children:
            first = await children.start_fake("service", name="s")
            first.freeze()
            with self.assertRaises(TimeoutError):
                await webclient.fetch(first.address, "GET", "/x", timeout_seconds=0.3)
            first.thaw()
            self.assertEqual((await webclient.fetch(first.address, "GET", "/x")).status, 200)
            first.kill()
            self.assertEqual(await first.wait(), -signal.SIGKILL)
            second = await children.start_fake("service", name="s")
            self.assertNotEqual(second.address, first.address)
            self.assertEqual((await webclient.fetch(second.address, "GET", "/x")).status, 200)
            second.terminate()
            self.assertEqual(await second.wait(), 0)

    async def test_a_leaving_engine_finishes_its_stream_and_exits_at_the_deadline(self):
        """Guards against a leaver that cuts off its streams or never ends."""
        async with harness.Harness() as children:
            engine = await children.start_fake("engine", "--gap-seconds", "0.005")
            client = caller.Caller([engine.address])
            call = asyncio.ensure_future(client.chat("len=40"))
            leave = {"leave": {"deadline_ms": 2500}}
            await webclient.fetch(engine.address, "POST", "/control", json=leave)
            self.assertTrue((await call).done)
            self.assertIsNone(engine.returncode)
            self.assertEqual(await engine.wait(), 0)

    async def test_every_fake_runs_as_a_process(self):
        """Guards against a module whose command line does not start."""
        async with harness.Harness() as children:
            for module in ("engine", "service", "cloud", "weights", "proxy", "balancer"):
                process = await children.start_fake(module, "--listen", "127.0.0.1:0")
                reply = await webclient.fetch(process.address, "POST", "/control", json={})
                self.assertEqual(reply.status, 200, module)

    async def test_a_daemon_that_ends_early_is_reported_with_its_log(self):
        """Guards against waiting out the deadline for a process that has ended."""
        async with harness.Harness() as children:
            with self.assertRaisesRegex(errors.ProcessEndedError, "usage:"):
                await children.start_daemon(
                    "d1",
                    {"listen": {"callers": "127.0.0.1:1"}},
                    "127.0.0.1:9",
                    module="coltsfoothead.testsupport.service",
                )
            settings = tomllib.loads((children.folder / "d1.toml").read_text())
            self.assertEqual(settings, {"listen": {"callers": "127.0.0.1:1"}})
        self.assertEqual(len(set(harness.free_ports(20))), 20)


class FakeEntry(fake.Fake):
    """Entry daemon that breaks off a stream after two tokens and sends the rest on a reconnect."""

    def __init__(self):
        super().__init__()
        self.router.route("POST", "/v1/chat/completions")(self._begin)
        self.router.route("GET", "/v1/requests/{id}")(self._rest)
        self.reconnects = []

    async def _begin(self, request):
        self.content = request.json()["messages"]
        return self._answer(self._events(0, 2, False))

    async def _rest(self, request):
        self.reconnects.append((request.match["id"], request.headers["last-event-id"]))
        return self._answer(self._events(int(request.headers["last-event-id"]) + 1, 5, True))

    def _answer(self, events):
        headers = {"content-type": "text/event-stream", "x-request-id": "given"}
        return web.Stream(events, headers=headers)

    async def _events(self, start, end, whole):
        for offset in range(start, end):
            token = answers.token_at(answers.render(self.content), offset)
            chunk = {"choices": [{"delta": {"content": token}}]}
            yield sse.encode(msgspec.json.encode(chunk).decode(), offset)
        if not whole:
            raise errors.DropConnectionError("broken off")
        yield sse.encode("[DONE]")


class CallerTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_caller_comes_back_for_the_rest(self):
        """Guards against a caller that loses its position or the request ID that it received."""
        async with FakeEntry() as entry:
            client = caller.Caller([entry.address])
            record = await client.chat("len=5")
            self.assertEqual(invariants.check_accepted_survive([record])[0].subject, "given")
            self.assertTrue(await client.finish(record, 5.0))
            self.assertEqual(entry.reconnects, [("given", "1")])
        self.assertEqual(invariants.check_all([record]), [])


class InvariantsTest(unittest.IsolatedAsyncioTestCase):
    async def record(self):
        """Runs requests against fakes and returns what they and the caller recorded."""
        async with harness.Harness() as children:
            engine = await children.start_fake("engine", "--gap-seconds", "0.001")
            service = await children.start_fake("service")
            chats = caller.Caller([engine.address])
            for number in range(3):
                headers = {"x-request-id": f"r{number}"}
                await chats.chat(f"question {number} len=9", stream=number > 0, headers=headers)
            calls = caller.Caller([service.address])
            for number in range(2):
                headers = {"x-request-id": f"s{number}"}
                await calls.call(
                    "parts", "orders", body={"n": number}, key=f"k{number}", headers=headers
                )
            stats = (await webclient.fetch(engine.address, "GET", "/stats")).json()
            executions = (await webclient.fetch(service.address, "GET", "/executions")).json()
        return chats.records + calls.records, stats, executions

    async def test_each_breach_is_found_and_a_clean_run_has_none(self):
        """Guards against a checker that passes broken runs or fails sound ones."""
        requests, stats, executions = await self.record()
        self.assertEqual(invariants.check_all(requests, [stats], [executions]), [])

        cut = copy.deepcopy(requests)
        cut[1].parts[0].events = cut[1].parts[0].events[:4]
        cut[1].parts[0].ended = "broken"
        self.assertEqual(properties(invariants.check_all(cut)), ["P1"])

        for damage in (
            lambda events: events.pop(2),
            lambda events: events.insert(3, events[2]),
            lambda events: events.insert(2, events.pop(3)),
            lambda events: events.pop(8),
        ):
            damaged = copy.deepcopy(requests)
            damage(damaged[1].parts[0].events)
            self.assertEqual(properties(invariants.check_all(damaged)), ["P2"])

        swapped = copy.deepcopy(requests)
        swapped[0].parts, swapped[1].parts = swapped[1].parts, swapped[0].parts
        swapped[3].parts, swapped[4].parts = swapped[4].parts, swapped[3].parts
        self.assertEqual(
            [v.subject for v in invariants.check_answers(swapped)], ["r0", "r1", "s0", "s1"]
        )

        streams = copy.deepcopy(requests)
        streams[1].parts, streams[2].parts = streams[2].parts, streams[1].parts
        self.assertEqual([v.subject for v in invariants.check_answers(streams)], ["r1", "r2"])

        refused = copy.deepcopy(requests)
        body = msgspec.json.encode({"error": {"execution": "not_run"}})
        for record in (refused[2], refused[4]):
            record.parts = [records.Part(0.0, "", 503, body=body, ended="complete")]
        found = invariants.check_all(refused, [stats], [executions])
        self.assertEqual([(v.property, v.subject) for v in found], [("P3", "r2"), ("P3", "s1")])

        twice = invariants.check_at_most_once([executions, executions])
        self.assertEqual([v.subject for v in twice], ["k0", "k1"])
        self.assertEqual(len(invariants.check_attempts([stats, stats])), 3)

        late = {**stats, "leaving_since": stats["execution_log"][1]["at"] - 2.0}
        self.assertEqual(properties(invariants.check_leavers([late])), ["P5"])
