"""Errors of the daemon."""

__all__ = ["DaemonError", "RoleFailedError", "SettingsError"]


class DaemonError(Exception):
    """Base class of every error of the daemon."""


class SettingsError(DaemonError):
    """A settings file is malformed.

    Parameters
    ----------
    source : str
        The file.
    key : str
        Path of the offending key, for example ``$.daemon.id``.
    problem : str
        What was expected there.
    """

    def __init__(self, source: str, key: str, problem: str) -> None:
        super().__init__(f"{source}: {key}: {problem}")
        self.source = source
        self.key = key
        self.problem = problem


class RoleFailedError(DaemonError):
    """A role lost something without which it cannot go on, but may start anew."""
