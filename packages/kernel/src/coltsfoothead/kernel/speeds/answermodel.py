"""Model of the times of an answer, with parameters that are common to a service's runners.

The time to the first event and the pause between events are sums of terms, each in proportion to
a value that the entry knows when it sends the request. A coefficient is a multiple of the nominal
one. Both times are those of a runner of the median speed of its service.
"""

import dataclasses
from collections.abc import Sequence

from coltsfoothead.kernel.speeds import rates

__all__ = ["COEFFICIENTS", "DECODED_REQUESTS", "AnswerModel", "Sums", "pause_terms", "start_terms"]

# Nominal time to the first event of a request that nothing delays.
START_SECONDS = 0.04
# Nominal time of one step of an engine, what each running request adds to it, and what a waiting
# prompt adds while it is prefilled.
STEP_SECONDS = 0.0035
STEP_SECONDS_PER_REQUEST = 0.00008
STEP_SECONDS_OF_PREFILL = 0.003
# Requests that an engine runs at once at its nominal decoding rate.
DECODED_REQUESTS = 30
# Coefficient of a request's own tokens at the specification's engine: it reads a prompt in chunks,
# between steps that generate tokens.
NOMINAL_UNREAD_COEFFICIENT = 1.65
# Observations as which the coefficients so far count.
PRIOR_OBSERVATIONS = 100.0
# Bounds of a coefficient, and of the ratio of an observation to its expectation in the sums.
MIN_COEFFICIENT = 0.2
MAX_COEFFICIENT = 5.0
MAX_RATIO = 3.0
# Sums are sent as integers in this unit.
SUM_UNIT = 0.001
# Numbers of terms of the time to the first event and of the pause.
START_TERMS = 4
PAUSE_TERMS = 3
COEFFICIENTS = START_TERMS + PAUSE_TERMS


def start_terms(
    waiting_tokens: float, unread_tokens: float, requests: float
) -> tuple[float, float, float, float]:
    """Returns the nominal terms of the time to the first event, in seconds.

    Parameters
    ----------
    waiting_tokens : float
        Prompt tokens that wait at the runner when the request is sent.
    unread_tokens : float
        Prompt tokens of the request itself that are not cached.
    requests : float
        Requests in flight at the runner.
    """
    return (
        START_SECONDS,
        waiting_tokens / rates.PREFILL_TOKENS_PER_SECOND,
        unread_tokens / rates.IDLE_PREFILL_TOKENS_PER_SECOND,
        requests * rates.DELAY_SECONDS_PER_REQUEST,
    )


def pause_terms(
    tokens_per_event: float, requests: float, prefilling: float
) -> tuple[float, float, float]:
    """Returns the nominal terms of the pause between two events, in seconds.

    Parameters
    ----------
    tokens_per_event : float
    requests : float
        Mean number of running requests.
    prefilling : float
        Fraction of the time in which prompts waited.
    """
    return (
        tokens_per_event * STEP_SECONDS,
        tokens_per_event * requests * STEP_SECONDS_PER_REQUEST,
        tokens_per_event * prefilling * STEP_SECONDS_OF_PREFILL,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerModel:
    """Coefficients of a service, as multiples of the nominal ones.

    Attributes
    ----------
    start, pause : tuple of float
        Coefficients of `start_terms` and `pause_terms`.
    """

    start: tuple[float, ...] = (1.0, 1.0, NOMINAL_UNREAD_COEFFICIENT, 1.0)
    pause: tuple[float, ...] = (1.0,) * PAUSE_TERMS

    def rates_at(self, decoded_requests: int) -> rates.Rates:
        """Returns the rates of a runner of the median speed.

        Parameters
        ----------
        decoded_requests : int
            Requests that it runs at once at its decoding rate.
        """
        start, waiting, unread, requests = self.start
        base, per_request, _ = self.pause
        nominal_step = STEP_SECONDS + DECODED_REQUESTS * STEP_SECONDS_PER_REQUEST
        step = base * STEP_SECONDS + per_request * decoded_requests * STEP_SECONDS_PER_REQUEST
        step *= DECODED_REQUESTS / decoded_requests
        idle_prefill = rates.IDLE_PREFILL_TOKENS_PER_SECOND / unread
        prefill = NOMINAL_UNREAD_COEFFICIENT / unread
        return rates.Rates(
            # The loads that entries know are old, so that waiting prompts seem to delay too little.
            min(idle_prefill, rates.PREFILL_TOKENS_PER_SECOND / waiting),
            idle_prefill,
            rates.DELAY_SECONDS_PER_REQUEST * requests,
            rates.MAX_WAITING_TOKENS_PER_SECOND * prefill,
            rates.DECODE_TOKENS_PER_SECOND * nominal_step / step,
            START_SECONDS * start,
            rates.IDLE_PREFILL_TOKENS_PER_SECOND * prefill,
        )

    @property
    def rates(self) -> rates.Rates:
        """Rates of a runner of the median speed."""
        return self.rates_at(DECODED_REQUESTS)


def expected_seconds(coefficients: Sequence[float], terms: Sequence[float]) -> float:
    """Returns the sum of the terms with their coefficients."""
    return sum(each * term for each, term in zip(coefficients, terms, strict=True))


class Sums:
    """Sums over observations, from which coefficients are fitted by least squares.

    An observation counts by its deviation in proportion to its expectation, and a deviation beyond
    a factor of `MAX_RATIO` counts as that.

    Parameters
    ----------
    size : int
        Number of terms.
    """

    def __init__(self, size: int) -> None:
        self._size = size
        self._products = [0.0] * (size * (size + 1) // 2 + size)

    def add(self, terms: Sequence[float], expected: float, observed: float) -> None:
        """Adds one observation with its expected time."""
        ratio = min(MAX_RATIO, max(1.0 / MAX_RATIO, observed / expected))
        scaled = [term / expected for term in terms]
        products = [
            scaled[row] * scaled[column]
            for row in range(self._size)
            for column in range(row, self._size)
        ]
        products += [each * ratio for each in scaled]
        self._products = [a + b for a, b in zip(self._products, products, strict=True)]

    def decay(self, factor: float) -> None:
        """Multiplies the weight of all observations."""
        self._products = [each * factor for each in self._products]

    def encode(self) -> tuple[int, ...]:
        """Returns the sums in units of `SUM_UNIT`; empty if all are zero."""
        encoded = tuple(round(each / SUM_UNIT) for each in self._products)
        return encoded if any(encoded) else ()

    def merge(self, encoded: Sequence[int]) -> None:
        """Adds encoded sums; those of another length come from another build and are ignored."""
        if len(encoded) == len(self._products):
            self._products = [
                total + SUM_UNIT * each for total, each in zip(self._products, encoded, strict=True)
            ]

    def fit(self, previous: Sequence[float]) -> tuple[float, ...]:
        """Returns the coefficients, shrunk to the previous ones by the number of observations."""
        size = self._size
        rows = [[0.0] * (size + 1) for _ in range(size)]
        products = iter(self._products)
        for row in range(size):
            for column in range(row, size):
                rows[row][column] = rows[column][row] = next(products)
        scale = PRIOR_OBSERVATIONS / size**2
        for row in range(size):
            rows[row][size] = next(products) + scale * previous[row]
            rows[row][row] += scale
        return tuple(min(MAX_COEFFICIENT, max(MIN_COEFFICIENT, each)) for each in _solve(rows))


def _solve(rows: list[list[float]]) -> list[float]:
    """Solves a positive definite system whose rows end with the right side."""
    size = len(rows)
    for pivot in range(size):
        for row in range(pivot + 1, size):
            factor = rows[row][pivot] / rows[pivot][pivot]
            rows[row] = [a - factor * b for a, b in zip(rows[row], rows[pivot], strict=True)]
    solution = [0.0] * size
    for row in reversed(range(size)):
        known = sum(rows[row][column] * solution[column] for column in range(row + 1, size))
        solution[row] = (rows[row][size] - known) / rows[row][row]
    return solution
