"""Tests of the plug-in registry."""

import unittest

from coltsfoothead.kernel import errors, registry


class RegistryTest(unittest.TestCase):
    def test_a_second_policy_of_the_same_name_is_refused(self):
        """Guards against a policy silently replacing another one."""
        registry.register("sample", "first")(len)
        with self.assertRaises(errors.DuplicatePluginError):
            registry.register("sample", "first")(max)

    def test_an_unknown_name_lists_the_known_ones(self):
        """Guards against an error that leaves the operator guessing."""
        registry.register("listed", "one")(len)
        with self.assertRaisesRegex(errors.UnknownPluginError, "known: one"):
            registry.resolve("listed", "two")
