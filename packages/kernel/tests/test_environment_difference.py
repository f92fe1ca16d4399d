"""Tests of the difference of two environment documents."""

import unittest

from coltsfoothead.kernel import difference, environment

KEYS = ["0123456789" + letter * 54 for letter in "abc"]

OLD = f"""
environment = "trial"
budget = {{hourly_cost = 10.0}}
[[models]]
name = "chat"
versions = ["1", "2"]
[[models]]
name = "embed"
[[services]]
name = "desk"
repeatable = [{{method = "POST", path = "/quotes"}}]
[[organisations]]
name = "acme"
key_sha256 = ["{KEYS[0]}"]
models = ["chat"]
"""

NEW = f"""
environment = "trial"
budget = {{hourly_cost = 12.5}}
[[services]]
name = "desk"
repeatable = [{{method = "PUT", path = "/quotes"}}]
[[organisations]]
name = "birch"
key_sha256 = ["{KEYS[2]}"]
[[organisations]]
name = "acme"
key_sha256 = ["{KEYS[1]}"]
models = ["chat"]
weight = 2.0
[[models]]
name = "chat"
versions = ["3", "2"]
"""


def lines(old, new):
    """Returns the rendered changes between two texts; None stands for no document."""
    decoded = [text and environment.decode(text) for text in (old, new)]
    return [difference.render(change) for change in difference.difference(*decoded)]


class DifferenceTest(unittest.TestCase):
    def test_entries_are_matched_by_name(self):
        """Guards against reordered entries hiding changes or being reported as changes."""
        found = lines(OLD, NEW)
        starts = [line.split(": ")[0] for line in found]
        self.assertEqual(
            [
                *("~ budget.hourly_cost", "+ models[chat].versions", "- models[chat].versions"),
                *("- models[embed]", "+ organisations[acme].key_sha256"),
                *("- organisations[acme].key_sha256", "~ organisations[acme].weight"),
                *("+ organisations[birch]", "+ services[desk].repeatable"),
                "- services[desk].repeatable",
            ],
            starts,
        )
        self.assertIn("~ budget.hourly_cost: 10.0 -> 12.5", found)
        self.assertIn('+ models[chat].versions: "3"', found)

    def test_key_digests_are_never_shown_in_full(self):
        """Guards against key digests reaching terminals and logs."""
        for old, new in ((OLD, NEW), (NEW, OLD), (None, NEW), (OLD, None)):
            text = "\n".join(lines(old, new))
            self.assertIn('"01234567..."', text)
            self.assertNotIn(KEYS[0][:12], text)

    def test_equal_documents_have_no_difference(self):
        """Guards against order, comments or explicit defaults being reported as changes."""
        reordered = OLD.replace('["1", "2"]', '["2", "1"]') + "weight = 1.0 # default\n"
        self.assertEqual([], lines(OLD, reordered))
        self.assertEqual([], lines(None, None))

    def test_a_first_document_is_all_added(self):
        """Guards against the first change of an installation being shown as empty."""
        found = lines(None, OLD)
        self.assertTrue(all(line.startswith("+ ") for line in found))
        self.assertIn('+ environment: "trial"', found)
        self.assertEqual(2, sum(line.startswith("+ models[") for line in found))
