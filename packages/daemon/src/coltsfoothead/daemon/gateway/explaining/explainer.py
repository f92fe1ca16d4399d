"""Explains where a request would go now, and why, without sending it."""

import asyncio
import dataclasses
import math
import random
from collections.abc import Sequence

import msgspec

from coltsfoothead.daemon import errors
from coltsfoothead.daemon.gateway import admission, failures, ports, requeststate, sending
from coltsfoothead.daemon.gateway.explaining import rehearsal
from coltsfoothead.daemon.http import message
from coltsfoothead.kernel import explanation
from coltsfoothead.kernel.traffic import overload, placement, quota

__all__ = ["Explainer", "Question", "RejectedError"]

# ID of the request that is not sent.
_REQUEST_ID = "explain"


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """Properties of a request.

    Attributes
    ----------
    host, path : str
    api_key : str or None
        API key of an organisation.
    prompt_tokens, output_tokens : int or None
        Length of the prompt and limit of the generated tokens; None for plain services.
    parts : tuple of PromptPart
        Parts of the prompt in order; the last one belongs to this request only.
    """

    host: str
    path: str
    api_key: str | None = dataclasses.field(default=None, repr=False)
    prompt_tokens: int | None = None
    output_tokens: int | None = None
    parts: tuple[ports.PromptPart, ...] = ()


class RejectedError(errors.DaemonError):
    """A question that cannot be explained.

    Parameters
    ----------
    text : str
    reason : RefusalReason
        Why a caller would be refused as well.
    """

    def __init__(self, text: str, reason: ports.RefusalReason) -> None:
        super().__init__(text)
        self.reason = reason


class Explainer:
    """Explains the decisions of one entry.

    Parameters
    ----------
    request_admission : Admission
    sender : Sender
    rng : random.Random
        Generator of the explanations only.
    """

    def __init__(
        self, request_admission: admission.Admission, sender: sending.Sender, rng: random.Random
    ) -> None:
        self._admission = request_admission
        self._sender = sender
        self._rng = rng

    async def explain(self, question: Question) -> explanation.ExplanationAnswer:
        """Returns where a request would go now.

        Raises
        ------
        RejectedError
            If no route matches, or the key is missing or not known.
        """
        rehearsed = rehearsal.RehearsedAdmission(self._admission, self._rng)
        sender = rehearsal.RehearsedSender(self._sender, rehearsed, self._rng)
        routed: list[requeststate.RequestState] = []
        chosen = refused = None
        try:
            await rehearsed.admit(*_request(question), routed.append)
            state = routed[0]
            chosen = await sender.select(state)
            rehearsed.ensure_may_start(state)
        except failures.RefusedError as error:
            _ensure_explicable(question, error.refusal.reason)
            refused = error
            chosen = None
        return _answer(rehearsed, sender, routed[0] if routed else None, chosen, refused)


def _request(question: Question) -> tuple[message.Request, ports.CallerRequest, float]:
    """Returns the request that a caller would send, and the time of its arrival."""
    request = message.Request("GET", question.path, (("host", question.host),), b"")
    caller_request = ports.CallerRequest(
        _REQUEST_ID,
        question.api_key,
        None,
        question.prompt_tokens,
        question.output_tokens,
        question.parts,
    )
    return request, caller_request, asyncio.get_running_loop().time()


def _ensure_explicable(question: Question, reason: ports.RefusalReason) -> None:
    match reason:
        case ports.RefusalReason.NO_ROUTE:
            text = f"no route has the host {question.host!r} and a prefix of {question.path!r}"
        case ports.RefusalReason.NO_KEY if question.api_key is None:
            text = "the route needs an API key, and none was given"
        case ports.RefusalReason.NO_KEY:
            text = "the document in force does not know this API key"
        case _:
            return
    raise RejectedError(text, reason)


def _answer(
    rehearsed: rehearsal.RehearsedAdmission,
    sender: rehearsal.RehearsedSender,
    state: requeststate.RequestState | None,
    chosen: placement.Candidate | None,
    refused: failures.RefusedError | None,
) -> explanation.ExplanationAnswer:
    refusal = None
    if refused is not None:
        refusal = explanation.RefusalEntry(
            reason=refused.refusal.reason.value,
            status=sender.refusal_status(refused.refusal),
            retry_after_seconds=refused.refusal.retry_after_seconds,
            cause=refused.cause,
        )
    if state is None:
        return explanation.ExplanationAnswer(refusal=refusal)
    last = next((each for each in reversed(sender.choices) if each.candidates), None)
    best = last.chosen if last is not None else None
    considered = last.candidates if last is not None else ()
    verdict = None
    if best is not None:
        verdict = overload.decide_admission(state.route, best, state.prompt)
    return explanation.ExplanationAnswer(
        route=_route_entry(state),
        organisation=state.organisation_name,
        quota=_quota_entry(rehearsed, state),
        share=_share_entry(state),
        candidates=_candidate_entries(last) if last is not None else (),
        left_out=_left_out_entries(sender, state, considered) if sender.choices else (),
        best=best.upstream.id if best is not None else None,
        verdict=_verdict_entry(verdict) if verdict is not None else None,
        chosen=chosen.upstream.id if chosen is not None else None,
        refusal=refusal,
    )


def _route_entry(state: requeststate.RequestState) -> explanation.RouteEntry:
    route = state.route
    return explanation.RouteEntry(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        kind=route.kind.value,
        priority=route.priority,
        goal_seconds=route.goal_seconds,
        targets={each.service: each.weight for each in route.targets},
        service=state.service,
        document=state.document_version,
    )


def _quota_entry(
    rehearsed: rehearsal.RehearsedAdmission, state: requeststate.RequestState
) -> explanation.QuotaEntry | None:
    organisation = state.organisation
    if organisation is None or organisation.quota is None:
        return None
    amount = quota.cost(organisation.quota, state.caller_request.total_tokens)
    balance = rehearsed.balance(organisation) or 0.0
    if rehearsed.draws:
        decision = "draw"
    elif state.charged_amount:
        # The copy has been charged; the entry's own allowance has not.
        balance += state.charged_amount
        decision = "covered"
    else:
        decision = "refused"
    return explanation.QuotaEntry(cost=amount, balance=balance, decision=decision)


def _share_entry(state: requeststate.RequestState) -> explanation.ShareEntry | None:
    share, work = state.share, state.share_work
    if share is None or work is None:
        return None
    return explanation.ShareEntry(
        admitted=share.admitted,
        short=share.short,
        work=work.total,
        rate=_finite(share.rate),
        level=share.level,
        threshold=share.threshold,
    )


def _candidate_entries(choice: rehearsal.Choice) -> tuple[explanation.CandidateEntry, ...]:
    holders = choice.prompt.holders if choice.prompt is not None else {}
    all_terms = choice.terms or [None] * len(choice.candidates)
    entries = [
        explanation.CandidateEntry(
            upstream=each.upstream.id,
            zone=each.upstream.zone,
            relayed=each.relayed,
            running=each.load.running,
            waiting=each.load.waiting,
            waiting_tokens=each.load.waiting_tokens,
            slots=each.upstream.slots,
            holds_prefix=each.upstream.id in holders,
            prefill_tokens_per_second=each.speed.prefill_tokens_per_second,
            terms=terms and msgspec.structs.asdict(terms) | {"total": terms.total},
        )
        for each, terms in zip(choice.candidates, all_terms, strict=True)
    ]
    return tuple(sorted(entries, key=lambda each: each.terms["total"] if each.terms else 0.0))


def _left_out_entries(
    sender: rehearsal.RehearsedSender,
    state: requeststate.RequestState,
    considered: Sequence[placement.Candidate],
) -> tuple[explanation.LeftOutEntry, ...]:
    return tuple(
        explanation.LeftOutEntry(upstream=each.id, zone=each.zone, reason=reason)
        for each, reason in sender.left_out(state, considered)
    )


def _verdict_entry(verdict: overload.AdmissionDecision) -> explanation.VerdictEntry:
    limited = math.isfinite(verdict.in_flight_limit)
    return explanation.VerdictEntry(
        admitted=verdict.admitted,
        expected_start_seconds=verdict.expected_start_seconds,
        limit_seconds=verdict.limit_seconds if limited else None,
        in_flight=verdict.in_flight,
        in_flight_limit=_finite(verdict.in_flight_limit),
    )


def _finite(value: float) -> float | None:
    return value if math.isfinite(value) else None
