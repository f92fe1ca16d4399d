"""Structural difference of two environment documents.

Entries with a name are matched by name, so that their order is irrelevant. Other lists are compared
as sets. Key digests are shortened, since a difference is printed and logged.
"""

from typing import Any

import msgspec

from coltsfoothead.kernel import environment

__all__ = ["Change", "difference", "render"]

_DIGEST_CHARACTERS = 8

_SYMBOLS = {"added": "+", "removed": "-", "changed": "~"}


class Change(msgspec.Struct, frozen=True):
    """One difference: `kind` is ``added``, ``removed`` or ``changed``.

    `path` locates the value, for example ``organisations[acme].weight``. `old` and `new` are of
    builtin types, with key digests shortened. `old` is None if the value was added, `new` if it was
    removed.
    """

    kind: str
    path: str
    old: Any = None
    new: Any = None


def difference(
    old: environment.Environment | None, new: environment.Environment | None
) -> tuple[Change, ...]:
    """Returns the changes from `old` to `new`, sorted by path.

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
    _compare("", _to_builtins(old), _to_builtins(new), changes)
    return tuple(sorted(changes, key=lambda change: (change.path, change.kind)))


def render(change: Change) -> str:
    """Returns a change as one line of text."""
    prefix = f"{_SYMBOLS[change.kind]} {change.path}: "
    match change.kind:
        case "added":
            return prefix + _to_json(change.new)
        case "removed":
            return prefix + _to_json(change.old)
        case _:
            return f"{prefix}{_to_json(change.old)} -> {_to_json(change.new)}"


def _to_builtins(document: environment.Environment | None) -> dict:
    return {} if document is None else msgspec.to_builtins(document)


def _to_json(value: Any) -> str:
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
        child_path = f"{path}.{key}" if path else key
        if key in old and key in new:
            _compare(child_path, old[key], new[key], changes)
        elif _is_named_list(old.get(key) or new.get(key)):
            _compare_lists(child_path, old.get(key, ()), new.get(key, ()), changes)
        elif key in new and new[key] not in ((), []):
            changes.append(Change("added", child_path, None, _shorten_digests(new[key])))
        elif key in old and old[key] not in ((), []):
            changes.append(Change("removed", child_path, _shorten_digests(old[key]), None))


def _is_named_list(value: Any) -> bool:
    return isinstance(value, list | tuple) and all(
        isinstance(entry, dict) and "name" in entry for entry in value
    )


def _compare_lists(path: str, old: Any, new: Any, changes: list[Change]) -> None:
    before, after = _entries_by_identity(old), _entries_by_identity(new)
    named = _is_named_list([*old, *new])
    for key in before.keys() | after.keys():
        child_path = f"{path}[{key}]" if named else path
        if key not in before:
            changes.append(Change("added", child_path, None, _shorten_entry(path, after[key])))
        elif key not in after:
            changes.append(Change("removed", child_path, _shorten_entry(path, before[key]), None))
        elif named:
            _compare(child_path, before[key], after[key], changes)


def _entries_by_identity(entries: Any) -> dict[str, Any]:
    named = _is_named_list(entries)
    return {entry["name"] if named else _to_json(entry): entry for entry in entries}


def _shorten_entry(path: str, value: Any) -> Any:
    return _shorten_digest(value) if path.endswith("key_sha256") else _shorten_digests(value)


def _shorten_digests(value: Any) -> Any:
    match value:
        case dict():
            return {
                key: (
                    [_shorten_digest(each) for each in entry]
                    if key == "key_sha256"
                    else _shorten_digests(entry)
                )
                for key, entry in value.items()
            }
        case list() | tuple():
            return [_shorten_digests(entry) for entry in value]
        case _:
            return value


def _shorten_digest(digest: str) -> str:
    return digest[:_DIGEST_CHARACTERS] + "..."
