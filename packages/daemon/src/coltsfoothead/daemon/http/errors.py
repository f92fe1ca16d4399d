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
    "UpstreamClosedError",
]


class HttpError(errors.DaemonError):
    """Base class of the HTTP layer's errors."""


class MalformedRequestError(HttpError):
    """The received bytes are not HTTP/1.1, or the peer closed in the middle of a request."""


class HeadersTooLargeError(HttpError):
    """The request's header block exceeds the limit."""


class BodyTooLargeError(HttpError):
    """The request body exceeds the limit."""


class ReceiveTimeoutError(HttpError):
    """The complete request did not arrive within the receive timeout."""


class CallerGoneError(HttpError):
    """The caller's connection is closed."""


class ConnectError(HttpError):
    """No connection could be opened, so no byte of the request was sent.

    Parameters
    ----------
    cause : str
    refused : bool
        Whether the address refused the connection, instead of not answering.
    """

    def __init__(self, cause: str, refused: bool = False) -> None:
        super().__init__(cause)
        self.refused = refused


class UpstreamBrokeError(HttpError):
    """The connection or the response failed after bytes may have been sent."""


class UpstreamClosedError(UpstreamBrokeError):
    """The upstream closed or reset the connection before its response was complete."""


class SilentUpstreamError(UpstreamBrokeError):
    """No data arrived on the connection within the read timeout."""
