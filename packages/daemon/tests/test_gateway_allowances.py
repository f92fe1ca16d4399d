"""Tests of an entry's allowances and of the draws from the leader."""

import random
import unittest

from coltsfoothead.daemon.gateway import allowances
from coltsfoothead.kernel.traffic import document, quota

ORGANISATION = document.Organisation("film", (), None, document.Quota(1_000.0, 1_000.0, True))


class Leader:
    """Answers draws with `given` and counts them."""

    def __init__(self, given):
        self.given = given
        self.draws = []

    async def draw(self, organisation, amount):
        self.draws.append((organisation, amount))
        return self.given


class AllowancesTest(unittest.IsolatedAsyncioTestCase):
    def entry(self, given, grant=100.0):
        leader = Leader(given)
        held = allowances.Allowances(random.Random(1), leader.draw)
        held.renew({"film": quota.Grant(grant)}, 0.0)
        return held, leader

    async def test_what_the_allowance_covers_is_not_drawn(self):
        """Guards against a round trip to the leader for each request."""
        held, leader = self.entry(True)
        self.assertTrue(await held.admit(ORGANISATION, 60.0))
        self.assertEqual(leader.draws, [])
        self.assertEqual(held.take_spent(), {"film": 60.0})

    async def test_a_long_prompt_is_drawn_from_the_leader(self):
        """Load pattern: a prompt larger than the entry's allowance, within the quota."""
        held, leader = self.entry(True)
        self.assertTrue(await held.admit(ORGANISATION, 600.0))
        self.assertEqual(leader.draws, [("film", 600.0)])
        # The leader has counted it already.
        self.assertEqual(held.take_spent(), {})
        self.assertTrue(await held.admit(ORGANISATION, 90.0))

    async def test_a_drawn_request_that_did_not_run_is_given_back(self):
        """Guards against a quota that refusals use up."""
        held, _ = self.entry(True)
        await held.admit(ORGANISATION, 600.0)
        held.give_back(ORGANISATION, 600.0)
        self.assertEqual(held.take_spent(), {"film": -600.0})

    async def test_a_flood_does_not_reach_the_leader(self):
        """Load pattern: one organisation at many times its rate."""
        held, leader = self.entry(False)
        answers = [await held.admit(ORGANISATION, 200.0) for _ in range(50)]
        self.assertFalse(any(answers))
        self.assertEqual(len(leader.draws), 1)
        self.assertTrue(await held.admit(ORGANISATION, 50.0))

    async def test_without_a_leader_the_allowance_decides(self):
        """Guards against refusing all long prompts while there is no leader."""
        held, _ = self.entry(None, grant=500.0)
        self.assertTrue(await held.admit(ORGANISATION, 501.0))
        self.assertFalse(await held.admit(ORGANISATION, 501.0))


if __name__ == "__main__":
    unittest.main()
