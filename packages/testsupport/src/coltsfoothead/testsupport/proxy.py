"""Fault-injecting TCP proxy: many routes in one process, faults per route and direction.

`up` is the direction from the client to the target and `down` is the reverse. TCP delivers bytes
in order and exactly once, so there is no duplication or reordering. The kernel accepts connections
even while a route is cut; such a connection carries no byte until the cut is healed.
"""

import dataclasses
import fnmatch
from typing import Any

from coltsfoothead.testsupport import fake, proxyroute, ratelimit, web

__all__ = ["Proxy", "main"]


@dataclasses.dataclass(frozen=True, slots=True)
class _Pipe:
    """Link that several routes share; each direction has its own rate limit."""

    forward: ratelimit.RateLimit
    backward: ratelimit.RateLimit


class Proxy(fake.Fake):
    """The proxy; each verb of `POST /control` calls the method of the same name.

    Route names are matched as shell patterns, so `"home-*"` selects all routes of a region.
    """

    def __init__(self) -> None:
        super().__init__()
        self.routes: dict[str, proxyroute.Route] = {}
        self._pipes: dict[str, _Pipe] = {}
        self.router.route("GET", "/routes")(self._list)
        verbs = (self.add_pipe, self.add_route, self.remove_route, self.set, self.cut, self.heal)
        for verb in (*verbs, self.freeze, self.reset, self.refuse):
            self.controls[verb.__name__] = lambda value, verb=verb: verb(**value)

    async def close(self) -> None:
        await super().close()
        for route in self.routes.values():
            await route.close()

    def add_pipe(self, name: str, bytes_per_second: float | None) -> None:
        """Adds a named link or changes its rate; each direction has the full rate."""
        if name not in self._pipes:
            self._pipes[name] = _Pipe(ratelimit.RateLimit(None), ratelimit.RateLimit(None))
        self._pipes[name].forward.bytes_per_second = bytes_per_second
        self._pipes[name].backward.bytes_per_second = bytes_per_second

    async def add_route(
        self,
        name: str,
        target: str,
        listen: str = "127.0.0.1:0",
        pipe: str | None = None,
        backward: bool = False,
    ) -> str:
        """Starts a listener and returns its address.

        Parameters
        ----------
        name, target, listen : str
            Name of the route, address that it forwards to, and address that it listens on.
        pipe : str, optional
            Name of the link that the route crosses.
        backward : bool
            True if the route's client is at the far end of the link, so that its `up` bytes
            share the link's backward rate.
        """
        limits = {"up": None, "down": None}
        if pipe is not None:
            directions = [self._pipes[pipe].forward, self._pipes[pipe].backward]
            limits = dict(
                zip(
                    proxyroute.DIRECTIONS,
                    reversed(directions) if backward else directions,
                    strict=True,
                )
            )
        self.routes[name] = proxyroute.Route(target, limits)
        return await self.routes[name].start(listen)

    async def remove_route(self, name: str) -> None:
        """Closes a listener and its connections."""
        await self.routes.pop(name).close()

    def set(
        self,
        routes: str,
        direction: str = "both",
        latency_ms: float | None = None,
        bytes_per_second: float | None = None,
    ) -> None:
        """Sets the latency or the bandwidth of each route; a bandwidth of 0 is unlimited."""
        for faults in self._directions(routes, direction):
            if latency_ms is not None:
                faults.latency_seconds = latency_ms / 1000
            if bytes_per_second is not None:
                faults.limit.bytes_per_second = bytes_per_second

    def cut(self, routes: str, direction: str = "both") -> None:
        """Holds back all bytes without closing connections."""
        for faults in self._directions(routes, direction):
            faults.open.clear()

    def heal(self, routes: str, direction: str = "both") -> None:
        """Ends a cut and delivers the bytes that were held back, as TCP would retransmit them."""
        for faults in self._directions(routes, direction):
            faults.open.set()

    def freeze(self, routes: str) -> int:
        """Silences the open connections for good and returns their number; new ones work."""
        connections = self._connections(routes)
        for connection in connections:
            connection.frozen.set()
        return len(connections)

    def reset(self, routes: str) -> int:
        """Resets the open connections and returns their number."""
        connections = self._connections(routes)
        for connection in connections:
            connection.reset()
        return len(connections)

    def refuse(self, routes: str, refuses: bool = True) -> None:
        """Makes routes reset new connections at once, or accept them again."""
        for route in self._matching(routes):
            route.refuses = refuses

    def _matching(self, pattern: str) -> list[proxyroute.Route]:
        return [route for name, route in self.routes.items() if fnmatch.fnmatch(name, pattern)]

    def _directions(self, pattern: str, direction: str) -> list[proxyroute.Direction]:
        names = proxyroute.DIRECTIONS if direction == "both" else (direction,)
        return [route.directions[name] for route in self._matching(pattern) for name in names]

    def _connections(self, pattern: str) -> list[proxyroute.Connection]:
        return [c for route in self._matching(pattern) for c in route.connections.values()]

    async def _list(self, request: web.Request) -> web.Response:
        return web.json_response({name: _view(route) for name, route in self.routes.items()})


def _view(route: proxyroute.Route) -> dict[str, Any]:
    directions = route.directions.items()
    return {
        "address": route.address,
        "target": "{}:{}".format(*route.target),
        "connections": len(route.connections),
        "bytes": {name: faults.limit.granted_bytes for name, faults in directions},
        "cut": [name for name, faults in directions if not faults.open.is_set()],
    }


def main() -> None:
    """Runs the proxy from the command line; routes are added through `POST /control`."""
    options = fake.parser(__doc__).parse_args()
    fake.run(Proxy, options.listen)


if __name__ == "__main__":
    main()
