"""Tests of the `Supersede` command, by which the document with the highest version wins."""

import random
import unittest

import machine_builders as builders

from coltsfoothead.coordination import configuration
from coltsfoothead.coordination.machine import host


def supersede(version, text):
    """Returns a command that stores `text` as the document of `version`."""
    return configuration.Supersede("operator", version, text.encode(), 0)


class HighestVersionTest(unittest.TestCase):
    def setUp(self):
        self.log = builders.Log(state_machines=host.CONTROL_STATE_MACHINES)
        self.state = self.log.machine.state(configuration.NAME)

    def test_other_content_under_the_current_version_changes_nothing(self):
        """Guards against two operators whose documents are both accepted under one version."""
        self.assertEqual(
            self.log(supersede(7, "x")), configuration.Accepted(7, builders.digest("x"))
        )
        superseded = configuration.Superseded(7, builders.digest("x"))
        self.assertEqual(self.log(supersede(7, "y")), superseded)
        self.assertEqual(self.log(supersede(7, "x")), superseded)
        self.assertEqual(self.log(supersede(3, "z")), superseded)
        self.assertEqual(self.state.current.content, b"x")

    def test_any_order_of_arrival_ends_with_the_highest(self):
        """Guards against a delayed older change that reverts a newer one."""
        for seed in range(50):
            versions = list(range(1, 20))
            random.Random(seed).shuffle(versions)
            log = builders.Log(state_machines=host.CONTROL_STATE_MACHINES)
            highest_version = 0
            for version in versions:
                log(supersede(version, f"document {version}"))
                current = log.machine.state(configuration.NAME).current
                self.assertGreaterEqual(current.version, highest_version)
                highest_version = current.version
            copied = log.copy().machine.state(configuration.NAME).current
            self.assertEqual((copied.version, copied.content), (19, b"document 19"))

    def test_a_document_above_the_limit_is_refused_before_it_is_stored(self):
        """Guards against a stored document that is too large for replicas to distribute."""
        limit = configuration.Settings().document_limit_bytes
        answer = self.log(supersede(1, "x" * (limit + 1)))
        self.assertEqual(answer, configuration.DocumentTooLarge(limit + 1, limit))
        self.assertEqual(self.state.current.version, 0)


if __name__ == "__main__":
    unittest.main()
