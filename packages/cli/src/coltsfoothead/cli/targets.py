"""Resolves the addresses and token of a target from options, a targets file or the environment."""

import dataclasses
import os
import pathlib
import re

import msgspec

from coltsfoothead.cli import errors

__all__ = [
    "ADDRESS_VARIABLE",
    "TARGETS_FILE_VARIABLE",
    "TOKEN_FILE_VARIABLE",
    "Selection",
    "Target",
    "parse_addresses",
    "read_token",
    "resolve",
]

ADDRESS_VARIABLE = "COLTSFOOTHEAD_ADDRESS"
TOKEN_FILE_VARIABLE = "COLTSFOOTHEAD_TOKEN_FILE"
TARGETS_FILE_VARIABLE = "COLTSFOOTHEAD_TARGETS_FILE"

_ADDRESS = re.compile(r"(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):(\d{1,5})", re.ASCII)
_TOKEN = re.compile(r"[!-~]+")


class _Entry(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    addresses: tuple[str, ...]
    token_file: str


class _TargetsFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    targets: dict[str, _Entry]


@dataclasses.dataclass(frozen=True, slots=True)
class Selection:
    """Command-line options that select the target; None where an option was not given."""

    address: str | None = None
    token_file: str | None = None
    target: str | None = None
    targets_file: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Addresses to try in order, and the bearer token."""

    addresses: tuple[tuple[str, int], ...]
    token: str = dataclasses.field(repr=False)


def resolve(selection: Selection) -> Target:
    """Returns the selected target.

    Options take precedence over the named target, which takes precedence over environment
    variables.

    Raises
    ------
    UsageError
        If the target is missing, ambiguous or malformed, or a file cannot be read.
    """
    if selection.address and selection.target:
        raise errors.UsageError("--address and --target exclude each other")
    addresses, token_file = selection.address, selection.token_file
    if selection.target:
        entry, folder = _find_named_target(selection)
        addresses = ",".join(entry.addresses)
        token_file = token_file or str(folder / entry.token_file)
    addresses = addresses or os.environ.get(ADDRESS_VARIABLE)
    token_file = token_file or os.environ.get(TOKEN_FILE_VARIABLE)
    if not addresses:
        raise errors.UsageError(f"no address: give --address, --target or {ADDRESS_VARIABLE}")
    if not token_file:
        raise errors.UsageError(f"no token: give --token-file or {TOKEN_FILE_VARIABLE}")
    return Target(parse_addresses(addresses), read_token(token_file))


def parse_addresses(text: str) -> tuple[tuple[str, int], ...]:
    """Returns the (host, port) pairs of a comma-separated list of IP:port."""
    found = []
    for part in text.split(","):
        match = _ADDRESS.fullmatch(part.strip())
        if not match or not 0 < int(match[2]) < 65536:
            raise errors.UsageError(f"expected IP:port, got {part.strip()!r}")
        found.append((match[1].strip("[]"), int(match[2])))
    return tuple(found)


def _find_named_target(selection: Selection) -> tuple[_Entry, pathlib.Path]:
    targets_file = selection.targets_file or os.environ.get(TARGETS_FILE_VARIABLE)
    if not targets_file:
        raise errors.UsageError(f"--target needs --targets-file or {TARGETS_FILE_VARIABLE}")
    path = pathlib.Path(targets_file)
    try:
        known_targets = msgspec.toml.decode(_read_text(path), type=_TargetsFile).targets
    except msgspec.MsgspecError as error:
        raise errors.UsageError(f"{path}: {error}") from error
    if selection.target not in known_targets:
        known_names = ", ".join(sorted(known_targets)) or "none"
        raise errors.UsageError(f"{path}: no target {selection.target!r}; known: {known_names}")
    return known_targets[selection.target], path.parent


def read_token(token_file: str | pathlib.Path) -> str:
    """Returns the token in a file; raises `UsageError` if it holds none."""
    token = _read_text(pathlib.Path(token_file)).strip()
    if not _TOKEN.fullmatch(token):
        raise errors.UsageError(f"{token_file}: expected one token of printable ASCII characters")
    return token


def _read_text(path: pathlib.Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.UsageError(f"{path}: cannot be read: {error}") from error
