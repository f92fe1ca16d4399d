"""Refuses requests that no upstream could answer in time.

A request that waits behind too many prompts is answered late or not at all, and delays all others
there. The less urgent a route is, the shorter the wait at which its requests are refused, so that
what is left serves the more urgent ones.
"""

import dataclasses

from coltsfoothead.kernel.traffic import document, placement

__all__ = ["Verdict", "judge"]

# Part of the objective that the expected start may take, by the route's priority; later priorities
# are treated like the last one.
START_PARTS = (1.0, 0.8, 0.5)
# Requests under way per slot, by priority. Beyond them streams pause for longer than callers bear.
SLOT_PARTS = (1.0, 0.9, 0.8)
# Objective of a route that states none.
GOAL_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a request is taken, with the inputs that decided it."""

    taken: bool
    expected_seconds: float
    bound_seconds: float
    under_way: int
    bound_under_way: float


def judge(
    route: document.Route, best: placement.Candidate, prompt: placement.Prompt | None
) -> Verdict:
    """Decides about a request that would go to the best candidate.

    Parameters
    ----------
    route : Route
    best : Candidate
    prompt : Prompt or None
        None for plain services, which refuse by themselves when they are full.
    """
    load = best.load
    under_way = load.running + load.waiting
    if prompt is None:
        return Verdict(True, 0.0, 0.0, under_way, float("inf"))
    rank = min(max(route.priority, 0), len(START_PARTS) - 1)
    expected = placement.start_seconds(load)
    bound = START_PARTS[rank] * (route.goal_seconds or GOAL_SECONDS)
    slots = SLOT_PARTS[rank] * best.upstream.slots
    # A few requests are always taken: the estimate counts prompts as a whole, and one that has
    # begun to be read is shorter than it was.
    taken = load.waiting < 2 or (expected <= bound and under_way < slots)
    return Verdict(taken, expected, bound, under_way, slots)
