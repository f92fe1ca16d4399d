"""Operators' calls about rollouts, which the control leader executes for every control process."""

import msgspec

from coltsfoothead.coordination import errors as coordination_errors
from coltsfoothead.daemon import errors
from coltsfoothead.daemon.control import loghost
from coltsfoothead.daemon.gateway import eventlog, leaderlink, ports, termmanager
from coltsfoothead.daemon.gateway.rollouts import calls, leaderrollouts
from coltsfoothead.kernel.rollouts import orders

__all__ = ["ROLLOUT", "RolloutApi"]

ROLLOUT = "gateway.rollout"
# A step takes a commit of the log; operators' clients wait one second before they call another
# process, which gets the same answer.
FORWARD_TIMEOUT_SECONDS = 2.0


class _Call(msgspec.Struct, frozen=True):
    start: calls.StartRollout | None = None
    read: str = ""
    abort: str = ""


class _Result(msgspec.Struct, frozen=True):
    """The outcome of a call; the texts are those of the outcomes of `ports`."""

    state: calls.RolloutState | None = None
    conflict: str = ""
    rejected: str = ""
    invalid: str = ""
    unknown: str = ""
    unavailable: str = ""


_decode_call = msgspec.msgpack.Decoder(_Call).decode
_decode_result = msgspec.msgpack.Decoder(_Result).decode


class RolloutApi:
    """Executes the calls, as the leader or by forwarding them to it.

    Parameters
    ----------
    rollouts : LeaderRollouts or None
        None if rollouts are switched off; then all calls are unknown.
    logs : LogHost
    terms : TermManager
    link : LeaderLink
    events : EventLog
    """

    def __init__(
        self,
        rollouts: leaderrollouts.LeaderRollouts | None,
        logs: loghost.LogHost,
        terms: termmanager.TermManager,
        link: leaderlink.LeaderLink,
        events: eventlog.EventLog,
    ) -> None:
        self._rollouts = rollouts
        self._logs = logs
        self._terms = terms
        self._link = link
        self._events = events

    async def execute(
        self, call: calls.StartRollout | calls.ReadRollout | calls.AbortRollout
    ) -> ports.ControlOutcome:
        """Executes a call of an operator."""
        match call:
            case calls.StartRollout():
                encoded = _Call(start=call)
            case calls.ReadRollout(service):
                encoded = _Call(read=service)
            case calls.AbortRollout(service):
                encoded = _Call(abort=service)
        if self._rollouts is None:
            return ports.Unknown("rollouts are switched off")
        result = await self._forward(encoded)
        match result:
            case _Result(state=calls.RolloutState() as state):
                return state
            case _Result(conflict=text) if text:
                return calls.Conflict(text)
            case _Result(rejected=text) if text:
                return calls.Rejected(text)
            case _Result(invalid=text) if text:
                return ports.Invalid(text)
            case _Result(unknown=text) if text:
                return ports.Unknown(text)
        return ports.Unavailable(result.unavailable)

    async def serve(self, sender: str, payload: bytes) -> bytes:
        """Answers another control process's call, as the leader."""
        result = await self._execute_as_leader(_decode_call(payload))
        return msgspec.msgpack.encode(result)

    async def _forward(self, call: _Call) -> _Result:
        if self._logs.leads(loghost.CONTROL):
            return await self._execute_as_leader(call)
        leader = self._terms.leader_address()
        if leader is None:
            return _Result(unavailable="no leader is known")
        try:
            payload = msgspec.msgpack.encode(call)
            return _decode_result(
                await self._link.call(leader, ROLLOUT, payload, FORWARD_TIMEOUT_SECONDS)
            )
        except leaderlink.LeaderUnreachableError as error:
            return _Result(unavailable=str(error))

    async def _execute_as_leader(self, call: _Call) -> _Result:
        if self._rollouts is None or self._terms.current is None:
            return _Result(unavailable="this process does not lead")
        service = call.start.service if call.start is not None else call.read or call.abort
        try:
            if call.start is not None:
                rollout = await self._rollouts.start(
                    service, call.start.target, call.start.duration_seconds
                )
            elif call.abort:
                rollout = await self._rollouts.abort(service)
            else:
                rollout = await self._rollouts.state(service)
        except orders.RolloutError as error:
            self._events.write("rollout_refused", service=service, cause=str(error))
            return _refusal(error)
        except (coordination_errors.CoordinationError, errors.DaemonError) as error:
            self._events.warn("rollout_not_recorded", service=service, cause=str(error))
            return _Result(unavailable=str(error) or repr(error))
        if rollout is None:
            return _Result(unknown=f"rollout of {service!r}")
        return _Result(
            calls.RolloutState(
                service, rollout.order.target, rollout.phase, rollout.order.number, rollout.cause
            )
        )


def _refusal(error: orders.RolloutError) -> _Result:
    match error:
        case orders.OrderConflictError():
            return _Result(conflict=str(error))
        case orders.InvalidOrderError():
            return _Result(invalid=str(error))
        case _:
            return _Result(rejected=str(error))
