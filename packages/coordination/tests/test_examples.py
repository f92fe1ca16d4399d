"""Runs the examples of the package."""

import contextlib
import io
import pathlib
import runpy
import unittest

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"


class ExampleTest(unittest.TestCase):
    def test_the_examples_run(self):
        """Guards against examples that no longer fit the interface, or grow long."""
        lines = {
            "configuration": "valid at 12 s: True - at 12.5 s: False",
            "directory": "2 s without renewal: []",
            "guard": "the old owner is refused: superseded",
            "lease": "second holds with fence 4",
            "ledger": "deposit",
            "log": "Granted(fence=",
            "membership": "c left",
            "transport": "hello b",
        }
        self.assertEqual(set(lines), {path.stem for path in EXAMPLES.glob("*.py")})
        for example, line in lines.items():
            path = EXAMPLES / f"{example}.py"
            output = io.StringIO()
            with contextlib.redirect_stdout(output):
                runpy.run_path(str(path), run_name="__main__")
            self.assertIn(line, output.getvalue())
            self.assertLess(len(path.read_text(encoding="utf-8").splitlines()), 40)
