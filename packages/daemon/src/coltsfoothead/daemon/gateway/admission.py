"""Takes a request in: match its route, find its organisation, charge its quota."""

import random
from collections.abc import Callable

from coltsfoothead.daemon.gateway import allowances, documentcopy, failures, flight, ports
from coltsfoothead.daemon.http import message
from coltsfoothead.kernel.traffic import document, placement, quota, routetable

__all__ = ["Admission", "RETURN_SECONDS"]

# The answer that a request has timed out leaves this much sooner, so that it arrives in time.
ANSWER_MARGIN_SECONDS = 0.02
# Ranges of the time after which a refused caller should return, in seconds; spread, so that callers
# that were refused together do not return together. Callers return once or a few times only, so the
# time is that in which the cause probably ends.
RETURN_SECONDS = {
    # Another entry takes the caller.
    ports.RefusalReason.STOPPING: (0.05, 0.3),
    # An election and one exchange with the leader.
    ports.RefusalReason.NOT_READY: (1.0, 2.0),
    # One interval of the announcements.
    ports.RefusalReason.NO_UPSTREAM: (0.5, 1.5),
    # Prompts that wait are read within about two seconds.
    ports.RefusalReason.OVERLOADED: (0.5, 2.5),
    # A bucket at zero fills with the rate.
    ports.RefusalReason.OVER_QUOTA: (0.5, 2.5),
}


class Admission:
    """Admits requests at one entry.

    Parameters
    ----------
    documents : DocumentCopy
    limits : Allowances
    rng : random.Random
    """

    def __init__(
        self,
        documents: documentcopy.DocumentCopy,
        limits: allowances.Allowances,
        rng: random.Random,
    ) -> None:
        self._documents = documents
        self._allowances = limits
        self._rng = rng
        self._stopped = False

    def stop(self) -> None:
        """Refuses new requests from now on."""
        self._stopped = True

    async def admit(
        self,
        request: message.Request,
        call: ports.Call,
        started: float,
        asked: Callable[[flight.Flight], None],
    ) -> flight.Flight:
        """Returns an admitted request.

        Parameters
        ----------
        request : Request
        call : Call
        started : float
            Time of the event loop at which the request had arrived.
        asked : callable
            Told of every request that a route takes, also of those over a quota.

        Raises
        ------
        RefusedError
        """
        if self._stopped:
            raise self.refused(ports.RefusalReason.STOPPING)
        table = await self._documents.table_soon()
        if table is None:
            raise self.refused(ports.RefusalReason.NOT_READY)
        route = table.match(request.header("host") or "", request.path)
        if route is None:
            raise failures.RefusedError(ports.Refusal(ports.RefusalReason.NO_ROUTE))
        organisation = self._authenticate(table, route, call)
        seconds = route.timeout_seconds
        if call.budget_seconds is not None:
            seconds = min(seconds, call.budget_seconds)
        service = self._pick_service(route)
        engine = table.routing.services[service].engine
        work = flight.Flight(
            request,
            call,
            route,
            service,
            organisation,
            table.routing.version,
            started,
            started + seconds - ANSWER_MARGIN_SECONDS,
            _prompt(call),
            engine is not None and engine.can_copy_cache,
        )
        asked(work)
        await self._charge(work)
        return work

    def refused(self, reason: ports.RefusalReason, cause: str = "") -> failures.RefusedError:
        """Returns the error for a request that has not run and may come back."""
        wait = self._rng.uniform(*RETURN_SECONDS[reason])
        return failures.RefusedError(ports.Refusal(reason, wait), cause)

    def give_back(self, work: flight.Flight) -> None:
        """Returns the charge of a request that did not run."""
        if work.organisation is not None and work.charged:
            self._allowances.give_back(work.organisation, work.charged)
            work.charged = 0.0

    @staticmethod
    def _authenticate(
        table: routetable.RouteTable, route: document.Route, call: ports.Call
    ) -> document.Organisation | None:
        organisation = table.organisation(call.key) if call.key is not None else None
        if organisation is None and not route.public and table.routing.organisations:
            raise failures.RefusedError(ports.Refusal(ports.RefusalReason.NO_KEY))
        return organisation

    def _pick_service(self, route: document.Route) -> str:
        if len(route.targets) == 1:
            return route.targets[0].service
        weights = [target.weight for target in route.targets]
        return self._rng.choices(route.targets, weights)[0].service

    async def _charge(self, work: flight.Flight) -> None:
        organisation = work.organisation
        if organisation is None or organisation.quota is None:
            return
        amount = quota.cost(organisation.quota, work.call.tokens)
        if not await self._allowances.admit(organisation, amount):
            raise self.refused(ports.RefusalReason.OVER_QUOTA)
        work.charged = amount


def _prompt(call: ports.Call) -> placement.Prompt | None:
    """Returns the sizes of a request's prompt; None for requests of plain services."""
    if call.prompt_tokens is None:
        return None
    shared = call.parts[:-1]
    shared_tokens = sum(part.tokens for part in shared)
    key = shared[-1].id if shared else ""
    return placement.Prompt(key, shared_tokens, max(0, call.prompt_tokens - shared_tokens))
