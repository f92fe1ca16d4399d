"""What one entry observes of the speeds of upstreams, and the learned speeds that it knows."""

import dataclasses
import math

from coltsfoothead.kernel.speeds import answermodel, messages, rates
from coltsfoothead.kernel.traffic import placement, upstreams

__all__ = ["AnswerWatch", "EntrySpeeds"]

# Weight of an answer by the time to its first event, which depends on loads that the entry does not
# know exactly, and of one by its pauses, which is the number of them up to a limit.
START_WEIGHT = 4
MAX_PAUSE_WEIGHT = 40
# Streams with fewer pauses tell little about the speed.
MIN_PAUSES = 5
# Pauses of one stream after which they are recorded, so that a change of the speed shows while the
# stream still runs.
PAUSES_PER_RECORD = 24
# Logarithm of the largest factor by which one answer deviates from its expectation.
MAX_DEVIATION = 1.5
# Interval at which the sums of a service are reported; its coefficients change slowly.
SUMS_INTERVAL_SECONDS = 3.0
# Time from the first update of a new leader until which speeds hold that it has not named.
UNCONFIRMED_SECONDS = 30.0


@dataclasses.dataclass(slots=True)
class _ServiceSums:
    start: answermodel.Sums
    pause: answermodel.Sums


class EntrySpeeds:
    """Collects an entry's observations and keeps the speeds that the leader sends.

    Parameters
    ----------
    learned : bool
        Whether speeds are learned; otherwise all upstreams have the nominal rates.
    """

    def __init__(self, learned: bool = True) -> None:
        self.learned = learned
        self._models: dict[str, answermodel.AnswerModel] = {}
        self._speeds: dict[tuple[str, int], float] = {}
        self._rates: dict[tuple[str, str, int], rates.Rates] = {}
        self._version = ("", 0)
        # Speeds that the current leader has not named, and the time until which they hold.
        self._unconfirmed: set[tuple[str, int]] = set()
        self._unconfirmed_until = float("inf")
        self._deviations: dict[tuple[str, int], tuple[int, int]] = {}
        self._sums: dict[str, _ServiceSums] = {}
        self._sums_reported_at = float("-inf")

    def rates(self, upstream: upstreams.Upstream) -> rates.Rates:
        """Returns the rates of an upstream as far as they are known."""
        if not self.learned:
            return rates.NOMINAL
        key = (upstream.service, upstream.id, upstream.born)
        known = self._rates.get(key)
        if known is None:
            known = self.model(upstream.service).rates.scaled(self.speed(upstream))
            self._rates[key] = known
        return known

    def speed(self, upstream: upstreams.Upstream) -> float:
        """Returns the speed of an upstream as a multiple of the median of its service."""
        return self._speeds.get((upstream.id, upstream.born), 1.0)

    def model(self, service: str) -> answermodel.AnswerModel:
        """Returns the model of a service's answers."""
        return self._models.get(service, answermodel.AnswerModel())

    def version(self, leadership: str) -> int:
        """Returns the number of the newest update of a leader's term, or 0."""
        return self._version[1] if self._version[0] == leadership else 0

    def receive(self, update: messages.Update, leadership: str, now: float) -> None:
        """Applies an update of a leader's term.

        Speeds that it does not name are kept. Those that a new leader does not name within
        `UNCONFIRMED_SECONDS` are dropped, as it may know nothing of them: an upstream that is
        avoided gets no answers that would correct its speed.
        """
        if leadership != self._version[0]:
            self._unconfirmed = set(self._speeds)
            self._unconfirmed_until = now + UNCONFIRMED_SECONDS
        self._version = (leadership, update.version)
        self._speeds |= {
            (name, born): percent / 100 for name, born, percent in update.speeds if percent > 0
        }
        self._unconfirmed -= {(name, born) for name, born, _ in update.speeds}
        self._models |= {
            name: model
            for name, encoded in update.models.items()
            if (model := messages.decode_model(encoded)) is not None
        }
        self._rates.clear()

    def _drop_unconfirmed(self, now: float) -> None:
        if self._unconfirmed and now >= self._unconfirmed_until:
            for key in self._unconfirmed:
                self._speeds.pop(key, None)
            self._unconfirmed = set()
            self._rates.clear()

    def remove_upstream(self, upstream_id: str) -> None:
        """Removes what is known of an upstream that is gone."""
        for known in (self._speeds, self._deviations):
            for key in [key for key in known if key[0] == upstream_id]:
                del known[key]
        self._rates.clear()

    def watch(
        self,
        upstream: upstreams.Upstream,
        load: placement.Load,
        unread_tokens: int | None,
        tokens_per_event: float,
        now: float,
    ) -> "AnswerWatch":
        """Starts to watch the answer to a request that is about to be sent.

        Parameters
        ----------
        upstream : Upstream
        load : Load
            Load of the upstream without the request.
        unread_tokens : int or None
            Prompt tokens that are not cached; None if that is not known, as for a stream that is
            resumed.
        tokens_per_event : float
        now : float
            Time in seconds.
        """
        return AnswerWatch(self, upstream, load, unread_tokens, tokens_per_event, now)

    def record(
        self,
        upstream: upstreams.Upstream,
        start: tuple[tuple[float, ...], float] | None,
        pause: tuple[tuple[float, ...], float, int] | None,
    ) -> None:
        """Records an answer.

        Parameters
        ----------
        upstream : Upstream
        start : tuple of (tuple of float, float) or None
            Terms of the time to the first event and that time.
        pause : tuple of (tuple of float, float, int) or None
            Terms of the pause between events, their mean and their number.
        """
        model, speed = self.model(upstream.service), self.speed(upstream)
        sums = self._sums.setdefault(
            upstream.service,
            _ServiceSums(
                answermodel.Sums(answermodel.START_TERMS), answermodel.Sums(answermodel.PAUSE_TERMS)
            ),
        )
        key = (upstream.id, upstream.born)
        if start is not None:
            terms, seconds = start
            expected = answermodel.expected_seconds(model.start, terms)
            sums.start.add(terms, expected, seconds * speed)
            self._deviate(key, START_WEIGHT, expected, seconds)
        if pause is not None:
            terms, seconds, count = pause
            expected = answermodel.expected_seconds(model.pause, terms)
            sums.pause.add(terms, expected, seconds * speed)
            self._deviate(key, min(MAX_PAUSE_WEIGHT, count), expected, seconds)

    def _deviate(self, key: tuple[str, int], weight: int, expected: float, observed: float) -> None:
        deviation = math.log(expected / max(observed, 1e-6))
        deviation = min(MAX_DEVIATION, max(-MAX_DEVIATION, deviation))
        total_weight, total = self._deviations.get(key, (0, 0))
        self._deviations[key] = (total_weight + weight, total + round(100 * weight * deviation))

    def pop_observations(self, now: float) -> messages.Observations:
        """Returns and clears the observations since the last call."""
        self._drop_unconfirmed(now)
        deviations = tuple((*key, *each) for key, each in self._deviations.items())
        self._deviations = {}
        if now - self._sums_reported_at < SUMS_INTERVAL_SECONDS:
            return messages.Observations(deviations)
        self._sums_reported_at = now
        encoded = {
            name: (each.start.encode(), each.pause.encode()) for name, each in self._sums.items()
        }
        self._sums = {}
        return messages.Observations(deviations, encoded)


class AnswerWatch:
    """Times of one answer; made by `EntrySpeeds.watch`.

    Parameters
    ----------
    speeds : EntrySpeeds
    upstream : Upstream
    load : Load
    unread_tokens : int or None
    tokens_per_event : float
    sent_at : float
    """

    def __init__(
        self,
        speeds: EntrySpeeds,
        upstream: upstreams.Upstream,
        load: placement.Load,
        unread_tokens: int | None,
        tokens_per_event: float,
        sent_at: float,
    ) -> None:
        self._speeds = speeds
        self._upstream = upstream
        self._start_terms: tuple[float, ...] | None = None
        if unread_tokens is not None:
            self._start_terms = answermodel.start_terms(
                load.waiting_tokens, unread_tokens, load.running + load.waiting
            )
        self._tokens_per_event = tokens_per_event
        self._sent_at = sent_at
        self._first_at = self._last_at = 0.0
        # Terms of the time to the first event, and that time.
        self._start: tuple[tuple[float, ...], float] | None = None
        self._pauses = self._samples = self._running = self._prefilling = 0

    def record_events(self, count: int, load: placement.Load, now: float) -> None:
        """Records events that have arrived.

        Parameters
        ----------
        count : int
            Events since the last call.
        load : Load
            Load of the upstream, with this request.
        now : float
        """
        if not self._first_at:
            self._first_at = self._last_at = now
            if self._start_terms is not None:
                self._start = (self._start_terms, now - self._sent_at)
            return
        self._last_at = now
        self._pauses += count
        self._samples += 1
        self._running += load.running
        self._prefilling += load.waiting > 0
        if self._pauses >= PAUSES_PER_RECORD:
            self.finish()
            self._first_at = now

    def finish(self) -> None:
        """Records what was observed; an answer without events tells nothing about the speed."""
        if not self._first_at:
            return
        pause = None
        start, self._start = self._start, None
        if self._pauses >= MIN_PAUSES:
            terms = answermodel.pause_terms(
                self._tokens_per_event,
                self._running / self._samples,
                self._prefilling / self._samples,
            )
            pause = (terms, (self._last_at - self._first_at) / self._pauses, self._pauses)
        self._first_at = 0.0
        self._pauses = self._samples = self._running = self._prefilling = 0
        self._speeds.record(self._upstream, start, pause)
