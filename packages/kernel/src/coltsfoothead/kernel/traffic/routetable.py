"""Lookup of routes by host and longest path prefix, and of organisations by API key."""

from coltsfoothead.kernel.traffic import document

__all__ = ["RouteTable"]


class RouteTable:
    """Index of one routing document.

    Parameters
    ----------
    routing : RoutingDocument
    """

    def __init__(self, routing: document.RoutingDocument) -> None:
        self._routing = routing
        self._routes = {(route.host.lower(), route.prefix): route for route in routing.routes}
        self._organisations = {
            key: organisation for organisation in routing.organisations for key in organisation.keys
        }

    @property
    def routing(self) -> document.RoutingDocument:
        """The indexed document."""
        return self._routing

    def match(self, host: str, path: str) -> document.Route | None:
        """Returns the route with the longest prefix of `path`, or None.

        Parameters
        ----------
        host : str
            Host header of the request; a port is ignored.
        path : str
            Path without the query.
        """
        name = host.partition(":")[0].lower()
        end = len(path)
        while (slash := path.rfind("/", 0, end)) >= 0:
            route = self._routes.get((name, path[: slash + 1]))
            if route is not None:
                return route
            end = slash
        return None

    def organisation(self, key: str) -> document.Organisation | None:
        """Returns the organisation with an API key, or None."""
        return self._organisations.get(key)
