"""Forms the group of voters and keeps it at its size."""

import asyncio
import dataclasses

import msgspec

from coltsfoothead.coordination.membership import voterplan
from coltsfoothead.coordination.replication import errors as replication_errors
from coltsfoothead.daemon.control import loghost
from coltsfoothead.daemon.gateway import clock, eventlog, exchange, leaderlink

__all__ = ["Formation"]

# Five voters survive two lost disks, which is what the platform asks for.
VOTERS = 5
# Interval at which control processes show the leader that they live.
JOIN_SECONDS = 0.4
JOIN_TIMEOUT_SECONDS = 0.6
# A voter that is silent for longer may be replaced by a standby; a restart takes about 1.5 s.
PATIENCE_SECONDS = 2.5
STEP_SECONDS = 0.2
CHANGE_SECONDS = 2.0


class Formation:
    """Shows this process to the leader; as leader, admits and removes voters.

    Parameters
    ----------
    logs : LogHost
    link : LeaderLink
    joining : JoinRequest
        What this process says of itself.
    events : EventLog
    """

    def __init__(
        self,
        logs: loghost.LogHost,
        link: leaderlink.LeaderLink,
        joining: exchange.JoinRequest,
        events: eventlog.EventLog,
    ) -> None:
        self._logs = logs
        self._link = link
        self._joining = joining
        self._events = events
        self._told: dict[str, str] = {}
        self._heard: dict[str, tuple[exchange.JoinRequest, float]] = {}

    @property
    def told(self) -> dict[str, str]:
        """Addresses of the members that the leader named last."""
        return self._told

    def heard(self, payload: bytes) -> bytes:
        """Takes a process's sign of life and returns the answer."""
        joining = exchange.decode_join_request(payload)
        self._heard[joining.replica] = (joining, clock.steady())
        members = {}
        if self._logs.leads(loghost.CONTROL):
            task = self._logs.tasks[loghost.CONTROL]
            members = {name: address for name, (address, _) in task.members.items()}
        return exchange.encode(exchange.JoinResponse(members))

    def controls(self) -> list[str]:
        """Returns the peer addresses of the live control processes."""
        now = clock.steady()
        live = [
            joining.address for joining, at in self._heard.values() if now - at <= PATIENCE_SECONDS
        ]
        return sorted({self._joining.address, *live})

    async def show(self) -> None:
        """Shows this process to the leader until cancelled."""
        payload = exchange.encode(self._joining)
        while True:
            if not self._logs.leads(loghost.CONTROL):
                for target in self._link.targets()[:2]:
                    try:
                        answer = await self._link.ask(
                            target, exchange.JOIN, payload, JOIN_TIMEOUT_SECONDS
                        )
                    except leaderlink.LeaderUnreachableError:
                        # Counted and logged by the exchanges with the same process.
                        continue
                    self._told = exchange.decode_join_response(answer).members or self._told
                    break
            await asyncio.sleep(JOIN_SECONDS)

    async def keep(self) -> None:
        """Changes the voters, while this process leads, until cancelled."""
        while True:
            await asyncio.sleep(STEP_SECONDS)
            if not self._logs.leads(loghost.CONTROL):
                continue
            change = self._next_change()
            if change is None:
                continue
            try:
                await self._carry_out(change)
            except replication_errors.ReplicationError as error:
                self._events.write("voter_change_failed", change=str(change), cause=str(error))
            else:
                self._events.write("voter_change", **_describe(change))

    def _next_change(self) -> voterplan.Admit | voterplan.Promote | voterplan.Remove | None:
        task = self._logs.tasks[loghost.CONTROL]
        now = clock.steady()
        candidates = [
            voterplan.Candidate(each.replica, each.address, each.zone, now - at)
            for each, at in self._heard.values()
        ]
        own = self._joining
        candidates.append(voterplan.Candidate(own.replica, own.address, own.zone, 0.0))
        members = task.members
        return voterplan.next_change(
            own.replica,
            {name: address for name, (address, _) in members.items()},
            task.status().voters,
            candidates,
            VOTERS,
            PATIENCE_SECONDS,
        )

    async def _carry_out(
        self, change: voterplan.Admit | voterplan.Promote | voterplan.Remove
    ) -> None:
        task = self._logs.tasks[loghost.CONTROL]
        match change:
            case voterplan.Admit(candidate):
                await task.add_learner(
                    candidate.replica, candidate.address, candidate.zone, CHANGE_SECONDS
                )
            case voterplan.Promote(replica):
                await task.promote(replica, CHANGE_SECONDS)
            case voterplan.Remove(replica):
                self._heard.pop(replica, None)
                await task.remove(replica, CHANGE_SECONDS)


def _describe(change: voterplan.Admit | voterplan.Promote | voterplan.Remove) -> dict[str, object]:
    fields = msgspec.to_builtins(dataclasses.asdict(change))
    return {"change": type(change).__name__.lower(), **fields}
