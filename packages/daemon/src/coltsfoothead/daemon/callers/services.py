"""Sends calls to services other than model engines."""

import asyncio
import dataclasses
import uuid
from collections.abc import Callable
from typing import Protocol

from coltsfoothead.daemon import metrics as metrics_module
from coltsfoothead.daemon.callers import access, refusals
from coltsfoothead.daemon.http import buffers, errors, message
from coltsfoothead.daemon.http import client as http_client
from coltsfoothead.kernel import environment

__all__ = ["PATH_PREFIX", "Router", "ServiceCall", "ServiceClient", "build_call", "parse_target"]

PATH_PREFIX = "/services/"
# Headers that apply to one connection (RFC 9110, section 7.6.1) or that the gateway itself handles.
HEADERS_NOT_FORWARDED = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-request-id",
    }
)
MAX_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCall:
    """One call to a service.

    Attributes
    ----------
    request : Request
        The request in the form in which it is sent to the service.
    repeatable : bool
        Whether the call may be sent again after an attempt that may have run.
    idempotency_key : str or None
        From the caller's ``Idempotency-Key`` header.
    """

    request_id: str
    organisation: str
    service: environment.Service
    request: message.Request
    repeatable: bool
    idempotency_key: str | None


class Router(Protocol):
    """Chooses the upstream for a service call."""

    def choose_service(self, service: str, excluded: frozenset[str]) -> tuple[str, str] | None:
        """Returns the ID and address of an upstream, or None if there is none."""

    def service_call_started(self, upstream: str) -> None:
        """Records the start of a call."""

    def service_call_ended(self, upstream: str, seconds: float, failed: bool) -> None:
        """Records the end of a call."""


def parse_target(target: str) -> tuple[str, str]:
    """Returns the service's name and the rest of the target, which starts with ``/``."""
    name, slash, rest = target.removeprefix(PATH_PREFIX).partition("/")
    if not slash:
        name, mark, query = name.partition("?")
        return name, f"/{mark}{query}"
    return name, f"/{rest}"


class ServiceClient:
    """Sends service calls to upstreams.

    Parameters
    ----------
    client : Client
    router : Router
    metrics : Metrics
    answer_limit_bytes : int
        Largest body that a service may return.
    answer_buffers : BufferPool
        Memory of the bodies that are being received.
    retry_delay : callable
        Takes the organisation, the number of attempts so far, whether the call is repeatable, and
        the seconds until its timeout. Returns the seconds to wait before another attempt, or None
        if there must be no further attempt.
    clock : callable
        Monotonic seconds.
    """

    def __init__(
        self,
        client: http_client.Client,
        router: Router,
        metrics: metrics_module.Metrics,
        answer_limit_bytes: int,
        answer_buffers: buffers.BufferPool,
        retry_delay: Callable[[str, int, bool, float], float | None],
        clock: Callable[[], float],
    ) -> None:
        self._client = client
        self._router = router
        self._metrics = metrics
        self._answer_limit_bytes = answer_limit_bytes
        self._answer_buffers = answer_buffers
        self._retry_delay = retry_delay
        self._clock = clock

    async def send(self, call: ServiceCall) -> message.Response:
        """Sends a call, repeating it where allowed, and returns the complete response.

        Raises
        ------
        RefusedError
            ``not_run`` if no byte was sent, ``unknown`` if the call may have run.
        """
        excluded: frozenset[str] = frozenset()
        failure: errors.HttpError | None = None
        started = self._clock()
        for attempt in range(MAX_ATTEMPTS):
            target = self._router.choose_service(call.service.name, excluded)
            if target is None:
                break
            # After a failed connect nothing was sent, so trying another upstream is not a retry.
            if isinstance(failure, errors.UpstreamBrokeError):
                remaining_seconds = call.service.timeout_seconds - (self._clock() - started)
                delay = self._retry_delay(
                    call.organisation, attempt, call.repeatable, remaining_seconds
                )
                if delay is None:
                    break
                await asyncio.sleep(delay)
            try:
                return await self._attempt(call, *target)
            except errors.ConnectError as error:
                failure = failure or error
            except errors.UpstreamBrokeError as error:
                failure = error
                if not call.repeatable:
                    break
            excluded |= {target[0]}
        raise self._refusal(call, failure)

    async def _attempt(self, call: ServiceCall, upstream: str, address: str) -> message.Response:
        started = self._clock()
        failed = True
        self._router.service_call_started(upstream)
        self._metrics.count("service_attempts")
        buffer = self._answer_buffers.open()
        try:
            headers = (*call.request.headers, ("x-request-id", call.request_id))
            answer = await self._client.send(
                address,
                dataclasses.replace(call.request, headers=headers),
                call.service.timeout_seconds,
                new_connection=not call.repeatable,
            )
            limit = self._answer_limit_bytes
            body = await answer.read(call.service.timeout_seconds, limit, buffer)
            failed = answer.status >= 500
        finally:
            buffer.close()
            self._router.service_call_ended(upstream, self._clock() - started, failed)
        kept = [each for each in answer.headers if each[0] not in HEADERS_NOT_FORWARDED]
        headers = (*kept, ("x-request-id", call.request_id), ("x-execution", "ran"))
        return message.Response(answer.status, headers, body)

    @staticmethod
    def _refusal(call: ServiceCall, failure: errors.HttpError | None) -> refusals.RefusedError:
        match failure:
            case None:
                text = f"no upstream serves {call.service.name!r} now"
                return refusals.refuse(refusals.Code.NO_UPSTREAM, text, request_id=call.request_id)
            case errors.ConnectError():
                return refusals.refuse(
                    refusals.Code.NO_UPSTREAM, str(failure), request_id=call.request_id
                )
            case _:
                return refusals.refuse(
                    refusals.Code.UPSTREAM_FAILED,
                    str(failure),
                    refusals.Execution.UNKNOWN,
                    request_id=call.request_id,
                )


def build_call(
    request: message.Request,
    document: environment.Environment,
    organisation: environment.Organisation,
) -> ServiceCall:
    """Builds the service call for a caller's request.

    Raises
    ------
    RefusedError
        If the service does not exist or the organisation may not use it.
    """
    name, target = parse_target(request.target)
    service = access.check_service(document, organisation, name)
    headers = [each for each in request.headers if each[0] not in HEADERS_NOT_FORWARDED]
    headers.append(("x-organisation", organisation.name))
    forwarded = message.Request(request.method, target, tuple(headers), request.body)
    repeatable = environment.is_repeatable(service, request.method, forwarded.path)
    key = request.header("idempotency-key")
    return ServiceCall(uuid.uuid4().hex, organisation.name, service, forwarded, repeatable, key)
