"""Decides what becomes of the streams of an upstream that is leaving."""

import dataclasses
from collections.abc import Sequence

from coltsfoothead.kernel import registry

__all__ = ["Action", "ExportKv", "Finish", "LeavingStream", "Move", "plan_streams"]

_FINISH_SAFETY = 1.3  # predicted lengths and token times are means
_HAND_OVER_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingStream:
    """A stream on the leaving upstream.

    `context_tokens` are the prompt and output tokens that another upstream would have to
    recompute, without those in its prefix cache. `link_bytes_per_second` is 0 where KV cache may
    not be sent, such as between regions.
    """

    stream: str
    context_tokens: int
    remaining_tokens: float
    seconds_per_token: float
    seconds_per_prefill_token: float
    kv_bytes: float
    link_bytes_per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """Let the stream end where it is."""

    stream: str


@dataclasses.dataclass(frozen=True, slots=True)
class ExportKv:
    """Send the KV cache to another upstream and resume there."""

    stream: str


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """Resume on another upstream, which recomputes the context."""

    stream: str
    recomputed_tokens: int


Action = Finish | ExportKv | Move


@registry.register("reclaim", "leasttokens")
def plan_streams(streams: Sequence[LeavingStream], seconds_left: float) -> tuple[Action, ...]:
    """Returns one action per stream, in the order in which they are to be done.

    Notes
    -----
    A stream that ends in time loses nothing. The others share the time on the link: exports are
    chosen by the recomputed tokens they save per second of the link, and only where the bytes
    cross sooner than the context would be recomputed. The rest is moved, the dearest first, so
    that a notice which ends early costs the cheapest moves.
    """
    usable = seconds_left - _HAND_OVER_SECONDS
    finishing, leaving = [], []
    for each in streams:
        needed = each.remaining_tokens * each.seconds_per_token * _FINISH_SAFETY
        (finishing if needed <= usable else leaving).append(each)
    exported, moved = [], []
    for each in sorted(leaving, key=_saved_per_second, reverse=True):
        seconds = _export_seconds(each)
        recompute = each.context_tokens * each.seconds_per_prefill_token
        if seconds is not None and seconds <= usable and seconds < recompute:
            usable -= seconds
            exported.append(ExportKv(each.stream))
        else:
            moved.append(each)
    moved.sort(key=lambda each: each.context_tokens, reverse=True)
    moves = [Move(each.stream, each.context_tokens) for each in moved]
    return (*exported, *moves, *(Finish(each.stream) for each in finishing))


def _export_seconds(stream: LeavingStream) -> float | None:
    if stream.link_bytes_per_second <= 0:
        return None
    return stream.kv_bytes / stream.link_bytes_per_second


def _saved_per_second(stream: LeavingStream) -> float:
    seconds = _export_seconds(stream)
    return 0.0 if seconds is None else stream.context_tokens / max(1e-9, seconds)
