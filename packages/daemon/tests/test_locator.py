"""Tests of the locator's wait for a call that another daemon runs."""

import asyncio
import types
import unittest

from coltsfoothead.coordination.membership import members
from coltsfoothead.daemon.serving import locator


class SilentLinks:
    """Links to a peer that never answers."""

    async def call(self, member, method, payload, timeout):
        await asyncio.Event().wait()


class JoinTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_join_ends_when_the_owner_is_dead(self):
        """Guards against a duplicate call that waits the full 60 s after its owner has died."""
        owner = types.SimpleNamespace(state=members.State.ALIVE)
        tested_locator = locator.Locator.__new__(locator.Locator)
        tested_locator._links, tested_locator._members = SilentLinks(), lambda: {"d1": owner}
        joining = asyncio.create_task(tested_locator.join("d1", "request"))
        await asyncio.sleep(0.05)
        self.assertFalse(joining.done())
        owner.state = members.State.DEAD
        async with asyncio.timeout(5.0):
            await joining


if __name__ == "__main__":
    unittest.main()
