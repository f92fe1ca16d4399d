"""Adds and removes voters of both logs, one at a time, at whichever daemon leads."""

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

METHOD = "voters"
CHANGE_SECONDS = 20.0
# A follower learns of a commit with the next message, at the latest with a heartbeat.
SEEN_SECONDS = 2.0
SEEN_POLL_SECONDS = 0.01
# Time for an election after the leader is lost; as long as a proposal waits for a leader.
LEADER_SECONDS = 3.0
LEADER_POLL_SECONDS = 0.05


class VoterChangeError(errors.DaemonError):
    """A change of voters failed.

    Parameters
    ----------
    code : str
        Code of the operators' API.
    text : str
    execution : str
        ``not_run`` or ``unknown``.
    """

    def __init__(self, code: str, text: str, execution: str = "not_run") -> None:
        super().__init__(text)
        self.code = code
        self.execution = execution


class Change(msgspec.Struct, frozen=True):
    """A change that the leader of a log is asked to make."""

    log: str
    action: Literal["add", "remove"]
    replica: str
    address: str = ""
    zone: str = ""


class Outcome(msgspec.Struct, frozen=True):
    """What became of it; `code` is empty on success."""

    code: str = ""
    text: str = ""
    execution: str = "not_run"


_CODES: dict[type[Exception], tuple[str, str]] = {
    replication_errors.ZoneSpreadError: ("zone_majority", "not_run"),
    replication_errors.NotCaughtUpError: ("voter_not_caught_up", "not_run"),
    replication_errors.MembershipChangeError: ("voter_change_running", "not_run"),
    replication_errors.NotLeaderError: ("no_leader", "not_run"),
    replication_errors.QuorumLostError: ("no_leader", "not_run"),
    replication_errors.StoppedError: ("no_leader", "not_run"),
}


class VoterChanges:
    """Changes the voters of both logs.

    Parameters
    ----------
    logs : LogHost
    links : Links
    proposals : Proposer
        Knows the leaders.
    own_id : str
    """

    def __init__(
        self,
        logs: loghost.LogHost,
        links: links_module.Links,
        proposals: proposer.Proposer,
        own_id: str,
    ) -> None:
        self._logs = logs
        self._links = links
        self._proposals = proposals
        self._own_id = own_id
        links.serve(METHOD, self._serve)

    async def add(self, replica: str, address: str, zone: str) -> None:
        """Makes a replica a voter of both logs once it has caught up.

        Raises
        ------
        VoterChangeError
        """
        for log in loghost.LOGS:
            await self._request(Change(log, "add", replica, address, zone))
            await self._seen_here(log, replica, present=True)

    async def remove(self, replica: str) -> None:
        """Removes a replica from both logs; raises `VoterChangeError`."""
        for log in loghost.LOGS:
            await self._request(Change(log, "remove", replica))
            await self._seen_here(log, replica, present=False)

    async def _seen_here(self, log: str, replica: str, present: bool) -> None:
        """Waits shortly until this daemon's replica has the change that the leader committed.

        The operators' API answers with the voters that this replica knows.
        """
        task = self._logs.tasks.get(log)
        deadline = time.monotonic() + SEEN_SECONDS
        while task is not None and time.monotonic() < deadline:
            if (replica in task.status().voters) == present:
                return
            await asyncio.sleep(SEEN_POLL_SECONDS)

    async def _request(self, change: Change) -> None:
        outcome = await self._ask_leaders(change)
        if outcome.code:
            text = f"{change.log} log: {outcome.text}"
            raise VoterChangeError(outcome.code, text, outcome.execution)

    async def _ask_leaders(self, change: Change) -> Outcome:
        """Asks the leader, and its successor if the leader is lost before it answers."""
        outcome = Outcome("no_leader", "no leader is known")
        deadline = time.monotonic() + LEADER_SECONDS
        while True:
            leader = self._proposals.leader(change.log)
            if self._logs.leads(change.log):
                found = await self._carry_out(change)
            elif leader is not None and leader != self._own_id:
                found = await self._ask(leader, change)
            else:
                found = Outcome("no_leader", "no leader is known")
            if found.code == "voter_not_found" and outcome.execution == "unknown":
                # The leader that was lost had carried out the removal.
                return Outcome()
            # A refusal of the successor says nothing about what the lost leader was asked.
            if outcome.execution != "unknown" or found.code != "no_leader":
                outcome = found
            lost = found.code in ("no_leader", "outcome_unknown")
            if not lost or time.monotonic() >= deadline:
                return outcome
            await asyncio.sleep(LEADER_POLL_SECONDS)

    async def _ask(self, leader: str, change: Change) -> Outcome:
        payload = msgspec.msgpack.encode(change)
        call = asyncio.ensure_future(
            self._links.call(leader, METHOD, payload, CHANGE_SECONDS + 1.0)
        )
        # A call to a daemon that died unseen ends only with its time.
        succession = asyncio.ensure_future(self._succeeded(change.log, leader))
        try:
            await asyncio.wait([call, succession], return_when=asyncio.FIRST_COMPLETED)
            if not call.done():
                return Outcome("outcome_unknown", f"leader {leader!r} was lost", "unknown")
            return msgspec.msgpack.decode(call.result(), type=Outcome)
        except link_errors.PeerUnknownError as error:
            return Outcome("no_leader", str(error))
        except coordination_errors.CoordinationError as error:
            return Outcome("outcome_unknown", str(error), "unknown")
        finally:
            call.cancel()
            succession.cancel()

    async def _succeeded(self, log: str, leader: str) -> None:
        """Waits until this daemon no longer knows `leader` as the leader."""
        while self._proposals.leader(log) == leader:
            await asyncio.sleep(LEADER_POLL_SECONDS)

    async def _serve(self, sender: str, payload: bytes) -> bytes:
        change = msgspec.msgpack.decode(payload, type=Change)
        return msgspec.msgpack.encode(await self._carry_out(change))

    async def _carry_out(self, change: Change) -> Outcome:
        task = self._logs.tasks.get(change.log)
        if task is None or not self._logs.leads(change.log):
            return Outcome("no_leader", "this daemon does not lead the log")
        status = task.status()
        known = change.replica in task.members
        if change.action == "remove" and not known:
            return Outcome("voter_not_found", f"{change.replica!r} is not a member of the log")
        if change.action == "add" and change.replica in status.voters:
            return Outcome()
        try:
            if change.action == "remove":
                await task.remove(change.replica, CHANGE_SECONDS)
            else:
                if not known:
                    await task.add_learner(
                        change.replica, change.address, change.zone, CHANGE_SECONDS
                    )
                await task.promote(change.replica, CHANGE_SECONDS)
        except replication_errors.ReplicationError as error:
            code, execution = _CODES.get(type(error), ("outcome_unknown", "unknown"))
            return Outcome(code, str(error), execution)
        logging.info("%s log: voter %s: %s done", change.log, change.replica, change.action)
        return Outcome()
