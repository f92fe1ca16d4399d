"""Client of the operators' API; tries the addresses of a target in turn."""

import urllib.parse
from typing import TypeVar

import msgspec

from coltsfoothead.cli import errors, httpclient, targets
from coltsfoothead.kernel import operationerrors, operations

__all__ = ["Client", "decode"]

_Answer = TypeVar("_Answer", bound=msgspec.Struct)

_CODE = operationerrors.ErrorCode

# Codes of refusals after which another daemon may accept the same request.
_LOCAL_REFUSALS = frozenset({_CODE.DRAINING, _CODE.NO_LEADER, _CODE.WRONG_DAEMON})
_NOT_FOUND = frozenset({_CODE.NOT_FOUND, _CODE.REQUEST_NOT_FOUND, _CODE.VOTER_NOT_FOUND})


class Client:
    """Sends each request to the addresses of a target in turn, until a daemon accepts it.

    Parameters
    ----------
    target : Target
    timeouts : Timeouts
    """

    def __init__(self, target: targets.Target, timeouts: httpclient.Timeouts | None = None) -> None:
        self._target = target
        self._timeouts = timeouts or httpclient.Timeouts()

    def read(self, path: str, answer_type: type[_Answer], **query: str) -> _Answer:
        """Returns the answer to a read.

        Raises
        ------
        CliError
            The subclass states the kind of failure; see `errors`.
        """
        target = f"{path}?{urllib.parse.urlencode(query)}" if query else path
        failures = []
        for address in self._target.addresses:
            try:
                response = self._exchange(address, "GET", target, b"")
                return decode(response, answer_type)
            except (errors.UnreachableError, _LocalRefusalError) as error:
                failures.append(error)
        raise _combined_error(failures)

    def write(
        self, path: str, request: msgspec.Struct, answer_type: type[_Answer], *, resend: bool
    ) -> _Answer:
        """Returns the answer to a write.

        Parameters
        ----------
        resend : bool
            Whether the request is idempotent. If so, it is sent again after a lost answer, at most
            twice to each address.

        Raises
        ------
        OutcomeUnknownError
            If the request may have been executed, but no daemon reported its outcome.
        CliError
            The subclass states the kind of failure; see `errors`.
        """
        body = msgspec.json.encode(request)
        failures: list[errors.CliError] = []
        unknown_outcome: errors.CliError | None = None
        for _ in range(2):
            for address in self._target.addresses:
                try:
                    return _decode_write(self._exchange(address, "POST", path, body), answer_type)
                except (httpclient.AnswerLostError, errors.OutcomeUnknownError) as error:
                    unknown_outcome = error
                    if not resend:
                        break
                except (httpclient.ConnectError, _LocalRefusalError) as error:
                    failures.append(error)
                except errors.CliError as error:
                    # A refused resend leaves the outcome of the first request unknown.
                    if unknown_outcome is None:
                        raise
                    failures.append(error)
                except KeyboardInterrupt as error:
                    raise errors.OutcomeUnknownError("interrupted") from error
            if unknown_outcome is None or not resend:
                break
        if unknown_outcome is not None:
            raise errors.OutcomeUnknownError(str(unknown_outcome)) from unknown_outcome
        raise _combined_error(failures)

    def _exchange(
        self, address: tuple[str, int], method: str, path: str, body: bytes
    ) -> httpclient.Response:
        headers = (
            ("authorization", f"Bearer {self._target.token}"),
            ("content-type", "application/json"),
        )
        return httpclient.exchange(address, method, path, headers, body, self._timeouts)


class _LocalRefusalError(errors.RefusedError):
    """A refusal for a reason local to the daemon that answered."""


def _combined_error(failures: list[errors.CliError]) -> errors.CliError:
    refusals = [error for error in failures if isinstance(error, errors.RefusedError)]
    if refusals:
        return refusals[-1]
    return errors.UnreachableError("; ".join(str(error) for error in failures))


def decode(response: httpclient.Response, answer_type: type[_Answer]) -> _Answer:
    """Returns the answer in a response; raises the `CliError` that an error answer stands for."""
    try:
        if response.status == 200:
            return msgspec.json.decode(response.body, type=answer_type)
        detail = msgspec.json.decode(response.body, type=operations.ErrorAnswer).error
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        problem = f"status {response.status}, expected {answer_type.__name__}: {error}"
        raise errors.BadAnswerError(problem) from error
    raise _cli_error(detail)


def _decode_write(response: httpclient.Response, answer_type: type[_Answer]) -> _Answer:
    try:
        return decode(response, answer_type)
    except errors.BadAnswerError as error:
        raise errors.OutcomeUnknownError(str(error)) from error


def _cli_error(detail: operations.ErrorDetail) -> errors.CliError:
    if detail.execution == "unknown":
        return errors.OutcomeUnknownError(detail.message)
    if detail.code == _CODE.UNAUTHORISED:
        return errors.UnauthorisedError(detail.message)
    if detail.code in _NOT_FOUND:
        return errors.NotFoundError(detail.message)
    if detail.code in _LOCAL_REFUSALS:
        return _LocalRefusalError(detail.message, detail.code)
    return errors.RefusedError(detail.message, detail.code)
