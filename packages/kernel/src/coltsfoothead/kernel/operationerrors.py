"""Error codes of the operators' API, with their HTTP status, meaning and remedy."""

import dataclasses
import enum
import types

__all__ = ["MEANINGS", "ErrorCode", "Meaning"]


class ErrorCode(enum.StrEnum):
    """Error code in the body of an error answer of the operators' API."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    CHANGE_ID_REUSED = "change_id_reused"
    DRAINING = "draining"
    INTERNAL = "internal"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    NOT_FOUND = "not_found"
    NO_LEADER = "no_leader"
    OUTCOME_UNKNOWN = "outcome_unknown"
    REQUEST_NOT_FOUND = "request_not_found"
    TIMEOUT = "timeout"
    UNAUTHORISED = "unauthorised"
    VOTER_CHANGE_RUNNING = "voter_change_running"
    VOTER_EXISTS = "voter_exists"
    VOTER_NOT_CAUGHT_UP = "voter_not_caught_up"
    VOTER_NOT_FOUND = "voter_not_found"
    WRONG_DAEMON = "wrong_daemon"
    ZONE_MAJORITY = "zone_majority"


@dataclasses.dataclass(frozen=True, slots=True)
class Meaning:
    """HTTP status, description and remedy of an error code."""

    status: int
    text: str
    action: str


MEANINGS = types.MappingProxyType(
    {
        ErrorCode.BAD_REQUEST: Meaning(
            400,
            "The request is malformed or has an unknown key.",
            "Correct the request; check that command line and daemon have the same version.",
        ),
        ErrorCode.BODY_TOO_LARGE: Meaning(
            413,
            "The body is larger than the daemon's limit.",
            "Make the document smaller or raise `limits.body_bytes`.",
        ),
        ErrorCode.CHANGE_ID_REUSED: Meaning(
            409,
            "The change ID belongs to a change with another document.",
            "Apply with a new change ID.",
        ),
        ErrorCode.DRAINING: Meaning(
            503,
            "The daemon is stopping and takes no writes.",
            "Use another daemon.",
        ),
        ErrorCode.INTERNAL: Meaning(
            500,
            "The daemon failed on the request.",
            "Look at the daemon's log; report the fault.",
        ),
        ErrorCode.METHOD_NOT_ALLOWED: Meaning(
            405,
            "The path does not take this method.",
            "Check that command line and daemon have the same version.",
        ),
        ErrorCode.NOT_FOUND: Meaning(
            404,
            "The path is not part of the operators' API.",
            "Check that the address is the operators' listener (`listen.operators`).",
        ),
        ErrorCode.NO_LEADER: Meaning(
            503,
            "The replicated log has no leader; the write did not run.",
            "Look at `status`; send again once a quorum of voters is back.",
        ),
        ErrorCode.OUTCOME_UNKNOWN: Meaning(
            503,
            "The write may or may not take effect.",
            "For `apply`, send again with the same change ID; otherwise look at `status` first.",
        ),
        ErrorCode.REQUEST_NOT_FOUND: Meaning(
            404,
            "No daemon holds a request with this ID.",
            "Check the ID; finished requests are kept for `answer_retention_seconds` only.",
        ),
        ErrorCode.TIMEOUT: Meaning(
            504,
            "The daemon did not get the data from its peers in time; nothing was changed.",
            "Send again.",
        ),
        ErrorCode.UNAUTHORISED: Meaning(
            401,
            "The bearer token is missing or wrong.",
            "Use the token of this installation (`--token-file`).",
        ),
        ErrorCode.VOTER_CHANGE_RUNNING: Meaning(
            409,
            "Another change of voters is not yet committed; voters change one at a time.",
            "Wait for it (`status`), then send again.",
        ),
        ErrorCode.VOTER_EXISTS: Meaning(
            409,
            "The replica is a voter already.",
            "Nothing to do; a replica on a new disk needs a new ID.",
        ),
        ErrorCode.VOTER_NOT_CAUGHT_UP: Meaning(
            503,
            "The new replica did not catch up in time; it is still a learner.",
            "Check that it is reachable and has disk space, then send again.",
        ),
        ErrorCode.VOTER_NOT_FOUND: Meaning(
            404,
            "No voter has this ID.",
            "Look at `status` for the voters.",
        ),
        ErrorCode.WRONG_DAEMON: Meaning(
            421,
            "The daemon that was reached is not the named one.",
            "Give the address of the daemon that is to be drained.",
        ),
        ErrorCode.ZONE_MAJORITY: Meaning(
            409,
            "After the change one zone would hold a majority of the voters.",
            "Choose a replica in another zone.",
        ),
    }
)
