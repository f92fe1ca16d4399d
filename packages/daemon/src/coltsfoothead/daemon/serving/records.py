"""Encoding of a request and of its end for the copy at a guard."""

import time

import msgspec

from coltsfoothead.coordination.guard import messages
from coltsfoothead.daemon.callers import refusals
from coltsfoothead.daemon.serving import requests

__all__ = [
    "Description",
    "decode_description",
    "encode_description",
    "encode_end",
    "restore_request",
]


class Description(msgspec.Struct, frozen=True):
    """Data that a new owner needs to run a request.

    `expires_at` is wall-clock time in seconds since the epoch, because the monotonic clocks of two
    VMs cannot be compared.
    """

    organisation: str
    body: bytes
    created: int
    expires_at: float
    owner: str
    owner_incarnation: int
    session: int


class CompletedEnd(msgspec.Struct, frozen=True, tag="completed"):
    """End of a request whose answer is complete."""

    reason: str
    prompt_tokens: int
    completion_tokens: int


class RefusedEnd(msgspec.Struct, frozen=True, tag="refused"):
    """End of a request that was refused or failed."""

    code: str
    message: str
    execution: str
    retry_after_seconds: float | None


_decode_description = msgspec.msgpack.Decoder(Description).decode
_decode_end = msgspec.msgpack.Decoder(CompletedEnd | RefusedEnd).decode
_encode = msgspec.msgpack.encode


def encode_description(
    request: requests.ModelRequest, owner: str, incarnation: int, session: int
) -> bytes:
    """Returns the encoded description of a request that this daemon owns.

    Parameters
    ----------
    request : ModelRequest
    owner : str
        ID of this daemon.
    incarnation : int
    session : int
        Number of the pairing session with the guards; it grows with each replaced guard.
    """
    seconds_left = request.deadline - time.monotonic()
    return _encode(
        Description(
            request.organisation,
            msgspec.json.encode(request.body),
            request.created,
            time.time() + seconds_left,
            owner,
            incarnation,
            session,
        )
    )


def decode_description(copy: messages.Copy) -> Description:
    """Returns the decoded description of a copy."""
    return _decode_description(copy.description)


def encode_end(end: requests.Completion | refusals.Refusal) -> bytes:
    """Returns the encoded end of a request."""
    match end:
        case requests.Completion(reason, prompt_tokens, completion_tokens):
            return _encode(CompletedEnd(reason, prompt_tokens, completion_tokens))
        case refusals.Refusal(code, text, execution, retry_after_seconds):
            return _encode(RefusedEnd(code.value, text, execution.value, retry_after_seconds))


def restore_request(copy: messages.Copy, now: float) -> requests.ModelRequest:
    """Returns the request that a copy holds, with all its tokens released.

    Parameters
    ----------
    copy : Copy
    now : float
        Monotonic seconds.
    """
    description = _decode_description(copy.description)
    request = requests.ModelRequest(
        copy.request_id,
        description.organisation,
        msgspec.json.decode(description.body),
        description.created,
        now + description.expires_at - time.time(),
    )
    request.attempt = copy.attempt
    request.epoch = copy.epoch
    request.accepted = True
    request.tokens.extend(chunk.data.decode() for chunk in copy.chunks)
    if copy.result is not None:
        request.finish(_decode_result(copy), now)
    # The previous owner may have delivered every token that its guard acknowledged.
    request.release(len(request.tokens), end=copy.result is not None)
    return request


def _decode_result(copy: messages.Copy) -> requests.Completion | refusals.Refusal:
    match _decode_end(copy.result):
        case CompletedEnd(reason, prompt_tokens, completion_tokens):
            return requests.Completion(reason, prompt_tokens, completion_tokens)
        case RefusedEnd(code, text, execution, retry_after_seconds):
            return refusals.Refusal(
                refusals.Code(code),
                text,
                refusals.Execution(execution),
                retry_after_seconds,
                copy.request_id,
            )
