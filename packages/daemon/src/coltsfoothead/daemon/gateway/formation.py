"""Forms the Raft group of the control log and keeps its number of voters."""

import asyncio
import dataclasses

import msgspec

from coltsfoothead.coordination.membership import voterplan
from coltsfoothead.coordination.replication import errors as replication_errors
from coltsfoothead.daemon.control import loghost
from coltsfoothead.daemon.gateway import clock, eventlog, exchange, leaderlink

__all__ = ["Formation"]

# The platform requires that the log survives two lost disks, which takes five voters.
TARGET_VOTERS = 5
# Interval at which a control process sends its join request, which is also its heartbeat.
JOIN_INTERVAL_SECONDS = 0.4
JOIN_TIMEOUT_SECONDS = 0.6
# Time without a join request after which a process no longer counts as live, and a standby may
# replace it as voter; a restart takes about 1.5 s.
MAX_SILENCE_SECONDS = 2.5
CHECK_INTERVAL_SECONDS = 0.2
CHANGE_TIMEOUT_SECONDS = 2.0


class Formation:
    """Sends join requests to the leader; as leader, admits, promotes and removes replicas.

    Parameters
    ----------
    logs : LogHost
    link : LeaderLink
    join_request : JoinRequest
        The request that this process sends.
    events : EventLog
    """

    def __init__(
        self,
        logs: loghost.LogHost,
        link: leaderlink.LeaderLink,
        join_request: exchange.JoinRequest,
        events: eventlog.EventLog,
    ) -> None:
        self._logs = logs
        self._link = link
        self._own_request = join_request
        self._events = events
        self._member_addresses: dict[str, str] = {}
        self._join_requests: dict[str, tuple[exchange.JoinRequest, float]] = {}

    @property
    def member_addresses(self) -> dict[str, str]:
        """Addresses of the log's members by replica ID, from the leader's latest answer."""
        return self._member_addresses

    def answer_join(self, payload: bytes) -> bytes:
        """Records an encoded join request and returns the encoded response."""
        request = exchange.decode_join_request(payload)
        self._join_requests[request.replica] = (request, clock.steady())
        members = {}
        if self._logs.leads(loghost.CONTROL):
            task = self._logs.tasks[loghost.CONTROL]
            members = {name: address for name, (address, _) in task.members.items()}
        return exchange.encode(exchange.JoinResponse(members))

    def live_controls(self) -> list[str]:
        """Returns the peer addresses of the live control processes."""
        now = clock.steady()
        live = [
            request.address
            for request, at in self._join_requests.values()
            if now - at <= MAX_SILENCE_SECONDS
        ]
        return sorted({self._own_request.address, *live})

    async def send_join_requests(self) -> None:
        """Sends join requests, while this process is not the leader, until cancelled."""
        payload = exchange.encode(self._own_request)
        while True:
            if not self._logs.leads(loghost.CONTROL):
                for target in self._link.targets()[:2]:
                    try:
                        answer = await self._link.call(
                            target, exchange.JOIN, payload, JOIN_TIMEOUT_SECONDS
                        )
                    except leaderlink.LeaderUnreachableError:
                        # The report exchanges with the same process count and log this failure.
                        continue
                    self._member_addresses = (
                        exchange.decode_join_response(answer).members or self._member_addresses
                    )
                    break
            await asyncio.sleep(JOIN_INTERVAL_SECONDS)

    async def manage_voters(self) -> None:
        """Changes the membership of the log, while this process is the leader, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            if not self._logs.tasks[loghost.CONTROL].accepts_member_changes:
                continue
            change = self._next_change()
            if change is None:
                continue
            try:
                await self._apply_change(change)
            except replication_errors.ReplicationError as error:
                self._events.write("voter_change_failed", change=str(change), cause=str(error))
            else:
                self._events.write("voter_change", **_describe(change))

    def _next_change(self) -> voterplan.Admit | voterplan.Promote | voterplan.Remove | None:
        task = self._logs.tasks[loghost.CONTROL]
        now = clock.steady()
        candidates = [
            voterplan.Candidate(each.replica, each.address, each.zone, now - at)
            for each, at in self._join_requests.values()
        ]
        own = self._own_request
        candidates.append(voterplan.Candidate(own.replica, own.address, own.zone, 0.0))
        members = task.members
        return voterplan.next_change(
            own.replica,
            {name: address for name, (address, _) in members.items()},
            task.status().voters,
            candidates,
            TARGET_VOTERS,
            MAX_SILENCE_SECONDS,
        )

    async def _apply_change(
        self, change: voterplan.Admit | voterplan.Promote | voterplan.Remove
    ) -> None:
        task = self._logs.tasks[loghost.CONTROL]
        match change:
            case voterplan.Admit(candidate):
                await task.add_learner(
                    candidate.replica, candidate.address, candidate.zone, CHANGE_TIMEOUT_SECONDS
                )
            case voterplan.Promote(replica):
                await task.promote(replica, CHANGE_TIMEOUT_SECONDS)
            case voterplan.Remove(replica):
                self._join_requests.pop(replica, None)
                await task.remove(replica, CHANGE_TIMEOUT_SECONDS)


def _describe(change: voterplan.Admit | voterplan.Promote | voterplan.Remove) -> dict[str, object]:
    fields = msgspec.to_builtins(dataclasses.asdict(change))
    return {"change": type(change).__name__.lower(), **fields}
