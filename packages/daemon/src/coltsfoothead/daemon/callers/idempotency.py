"""Runs a caller's request under an idempotency key at most once, through the ledger."""

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

__all__ = ["Claim", "Ledger", "LedgerUnavailableError", "OnceOnly", "Proposals", "body_digest"]

KEY_BYTES = 255
RESOLVE_SECONDS = 2.0


class LedgerUnavailableError(errors.DaemonError):
    """The ledger did not commit a command in time; it may still be committed later."""


class Proposals(Protocol):
    """Commits ledger commands; sending one again is harmless."""

    async def propose_ledger(self, command: Any) -> Any:
        """Returns the result of a committed command; raises `LedgerUnavailableError`."""


def body_digest(method: str, path: str, body: bytes) -> bytes:
    """Returns the digest by which a reused key with another request is told."""
    text = f"{method} {path}\n".encode()
    return hashlib.blake2b(text + body, digest_size=16).digest()


class Claim:
    """A key that this daemon has claimed.

    Attributes
    ----------
    number : int
        Log index of the claim.
    """

    def __init__(self, key: keys.Key, request_id: str, number: int) -> None:
        self.key = key
        self.request_id = request_id
        self.number = number


class Ledger:
    """Claims keys and settles claims for one daemon.

    Parameters
    ----------
    proposals : Proposals
    owner : str
        This daemon.
    incarnation : int
    settings : Settings
    """

    def __init__(
        self,
        proposals: Proposals,
        owner: str,
        incarnation: int,
        settings: limits.Settings | None = None,
    ) -> None:
        self._proposals = proposals
        self._owner = owner
        self._incarnation = incarnation
        self._settings = settings or limits.Settings()
        self._background: set[asyncio.Task[None]] = set()

    async def claim(self, key: keys.Key, digest: bytes, request_id: str) -> Any:
        """Returns the ledger's verdict on a key.

        Raises
        ------
        RefusedError
            If the key is malformed or expired, or the ledger cannot commit. Nothing has run then.
        """
        now = time.time_ns() // 1_000_000
        if not 0 < len(key.value) <= KEY_BYTES:
            text = f"an idempotency key has 1 to {KEY_BYTES} characters"
            raise refusals.refuse(refusals.Code.IDEMPOTENCY_KEY_INVALID, text)
        if keys.expired_by_age(key.value, now, self._settings.retention_ms):
            raise refusals.refuse(
                refusals.Code.IDEMPOTENCY_KEY_EXPIRED, "the idempotency key is too old"
            )
        verdict = await self._propose_claim(key, digest, request_id, now)
        if isinstance(verdict, commands.OwnerRefused):
            # The others gave this daemon up while it was cut off. Its open claims are settled as
            # unknown; new ones are safe under a new number.
            self._incarnation = verdict.gone_incarnation + 1
            verdict = await self._propose_claim(key, digest, request_id, now)
        return verdict

    async def give_up_owner(self, running: commands.Running) -> None:
        """Makes the running calls of an owner that is lost unknown."""
        command = commands.OwnerGone(running.owner, running.owner_incarnation)
        try:
            await self._proposals.propose_ledger(command)
        except LedgerUnavailableError as error:
            raise refusals.refuse(
                refusals.Code.OUTCOME_UNKNOWN, str(error), refusals.Execution.UNKNOWN, 1.0
            ) from error

    async def complete(self, claim: Claim, answer: commands.Answer) -> None:
        """Stores the answer; keeps trying in the background if the ledger cannot commit now."""
        command = commands.Complete(
            claim.key, self._owner, claim.number, limits.limit_answer_size(answer)
        )
        await self._settle(command)

    async def release(self, claim: Claim) -> None:
        """Frees the key; only before anything was sent."""
        await self._settle(commands.Release(claim.key, self._owner, claim.number))

    async def abandon(self, claim: Claim) -> None:
        """Records that the result is unknown."""
        await self._settle(commands.Abandon(claim.key, self._owner, claim.number))

    async def stop(self) -> None:
        """Waits shortly for what is still to be settled."""
        if self._background:
            await asyncio.wait(self._background, timeout=RESOLVE_SECONDS)
        for task in list(self._background):
            task.cancel()

    async def _propose_claim(self, key: keys.Key, digest: bytes, request_id: str, now: int) -> Any:
        command = commands.Claim(key, digest, request_id, self._owner, self._incarnation, now)
        try:
            return await self._proposals.propose_ledger(command)
        except LedgerUnavailableError as error:
            self._spawn(self._withdraw(command))
            raise refusals.refuse(refusals.Code.LEDGER_UNAVAILABLE, str(error)) from error

    async def _settle(self, command: Any) -> None:
        try:
            await self._proposals.propose_ledger(command)
        except LedgerUnavailableError:
            self._spawn(self._insist(command))

    async def _insist(self, command: Any) -> Any:
        while True:
            try:
                return await self._proposals.propose_ledger(command)
            except LedgerUnavailableError:
                await asyncio.sleep(RESOLVE_SECONDS)

    async def _withdraw(self, command: commands.Claim) -> None:
        """Frees a key whose claim may have been committed although the caller was refused."""
        result = await self._insist(command)
        if isinstance(result, commands.Claimed):
            await self._insist(commands.Release(command.key, self._owner, result.claim))
            logging.info("request %s: late claim released", command.request_id)

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)


class OnceOnly:
    """Joins duplicates of a key to the running call, or to its stored answer.

    Parameters
    ----------
    ledger : Ledger
    owner : str
        This daemon.
    join_remote : callable
        Takes owner and request ID; waits until that daemon has settled the call, or returns early
        when it cannot be reached.
    is_lost : callable
        Takes an owner and its incarnation; returns whether the members have given it up.
    """

    def __init__(
        self,
        ledger: Ledger,
        owner: str,
        join_remote: Callable[[str, str], Awaitable[None]],
        is_lost: Callable[[str, int], bool],
    ) -> None:
        self._ledger = ledger
        self._owner = owner
        self._join_remote = join_remote
        self._is_lost = is_lost
        self._running: dict[str, asyncio.Event] = {}

    async def claim(self, key: keys.Key, digest: bytes) -> Claim | commands.Answer:
        """Returns a claim that entitles to send once, or the answer of the earlier call.

        Raises
        ------
        RefusedError
            Typed by what the ledger knows: `unknown`, reused, expired or unavailable.
        """
        request_id = uuid.uuid4().hex
        verdict = await self._ledger.claim(key, digest, request_id)
        if isinstance(verdict, commands.Running):
            await self._join(verdict)
            verdict = await self._ledger.claim(key, digest, request_id)
        match verdict:
            case commands.Claimed(number):
                self._running[request_id] = asyncio.Event()
                return Claim(key, request_id, number)
            case commands.Stored(answer=answer):
                return answer
            case _:
                raise _refusal(verdict)

    def settled(self, claim: Claim) -> None:
        """Wakes the duplicates that wait for a claim of this daemon."""
        self._running.pop(claim.request_id).set()

    async def wait_settled(self, request_id: str) -> None:
        """Waits until this daemon has settled a call; returns at once if it has."""
        event = self._running.get(request_id)
        if event is not None:
            await event.wait()

    async def _join(self, running: commands.Running) -> None:
        if self._is_lost(running.owner, running.owner_incarnation):
            await self._ledger.give_up_owner(running)
        elif running.owner == self._owner:
            await self.wait_settled(running.request_id)
        else:
            await self._join_remote(running.owner, running.request_id)


def _refusal(verdict: Any) -> refusals.RefusedError:
    unknown = refusals.Execution.UNKNOWN
    code = refusals.Code
    match verdict:
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
            raise AssertionError(f"unexpected verdict {verdict!r}")
