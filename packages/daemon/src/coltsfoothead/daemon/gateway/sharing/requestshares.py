"""Decides at an entry whether a request is within the share of its organisation."""

import asyncio
import copy
from collections.abc import Iterable

from coltsfoothead.daemon import metrics as metrics_module
from coltsfoothead.daemon.gateway import clock, requeststate
from coltsfoothead.kernel.sharing import entryshares
from coltsfoothead.kernel.sharing import work as work_module
from coltsfoothead.kernel.traffic import overload, placement

__all__ = ["RequestShares"]


class RequestShares:
    """Charges requests to the shares of their organisations.

    Parameters
    ----------
    shares : EntryShares
    metrics : Metrics
    """

    def __init__(self, shares: entryshares.EntryShares, metrics: metrics_module.Metrics) -> None:
        self._shares = shares
        self._metrics = metrics

    def copy(self) -> "RequestShares":
        """Returns independent shares with the same levels, for a request that is not sent."""
        return RequestShares(copy.deepcopy(self._shares), metrics_module.Metrics())

    def receive(
        self,
        shares: Iterable[work_module.ServiceShare] | None,
        entry_count: int,
        now: float,
    ) -> None:
        """Takes in the shares in an answer of the leader; `now` is a time of `clock.steady`."""
        self._shares.receive(shares, entry_count, now)

    def pop_work(self) -> tuple[work_module.ServiceWork, ...]:
        """Returns the work offered and admitted since the last call, for a report."""
        return self._shares.pop_work()

    def room_rate(self, service: str) -> float | None:
        """Returns the runner-seconds a second that this entry may admit; None if not short."""
        return self._shares.room_rate(service, clock.steady())

    def refusal_cause(
        self,
        state: requeststate.RequestState,
        chosen: placement.Candidate,
        prompt: placement.Prompt,
        verdict: overload.AdmissionDecision,
    ) -> str | None:
        """Charges a request; returns why it is refused if its share has no room for it.

        Parameters
        ----------
        state : RequestState
        chosen : Candidate
            Upstream that would get the request.
        prompt : Prompt
            Prompt with the upstreams that hold its shared part.
        verdict : AdmissionDecision
            Verdict of the load shedding.
        """
        if state.share_charge is not None:
            return None
        unread_tokens = prompt.own_tokens + prompt.missing_tokens(chosen.upstream, chosen.speed)
        if state.engine is not None:
            unread_tokens = min(unread_tokens, state.engine.token_capacity)
        work = work_module.request_work(unread_tokens, state.expected_output_tokens)
        waited_seconds = asyncio.get_running_loop().time() - state.arrived_at
        goal_seconds = state.route.goal_seconds or overload.DEFAULT_GOAL_SECONDS
        if state.share_work is not None:
            self._shares.retract(*self._key(state), state.share_work)
        decision = self._shares.admit(
            *self._key(state),
            work,
            # Its own prefill is left out: large prompts would need a fuller bucket than small ones.
            waited_seconds + verdict.expected_start_seconds <= goal_seconds,
            clock.steady(),
        )
        state.share, state.share_work = decision, work
        if decision.admitted:
            state.share_charge = work
            return None
        return (
            f"over the share of {state.organisation_name}: level {decision.level:.3f} of "
            f"{decision.threshold:.3f} runner-seconds, {decision.rate:.3f} a second"
        )

    def refund(self, state: requeststate.RequestState) -> None:
        """Gives back what was charged for a request that is not sent."""
        if state.share_charge is not None and state.share is not None:
            self._shares.refund(*self._key(state), state.share_charge, state.share.charge)
            state.share_charge = None

    def settle(self, state: requeststate.RequestState) -> None:
        """Refunds a request that has ended and did not run, and counts its work."""
        if state.share_work is None:
            return
        if not state.may_have_run:
            self.refund(state)
        outcome = "admitted" if state.share_charge is not None else "refused"
        milliseconds = round(1e3 * state.share_work.total)
        for name in ("offered", outcome):
            label = f'work_{name}_ms{{service="{state.service}"}}'
            self._metrics.count(label, milliseconds)

    @staticmethod
    def _key(state: requeststate.RequestState) -> tuple[str, str | None, int]:
        return state.service, state.organisation_name, state.urgency
