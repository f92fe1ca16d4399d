"""Forms the Raft group of the control log and keeps its number of voters."""

import asyncio
import contextlib
import dataclasses

import msgspec

from coltsfoothead.coordination.membership import listening, voterplan
from coltsfoothead.coordination.replication import errors as replication_errors
from coltsfoothead.daemon.control import loghost
from coltsfoothead.daemon.gateway import clock, eventlog, exchange, leaderlink

__all__ = ["Formation"]

# The platform requires that the log survives two lost disks, which takes five voters.
TARGET_VOTERS = 5
# Interval at which a control process sends its join request, which is also its heartbeat.
JOIN_INTERVAL_SECONDS = 0.4
JOIN_TIMEOUT_SECONDS = 0.6
# Time without a message after which a process no longer counts as live, and a standby may replace
# it as voter; a restart takes about 1.5 s.
MAX_SILENCE_SECONDS = 2.5
CHECK_INTERVAL_SECONDS = 0.2
# Longest pause between two readings of the listening clock that counts as time spent listening.
MAX_LISTENING_STEP_SECONDS = 2 * CHECK_INTERVAL_SECONDS
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
        # The newest join request of each replica.
        self._join_requests: dict[str, exchange.JoinRequest] = {}
        self._listening = listening.ListeningClock(MAX_LISTENING_STEP_SECONDS, clock.steady())
        # Time of the listening clock at which each replica was last heard.
        self._heard_at: dict[str, float] = {}
        # Times of the replicas' responses in the log, as seen at the last check.
        self._response_times: dict[str, float] = {}
        # Role and term of this process, and the listening clock's time at which they began.
        self._role_and_term: tuple[str, int] | None = None
        self._term_began_at = 0.0

    @property
    def member_addresses(self) -> dict[str, str]:
        """Addresses of the log's members by replica ID, from the leader's latest answer."""
        return self._member_addresses

    def answer_join(self, payload: bytes) -> bytes:
        """Records an encoded join request and returns the encoded response."""
        request = exchange.decode_join_request(payload)
        if request.leads and not self._logs.tasks[loghost.CONTROL].members:
            # This process has an empty disk, and the processes that it asks may all know nobody.
            self._link.set_leader(request.address)
        # A process whose disk was lost has a new replica ID at its old address.
        for name in [
            name for name, each in self._join_requests.items() if each.address == request.address
        ]:
            del self._join_requests[name]
        self._join_requests[request.replica] = request
        self._heard_at[request.replica] = self._listening.read(clock.steady())
        members = {}
        if self._logs.leads(loghost.CONTROL):
            task = self._logs.tasks[loghost.CONTROL]
            members = {name: address for name, (address, _) in task.members.items()}
        return exchange.encode(exchange.JoinResponse(members))

    def live_controls(self) -> list[str]:
        """Returns the peer addresses of the control processes that are not known to be silent."""
        listened = self._listening.read(clock.steady())
        live = [
            request.address
            for name, request in self._join_requests.items()
            if self._silent_seconds(name, listened) <= MAX_SILENCE_SECONDS
        ]
        # Only the leader hears all members, once it has led for some time.
        leads = self._role_and_term is not None and self._role_and_term[0] == "leader"
        led_seconds = listened - self._term_began_at if leads else 0.0
        live += [
            address
            for name, (address, _) in self._logs.tasks[loghost.CONTROL].members.items()
            if min(self._silent_seconds(name, listened), led_seconds) <= MAX_SILENCE_SECONDS
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

    def unheard_addresses(self) -> list[str]:
        """Returns the addresses of seeds and members from which nothing has been heard for long.

        Processes with empty disks run there, perhaps, and know only each other: a process asks the
        seeds to join, and all of these may have lost their disks one after the other.
        """
        listened = self._listening.read(clock.steady())
        if listened - self._term_began_at <= MAX_SILENCE_SECONDS:
            return []
        members = self._logs.tasks[loghost.CONTROL].members
        known = {name: address for name, (address, _) in members.items()}
        known |= {name: each.address for name, each in self._join_requests.items()}
        heard = {
            address
            for name, address in known.items()
            if self._silent_seconds(name, listened) <= MAX_SILENCE_SECONDS
        }
        addresses = {*self._link.seeds, *(address for address, _ in members.values())}
        return sorted(addresses - heard - {self._own_request.address})

    async def announce_leader(self) -> None:
        """Tells processes that are not heard who leads, while this one does, until cancelled."""
        payload = exchange.encode(msgspec.structs.replace(self._own_request, leads=True))
        turn = 0
        while True:
            unheard = self.unheard_addresses() if self._logs.leads(loghost.CONTROL) else []
            if unheard:
                turn += 1
                target = unheard[turn % len(unheard)]
                with contextlib.suppress(leaderlink.LeaderUnreachableError):
                    # Whoever does not run at the address is asked again in turn.
                    await self._link.call(target, exchange.JOIN, payload, JOIN_TIMEOUT_SECONDS)
                    self._events.write("leader_announced", target=target)
            await asyncio.sleep(JOIN_INTERVAL_SECONDS)

    async def manage_voters(self) -> None:
        """Changes the membership of the log, while this process is the leader, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            self._observe()
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

    def _observe(self) -> None:
        """Records changes of role and term, and the replicas that have responded in the log."""
        listened = self._listening.read(clock.steady())
        task = self._logs.tasks[loghost.CONTROL]
        status = task.status()
        if self._role_and_term != (status.role, status.term):
            self._role_and_term = (status.role, status.term)
            self._term_began_at = listened
        response_times = task.peer_response_times()
        for name, at in response_times.items():
            if at != self._response_times.get(name):
                self._heard_at[name] = listened
        self._response_times = response_times

    def _silent_seconds(self, replica: str, listened: float) -> float:
        """Returns for how long a replica has not been heard; infinite if it never was."""
        return listened - self._heard_at.get(replica, float("-inf"))

    def _next_change(self) -> voterplan.Admit | voterplan.Promote | voterplan.Remove | None:
        task = self._logs.tasks[loghost.CONTROL]
        members = task.members
        listened = self._listening.read(clock.steady())
        own = self._own_request
        known = {
            name: exchange.JoinRequest(name, address, zone)
            for name, (address, zone) in members.items()
        }
        candidates = [
            voterplan.Candidate(name, each.address, each.zone, self._silent_seconds(name, listened))
            for name, each in {**known, **self._join_requests}.items()
            if name != own.replica
        ]
        candidates.append(voterplan.Candidate(own.replica, own.address, own.zone, 0.0))
        return voterplan.next_change(
            own.replica,
            {name: address for name, (address, _) in members.items()},
            task.status().voters,
            candidates,
            listened - self._term_began_at,
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
