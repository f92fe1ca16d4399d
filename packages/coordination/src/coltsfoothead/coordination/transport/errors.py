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
    """No answer arrived in time; the peer may or may not have run the request."""


class LinkLostError(LinkTimeoutError):
    """The link was given up before the answer arrived, or a stream item was lost."""


class PeerUnknownError(LinkError):
    """The member has neither an address nor an accepted stream."""


class FrameTooLargeError(LinkError):
    """The payload exceeds the settings' largest frame."""


class MethodUnknownError(LinkError):
    """The method is not served; the caller sees it as a `RemoteError` of this name."""


class PeerRefusedError(LinkError):
    """The peer refused this process, or this process refused the peer."""


class StrangerError(PeerRefusedError):
    """The peer belongs to another cluster or is another member than expected."""


class StaleIncarnationError(PeerRefusedError):
    """The peer is an older incarnation of a member that is already known."""


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
