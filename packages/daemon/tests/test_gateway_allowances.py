"""Tests of an entry's quota allowances and of its draws from the leader."""

import random
import unittest

from coltsfoothead.daemon.gateway import allowances
from coltsfoothead.kernel.traffic import document, quota

ORGANISATION = document.Organisation("film", (), None, document.Quota(1_000.0, 1_000.0, True))


class FakeLeader:
    """Answers draws with `granted` and records them."""

    def __init__(self, granted):
        self.granted = granted
        self.draws = []

    async def draw(self, organisation, amount):
        self.draws.append((organisation, amount))
        return self.granted


class AllowancesTest(unittest.IsolatedAsyncioTestCase):
    def grant_allowance(self, granted, grant=100.0):
        leader = FakeLeader(granted)
        entry_allowances = allowances.Allowances(random.Random(1), leader.draw)
        entry_allowances.renew({"film": quota.Grant(grant)}, 0.0)
        return entry_allowances, leader

    async def test_an_amount_within_the_allowance_is_not_drawn(self):
        """Guards against a round trip to the leader for each request."""
        entry_allowances, leader = self.grant_allowance(True)
        self.assertTrue(await entry_allowances.admit(ORGANISATION, 60.0))
        self.assertEqual(leader.draws, [])
        self.assertEqual(entry_allowances.pop_spent(), {"film": 60.0})

    async def test_a_long_prompt_is_drawn_from_the_leader(self):
        """Guards against refusing a prompt that exceeds the entry's allowance but not the quota."""
        entry_allowances, leader = self.grant_allowance(True)
        self.assertTrue(await entry_allowances.admit(ORGANISATION, 600.0))
        self.assertEqual(leader.draws, [("film", 600.0)])
        # The leader has already charged the drawn amount, so it is not reported as spent.
        self.assertEqual(entry_allowances.pop_spent(), {})
        self.assertTrue(await entry_allowances.admit(ORGANISATION, 90.0))

    async def test_a_drawn_request_that_did_not_run_is_refunded(self):
        """Guards against refused requests that use up a quota."""
        entry_allowances, _ = self.grant_allowance(True)
        await entry_allowances.admit(ORGANISATION, 600.0)
        entry_allowances.refund(ORGANISATION, 600.0)
        self.assertEqual(entry_allowances.pop_spent(), {"film": -600.0})

    async def test_a_flood_does_not_reach_the_leader(self):
        """Guards against a draw for each request of an organisation at many times its rate."""
        entry_allowances, leader = self.grant_allowance(False)
        admitted = [await entry_allowances.admit(ORGANISATION, 200.0) for _ in range(50)]
        self.assertFalse(any(admitted))
        self.assertEqual(len(leader.draws), 1)
        self.assertTrue(await entry_allowances.admit(ORGANISATION, 50.0))

    async def test_without_a_leader_the_allowance_decides(self):
        """Guards against refusing all long prompts while there is no leader."""
        entry_allowances, _ = self.grant_allowance(None, grant=500.0)
        self.assertTrue(await entry_allowances.admit(ORGANISATION, 501.0))
        self.assertFalse(await entry_allowances.admit(ORGANISATION, 501.0))


if __name__ == "__main__":
    unittest.main()
