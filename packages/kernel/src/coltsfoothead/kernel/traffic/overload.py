"""Load shedding: refuses requests that no upstream could answer in time.

A request that queues behind too many prompts is answered late or not at all, and delays all other
requests at the same upstream. The lower the priority of a route, the shorter the expected delay at
which its requests are refused, so that the remaining capacity serves routes of higher priority.
"""

import dataclasses

from coltsfoothead.kernel.traffic import document, placement

__all__ = ["ALWAYS_ADMITTED_WAITING", "AdmissionDecision", "decide_admission"]

# Fraction of the objective that the expected time to the start of the answer may take, by the
# priority of the route. Lower priorities than the last one use its value.
START_FRACTIONS = (1.0, 0.8, 0.5)
# Requests in flight per slot, by priority. With more, streams pause for longer than the objective.
SLOT_FRACTIONS = (1.0, 0.9, 0.8)
# While fewer requests wait, one more is always admitted: the estimate counts whole prompts,
# although the prefill of one may be partly done.
ALWAYS_ADMITTED_WAITING = 2
# Objective of a route that has none.
DEFAULT_GOAL_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """Whether a request is admitted, with the values that decided it.

    Attributes
    ----------
    admitted : bool
    expected_start_seconds, limit_seconds : float
        Expected time until the request's own prefill begins, and its limit.
    in_flight : int
        Requests in flight at the upstream.
    in_flight_limit : float
    """

    admitted: bool
    expected_start_seconds: float
    limit_seconds: float
    in_flight: int
    in_flight_limit: float

    @property
    def cause(self) -> str:
        """The values, for the log line of a request that is refused."""
        return (
            f"start in {self.expected_start_seconds:.2f} s, limit {self.limit_seconds:.2f}; "
            f"{self.in_flight} requests in flight, limit {self.in_flight_limit:.0f}"
        )


def decide_admission(
    route: document.Route, best: placement.Candidate, prompt: placement.Prompt | None
) -> AdmissionDecision:
    """Decides whether to admit a request that would be sent to the best candidate.

    Parameters
    ----------
    route : Route
    best : Candidate
    prompt : Prompt or None
        None for services without model runners, which refuse requests themselves when they are
        full.
    """
    load = best.load
    in_flight = load.running + load.waiting
    if prompt is None:
        return AdmissionDecision(True, 0.0, 0.0, in_flight, float("inf"))
    rank = min(max(route.priority, 0), len(START_FRACTIONS) - 1)
    # The request's own prefill does not count: a large prompt would be refused however often its
    # caller returned.
    expected = placement.expected_start_seconds(load, best.speed) + best.speed.start_seconds
    limit = START_FRACTIONS[rank] * (route.goal_seconds or DEFAULT_GOAL_SECONDS)
    slots = SLOT_FRACTIONS[rank] * best.upstream.slots
    admitted = load.waiting < ALWAYS_ADMITTED_WAITING or (expected <= limit and in_flight < slots)
    return AdmissionDecision(admitted, expected, limit, in_flight, slots)
