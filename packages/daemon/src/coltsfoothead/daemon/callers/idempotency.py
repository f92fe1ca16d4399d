"""Uses the replicated ledger to run a request with an idempotency key at most once."""

import asyncio
import hashlib
import time
import uuid
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from absl import logging

from coltsfoothead.coordination.ledger import commands, keys, limits
from coltsfoothead.daemon import errors
from coltsfoothead.daemon.callers import refusals

__all__ = [
    "Claim",
    "Deduplicator",
    "Ledger",
    "LedgerProposer",
    "LedgerUnavailableError",
    "body_digest",
]

MAX_KEY_CHARACTERS = 255
# Interval between attempts to commit a command, and the wait for open commands at shutdown.
SETTLE_INTERVAL_SECONDS = 2.0


class LedgerUnavailableError(errors.DaemonError):
    """The ledger did not commit a command in time; it may still be committed later."""


class LedgerProposer(Protocol):
    """Commits ledger commands; they are idempotent, so a command may be proposed repeatedly."""

    async def propose_ledger(self, command: Any) -> Any:
        """Returns the result of a committed command; raises `LedgerUnavailableError`."""


def body_digest(method: str, path: str, body: bytes) -> bytes:
    """Returns the digest that detects the reuse of a key for a different request."""
    text = f"{method} {path}\n".encode()
    return hashlib.blake2b(text + body, digest_size=16).digest()


class Claim:
    """Idempotency key that this daemon has claimed.

    Attributes
    ----------
    log_index : int
        Index of the claim in the replicated log.
    """

    def __init__(self, key: keys.Key, request_id: str, log_index: int) -> None:
        self.key = key
        self.request_id = request_id
        self.log_index = log_index


class Ledger:
    """Claims idempotency keys and settles the claims on behalf of one daemon.

    Parameters
    ----------
    proposer : LedgerProposer
    owner : str
        ID of this daemon.
    incarnation : int
        Incarnation of this daemon.
    settings : Settings
    """

    def __init__(
        self,
        proposer: LedgerProposer,
        owner: str,
        incarnation: int,
        settings: limits.Settings | None = None,
    ) -> None:
        self._proposer = proposer
        self._owner = owner
        self._incarnation = incarnation
        self._settings = settings or limits.Settings()
        self._background_tasks: set[asyncio.Task[None]] = set()

    async def claim(self, key: keys.Key, digest: bytes, request_id: str) -> Any:
        """Claims a key and returns the result from the ledger.

        Raises
        ------
        RefusedError
            If the key is malformed or expired, or the ledger cannot commit. The request has then
            not run.
        """
        now = time.time_ns() // 1_000_000
        if not 0 < len(key.value) <= MAX_KEY_CHARACTERS:
            text = f"an idempotency key has 1 to {MAX_KEY_CHARACTERS} characters"
            raise refusals.refuse(refusals.Code.IDEMPOTENCY_KEY_INVALID, text)
        if keys.expired_by_age(key.value, now, self._settings.retention_ms):
            raise refusals.refuse(
                refusals.Code.IDEMPOTENCY_KEY_EXPIRED, "the idempotency key is too old"
            )
        result = await self._propose_claim(key, digest, request_id, now)
        if isinstance(result, commands.OwnerRefused):
            # The other daemons declared this one gone while it was partitioned, so its open claims
            # are settled as unknown. New claims are safe under a new incarnation.
            self._incarnation = result.gone_incarnation + 1
            result = await self._propose_claim(key, digest, request_id, now)
        return result

    async def declare_owner_gone(self, running: commands.Running) -> None:
        """Declares a lost owner gone, so that the outcome of its running calls becomes unknown."""
        command = commands.OwnerGone(running.owner, running.owner_incarnation)
        try:
            await self._proposer.propose_ledger(command)
        except LedgerUnavailableError as error:
            raise refusals.refuse(
                refusals.Code.OUTCOME_UNKNOWN, str(error), refusals.Execution.UNKNOWN, 1.0
            ) from error

    async def complete(self, claim: Claim, answer: commands.Answer) -> None:
        """Stores the answer; if the ledger cannot commit now, retries in the background."""
        command = commands.Complete(
            claim.key, self._owner, claim.log_index, limits.limit_answer_size(answer)
        )
        await self._settle(command)

    async def release(self, claim: Claim) -> None:
        """Frees the key; allowed only if nothing has been sent to an upstream."""
        await self._settle(commands.Release(claim.key, self._owner, claim.log_index))

    async def abandon(self, claim: Claim) -> None:
        """Records that the outcome of the call is unknown."""
        await self._settle(commands.Abandon(claim.key, self._owner, claim.log_index))

    async def stop(self) -> None:
        """Waits up to `SETTLE_INTERVAL_SECONDS` for uncommitted commands, then cancels them."""
        if self._background_tasks:
            await asyncio.wait(self._background_tasks, timeout=SETTLE_INTERVAL_SECONDS)
        for task in list(self._background_tasks):
            task.cancel()

    async def _propose_claim(self, key: keys.Key, digest: bytes, request_id: str, now: int) -> Any:
        command = commands.Claim(key, digest, request_id, self._owner, self._incarnation, now)
        try:
            return await self._proposer.propose_ledger(command)
        except LedgerUnavailableError as error:
            self._run_in_background(self._release_late_claim(command))
            raise refusals.refuse(refusals.Code.LEDGER_UNAVAILABLE, str(error)) from error

    async def _settle(self, command: Any) -> None:
        try:
            await self._proposer.propose_ledger(command)
        except LedgerUnavailableError:
            self._run_in_background(self._propose_until_committed(command))

    async def _propose_until_committed(self, command: Any) -> Any:
        while True:
            try:
                return await self._proposer.propose_ledger(command)
            except LedgerUnavailableError:
                await asyncio.sleep(SETTLE_INTERVAL_SECONDS)

    async def _release_late_claim(self, command: commands.Claim) -> None:
        """Releases a claim that may have been committed after the caller was refused."""
        result = await self._propose_until_committed(command)
        if isinstance(result, commands.Claimed):
            await self._propose_until_committed(
                commands.Release(command.key, self._owner, result.claim)
            )
            logging.info(
                "request %s: released a claim that was committed after the refusal",
                command.request_id,
            )

    def _run_in_background(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)


class Deduplicator:
    """Answers duplicates of a call from the running call or from its stored answer.

    Parameters
    ----------
    ledger : Ledger
    owner : str
        ID of this daemon.
    join_remote : callable
        Takes the ID of another daemon and a request ID. Waits until that daemon has settled the
        call; returns early if the daemon cannot be reached.
    is_owner_lost : callable
        Takes the ID and the incarnation of an owner; returns whether that incarnation has left,
        died or been replaced by a restart.
    """

    def __init__(
        self,
        ledger: Ledger,
        owner: str,
        join_remote: Callable[[str, str], Awaitable[None]],
        is_owner_lost: Callable[[str, int], bool],
    ) -> None:
        self._ledger = ledger
        self._owner = owner
        self._join_remote = join_remote
        self._is_owner_lost = is_owner_lost
        self._running: dict[str, asyncio.Event] = {}

    async def claim(self, key: keys.Key, digest: bytes) -> Claim | commands.Answer:
        """Returns a claim that permits sending the call once, or the answer to the earlier call.

        Raises
        ------
        RefusedError
            If the key was reused for another request, is invalid or has expired, if the outcome of
            the earlier call is unknown, or if the ledger is unavailable.
        """
        request_id = uuid.uuid4().hex
        result = await self._ledger.claim(key, digest, request_id)
        if isinstance(result, commands.Running):
            await self._join(result)
            result = await self._ledger.claim(key, digest, request_id)
        match result:
            case commands.Claimed(log_index):
                self._running[request_id] = asyncio.Event()
                return Claim(key, request_id, log_index)
            case commands.Stored(answer=answer):
                return answer
            case _:
                raise _build_refusal(result)

    def notify_settled(self, claim: Claim) -> None:
        """Wakes up the duplicates that wait for a claim of this daemon to be settled."""
        self._running.pop(claim.request_id).set()

    async def wait_settled(self, request_id: str) -> None:
        """Waits until this daemon has settled a call; returns at once if it is not running."""
        event = self._running.get(request_id)
        if event is not None:
            await event.wait()

    async def _join(self, running: commands.Running) -> None:
        if self._is_owner_lost(running.owner, running.owner_incarnation):
            await self._ledger.declare_owner_gone(running)
        elif running.owner == self._owner:
            await self.wait_settled(running.request_id)
        else:
            await self._join_remote(running.owner, running.request_id)


def _build_refusal(result: Any) -> refusals.RefusedError:
    unknown = refusals.Execution.UNKNOWN
    code = refusals.Code
    match result:
        case commands.KeyReused(request_id):
            text = "the idempotency key was used with another request"
            return refusals.refuse(code.IDEMPOTENCY_KEY_REUSED, text, request_id=request_id)
        case commands.KeyExpired():
            return refusals.refuse(code.IDEMPOTENCY_KEY_EXPIRED, "the idempotency key has expired")
        case commands.Unknown(request_id, status):
            text = "the call under this idempotency key may have run; its answer is not known"
            if status is not None:
                text = f"the call ran with status {status}; its answer was too large to keep"
                unknown = refusals.Execution.RAN
            return refusals.refuse(code.OUTCOME_UNKNOWN, text, unknown, request_id=request_id)
        case commands.Running(request_id=request_id):
            text = "the call under this idempotency key is still running"
            return refusals.refuse(code.OUTCOME_UNKNOWN, text, unknown, 1.0, request_id)
        case commands.OwnerRefused():
            text = "this daemon has been given up by the others"
            return refusals.refuse(code.LEDGER_UNAVAILABLE, text)
        case _:
            raise AssertionError(f"unexpected ledger result {result!r}")
