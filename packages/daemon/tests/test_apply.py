"""Tests of changing the environment document through the operators' API of a daemon."""

import unittest

from coltsfoothead.testsupport import cluster, harness


class ApplyTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_document_with_an_unknown_policy_is_refused(self):
        """Guards against accepting a document whose unknown policy makes every request fail."""
        text = cluster.document(extra='[policies]\nrouting = "nosuch"\n')
        async with harness.Harness() as children:
            single_daemon = cluster.Cluster(children, [cluster.DaemonSpec("d1", "home-a")])
            await single_daemon.start_daemons()
            refused = await single_daemon.apply("d1", text, "change-1")
            self.assertEqual("invalid", refused["outcome"])
            self.assertIn("$.policies.routing", refused["problem"])
            accepted = await single_daemon.apply("d1", cluster.document(), "change-2", wait=False)
            self.assertEqual(("accepted", 1), (accepted["outcome"], accepted["version"]))


if __name__ == "__main__":
    unittest.main()
