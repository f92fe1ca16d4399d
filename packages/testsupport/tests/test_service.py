"""Tests of the fake plain service and the web server below it."""

import asyncio
import sys
import unittest

from coltsfoothead.testsupport import caller, service, webclient


class ServiceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):  # noqa: N802
        self.service = service.Service()
        self.address = await self.service.start()
        self.addAsyncCleanup(self.service.close)
        self.caller = caller.Caller([self.address])

    async def control(self, **verbs):
        await webclient.fetch(self.address, "POST", "/control", json=verbs)

    async def executions(self):
        return (await webclient.fetch(self.address, "GET", "/executions")).json()

    async def test_lost_answers_are_executions_and_closed_connections_are_not(self):
        """Guards against counting that would hide a double execution."""
        await self.control(lose_answers=1)
        lost = await self.caller.call("parts", "orders", body={"part": 4}, key="k1")
        self.assertEqual(lost.parts[0].ended, "broken")
        await self.caller.repeat(lost)
        await self.control(close_before_reading=1)
        closed = await self.caller.call("parts", "orders", body={"key": "k2"})
        self.assertEqual(closed.parts[0].ended, "broken")
        self.assertEqual((await self.executions())["executions"], {"k1": 2})

    async def test_echo_status_and_size(self):
        """Guards against answers that cannot be matched to their request."""
        await self.control(statuses=[503], large_answer_bytes=100_000)
        record = await self.caller.call("parts", "/holds/7?x=1", body={"key": "k3"})
        self.assertEqual(record.status, 503)
        answer = webclient.Fetched(0, {}, record.parts[0].body).json()
        self.assertEqual(answer["path"], "/services/parts/holds/7")
        self.assertEqual((answer["query"], answer["body"]), ({"x": "1"}, '{"key":"k3"}'))
        self.assertEqual(len(answer["padding"]), 100_000)
        self.assertEqual((await self.executions())["executions"], {"k3": 1})

    async def test_one_connection_carries_several_requests(self):
        """Guards against a server that closes or mixes up kept-alive connections."""
        connection = await webclient.Connection.open(self.address)
        for number in range(3):
            await connection.send("POST", f"/item/{number}", json={"n": number})
            answer = webclient.Fetched(200, {}, await connection.read()).json()
            self.assertEqual(answer["path"], f"/item/{number}")
        connection.close()

    async def test_it_runs_as_a_process(self):
        """Guards against a command line that does not state its address."""
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "coltsfoothead.testsupport.service", "--listen", "127.0.0.1:0"),
            stdout=asyncio.subprocess.PIPE,
        )
        try:
            line = (await child.stdout.readline()).decode().split()
            self.assertEqual(line[0], "listening")
            reply = await webclient.fetch(line[1], "GET", "/any")
            self.assertEqual(reply.json()["method"], "GET")
            child.terminate()
            self.assertEqual(await child.wait(), 0)
        finally:
            if child.returncode is None:
                child.kill()
