"""Errors of the HTTP layer."""

from coltsfoothead.daemon import errors

__all__ = [
    "BodyTooLargeError",
    "CallerGoneError",
    "ConnectError",
    "HeadersTooLargeError",
    "HttpError",
    "MalformedRequestError",
    "ReceiveTimeoutError",
    "SilentUpstreamError",
    "UpstreamBrokeError",
]


class HttpError(errors.DaemonError):
    """Base class of the HTTP layer's errors."""


class MalformedRequestError(HttpError):
    """The peer sent bytes that are not HTTP/1.1, or closed in the middle of a request."""


class HeadersTooLargeError(HttpError):
    """The request's header block exceeds the limit."""


class BodyTooLargeError(HttpError):
    """The request body exceeds the limit."""


class ReceiveTimeoutError(HttpError):
    """The request did not arrive in time."""


class CallerGoneError(HttpError):
    """The caller's connection is closed."""


class ConnectError(HttpError):
    """No connection could be opened, so nothing was sent."""


class UpstreamBrokeError(HttpError):
    """The connection failed after bytes may have been sent."""


class SilentUpstreamError(UpstreamBrokeError):
    """Nothing arrived on the connection for longer than allowed."""
