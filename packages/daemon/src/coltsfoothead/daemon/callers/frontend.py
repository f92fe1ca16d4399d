"""Routes the requests of callers to their handlers and turns errors into responses."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

from absl import logging

from coltsfoothead.daemon import metrics as metrics_module
from coltsfoothead.daemon.callers import refusals
from coltsfoothead.daemon.http import errors, message, server

__all__ = ["Frontend", "Route", "encode_error"]

RouteHandler = Callable[[server.Exchange], Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Handler of the paths with a prefix.

    Attributes
    ----------
    prefix : str
    methods : frozenset of str
        Allowed methods; empty if every method is allowed.
    handler : callable
    exact : bool
        Whether the path must equal the prefix.
    """

    prefix: str
    methods: frozenset[str]
    handler: RouteHandler
    exact: bool = False

    def matches(self, path: str) -> bool:
        """Returns whether the route applies to a path."""
        return path == self.prefix if self.exact else path.startswith(self.prefix)


class Frontend:
    """Request handler of the listener for callers.

    Parameters
    ----------
    routes : sequence of Route
        The first route that matches path and method handles a request.
    metrics : Metrics
    """

    def __init__(self, routes: list[Route], metrics: metrics_module.Metrics) -> None:
        self._routes = routes
        self._metrics = metrics

    async def handle(self, exchange: server.Exchange) -> None:
        """Handles one request; a failure of the route's handler is answered with a typed error."""
        try:
            route = self._find_route(exchange.request)
            await route.handler(exchange)
        except refusals.RefusedError as error:
            await self._refuse(exchange, error.refusal)
        except errors.CallerGoneError:
            self._metrics.count("callers_gone")
            raise
        except asyncio.CancelledError:
            raise
        except Exception:
            logging.exception(
                "request %s %s failed", exchange.request.method, exchange.request.path
            )
            self._metrics.count("internal_errors")
            text = "an internal error occurred"
            unknown = refusals.Execution.UNKNOWN
            await self._refuse(
                exchange, refusals.refuse(refusals.Code.INTERNAL, text, unknown).refusal
            )

    def _find_route(self, request: message.Request) -> Route:
        allowed: set[str] = set()
        for route in self._routes:
            if not route.matches(request.path):
                continue
            if not route.methods or request.method in route.methods:
                return route
            allowed |= route.methods
        if allowed:
            text = f"{request.path} allows {', '.join(sorted(allowed))}"
            raise refusals.refuse(refusals.Code.METHOD_NOT_ALLOWED, text)
        raise refusals.refuse(refusals.Code.PATH_NOT_FOUND, f"{request.path} does not exist")

    async def _refuse(self, exchange: server.Exchange, refusal: refusals.Refusal) -> None:
        self._metrics.count(f"refused_{refusal.code.value}")
        if exchange.started:
            exchange.abort()
            return
        await exchange.respond(refusals.response(refusal))


_CODES_BY_STATUS = {
    408: refusals.Code.REQUEST_TIMEOUT,
    413: refusals.Code.BODY_TOO_LARGE,
}


def encode_error(status: int, error: errors.HttpError) -> message.Response:
    """Returns the response to a request that could not be received or parsed."""
    code = _CODES_BY_STATUS.get(status, refusals.Code.MALFORMED_REQUEST)
    return refusals.response(refusals.refuse(code, str(error)).refusal)
