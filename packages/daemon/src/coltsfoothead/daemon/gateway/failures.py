"""Errors that end a request, or one attempt of it, at an entry."""

from coltsfoothead.daemon import errors
from coltsfoothead.daemon.gateway import ports
from coltsfoothead.daemon.http import message
from coltsfoothead.kernel.traffic import overload

__all__ = ["AtLimitsError", "AttemptFailedError", "OverloadedError", "RefusedError"]


class RefusedError(errors.DaemonError):
    """The request ends with an error response that the entry itself generates.

    Parameters
    ----------
    refusal : Refusal
    cause : str, optional
        Cause for the log.
    """

    def __init__(self, refusal: ports.Refusal, cause: str = "") -> None:
        super().__init__(cause or refusal.reason.value)
        self.refusal = refusal
        self.cause = cause


class OverloadedError(RefusedError):
    """No upstream could answer the request in time for now.

    Parameters
    ----------
    refusal : Refusal
    verdict : AdmissionDecision
        The values that decided it.
    """

    def __init__(self, refusal: ports.Refusal, verdict: overload.AdmissionDecision) -> None:
        super().__init__(refusal, verdict.cause)
        self.verdict = verdict


class AtLimitsError(RefusedError):
    """The upstreams accept no more requests for now, by the limits that they have named."""


class AttemptFailedError(errors.DaemonError):
    """One attempt at one upstream failed.

    Parameters
    ----------
    cause : str
    sent : bool
        Whether bytes of the request may have been sent.
    not_run : bool
        Whether the request certainly did not run at the upstream.
    closed : bool
        Whether the upstream closed or reset the connection before its response was complete.
    response : Response, optional
        The upstream's error response, which is passed on if no other attempt is made.
    """

    def __init__(
        self,
        cause: str,
        *,
        sent: bool = True,
        not_run: bool = False,
        closed: bool = False,
        response: message.Response | None = None,
    ) -> None:
        super().__init__(cause)
        self.cause = cause
        self.sent = sent
        self.not_run = not_run
        self.closed = closed
        self.response = response
