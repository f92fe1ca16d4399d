"""Deltas between versions of a document."""

import difflib
import hashlib
import itertools

import msgspec

from coltsfoothead.coordination import errors

__all__ = ["DeltaMismatchError", "Piece", "apply", "digest", "make"]

# Line matching takes quadratic time at worst; beyond this the changed middle is sent whole.
_MATCHED_LINES = 2000
# A copied range costs up to 11 bytes encoded, so shorter ones are cheaper as text.
_SHORTEST_COPY_BYTES = 12

Piece = tuple[int, int] | bytes
"""Offset and length in the base document, or new text."""


class DeltaMismatchError(errors.CoordinationError):
    """A delta does not lead to the document it was made for."""


def digest(document: bytes) -> str:
    """Returns the SHA-256 of a document in hexadecimal."""
    return hashlib.sha256(document).hexdigest()


def make(base: bytes, target: bytes) -> tuple[Piece, ...] | None:
    """Returns pieces that build `target` from `base`, or None if that saves nothing."""
    old, new = base.splitlines(keepends=True), target.splitlines(keepends=True)
    pairs = zip(old, new, strict=False)
    head = sum(1 for _ in itertools.takewhile(lambda pair: pair[0] == pair[1], pairs))
    pairs = zip(reversed(old[head:]), reversed(new[head:]), strict=False)
    tail = sum(1 for _ in itertools.takewhile(lambda pair: pair[0] == pair[1], pairs))
    old_end, new_end = len(old) - tail, len(new) - tail
    blocks = [(0, 0, head), *_match(old, new, head, old_end, new_end), (old_end, new_end, tail)]
    pieces = _pieces(old, new, blocks)
    if len(msgspec.msgpack.encode(pieces)) >= len(target):
        return None
    return tuple(pieces)


def apply(base: bytes, pieces: tuple[Piece, ...], expected_digest: str) -> bytes:
    """Returns the document that the pieces build from `base`.

    Raises
    ------
    DeltaMismatchError
        If its digest is not the expected one.
    """
    document = b"".join(
        piece if isinstance(piece, bytes) else base[piece[0] : piece[0] + piece[1]]
        for piece in pieces
    )
    found = digest(document)
    if found != expected_digest:
        raise DeltaMismatchError(f"delta gives digest {found}, expected {expected_digest}")
    return document


def _match(
    old: list[bytes], new: list[bytes], head: int, old_end: int, new_end: int
) -> list[tuple[int, int, int]]:
    if max(old_end, new_end) - head > _MATCHED_LINES:
        return []
    matcher = difflib.SequenceMatcher(None, old[head:old_end], new[head:new_end], autojunk=False)
    return [(head + a, head + b, size) for a, b, size in matcher.get_matching_blocks() if size]


def _pieces(old: list[bytes], new: list[bytes], blocks: list[tuple[int, int, int]]) -> list[Piece]:
    offsets = list(itertools.accumulate(map(len, old), initial=0))
    pieces: list[Piece] = []
    text = b""
    position = 0
    for old_start, new_start, size in blocks:
        text += b"".join(new[position:new_start])
        position = new_start + size
        start, length = offsets[old_start], offsets[old_start + size] - offsets[old_start]
        if length < _SHORTEST_COPY_BYTES:
            text += b"".join(new[new_start:position])
            continue
        if text:
            pieces.append(text)
            text = b""
        pieces.append((start, length))
    return [*pieces, text] if text else pieces
