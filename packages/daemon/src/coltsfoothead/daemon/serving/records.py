"""Form in which a request and its end travel to a guard."""

import time

import msgspec

from coltsfoothead.coordination.guard import messages
from coltsfoothead.daemon.callers import refusals
from coltsfoothead.daemon.serving import requests

__all__ = ["Description", "describe", "description_of", "encode_end", "restore"]


class Description(msgspec.Struct, frozen=True):
    """What a new owner needs to run a request.

    `expires_at` is wall-clock time, since monotonic clocks of two VMs cannot be compared.
    """

    organisation: str
    body: bytes
    created: int
    expires_at: float
    owner: str
    owner_incarnation: int
    session: int


class CompletedEnd(msgspec.Struct, frozen=True, tag="completed"):
    """The answer is whole."""

    reason: str
    prompt_tokens: int
    completion_tokens: int


class RefusedEnd(msgspec.Struct, frozen=True, tag="refused"):
    """The request was given up."""

    code: str
    message: str
    execution: str
    retry_after_seconds: float | None


_decode_description = msgspec.msgpack.Decoder(Description).decode
_decode_end = msgspec.msgpack.Decoder(CompletedEnd | RefusedEnd).decode
_encode = msgspec.msgpack.encode


def describe(request: requests.ModelRequest, owner: str, incarnation: int, session: int) -> bytes:
    """Returns the description of a request that this daemon owns.

    Parameters
    ----------
    request : ModelRequest
    owner : str
        This daemon.
    incarnation : int
    session : int
        Number of the pairing with guards; grows with every guard that was replaced.
    """
    left = request.deadline - time.monotonic()
    return _encode(
        Description(
            request.organisation,
            msgspec.json.encode(request.body),
            request.created,
            time.time() + left,
            owner,
            incarnation,
            session,
        )
    )


def description_of(held: messages.Copy) -> Description:
    """Returns the description in a copy."""
    return _decode_description(held.description)


def encode_end(end: requests.Completion | refusals.Refusal) -> bytes:
    """Returns the encoded end of a request."""
    match end:
        case requests.Completion(reason, prompt_tokens, completion_tokens):
            return _encode(CompletedEnd(reason, prompt_tokens, completion_tokens))
        case refusals.Refusal(code, text, execution, retry_after_seconds):
            return _encode(RefusedEnd(code.value, text, execution.value, retry_after_seconds))


def restore(held: messages.Copy, now: float) -> requests.ModelRequest:
    """Returns the request that a copy describes, with all its tokens released.

    Parameters
    ----------
    held : Copy
    now : float
        Monotonic seconds.
    """
    description = _decode_description(held.description)
    request = requests.ModelRequest(
        held.request_id,
        description.organisation,
        msgspec.json.decode(description.body),
        description.created,
        now + description.expires_at - time.time(),
    )
    request.attempt = held.attempt
    request.epoch = held.epoch
    request.accepted = True
    request.tokens.extend(chunk.data.decode() for chunk in held.chunks)
    if held.result is not None:
        request.finish(_end(held), now)
    # The previous owner may have delivered every token that its guard acknowledged.
    request.release(len(request.tokens), end=held.result is not None)
    return request


def _end(held: messages.Copy) -> requests.Completion | refusals.Refusal:
    match _decode_end(held.result):
        case CompletedEnd(reason, prompt_tokens, completion_tokens):
            return requests.Completion(reason, prompt_tokens, completion_tokens)
        case RefusedEnd(code, text, execution, retry_after_seconds):
            return refusals.Refusal(
                refusals.Code(code),
                text,
                refusals.Execution(execution),
                retry_after_seconds,
                held.request_id,
            )
