"""Typed refusals and how they are written to callers."""

import dataclasses
import enum
import math

from coltsfoothead.daemon.http import message

__all__ = ["KINDS", "Code", "Execution", "Kind", "Refusal", "RefusedError", "refuse", "response"]


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
class Kind:
    """Status, error type and default waiting time of a refusal code."""

    status: int
    type: str
    retry_after_seconds: float | None = None


KINDS = {
    Code.MALFORMED_REQUEST: Kind(400, "invalid_request_error"),
    Code.INVALID_BODY: Kind(400, "invalid_request_error"),
    Code.REQUEST_TIMEOUT: Kind(408, "invalid_request_error"),
    Code.BODY_TOO_LARGE: Kind(413, "invalid_request_error"),
    Code.INVALID_API_KEY: Kind(401, "authentication_error"),
    Code.MODEL_NOT_ALLOWED: Kind(403, "permission_error"),
    Code.SERVICE_NOT_ALLOWED: Kind(403, "permission_error"),
    Code.MODEL_NOT_FOUND: Kind(404, "invalid_request_error"),
    Code.SERVICE_NOT_FOUND: Kind(404, "invalid_request_error"),
    Code.REQUEST_NOT_FOUND: Kind(404, "invalid_request_error"),
    Code.PATH_NOT_FOUND: Kind(404, "invalid_request_error"),
    Code.METHOD_NOT_ALLOWED: Kind(405, "invalid_request_error"),
    Code.INVALID_OFFSET: Kind(400, "invalid_request_error"),
    Code.IDEMPOTENCY_KEY_REUSED: Kind(422, "idempotency_error"),
    Code.IDEMPOTENCY_KEY_EXPIRED: Kind(409, "idempotency_error"),
    Code.IDEMPOTENCY_KEY_INVALID: Kind(400, "idempotency_error"),
    Code.OUTCOME_UNKNOWN: Kind(409, "idempotency_error"),
    Code.RATE_LIMITED: Kind(429, "rate_limit_error", 1.0),
    Code.OVERLOADED: Kind(429, "rate_limit_error", 1.0),
    Code.NO_UPSTREAM: Kind(503, "unavailable_error", 1.0),
    Code.NO_GUARD: Kind(503, "unavailable_error", 1.0),
    Code.NO_CONFIGURATION: Kind(503, "unavailable_error", 2.0),
    Code.LEDGER_UNAVAILABLE: Kind(503, "unavailable_error", 2.0),
    Code.OWNER_UNREACHABLE: Kind(503, "unavailable_error", 1.0),
    Code.DRAINING: Kind(503, "unavailable_error", 0.0),
    Code.UPSTREAM_FAILED: Kind(502, "upstream_error"),
    Code.DEADLINE_EXCEEDED: Kind(504, "timeout_error"),
    Code.CANCELLED: Kind(499, "cancelled_error"),
    Code.INTERNAL: Kind(500, "internal_error"),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request was refused or given up, and whether it ran."""

    code: Code
    message: str
    execution: Execution = Execution.NOT_RUN
    retry_after_seconds: float | None = None
    request_id: str | None = None


class RefusedError(Exception):
    """Carries a refusal up to the handler that answers the caller."""

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
        retry_after_seconds = KINDS[code].retry_after_seconds
    return RefusedError(Refusal(code, text, execution, retry_after_seconds, request_id))


def response(refusal: Refusal) -> message.Response:
    """Returns the answer to a refused request."""
    headers = [("x-execution", refusal.execution.value)]
    if refusal.request_id:
        headers.append(("x-request-id", refusal.request_id))
    if refusal.retry_after_seconds is not None:
        headers.append(("retry-after", str(math.ceil(refusal.retry_after_seconds))))
    body = {
        "error": {
            "type": KINDS[refusal.code].type,
            "message": refusal.message,
            "code": refusal.code.value,
            "param": None,
            "execution": refusal.execution.value,
            "request_id": refusal.request_id,
        }
    }
    return message.json_response(KINDS[refusal.code].status, body, tuple(headers))
