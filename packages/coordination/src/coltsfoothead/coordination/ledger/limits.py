"""Settings of the ledger, the answer size limit and the accounting of record sizes."""

import hashlib

import msgspec

from coltsfoothead.coordination.ledger import commands

__all__ = ["Settings", "answer_bytes", "capped"]

_HOUR_MS = 3_600_000
_ANSWER_LIMIT_BYTES = 64 * 1024


class Settings(msgspec.Struct, frozen=True):
    """Retention and bounds; equal on all replicas.

    Parameters
    ----------
    retention_ms : int
        How long answers are kept.
    tombstone_ms : int
        How long the key's digest is kept after that.
    answer_limit_bytes : int
        Largest answer, headers included, that is kept whole.
    expire_batch : int
        Most records that one `Expire` shrinks or removes.
    """

    retention_ms: int = 24 * _HOUR_MS
    tombstone_ms: int = 7 * 24 * _HOUR_MS
    answer_limit_bytes: int = _ANSWER_LIMIT_BYTES
    expire_batch: int = 1000


def answer_bytes(answer: commands.Answer | commands.AnswerDigest | None) -> int:
    """Returns the variable part of a stored answer's size."""
    match answer:
        case commands.Answer():
            headers = sum(len(name) + len(value) for name, value in answer.headers)
            return headers + len(answer.body)
        case commands.AnswerDigest():
            return len(answer.digest)
    return 0


def capped(
    answer: commands.Answer | commands.AnswerDigest, limit_bytes: int = _ANSWER_LIMIT_BYTES
) -> commands.Answer | commands.AnswerDigest:
    """Returns the answer, or its digest and status if it is above the limit.

    Notes
    -----
    Call it before proposing `Complete`, so that large bodies stay out of the log. The state
    machine applies the limit as well.
    """
    if isinstance(answer, commands.AnswerDigest) or answer_bytes(answer) <= limit_bytes:
        return answer
    digest = hashlib.sha256(answer.body).digest()
    return commands.AnswerDigest(answer.status, digest, len(answer.body))
