"""Open-loop traces of the benchmark; the same seed always gives the same trace."""

import dataclasses
import random
from collections.abc import Sequence

__all__ = ["Arrival", "KINDS", "Slowdown", "flood", "mean_tokens", "slowdowns", "trace"]

# Share of model requests and range of answer tokens by kind. The router treats answers of up to
# 128 tokens as short, so long ones are above that.
KINDS = {
    "short": (0.85, (8, 24)),
    "long": (0.14, (160, 240)),
    "straggler": (0.01, (300, 300)),
}
ORGANISATIONS = {"kiosk": 0.4, "garage": 0.3, "clinic": 0.15, "hostel": 0.1, "harbour": 0.05}
AWAY_SHARE = 1 / 3
SERVICE_CALLS_PER_SECOND = 5.0
_WORDS = ("lamp", "bolt", "valve", "wheel", "belt", "fuse", "hinge", "crank")
_PREFIX_WORDS = 64
_SECONDS_BETWEEN_SLOWDOWNS = 2.0
_SLOWDOWN_SECONDS = 0.5
_SLOWDOWN_FACTOR = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a trace.

    Attributes
    ----------
    at : float
        Seconds from the start of the trace.
    length : int
        Number of answer tokens; 0 for a service call.
    max_tokens : int, optional
        Limit that the caller states in the request; None if it states none.
    """

    at: float
    organisation: str
    region: str
    kind: str
    length: int
    max_tokens: int | None
    prompt: str


@dataclasses.dataclass(frozen=True, slots=True)
class Slowdown:
    """Temporary slowdown of one upstream; times are in seconds from the start of the trace."""

    at: float
    seconds: float
    upstream: int
    factor: float


def mean_tokens() -> float:
    """Returns the mean number of answer tokens of a model request."""
    return sum(share * sum(bounds) / 2 for share, bounds in KINDS.values())


def trace(
    seed: int, name: str, seconds: float, tokens_per_second: float, services: bool = True
) -> list[Arrival]:
    """Returns the arrivals of a mixed trace, in order of time.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    name : str
        Traces of one seed with different names are independent.
    seconds : float
        Duration of the trace.
    tokens_per_second : float
        Offered answer tokens; arrivals are a Poisson process.
    services : bool
        Whether the trace contains plain service calls.
    """
    rng = random.Random(f"{seed}/{name}")
    rate = tokens_per_second / mean_tokens()
    arrivals = [
        _model_request(rng, at, _weighted(rng, ORGANISATIONS))
        for at in _poisson(rng, rate, seconds)
    ]
    if services:
        arrivals += [
            Arrival(at, _weighted(rng, ORGANISATIONS), _region(rng), "service", 0, None, "")
            for at in _poisson(rng, SERVICE_CALLS_PER_SECOND, seconds)
        ]
    return sorted(arrivals, key=lambda arrival: arrival.at)


def flood(seed: int, organisation: str, seconds: float, tokens_per_second: float) -> list[Arrival]:
    """Returns additional model requests of a single organisation."""
    rng = random.Random(f"{seed}/flood")
    rate = tokens_per_second / mean_tokens()
    return [_model_request(rng, at, organisation) for at in _poisson(rng, rate, seconds)]


def slowdowns(seed: int, name: str, seconds: float, upstreams: int) -> list[Slowdown]:
    """Returns the temporary slowdowns of upstreams during a trace."""
    rng = random.Random(f"{seed}/{name}/slowdowns")
    times = _poisson(rng, 1 / _SECONDS_BETWEEN_SLOWDOWNS, seconds)
    return [
        Slowdown(at, _SLOWDOWN_SECONDS, rng.randrange(upstreams), _SLOWDOWN_FACTOR) for at in times
    ]


def _poisson(rng: random.Random, rate: float, seconds: float) -> list[float]:
    times = []
    at = rng.expovariate(rate)
    while at < seconds:
        times.append(at)
        at += rng.expovariate(rate)
    return times


def _model_request(rng: random.Random, at: float, organisation: str) -> Arrival:
    kind = _weighted(rng, {name: share for name, (share, _) in KINDS.items()})
    length = rng.randint(*KINDS[kind][1])
    # A straggler cannot be predicted: its caller states no limit.
    max_tokens = None if kind == "straggler" else length
    return Arrival(
        at, organisation, _region(rng), kind, length, max_tokens, _prompt(rng, organisation, length)
    )


def _prompt(rng: random.Random, organisation: str, length: int) -> str:
    words = " ".join(_WORDS[index % len(_WORDS)] for index in range(_PREFIX_WORDS))
    return f"{organisation} {words} {rng.getrandbits(48):x} len={length}"


def _region(rng: random.Random) -> str:
    return "away" if rng.random() < AWAY_SHARE else "home"


def _weighted(rng: random.Random, weights: dict[str, float]) -> str:
    names: Sequence[str] = list(weights)
    return rng.choices(names, list(weights.values()))[0]
