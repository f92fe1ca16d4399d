"""Plans of runners, and their way from one holder of the duty to the next."""

from collections.abc import Mapping

from coltsfoothead.kernel.traffic import document, runnerplan

__all__ = ["PlanBook"]

# Plans that were not kept up for longer tell little of the runners that are there now.
STATE_SECONDS = 10.0


class PlanBook:
    """The plans of this process if it holds the duty, and what it was told of the holder's."""

    def __init__(self) -> None:
        self._plans: dict[str, runnerplan.RunnerPlan] = {}
        self._used_at = float("-inf")
        self._told: Mapping[str, runnerplan.PlanState] = {}
        self._told_at = float("-inf")

    def receive(self, states: Mapping[str, runnerplan.PlanState], now: float) -> None:
        """Takes the states of the holder's plans."""
        if states:
            self._told, self._told_at = states, now

    def states(self, now: float) -> dict[str, runnerplan.PlanState]:
        """Returns the states of this process's plans, if it is keeping them up."""
        if now - self._used_at > STATE_SECONDS:
            return {}
        return {name: plan.state(now) for name, plan in self._plans.items()}

    def take_over(self, now: float) -> bool:
        """Begins to hold the duty; returns whether the state of the last holder is known."""
        if self._told_at > self._used_at:
            self._plans = {}
        else:
            self._told = {}
        known = now - max(self._told_at, self._used_at) <= STATE_SECONDS
        if not known:
            self._plans, self._told = {}, {}
        return known

    def plan(self, service: document.Service, now: float) -> runnerplan.RunnerPlan:
        """Returns the plan of a service."""
        self._used_at = now
        plan = self._plans.get(service.name)
        if plan is None:
            plan = runnerplan.RunnerPlan(service, self._told.get(service.name), self._told_at)
        elif plan.service != service:
            plan = runnerplan.RunnerPlan(service, plan.state(now), now)
        self._plans[service.name] = plan
        return plan
