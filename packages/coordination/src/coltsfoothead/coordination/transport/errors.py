"""Errors of the transport."""

from coltsfoothead.coordination import errors

__all__ = [
    "FrameTooLargeError",
    "LinkError",
    "LinkLostError",
    "LinkTimeoutError",
    "MethodUnknownError",
    "PeerRefusedError",
    "PeerUnknownError",
    "RemoteError",
    "StaleIncarnationError",
    "StrangerError",
]


class LinkError(errors.CoordinationError):
    """Base class of the transport's errors."""


class LinkTimeoutError(LinkError):
    """No response arrived in time; the peer may or may not have handled the request."""


class LinkLostError(LinkTimeoutError):
    """The link was closed before the response arrived, or a stream item was lost."""


class PeerUnknownError(LinkError):
    """The member has neither an address nor an open stream to this process."""


class FrameTooLargeError(LinkError):
    """The payload exceeds `Settings.max_payload_bytes`."""


class MethodUnknownError(LinkError):
    """No handler serves the method; the caller gets a `RemoteError` with this class name."""


class PeerRefusedError(LinkError):
    """The peer refused this process, or this process refused the peer."""


class StrangerError(PeerRefusedError):
    """The peer belongs to another cluster or is another member than expected."""


class StaleIncarnationError(PeerRefusedError):
    """A newer incarnation of the peer is already known."""


class RemoteError(LinkError):
    """The remote handler failed.

    Attributes
    ----------
    type_name : str
        Class name of the remote exception.
    message : str
        Text of the remote exception.
    """

    def __init__(self, type_name, message):
        super().__init__(f"{type_name}: {message}")
        self.type_name = type_name
        self.message = message
