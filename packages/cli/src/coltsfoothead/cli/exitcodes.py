"""Exit codes of the command line."""

import enum
import types

__all__ = ["MEANINGS", "ExitCode"]


class ExitCode(enum.IntEnum):
    """How a command ended."""

    OK = 0
    INTERNAL = 1
    USAGE = 2
    INVALID_DOCUMENT = 3
    UNAUTHORISED = 4
    UNREACHABLE = 5
    CONFLICT = 6
    OUTCOME_UNKNOWN = 7
    REFUSED = 8
    DIFFERENT = 9
    NOT_FOUND = 10
    DECLINED = 11
    BAD_ANSWER = 12
    NOT_IN_FORCE = 13
    INTERRUPTED = 130


MEANINGS = types.MappingProxyType(
    {
        ExitCode.OK: "The command did what was asked.",
        ExitCode.INTERNAL: "A fault of the command line; a traceback is printed.",
        ExitCode.USAGE: "A wrong option, argument, target or token file; nothing was sent.",
        ExitCode.INVALID_DOCUMENT: "The environment document cannot be read or is malformed.",
        ExitCode.UNAUTHORISED: "The daemon refused the bearer token.",
        ExitCode.UNREACHABLE: "No address answered; no change was made.",
        ExitCode.CONFLICT: "Another change won; nothing was changed by this one.",
        ExitCode.OUTCOME_UNKNOWN: "The change may or may not take effect.",
        ExitCode.REFUSED: "The daemon refused the operation with a typed error.",
        ExitCode.DIFFERENT: "`diff --exit-code` found a difference.",
        ExitCode.NOT_FOUND: "What was asked for does not exist.",
        ExitCode.DECLINED: "The question was not answered with yes; nothing was changed.",
        ExitCode.BAD_ANSWER: "The answer of a read could not be understood.",
        ExitCode.NOT_IN_FORCE: "The change is accepted, but not yet in force everywhere.",
        ExitCode.INTERRUPTED: "The command was interrupted before a change was sent.",
    }
)
