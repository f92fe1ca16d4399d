"""Tests of the membership task over loopback links."""

import asyncio
import contextlib
import io
import pathlib
import random
import runpy
import time
import unittest

from coltsfoothead.coordination.membership import members, swim, task
from coltsfoothead.coordination.transport import links

EXAMPLE = pathlib.Path(__file__).parent.parent / "examples" / "membership.py"
TIMEOUT_SECONDS = 60


class MembershipTaskTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, name, seeds, incarnation=1):
        endpoint = links.Links("c", name, incarnation, "127.0.0.1:0")
        address = await endpoint.start()
        self.addAsyncCleanup(endpoint.stop, 0)
        local_member = members.Member(name, address, "home", "z1", incarnation)
        detector = swim.Detector(local_member, time.monotonic(), random.Random(1))
        membership = task.Membership(endpoint, detector, seeds)
        membership.start()
        self.addAsyncCleanup(membership.stop)
        return endpoint, membership

    async def wait_until(self, condition):
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not condition():
                await asyncio.sleep(0.02)

    async def test_crash_and_restart_on_another_port(self):
        """Guards against a crash that is not published and a new address that is not used."""
        _, a = await self.start("a", [])
        b_links, b = await self.start("b", [a.members["a"].address])
        await self.wait_until(lambda: "b" in a.members and "a" in b.members)
        changes = a.subscribe()
        await b.stop()
        await b_links.stop(0)
        states = [(await asyncio.wait_for(changes.get(), TIMEOUT_SECONDS)).member.state]
        states.append((await asyncio.wait_for(changes.get(), TIMEOUT_SECONDS)).member.state)
        self.assertEqual(states, [members.State.SUSPECT, members.State.DEAD])
        _, b = await self.start("b", [a.members["a"].address], incarnation=2)
        await self.wait_until(lambda: a.members["b"].state is members.State.ALIVE)
        await self.wait_until(lambda: "a" in b.members)
        self.assertEqual(a.members["b"].incarnation, 2)

    async def test_example(self):
        """Guards against an example that no longer runs, and a leave before the join's answer."""
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            main = runpy.run_path(str(EXAMPLE), run_name="example")["main"]
            await asyncio.wait_for(main(), TIMEOUT_SECONDS)
        self.assertEqual(output.getvalue().split("\n")[-2], "c left")


if __name__ == "__main__":
    unittest.main()
