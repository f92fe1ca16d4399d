"""Fake cloud API: VMs by class and zone, reclaim notices, refusals and the bill.

It starts no processes. A hook is called on each change of a VM, so that a test can start or kill
the processes that run on it.
"""

import asyncio
import dataclasses
import json
import pathlib
import time
from collections.abc import Callable
from typing import Any

from coltsfoothead.testsupport import errors, fake, web

__all__ = ["DEFAULT_CATALOG", "Cloud", "Vm", "main"]

_TICK_SECONDS = 0.02
_SECONDS_PER_HOUR = 3600.0

# Prices per hour by zone, class and market.
DEFAULT_CATALOG: dict[str, dict[str, dict[str, float]]] = {
    "home-a": {
        "standard": {"on_demand": 1.0, "reclaimable": 0.35},
        "large": {"on_demand": 2.2, "reclaimable": 0.7},
    },
    "home-b": {
        "standard": {"on_demand": 1.1, "reclaimable": 0.3},
        "large": {"on_demand": 2.4, "reclaimable": 0.65},
    },
    "away-a": {
        "standard": {"on_demand": 0.9, "reclaimable": 0.25},
        "large": {"on_demand": 2.0, "reclaimable": 0.55},
    },
}


@dataclasses.dataclass(slots=True)
class Vm:
    """One VM; `state` is starting, running, terminated or reclaimed."""

    id: str
    vm_class: str
    zone: str
    market: str
    price_per_hour: float
    runs_at: float
    state: str = "starting"
    reclaimed_at: float | None = None
    ended_at: float | None = None
    client_token: str | None = None
    listed_at: float = 0.0

    def spend(self, now: float) -> float:
        """Returns the cost so far; a VM is charged from when it runs until it ends."""
        end = now if self.ended_at is None else self.ended_at
        return max(0.0, end - self.runs_at) / _SECONDS_PER_HOUR * self.price_per_hour


class Cloud(fake.Fake):
    """The cloud API.

    Parameters
    ----------
    catalog : dict, optional
        Price per hour by zone, class and market (`on_demand`, `reclaimable`).
    start_delay_seconds : float
        Time from an accepted start request until the VM runs.
    hook : callable, optional
        Called with `running`, `notice`, `terminated` or `reclaimed`, and the VM.
    clock : callable
        Returns the time in seconds.
    """

    def __init__(
        self,
        catalog: dict[str, Any] | None = None,
        start_delay_seconds: float = 0.0,
        hook: Callable[[str, Vm], None] = lambda change, vm: None,
        clock: Callable[[], float] = time.monotonic,
    ):
        super().__init__()
        self.vms: dict[str, Vm] = {}
        self._catalog = catalog or DEFAULT_CATALOG
        self._start_delay_seconds = start_delay_seconds
        self._hook = hook
        self._clock = clock
        self._starts_by_client_token: dict[str, tuple[Any, str]] = {}
        self._refusals: list[dict[str, str]] = []
        self._lost_answers = 0
        self._list_delay_seconds = 0.0
        self.starts: list[dict[str, Any]] = []
        self.background = [self._run]
        route = self.router.route
        route("GET", "/catalog")(self._show_catalog)
        route("POST", "/vms")(self._start)
        route("GET", "/vms")(self._list)
        route("DELETE", "/vms/{id}")(self._delete)
        route("GET", "/vms/{id}/notice")(self._notice)
        route("GET", "/bill")(self._bill)
        route("GET", "/starts")(self._show_starts)
        self.controls |= {
            "notice": lambda value: self.give_notice(value["vm"], value["seconds"]),
            "wave": lambda value: self.wave(value["zone"], value["seconds"]),
            "refuse": self._refusals.append,
            "allow_all": lambda value: self._refusals.clear(),
            "start_delay_ms": lambda ms: setattr(self, "_start_delay_seconds", ms / 1000),
            "list_delay_ms": lambda ms: setattr(self, "_list_delay_seconds", ms / 1000),
            "lose_start_answers": lambda count: setattr(self, "_lost_answers", count),
            "register": lambda value: self.register(**value),
        }

    def register(self, vm: str, vm_class: str, zone: str, market: str) -> None:
        """Adds a VM that is already running, for example that of an entry daemon."""
        price = self._catalog[zone][vm_class][market]
        self.vms[vm] = Vm(vm, vm_class, zone, market, price, self._clock(), "running")

    def give_notice(self, vm_id: str, seconds: float) -> None:
        """Gives notice that a VM will be reclaimed after `seconds`; a first notice is kept."""
        vm = self.vms[vm_id]
        if vm.ended_at is None and vm.reclaimed_at is None:
            vm.reclaimed_at = self._clock() + seconds
            self._hook("notice", vm)

    def wave(self, zone: str, seconds: float) -> list[str]:
        """Gives notice of reclaim to all reclaimable VMs of a zone and returns their IDs."""
        ids = [
            vm.id
            for vm in self.vms.values()
            if vm.zone == zone and vm.market == "reclaimable" and vm.ended_at is None
        ]
        for vm_id in ids:
            self.give_notice(vm_id, seconds)
        return ids

    def advance(self) -> None:
        """Applies the state changes that are due."""
        now = self._clock()
        for vm in list(self.vms.values()):
            if vm.state == "starting" and vm.runs_at <= now:
                vm.state = "running"
                self._hook("running", vm)
            if vm.ended_at is None and vm.reclaimed_at is not None and vm.reclaimed_at <= now:
                self._end(vm, "reclaimed", vm.reclaimed_at)

    def _end(self, vm: Vm, state: str, at: float) -> None:
        vm.state = state
        vm.ended_at = at
        self._hook(state, vm)

    async def _run(self) -> None:
        while True:
            self.advance()
            await asyncio.sleep(_TICK_SECONDS)

    async def _start(self, request: web.Request) -> web.Response:
        body = request.json()
        offer = (body["class"], body["zone"], body["market"])
        client_token = body.get("client_token")
        self.starts.append({"client_token": client_token, "wanted": offer, "at": self._clock()})
        if client_token in self._starts_by_client_token:
            earlier_offer, vm_id = self._starts_by_client_token[client_token]
            if earlier_offer != offer:
                return _error(409, "client_token_reused", "the token was used for another VM")
            return web.json_response(self._view(self.vms[vm_id]))
        price = self._catalog.get(body["zone"], {}).get(body["class"], {}).get(body["market"])
        if price is None:
            return _error(400, "unknown_offer", f"there is no offer {offer}")
        if any(self._matches(refusal, body) for refusal in self._refusals):
            return _error(503, "no_capacity", f"no capacity for {offer}")
        vm_id = f"vm-{len(self.vms) + 1:04d}"
        runs_at = self._clock() + self._start_delay_seconds
        vm = self.vms[vm_id] = Vm(vm_id, *offer, price, runs_at, client_token=client_token)
        vm.listed_at = self._clock() + self._list_delay_seconds
        if client_token is not None:
            self._starts_by_client_token[client_token] = (offer, vm_id)
        self.advance()
        if self._lost_answers:
            self._lost_answers -= 1
            raise errors.DropConnectionError("answer to a start is lost")
        return web.json_response(self._view(self.vms[vm_id]), 201)

    def _matches(self, refusal: dict[str, str], body: dict[str, str]) -> bool:
        return all(refusal.get(key, "*") in ("*", body[key]) for key in ("zone", "class", "market"))

    async def _delete(self, request: web.Request) -> web.Response:
        self.advance()
        vm = self.vms.get(request.match["id"])
        if vm is None:
            return _error(404, "unknown_vm", f"there is no VM {request.match['id']!r}")
        if vm.ended_at is None:
            self._end(vm, "terminated", self._clock())
        return web.json_response(self._view(vm))

    async def _list(self, request: web.Request) -> web.Response:
        self.advance()
        with_ended = request.query.get("ended") == "1"
        shown = [vm for vm in self.vms.values() if with_ended or self._listed(vm)]
        return web.json_response({"vms": [self._view(vm) for vm in shown]})

    def _listed(self, vm: Vm) -> bool:
        return vm.ended_at is None and vm.listed_at <= self._clock()

    async def _show_starts(self, request: web.Request) -> web.Response:
        return web.json_response({"starts": self.starts})

    async def _notice(self, request: web.Request) -> web.Response:
        vm = self.vms.get(request.match["id"])
        if vm is None or vm.reclaimed_at is None:
            return _error(404, "no_notice", "no reclaim is announced")
        left = max(0.0, vm.reclaimed_at - self._clock())
        return web.json_response({"vm": vm.id, "seconds_left": left})

    async def _bill(self, request: web.Request) -> web.Response:
        self.advance()
        now = self._clock()
        spends = {vm.id: vm.spend(now) for vm in self.vms.values()}
        return web.json_response({"total": sum(spends.values()), "vms": spends})

    async def _show_catalog(self, request: web.Request) -> web.Response:
        return web.json_response({"zones": self._catalog})

    def _view(self, vm: Vm) -> dict[str, Any]:
        return {
            "id": vm.id,
            "class": vm.vm_class,
            "zone": vm.zone,
            "market": vm.market,
            "state": vm.state,
            "price_per_hour": vm.price_per_hour,
            "client_token": vm.client_token,
        }


def _error(status: int, code: str, message: str) -> web.Response:
    return web.json_response({"error": {"code": code, "message": message}}, status)


def main() -> None:
    """Runs the cloud API from the command line."""
    parser = fake.parser(__doc__)
    parser.add_argument("--catalog", type=pathlib.Path, help="JSON file: zone, class, market")
    parser.add_argument("--start-delay-seconds", type=float, default=0.0)
    options = parser.parse_args()
    catalog = json.loads(options.catalog.read_text("utf-8")) if options.catalog else None
    fake.run(lambda: Cloud(catalog, options.start_delay_seconds), options.listen)


if __name__ == "__main__":
    main()
