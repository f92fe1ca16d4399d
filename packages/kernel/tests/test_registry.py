"""Tests of the plug-in registry."""

import unittest

from coltsfoothead.kernel import environment, errors, policycheck, registry


class RegistryTest(unittest.TestCase):
    def test_a_second_policy_of_the_same_name_is_refused(self):
        """Guards against a policy silently replacing another one."""
        registry.register("sample", "first")(len)
        with self.assertRaises(errors.DuplicatePluginError):
            registry.register("sample", "first")(max)

    def test_an_unknown_name_lists_the_known_ones(self):
        """Guards against an error that doesn't list the valid names."""
        registry.register("listed", "one")(len)
        with self.assertRaisesRegex(errors.UnknownPluginError, "known: one"):
            registry.resolve("listed", "two")

    def test_a_document_that_names_an_unknown_policy_is_refused(self):
        """Guards against accepting a document with which every request fails in the daemon."""
        policycheck.check(environment.decode('environment = "trial"'))
        for kind in environment.Policies.__struct_fields__:
            text = f'environment = "trial"\n[policies]\n{kind} = "nosuch"'
            with self.subTest(kind), self.assertRaises(environment.EnvironmentError) as caught:
                policycheck.check(environment.decode(text))
            self.assertEqual(f"$.policies.{kind}", caught.exception.key)
