"""Tests of the environment document's schema and of the rules for repeatable calls."""

import unittest

from coltsfoothead.kernel import environment

KEY = "a" * 64
OTHER_KEY = "b" * 64
BASE = 'environment = "trial"\n'


def organisation(name="acme", key=KEY, rest=""):
    """Returns the text of an organisation table."""
    return f'[[organisations]]\nname = "{name}"\nkey_sha256 = ["{key}"]\n{rest}'


# Case: document, key in the error, part of the problem.
MALFORMED = {
    "not TOML": ("environment", "$", "not valid TOML"),
    "unknown key": (BASE + "[budget]\nhourly = 1\n", "$.budget", "unknown field `hourly`"),
    "missing key": ("", "$", "missing required field `environment`"),
    "wrong type": (BASE + '[budget]\nmax_vms = "9"\n', "$.budget.max_vms", "Expected `int`"),
    "too small": (BASE + "[budget]\nmax_vms = 0\n", "$.budget.max_vms", "`int` >= 1"),
    "infinite": (BASE + "[budget]\nhourly_cost = inf\n", "$.budget.hourly_cost", "<= 1000000000.0"),
    "not a number": (BASE + "[budget]\nhourly_cost = nan\n", "$.budget.hourly_cost", "> 0.0"),
    "share": (BASE + "[targets]\nobjective = 1.01\n", "$.targets.objective", "<= 1.0"),
    "line feed in name": ('environment = "trial\\n"', "$.environment", "matching regex"),
    "path in name": ('environment = "../trial"', "$.environment", "matching regex"),
    "short digest": (BASE + organisation(key="abc"), "$.organisations[0].key_sha256[0]", "regex"),
    "no key": (
        BASE + '[[organisations]]\nname = "a"\nkey_sha256 = []\n',
        "$.organisations[0].key_sha256",
        "length >= 1",
    ),
    "undefined model": (
        BASE + organisation(rest='models = ["chat"]\n'),
        "$.organisations[0].models",
        "'chat' is not defined",
    ),
    "undefined service": (
        BASE + organisation(rest='services = ["hold"]\n'),
        "$.organisations[0].services",
        "'hold' is not defined",
    ),
    "model twice": (
        BASE + '[[models]]\nname = "m"\n[[models]]\nname = "m"\n',
        "$.models[1].name",
        "'m' is defined twice",
    ),
    "organisation twice": (
        BASE + organisation() + organisation(key=OTHER_KEY),
        "$.organisations[1].name",
        "'acme' is defined twice",
    ),
    "key of another": (
        BASE + organisation() + organisation("birch"),
        "$.organisations[1].key_sha256",
        "already used by organisation 'acme'",
    ),
    "relative rule": (
        BASE + '[[services]]\nname = "s"\nrepeatable = [{method = "POST", path = "q"}]\n',
        "$.services[0].repeatable[0].path",
        "matching regex",
    ),
}


class DecodeTest(unittest.TestCase):
    def test_malformed_documents_name_file_key_and_expectation(self):
        """Guards against accepting a malformed document, and against errors without a location."""
        for case, (text, key, expected) in MALFORMED.items():
            with self.subTest(case):
                with self.assertRaises(environment.EnvironmentError) as caught:
                    environment.decode(text, "env.toml")
                self.assertEqual(("env.toml", key), (caught.exception.source, caught.exception.key))
                self.assertIn(expected, caught.exception.problem)
                self.assertTrue(str(caught.exception).startswith(f"env.toml: {key}: "))

    def test_the_error_does_not_contain_a_whole_key_digest(self):
        """Guards against error messages that leak key digests into logs."""
        with self.assertRaises(environment.EnvironmentError) as caught:
            environment.decode(BASE + organisation() + organisation("birch"))
        self.assertNotIn(KEY, str(caught.exception))

    def test_a_whole_document_is_decoded(self):
        """Guards against rejecting valid references between tables."""
        text = BASE + organisation(rest='models = ["m"]\nservices = ["s"]\n')
        text += '[[models]]\nname = "m"\n[[services]]\nname = "s"\n'
        document = environment.decode(text)
        self.assertEqual(("m",), document.organisation("acme").models)
        self.assertIsNone(document.model("other"))


class RepeatableTest(unittest.TestCase):
    def setUp(self):
        rule = environment.CallRule(method="POST", path="/quotes")
        self.service = environment.Service(name="desk", repeatable=(rule,))

    def test_safe_methods_and_matching_rules_are_repeatable(self):
        """Guards against a safe call losing its retries."""
        for method, path in (("GET", "/holds"), ("POST", "/quotes"), ("POST", "/quotes/7.a@b/")):
            self.assertTrue(environment.is_repeatable(self.service, method, path), path)

    def test_ambiguous_paths_are_not_repeatable(self):
        """Guards against repeating a call that a service resolves outside the allowed prefix."""
        ambiguous_paths = [
            *("/quotes/../holds", "/quotes/..", "/quotes/./../holds", "/quotes//holds"),
            *("/quotes/%2e%2e/holds", "/quotes%2f..%2fholds", "/quotes/..;/holds"),
            *("/quotes/..\\holds", "/quotes/;x/../holds", "/quotes/\n", "/quotes\x00"),
            *("/quotes/\u2025/holds", "/quotes?x", "/quotes#x", "/quotesx", "/Quotes", "quotes"),
            *("", "/", "/holds", "//quotes", "http://desk/quotes"),
        ]
        for path in ambiguous_paths:
            with self.subTest(path):
                self.assertFalse(environment.is_repeatable(self.service, "POST", path))

    def test_other_methods_are_not_repeatable(self):
        """Guards against a rule for one method covering another."""
        for method in ("PUT", "DELETE", "post", "get", ""):
            self.assertFalse(environment.is_repeatable(self.service, method, "/quotes"), method)

    def test_a_rule_for_the_root_covers_plain_paths_only(self):
        """Guards against the default rule path allowing encoded paths."""
        service = environment.Service(
            name="desk", repeatable=(environment.CallRule(method="POST"),)
        )
        self.assertTrue(environment.is_repeatable(service, "POST", "/any/path"))
        self.assertFalse(environment.is_repeatable(service, "POST", "/any/%2e%2e"))
