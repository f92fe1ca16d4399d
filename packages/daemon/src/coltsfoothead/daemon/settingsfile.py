"""Reads and decodes settings files into typed tables."""

import pathlib
from typing import TypeVar

import msgspec

from coltsfoothead.daemon import errors

__all__ = ["decode", "read"]

_Table = TypeVar("_Table", bound=msgspec.Struct)


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


def decode(text: str, source: str, table_type: type[_Table]) -> _Table:
    """Returns the text of a settings file, decoded as `table_type`.

    Raises
    ------
    SettingsError
        If the text is not valid; it names the file, the key and what was expected.
    """
    try:
        return msgspec.toml.decode(text, type=table_type)
    except msgspec.ValidationError as error:
        problem, _, key = str(error).partition(" - at ")
        raise errors.SettingsError(source, key.strip("`") or "$", problem) from error
    except msgspec.DecodeError as error:
        raise errors.SettingsError(source, "$", f"not valid TOML: {error}") from error
