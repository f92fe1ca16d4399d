"""Runner plans, and their hand-over from one holder of the duties to the next."""

from collections.abc import Mapping

from coltsfoothead.kernel.traffic import document, runnerplan

__all__ = ["PlanStore"]

# A plan state that has not been updated for longer no longer describes the existing runners.
STATE_MAX_AGE_SECONDS = 10.0


class PlanStore:
    """Runner plans by service.

    The holder of the duties keeps its plans here; other processes keep the plan states that they
    receive from the leader, to continue from them if they become the holder.
    """

    def __init__(self) -> None:
        self._plans: dict[str, runnerplan.RunnerPlan] = {}
        self._used_at = float("-inf")
        self._received_states: Mapping[str, runnerplan.PlanState] = {}
        self._received_at = float("-inf")

    def receive(self, states: Mapping[str, runnerplan.PlanState], now: float) -> None:
        """Stores the states of the holder's plans."""
        if states:
            self._received_states, self._received_at = states, now

    def states(self, now: float) -> dict[str, runnerplan.PlanState]:
        """Returns the states of this process's plans; empty if it has not used them recently."""
        if now - self._used_at > STATE_MAX_AGE_SECONDS:
            return {}
        return {name: plan.state(now) for name, plan in self._plans.items()}

    def take_over(self, now: float) -> bool:
        """Prepares the plans when this process becomes the holder of the duties.

        Returns
        -------
        bool
            Whether recent plan states are known, received ones or this process's own. Otherwise
            all plans start anew.
        """
        if self._received_at > self._used_at:
            self._plans = {}
        else:
            self._received_states = {}
        known = now - max(self._received_at, self._used_at) <= STATE_MAX_AGE_SECONDS
        if not known:
            self._plans, self._received_states = {}, {}
        return known

    def plan(self, service: document.Service, now: float) -> runnerplan.RunnerPlan:
        """Returns the plan of a service."""
        self._used_at = now
        plan = self._plans.get(service.name)
        if plan is None:
            plan = runnerplan.RunnerPlan(
                service, self._received_states.get(service.name), self._received_at
            )
        elif plan.service != service:
            plan = runnerplan.RunnerPlan(service, plan.state(now), now)
        self._plans[service.name] = plan
        return plan
