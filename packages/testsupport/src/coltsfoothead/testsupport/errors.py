"""Errors of the test support package."""

__all__ = [
    "BrokenConnectionError",
    "ConnectError",
    "DropConnectionError",
    "NotReadyError",
    "ProcessEndedError",
    "TestSupportError",
]


class TestSupportError(Exception):
    """Base class of every error of the test support package."""

    __test__ = False


class ConnectError(TestSupportError):
    """No connection could be opened, so the request was certainly not sent."""


class BrokenConnectionError(TestSupportError):
    """The connection ended before the reply was complete."""


class DropConnectionError(TestSupportError):
    """Raised by a handler to end its connection without an orderly reply."""


class NotReadyError(TestSupportError):
    """A child process or condition was not ready within its deadline."""


class ProcessEndedError(TestSupportError):
    """A child process ended while it was expected to run."""
