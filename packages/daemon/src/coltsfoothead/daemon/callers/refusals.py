"""Typed refusals of requests and their HTTP responses."""

import dataclasses
import enum
import math

from coltsfoothead.daemon.http import message

__all__ = [
    "ERROR_KINDS",
    "Code",
    "ErrorKind",
    "Execution",
    "Refusal",
    "RefusedError",
    "refuse",
    "response",
]


class Execution(enum.Enum):
    """Whether the refused request ran."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"


class Code(enum.Enum):
    """Refusal codes; docs/errors.md lists what a caller can do about each."""

    MALFORMED_REQUEST = "malformed_request"
    INVALID_BODY = "invalid_body"
    REQUEST_TIMEOUT = "request_timeout"
    BODY_TOO_LARGE = "body_too_large"
    INVALID_API_KEY = "invalid_api_key"
    MODEL_NOT_ALLOWED = "model_not_allowed"
    SERVICE_NOT_ALLOWED = "service_not_allowed"
    MODEL_NOT_FOUND = "model_not_found"
    SERVICE_NOT_FOUND = "service_not_found"
    REQUEST_NOT_FOUND = "request_not_found"
    PATH_NOT_FOUND = "path_not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    INVALID_OFFSET = "invalid_offset"
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
    IDEMPOTENCY_KEY_EXPIRED = "idempotency_key_expired"
    IDEMPOTENCY_KEY_INVALID = "idempotency_key_invalid"
    OUTCOME_UNKNOWN = "outcome_unknown"
    RATE_LIMITED = "rate_limited"
    OVERLOADED = "overloaded"
    NO_UPSTREAM = "no_upstream"
    NO_GUARD = "no_guard"
    NO_CONFIGURATION = "no_configuration"
    LEDGER_UNAVAILABLE = "ledger_unavailable"
    OWNER_UNREACHABLE = "owner_unreachable"
    DRAINING = "draining"
    UPSTREAM_FAILED = "upstream_failed"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    CANCELLED = "cancelled"
    INTERNAL = "internal"


@dataclasses.dataclass(frozen=True, slots=True)
class ErrorKind:
    """HTTP status, error type and default retry delay of a refusal code."""

    status: int
    type: str
    retry_after_seconds: float | None = None


ERROR_KINDS = {
    Code.MALFORMED_REQUEST: ErrorKind(400, "invalid_request_error"),
    Code.INVALID_BODY: ErrorKind(400, "invalid_request_error"),
    Code.REQUEST_TIMEOUT: ErrorKind(408, "invalid_request_error"),
    Code.BODY_TOO_LARGE: ErrorKind(413, "invalid_request_error"),
    Code.INVALID_API_KEY: ErrorKind(401, "authentication_error"),
    Code.MODEL_NOT_ALLOWED: ErrorKind(403, "permission_error"),
    Code.SERVICE_NOT_ALLOWED: ErrorKind(403, "permission_error"),
    Code.MODEL_NOT_FOUND: ErrorKind(404, "invalid_request_error"),
    Code.SERVICE_NOT_FOUND: ErrorKind(404, "invalid_request_error"),
    Code.REQUEST_NOT_FOUND: ErrorKind(404, "invalid_request_error"),
    Code.PATH_NOT_FOUND: ErrorKind(404, "invalid_request_error"),
    Code.METHOD_NOT_ALLOWED: ErrorKind(405, "invalid_request_error"),
    Code.INVALID_OFFSET: ErrorKind(400, "invalid_request_error"),
    Code.IDEMPOTENCY_KEY_REUSED: ErrorKind(422, "idempotency_error"),
    Code.IDEMPOTENCY_KEY_EXPIRED: ErrorKind(409, "idempotency_error"),
    Code.IDEMPOTENCY_KEY_INVALID: ErrorKind(400, "idempotency_error"),
    Code.OUTCOME_UNKNOWN: ErrorKind(409, "idempotency_error"),
    Code.RATE_LIMITED: ErrorKind(429, "rate_limit_error", 1.0),
    Code.OVERLOADED: ErrorKind(429, "rate_limit_error", 1.0),
    Code.NO_UPSTREAM: ErrorKind(503, "unavailable_error", 1.0),
    Code.NO_GUARD: ErrorKind(503, "unavailable_error", 1.0),
    Code.NO_CONFIGURATION: ErrorKind(503, "unavailable_error", 2.0),
    Code.LEDGER_UNAVAILABLE: ErrorKind(503, "unavailable_error", 2.0),
    Code.OWNER_UNREACHABLE: ErrorKind(503, "unavailable_error", 1.0),
    Code.DRAINING: ErrorKind(503, "unavailable_error", 0.0),
    Code.UPSTREAM_FAILED: ErrorKind(502, "upstream_error"),
    Code.DEADLINE_EXCEEDED: ErrorKind(504, "timeout_error"),
    Code.CANCELLED: ErrorKind(499, "cancelled_error"),
    Code.INTERNAL: ErrorKind(500, "internal_error"),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Reason why a request was refused or aborted, and whether it ran."""

    code: Code
    message: str
    execution: Execution = Execution.NOT_RUN
    retry_after_seconds: float | None = None
    request_id: str | None = None


class RefusedError(Exception):
    """Propagates a refusal to the code that answers the caller."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(f"{refusal.code.value}: {refusal.message}")
        self.refusal = refusal


def refuse(
    code: Code,
    text: str,
    execution: Execution = Execution.NOT_RUN,
    retry_after_seconds: float | None = None,
    request_id: str | None = None,
) -> RefusedError:
    """Returns the error that refuses a request."""
    if retry_after_seconds is None:
        retry_after_seconds = ERROR_KINDS[code].retry_after_seconds
    return RefusedError(Refusal(code, text, execution, retry_after_seconds, request_id))


def response(refusal: Refusal) -> message.Response:
    """Returns the HTTP response to a refused request."""
    headers = [("x-execution", refusal.execution.value)]
    if refusal.request_id:
        headers.append(("x-request-id", refusal.request_id))
    if refusal.retry_after_seconds is not None:
        headers.append(("retry-after", str(math.ceil(refusal.retry_after_seconds))))
    body = {
        "error": {
            "type": ERROR_KINDS[refusal.code].type,
            "message": refusal.message,
            "code": refusal.code.value,
            "param": None,
            "execution": refusal.execution.value,
            "request_id": refusal.request_id,
        }
    }
    return message.json_response(ERROR_KINDS[refusal.code].status, body, tuple(headers))
