"""Fake model engine; it implements the engine interface of the design page, section 5.2."""

import asyncio
import collections
import dataclasses
import time
from typing import Any

import msgspec

from coltsfoothead.testsupport import (
    announce,
    answers,
    batching,
    completions,
    fake,
    orders,
    prefixcache,
    web,
)

__all__ = ["Engine", "Settings", "main"]


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a fake engine; each is also a command-line option."""

    models: str = "small=1"
    role: str = "mixed"
    slots: int = 8
    prefill_seconds: float = 0.0002
    gap_seconds: float = 0.01
    cache_blocks: int = 4096
    cache_event_delay_seconds: float = 0.0
    cache_event_drop_probability: float = 0.0
    seed: int = 0
    check_fencing: bool = False
    load_model_seconds: float = 0.0
    weights: str = ""
    kv_bytes_per_token: int = 1024
    load_lag_seconds: float = 0.0


class Engine(fake.Fake):
    """One fake engine.

    Parameters
    ----------
    settings : Settings
        Speeds, sizes and faults.
    placement : announce.Placement
        Identity and location.
    urls : list of str
        URLs of the daemons to announce to.
    """

    def __init__(
        self,
        settings: Settings | None = None,
        placement: announce.Placement | None = None,
        urls: list[str] | None = None,
    ):
        super().__init__()
        self.settings = settings or Settings()
        self.feed = prefixcache.EventFeed(
            self.settings.cache_event_delay_seconds,
            self.settings.cache_event_drop_probability,
            self.settings.seed,
        )
        self.cache = prefixcache.PrefixCache(self.settings.cache_blocks, self.feed)
        self.batch = batching.Batch(
            self.settings.slots,
            self.settings.prefill_seconds,
            self.settings.gap_seconds,
            self.cache,
            self._record_execution,
        )
        self.orders = orders.Orders(self.settings, self.cache)
        self.completions = completions.Completions(self.batch, self.orders.serves)
        self.executions: list[dict[str, Any]] = []
        load = announce.LaggingLoad(self.batch.load, self.settings.load_lag_seconds)
        placement = placement or announce.Placement()
        self.announcer = announce.Announcer(urls or [], placement, lambda: self._describe(load))
        self.orders.on_change = self.announcer.renew
        self.background = [self.batch.run, load.run, self.announcer.run]
        self._add_routes()
        self._add_controls()

    def stats(self) -> dict[str, Any]:
        """Returns the counters and execution records for the invariant checks."""
        executions: dict[str, dict[str, int]] = collections.defaultdict(dict)
        for entry in self.executions:
            attempts = executions[entry["request_id"]]
            attempt = str(entry["attempt"])
            attempts[attempt] = attempts.get(attempt, 0) + 1
        names = (
            "generated_tokens",
            "prefilled_tokens",
            "cached_tokens",
            "recomputed_tokens",
            "recomputed_prompt_tokens",
        )
        return {
            **{name: self.batch.counters[name] for name in names},
            "running": len(self.batch.running),
            "waiting": self.batch.waiting_count,
            "executions": executions,
            "execution_log": self.executions,
            "leaving_since": self.announcer.leaving_since,
            "orders": self.orders.received,
            "announcements": {"accepted": self.announcer.accepted, "failed": self.announcer.failed},
        }

    def _record_execution(self, job: batching.Job) -> None:
        self.executions.append(
            {
                "request_id": job.request_id,
                "attempt": job.attempt,
                "at": time.monotonic(),
                "resumed": job.resumed,
                "leaving": self.announcer.leaving,
            }
        )

    def _describe(self, load: announce.LaggingLoad) -> dict[str, Any]:
        return {
            "kind": "model",
            "service": "",
            "address": self.address,
            "models": self.orders.models(),
            "role": self.orders.role,
            "checks_fencing": self.settings.check_fencing,
            "slots": self.settings.slots,
            "load": load.report(),
        }

    def _add_routes(self) -> None:
        route = self.router.route
        route("POST", "/v1/chat/completions")(self.completions.handle)
        route("POST", "/v1/cancel")(self.completions.cancel)
        route("GET", "/v1/models")(self._models)
        route("POST", "/orders")(self.orders.handle)
        route("GET", "/cache-events")(self._cache_events)
        route("POST", "/kv/export")(self._export_kv)
        route("POST", "/kv/import")(self._import_kv)
        route("GET", "/stats")(self._stats)

    def _add_controls(self) -> None:
        self.controls |= {
            "slowness": lambda factor: setattr(self.batch, "slowness", float(factor)),
            "pause": self.batch.pause,
            "silent": lambda silent: setattr(self.completions, "silent", bool(silent)),
            "leave": self._leave,
            "announce": lambda enabled: setattr(self.announcer, "enabled", bool(enabled)),
            "drop_streams": self._drop_streams,
            "drop_after_tokens": self.completions.drop_after.append,
            "answer_without_running": self.completions.refusals.extend,
            "run_without_answering": self.completions.add_lost_answers,
            "order_answer_without_running": self.orders.add_ignored,
            "order_run_without_answering": self.orders.add_lost_answers,
        }

    def _leave(self, arguments: dict[str, Any]) -> None:
        seconds = arguments["deadline_ms"] / 1000
        self.announcer.leave(seconds)
        asyncio.get_running_loop().call_later(seconds, self.finished.set)

    def _drop_streams(self, request_id: str | None) -> int:
        jobs = [job for job in self.batch.running if request_id in (None, job.request_id)]
        for job in jobs:
            self.batch.end(job, batching.Ending.DROPPED)
        return len(jobs)

    async def _models(self, request: web.Request) -> web.Response:
        data = [
            {"id": model["name"], "object": "model", "created": 0, "owned_by": "fake"}
            for model in self.orders.models()
        ]
        return web.json_response({"object": "list", "data": data})

    async def _stats(self, request: web.Request) -> web.Response:
        return web.json_response(self.stats())

    async def _cache_events(self, request: web.Request) -> web.Response:
        events = self.feed.after(int(request.query.get("after", "0")), time.monotonic())
        return web.json_response({"events": events})

    async def _export_kv(self, request: web.Request) -> web.Response:
        """Returns the cached KV blocks of a running request, or of messages and resume tokens."""
        body = request.json()
        if "request_id" in body:
            jobs = self.batch.find(body["request_id"], body.get("attempt"))
            if not jobs:
                return web.json_response({"error": {"message": "no such running request"}}, 404)
            model, context = jobs[0].model, jobs[0].context()
            self.cache.insert(model, answers.blocks(context), time.monotonic())
        else:
            model = body["model"]
            prompt = answers.render(body["messages"])
            context = answers.tokenize(prompt) + body.get("resume_tokens", [])
        blocks = answers.blocks(context)
        blocks = blocks[: self.cache.match(model, blocks)]
        tokens = len(blocks) * answers.BLOCK_TOKENS
        head = msgspec.json.encode({"model": model, "tokens": tokens, "blocks": blocks}) + b"\n"
        payload = head + bytes(tokens * self.settings.kv_bytes_per_token)
        return web.Response(200, payload, {"x-kv-tokens": str(tokens)})

    async def _import_kv(self, request: web.Request) -> web.Response:
        line, _, payload = request.body.partition(b"\n")
        head = msgspec.json.decode(line)
        if len(payload) != head["tokens"] * self.settings.kv_bytes_per_token:
            return web.json_response({"error": {"message": "payload has the wrong size"}}, 400)
        blocks = [(block, size) for block, size in head["blocks"]]
        self.cache.insert(head["model"], blocks, time.monotonic())
        return web.json_response({"tokens": head["tokens"]})


def main() -> None:
    """Runs one engine from the command line."""
    parser = fake.parser(__doc__)
    announce.add_arguments(parser)
    for field in dataclasses.fields(Settings):
        name = "--" + field.name.replace("_", "-")
        if field.name == "load_lag_seconds":
            continue
        if field.type is bool:
            parser.add_argument(name, action="store_true")
        else:
            parser.add_argument(name, type=field.type, default=field.default)
    options = parser.parse_args()
    names = [field.name for field in dataclasses.fields(Settings)]
    settings = Settings(**{name: getattr(options, name) for name in names})
    placement = announce.placement_from_options(options)
    fake.run(lambda: Engine(settings, placement, options.announce), options.listen)


if __name__ == "__main__":
    main()
