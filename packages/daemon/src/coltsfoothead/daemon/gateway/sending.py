"""Sends a request to one upstream after the other."""

import asyncio
import dataclasses
import random
from collections.abc import Mapping

import h11

from coltsfoothead.daemon.gateway import (
    admission,
    clock,
    directory,
    eventlog,
    failures,
    flight,
    loads,
    ports,
)
from coltsfoothead.daemon.http import client as http_client
from coltsfoothead.daemon.http import errors as http_errors
from coltsfoothead.kernel.traffic import overload, placement, repeats, upstreams

__all__ = ["Attempt", "Sender"]

# Upstreams that may refuse a connection before a request is given up; nothing was sent to them.
CONNECT_TRIES = 4
# A further attempt needs at least this much time to be of use.
LEAST_SECONDS = 0.1
# An upstream cannot answer a request that it gets with less time than this.
LEAST_BUDGET_SECONDS = 0.005


@dataclasses.dataclass(slots=True)
class Attempt:
    """A request at one upstream, from the head of the answer on."""

    upstream_id: str
    answer: http_client.Answer
    reply: ports.Reply
    passage: loads.Passage

    def close(self) -> None:
        """Ends the attempt; an answer that was not read whole is broken off."""
        self.answer.close()
        self.passage.end()


class Sender:
    """Chooses upstreams, sends, and decides about further attempts.

    Parameters
    ----------
    dialect : CallerDialect
    client : Client
    copy : DirectoryCopy
    own_zone : str
    regions : mapping of str to str
        Region of each zone.
    budget : RetryBudget
    returns : Admission
        Makes the refusals that tell a caller when to come back.
    policy : Policy
        Chooses upstreams.
    events : EventLog
    rng : random.Random
    """

    def __init__(
        self,
        dialect: ports.CallerDialect,
        client: http_client.Client,
        copy: directory.DirectoryCopy,
        own_zone: str,
        regions: Mapping[str, str],
        budget: repeats.RetryBudget,
        returns: admission.Admission,
        policy: placement.Policy,
        events: eventlog.EventLog,
        rng: random.Random,
    ) -> None:
        self._dialect = dialect
        self._client = client
        self._copy = copy
        self._own_zone = own_zone
        self._regions = regions
        self._budget = budget
        self._returns = returns
        self._events = events
        self._rng = rng
        self._placement = policy
        self._entries = 1
        self.loads = loads.Loads()
        copy.add_listener(self._upstream_changed)

    def set_entries(self, entries: int) -> None:
        """Sets how many entries share the budget of repeats."""
        self._entries = max(1, entries)

    async def attempt(self, work: flight.Flight, resume_after: str | None = None) -> Attempt:
        """Sends a request to the best upstream and returns the head of its answer.

        Raises
        ------
        RefusedError
            If there is no upstream.
        AttemptFailedError
            If the upstream cannot be reached, breaks off, or refuses the request.
        """
        chosen, prompt = await self._find(work)
        upstream = chosen.upstream
        work.upstream_id = upstream.id
        work.load = chosen.load
        work.load_age_seconds = self.loads.age(clock.steady())
        work.excluded.add(upstream.id)
        unread = 0
        if prompt is not None:
            unread = prompt.own_tokens + prompt.missing_tokens(upstream.id)
        passage = self.loads.begin(upstream.id, unread, work.prompt is not None)
        try:
            answer = await self._send(work, upstream, resume_after, self._holder(prompt, upstream))
        except BaseException:
            passage.end()
            raise
        reply = self._dialect.reply(answer.status, answer.headers)
        if not reply.not_run:
            return Attempt(upstream.id, answer, reply, passage)
        answer.close()
        passage.end()
        if reply.misdirected:
            self.loads.failed(upstream.id, clock.steady(), weight=4.0)
        raise failures.AttemptFailedError(f"refused with {reply.status}", not_run=True)

    def go_on(self, work: flight.Flight, failure: failures.AttemptFailedError) -> None:
        """Returns if a further attempt may be made after a failed one.

        Raises
        ------
        RefusedError
            If not.
        """
        self.note_failure(work, failure.cause, 0.3 if failure.not_run else 1.0)
        if not failure.sent:
            if len(work.excluded) < CONNECT_TRIES:
                return
        elif self.may_repeat(work, failure.not_run):
            return
        if work.may_have_run:
            refusal = ports.Refusal(ports.RefusalReason.UPSTREAM_FAILED)
            raise failures.RefusedError(refusal, failure.cause)
        raise self._returns.refused(ports.RefusalReason.OVERLOADED, failure.cause)

    def may_repeat(self, work: flight.Flight, not_run: bool) -> bool:
        """Returns whether the request may go to a further upstream, and charges the budget."""
        if not (not_run or work.route.idempotent):
            return False
        if work.sent >= work.route.max_upstreams:
            return False
        if work.deadline - asyncio.get_running_loop().time() < LEAST_SECONDS:
            return False
        return self._budget.try_spend(work.service, self._entries, clock.steady())

    def note_failure(self, work: flight.Flight, cause: str, weight: float) -> None:
        """Notes that an upstream failed a request."""
        assert work.upstream_id is not None
        self.loads.failed(work.upstream_id, clock.steady(), weight)
        self._events.write(
            "attempt_failed",
            id=work.call.id,
            upstream=work.upstream_id,
            sent=work.sent,
            cause=cause,
        )

    async def _send(
        self,
        work: flight.Flight,
        upstream: upstreams.Upstream,
        resume_after: str | None,
        copy_from: str | None,
    ) -> http_client.Answer:
        left = work.deadline - asyncio.get_running_loop().time()
        forwarded = ports.Forwarded(
            work.organisation_name,
            upstream.id,
            max(LEAST_BUDGET_SECONDS, left),
            work.urgency if work.prompt is not None else None,
            resume_after,
            copy_from,
        )
        request = self._dialect.forward(work.request, work.call, forwarded)

        def leaving() -> None:
            work.sent += 1
            work.may_have_run = True
            if work.prompt is not None and work.prompt.shared_key:
                self.loads.read(work.prompt.shared_key, upstream.id, clock.steady())

        before = work.may_have_run
        try:
            answer = await self._client.send(
                upstream.address,
                request,
                None,
                ready=leaving,
                belongs=lambda head: self._belongs(head, work),
            )
        except http_errors.ConnectError as error:
            raise failures.AttemptFailedError(str(error), sent=False, not_run=True) from error
        except http_errors.UpstreamBrokeError as error:
            raise failures.AttemptFailedError(str(error)) from error
        if self._dialect.reply(answer.status, answer.headers).not_run:
            work.may_have_run = before
        return answer

    def _belongs(self, head: h11.Response, work: flight.Flight) -> bool:
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1")) for name, value in head.headers
        )
        named = self._dialect.reply(head.status_code, headers).request_id
        return named is None or named == work.call.id

    def _known_prompt(self, work: flight.Flight) -> placement.Prompt | None:
        """Returns the prompt with the upstreams that hold its shared part."""
        prompt = work.prompt
        if prompt is None or not prompt.shared_key:
            return prompt
        held = self.loads.holders(prompt.shared_key, clock.steady())
        ready = {each.id for each in self._copy.ready_upstreams(work.service)}
        holders = {name: age for name, age in held.items() if name in ready}
        return dataclasses.replace(prompt, holders=holders, can_copy=work.copies)

    def _holder(self, prompt: placement.Prompt | None, chosen: upstreams.Upstream) -> str | None:
        """Returns the address from which the chosen upstream should copy the shared part."""
        if prompt is None or not prompt.can_copy or chosen.id in prompt.holders:
            return None
        records = [self._copy.records[name] for name in prompt.holders]
        if not records:
            return None
        nearest = min(records, key=lambda each: (each.zone != chosen.zone, prompt.holders[each.id]))
        return nearest.address

    def _choose(
        self, work: flight.Flight, prompt: placement.Prompt | None
    ) -> placement.Candidate | None:
        now = clock.steady()
        known = [
            each
            for each in self._copy.ready_upstreams(work.service)
            if each.id not in work.excluded
        ]
        candidates = [
            placement.Candidate(
                each,
                self.loads.load(each.id),
                self._distance(each.zone),
                self.loads.failures(each.id, now),
            )
            for each in known
        ]
        return self._placement.choose(candidates, prompt, self._rng)

    async def _find(
        self, work: flight.Flight
    ) -> tuple[placement.Candidate, placement.Prompt | None]:
        """Returns where to send a request, and its prompt as it is known now.

        Raises
        ------
        RefusedError
        """
        while True:
            prompt = self._known_prompt(work)
            chosen = self._choose(work, prompt)
            refused = self._refusal(work, chosen)
            if chosen is not None and refused is None:
                return chosen, prompt
            if not await self._copy.wait_for_change():
                assert refused is not None
                raise refused

    def _refusal(
        self, work: flight.Flight, chosen: placement.Candidate | None
    ) -> failures.RefusedError | None:
        """Returns why a request cannot be sent, or None if it can."""
        if chosen is None:
            cause = f"no upstream of {work.service} of {len(self._copy.records)} known"
            return self._returns.refused(ports.RefusalReason.NO_UPSTREAM, cause)
        if work.sent:
            return None
        verdict = overload.decide_admission(work.route, chosen, work.prompt)
        if verdict.admitted:
            return None
        cause = (
            f"start in {verdict.expected_start_seconds:.2f} s of {verdict.limit_seconds:.2f}, "
            f"{verdict.in_flight} under way of {verdict.in_flight_limit:.0f}"
        )
        return self._returns.refused(ports.RefusalReason.OVERLOADED, cause)

    def _distance(self, zone: str) -> int:
        if zone == self._own_zone:
            return 0
        same = self._regions.get(zone) == self._regions.get(self._own_zone)
        return 1 if same else 2

    def _upstream_changed(self, upstream: upstreams.Upstream) -> None:
        self._events.write(
            "upstream",
            id=upstream.id,
            service=upstream.service,
            state=upstream.state.value,
            zone=upstream.zone,
            born=upstream.born,
            sequence=upstream.sequence,
        )
        if upstream.state is upstreams.State.GONE:
            self.loads.forget(upstream.id)
