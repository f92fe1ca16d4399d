"""Plans, per stream of a leaving upstream, whether it finishes, is exported or is moved."""

import dataclasses
from collections.abc import Sequence

from coltsfoothead.kernel import registry

__all__ = ["Action", "ExportKv", "Finish", "LeavingStream", "Move", "plan_streams"]

_FINISH_TIME_FACTOR = 1.3  # predicted lengths and token times are means
_HANDOVER_RESERVE_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingStream:
    """A stream on the leaving upstream.

    `context_tokens` is the number of prompt and output tokens that another upstream would have to
    recompute, without those in its prefix cache. `link_bytes_per_second` is 0 where the KV cache
    must not be sent, such as between regions.
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
    """Let the stream finish on the leaving upstream."""

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
    """Returns one action per stream, in the order of execution.

    Notes
    -----
    A stream that finishes in time loses nothing. The others share the link: exports are selected
    by the tokens they save from recomputation per second of link time, and only if the transfer is
    faster than recomputing the context. The remaining streams are moved, those with the most
    tokens to recompute first, so that an early end of the notice affects the cheapest moves.
    """
    usable_seconds = seconds_left - _HANDOVER_RESERVE_SECONDS
    finishing, leaving = [], []
    for each in streams:
        finish_seconds = each.remaining_tokens * each.seconds_per_token * _FINISH_TIME_FACTOR
        (finishing if finish_seconds <= usable_seconds else leaving).append(each)
    exports, moved = [], []
    for each in sorted(leaving, key=_tokens_saved_per_second, reverse=True):
        export_seconds = _export_seconds(each)
        recompute_seconds = each.context_tokens * each.seconds_per_prefill_token
        if (
            export_seconds is not None
            and export_seconds <= usable_seconds
            and export_seconds < recompute_seconds
        ):
            usable_seconds -= export_seconds
            exports.append(ExportKv(each.stream))
        else:
            moved.append(each)
    moved.sort(key=lambda each: each.context_tokens, reverse=True)
    moves = [Move(each.stream, each.context_tokens) for each in moved]
    return (*exports, *moves, *(Finish(each.stream) for each in finishing))


def _export_seconds(stream: LeavingStream) -> float | None:
    if stream.link_bytes_per_second <= 0:
        return None
    return stream.kv_bytes / stream.link_bytes_per_second


def _tokens_saved_per_second(stream: LeavingStream) -> float:
    export_seconds = _export_seconds(stream)
    return 0.0 if export_seconds is None else stream.context_tokens / max(1e-9, export_seconds)
