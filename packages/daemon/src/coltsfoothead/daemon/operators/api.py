"""The operators' API: authenticated queries, configuration changes, drain and voter changes."""

import asyncio
import hmac
import pathlib
from collections.abc import Awaitable, Callable

import msgspec
from absl import logging

from coltsfoothead.coordination import errors as coordination_errors
from coltsfoothead.coordination.configuration import commands as configuration_commands
from coltsfoothead.daemon import errors
from coltsfoothead.daemon.control import configuration, proposer, voters
from coltsfoothead.daemon.http import message, server
from coltsfoothead.daemon.operators import state
from coltsfoothead.kernel import environment, operationerrors, operationpaths, operations

__all__ = ["OperatorsApi", "TokenFileError", "read_token"]

BEARER_PREFIX = "Bearer "
MIN_TOKEN_CHARACTERS = 16

ErrorCode = operationerrors.ErrorCode


class TokenFileError(errors.DaemonError):
    """The operators' token file is missing or its token is too short."""


class ApiError(errors.DaemonError):
    """An error with the code and the execution state of the error answer."""

    def __init__(self, code: ErrorCode, text: str, execution: str = "not_run") -> None:
        super().__init__(text)
        self.code = code
        self.execution = execution


def read_token(path: str) -> str:
    """Returns the operators' token.

    Raises
    ------
    TokenFileError
        If the file cannot be read or holds less than 16 characters.
    """
    try:
        token = pathlib.Path(path).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise TokenFileError(f"{path}: {error}") from error
    if len(token) < MIN_TOKEN_CHARACTERS:
        raise TokenFileError(f"{path}: the token has less than {MIN_TOKEN_CHARACTERS} characters")
    return token


class OperatorsApi:
    """Request handler of the operators' listener.

    Parameters
    ----------
    view : DaemonView
    token : str
    stop : callable
        Begins a graceful stop that may take at most the seconds passed to it.
    """

    def __init__(self, view: state.DaemonView, token: str, stop: Callable[[float], None]) -> None:
        self._view = view
        self._token = token.encode()
        self._stop = stop
        self._get_handlers: dict[str, Callable[[message.Request], msgspec.Struct]] = {
            operationpaths.STATUS: lambda _: view.status(),
            operationpaths.UPSTREAMS: lambda _: view.upstreams(),
            operationpaths.REQUESTS: lambda request: view.requests(request.query.get("id")),
            operationpaths.VMS: lambda _: view.vms(),
            operationpaths.MEMBERS: lambda _: view.members(),
            operationpaths.CONFIG: lambda _: view.config(),
            operationpaths.HISTORY: lambda request: view.history("documents" in request.query),
            operationpaths.SLO: lambda _: view.slo(),
            operationpaths.METRICS: lambda _: view.metrics(),
        }
        self._post_handlers: dict[str, Callable[[bytes], Awaitable[msgspec.Struct]]] = {
            operationpaths.APPLY: self._apply,
            operationpaths.DRAIN: self._drain,
            operationpaths.VOTERS_ADD: self._add_voter,
            operationpaths.VOTERS_REMOVE: self._remove_voter,
        }

    async def handle(self, exchange: server.Exchange) -> None:
        """Answers one request."""
        try:
            self._authenticate(exchange.request)
            answer = await self._answer(exchange.request)
            response = message.json_response(200, answer)
        except ApiError as error:
            response = _error_response(error)
        except Exception:
            logging.exception("operators' request %s failed", exchange.request.path)
            response = _error_response(
                ApiError(ErrorCode.INTERNAL, "the request failed", "unknown")
            )
        await exchange.respond(response)

    def _authenticate(self, request: message.Request) -> None:
        value = request.header("authorization") or ""
        presented_token = value.removeprefix(BEARER_PREFIX).encode()
        if not value.startswith(BEARER_PREFIX) or not hmac.compare_digest(
            presented_token, self._token
        ):
            raise ApiError(ErrorCode.UNAUTHORISED, "the bearer token is missing or wrong")

    async def _answer(self, request: message.Request) -> msgspec.Struct:
        path = request.path
        if path in self._get_handlers:
            if request.method != "GET":
                raise ApiError(ErrorCode.METHOD_NOT_ALLOWED, f"{path} takes GET")
            return self._get_handlers[path](request)
        if path in self._post_handlers:
            if request.method != "POST":
                raise ApiError(ErrorCode.METHOD_NOT_ALLOWED, f"{path} takes POST")
            return await self._post_handlers[path](request.body)
        raise ApiError(ErrorCode.NOT_FOUND, f"{path} does not exist")

    async def _apply(self, body: bytes) -> operations.ApplyAnswer:
        change = _decode(body, operations.ApplyRequest)
        try:
            outcome = await self._view.configuration.apply(
                change.change_id,
                change.author,
                change.expected_version,
                change.expected_digest,
                change.document,
            )
        except environment.EnvironmentError as error:
            return operations.ApplyAnswer(
                outcome=operations.ApplyOutcome.INVALID,
                change_id=change.change_id,
                problem=f"{error.key}: {error.problem}",
            )
        except proposer.UnknownOutcomeError:
            return operations.ApplyAnswer(
                outcome=operations.ApplyOutcome.UNKNOWN, change_id=change.change_id
            )
        except proposer.QuorumLostError as error:
            raise ApiError(ErrorCode.NO_LEADER, str(error)) from error
        return await self._apply_answer(change, outcome)

    async def _apply_answer(
        self, change: operations.ApplyRequest, outcome: object
    ) -> operations.ApplyAnswer:
        match outcome:
            case configuration_commands.Accepted(version, digest):
                if change.wait:
                    await asyncio.sleep(configuration.MAX_PROPAGATION_SECONDS)
                return operations.ApplyAnswer(
                    outcome=operations.ApplyOutcome.ACCEPTED,
                    change_id=change.change_id,
                    in_force=change.wait,
                    version=version,
                    digest=digest,
                )
            case configuration_commands.Conflict(version, digest, author, change_id):
                return operations.ApplyAnswer(
                    outcome=operations.ApplyOutcome.CONFLICT,
                    change_id=change.change_id,
                    winner_version=version,
                    winner_digest=digest,
                    winner_author=author,
                    winner_change_id=change_id,
                )
            case configuration_commands.ChangeReused(change_id):
                text = f"change ID {change_id!r} was used with another document"
                raise ApiError(ErrorCode.CHANGE_ID_REUSED, text)
            case configuration_commands.DocumentTooLarge(size, limit):
                text = f"the document has {size} bytes; at most {limit} are allowed"
                raise ApiError(ErrorCode.BODY_TOO_LARGE, text)
            case _:
                raise AssertionError(f"unexpected answer {outcome!r}")

    async def _drain(self, body: bytes) -> operations.DrainAnswer:
        request = _decode(body, operations.DrainRequest)
        own_id = self._view.settings.daemon.id
        if request.daemon != own_id:
            raise ApiError(ErrorCode.WRONG_DAEMON, f"this is daemon {own_id!r}")
        seconds = request.deadline_seconds or self._view.settings.timeouts.drain_seconds
        self._stop(seconds)
        return operations.DrainAnswer(
            daemon=own_id,
            draining=True,
            running=self._view.traffic.running,
            deadline_seconds=seconds,
        )

    async def _add_voter(self, body: bytes) -> operations.VoterAnswer:
        request = _decode(body, operations.VoterRequest)
        if request.address is None or request.zone is None:
            raise ApiError(ErrorCode.BAD_REQUEST, "address and zone are needed to add a voter")
        return await self._change_voters(
            self._view.voter_changes.add(request.id, request.address, request.zone)
        )

    async def _remove_voter(self, body: bytes) -> operations.VoterAnswer:
        request = _decode(body, operations.VoterRequest)
        return await self._change_voters(self._view.voter_changes.remove(request.id))

    async def _change_voters(self, change: Awaitable[object]) -> operations.VoterAnswer:
        try:
            await change
        except voters.VoterChangeError as error:
            raise ApiError(ErrorCode(error.code), str(error), error.execution) from error
        except coordination_errors.CoordinationError as error:
            raise ApiError(ErrorCode.OUTCOME_UNKNOWN, str(error), "unknown") from error
        return operations.VoterAnswer(voters=self._view.voters())


def _decode(body: bytes, request_type: type) -> object:
    try:
        return msgspec.json.decode(body, type=request_type)
    except msgspec.MsgspecError as error:
        raise ApiError(ErrorCode.BAD_REQUEST, str(error)) from error


def _error_response(error: ApiError) -> message.Response:
    detail = operations.ErrorDetail(code=error.code, message=str(error), execution=error.execution)
    status = operationerrors.MEANINGS[error.code].status
    return message.json_response(status, operations.ErrorAnswer(error=detail))
