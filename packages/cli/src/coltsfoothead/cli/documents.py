"""Reads and checks environment documents, and renames the environment in them."""

import dataclasses
import pathlib
import re

import msgspec

from coltsfoothead.cli import errors
from coltsfoothead.kernel import environment, policycheck

__all__ = ["Document", "load", "parse", "rename"]

_NAME_LINE = re.compile(
    r"""^([ \t]*(?:environment|"environment"|'environment')[ \t]*=[ \t]*)("[^"\n]*"|'[^'\n]*')""",
    re.MULTILINE,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """A decoded document with its text, which is applied as it was written."""

    text: str
    content: environment.Environment


def load(path: pathlib.Path) -> Document:
    """Reads and checks a document file.

    Raises
    ------
    EnvironmentError
        If the file cannot be read or the document is invalid; names the file, the key and the
        problem.
    """
    try:
        # Text mode would translate line ends and thereby change the digest.
        text = path.read_bytes().decode("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise environment.EnvironmentError(str(path), "$", f"cannot be read: {error}") from error
    document = parse(text, str(path))
    policycheck.check(document.content, str(path))
    return document


def parse(text: str, source: str) -> Document:
    """Decodes the text of a document; error messages name it `source`."""
    return Document(text, environment.decode(text, source))


def rename(document: Document, name: str) -> Document:
    """Returns the document with another `environment` name and the rest of its text unchanged.

    Raises
    ------
    InvalidDocumentError
        If the name cannot be replaced without changing other content.
    """
    if document.content.environment == name:
        return document
    expected = msgspec.structs.replace(document.content, environment=name)
    # A match may lie inside a multi-line string or another table, so each candidate is decoded
    # and compared.
    for match in _NAME_LINE.finditer(document.text):
        start, end = match.span(2)
        text = f'{document.text[:start]}"{name}"{document.text[end:]}'
        try:
            content = environment.decode(text)
        except environment.EnvironmentError:
            continue
        if content == expected:
            return Document(text, content)
    raise errors.InvalidDocumentError(f"the environment's name cannot be changed to {name!r}")
