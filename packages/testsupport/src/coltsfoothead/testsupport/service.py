"""Fake plain service: echoes any request and counts executions by idempotency key."""

import asyncio
import collections
import time
from typing import Any

import msgspec

from coltsfoothead.testsupport import announce, errors, fake, web

__all__ = ["Service", "main"]

_ECHOED_HEADERS = (
    "content-type",
    "idempotency-key",
    "x-attempt",
    "x-organisation",
    "x-request-id",
)


class Service(fake.Fake):
    """One fake plain service.

    A request counts as executed once its body has been read; delays, lost answers and disconnects
    come after that and never undo the execution.
    """

    def __init__(
        self,
        service: str = "parts",
        placement: announce.Placement | None = None,
        urls: list[str] | None = None,
        slots: int = 64,
        load_lag_seconds: float = 0.0,
    ):
        super().__init__()
        self.executions: list[dict[str, Any]] = []
        self._service = service
        self._slots = slots
        self._running = 0
        self._delay_seconds = 0.0
        self._large_answer_bytes = 0
        self._statuses: collections.deque[int] = collections.deque()
        self._lost_answers = 0
        self._closes_before_reading = 0
        load = announce.LaggingLoad(self._load, load_lag_seconds)
        placement = placement or announce.Placement()
        self.announcer = announce.Announcer(urls or [], placement, lambda: self._describe(load))
        self.background = [load.run, self.announcer.run]
        self.router.route("GET", "/executions")(self._list_executions)
        self.router.route("*", "/{path*}")(self._execute)
        self.controls |= {
            "delay_ms": lambda value: setattr(self, "_delay_seconds", value / 1000),
            "large_answer_bytes": lambda value: setattr(self, "_large_answer_bytes", value),
            "statuses": self._statuses.extend,
            "lose_answers": lambda value: setattr(self, "_lost_answers", value),
            "close_before_reading": lambda value: setattr(self, "_closes_before_reading", value),
            "announce": lambda enabled: setattr(self.announcer, "enabled", bool(enabled)),
            "leave": self._leave,
        }

    def drops_before_body(self, request: web.Request) -> bool:
        if request.path in ("/control", "/executions") or not self._closes_before_reading:
            return False
        self._closes_before_reading -= 1
        return True

    def _load(self) -> dict[str, Any]:
        waiting = max(0, self._running - self._slots)
        return {"running": self._running - waiting, "waiting": waiting}

    def _describe(self, load: announce.LaggingLoad) -> dict[str, Any]:
        return {
            "kind": "service",
            "service": self._service,
            "address": self.address,
            "models": [],
            "role": "",
            "checks_fencing": False,
            "slots": self._slots,
            "load": load.report(),
        }

    def _leave(self, arguments: dict[str, Any]) -> None:
        seconds = arguments["deadline_ms"] / 1000
        self.announcer.leave(seconds)
        asyncio.get_running_loop().call_later(seconds, self.finished.set)

    async def _list_executions(self, request: web.Request) -> web.Response:
        counts = collections.Counter(entry["key"] for entry in self.executions if entry["key"])
        return web.json_response(
            {
                "executions": counts,
                "total": len(self.executions),
                "execution_log": self.executions,
                "leaving_since": self.announcer.leaving_since,
            }
        )

    async def _execute(self, request: web.Request) -> web.Response:
        self.executions.append(
            {
                "key": _idempotency_key(request),
                "request_id": request.headers.get("x-request-id", ""),
                "method": request.method,
                "path": request.path,
                "at": time.monotonic(),
                "leaving": self.announcer.leaving,
            }
        )
        execution_number = len(self.executions)
        self._running += 1
        try:
            await asyncio.sleep(self._delay_seconds)
        finally:
            self._running -= 1
        if self._lost_answers:
            self._lost_answers -= 1
            raise errors.DropConnectionError("answer is lost after the execution")
        value = {
            "method": request.method,
            "path": request.path,
            "query": request.query,
            "headers": {n: request.headers[n] for n in _ECHOED_HEADERS if n in request.headers},
            "body": request.body.decode(errors="replace"),
            "execution": execution_number,
            "padding": "x" * self._large_answer_bytes,
        }
        return web.json_response(value, self._statuses.popleft() if self._statuses else 200)


def _idempotency_key(request: web.Request) -> str:
    if "idempotency-key" in request.headers:
        return request.headers["idempotency-key"]
    try:
        body = request.json()
    except msgspec.DecodeError:
        return ""
    return str(body.get("key", "")) if isinstance(body, dict) else ""


def main() -> None:
    """Runs one service from the command line."""
    parser = fake.parser(__doc__)
    announce.add_arguments(parser)
    parser.add_argument("--service", default="parts")
    parser.add_argument("--slots", type=int, default=64)
    options = parser.parse_args()
    fake.run(
        lambda: Service(
            options.service,
            announce.placement_from_options(options),
            options.announce,
            options.slots,
            options.load_lag_seconds,
        ),
        options.listen,
    )


if __name__ == "__main__":
    main()
