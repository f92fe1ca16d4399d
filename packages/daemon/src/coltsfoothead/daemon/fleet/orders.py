"""Orders to upstreams, each with the fencing number of the capacity lease."""

from collections.abc import Callable

import msgspec

from coltsfoothead.coordination.lease import clocks
from coltsfoothead.coordination.membership import upstreams
from coltsfoothead.daemon import errors
from coltsfoothead.daemon.control import leases
from coltsfoothead.daemon.http import client as http_client
from coltsfoothead.daemon.http import errors as http_errors
from coltsfoothead.daemon.http import message

__all__ = ["LeaseShortError", "OrderError", "Orders", "StaleFenceError"]

# Time within which an order reaches the upstream; none is given with less of the lease left.
ORDER_SECONDS = 2.0
# A load is answered when the weights are in memory, which takes minutes for large models.
ANSWER_SECONDS = 900.0
ANSWER_BYTES = 64 * 1024


class OrderError(errors.DaemonError):
    """An order was not confirmed; it may be repeated."""


class StaleFenceError(OrderError):
    """The upstream has seen a higher fencing number, so another daemon owns the fleet."""


class LeaseShortError(OrderError):
    """Too little of the lease is left to give an order."""


class Orders:
    """Gives orders while the lease is held.

    Parameters
    ----------
    client : Client
    lease : ManagedLease
    lease_seconds : float
        Longest time to live of the lease.
    clock : callable
    """

    def __init__(
        self,
        client: http_client.Client,
        lease: leases.ManagedLease,
        lease_seconds: float,
        clock: Callable[[], float],
    ) -> None:
        self._client = client
        self._lease = lease
        self._wait_seconds = clocks.unfenced_wait_seconds(lease_seconds, ORDER_SECONDS)
        self._clock = clock

    def may_order(self, fence: int, seconds: float = ORDER_SECONDS) -> bool:
        """Returns whether an order under `fence` may be given that takes up to `seconds`."""
        return self._lease.fence == fence and self._lease.remaining() > seconds

    def admits(self, upstream: upstreams.Upstream, taken_at: float) -> bool:
        """Returns whether the upstream may be ordered by the holder since `taken_at`.

        Notes
        -----
        An upstream that ignores fencing numbers would obey a late order of the previous holder,
        so the first order to it waits until that holder's orders have surely ended.
        """
        return upstream.checks_fencing or self._clock() - taken_at >= self._wait_seconds

    async def load(
        self, upstream: upstreams.Upstream, fence: int, model: str, version: str
    ) -> None:
        """Orders an upstream to load a model version; without a version it chooses."""
        fields = {"model": model} | ({"version": version} if version else {})
        await self._give(upstream, fence, "load", fields, ANSWER_SECONDS)

    async def unload(self, upstream: upstreams.Upstream, fence: int, model: str) -> None:
        """Orders an upstream to unload a model; its running requests finish."""
        await self._give(upstream, fence, "unload", {"model": model}, ORDER_SECONDS)

    async def set_role(self, upstream: upstreams.Upstream, fence: int, role: str) -> None:
        """Orders an upstream to take a role."""
        await self._give(upstream, fence, "role", {"role": role}, ORDER_SECONDS)

    async def _give(
        self,
        upstream: upstreams.Upstream,
        fence: int,
        order: str,
        fields: dict[str, str],
        seconds: float,
    ) -> None:
        # The ID is the same for every repetition under one fence, so an upstream that keeps IDs
        # carries the order out once; loads and unloads are idempotent without it.
        order_id = "/".join((str(fence), upstream.upstream, order, *fields.values()))
        body = {"order": order, "fence": fence, "order_id": order_id, **fields}
        headers = (("content-type", message.JSON_TYPE),)
        request = message.Request("POST", "/orders", headers, msgspec.json.encode(body))

        def ready() -> None:
            if not self.may_order(fence):
                problem = f"{order} to {upstream.upstream}: lease is not held long enough"
                raise LeaseShortError(problem)

        try:
            answer = await self._client.send(
                upstream.address, request, seconds, fresh=True, ready=ready
            )
            text = await answer.read(ORDER_SECONDS, ANSWER_BYTES)
        except http_errors.HttpError as error:
            raise OrderError(f"{order} to {upstream.upstream}: {error}") from error
        if answer.status == 409:
            problem = f"{upstream.upstream} refused fence {fence}: {text.decode(errors='replace')}"
            raise StaleFenceError(problem)
        if answer.status != 200:
            raise OrderError(f"{order} to {upstream.upstream}: status {answer.status}")
