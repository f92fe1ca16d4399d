"""Chooses the upstream of a request from what one entry knows.

The score of a candidate is the time until the answer begins that the entry expects there: prompts
that wait to be read, the slots in use, the part of the prompt that the upstream does not hold yet,
and the distance. Loads of other entries are up to one exchange old; the entry adds its own sends at
once, so that a stale view does not draw many requests to one upstream.
"""

import dataclasses
import random
from collections.abc import Mapping, Sequence
from typing import Protocol

import xxhash

from coltsfoothead.kernel import registry
from coltsfoothead.kernel.traffic import upstreams

__all__ = [
    "Candidate",
    "ExpectedStart",
    "LeastInFlight",
    "Load",
    "Policy",
    "Prompt",
    "RoundRobin",
    "rendezvous",
    "start_seconds",
]

# Prompt tokens that an engine reads per second beside its running requests, from the times at which
# requests began that found 10,000 to 30,000 tokens waiting.
READ_TOKENS_PER_SECOND = 22_000.0
# Tokens that an engine without waiting prompts reads per second.
IDLE_READ_TOKENS_PER_SECOND = 56_000.0
# Time after which the shared part of a prompt has been copied from another engine: 5,000 tokens
# take 6 ms on the links of the sheets, and the set-up 8 ms.
COPY_SECONDS = 0.015
# Time by which one running request delays the start of another, from the step times of the sheets.
RUNNING_SECONDS = 0.004
# Prompt tokens that an engine may have to read while its running streams still go on in time. Each
# step of an event reads a piece of the waiting prompts, and 45,000 tokens take 0.8 s, the longest
# pause of the sheets.
PAUSE_TOKENS = 38_000
# Time that outweighs one running stream whose next event would be late.
PAUSED_SECONDS = 0.04
# Time by which a full set of slots of a plain service delays a new request.
FULL_SECONDS = 0.09
# Penalty of another zone and of another region, in seconds of waiting that outweigh its traffic.
ZONE_SECONDS = 0.06
REGION_SECONDS = 0.35
# Seconds added per recent failure of an upstream.
FAILURE_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Requests under way at an upstream.

    Attributes
    ----------
    running : int
        Requests whose answers have begun, and requests of plain services.
    waiting : int
        Requests without a first event.
    waiting_tokens : int
        Prompt tokens of the waiting requests that the upstream has to read.
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
class Candidate:
    """An upstream with what is known of its state.

    Attributes
    ----------
    distance : int
        0 in the entry's zone, 1 in its region, 2 elsewhere.
    failures : float
        Recent failures, decayed with time.
    """

    upstream: upstreams.Upstream
    load: Load
    distance: int
    failures: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """Size of a prompt and the part that other requests share.

    Attributes
    ----------
    shared_key : str
        ID of the last shared part; empty if nothing is shared.
    shared_tokens, own_tokens : int
    holders : mapping of str to float
        Upstreams that read the shared part lately, with the time since then in seconds.
    copies : bool
        Whether another upstream can copy it from a holder.
    """

    shared_key: str = ""
    shared_tokens: int = 0
    own_tokens: int = 0
    holders: Mapping[str, float] = dataclasses.field(default_factory=dict)
    copies: bool = False

    def missing_tokens(self, upstream_id: str) -> int:
        """Returns the tokens of the shared part that an upstream has to read."""
        copied = self.copies and len(self.holders) > 0
        return 0 if copied or upstream_id in self.holders else self.shared_tokens


class Policy(Protocol):
    """Chooses the upstream of a request."""

    def choose(
        self, candidates: Sequence[Candidate], prompt: Prompt | None, rng: random.Random
    ) -> Candidate | None:
        """Returns the best candidate, or None if there is none."""


def start_seconds(load: Load) -> float:
    """Returns the time after which a request that joins a load is expected to begin."""
    waiting = load.waiting_tokens / READ_TOKENS_PER_SECOND
    return waiting + (load.running + load.waiting) * RUNNING_SECONDS


def rendezvous(key: str, upstream_id: str) -> int:
    """Returns the rank of an upstream for a key; the highest rank is preferred."""
    return xxhash.xxh64_intdigest(f"{key}|{upstream_id}".encode())


@registry.register("placement", "expected-start")
class ExpectedStart:
    """Least expected time to the start of the answer."""

    def choose(
        self, candidates: Sequence[Candidate], prompt: Prompt | None, rng: random.Random
    ) -> Candidate | None:
        """Returns the best candidate, or None if there is none."""
        if not candidates:
            return None
        homes = self._homes(candidates, prompt)
        return min(candidates, key=lambda each: self._seconds(each, prompt, homes, rng))

    @staticmethod
    def _homes(candidates: Sequence[Candidate], prompt: Prompt | None) -> dict[str, str]:
        """Returns the preferred upstream of the prompt's shared part in each zone."""
        if prompt is None or not prompt.shared_key:
            return {}
        homes: dict[str, tuple[int, str]] = {}
        for each in candidates:
            rank = (rendezvous(prompt.shared_key, each.upstream.id), each.upstream.id)
            homes[each.upstream.zone] = max(homes.get(each.upstream.zone, (-1, "")), rank)
        return {zone: name for zone, (_, name) in homes.items()}

    @staticmethod
    def _seconds(
        candidate: Candidate,
        prompt: Prompt | None,
        homes: Mapping[str, str],
        rng: random.Random,
    ) -> float:
        upstream, load = candidate.upstream, candidate.load
        seconds = (0.0, ZONE_SECONDS, REGION_SECONDS)[candidate.distance]
        seconds += candidate.failures * FAILURE_SECONDS + upstream.warm_in_seconds
        if prompt is None:
            taken = (load.running + load.waiting) / max(1, upstream.slots)
            return seconds + taken * FULL_SECONDS + rng.random() * 0.001
        seconds += start_seconds(load)
        unread = prompt.own_tokens + prompt.missing_tokens(upstream.id)
        if load.waiting_tokens + unread > PAUSE_TOKENS:
            seconds += load.running * PAUSED_SECONDS
        if prompt.holders:
            if upstream.id in prompt.holders:
                return seconds + rng.random() * 0.001
            read = prompt.missing_tokens(upstream.id) / IDLE_READ_TOKENS_PER_SECOND
            return seconds + max(COPY_SECONDS, read) + rng.random() * 0.001
        if homes.get(upstream.zone) != upstream.id:
            # Other entries that do not know a holder either send the same part to its home.
            seconds += prompt.shared_tokens / IDLE_READ_TOKENS_PER_SECOND
        return seconds + rng.random() * 0.001


@registry.register("placement", "least-in-flight")
class LeastInFlight:
    """Fewest requests under way per slot; the baseline."""

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
    """Each upstream in turn; the baseline that knows nothing."""

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
