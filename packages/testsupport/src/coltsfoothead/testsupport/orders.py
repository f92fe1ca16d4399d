"""Orders to the fake engine: load or unload models and adapters, and set the role."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

from coltsfoothead.testsupport import errors, prefixcache, web, webclient

__all__ = ["Orders"]


class Orders:
    """Carries out orders and records all that were received, including refused ones.

    An order is `{order, fence, ...}`: `load` with `model` and optionally `version` and `adapter`,
    `unload` with `model` and optionally `adapter`, or `role` with `role`. It is answered once it
    has been carried out. If fencing numbers are checked, an order whose fencing number is below
    the highest one received is answered with 409.
    """

    def __init__(self, settings: Any, cache: prefixcache.PrefixCache):
        self.on_change: Callable[[], None] = lambda: None
        self.role = settings.role
        self.received: list[dict[str, Any]] = []
        self._settings = settings
        self._cache = cache
        self._highest_fence = -1
        self._ignored = 0
        self._lost_answers = 0
        self._models: dict[str, dict[str, Any]] = {}
        for item in filter(None, settings.models.split(",")):
            name, _, version = item.partition("=")
            self._models[name] = {"name": name, "version": version or "1", "adapters": []}

    def models(self) -> list[dict[str, Any]]:
        return list(self._models.values())

    def serves(self, model: str) -> bool:
        """Tells whether a request for a model or adapter name can run."""
        return model in self._models or any(
            model in loaded["adapters"] for loaded in self._models.values()
        )

    def add_ignored(self, count: int) -> None:
        """Makes the next `count` orders be answered but not carried out."""
        self._ignored += count

    def add_lost_answers(self, count: int) -> None:
        """Makes the next `count` orders be carried out but not answered."""
        self._lost_answers += count

    async def handle(self, request: web.Request) -> web.Response:
        order = request.json()
        fence = order.get("fence", -1)
        refused = self._settings.check_fencing and fence < self._highest_fence
        entry = {**order, "fence": fence, "accepted": not refused, "at": time.monotonic()}
        self.received.append(entry)
        if refused:
            message = f"fencing number {fence} is below {self._highest_fence}"
            return web.json_response(
                {
                    "error": {"message": message, "code": "stale_fence"},
                    "fence": self._highest_fence,
                },
                409,
            )
        self._highest_fence = max(self._highest_fence, fence)
        actions = {"load": self._load, "unload": self._unload, "role": self._set_role}
        action = actions.get(order["order"])
        if action is None:
            return web.json_response({"error": {"message": "unknown order"}}, 400)
        if self._ignored:
            self._ignored -= 1
            return web.json_response({"order": order["order"], "fence": fence})
        lost = self._lost_answers > 0
        self._lost_answers -= lost
        await asyncio.shield(asyncio.ensure_future(action(order)))
        self.on_change()
        if lost:
            raise errors.DropConnectionError("answer to an order is lost")
        return web.json_response({"order": order["order"], "fence": fence})

    async def _load(self, order: dict[str, Any]) -> None:
        name, version = order["model"], str(order.get("version", "1"))
        if self._settings.weights:
            file = order.get("adapter") or name
            path = f"/weights/{file}/{version}"
            await webclient.fetch(self._settings.weights, "GET", path, timeout_seconds=3600.0)
        await asyncio.sleep(self._settings.load_model_seconds)
        model = self._models.get(name, {"version": None, "adapters": []})
        if model["version"] not in (None, version) and "adapter" not in order:
            self._cache.drop_model(name, time.monotonic())
        adapters = sorted({*model["adapters"], *filter(None, [order.get("adapter")])})
        kept_version = model["version"] if "adapter" in order and model["version"] else version
        self._models[name] = {"name": name, "version": kept_version, "adapters": adapters}

    async def _unload(self, order: dict[str, Any]) -> None:
        name, adapter = order["model"], order.get("adapter")
        if adapter and name in self._models:
            adapters = [known for known in self._models[name]["adapters"] if known != adapter]
            self._models[name] = {**self._models[name], "adapters": adapters}
            return
        self._models.pop(name, None)
        self._cache.drop_model(name, time.monotonic())

    async def _set_role(self, order: dict[str, Any]) -> None:
        self.role = order["role"]
