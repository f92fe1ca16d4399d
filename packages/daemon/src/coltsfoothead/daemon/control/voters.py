"""Adds and removes voters of both logs, one at a time, through the leader of each log."""

import asyncio
import time
from typing import Literal

import msgspec
from absl import logging

from coltsfoothead.coordination import errors as coordination_errors
from coltsfoothead.coordination.replication import errors as replication_errors
from coltsfoothead.coordination.transport import errors as link_errors
from coltsfoothead.coordination.transport import links as links_module
from coltsfoothead.daemon import errors
from coltsfoothead.daemon.control import loghost, proposer

__all__ = ["VoterChangeError", "VoterChanges"]

CHANGE_METHOD = "voters"
CHANGE_TIMEOUT_SECONDS = 20.0
# Longest wait for the local replica to apply a committed change; a follower learns of a commit with
# the leader's next message, at the latest with a heartbeat.
APPLY_WAIT_SECONDS = 2.0
APPLY_POLL_SECONDS = 0.01
# Time for an election after the leader is lost; equal to the default timeout of a proposal.
ELECTION_WAIT_SECONDS = 3.0
LEADER_POLL_SECONDS = 0.05


class VoterChangeError(errors.DaemonError):
    """A change of voters failed.

    Parameters
    ----------
    code : str
        Error code in the operators' API.
    text : str
        Message for the operator.
    execution : str
        ``not_run`` if the change had no effect, ``unknown`` if it may have taken effect.
    """

    def __init__(self, code: str, text: str, execution: str = "not_run") -> None:
        super().__init__(text)
        self.code = code
        self.execution = execution


class Change(msgspec.Struct, frozen=True):
    """Request to the leader of a log to add or remove a voter."""

    log: str
    action: Literal["add", "remove"]
    replica: str
    address: str = ""
    zone: str = ""


class Outcome(msgspec.Struct, frozen=True):
    """Outcome of a `Change`; `code` is empty on success."""

    code: str = ""
    text: str = ""
    execution: str = "not_run"


_ERROR_CODES: dict[type[Exception], tuple[str, str]] = {
    replication_errors.ZoneSpreadError: ("zone_majority", "not_run"),
    replication_errors.NotCaughtUpError: ("voter_not_caught_up", "not_run"),
    replication_errors.MembershipChangeError: ("voter_change_running", "not_run"),
    replication_errors.NotLeaderError: ("no_leader", "not_run"),
    replication_errors.QuorumLostError: ("no_leader", "not_run"),
    replication_errors.StoppedError: ("no_leader", "not_run"),
}


class VoterChanges:
    """Adds and removes voters of both logs.

    Parameters
    ----------
    logs : LogHost
    links : Links
    log_proposer : Proposer
        Supplies the known leader of each log.
    own_id : str
    """

    def __init__(
        self,
        logs: loghost.LogHost,
        links: links_module.Links,
        log_proposer: proposer.Proposer,
        own_id: str,
    ) -> None:
        self._logs = logs
        self._links = links
        self._proposer = log_proposer
        self._own_id = own_id
        links.serve(CHANGE_METHOD, self._serve_change)

    async def add(self, replica: str, address: str, zone: str) -> None:
        """Makes a replica a voter of both logs once it has caught up.

        Raises
        ------
        VoterChangeError
            If a log refused the change, or if its outcome is unknown.
        """
        for log in loghost.LOGS:
            await self._request(Change(log, "add", replica, address, zone))
            await self._wait_applied_locally(log, replica, present=True)

    async def remove(self, replica: str) -> None:
        """Removes a replica from both logs.

        Raises
        ------
        VoterChangeError
            If a log refused the change, or if its outcome is unknown.
        """
        for log in loghost.LOGS:
            await self._request(Change(log, "remove", replica))
            await self._wait_applied_locally(log, replica, present=False)

    async def _wait_applied_locally(self, log: str, replica: str, present: bool) -> None:
        """Waits at most `APPLY_WAIT_SECONDS` until this daemon's replica has applied the change.

        The operators' API answers with the voters that the local replica knows.
        """
        task = self._logs.tasks.get(log)
        deadline = time.monotonic() + APPLY_WAIT_SECONDS
        while task is not None and time.monotonic() < deadline:
            if (replica in task.status().voters) == present:
                return
            await asyncio.sleep(APPLY_POLL_SECONDS)

    async def _request(self, change: Change) -> None:
        outcome = await self._request_from_leaders(change)
        if outcome.code:
            text = f"{change.log} log: {outcome.text}"
            raise VoterChangeError(outcome.code, text, outcome.execution)

    async def _request_from_leaders(self, change: Change) -> Outcome:
        """Requests the change from the leader, or from its successor if the leader is lost.

        Returns
        -------
        Outcome
            Outcome of the last attempt; an unknown outcome is not replaced by ``no_leader``.
        """
        outcome = Outcome("no_leader", "no leader is known")
        deadline = time.monotonic() + ELECTION_WAIT_SECONDS
        while True:
            leader = self._proposer.leader(change.log)
            if self._logs.leads(change.log):
                attempt = await self._execute(change)
            elif leader is not None and leader != self._own_id:
                attempt = await self._call_leader(leader, change)
            else:
                attempt = Outcome("no_leader", "no leader is known")
            if attempt.code == "voter_not_found" and outcome.execution == "unknown":
                # The lost leader had committed the removal.
                return Outcome()
            # That there is no new leader yet does not tell whether the lost leader made the change.
            if outcome.execution != "unknown" or attempt.code != "no_leader":
                outcome = attempt
            leader_lost = attempt.code in ("no_leader", "outcome_unknown")
            if not leader_lost or time.monotonic() >= deadline:
                return outcome
            await asyncio.sleep(LEADER_POLL_SECONDS)

    async def _call_leader(self, leader: str, change: Change) -> Outcome:
        payload = msgspec.msgpack.encode(change)
        call = asyncio.ensure_future(
            self._links.call(leader, CHANGE_METHOD, payload, CHANGE_TIMEOUT_SECONDS + 1.0)
        )
        # A call to a daemon whose failure is not detected yet ends only with its timeout.
        leader_changed = asyncio.ensure_future(self._wait_leader_changed(change.log, leader))
        try:
            await asyncio.wait([call, leader_changed], return_when=asyncio.FIRST_COMPLETED)
            if not call.done():
                return Outcome("outcome_unknown", f"leader {leader!r} was lost", "unknown")
            return msgspec.msgpack.decode(call.result(), type=Outcome)
        except link_errors.PeerUnknownError as error:
            return Outcome("no_leader", str(error))
        except coordination_errors.CoordinationError as error:
            return Outcome("outcome_unknown", str(error), "unknown")
        finally:
            call.cancel()
            leader_changed.cancel()

    async def _wait_leader_changed(self, log: str, leader: str) -> None:
        """Waits until this daemon no longer considers `leader` the leader of the log."""
        while self._proposer.leader(log) == leader:
            await asyncio.sleep(LEADER_POLL_SECONDS)

    async def _serve_change(self, sender: str, payload: bytes) -> bytes:
        change = msgspec.msgpack.decode(payload, type=Change)
        return msgspec.msgpack.encode(await self._execute(change))

    async def _execute(self, change: Change) -> Outcome:
        task = self._logs.tasks.get(change.log)
        if task is None or not self._logs.leads(change.log):
            return Outcome("no_leader", "this daemon does not lead the log")
        status = task.status()
        is_member = change.replica in task.members
        if change.action == "remove" and not is_member:
            return Outcome("voter_not_found", f"{change.replica!r} is not a member of the log")
        if change.action == "add" and change.replica in status.voters:
            return Outcome()
        try:
            if change.action == "remove":
                await task.remove(change.replica, CHANGE_TIMEOUT_SECONDS)
            else:
                if not is_member:
                    await task.add_learner(
                        change.replica, change.address, change.zone, CHANGE_TIMEOUT_SECONDS
                    )
                await task.promote(change.replica, CHANGE_TIMEOUT_SECONDS)
        except replication_errors.ReplicationError as error:
            code, execution = _ERROR_CODES.get(type(error), ("outcome_unknown", "unknown"))
            return Outcome(code, str(error), execution)
        logging.info("%s log: voter %s: %s committed", change.log, change.replica, change.action)
        return Outcome()
