"""Serves explanations beside the metrics of an entry."""

import urllib.parse
from collections.abc import Awaitable, Callable, Mapping

from coltsfoothead.daemon import errors
from coltsfoothead.daemon.gateway import ports
from coltsfoothead.daemon.gateway.explaining import explainer
from coltsfoothead.daemon.http import message, server
from coltsfoothead.kernel import explanation, operations

__all__ = ["ExplainPage", "decode_question"]

# Bounds of the sizes and the number of the parts of a prompt in a question.
MAX_TOKENS = 10_000_000
MAX_PARTS = 256
_KEYS = frozenset({"host", "path", "prompt_tokens", "output_tokens", "part"})
_STATUSES = {ports.RefusalReason.NO_ROUTE: 404, ports.RefusalReason.NO_KEY: 401}


class MalformedQuestionError(errors.DaemonError):
    """A question whose query cannot be understood."""


class ExplainPage:
    """Answers questions where a request would go; passes other paths on.

    Parameters
    ----------
    request_explainer : Explainer
    other : callable
        Handles the requests for other paths.
    """

    def __init__(
        self,
        request_explainer: explainer.Explainer,
        other: Callable[[server.Exchange], Awaitable[None]],
    ) -> None:
        self._explainer = request_explainer
        self._other = other

    async def handle(self, caller: server.Exchange) -> None:
        """Responds to one request."""
        if caller.request.path != explanation.PATH:
            await self._other(caller)
            return
        await caller.respond(await self._response(caller.request))

    async def _response(self, request: message.Request) -> message.Response:
        if request.method != "GET":
            return _error(405, "method_not_allowed", f"{explanation.PATH} takes GET only")
        try:
            question = decode_question(request)
            return message.json_response(200, await self._explainer.explain(question))
        except MalformedQuestionError as error:
            return _error(400, "bad_request", str(error))
        except explainer.RejectedError as error:
            return _error(_STATUSES[error.reason], error.reason.value, str(error))


def decode_question(request: message.Request) -> explainer.Question:
    """Returns the question in the query and headers of a request.

    Raises
    ------
    MalformedQuestionError
        If the query has an unknown, repeated, missing or malformed key.
    """
    values: dict[str, list[str]] = {}
    try:
        pairs = urllib.parse.parse_qsl(
            request.target.partition("?")[2], True, True, errors="strict"
        )
    except ValueError as error:
        raise MalformedQuestionError(f"the query is malformed: {error}") from error
    for name, value in pairs:
        values.setdefault(name, []).append(value)
    if unknown := sorted(set(values) - _KEYS):
        raise MalformedQuestionError(f"unknown {unknown[0]!r}; known: {', '.join(sorted(_KEYS))}")
    for name, given in values.items():
        if len(given) > 1 and name != "part":
            raise MalformedQuestionError(f"{name!r} is given {len(given)} times")
    host, path = values.get("host", [""])[0], values.get("path", [""])[0]
    if not host:
        raise MalformedQuestionError("'host' is missing")
    if not path.startswith("/"):
        raise MalformedQuestionError(f"'path' has to begin with '/', got {path!r}")
    prompt_tokens = _tokens(values, "prompt_tokens")
    output_tokens = _tokens(values, "output_tokens")
    parts = tuple(_part(text) for text in values.get("part", []))
    if prompt_tokens is None and (parts or output_tokens is not None):
        raise MalformedQuestionError("'part' and 'output_tokens' need 'prompt_tokens'")
    if len(parts) > MAX_PARTS:
        raise MalformedQuestionError(f"more than {MAX_PARTS} parts")
    if sum(each.tokens for each in parts) > (prompt_tokens or 0):
        raise MalformedQuestionError("the parts have more tokens than 'prompt_tokens'")
    key = _bearer_key(request.header("authorization"))
    return explainer.Question(host, path, key, prompt_tokens, output_tokens, parts)


def _tokens(values: Mapping[str, list[str]], name: str) -> int | None:
    return _count(name, values[name][0]) if name in values else None


def _part(text: str) -> ports.PromptPart:
    part_id, _, tokens = text.rpartition(":")
    if not part_id:
        raise MalformedQuestionError(f"'part' is ID:TOKENS, got {text!r}")
    return ports.PromptPart(part_id, _count("part", tokens))


def _count(name: str, text: str) -> int:
    if not (text.isascii() and text.isdigit() and len(text) <= 8 and int(text) <= MAX_TOKENS):
        raise MalformedQuestionError(f"{name!r} takes 0 to {MAX_TOKENS} tokens, got {text!r}")
    return int(text)


def _bearer_key(value: str | None) -> str | None:
    """Returns the key of an Authorization header, or None without the header."""
    if value is None:
        return None
    scheme, _, key = value.strip().partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        # The value may hold a key, which belongs in no message.
        raise MalformedQuestionError("the Authorization header is not of the form 'Bearer KEY'")
    return key.strip()


def _error(status: int, code: str, text: str) -> message.Response:
    detail = operations.ErrorDetail(code=code, message=text)
    return message.json_response(status, operations.ErrorAnswer(error=detail))
