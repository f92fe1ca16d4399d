"""The leader's estimate of the speeds of all upstreams."""

import dataclasses
import math
import statistics
from collections.abc import Callable, Iterable

from coltsfoothead.kernel.speeds import answermodel, messages, rates
from coltsfoothead.kernel.traffic import upstreams

__all__ = ["SpeedTable", "Summary"]

# Weight up to which the answers of an upstream add up, that of 15 long streams.
MAX_WEIGHT = 600.0
# Weight with which the median of the service counts in the speed of each upstream.
MEDIAN_WEIGHT = 60.0
# Logarithm of the factor by which a report deviates at most from the estimate so far.
MAX_STEP = 0.5
# Reports in a row that deviate alike by more than `RUN_STEP`, from which on each one reduces the
# weight of what was learned before: the upstream has changed.
CHANGE_RUN = 4
RUN_STEP = 0.25
CHANGE_FORGETTING = 0.5
# Weight of the answers in one report, so that no entry decides alone.
MAX_REPORT_WEIGHT = 80
# Time constants of the forgetting of an upstream's speed and of a service's coefficients. Forgotten
# speeds return to the median.
SPEED_MEMORY_SECONDS = 15.0
MODEL_MEMORY_SECONDS = 40.0
# Interval at which speeds are compared with those that were sent.
REFRESH_SECONDS = 0.3
# Change from which a speed or a coefficient is sent, as a fraction of it.
SPEED_TOLERANCE = 0.06
MODEL_TOLERANCE = 0.1
# Bounds of the speeds, as multiples of the median.
MIN_SPEED = 0.2
MAX_SPEED = 5.0
# Time after which the speed of an upstream without answers is the median. It is removed after twice
# this time, when all entries know that.
RETENTION_SECONDS = 60.0
# Weight of a speed that another process learned.
INHERITED_WEIGHT = 200.0


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Learned speeds of one service.

    Attributes
    ----------
    upstreams : int
        Number of upstreams that have answered.
    slowest, median, fastest : float
        Speeds as multiples of the service's median before it is counted in.
    rates : Rates
        Rates of a runner of the median speed.
    """

    upstreams: int
    slowest: float
    median: float
    fastest: float
    rates: rates.Rates


@dataclasses.dataclass(slots=True)
class _Estimate:
    service: str
    born: int
    updated_at: float
    # Mean logarithm of the speed, and its weight.
    mean: float = 0.0
    weight: float = 0.0
    # Reports in a row that deviated upwards, or downwards if negative.
    run: int = 0
    percent: int = 100
    number: int = 0

    def weight_at(self, now: float) -> float:
        """Returns the weight that is left of the answers."""
        age_seconds = max(0.0, now - self.updated_at)
        if age_seconds > RETENTION_SECONDS:
            return 0.0
        return self.weight * math.exp(-age_seconds / SPEED_MEMORY_SECONDS)


@dataclasses.dataclass(slots=True)
class _Service:
    start: answermodel.Sums
    pause: answermodel.Sums
    updated_at: float
    median: float = 0.0
    encoded: tuple[int, ...] = messages.encode_model(answermodel.AnswerModel())
    number: int = 0


class SpeedTable:
    """Speeds of all upstreams, learned from the observations of the entries.

    A process that follows the leader keeps the leader's speeds here, to go on from them if it leads
    next.
    """

    def __init__(self) -> None:
        self._estimates: dict[str, _Estimate] = {}
        self._services: dict[str, _Service] = {}
        self._number = 0
        self._refreshed_at = float("-inf")
        self._follows = False

    @property
    def follows(self) -> bool:
        """Whether another process led when this one heard of the speeds last."""
        return self._follows

    def record(
        self,
        observed: messages.Observations,
        known: Callable[[str], upstreams.Upstream | None],
        now: float,
    ) -> None:
        """Adds the observations of an entry.

        Parameters
        ----------
        observed : Observations
        known : callable
            Returns the current record of an upstream, or None; answers of other starts are
            ignored.
        now : float
            Steady time in seconds.
        """
        self._take_over(now)
        for name, born, weight, total in observed.deviations:
            upstream = known(name)
            if upstream is not None and born == upstream.born and weight > 0:
                estimate = self._estimate(upstream, now)
                _move(estimate, min(weight, MAX_REPORT_WEIGHT), total / weight / 100, now)
        for name, (start, pause) in observed.sums.items():
            sums = self._service(name, now)
            factor = math.exp(-max(0.0, now - sums.updated_at) / MODEL_MEMORY_SECONDS)
            sums.updated_at = now
            for kept, added in ((sums.start, start), (sums.pause, pause)):
                kept.decay(factor)
                kept.merge(added)

    def receive(
        self, update: messages.Update, known: Callable[[str], upstreams.Upstream | None], now: float
    ) -> None:
        """Keeps the speeds that the leader has learned, for upstreams that are known."""
        self._follows = True
        for name, each in list(self._estimates.items()):
            upstream = known(name)
            if upstream is None or upstream.born != each.born:
                del self._estimates[name]
        for name, born, percent in update.speeds:
            upstream = known(name)
            if upstream is not None and born == upstream.born and percent > 0:
                estimate = self._estimate(upstream, now)
                self._publish(estimate, percent)
        for name, encoded in update.models.items():
            if messages.decode_model(encoded) is not None:
                self._number += 1
                service = self._service(name, now)
                service.encoded, service.number = tuple(encoded), self._number

    def update_since(self, version: int, now: float) -> messages.Update | None:
        """Returns the speeds that have changed since a version; None if none has."""
        self._take_over(now)
        self._refresh(now)
        if version == self._number:
            return None
        if version > self._number:
            version = 0
        return messages.Update(
            self._number,
            tuple(
                (name, each.born, each.percent)
                for name, each in self._estimates.items()
                if each.number > version
            ),
            {name: each.encoded for name, each in self._services.items() if each.number > version},
        )

    def speed(self, upstream_id: str, born: int) -> float:
        """Returns the speed of an upstream as a multiple of the median of its service."""
        estimate = self._estimates.get(upstream_id)
        return estimate.percent / 100 if estimate is not None and estimate.born == born else 1.0

    def rates(
        self, service: str, decoded_requests: int = answermodel.DECODED_REQUESTS
    ) -> rates.Rates:
        """Returns the rates of a service's runner of the median speed.

        Parameters
        ----------
        service : str
        decoded_requests : int, optional
            Requests that a runner runs at once at its decoding rate.
        """
        known = self._services.get(service)
        model = messages.decode_model(known.encoded) if known is not None else None
        return model.rates_at(decoded_requests) if model is not None else rates.NOMINAL

    def summaries(self) -> dict[str, Summary]:
        """Returns a summary of each service with known speeds."""
        speeds = self._by_service()
        return {
            name: Summary(
                len(known),
                min(each.percent for each in known) / 100,
                statistics.median(each.percent for each in known) / 100,
                max(each.percent for each in known) / 100,
                self.rates(name),
            )
            for name, known in speeds.items()
        }

    def _take_over(self, now: float) -> None:
        """Goes on from the speeds that another leader sent last, however long ago."""
        if not self._follows:
            return
        self._follows = False
        for each in self._estimates.values():
            # The speed was sent after it had been shrunk to the median.
            each.mean = math.log(each.percent / 100) / _share(INHERITED_WEIGHT)
            each.weight, each.updated_at, each.run = INHERITED_WEIGHT, now, 0
        for service in self._services.values():
            service.median = 0.0

    def _estimate(self, upstream: upstreams.Upstream, now: float) -> _Estimate:
        name, service, born = upstream.id, upstream.service, upstream.born
        estimate = self._estimates.get(name)
        if estimate is None or estimate.born != born or estimate.service != service:
            # The median of the service is its first estimate.
            median = self._service(service, now).median
            estimate = self._estimates[name] = _Estimate(service, born, now, median)
            # Followers need all upstreams to know the median.
            self._publish(estimate, estimate.percent)
        return estimate

    def _service(self, name: str, now: float) -> _Service:
        if name not in self._services:
            self._services[name] = _Service(
                answermodel.Sums(answermodel.START_TERMS),
                answermodel.Sums(answermodel.PAUSE_TERMS),
                now,
            )
        return self._services[name]

    def _by_service(self) -> dict[str, list[_Estimate]]:
        grouped: dict[str, list[_Estimate]] = {}
        for each in self._estimates.values():
            grouped.setdefault(each.service, []).append(each)
        return grouped

    def _refresh(self, now: float) -> None:
        """Compares the estimates with what was sent last."""
        if now - self._refreshed_at < REFRESH_SECONDS:
            return
        self._refreshed_at = now
        for name, each in list(self._estimates.items()):
            if now - each.updated_at > 2 * RETENTION_SECONDS:
                del self._estimates[name]
        for name, estimates in self._by_service().items():
            service = self._services[name]
            service.median = _median(estimates, service.median, now)
            for each in estimates:
                speed = math.exp(_share(each.weight_at(now)) * (each.mean - service.median))
                percent = round(100 * min(MAX_SPEED, max(MIN_SPEED, speed)))
                if abs(percent - each.percent) > SPEED_TOLERANCE * each.percent:
                    self._publish(each, percent)
        for service in self._services.values():
            model = messages.decode_model(service.encoded)
            assert model is not None
            fitted = answermodel.AnswerModel(
                service.start.fit(model.start), service.pause.fit(model.pause)
            )
            encoded = messages.encode_model(fitted)
            if any(
                abs(new - old) > MODEL_TOLERANCE * old
                for new, old in zip(encoded, service.encoded, strict=True)
            ):
                self._number += 1
                service.encoded, service.number = encoded, self._number

    def _publish(self, estimate: _Estimate, percent: int) -> None:
        self._number += 1
        estimate.percent, estimate.number = percent, self._number


def _move(estimate: _Estimate, weight: float, deviation: float, now: float) -> None:
    """Moves an estimate towards a report's deviation, by a limited step."""
    kept = estimate.weight_at(now)
    step = min(MAX_STEP, max(-MAX_STEP, deviation - estimate.mean))
    sign = (step > RUN_STEP) - (step < -RUN_STEP)
    estimate.run = estimate.run + sign if sign * estimate.run > 0 else sign
    if abs(estimate.run) >= CHANGE_RUN:
        kept *= CHANGE_FORGETTING
    estimate.weight = min(MAX_WEIGHT, kept + weight)
    estimate.mean += step * weight / max(estimate.weight, MEDIAN_WEIGHT)
    estimate.updated_at = now


def _share(weight: float) -> float:
    """Returns the share of an upstream's own answers in its speed."""
    return weight / (weight + MEDIAN_WEIGHT)


def _median(estimates: Iterable[_Estimate], previous: float, now: float) -> float:
    """Returns the median of the estimates that rest on more than a few answers."""
    means = [each.mean for each in estimates if each.weight_at(now) >= MEDIAN_WEIGHT]
    return statistics.median(means) if means else previous
