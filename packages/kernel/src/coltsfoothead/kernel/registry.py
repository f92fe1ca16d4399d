"""Registry in which policies register themselves by kind and name."""

from collections.abc import Callable
from typing import Any, TypeVar

from coltsfoothead.kernel import errors

__all__ = ["names", "register", "resolve"]

_Plugin = TypeVar("_Plugin", bound=Callable[..., Any])
_plugins: dict[tuple[str, str], Callable[..., Any]] = {}


def register(kind: str, name: str) -> Callable[[_Plugin], _Plugin]:
    """Returns a decorator that registers a policy.

    Parameters
    ----------
    kind : str
        What the policy decides, for example ``"routing"``.
    name : str
        Name by which the environment document selects the policy.

    Raises
    ------
    DuplicatePluginError
        If a policy of that kind and name is already registered.
    """

    def decorate(plugin: _Plugin) -> _Plugin:
        key = (kind, name)
        if key in _plugins:
            raise errors.DuplicatePluginError(f"{kind} policy {name!r} is registered twice")
        _plugins[key] = plugin
        return plugin

    return decorate


def resolve(kind: str, name: str) -> Callable[..., Any]:
    """Returns the policy registered under `kind` and `name`.

    Raises
    ------
    UnknownPluginError
        If there is no such policy; the message lists the registered ones.
    """
    try:
        return _plugins[(kind, name)]
    except KeyError:
        known = ", ".join(names(kind)) or "none"
        raise errors.UnknownPluginError(
            f"no {kind} policy is named {name!r}; known: {known}"
        ) from None


def names(kind: str) -> list[str]:
    """Returns the sorted names of the policies of one kind."""
    return sorted(name for known_kind, name in _plugins if known_kind == kind)
