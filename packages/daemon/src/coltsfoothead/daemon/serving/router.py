"""Routes attempts to upstreams by the routing policy of the environment document."""

import collections
import dataclasses
import math
import random
from collections.abc import Callable, Iterator, Mapping

from coltsfoothead.coordination.membership import directory as directory_module
from coltsfoothead.coordination.membership import upstreams
from coltsfoothead.daemon.serving import generation, prediction, requests
from coltsfoothead.kernel import environment, observation, registry, views
from coltsfoothead.kernel.routing import subset

__all__ = ["FleetRouter", "Location"]

OUTLIER_DETECTION_INTERVAL_SECONDS = 0.2
# One-way latency between regions. It keeps requests in their own region while both regions are
# equally loaded.
REGION_LINK_SECONDS = 0.012
ENGINE_PRIORITIES = {views.RequestClass.SHORT: 0, views.RequestClass.LONG: 10}


@dataclasses.dataclass(frozen=True, slots=True)
class Location:
    """Where this daemon runs."""

    daemon_id: str
    region: str
    zone: str


class _LazyViews(Mapping[str, views.UpstreamView]):
    """Upstream views by ID, each built when a policy first reads it."""

    def __init__(
        self,
        records: Mapping[str, upstreams.Upstream],
        build: Callable[[upstreams.Upstream], views.UpstreamView],
    ) -> None:
        self._records = records
        self._build = build
        self._built: dict[str, views.UpstreamView] = {}

    def __getitem__(self, upstream: str) -> views.UpstreamView:
        if upstream not in self._built:
            self._built[upstream] = self._build(self._records[upstream])
        return self._built[upstream]

    def __iter__(self) -> Iterator[str]:
        return iter(self._records)

    def __len__(self) -> int:
        return len(self._records)


class FleetRouter:
    """Chooses upstreams for model requests and service calls.

    Parameters
    ----------
    directory : Directory
    document : callable
        Returns the environment document, or None.
    location : Location
    predictor : Predictor
    daemon_count : callable
        Returns the number of daemons that route to the same upstreams.
    clock : callable
        Monotonic seconds.
    rng : random.Random
    """

    def __init__(
        self,
        directory: directory_module.Directory,
        document: Callable[[], environment.Environment | None],
        location: Location,
        predictor: prediction.Predictor,
        daemon_count: Callable[[], int],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._document = document
        self._location = location
        self._predictor = predictor
        self._daemon_count = daemon_count
        self._clock = clock
        self._rng = rng
        self._observer = observation.Observer()
        self._policies: dict[str, object] = {}
        self._detectors: dict[tuple[str, str, str], object] = {}
        self._weights: dict[str, float] = {}
        self._next_detection_at = 0.0
        self._service_calls: collections.Counter[str] = collections.Counter()
        self._subset_cache: tuple[frozenset[str], tuple[str, ...]] = (frozenset(), ())

    def in_flight(self, upstream: str) -> int:
        """Returns the number of attempts and service calls that this daemon runs at an upstream."""
        statistics = self._observer.statistics(upstream, self._clock())
        return statistics.inflight + self._service_calls[upstream]

    def slots(self, model: str) -> int:
        """Returns this daemon's share of the slots of the upstreams that serve a model."""
        document = self._document()
        total = sum(
            record.slots
            for record in self._directory.routable(self._clock())
            if record.kind == "model" and _serves(record, model, document)
        )
        return math.ceil(total / max(1, self._daemon_count()))

    def statistics(self, upstream: str) -> views.UpstreamStatistics:
        """Returns the statistics that this daemon has measured for an upstream."""
        return self._observer.statistics(upstream, self._clock())

    def weight(self, upstream: str) -> float:
        """Returns the routing weight that outlier detection gives an upstream, by default 1."""
        return self._weights.get(upstream, 1.0)

    def choose(
        self, request: requests.ModelRequest, excluded: frozenset[str]
    ) -> generation.Target | None:
        """Returns the upstream for the next attempt, or None if none can take it."""
        now = self._clock()
        document = self._document()
        records = {
            record.upstream: record
            for record in self._directory.routable(now)
            if record.kind == "model" and _serves(record, request.model, document)
        }
        candidates = self._candidates(records)
        self._detect_outliers(records, candidates, document, now)
        view = self._request_view(request, excluded)
        snapshot = views.RoutingSnapshot(
            now=now,
            candidates=candidates,
            upstreams=_LazyViews(records, lambda record: self._upstream_view(record, now)),
            sharing_entries=self._daemon_count(),
        )
        policy = self._policy(document.policies.routing if document else "completion")
        decision = policy.choose(view, snapshot, self._rng)
        if isinstance(decision, views.NoUpstream):
            return None
        chosen = records[decision.upstream]
        priority = ENGINE_PRIORITIES[view.request_class]
        return generation.Target(chosen.upstream, chosen.address, priority, chosen.region)

    def is_routable(self, upstream: str) -> bool:
        """Returns whether an upstream may get new work."""
        routable = self._directory.routable(self._clock())
        return any(record.upstream == upstream for record in routable)

    def attempt_started(self, request: requests.ModelRequest, target: generation.Target) -> None:
        """Records the start of an attempt."""
        view = self._request_view(request, frozenset())
        event = observation.Sent(
            _attempt_key(request),
            target.upstream,
            view.prompt_tokens + len(request.tokens),
            self._predictor.remaining_tokens(request),
            view.request_class,
            self._clock(),
        )
        self._observer.observe(event)

    def tokens_received(
        self, request: requests.ModelRequest, target: generation.Target, count: int
    ) -> None:
        """Records `count` tokens that arrived together."""
        self._observer.observe(observation.Token(_attempt_key(request), self._clock(), count))

    def attempt_ended(
        self, request: requests.ModelRequest, target: generation.Target, failed: bool
    ) -> None:
        """Records the end of an attempt."""
        kind = observation.Failed if failed else observation.Finished
        self._observer.observe(kind(_attempt_key(request), self._clock()))

    def choose_service(self, service: str, excluded: frozenset[str]) -> tuple[str, str] | None:
        """Returns the ID and address of an upstream for a service call, or None if there is none.

        Upstreams in this daemon's region come first, then those with the fewest running calls.
        """
        records = [
            record
            for record in self._directory.routable(self._clock())
            if record.kind == "service"
            and record.service == service
            and record.upstream not in excluded
        ]
        if not records:
            return None
        best = min(
            records,
            key=lambda record: (
                record.region != self._location.region,
                self._service_calls[record.upstream],
                self._rng.random(),
            ),
        )
        return best.upstream, best.address

    def service_call_started(self, upstream: str) -> None:
        """Records the start of a service call."""
        self._service_calls[upstream] += 1

    def service_call_ended(self, upstream: str, seconds: float, failed: bool) -> None:
        """Records the end of a service call."""
        self._service_calls[upstream] -= 1
        if not self._service_calls[upstream]:
            del self._service_calls[upstream]

    def _candidates(self, records: Mapping[str, upstreams.Upstream]) -> tuple[str, ...]:
        names = frozenset(records)
        if names != self._subset_cache[0]:
            located = (
                subset.UpstreamLocation(record.upstream, record.zone, record.region)
                for record in records.values()
            )
            location = self._location
            chosen = subset.choose_subset(
                location.daemon_id, location.zone, location.region, located
            )
            self._subset_cache = (names, chosen)
        return self._subset_cache[1]

    def _detect_outliers(
        self,
        records: Mapping[str, upstreams.Upstream],
        candidates: tuple[str, ...],
        document: environment.Environment | None,
        now: float,
    ) -> None:
        """Updates the weights of the candidates by comparing those of the same model and VM class.

        Does nothing if the last update was less than `OUTLIER_DETECTION_INTERVAL_SECONDS` ago.
        """
        if now < self._next_detection_at:
            return
        self._next_detection_at = now + OUTLIER_DETECTION_INTERVAL_SECONDS
        name = document.policies.outlier if document else "deviation"
        groups: dict[tuple[str, str, str], dict[str, views.UpstreamStatistics]] = {}
        for upstream in candidates:
            record = records[upstream]
            model = record.models[0].name if record.models else ""
            group = groups.setdefault((name, model, record.vm_class), {})
            group[upstream] = self._observer.statistics(upstream, now)
        for key, statistics in groups.items():
            if key not in self._detectors:
                self._detectors[key] = registry.resolve("outlier", name)()
            self._weights.update(self._detectors[key].assess(statistics, now))

    def _policy(self, name: str) -> object:
        if name not in self._policies:
            self._policies[name] = registry.resolve("routing", name)()
        return self._policies[name]

    def _request_view(
        self, request: requests.ModelRequest, excluded: frozenset[str]
    ) -> views.RequestView:
        predicted = self._predictor.predict(request)
        return views.RequestView(
            request=request.request_id,
            organisation=request.organisation,
            model=request.model,
            prompt_tokens=predicted.prompt_tokens,
            predicted_tokens=self._predictor.remaining_tokens(request),
            request_class=predicted.request_class,
            deadline=request.deadline if math.isfinite(request.deadline) else math.inf,
            region=self._location.region,
            zone=self._location.zone,
            excluded=excluded,
        )

    def _upstream_view(self, record: upstreams.Upstream, now: float) -> views.UpstreamView:
        load = record.load
        report = None
        if load is not None:
            age = self._directory.age(record.upstream, now) + load.measured_ms_ago / 1000
            report = views.LoadReport(load.running, load.waiting, age)
        return views.UpstreamView(
            upstream=record.upstream,
            zone=record.zone,
            region=record.region,
            slots=record.slots,
            vm_class=record.vm_class,
            observed=self._observer.statistics(record.upstream, now),
            report=report,
            weight=self.weight(record.upstream),
            link_seconds=0.0 if record.region == self._location.region else REGION_LINK_SECONDS,
            models=frozenset(model.name for model in record.models),
        )


def _attempt_key(request: requests.ModelRequest) -> str:
    return f"{request.request_id}/{request.epoch}/{request.attempt}"


def _serves(
    record: upstreams.Upstream, name: str, document: environment.Environment | None
) -> bool:
    rule = document.model(name) if document else None
    if rule is None or (rule.zones and record.zone not in rule.zones):
        return False
    return any(
        model.name == name and (not rule.versions or model.version in rule.versions)
        for model in record.models
    )
