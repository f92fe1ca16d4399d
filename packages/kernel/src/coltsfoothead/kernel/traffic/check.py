"""Validation of a routing document before it is proposed to the control group."""

from collections.abc import Iterator

from coltsfoothead.kernel import errors
from coltsfoothead.kernel.traffic import document

__all__ = ["InvalidDocumentError", "check", "problems"]


class InvalidDocumentError(errors.KernelError):
    """The document is invalid; the message names the first fault."""


def check(routing: document.RoutingDocument) -> None:
    """Validates a document.

    Raises
    ------
    InvalidDocumentError
        If the document has a fault.
    """
    for problem in problems(routing):
        raise InvalidDocumentError(problem)


def problems(routing: document.RoutingDocument) -> Iterator[str]:
    """Yields a description of each fault of a document."""
    if routing.version < 1:
        yield f"version {routing.version} is below 1"
    route_names: dict[tuple[str, str], str] = {}
    for route in routing.routes:
        yield from _route_problems(route, routing)
        location = (route.host, route.prefix)
        if location in route_names:
            yield f"routes {route_names[location]!r} and {route.name!r} share host and prefix"
        route_names[location] = route.name
    owners: dict[str, str] = {}
    for organisation in routing.organisations:
        for key in organisation.keys:
            if owners.get(key, organisation.name) != organisation.name:
                yield f"organisations {owners[key]!r} and {organisation.name!r} share a key"
            owners[key] = organisation.name


def _route_problems(route: document.Route, routing: document.RoutingDocument) -> Iterator[str]:
    for target in route.targets:
        if target.service not in routing.services:
            yield f"route {route.name!r} names the unknown service {target.service!r}"
        if target.weight < 0:
            yield f"route {route.name!r} has a negative weight"
    if sum(target.weight for target in route.targets) <= 0:
        yield f"the weights of route {route.name!r} add up to 0"
    if route.timeout_seconds <= 0:
        yield f"route {route.name!r} has no time-out above 0"
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        yield f"the prefix of route {route.name!r} does not begin and end with a slash"
