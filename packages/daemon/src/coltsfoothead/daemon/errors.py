"""Errors of the daemon."""

__all__ = ["DaemonError", "RoleFailedError", "SettingsError"]


class DaemonError(Exception):
    """Base class of every error of the daemon."""


class SettingsError(DaemonError):
    """A settings file is unreadable or malformed.

    Parameters
    ----------
    source : str
        Path of the settings file.
    key : str
        Path of the offending key, for example ``$.daemon.id``.
    problem : str
        What was expected at the key.
    """

    def __init__(self, source: str, key: str, problem: str) -> None:
        super().__init__(f"{source}: {key}: {problem}")
        self.source = source
        self.key = key
        self.problem = problem


class RoleFailedError(DaemonError):
    """A role lost a resource that it cannot run without; it may be started again."""
