"""Base class of the errors raised by the coordination library."""

__all__ = ["CoordinationError"]


class CoordinationError(Exception):
    """Base class of every error that this library raises."""
