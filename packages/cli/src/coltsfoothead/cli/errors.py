"""Errors of the command line; each has a code for the error line and an exit code."""

from coltsfoothead.cli import exitcodes

__all__ = [
    "BadAnswerError",
    "CliError",
    "ConflictError",
    "DeclinedError",
    "InvalidDocumentError",
    "NotFoundError",
    "NotInForceError",
    "OutcomeUnknownError",
    "RefusedError",
    "UnauthorisedError",
    "UnreachableError",
    "UsageError",
]


class CliError(Exception):
    """Base class of every error of the command line.

    Attributes
    ----------
    code : str
        Error code, printed in front of the message.
    exit_code : ExitCode
    """

    code = "internal"
    exit_code = exitcodes.ExitCode.INTERNAL


class UsageError(CliError):
    """An option, argument, target or token file is wrong."""

    code = "usage"
    exit_code = exitcodes.ExitCode.USAGE


class InvalidDocumentError(CliError):
    """An environment document cannot be read or is malformed."""

    code = "invalid_document"
    exit_code = exitcodes.ExitCode.INVALID_DOCUMENT


class UnauthorisedError(CliError):
    """The daemon refused the bearer token."""

    code = "unauthorised"
    exit_code = exitcodes.ExitCode.UNAUTHORISED


class UnreachableError(CliError):
    """No address answered, and no change was made."""

    code = "unreachable"
    exit_code = exitcodes.ExitCode.UNREACHABLE


class ConflictError(CliError):
    """The document in force is not the expected one, because another change was accepted."""

    code = "conflict"
    exit_code = exitcodes.ExitCode.CONFLICT


class OutcomeUnknownError(CliError):
    """It is unknown whether a change takes effect."""

    code = "outcome_unknown"
    exit_code = exitcodes.ExitCode.OUTCOME_UNKNOWN


class RefusedError(CliError):
    """The daemon refused the operation.

    Parameters
    ----------
    message : str
    code : str
        Error code of the daemon's answer.
    """

    exit_code = exitcodes.ExitCode.REFUSED

    def __init__(self, message: str, code: str) -> None:
        super().__init__(message)
        self.code = code


class NotFoundError(CliError):
    """The requested item does not exist."""

    code = "not_found"
    exit_code = exitcodes.ExitCode.NOT_FOUND


class DeclinedError(CliError):
    """The operator did not confirm the change."""

    code = "declined"
    exit_code = exitcodes.ExitCode.DECLINED


class BadAnswerError(CliError):
    """The answer to a read could not be decoded."""

    code = "bad_answer"
    exit_code = exitcodes.ExitCode.BAD_ANSWER


class NotInForceError(CliError):
    """The change is accepted, but not yet in force everywhere."""

    code = "not_in_force"
    exit_code = exitcodes.ExitCode.NOT_IN_FORCE
