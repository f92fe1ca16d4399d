"""Tests of waiting for a call that another daemon runs."""

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
    async def test_ends_when_the_owner_is_given_up(self):
        """Guards against a duplicate that is held until the timeout of 60 s after a death."""
        owner = types.SimpleNamespace(state=members.State.ALIVE)
        found = locator.Locator.__new__(locator.Locator)
        found._links, found._members = SilentLinks(), lambda: {"d1": owner}
        joining = asyncio.create_task(found.join("d1", "request"))
        await asyncio.sleep(0.05)
        self.assertFalse(joining.done())
        owner.state = members.State.DEAD
        async with asyncio.timeout(5.0):
            await joining


if __name__ == "__main__":
    unittest.main()
