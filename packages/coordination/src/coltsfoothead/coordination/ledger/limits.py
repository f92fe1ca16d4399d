"""Settings of the ledger, limit of the answer size and size accounting of answers."""

import hashlib

import msgspec

from coltsfoothead.coordination.ledger import commands

__all__ = ["Settings", "answer_size_bytes", "limit_answer_size"]

_HOUR_MS = 3_600_000
_ANSWER_LIMIT_BYTES = 64 * 1024


class Settings(msgspec.Struct, frozen=True):
    """Retention times and limits; must be equal on all replicas.

    Parameters
    ----------
    retention_ms : int
        Retention of answers in milliseconds.
    tombstone_ms : int
        Retention of the key's digest after that of the answer, in milliseconds.
    answer_limit_bytes : int
        Largest answer, headers included, that is stored in full.
    expire_batch : int
        Maximum number of records and tombstones that one `Expire` processes.
    """

    retention_ms: int = 24 * _HOUR_MS
    tombstone_ms: int = 7 * 24 * _HOUR_MS
    answer_limit_bytes: int = _ANSWER_LIMIT_BYTES
    expire_batch: int = 1000


def answer_size_bytes(answer: commands.Answer | commands.AnswerDigest | None) -> int:
    """Returns the size of the variable-length parts of a stored answer in bytes."""
    match answer:
        case commands.Answer():
            headers = sum(len(name) + len(value) for name, value in answer.headers)
            return headers + len(answer.body)
        case commands.AnswerDigest():
            return len(answer.digest)
    return 0


def limit_answer_size(
    answer: commands.Answer | commands.AnswerDigest, limit_bytes: int = _ANSWER_LIMIT_BYTES
) -> commands.Answer | commands.AnswerDigest:
    """Returns the answer, or an `AnswerDigest` in its place if it exceeds the limit.

    Notes
    -----
    Callers apply this before they propose `Complete`, which keeps large bodies out of the log.
    The state machine applies the limit again.
    """
    if isinstance(answer, commands.AnswerDigest) or answer_size_bytes(answer) <= limit_bytes:
        return answer
    digest = hashlib.sha256(answer.body).digest()
    return commands.AnswerDigest(answer.status, digest, len(answer.body))
