"""Turns the entry's own events into the figures that routing and outlier detection read."""

import dataclasses
import math

from coltsfoothead.kernel import views

__all__ = ["Event", "Failed", "Finished", "FirstToken", "Observer", "Sent", "Token"]

_TOKEN_MEMORY_SECONDS = 1.0  # slow-downs last moments, so older gaps say little
_PREFILL_MEMORY_SECONDS = 5.0  # a first token comes far less often than a token
_FAILURE_MEMORY_SECONDS = 10.0
_FORGET_SECONDS = 20.0  # an unused upstream drifts back to the prior and is tried again
_MAX_SAMPLES = 50.0
_FIGURES_REUSE_SECONDS = 0.02  # unchanged figures are reused; building them costs most
_MIN_PREFILL_TOKENS = 32  # below this the fixed cost of a request hides the cost per token


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """An attempt was sent; `stream` is unique per attempt."""

    stream: str
    upstream: str
    prefill_tokens: int
    predicted_tokens: float
    request_class: views.RequestClass
    at: float
    expected_wait_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class FirstToken:
    """The first token of an attempt arrived."""

    stream: str
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Token:
    """Further tokens of an attempt arrived together."""

    stream: str
    at: float
    count: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """An attempt ended well, or was cancelled by this entry."""

    stream: str
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """An attempt ended by a fault of the upstream."""

    stream: str
    at: float


_UNKNOWN = views.Figures()
Event = Sent | FirstToken | Token | Finished | Failed


class _Mean:
    """Time-weighted exponential mean; one slow token does not count as many quick ones."""

    __slots__ = ("_at", "_memory", "_samples", "_value")

    def __init__(self, memory_seconds: float):
        self._memory = memory_seconds
        self._value = 0.0
        self._samples = 0.0
        self._at = -math.inf

    def add(self, value: float, covers_seconds: float, at: float) -> None:
        gain = max(1.0 / (self._samples + 1.0), 1.0 - math.exp(-covers_seconds / self._memory))
        self._value += gain * (value - self._value)
        self._samples = min(_MAX_SAMPLES, self._kept(at) + 1.0)
        self._at = max(self._at, at)

    def _kept(self, now: float) -> float:
        if not self._samples:
            return 0.0
        return self._samples * math.exp(-max(0.0, now - self._at) / _FORGET_SECONDS)

    def estimate(self, now: float) -> views.Estimate:
        return views.Estimate(self._value, self._kept(now))


@dataclasses.dataclass(slots=True)
class _Stream:
    upstream: str
    sent: Sent
    remaining_tokens: float
    last_at: float
    decoding: bool = False


class _Upstream:
    __slots__ = (
        "decoding",
        "failures",
        "figures",
        "figures_at",
        "gap",
        "inflight",
        "long",
        "outstanding",
        "prefill",
        "seen_at",
        "token",
    )

    def __init__(self) -> None:
        self.inflight = 0
        self.long = 0
        self.decoding = 0
        self.outstanding = 0.0
        self.seen_at = -math.inf
        self.figures: views.Figures | None = None
        self.figures_at = -math.inf
        self.gap = _Mean(_TOKEN_MEMORY_SECONDS)
        self.token = _Mean(_TOKEN_MEMORY_SECONDS)
        self.prefill = _Mean(_PREFILL_MEMORY_SECONDS)
        self.failures = _Mean(_FAILURE_MEMORY_SECONDS)

    def stall_ratio(self, now: float) -> float:
        usual = self.gap.estimate(now)
        if not self.decoding or not usual.samples or usual.value <= 0:
            return 0.0
        return max(0.0, now - self.seen_at) / usual.value


class Observer:
    """Follows the attempts of this entry.

    Events of streams that are unknown or have ended are ignored, since they may arrive late.
    """

    def __init__(self) -> None:
        self._streams: dict[str, _Stream] = {}
        self._upstreams: dict[str, _Upstream] = {}

    def observe(self, event: Event) -> None:
        """Takes one event."""
        if isinstance(event, Sent):
            self._sent(event)
            return
        stream = self._streams.get(event.stream)
        if stream is None:
            return
        upstream = self._upstreams[stream.upstream]
        upstream.figures = None
        match event:
            case FirstToken(at=at):
                self._first_token(stream, upstream, at)
            case Token(at=at, count=count):
                self._token(stream, upstream, at, count)
            case Finished(at=at):
                self._end(event.stream, stream, upstream)
                upstream.failures.add(0.0, 1.0, at)
            case Failed(at=at):
                self._end(event.stream, stream, upstream)
                upstream.failures.add(1.0, 1.0, at)

    def predicted(self, stream: str, remaining_tokens: float) -> None:
        """Replaces the predicted rest of an attempt after a corrected prediction."""
        known = self._streams.get(stream)
        if known is not None:
            upstream = self._upstreams[known.upstream]
            upstream.figures = None
            upstream.outstanding += remaining_tokens - known.remaining_tokens
            known.remaining_tokens = remaining_tokens

    def figures(self, upstream: str, now: float) -> views.Figures:
        """Returns the figures of one upstream; an unknown one has no samples."""
        known = self._upstreams.get(upstream)
        if known is None:
            return _UNKNOWN
        if known.figures is None or not 0 <= now - known.figures_at <= _FIGURES_REUSE_SECONDS:
            known.figures, known.figures_at = self._figures(known, now), now
        return known.figures

    @staticmethod
    def _figures(known: _Upstream, now: float) -> views.Figures:
        return views.Figures(
            inflight=known.inflight,
            inflight_long=known.long,
            outstanding_tokens=max(0.0, known.outstanding),
            seconds_per_token=known.token.estimate(now),
            seconds_per_prefill_token=known.prefill.estimate(now),
            failure_rate=known.failures.estimate(now),
            stall_ratio=known.stall_ratio(now),
        )

    def forget(self, upstream: str) -> None:
        """Drops an upstream that has left the directory, with its streams."""
        self._upstreams.pop(upstream, None)
        gone = [key for key, stream in self._streams.items() if stream.upstream == upstream]
        for key in gone:
            del self._streams[key]

    def _sent(self, event: Sent) -> None:
        if event.stream in self._streams:
            return
        upstream = self._upstreams.setdefault(event.upstream, _Upstream())
        stream = _Stream(event.upstream, event, event.predicted_tokens, event.at)
        self._streams[event.stream] = stream
        upstream.figures = None
        upstream.inflight += 1
        upstream.long += event.request_class is views.RequestClass.LONG
        upstream.outstanding += event.predicted_tokens

    def _first_token(self, stream: _Stream, upstream: _Upstream, at: float) -> None:
        if stream.decoding:
            return
        tokens = stream.sent.prefill_tokens
        took = at - stream.sent.at - stream.sent.expected_wait_seconds
        if tokens >= _MIN_PREFILL_TOKENS and took > 0:
            upstream.prefill.add(took / tokens, took, at)
        stream.decoding = True
        upstream.decoding += 1
        self._advance(stream, upstream, at, 1)

    def _token(self, stream: _Stream, upstream: _Upstream, at: float, count: int) -> None:
        if not stream.decoding:
            self._first_token(stream, upstream, at)
            return
        gap = max(0.0, at - stream.last_at)
        # Streams decode side by side, so each gap covers its share of the wall-clock time.
        covers = gap / upstream.decoding
        upstream.token.add(gap / count, covers, at)
        # Upstreams may send several tokens together, so silence is judged by gaps, not tokens.
        upstream.gap.add(gap, covers, at)
        self._advance(stream, upstream, at, count)

    @staticmethod
    def _advance(stream: _Stream, upstream: _Upstream, at: float, count: int) -> None:
        used = min(stream.remaining_tokens, count)
        stream.remaining_tokens -= used
        upstream.outstanding -= used
        stream.last_at = at
        upstream.seen_at = max(upstream.seen_at, at)

    def _end(self, key: str, stream: _Stream, upstream: _Upstream) -> None:
        del self._streams[key]
        upstream.inflight -= 1
        upstream.long -= stream.sent.request_class is views.RequestClass.LONG
        upstream.decoding -= stream.decoding
        upstream.outstanding -= stream.remaining_tokens
