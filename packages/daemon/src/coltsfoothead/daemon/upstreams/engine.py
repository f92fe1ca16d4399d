"""Client side of the model engines' interface."""

import dataclasses
import re
from collections.abc import Callable, Mapping, Sequence

import msgspec

from coltsfoothead.daemon.http import client as http_client
from coltsfoothead.daemon.http import errors, message

__all__ = ["EngineRefusedError", "Event", "Finished", "Started", "Tokens", "cancel", "generate"]

CHAT_PATH = "/v1/chat/completions"
CANCEL_PATH = "/v1/cancel"
CANCEL_SECONDS = 2.0
REFUSAL_BODY_BYTES = 64 * 1024


class EngineRefusedError(errors.HttpError):
    """The engine answered with an error status, so it did not generate."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(f"status {status}: {text}")
        self.status = status


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """The engine took the request."""


class Tokens(msgspec.Struct, frozen=True, gc=False):
    """Consecutive pieces of text; `offset` is the first one's place in the answer."""

    offset: int
    texts: Sequence[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """The end of an answer with the engine's usage counts."""

    reason: str
    prompt_tokens: int
    completion_tokens: int


Event = Started | Tokens | Finished


class _Delta(msgspec.Struct, gc=False):
    content: str | None = None


class _Choice(msgspec.Struct, gc=False):
    delta: _Delta = msgspec.field(default_factory=_Delta)
    finish_reason: str | None = None


class _Usage(msgspec.Struct, gc=False):
    prompt_tokens: int = 0
    completion_tokens: int = 0


class _Chunk(msgspec.Struct, gc=False):
    choices: list[_Choice] = msgspec.field(default_factory=list)
    usage: _Usage | None = None


_TOKEN_EVENT = re.compile(rb"id: ([0-9]{1,12})\ndata: ([^\n]*)")
_chunk_decoder = msgspec.json.Decoder(_Chunk)


async def generate(
    client: http_client.Client,
    address: str,
    body: Mapping[str, object],
    request_id: str,
    attempt: int,
    silence_seconds: float,
    take: Callable[[Event], None],
) -> None:
    """Streams an answer from an engine; returns at its end.

    Parameters
    ----------
    client : Client
    address : str
        The engine, ``IP:port``.
    body : mapping
        Chat-completions body; ``resume_tokens`` holds the pieces that exist already.
    request_id : str
    attempt : int
        Number of this attempt; the engine cancels by request ID and attempt.
    silence_seconds : float
        Bound on the time between any two bytes.
    take : callable
        Called with each event as it arrives. It must not block; what it raises is raised here.

    Raises
    ------
    ConnectError
        If nothing was sent.
    EngineRefusedError
        If the engine answered with an error status.
    UpstreamBrokeError
        If the stream broke or went silent.
    """
    headers = (
        ("content-type", message.JSON_TYPE),
        ("x-request-id", request_id),
        ("x-attempt", str(attempt)),
    )
    request = message.Request("POST", CHAT_PATH, headers, msgspec.json.encode(body))
    answer = await client.send(address, request, silence_seconds)
    try:
        if answer.status != 200:
            text = await answer.read(silence_seconds, REFUSAL_BODY_BYTES)
            raise EngineRefusedError(answer.status, text.decode(errors="replace")[:200])
        take(Started())
        parser = _Parser(take)
        await answer.pump(parser.feed, silence_seconds)
        parser.end()
    finally:
        answer.close()


class _Parser:
    """Turns the body of an engine's answer into events."""

    def __init__(self, take: Callable[[Event], None]) -> None:
        self._take = take
        self._rest = b""
        self._done = False
        self._reason: str | None = None
        self._usage = _Usage()

    def feed(self, data: bytes) -> None:
        """Takes a part of the body; its whole tokens become one event."""
        if self._rest:
            data = self._rest + data
        *blocks, self._rest = data.split(b"\n\n")
        first = -1
        texts: list[str] = []
        for block in blocks:
            event_id, payload = _parse(block)
            if payload is None or self._done:
                continue
            if payload == b"[DONE]":
                self._done = True
                continue
            chunk = _decode(payload)
            if chunk.usage is not None:
                self._usage = chunk.usage
            for choice in chunk.choices:
                self._reason = choice.finish_reason or self._reason
                if choice.delta.content:
                    first = _check_offset(first, len(texts), event_id)
                    texts.append(choice.delta.content)
        if texts:
            self._take(Tokens(first, texts))

    def end(self) -> None:
        """Takes the end of the body."""
        if not self._done or self._reason is None:
            raise errors.UpstreamBrokeError("stream ended early")
        usage = self._usage
        self._take(Finished(self._reason, usage.prompt_tokens, usage.completion_tokens))


def _check_offset(first: int, count: int, offset: int | None) -> int:
    """Returns the offset of the batch's first piece; pieces must follow each other."""
    if offset is None or (count and offset != first + count):
        raise errors.UpstreamBrokeError(f"a token arrived with offset {offset}")
    return first if count else offset


def _parse(block: bytes) -> tuple[int | None, bytes | None]:
    """Returns ID and data of one server-sent event; the data is None for comments."""
    # One match takes a third of the time of the line by line parsing below, which takes any order.
    token = _TOKEN_EVENT.fullmatch(block)
    if token is not None:
        return int(token[1]), token[2]
    if block.startswith(b":"):
        return None, None
    event_id = None
    payload = None
    for line in block.split(b"\n"):
        if line.startswith(b"data:"):
            payload = line[5:].strip()
        elif line.startswith(b"id:"):
            value = line[3:].strip()
            event_id = int(value) if value.isdigit() else None
    return event_id, payload


def _decode(payload: bytes) -> _Chunk:
    try:
        return _chunk_decoder.decode(payload)
    except msgspec.MsgspecError as error:
        raise errors.UpstreamBrokeError(f"malformed chunk: {error}") from error


async def cancel(client: http_client.Client, address: str, request_id: str, attempt: int) -> None:
    """Asks an engine to stop an attempt; failures are of no consequence and are ignored."""
    body = msgspec.json.encode({"request_id": request_id, "attempt": attempt})
    request = message.Request("POST", CANCEL_PATH, (("content-type", message.JSON_TYPE),), body)
    try:
        answer = await client.send(address, request, CANCEL_SECONDS)
        await answer.read(CANCEL_SECONDS, REFUSAL_BODY_BYTES)
    except errors.HttpError:
        pass
