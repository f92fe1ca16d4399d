"""Limits per organisation: concurrency, retry budgets, service levels."""

import collections
from collections.abc import Callable

from coltsfoothead.daemon.callers import chat, refusals
from coltsfoothead.kernel import environment, operations

__all__ = ["Admission"]


class Admission:
    """Admits requests up to each organisation's limit.

    Parameters
    ----------
    clock : callable
        Monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._running: collections.Counter[str] = collections.Counter()

    async def admit(
        self, organisation: environment.Organisation, body: chat.ChatBody, deadline: float
    ) -> Callable[[], None]:
        """Returns the function that ends the admission.

        Raises
        ------
        RefusedError
            If the organisation has too many requests running.
        """
        name = organisation.name
        if self._running[name] >= organisation.max_concurrent:
            text = f"organisation {name!r} has {organisation.max_concurrent} requests running"
            raise refusals.refuse(refusals.Code.RATE_LIMITED, text)
        self._running[name] += 1
        return lambda: self._finish(name)

    def may_retry(self, organisation: str) -> bool:
        """Returns whether the organisation's budget allows a retry, and spends it."""
        return True

    def service_ended(self, organisation: str, seconds: float, answered: bool) -> None:
        """Takes the outcome of a service call."""

    def service_levels(self, document: environment.Environment | None) -> operations.SloAnswer:
        """Returns the service level of each organisation."""
        return operations.SloAnswer()

    def _finish(self, name: str) -> None:
        self._running[name] -= 1
        if not self._running[name]:
            del self._running[name]
