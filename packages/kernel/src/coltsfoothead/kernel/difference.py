"""Structural difference of two environment documents.

Named entries are matched by name, so that moving one is no difference. Other lists are compared as
sets. Key digests are shortened, since a difference is printed and logged.
"""

from typing import Any

import msgspec

from coltsfoothead.kernel import environment

__all__ = ["Change", "difference", "render"]

_DIGEST_CHARACTERS = 8

_SYMBOLS = {"added": "+", "removed": "-", "changed": "~"}


class Change(msgspec.Struct, frozen=True):
    """One difference: `kind` is ``added``, ``removed`` or ``changed``.

    `path` names the place, for example ``organisations[acme].weight``. `old` and `new` are plain
    values with key digests shortened; the one that does not exist is None.
    """

    kind: str
    path: str
    old: Any = None
    new: Any = None


def difference(
    old: environment.Environment | None, new: environment.Environment | None
) -> tuple[Change, ...]:
    """Returns the changes that lead from `old` to `new`, sorted by path.

    Parameters
    ----------
    old, new : Environment or None
        None stands for a document that does not exist.

    Examples
    --------
    >>> first = environment.decode('environment = "trial"')
    >>> second = environment.decode('environment = "production"')
    >>> [render(change) for change in difference(first, second)]
    ['~ environment: "trial" -> "production"']
    """
    changes: list[Change] = []
    _compare("", _plain(old), _plain(new), changes)
    return tuple(sorted(changes, key=lambda change: (change.path, change.kind)))


def render(change: Change) -> str:
    """Returns a change as one line of text."""
    head = f"{_SYMBOLS[change.kind]} {change.path}: "
    match change.kind:
        case "added":
            return head + _text(change.new)
        case "removed":
            return head + _text(change.old)
        case _:
            return f"{head}{_text(change.old)} -> {_text(change.new)}"


def _plain(document: environment.Environment | None) -> dict:
    return {} if document is None else msgspec.to_builtins(document)


def _text(value: Any) -> str:
    return msgspec.json.encode(value).decode()


def _compare(path: str, old: Any, new: Any, changes: list[Change]) -> None:
    match old, new:
        case dict(), dict():
            _compare_tables(path, old, new, changes)
        case list() | tuple(), list() | tuple():
            _compare_lists(path, old, new, changes)
        case _ if old != new:
            changes.append(Change("changed", path, old, new))


def _compare_tables(path: str, old: dict, new: dict, changes: list[Change]) -> None:
    for key in old.keys() | new.keys():
        below = f"{path}.{key}" if path else key
        if key in old and key in new:
            _compare(below, old[key], new[key], changes)
        elif _is_named_list(old.get(key) or new.get(key)):
            _compare_lists(below, old.get(key, ()), new.get(key, ()), changes)
        elif key in new and new[key] not in ((), []):
            changes.append(Change("added", below, None, _shortened(new[key])))
        elif key in old and old[key] not in ((), []):
            changes.append(Change("removed", below, _shortened(old[key]), None))


def _is_named_list(value: Any) -> bool:
    return isinstance(value, list | tuple) and all(
        isinstance(entry, dict) and "name" in entry for entry in value
    )


def _compare_lists(path: str, old: Any, new: Any, changes: list[Change]) -> None:
    before, after = _by_identity(old), _by_identity(new)
    named = _is_named_list([*old, *new])
    for key in before.keys() | after.keys():
        below = f"{path}[{key}]" if named else path
        if key not in before:
            changes.append(Change("added", below, None, _element(path, after[key])))
        elif key not in after:
            changes.append(Change("removed", below, _element(path, before[key]), None))
        elif named:
            _compare(below, before[key], after[key], changes)


def _by_identity(entries: Any) -> dict[str, Any]:
    named = _is_named_list(entries)
    return {entry["name"] if named else _text(entry): entry for entry in entries}


def _element(path: str, value: Any) -> Any:
    return _shorten(value) if path.endswith("key_sha256") else _shortened(value)


def _shortened(value: Any) -> Any:
    match value:
        case dict():
            return {
                key: (
                    [_shorten(each) for each in below] if key == "key_sha256" else _shortened(below)
                )
                for key, below in value.items()
            }
        case list() | tuple():
            return [_shortened(entry) for entry in value]
        case _:
            return value


def _shorten(digest: str) -> str:
    return digest[:_DIGEST_CHARACTERS] + "..."
