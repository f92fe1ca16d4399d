"""Placement: chooses the upstream of a request from the state that one entry knows.

The score of a candidate is the expected time until its answer starts. It takes into account the
prompts that wait for their prefill, the slots in use, the part of the prompt that is not in the
upstream's prefix cache, and the distance. The loads caused by other entries are up to one exchange
with the leader old. The entry adds its own requests at once, so that an outdated view does not
attract many requests to one upstream.
"""

import dataclasses
import random
from collections.abc import Mapping, Sequence
from typing import Protocol

import msgspec
import xxhash

from coltsfoothead.kernel import registry
from coltsfoothead.kernel.speeds import rates
from coltsfoothead.kernel.traffic import upstreams

__all__ = [
    "Candidate",
    "Distances",
    "ExpectedStart",
    "LeastInFlight",
    "Load",
    "Policy",
    "Prompt",
    "RoundRobin",
    "ScoreTerms",
    "expected_start_seconds",
    "own_prefill_seconds",
    "rendezvous_hash",
]

# Time to set up a copy of KV cache from another engine.
COPY_SETUP_SECONDS = 0.008
# A copy between zones takes longer than one within a zone.
CROSS_ZONE_COPY_FACTOR = 2.0
# Copies from or to one engine run one after another, so a copy is expected to wait for another one.
COPY_QUEUE_FACTOR = 2.0
DEFAULT_PAUSE_SECONDS = 0.8
# Penalty per running stream whose next event would be late.
LATE_STREAM_SECONDS = 0.04
# Delay of a new request to a plain service whose slots are all in use.
FULL_SLOTS_SECONDS = 0.09
# Penalties for another zone and another region: the extra delay that is accepted to avoid the
# traffic between them.
CROSS_ZONE_SECONDS = 0.06
CROSS_REGION_SECONDS = 0.15
# Weight of a request's own prefill, which ends sooner at a fast upstream, but delays the requests
# behind it there while a slow one is idle.
OWN_PREFILL_WEIGHT = 0.5
# Penalty per recent failure of an upstream.
FAILURE_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Requests in flight at an upstream.

    Attributes
    ----------
    running : int
        Requests whose answers have started, and all requests to plain services.
    waiting : int
        Requests that wait for the first event of their answer.
    waiting_tokens : int
        Prompt tokens of the waiting requests that the upstream has to prefill.
    """

    running: int = 0
    waiting: int = 0
    waiting_tokens: int = 0

    def __add__(self, other: "Load") -> "Load":
        return Load(
            self.running + other.running,
            self.waiting + other.waiting,
            self.waiting_tokens + other.waiting_tokens,
        )

    def __sub__(self, other: "Load") -> "Load":
        return Load(
            self.running - other.running,
            self.waiting - other.waiting,
            self.waiting_tokens - other.waiting_tokens,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Distances:
    """Distances of the zones from one of them.

    Attributes
    ----------
    own_zone : str
    regions : mapping of str to str
        Region of each zone.
    """

    own_zone: str
    regions: Mapping[str, str]

    def distance(self, zone: str) -> int:
        """Returns 0 for the own zone, 1 for others of its region, 2 for other regions."""
        if zone == self.own_zone:
            return 0
        return 1 if self.regions.get(zone) == self.regions.get(self.own_zone) else 2


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream with its state as the entry knows it.

    Attributes
    ----------
    distance : int
        0 in the entry's zone, 1 in another zone of its region, 2 in another region.
    failures : float
        Number of recent failures, decayed with time.
    relayed : bool
        Whether the entry reaches it through another entry only.
    speed : Rates
        Rates at which it works, as far as they are known.
    """

    upstream: upstreams.Upstream
    load: Load
    distance: int
    failures: float = 0.0
    relayed: bool = False
    speed: rates.Rates = rates.NOMINAL


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """Size of a prompt, and the upstreams that have its shared part in their prefix cache.

    Attributes
    ----------
    shared_key : str
        ID of the last part that is shared with other requests; empty if no part is.
    shared_tokens, own_tokens : int
        Tokens of the shared parts and of the rest.
    holders : mapping of str to float
        IDs of the upstreams that used the shared part lately, with the seconds since then.
    holder_groups : frozenset of (str, str)
        Software versions and zones of these upstreams. Only caches of one version fit.
    transfer_seconds : float or None
        Time in which the KV cache of the shared part is transferred within a zone; None if
        upstreams cannot copy it from each other.
    pause_seconds : float
        Longest pause allowed between two events of a stream.
    """

    shared_key: str = ""
    shared_tokens: int = 0
    own_tokens: int = 0
    holders: Mapping[str, float] = dataclasses.field(default_factory=dict)
    holder_groups: frozenset[tuple[str, str]] = frozenset()
    transfer_seconds: float | None = None
    pause_seconds: float = DEFAULT_PAUSE_SECONDS

    def late_probability(self, waiting_tokens: int, speed: rates.Rates = rates.NOMINAL) -> float:
        """Returns the probability that this many waiting tokens make a running stream late.

        It grows with the square of the tokens, since engines are slower than usual at times.
        """
        share = waiting_tokens / (speed.max_waiting_tokens_per_second * self.pause_seconds)
        return min(1.0, share) ** 2

    def copy_seconds(
        self, upstream: upstreams.Upstream, speed: rates.Rates = rates.NOMINAL
    ) -> float | None:
        """Returns the time in which an upstream copies the shared part from a holder.

        Returns
        -------
        float or None
            None if the upstream holds the part, if no other one of its software version does, or if
            it prefills the part sooner than a copy arrives.
        """
        zones = {zone for version, zone in self.holder_groups if version == upstream.version}
        if self.transfer_seconds is None or not zones or upstream.id in self.holders:
            return None
        factor = 1.0 if upstream.zone in zones else CROSS_ZONE_COPY_FACTOR
        seconds = COPY_QUEUE_FACTOR * (COPY_SETUP_SECONDS + factor * self.transfer_seconds)
        prefill_seconds = self.shared_tokens / speed.idle_prefill_tokens_per_second
        return seconds if seconds < prefill_seconds else None

    def missing_tokens(
        self, upstream: upstreams.Upstream, speed: rates.Rates = rates.NOMINAL
    ) -> int:
        """Returns the tokens of the shared part that an upstream has to prefill."""
        if upstream.id in self.holders or self.copy_seconds(upstream, speed) is not None:
            return 0
        return self.shared_tokens


class Policy(Protocol):
    """Placement policy."""

    def choose(
        self, candidates: Sequence[Candidate], prompt: Prompt | None, rng: random.Random
    ) -> Candidate | None:
        """Returns the best candidate, or None if there is none."""


def expected_start_seconds(load: Load, speed: rates.Rates = rates.NOMINAL) -> float:
    """Returns the expected time until the answer to a new request starts at a given load."""
    prefill_seconds = load.waiting_tokens / speed.prefill_tokens_per_second
    delay_seconds = (load.running + load.waiting) * speed.delay_seconds_per_request
    return prefill_seconds + delay_seconds


def own_prefill_seconds(prompt: Prompt, speed: rates.Rates) -> float:
    """Returns the time in which an upstream prefills the part that no other request shares.

    It is 0 while the speeds of upstreams are not known: it then delays the start alike everywhere.
    """
    if speed is rates.NOMINAL:
        return 0.0
    return prompt.own_tokens / speed.idle_prefill_tokens_per_second


def rendezvous_hash(key: str, upstream_id: str) -> int:
    """Returns the rendezvous hash of an upstream for a key; the highest value is preferred."""
    return xxhash.xxh64_intdigest(f"{key}|{upstream_id}".encode())


class ScoreTerms(msgspec.Struct, frozen=True, gc=False):
    """Terms of the score of a candidate, in seconds; the candidate with the least total is best.

    Attributes
    ----------
    distance, failures : float
        Penalties for another zone or region, and for recent failures.
    warm_in : float
        Time left until the upstream has warmed up.
    start : float
        Expected time until the answer starts, by the load; for plain services by the slots in use.
    late : float
        Penalty for running streams whose next events would be late.
    own_prefill : float
        Weighted time of the prefill of what no other request shares.
    copy, missing : float
        Time to copy the shared part from a holder, and to prefill what is missing of it.
    tie_break : float
        Random part that distributes requests among equal candidates.
    """

    distance: float
    failures: float
    warm_in: float
    start: float
    late: float = 0.0
    own_prefill: float = 0.0
    copy: float = 0.0
    missing: float = 0.0
    tie_break: float = 0.0

    @property
    def total(self) -> float:
        """The score."""
        seconds = self.distance + (self.failures + self.warm_in) + self.start + self.late
        return seconds + self.own_prefill + self.copy + self.missing + self.tie_break


@registry.register("placement", "expected-start")
class ExpectedStart:
    """Chooses the upstream with the shortest expected time to the start of the answer."""

    def choose(
        self, candidates: Sequence[Candidate], prompt: Prompt | None, rng: random.Random
    ) -> Candidate | None:
        """Returns the best candidate, or None if there is none."""
        if not candidates:
            return None
        scores = self.scores(candidates, prompt, rng)
        return candidates[min(range(len(scores)), key=scores.__getitem__)]

    def scores(
        self, candidates: Sequence[Candidate], prompt: Prompt | None, rng: random.Random
    ) -> list[float]:
        """Returns the expected time to the start of the answer at each candidate, in seconds."""
        return [each.total for each in self.terms(candidates, prompt, rng)]

    def terms(
        self, candidates: Sequence[Candidate], prompt: Prompt | None, rng: random.Random
    ) -> list[ScoreTerms]:
        """Returns the terms of the score of each candidate."""
        preferred = self._preferred_upstreams(candidates, prompt)
        return [self._terms(each, prompt, preferred, rng) for each in candidates]

    @staticmethod
    def _preferred_upstreams(
        candidates: Sequence[Candidate], prompt: Prompt | None
    ) -> dict[str, str]:
        """Returns the ID of the preferred upstream of the prompt's shared part by zone."""
        if prompt is None or not prompt.shared_key:
            return {}
        highest: dict[str, tuple[int, str]] = {}
        for each in candidates:
            rank = (rendezvous_hash(prompt.shared_key, each.upstream.id), each.upstream.id)
            highest[each.upstream.zone] = max(highest.get(each.upstream.zone, (-1, "")), rank)
        return {zone: upstream_id for zone, (_, upstream_id) in highest.items()}

    @staticmethod
    def _terms(
        candidate: Candidate,
        prompt: Prompt | None,
        preferred: Mapping[str, str],
        rng: random.Random,
    ) -> ScoreTerms:
        """Returns the expected time to the start of the answer, with penalties, by its terms."""
        upstream, load, speed = candidate.upstream, candidate.load, candidate.speed
        distance = (0.0, CROSS_ZONE_SECONDS, CROSS_REGION_SECONDS)[candidate.distance]
        failures = candidate.failures * FAILURE_SECONDS
        warm_in = upstream.warm_in_seconds
        if prompt is None:
            utilisation = (load.running + load.waiting) / max(1, upstream.slots)
            start = utilisation * FULL_SLOTS_SECONDS
            return ScoreTerms(distance, failures, warm_in, start, tie_break=rng.random() * 0.001)
        missing_tokens = prompt.missing_tokens(upstream, speed)
        uncached_tokens = prompt.own_tokens + missing_tokens
        late = prompt.late_probability(load.waiting_tokens + uncached_tokens, speed)
        copy = missing = 0.0
        if prompt.holders:
            copy = prompt.copy_seconds(upstream, speed) or 0.0
            missing = missing_tokens / speed.idle_prefill_tokens_per_second
        elif preferred.get(upstream.zone) != upstream.id:
            # Other entries without a known holder send the shared part to the preferred upstream.
            missing = prompt.shared_tokens / speed.idle_prefill_tokens_per_second
        return ScoreTerms(
            distance,
            failures,
            warm_in,
            expected_start_seconds(load, speed),
            load.running * late * LATE_STREAM_SECONDS,
            OWN_PREFILL_WEIGHT * own_prefill_seconds(prompt, speed),
            copy,
            missing,
            rng.random() * 0.001,
        )


@registry.register("placement", "least-in-flight")
class LeastInFlight:
    """Chooses the upstream with the fewest requests in flight per slot; a baseline."""

    def choose(
        self, candidates: Sequence[Candidate], prompt: Prompt | None, rng: random.Random
    ) -> Candidate | None:
        """Returns the best candidate, or None if there is none."""
        if not candidates:
            return None
        return min(
            candidates,
            key=lambda each: (
                (each.load.running + each.load.waiting) / max(1, each.upstream.slots),
                rng.random(),
            ),
        )


@registry.register("placement", "round-robin")
class RoundRobin:
    """Chooses each upstream in turn, regardless of loads; a baseline."""

    def __init__(self) -> None:
        self._next = 0

    def choose(
        self, candidates: Sequence[Candidate], prompt: Prompt | None, rng: random.Random
    ) -> Candidate | None:
        """Returns the next candidate, or None if there is none."""
        if not candidates:
            return None
        self._next += 1
        return sorted(candidates, key=lambda each: each.upstream.id)[self._next % len(candidates)]
