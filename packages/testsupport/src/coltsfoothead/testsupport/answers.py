"""Deterministic prompts, answers and prefix-block IDs of the fake engine.

A prompt is rendered as `role: content` and a newline for each message, then `assistant: `. Its
tokens are words with the white space after them. Answer token `i` is a pure function of the
rendered prompt and `i`, so checks can verify an answer without asking the engine.
"""

import re
from collections.abc import Iterable
from typing import Any

import xxhash

__all__ = ["BLOCK_TOKENS", "answer", "answer_length", "blocks", "render", "token_at", "tokenize"]

BLOCK_TOKENS = 16
_DEFAULT_LENGTH_TOKENS = 32
_LENGTH_MARKER = re.compile(r"\blen=(\d+)")


def render(messages: Iterable[dict[str, Any]]) -> str:
    """Returns the prompt text of chat messages; content may be a string or text parts."""
    lines = []
    for message in messages:
        content = message.get("content") or ""
        if not isinstance(content, str):
            content = "".join(part.get("text", "") for part in content)
        lines.append(f"{message['role']}: {content}\n")
    return "".join(lines) + "assistant: "


def tokenize(text: str) -> list[str]:
    """Splits text into words, each with the white space that follows it."""
    return re.findall(r"\S+\s*", text)


def answer_length(prompt: str, max_tokens: int | None) -> int:
    """Returns the answer's length in tokens.

    It is N of the last marker `len=N` in the prompt, 32 without a marker, and at most `max_tokens`.
    """
    markers = _LENGTH_MARKER.findall(prompt)
    length = int(markers[-1]) if markers else _DEFAULT_LENGTH_TOKENS
    return length if max_tokens is None else min(length, max_tokens)


def token_at(prompt: str, index: int) -> str:
    """Returns answer token `index`; it ends with a space."""
    return f"{xxhash.xxh32_hexdigest(prompt.encode(), index & 0xFFFFFFFF)} "


def answer(prompt: str, max_tokens: int | None = None) -> list[str]:
    """Returns all tokens of the answer."""
    return [token_at(prompt, index) for index in range(answer_length(prompt, max_tokens))]


def blocks(tokens: list[str]) -> list[tuple[str, int]]:
    """Returns the ID and the prefix length in UTF-8 bytes of each full block of tokens.

    The ID is the xxh64 of the text from its start to the end of the block, so a router can
    match prompts against cache events without the engine's tokenizer.
    """
    digest = xxhash.xxh64()
    blocks_found = []
    size = 0
    for index, token in enumerate(tokens, start=1):
        data = token.encode()
        digest.update(data)
        size += len(data)
        if index % BLOCK_TOKENS == 0:
            blocks_found.append((digest.hexdigest(), size))
    return blocks_found
