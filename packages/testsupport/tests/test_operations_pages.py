"""Tests that the pages in docs agree with the code, and of the operators' API itself."""

import pathlib
import re
import types
import typing
import unittest

import msgspec
import typer.main

from coltsfoothead.cli import errors, exitcodes, main
from coltsfoothead.daemon import settings
from coltsfoothead.kernel import environment, operationerrors, operations

DOCS = pathlib.Path(__file__).parents[3] / "docs"

# Options of every command, described once on the page.
COMMON_OPTIONS = {"--json", "--help"}


def sections(page):
    """Returns the sections of a page by the text of their heading, without back quotes."""
    text = (DOCS / page).read_text(encoding="utf-8")
    parts = re.split(r"^#+ (.*)$", text, flags=re.MULTILINE)
    return {head.strip("`"): body for head, body in zip(parts[1::2], parts[2::2], strict=True)}


def rows(text):
    """Returns the cells of the body rows of a section's table."""
    lines = [line for line in text.splitlines() if line.startswith("|")][2:]
    return [tuple(cell.strip() for cell in line.strip("|").split("|")) for line in lines]


def option_rows(text):
    """Returns the option names in the table of a section."""
    return {row[0].strip("`") for row in rows(text)}


def schema(struct, path="", heading="Top level"):
    """Returns {heading: {key: default}} of a struct and the tables below it."""
    result = {heading: {}}
    hints = typing.get_type_hints(struct)
    for field in msgspec.structs.fields(struct):
        below = f"{path}.{field.name}".strip(".")
        result[heading][field.name] = default_of(field, below)
        for table, is_list in tables(hints[field.name]):
            result |= schema(table, below, f"[[{below}]]" if is_list else f"[{below}]")
    return result


def tables(hint):
    """Yields the table types in a hint, with whether they are in a list."""
    if isinstance(hint, type) and issubclass(hint, msgspec.Struct):
        yield hint, False
    for argument in typing.get_args(hint):
        for table, _ in tables(argument):
            yield table, typing.get_origin(hint) is tuple


def default_of(field, path):
    """Returns the default as the pages state it."""
    match field.default:
        case msgspec.NODEFAULT:
            return "required"
        case None:
            return "none"
        case msgspec.Struct():
            return f"`[{path}]`"
        case value:
            return f"`{msgspec.json.encode(value).decode()}`"


def commands(group, prefix=()):
    """Yields name and command of every command below a group."""
    for name, command in group.commands.items():
        if hasattr(command, "commands"):
            yield from commands(command, (*prefix, name))
        else:
            yield " ".join((*prefix, name)), command


def options(command):
    """Returns the long option names of a command."""
    return {name for each in command.params for name in each.opts if name.startswith("--")}


class PagesTest(unittest.TestCase):
    def test_every_key_and_default_is_on_its_page(self):
        """Guards against keys that are documented wrongly, not at all, or no longer exist."""
        for page, struct in (
            ("environment.md", environment.Environment),
            ("settings.md", settings.Settings),
        ):
            documented = {
                head: {row[0].strip("`"): row[2] for row in rows(body)}
                for head, body in sections(page).items()
                if head == "Top level" or head.startswith("[")
            }
            self.assertEqual(schema(struct), documented, page)
            self.assertFalse(
                [row for body in sections(page).values() for row in rows(body) if not all(row)]
            )

    def test_the_example_documents_are_valid(self):
        """Guards against an example that an operator cannot copy."""
        for page, decode in (
            ("environment.md", environment.decode),
            ("settings.md", settings.decode),
        ):
            example = (DOCS / page).read_text(encoding="utf-8").split("```")[1].removeprefix("toml")
            decode(example, page)

    def test_every_command_and_option_is_on_the_page(self):
        """Guards against commands or options that are undocumented or no longer exist."""
        root = typer.main.get_command(main.app)
        page = sections("cli.md")
        known = dict(commands(root))
        headings = set(page) - {"Command line", "Exit codes"}
        headings = {head for head in headings if not head.startswith("Commands ")}
        self.assertEqual(set(known), headings)
        self.assertEqual(options(root) - COMMON_OPTIONS, option_rows(page["Command line"]))
        for name, command in known.items():
            self.assertIn("--json", options(command))
            self.assertEqual(options(command) - COMMON_OPTIONS, option_rows(page[name]), name)
            self.assertIn("```console\n$ coltsfoothead", page[name], name)

    def test_every_exit_code_is_on_the_page(self):
        """Guards against scripts relying on codes that have changed."""
        expected = [
            (str(int(code)), f"`{code.name.lower()}`", text)
            for code, text in exitcodes.MEANINGS.items()
        ]
        self.assertEqual(expected, rows(sections("cli.md")["Exit codes"]))
        self.assertEqual(set(exitcodes.ExitCode), set(exitcodes.MEANINGS))

    def test_every_error_code_is_on_the_page(self):
        """Guards against an operator meeting a code that no page explains."""
        page = sections("errors.md")
        expected = [
            (f"`{code}`", str(each.status), each.text, each.action)
            for code, each in operationerrors.MEANINGS.items()
        ]
        self.assertEqual(expected, rows(page["Operators' API"]))
        self.assertEqual(set(operationerrors.ErrorCode), set(operationerrors.MEANINGS))
        kinds = errors.CliError.__subclasses__()
        codes = {(f"`{kind.code}`", str(int(kind.exit_code))) for kind in kinds}
        codes -= {("`internal`", "8")}  # RefusedError takes its code from the daemon.
        codes.add(("`interrupted`", "130"))
        self.assertEqual(codes, {row[:2] for row in rows(page["Command line"])})

    def test_the_words_of_the_project_are_in_the_glossary(self):
        """Guards against a term that a new operator cannot look up."""
        words = {row[0] for row in rows(sections("glossary.md")["Glossary"])}
        self.assertLessEqual({"vm", "zone", "organisation", "upstream", "guard", "voter"}, words)


class OperationsTest(unittest.TestCase):
    def structs(self, suffix):
        """Returns the structs of the API whose name ends with a suffix."""
        found = [getattr(operations, name) for name in operations.__all__ if name.endswith(suffix)]
        self.assertTrue(found)
        return found

    def test_requests_refuse_and_answers_ignore_unknown_keys(self):
        """Guards against ignoring a misspelt option, and against old clients failing."""
        for kind in self.structs("Request"):
            self.assertTrue(kind.__struct_config__.forbid_unknown_fields, kind)
        for suffix in ("Answer", "Entry", "Status", "Summary", "Detail"):
            for kind in self.structs(suffix):
                self.assertFalse(kind.__struct_config__.forbid_unknown_fields, kind)
                self.assertTrue(kind.__struct_config__.frozen, kind)

    def test_open_sets_of_names_are_plain_strings(self):
        """Guards against an older command line failing on a state or code that is new to it."""
        self.assertEqual(str, typing.get_type_hints(operations.ErrorDetail)["code"])
        self.assertEqual(
            str | types.NoneType, typing.get_type_hints(operations.StatusAnswer)["not_ready"]
        )
        new = b'{"error": {"code": "new", "message": "m", "added": 1}}'
        self.assertEqual("new", msgspec.json.decode(new, type=operations.ErrorAnswer).error.code)

    def test_malformed_requests_are_refused(self):
        """Guards against a change without a usable ID, author or expected state."""
        good = {
            "change_id": "c1",
            "author": "ann",
            "expected_version": 0,
            "expected_digest": "",
            "document": "",
        }
        msgspec.convert(good, operations.ApplyRequest)
        for wrong in (
            *({"change_id": ""}, {"change_id": "c1\n"}, {"author": ""}, {"extra": 1}),
            *({"expected_version": -1}, {"expected_digest": "a" * 63}, {"expected_version": "0"}),
        ):
            with self.subTest(wrong), self.assertRaises(msgspec.ValidationError):
                msgspec.convert(good | wrong, operations.ApplyRequest)
        for wrong in ({"id": "a", "address": "host:1"}, {"id": "../a"}, {"id": "a", "zone": ""}):
            with self.subTest(wrong), self.assertRaises(msgspec.ValidationError):
                msgspec.convert(wrong, operations.VoterRequest)
