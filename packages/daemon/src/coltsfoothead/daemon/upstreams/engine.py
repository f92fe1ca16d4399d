"""Client of the model engines' HTTP interface."""

import dataclasses
import re
from collections.abc import Callable, Mapping, Sequence

import msgspec

from coltsfoothead.daemon.http import client as http_client
from coltsfoothead.daemon.http import errors, message

__all__ = ["EngineRefusedError", "Event", "Finished", "Started", "Tokens", "cancel", "generate"]

CHAT_PATH = "/v1/chat/completions"
CANCEL_PATH = "/v1/cancel"
CANCEL_TIMEOUT_SECONDS = 2.0
MAX_ERROR_BODY_BYTES = 64 * 1024


class EngineRefusedError(errors.HttpError):
    """The engine answered with an error status, so it did not generate."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(f"status {status}: {text}")
        self.status = status


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """The engine accepted the request."""


class Tokens(msgspec.Struct, frozen=True, gc=False):
    """Consecutive tokens; `offset` is the position of the first one in the answer."""

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
    on_event: Callable[[Event], None],
) -> None:
    """Streams an answer from an engine; returns when it has ended.

    Parameters
    ----------
    client : Client
    address : str
        Address of the engine as ``IP:port``.
    body : mapping
        Chat-completions body; ``resume_tokens`` holds the tokens generated so far.
    request_id : str
    attempt : int
        Number of this attempt. A cancellation names the request ID and the attempt.
    silence_seconds : float
        Longest time without data from the engine.
    on_event : callable
        Called with each event as it arrives. It must not block; its exceptions are raised here.

    Raises
    ------
    ConnectError
        If nothing was sent.
    EngineRefusedError
        If the engine answered with an error status.
    UpstreamBrokeError
        If the stream broke, was malformed or went silent.
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
            text = await answer.read(silence_seconds, MAX_ERROR_BODY_BYTES)
            raise EngineRefusedError(answer.status, text.decode(errors="replace")[:200])
        on_event(Started())
        parser = _Parser(on_event)
        await answer.pump(parser.feed, silence_seconds)
        parser.end()
    finally:
        answer.close()


class _Parser:
    """Incremental parser that turns the body of an engine's response into events."""

    def __init__(self, on_event: Callable[[Event], None]) -> None:
        self._on_event = on_event
        self._incomplete = b""
        self._done = False
        self._finish_reason: str | None = None
        self._usage = _Usage()

    def feed(self, data: bytes) -> None:
        """Parses a part of the body; all tokens completed by it are passed on as one event."""
        if self._incomplete:
            data = self._incomplete + data
        *blocks, self._incomplete = data.split(b"\n\n")
        first = -1
        texts: list[str] = []
        for block in blocks:
            event_id, payload = _parse_event(block)
            if payload is None or self._done:
                continue
            if payload == b"[DONE]":
                self._done = True
                continue
            chunk = _decode_chunk(payload)
            if chunk.usage is not None:
                self._usage = chunk.usage
            for choice in chunk.choices:
                self._finish_reason = choice.finish_reason or self._finish_reason
                if choice.delta.content:
                    first = _check_offset(first, len(texts), event_id)
                    texts.append(choice.delta.content)
        if texts:
            self._on_event(Tokens(first, texts))

    def end(self) -> None:
        """Processes the end of the body.

        Raises
        ------
        UpstreamBrokeError
            If the body ended before the answer was complete.
        """
        if not self._done or self._finish_reason is None:
            raise errors.UpstreamBrokeError("stream ended early")
        usage = self._usage
        self._on_event(Finished(self._finish_reason, usage.prompt_tokens, usage.completion_tokens))


def _check_offset(first: int, count: int, offset: int | None) -> int:
    """Returns the offset of the batch's first token; offsets must be consecutive."""
    if offset is None or (count and offset != first + count):
        raise errors.UpstreamBrokeError(f"a token arrived with offset {offset}")
    return first if count else offset


def _parse_event(block: bytes) -> tuple[int | None, bytes | None]:
    """Returns the ID and data of one server-sent event; the data is None for comments."""
    # The regular expression takes a third of the time of parsing line by line as below, which
    # accepts the fields in any order.
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


def _decode_chunk(payload: bytes) -> _Chunk:
    try:
        return _chunk_decoder.decode(payload)
    except msgspec.MsgspecError as error:
        raise errors.UpstreamBrokeError(f"malformed chunk: {error}") from error


async def cancel(client: http_client.Client, address: str, request_id: str, attempt: int) -> None:
    """Asks an engine to stop an attempt; failures are harmless and ignored."""
    body = msgspec.json.encode({"request_id": request_id, "attempt": attempt})
    request = message.Request("POST", CANCEL_PATH, (("content-type", message.JSON_TYPE),), body)
    try:
        answer = await client.send(address, request, CANCEL_TIMEOUT_SECONDS)
        await answer.read(CANCEL_TIMEOUT_SECONDS, MAX_ERROR_BODY_BYTES)
    except errors.HttpError:
        pass
