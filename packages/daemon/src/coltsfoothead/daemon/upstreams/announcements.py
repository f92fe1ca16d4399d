"""HTTP interface at which upstreams announce themselves."""

from collections.abc import Callable

import msgspec

from coltsfoothead.coordination.membership import upstreams
from coltsfoothead.daemon.callers import refusals
from coltsfoothead.daemon.http import message, server

__all__ = ["Announcements"]

RENEW_AFTER_MS = 500
ANNOUNCE_PATH = "/announce"
HEALTH_PATH = "/healthz"


class Announcements:
    """Request handler of the listener for upstreams.

    Parameters
    ----------
    renew : callable
        Adds an `Upstream` record to the directory; returns whether it is newer than the known one.
    """

    def __init__(self, renew: Callable[[upstreams.Upstream], bool]) -> None:
        self._renew = renew

    async def handle(self, exchange: server.Exchange) -> None:
        """Answers one request."""
        try:
            response = self._answer(exchange.request)
        except refusals.RefusedError as error:
            response = refusals.response(error.refusal)
        await exchange.respond(response)

    def _answer(self, request: message.Request) -> message.Response:
        match (request.method, request.path):
            case ("GET", path) if path == HEALTH_PATH:
                return message.json_response(200, {"status": "ok"})
            case ("POST", path) if path == ANNOUNCE_PATH:
                return self._announce(request)
            case _:
                raise refusals.refuse(refusals.Code.PATH_NOT_FOUND, "use POST /announce")

    def _announce(self, request: message.Request) -> message.Response:
        try:
            record = msgspec.json.decode(request.body, type=upstreams.Upstream)
        except msgspec.MsgspecError as error:
            raise refusals.refuse(refusals.Code.INVALID_BODY, str(error)) from error
        accepted = self._renew(record)
        answer = {"renew_after_ms": RENEW_AFTER_MS, "accepted": accepted}
        return message.json_response(200, answer)
