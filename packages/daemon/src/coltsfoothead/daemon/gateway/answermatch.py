"""Decides whether a response belongs to a request, by the request ID that it repeats."""

from collections.abc import Callable

import h11

from coltsfoothead.daemon.gateway import ports
from coltsfoothead.daemon.http import errors as http_errors

__all__ = ["matcher"]


def matcher(dialect: ports.CallerDialect, request_id: str) -> Callable[[h11.Response, bool], bool]:
    """Returns a function that tells whether a response head answers a request.

    Its arguments are the head and whether the connection was used before. It raises
    `UpstreamBrokeError` if the response has no ID and the connection was used before, so that the
    response may belong to an earlier request.
    """

    def matches(head: h11.Response, reused: bool) -> bool:
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1")) for name, value in head.headers
        )
        answered_id = dialect.decode_response_head(head.status_code, headers).request_id
        if answered_id is None and reused:
            raise http_errors.UpstreamBrokeError("answer without a request ID on a used connection")
        return answered_id is None or answered_id == request_id

    return matches
