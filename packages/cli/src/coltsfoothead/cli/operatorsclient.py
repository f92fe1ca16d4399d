"""Client of the operators' API; tries the addresses of a target in turn."""

import urllib.parse
from typing import TypeVar

import msgspec

from coltsfoothead.cli import errors, httpclient, targets
from coltsfoothead.kernel import operationerrors, operations

__all__ = ["Client"]

_Answer = TypeVar("_Answer", bound=msgspec.Struct)

_CODE = operationerrors.ErrorCode

# Another daemon may succeed where one refuses with these.
_LOCAL_REFUSALS = frozenset({_CODE.DRAINING, _CODE.NO_LEADER, _CODE.WRONG_DAEMON})
_NOT_FOUND = frozenset({_CODE.NOT_FOUND, _CODE.REQUEST_NOT_FOUND, _CODE.VOTER_NOT_FOUND})


class Client:
    """Sends reads and writes to the first daemon of a target that takes them.

    Parameters
    ----------
    target : Target
    timeouts : Timeouts
    """

    def __init__(self, target: targets.Target, timeouts: httpclient.Timeouts | None = None) -> None:
        self._target = target
        self._timeouts = timeouts or httpclient.Timeouts()

    def read(self, path: str, kind: type[_Answer], **query: str) -> _Answer:
        """Returns the answer of a read.

        Raises
        ------
        CliError
            By the kind of failure; see `errors`.
        """
        target = f"{path}?{urllib.parse.urlencode(query)}" if query else path
        failures = []
        for address in self._target.addresses:
            try:
                response = self._exchange(address, "GET", target, b"")
                return _decode(response, kind)
            except (errors.UnreachableError, _LocalRefusalError) as error:
                failures.append(error)
        raise _summary(failures)

    def write(
        self, path: str, request: msgspec.Struct, kind: type[_Answer], *, resend: bool
    ) -> _Answer:
        """Returns the answer of a write.

        Parameters
        ----------
        resend : bool
            Whether sending the request again is safe. If so, a lost answer is asked for again at
            each address, up to twice.

        Raises
        ------
        OutcomeUnknownError
            If the request may have been carried out, but no daemon said what became of it.
        CliError
            By the kind of failure; see `errors`.
        """
        body = msgspec.json.encode(request)
        failures: list[errors.CliError] = []
        lost: errors.CliError | None = None
        for _ in range(2):
            for address in self._target.addresses:
                try:
                    return _decode_write(self._exchange(address, "POST", path, body), kind)
                except (httpclient.AnswerLostError, errors.OutcomeUnknownError) as error:
                    lost = error
                    if not resend:
                        break
                except (httpclient.ConnectError, _LocalRefusalError) as error:
                    failures.append(error)
                except errors.CliError as error:
                    # A refusal of the resend says nothing about the request that was lost.
                    if lost is None:
                        raise
                    failures.append(error)
                except KeyboardInterrupt as error:
                    raise errors.OutcomeUnknownError("interrupted") from error
            if lost is None or not resend:
                break
        if lost is not None:
            raise errors.OutcomeUnknownError(str(lost)) from lost
        raise _summary(failures)

    def _exchange(
        self, address: tuple[str, int], method: str, path: str, body: bytes
    ) -> httpclient.Response:
        headers = (
            ("authorization", f"Bearer {self._target.token}"),
            ("content-type", "application/json"),
        )
        return httpclient.exchange(address, method, path, headers, body, self._timeouts)


class _LocalRefusalError(errors.RefusedError):
    """A refusal that concerns only the daemon that answered."""


def _summary(failures: list[errors.CliError]) -> errors.CliError:
    refusals = [error for error in failures if isinstance(error, errors.RefusedError)]
    if refusals:
        return refusals[-1]
    return errors.UnreachableError("; ".join(str(error) for error in failures))


def _decode(response: httpclient.Response, kind: type[_Answer]) -> _Answer:
    try:
        if response.status == 200:
            return msgspec.json.decode(response.body, type=kind)
        detail = msgspec.json.decode(response.body, type=operations.ErrorAnswer).error
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        problem = f"status {response.status}, expected {kind.__name__}: {error}"
        raise errors.BadAnswerError(problem) from error
    raise _typed(detail)


def _decode_write(response: httpclient.Response, kind: type[_Answer]) -> _Answer:
    try:
        return _decode(response, kind)
    except errors.BadAnswerError as error:
        raise errors.OutcomeUnknownError(str(error)) from error


def _typed(detail: operations.ErrorDetail) -> errors.CliError:
    if detail.execution == "unknown":
        return errors.OutcomeUnknownError(detail.message)
    if detail.code == _CODE.UNAUTHORISED:
        return errors.UnauthorisedError(detail.message)
    if detail.code in _NOT_FOUND:
        return errors.NotFoundError(detail.message)
    if detail.code in _LOCAL_REFUSALS:
        return _LocalRefusalError(detail.message, detail.code)
    return errors.RefusedError(detail.message, detail.code)
