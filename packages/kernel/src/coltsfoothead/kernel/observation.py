"""Statistics of upstreams from the entry's own attempts, for routing and outlier detection."""

import dataclasses
import math

from coltsfoothead.kernel import views

__all__ = ["Event", "Failed", "Finished", "FirstToken", "Observer", "Sent", "Token"]

_TOKEN_DECAY_SECONDS = 1.0  # slow-downs are short, so older gaps are of little use
_PREFILL_DECAY_SECONDS = 5.0  # first tokens are much rarer than other tokens
_FAILURE_DECAY_SECONDS = 10.0
_SAMPLE_DECAY_SECONDS = 20.0  # an unused upstream returns to the prior and is tried again
_MAX_SAMPLES = 50.0
_STATISTICS_REUSE_SECONDS = 0.02  # unchanged statistics are reused; building them is costly
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
    """An attempt succeeded or was cancelled by this entry."""

    stream: str
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """An attempt failed because of the upstream."""

    stream: str
    at: float


_NO_STATISTICS = views.UpstreamStatistics()
Event = Sent | FirstToken | Token | Finished | Failed


class _DecayingMean:
    """Exponential mean weighted by time, so that fast samples do not outweigh slow ones."""

    __slots__ = ("_decay_seconds", "_samples", "_updated_at", "_value")

    def __init__(self, decay_seconds: float):
        self._decay_seconds = decay_seconds
        self._value = 0.0
        self._samples = 0.0
        self._updated_at = -math.inf

    def add(self, value: float, covered_seconds: float, at: float) -> None:
        weight = max(
            1.0 / (self._samples + 1.0), 1.0 - math.exp(-covered_seconds / self._decay_seconds)
        )
        self._value += weight * (value - self._value)
        self._samples = min(_MAX_SAMPLES, self._effective_samples(at) + 1.0)
        self._updated_at = max(self._updated_at, at)

    def _effective_samples(self, now: float) -> float:
        if not self._samples:
            return 0.0
        return self._samples * math.exp(-max(0.0, now - self._updated_at) / _SAMPLE_DECAY_SECONDS)

    def estimate(self, now: float) -> views.Estimate:
        return views.Estimate(self._value, self._effective_samples(now))


@dataclasses.dataclass(slots=True)
class _Stream:
    upstream: str
    sent: Sent
    remaining_tokens: float
    last_token_at: float
    decoding: bool = False


class _Upstream:
    __slots__ = (
        "decoding",
        "failure_rate",
        "inflight",
        "inflight_long",
        "last_token_at",
        "outstanding_tokens",
        "seconds_per_prefill_token",
        "seconds_per_token",
        "statistics",
        "statistics_at",
        "token_gap",
    )

    def __init__(self) -> None:
        self.inflight = 0
        self.inflight_long = 0
        self.decoding = 0
        self.outstanding_tokens = 0.0
        self.last_token_at = -math.inf
        self.statistics: views.UpstreamStatistics | None = None
        self.statistics_at = -math.inf
        self.token_gap = _DecayingMean(_TOKEN_DECAY_SECONDS)
        self.seconds_per_token = _DecayingMean(_TOKEN_DECAY_SECONDS)
        self.seconds_per_prefill_token = _DecayingMean(_PREFILL_DECAY_SECONDS)
        self.failure_rate = _DecayingMean(_FAILURE_DECAY_SECONDS)

    def stall_ratio(self, now: float) -> float:
        mean_gap = self.token_gap.estimate(now)
        if not self.decoding or not mean_gap.samples or mean_gap.value <= 0:
            return 0.0
        return max(0.0, now - self.last_token_at) / mean_gap.value


class Observer:
    """Tracks the attempts of this entry.

    Events of unknown or ended streams are ignored, since events may arrive late.
    """

    def __init__(self) -> None:
        self._streams: dict[str, _Stream] = {}
        self._upstreams: dict[str, _Upstream] = {}

    def observe(self, event: Event) -> None:
        """Records one event."""
        if isinstance(event, Sent):
            self._sent(event)
            return
        stream = self._streams.get(event.stream)
        if stream is None:
            return
        upstream = self._upstreams[stream.upstream]
        upstream.statistics = None
        match event:
            case FirstToken(at=at):
                self._first_token(stream, upstream, at)
            case Token(at=at, count=count):
                self._token(stream, upstream, at, count)
            case Finished(at=at):
                self._remove_stream(event.stream, stream, upstream)
                upstream.failure_rate.add(0.0, 1.0, at)
            case Failed(at=at):
                self._remove_stream(event.stream, stream, upstream)
                upstream.failure_rate.add(1.0, 1.0, at)

    def update_prediction(self, stream: str, remaining_tokens: float) -> None:
        """Replaces the predicted number of remaining tokens of an attempt."""
        state = self._streams.get(stream)
        if state is not None:
            upstream = self._upstreams[state.upstream]
            upstream.statistics = None
            upstream.outstanding_tokens += remaining_tokens - state.remaining_tokens
            state.remaining_tokens = remaining_tokens

    def statistics(self, upstream: str, now: float) -> views.UpstreamStatistics:
        """Returns the statistics of one upstream, without samples if it is unknown."""
        state = self._upstreams.get(upstream)
        if state is None:
            return _NO_STATISTICS
        if (
            state.statistics is None
            or not 0 <= now - state.statistics_at <= _STATISTICS_REUSE_SECONDS
        ):
            state.statistics, state.statistics_at = self._build_statistics(state, now), now
        return state.statistics

    @staticmethod
    def _build_statistics(state: _Upstream, now: float) -> views.UpstreamStatistics:
        return views.UpstreamStatistics(
            inflight=state.inflight,
            inflight_long=state.inflight_long,
            outstanding_tokens=max(0.0, state.outstanding_tokens),
            seconds_per_token=state.seconds_per_token.estimate(now),
            seconds_per_prefill_token=state.seconds_per_prefill_token.estimate(now),
            failure_rate=state.failure_rate.estimate(now),
            stall_ratio=state.stall_ratio(now),
        )

    def remove_upstream(self, upstream: str) -> None:
        """Removes an upstream that has left the directory, with its streams."""
        self._upstreams.pop(upstream, None)
        removed = [key for key, stream in self._streams.items() if stream.upstream == upstream]
        for key in removed:
            del self._streams[key]

    def _sent(self, event: Sent) -> None:
        if event.stream in self._streams:
            return
        upstream = self._upstreams.setdefault(event.upstream, _Upstream())
        stream = _Stream(event.upstream, event, event.predicted_tokens, event.at)
        self._streams[event.stream] = stream
        upstream.statistics = None
        upstream.inflight += 1
        upstream.inflight_long += event.request_class is views.RequestClass.LONG
        upstream.outstanding_tokens += event.predicted_tokens

    def _first_token(self, stream: _Stream, upstream: _Upstream, at: float) -> None:
        if stream.decoding:
            return
        tokens = stream.sent.prefill_tokens
        prefill_seconds = at - stream.sent.at - stream.sent.expected_wait_seconds
        if tokens >= _MIN_PREFILL_TOKENS and prefill_seconds > 0:
            upstream.seconds_per_prefill_token.add(prefill_seconds / tokens, prefill_seconds, at)
        stream.decoding = True
        upstream.decoding += 1
        self._advance(stream, upstream, at, 1)

    def _token(self, stream: _Stream, upstream: _Upstream, at: float, count: int) -> None:
        if not stream.decoding:
            self._first_token(stream, upstream, at)
            return
        gap = max(0.0, at - stream.last_token_at)
        # Streams decode concurrently, so each gap covers its share of the wall-clock time.
        covered_seconds = gap / upstream.decoding
        upstream.seconds_per_token.add(gap / count, covered_seconds, at)
        # Upstreams may send several tokens at once, so stalls are measured in gaps, not tokens.
        upstream.token_gap.add(gap, covered_seconds, at)
        self._advance(stream, upstream, at, count)

    @staticmethod
    def _advance(stream: _Stream, upstream: _Upstream, at: float, count: int) -> None:
        predicted_used = min(stream.remaining_tokens, count)
        stream.remaining_tokens -= predicted_used
        upstream.outstanding_tokens -= predicted_used
        stream.last_token_at = at
        upstream.last_token_at = max(upstream.last_token_at, at)

    def _remove_stream(self, key: str, stream: _Stream, upstream: _Upstream) -> None:
        del self._streams[key]
        upstream.inflight -= 1
        upstream.inflight_long -= stream.sent.request_class is views.RequestClass.LONG
        upstream.decoding -= stream.decoding
        upstream.outstanding_tokens -= stream.remaining_tokens
