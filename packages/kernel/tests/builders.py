"""Builders of test data, and a discrete-event simulation of entries and upstreams.

Results of the simulation don't describe real processes.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from coltsfoothead.kernel import observation, views

SHORT, LONG = views.RequestClass.SHORT, views.RequestClass.LONG
TOKEN_SECONDS, PREFILL_SECONDS = 0.02, 0.0002
_CHUNK_TOKENS = 8
_REPORT_SECONDS = 0.5
_SLOW_PERIOD_SECONDS, _SLOW_FROM_SECONDS = 60.0, 20.0


def request(name="r", **changes):
    """Returns a short request with the given changes."""
    base = views.RequestView(name, "org", "m", prompt_tokens=200, predicted_tokens=60.0)
    return dataclasses.replace(base, **changes)


def upstream(name="u", **changes):
    """Returns an upstream with eight slots and the given changes."""
    base = views.UpstreamView(name, "z1", "r1", slots=8, models=frozenset(["m"]))
    return dataclasses.replace(base, **changes)


def snapshot(*upstreams, **changes):
    """Returns a routing snapshot of the given upstreams."""
    views_by_name = {each.upstream: each for each in upstreams}
    return views.RoutingSnapshot(0.0, tuple(views_by_name), views_by_name, **changes)


def percentile(values, share):
    """Returns a percentile of the values."""
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


@dataclasses.dataclass
class Job:
    """One simulated request."""

    view: views.RequestView
    tokens: int
    sent_at: float
    entry: int = 0
    upstream: str = ""
    produced: int = 0


def arrivals(rng, seconds, short_rate, long_rate=0.0, organisation="org"):
    """Returns open-loop Poisson arrivals of short and long jobs."""
    jobs = []
    for rate, kind, mean in ((short_rate, SHORT, 60), (long_rate, LONG, 2_000)):
        at = rng.expovariate(rate) if rate else seconds
        while at < seconds:
            name = f"{organisation}-{kind.value}-{len(jobs)}"
            tokens = max(8, round(rng.uniform(0.5, 1.5) * mean))
            view = request(
                name, organisation=organisation, request_class=kind, predicted_tokens=float(mean)
            )
            jobs.append(Job(view, tokens, at))
            at += rng.expovariate(rate)
    return jobs


class Simulation:
    """Simulates entries that route jobs to upstreams with slots, queues and slow phases.

    Load reports reach the entries with a delay.
    """

    def __init__(self, policies, seed=1, upstreams=9, slots=8, slow=(), detectors=None):
        self.rng = random.Random(seed)
        self.policies, self.detectors = policies, detectors
        self.names = tuple(f"u{index}" for index in range(upstreams))
        self.slots, self.slow, self.now = slots, frozenset(slow), 0.0
        self.observers = [observation.Observer() for _ in policies]
        self.running = collections.Counter()
        self.waiting = {name: collections.deque() for name in self.names}
        self.reports = {}
        self.weights = [{} for _ in policies]
        self.latencies = collections.defaultdict(list)
        self.refused = collections.Counter()
        self.on_end = lambda job: None
        self._events, self._order = [], itertools.count()

    def schedule(self, at, action, *arguments):
        """Schedules an action at a simulated time."""
        heapq.heappush(self._events, (at, next(self._order), action, arguments))

    def run(self, jobs, arrive=None):
        """Simulates all jobs to completion and returns the latencies by request class."""
        for index, job in enumerate(jobs):
            job.entry = index % len(self.policies)
            self.schedule(job.sent_at, arrive or self.route, job)
        for tick in range(int(max(job.sent_at for job in jobs) / _REPORT_SECONDS)):
            self.schedule(tick * _REPORT_SECONDS, self._report)
        while self._events:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        return self.latencies

    def _slowdown(self, name):
        slow_now = self.now % _SLOW_PERIOD_SECONDS >= _SLOW_FROM_SECONDS
        return 5.0 if name in self.slow and slow_now else 1.0

    def _report(self):
        for name in self.names:
            load = self.running[name], len(self.waiting[name])
            self.reports[name] = (*load, self.now)
        for entry, detector in enumerate(self.detectors or ()):
            observed = {
                name: self.observers[entry].statistics(name, self.now) for name in self.names
            }
            self.weights[entry] = detector.assess(observed, self.now)

    def _view(self, entry, name):
        report = None
        if name in self.reports:
            running, waiting, at = self.reports[name]
            report = views.LoadReport(running, waiting, self.now - at)
        observed = self.observers[entry].statistics(name, self.now)
        weight = self.weights[entry].get(name, 1.0)
        return upstream(name, slots=self.slots, observed=observed, report=report, weight=weight)

    def route(self, job):
        """Routes a job; a refused one is retried after the delay that the policy returns."""
        views_by_name = {name: self._view(job.entry, name) for name in self.names}
        entries = len(self.policies)
        state = views.RoutingSnapshot(self.now, self.names, views_by_name, sharing_entries=entries)
        decision = self.policies[job.entry].choose(job.view, state, self.rng)
        if isinstance(decision, views.NoUpstream):
            self.refused[job.view.request_class] += 1
            if decision.reason is views.NoUpstreamReason.DEADLINE:
                self.on_end(job)
            else:
                self.schedule(self.now + decision.retry_after_seconds, self.route, job)
            return
        job.upstream = decision.upstream
        sent = observation.Sent(
            job.view.request, decision.upstream, 200, job.view.predicted_tokens,
            job.view.request_class, self.now, 0.0,
        )  # fmt: skip
        self.observers[job.entry].observe(sent)
        self.waiting[decision.upstream].append(job)
        self._start(decision.upstream)

    def _start(self, name):
        while self.waiting[name] and self.running[name] < self.slots:
            self.running[name] += 1
            seconds = 200 * PREFILL_SECONDS * self._slowdown(name)
            self.schedule(self.now + seconds, self._chunk, self.waiting[name].popleft())

    def _chunk(self, job):
        observer, stream = self.observers[job.entry], job.view.request
        if job.produced:
            observer.observe(observation.Token(stream, self.now, _CHUNK_TOKENS))
        else:
            observer.observe(observation.FirstToken(stream, self.now))
        if job.produced >= job.tokens:
            observer.observe(observation.Finished(stream, self.now))
            self.latencies[job.view.request_class].append(self.now - job.sent_at)
            self.running[job.upstream] -= 1
            self._start(job.upstream)
            self.on_end(job)
            return
        job.produced += _CHUNK_TOKENS
        seconds = _CHUNK_TOKENS * TOKEN_SECONDS * self._slowdown(job.upstream)
        self.schedule(self.now + seconds, self._chunk, job)
