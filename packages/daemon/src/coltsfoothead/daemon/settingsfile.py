"""Reads and decodes settings files into typed tables."""

import pathlib
from typing import TypeVar

import msgspec

from coltsfoothead.daemon import errors

__all__ = ["decode", "read"]

_Kind = TypeVar("_Kind", bound=msgspec.Struct)


def read(path: str | pathlib.Path) -> str:
    """Returns the text of a settings file.

    Raises
    ------
    SettingsError
        If the file cannot be read.
    """
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(str(path), "$", f"cannot be read: {error}") from error


def decode(text: str, source: str, kind: type[_Kind]) -> _Kind:
    """Returns the tables in the text of a settings file.

    Raises
    ------
    SettingsError
        Naming the file, the key and what was expected.
    """
    try:
        return msgspec.toml.decode(text, type=kind)
    except msgspec.ValidationError as error:
        problem, _, key = str(error).partition(" - at ")
        raise errors.SettingsError(source, key.strip("`") or "$", problem) from error
    except msgspec.DecodeError as error:
        raise errors.SettingsError(source, "$", f"not valid TOML: {error}") from error
