"""Admission and choice of the upstream for a request that is not sent.

They are the entry's own, on copies of all that a request changes: balances, levels, counters and
the random generator. What is only read is shared.
"""

import copy
import dataclasses
import random
from collections.abc import Sequence

from coltsfoothead.daemon.gateway import (
    admission,
    directory,
    ports,
    relayclient,
    requeststate,
    sending,
)
from coltsfoothead.kernel.traffic import document, placement, routetable, upstreams

__all__ = ["Choice", "RehearsedAdmission", "RehearsedSender"]


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """One choice of the placement policy.

    Attributes
    ----------
    terms : list of ScoreTerms or None
        Terms of the candidates' scores; None if the policy has no such scores.
    """

    candidates: Sequence[placement.Candidate]
    prompt: placement.Prompt | None
    terms: list[placement.ScoreTerms] | None
    chosen: placement.Candidate | None


class _RecordingPolicy:
    """Chooses as another policy would, and records the choices."""

    def __init__(self, policy: placement.Policy) -> None:
        self._policy = copy.deepcopy(policy)
        self.choices: list[Choice] = []

    def choose(
        self,
        candidates: Sequence[placement.Candidate],
        prompt: placement.Prompt | None,
        rng: random.Random,
    ) -> placement.Candidate | None:
        repeated = copy.copy(rng)
        chosen = self._policy.choose(candidates, prompt, rng)
        terms = None
        if isinstance(self._policy, placement.ExpectedStart):
            terms = self._policy.terms(candidates, prompt, repeated)
        self.choices.append(Choice(candidates, prompt, terms, chosen))
        return chosen


class _CurrentDocuments:
    """The document in force now; nothing is waited for."""

    def __init__(self, table: routetable.RouteTable | None) -> None:
        self._table = table

    async def wait_for_table(self) -> routetable.RouteTable | None:
        return self._table


class _CurrentDirectory:
    """The directory as it is now; nothing is waited for."""

    def __init__(self, directory_copy: directory.DirectoryCopy) -> None:
        self.records = directory_copy.records
        self.ready_upstreams = directory_copy.ready_upstreams

    async def wait_for_change(self) -> bool:
        return False


class _KnownPeers:
    """The peers that the entry knows; none is asked."""

    def __init__(self, relays: relayclient.RelayClient) -> None:
        self._relays = relays

    async def find_peers(self, service: str) -> bool:
        return self._relays.knows_peer(service)


class RehearsedAdmission(admission.Admission):
    """Admission of a request that is not sent.

    Parameters
    ----------
    real : Admission
    rng : random.Random

    Attributes
    ----------
    draws : bool
        Whether the leader would have been asked for the request's cost.
    """

    def __init__(self, real: admission.Admission, rng: random.Random) -> None:
        vars(self).update(vars(real))
        self._documents = _CurrentDocuments(real._documents.table)
        self._allowances = real._allowances.copy(rng, self._draw)
        self._guard = real._guard.with_generator(rng)
        self._rng = rng
        self.draws = False

    def balance(self, organisation: document.Organisation) -> float | None:
        """Returns what the allowance of an organisation covers; None without a quota."""
        return self._allowances.balance(organisation)

    async def _draw(self, organisation: str, amount: float) -> bool:
        self.draws = True
        return True


class RehearsedSender(sending.Sender):
    """Choice of the upstream for a request that is not sent.

    Parameters
    ----------
    real : Sender
    request_admission : RehearsedAdmission
    rng : random.Random
    """

    def __init__(
        self, real: sending.Sender, request_admission: RehearsedAdmission, rng: random.Random
    ) -> None:
        vars(self).update(vars(real))
        self._admission = request_admission
        self._policy = _RecordingPolicy(real._policy)
        self._directory = _CurrentDirectory(real._directory)
        self._relays = _KnownPeers(real._relays)
        self._limits = copy.deepcopy(real._limits)
        self._shares = real._shares.copy() if real._shares is not None else None
        self._rng = rng
        self.loads = real.loads.reading_copy()
        self.pacing = real.pacing.reading_copy()

    @property
    def choices(self) -> list[Choice]:
        """Choices of the placement policy: directly, and then through other entries."""
        return self._policy.choices

    async def select(self, state: requeststate.RequestState) -> placement.Candidate:
        """Returns the upstream that a request would be sent to; raises `RefusedError`."""
        chosen, _ = await self._select_upstream(state)
        return chosen

    def refusal_status(self, refusal: ports.Refusal) -> int:
        """Returns the status of the response to a refused caller."""
        return self._dialect.encode_refusal(None, refusal).status

    def left_out(
        self, state: requeststate.RequestState, considered: Sequence[placement.Candidate]
    ) -> list[tuple[upstreams.Upstream, str]]:
        """Returns the upstreams of a service that are no candidates, each with the reason."""
        names = {each.upstream.id for each in considered}
        untried = {each.id: each for each in self._untried_upstreams(state)}
        usable = {
            name: each
            for name, each in untried.items()
            if self._may_send(each) and self._paths.usable(each)
        }
        admitting = {each.id for each in self.pacing.preferred(list(usable.values()))}
        found = []
        for name, each in self._directory.records.items():
            if each.service != state.service or name in names:
                continue
            if each.state is not upstreams.State.READY:
                reason = each.state.value
            elif name in admitting:
                # Others of the service whose limits may have ended are asked first.
                reason = "limit_probe_elsewhere"
            elif name in usable:
                reason = "window"
            elif name in untried:
                reason = self._forbidding_notice(each) or self._path_reason(each)
            else:
                reason = "leaving" if self._notices.leaves(each) else "tried"
            found.append((each, reason))
        return found

    def _path_reason(self, upstream: upstreams.Upstream) -> str:
        return "behind_other_entry" if self._paths.needs_peer(upstream) else "unreachable"
