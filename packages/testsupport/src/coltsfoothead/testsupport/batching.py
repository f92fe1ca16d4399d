"""Continuous batching of the fake engine with a priority queue and one token per step."""

import asyncio
import collections
import dataclasses
import enum
import heapq
import itertools
import time
from collections.abc import Callable
from typing import Any

from coltsfoothead.testsupport import answers, prefixcache

__all__ = ["Batch", "Ending", "Job"]


class Ending(enum.Enum):
    """Reason why the output of a job ended."""

    FINISHED = "finished"
    CANCELLED = "cancelled"
    DROPPED = "dropped"


@dataclasses.dataclass(eq=False, slots=True)
class Job:
    """One execution of a request.

    Attributes
    ----------
    tokens : list of str
        Answer so far, including the resumed tokens.
    length : int
        Number of tokens of the complete answer.
    priority : int
        Jobs with lower numbers start first.
    resumed : int
        Number of tokens that an earlier attempt had generated.
    ready_at : float, optional
        Monotonic time at which the prefill is complete.
    output : asyncio.Queue
        Indexes of generated tokens, then the ending.
    """

    request_id: str
    attempt: int
    model: str
    prompt: str
    tokens: list[str]
    length: int
    priority: int = 0
    resumed: int = 0
    cached_tokens: int = 0
    ready_at: float | None = None
    ending: Ending | None = None
    output: asyncio.Queue[int | Ending] = dataclasses.field(default_factory=asyncio.Queue)

    def context(self) -> list[str]:
        """Returns the tokens in the model's context: the prompt and the answer so far."""
        return answers.tokenize(self.prompt) + self.tokens


class Batch:
    """Runs jobs in a bounded number of slots.

    All running jobs whose prefill is complete get one token per step; a step takes `gap_seconds`
    times the slowness factor. Prefills of different slots do not slow each other down.

    Parameters
    ----------
    slots : int
        Number of jobs that run at the same time.
    prefill_seconds : float
        Prefill time of one token that is not cached.
    gap_seconds : float
        Time between two tokens of a job.
    cache : PrefixCache
        Cache of prompt prefixes.
    on_start : callable
        Called with each job when it gets a slot.
    """

    def __init__(
        self,
        slots: int,
        prefill_seconds: float,
        gap_seconds: float,
        cache: prefixcache.PrefixCache,
        on_start: Callable[[Job], None] = lambda job: None,
    ):
        self.slowness = 1.0
        self.counters: collections.Counter[str] = collections.Counter()
        self.running: list[Job] = []
        self._slots = slots
        self._prefill_seconds = prefill_seconds
        self._gap_seconds = gap_seconds
        self._cache = cache
        self._on_start = on_start
        self._waiting: list[tuple[int, int, Job]] = []
        self._submission_numbers = itertools.count()
        self._job_submitted = asyncio.Event()
        self._unpaused = asyncio.Event()
        self._unpaused.set()

    @property
    def waiting_count(self) -> int:
        return sum(job.ending is None for _, _, job in self._waiting)

    def load(self) -> dict[str, Any]:
        """Returns the load in the form that announcements report it."""
        unfinished = [job for _, _, job in self._waiting if job.ending is None] + self.running
        outstanding_tokens = sum(job.length - len(job.tokens) for job in unfinished)
        return {
            "running": len(self.running),
            "waiting": self.waiting_count,
            "tokens_outstanding": outstanding_tokens,
        }

    def submit(self, job: Job) -> None:
        heapq.heappush(self._waiting, (job.priority, next(self._submission_numbers), job))
        self._job_submitted.set()

    def find(self, request_id: str, attempt: int | None = None) -> list[Job]:
        jobs = self.running + [job for _, _, job in self._waiting]
        return [
            job
            for job in jobs
            if job.ending is None
            and job.request_id == request_id
            and attempt in (None, job.attempt)
        ]

    def end(self, job: Job, ending: Ending) -> None:
        """Ends a job; has no effect if the job has ended already."""
        if job.ending is not None:
            return
        job.ending = ending
        job.output.put_nowait(ending)
        if job in self.running:
            self.running.remove(job)
            self._store_in_cache(job)

    def pause(self, paused: bool) -> None:
        """Stops or resumes the output of tokens."""
        if paused:
            self._unpaused.clear()
        else:
            self._unpaused.set()

    async def run(self) -> None:
        """Runs steps until cancelled."""
        next_step = time.monotonic()
        while True:
            self._admit()
            if not self.running:
                self._job_submitted.clear()
                await self._job_submitted.wait()
                next_step = time.monotonic()
                continue
            gap = self._gap_seconds * self.slowness
            # Stepping from the planned time keeps the rate; steps missed by more than one gap are
            # not made up for.
            next_step = max(next_step + gap, time.monotonic())
            await asyncio.sleep(next_step - time.monotonic())
            await self._unpaused.wait()
            self._step(time.monotonic())

    def _admit(self) -> None:
        while self._waiting and len(self.running) < self._slots:
            job = heapq.heappop(self._waiting)[2]
            if job.ending is None:
                self._start(job)

    def _start(self, job: Job) -> None:
        context = job.context()
        cached_blocks = self._cache.match(job.model, answers.blocks(context))
        job.cached_tokens = min(cached_blocks * answers.BLOCK_TOKENS, len(context) - 1)
        prefill = len(context) - job.cached_tokens
        seconds = prefill * self._prefill_seconds * self.slowness
        job.ready_at = time.monotonic() + seconds
        self.counters["prefilled_tokens"] += prefill
        self.counters["cached_tokens"] += job.cached_tokens
        if job.attempt > 1 or job.resumed:
            recomputed = min(prefill, job.resumed)
            self.counters["recomputed_tokens"] += recomputed
            self.counters["recomputed_prompt_tokens"] += prefill - recomputed
        self.running.append(job)
        self._on_start(job)

    def _step(self, now: float) -> None:
        for job in [job for job in self.running if job.ready_at <= now]:
            index = len(job.tokens)
            if index == job.resumed:
                self._store_in_cache(job)
            if index < job.length:
                job.tokens.append(answers.token_at(job.prompt, index))
                job.output.put_nowait(index)
                self.counters["generated_tokens"] += 1
            if len(job.tokens) >= job.length:
                self.end(job, Ending.FINISHED)

    def _store_in_cache(self, job: Job) -> None:
        now = time.monotonic()
        if job.ready_at is not None and job.ready_at <= now:
            self._cache.insert(job.model, answers.blocks(job.context()), now)
