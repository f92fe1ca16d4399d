"""Tests that the policies named in a document are checked before they are needed."""

import unittest

from coltsfoothead.kernel import environment, policycheck


class PolicyCheckTest(unittest.TestCase):
    def test_the_default_policies_exist(self):
        """Guards against defaults that no plug-in registers."""
        policycheck.check_policies(environment.decode('environment = "trial"\n'))

    def test_an_unknown_policy_is_named_with_those_that_exist(self):
        """Guards against a document that is accepted and then fails every request."""
        text = 'environment = "trial"\n[policies]\nrouting = "nearest"\n'
        with self.assertRaises(environment.EnvironmentError) as caught:
            policycheck.check_policies(environment.decode(text), "trial.toml")
        self.assertEqual(caught.exception.key, "$.policies.routing")
        self.assertIn("completion", caught.exception.problem)
