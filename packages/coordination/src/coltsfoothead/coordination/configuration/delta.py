"""Deltas between versions of a document."""

import hashlib
import itertools

import msgspec

from coltsfoothead.coordination import errors

__all__ = ["DeltaMismatchError", "Piece", "apply", "digest", "make"]

# A copied range takes up to 11 encoded bytes, so shorter ranges are cheaper as literal bytes.
_MIN_COPY_BYTES = 12

Piece = tuple[int, int] | bytes
"""Range to copy from the base document, as offset and length, or literal bytes to insert."""


class DeltaMismatchError(errors.CoordinationError):
    """A delta applied to a base does not produce the expected document."""


def digest(document: bytes) -> str:
    """Returns the SHA-256 of a document in hexadecimal."""
    return hashlib.sha256(document).hexdigest()


def make(base: bytes, target: bytes) -> tuple[Piece, ...] | None:
    """Returns the pieces that build `target` from `base`, or None if they are not smaller."""
    old, new = base.splitlines(keepends=True), target.splitlines(keepends=True)
    pieces = _diff(old, new)
    if len(msgspec.msgpack.encode(pieces)) >= len(target):
        return None
    return tuple(pieces)


def apply(base: bytes, pieces: tuple[Piece, ...], expected_digest: str) -> bytes:
    """Returns the document that the pieces build from `base`.

    Raises
    ------
    DeltaMismatchError
        If the digest of the result is not the expected one.
    """
    document = b"".join(
        piece if isinstance(piece, bytes) else base[piece[0] : piece[0] + piece[1]]
        for piece in pieces
    )
    actual_digest = digest(document)
    if actual_digest != expected_digest:
        raise DeltaMismatchError(f"delta gives digest {actual_digest}, expected {expected_digest}")
    return document


def _diff(old: list[bytes], new: list[bytes]) -> list[Piece]:
    # Greedy matching in linear time, because this runs on the event loop: difflib took minutes on
    # 2,000 lines of which many are equal.
    offsets = list(itertools.accumulate(map(len, old), initial=0))
    positions = {pair: position for position, pair in enumerate(itertools.pairwise(old))}
    pieces: list[Piece] = []
    literal_lines: list[bytes] = []
    old_position = new_position = 0
    while new_position < len(new):
        pair = tuple(new[new_position : new_position + 2])
        candidate_starts = (old_position, positions.get(pair, len(old)))
        size, start = max(
            (_count_equal_lines(old, new, candidate, new_position), candidate)
            for candidate in candidate_starts
        )
        length = offsets[start + size] - offsets[start]
        if length < _MIN_COPY_BYTES:
            # Advances in both documents, so that matching resumes after a replaced line.
            literal_lines.append(new[new_position])
            old_position = min(old_position + 1, len(old))
            new_position += 1
            continue
        if literal_lines:
            pieces.append(b"".join(literal_lines))
            literal_lines = []
        pieces.append((offsets[start], length))
        old_position, new_position = start + size, new_position + size
    return [*pieces, b"".join(literal_lines)] if literal_lines else pieces


def _count_equal_lines(old: list[bytes], new: list[bytes], old_start: int, new_start: int) -> int:
    limit = min(len(old) - old_start, len(new) - new_start)
    size = 0
    while size < limit and old[old_start + size] == new[new_start + size]:
        size += 1
    return size
