"""The waiting room of an entry: holds requests until they can be sent, or names a time to return.

Load pattern: for a moment, or for long, callers ask for more than the upstreams of a service can
start in time. Without a room a request that comes 50 ms too early is lost, and the refused callers
return together.
"""

import asyncio
import dataclasses
import enum
import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

from coltsfoothead.daemon import metrics as metrics_module
from coltsfoothead.daemon.gateway import clock, failures, ports, requeststate
from coltsfoothead.daemon.gateway.waiting import record
from coltsfoothead.kernel.traffic import overload
from coltsfoothead.kernel.waiting import appointments, queue, roomrate

__all__ = ["RoomRateSource", "WaitingRoom"]

# Returns the requests a second of a service for which this entry has room; None if not known.
RoomRateSource = Callable[[str, float], float | None]
# While a request has been refused within this time, callers that repeat early are refused unheard.
CONTENDED_SECONDS = 1.0
# Length in hexadecimal digits of the digest by which repetitions are recognised.
KEY_DIGITS = 8

_Result = TypeVar("_Result")


class _Call(enum.Enum):
    """Why a waiting request is called."""

    TURN = enum.auto()
    HOPELESS = enum.auto()
    STOPPING = enum.auto()


@dataclasses.dataclass(slots=True)
class _Line:
    """The requests for one service that wait, and the schedule of those that were refused."""

    waiting: queue.WaitingQueue
    schedule: appointments.Schedule
    rate: roomrate.RoomRate = dataclasses.field(default_factory=roomrate.RoomRate)
    calls: dict[queue.Place, asyncio.Future[_Call]] = dataclasses.field(default_factory=dict)
    verdict: overload.AdmissionDecision | None = None
    refused_at: float = float("-inf")
    # The place that is being tried, and whether room arose meanwhile.
    trying: queue.Place | None = None
    released: bool = False


def _no_rate(service: str, now: float) -> float | None:
    return None


class WaitingRoom:
    """Lets first attempts that are refused for overload wait, or tells their callers when to come.

    Parameters
    ----------
    bounds : Bounds
        Bounds of the requests that wait for one service.
    metrics : Metrics
    rng : random.Random
    room_rate : callable, optional
        Takes a service and a steady time, and returns the requests a second for which this
        entry has room. While it returns None the rate of this entry's admissions counts.
    """

    def __init__(
        self,
        bounds: queue.Bounds,
        metrics: metrics_module.Metrics,
        rng: random.Random,
        room_rate: RoomRateSource = _no_rate,
    ) -> None:
        self._bounds = bounds
        self._metrics = metrics
        self._rng = rng
        self._room_rate = room_rate
        self._lines: dict[str, _Line] = {}
        self._book = appointments.AppointmentBook()
        self._stopping: Callable[[requeststate.RequestState], failures.RefusedError] | None = None

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait."""
        return sum(len(line.waiting) for line in self._lines.values())

    async def select(
        self,
        state: requeststate.RequestState,
        select: Callable[[requeststate.RequestState], Awaitable[_Result]],
    ) -> _Result:
        """Selects an upstream for a request, perhaps after a wait for its turn.

        Parameters
        ----------
        state : RequestState
        select : callable
            Selects an upstream, or raises `OverloadedError`.

        Raises
        ------
        RefusedError
            If the request cannot be sent, or not in time.
        """
        if state.prompt is None or state.sent_count or state.origin is not None:
            return await select(state)
        now = _now()
        line = self._line(state.service)
        key = _key(state)
        self._refuse_early(state, line, key, now)
        if state.wait is None:
            state.wait = record.WaitRecord(appointed=self._book.keep(key, now))
        place = queue.Place(
            state.wait.appointed,
            state.urgency,
            _useful_until(state, line.verdict),
            len(state.request.body),
        )
        verdict = line.verdict
        if verdict is None or not self._waits_behind(state.service, line, place, verdict, now):
            try:
                result = await select(state)
            except failures.OverloadedError as refused:
                verdict = line.verdict = refused.verdict
                place.useful_until = _useful_until(state, verdict)
            else:
                line.rate.record_admission(_now())
                return result
        return await self._wait(state, line, place, verdict, select)

    def release(self, service: str) -> None:
        """Tries the next waiting request of a service, as room may have arisen."""
        line = self._lines.get(service)
        if line is not None and line.waiting:
            self._dismiss_hopeless(service, line)
            self._call_next(line)

    def release_all(self) -> None:
        """Tries the next waiting request of every service."""
        for service in self._lines:
            self.release(service)

    def stop(self, refusal: Callable[[requeststate.RequestState], failures.RefusedError]) -> None:
        """Ends all waits, and lets no request wait from now on.

        Parameters
        ----------
        refusal : callable
            Returns the refusal of a request that this entry no longer serves.
        """
        self._stopping = refusal
        for line in self._lines.values():
            for call in line.calls.values():
                _call(call, _Call.STOPPING)

    def report(self) -> tuple[appointments.Appointment, ...]:
        """Returns the appointments that the leader does not know."""
        return self._book.report(_now())

    def receive(self, others: tuple[appointments.Appointment, ...]) -> None:
        """Applies the leader's answer: appointments of other entries, and perhaps new room."""
        self._book.confirm()
        self._book.receive(others, _now())
        self.release_all()

    def _line(self, service: str) -> _Line:
        line = self._lines.get(service)
        if line is None:
            line = _Line(queue.WaitingQueue(self._bounds), appointments.Schedule(self._rng))
            self._lines[service] = line
        return line

    def _rate(self, service: str, line: _Line, now: float) -> float | None:
        rate = self._room_rate(service, clock.steady())
        return rate if rate is not None else line.rate.rate(now)

    def _refuse_early(
        self, state: requeststate.RequestState, line: _Line, key: int, now: float
    ) -> None:
        """Refuses a caller that repeats before its time, which it is told again."""
        due = self._book.due(key, now)
        contended = bool(line.waiting) or now - line.refused_at < CONTENDED_SECONDS
        if due is None or not contended or now >= due - appointments.EARLY_SECONDS:
            return
        if due - now > appointments.latest_return(state.deadline - now):
            # Its caller would not wait for that time, and counts as a new one.
            return
        self._metrics.count("returned_early")
        state.wait = record.WaitRecord(due_seconds=due - now)
        refusal = ports.Refusal(ports.RefusalReason.OVERLOADED, due - now)
        raise failures.RefusedError(refusal, "returned before its time")

    def _waits_behind(
        self,
        service: str,
        line: _Line,
        place: queue.Place,
        verdict: overload.AdmissionDecision,
        now: float,
    ) -> bool:
        """Returns whether a newcomer joins the queue without being tried.

        One without hope there is tried, as its limits may be looser than those of the requests
        that wait.
        """
        rate = self._rate(service, line, now)
        return line.waiting.goes_before(place) and line.waiting.has_hope(
            place, now, _backlog_seconds(verdict), rate
        )

    async def _wait(
        self,
        state: requeststate.RequestState,
        line: _Line,
        place: queue.Place,
        verdict: overload.AdmissionDecision,
        select: Callable[[requeststate.RequestState], Awaitable[_Result]],
    ) -> _Result:
        assert state.wait is not None
        began_at = now = _now()
        if self._stopping is not None:
            raise self._stopping(state)
        state.wait.position = line.waiting.position(place)
        rate = self._rate(state.service, line, now)
        for leaving in line.waiting.join(place, now, _backlog_seconds(verdict), rate):
            if leaving is place:
                self._metrics.count("waiting_hopeless")
                raise self._refusal(state, line, verdict)
            _call(line.calls[leaving], _Call.HOPELESS)
        line.calls[place] = asyncio.get_running_loop().create_future()
        self._metrics.count("waiting_now")
        try:
            while True:
                match await self._next_call(line, place):
                    case _Call.TURN:
                        line.calls[place] = asyncio.get_running_loop().create_future()
                        try:
                            result = await select(state)
                        except (failures.OverloadedError, failures.AtLimitsError) as refused:
                            if isinstance(refused, failures.OverloadedError):
                                verdict = line.verdict = refused.verdict
                            line.trying = None
                            if line.released:
                                self._call_next(line)
                            continue
                        line.rate.record_admission(_now())
                        return result
                    case _Call.HOPELESS:
                        self._metrics.count("waited_in_vain")
                        raise self._refusal(state, line, verdict)
                    case _Call.STOPPING:
                        assert self._stopping is not None
                        raise self._stopping(state)
        finally:
            waited_seconds = _now() - began_at
            state.wait.waited_seconds = (state.wait.waited_seconds or 0.0) + waited_seconds
            self._metrics.count("waiting_now", -1)
            self._metrics.record("waited_us", waited_seconds * 1e6)
            line.calls.pop(place, None)
            line.waiting.leave(place)
            if line.trying is place:
                # Where one was admitted there may be room for the next; a turn that its request
                # did not use is passed on.
                line.trying = None
                self._call_next(line)

    @staticmethod
    async def _next_call(line: _Line, place: queue.Place) -> _Call:
        """Waits until a request is called, at the latest when waiting has become useless."""
        try:
            async with asyncio.timeout_at(place.useful_until):
                return await line.calls[place]
        except TimeoutError:
            return _Call.HOPELESS

    def _call_next(self, line: _Line) -> None:
        """Calls the first waiting request; only one is tried at a time."""
        head = line.waiting.head
        if head is None:
            line.released = False
        elif line.trying is not None:
            line.released = True
        else:
            line.released = False
            line.trying = head
            _call(line.calls[head], _Call.TURN)

    def _dismiss_hopeless(self, service: str, line: _Line) -> None:
        """Ends the waits that have lost their hope; those with the least time are told first."""
        now = _now()
        hopeless = line.waiting.remove_hopeless(now, self._rate(service, line, now))
        for place in sorted(hopeless, key=lambda each: each.useful_until):
            _call(line.calls[place], _Call.HOPELESS)

    def _refusal(
        self,
        state: requeststate.RequestState,
        line: _Line,
        verdict: overload.AdmissionDecision,
    ) -> failures.RefusedError:
        """Returns the refusal of a request, with the time at which its caller should return."""
        assert state.wait is not None
        now = _now()
        line.refused_at = now
        rate = self._rate(state.service, line, now)
        after_seconds = _backlog_seconds(verdict)
        if rate is not None:
            after_seconds = max(after_seconds, len(line.waiting) / rate)
        latest_seconds = appointments.latest_return(state.deadline - now)
        delay = line.schedule.take_slot(now, latest_seconds, rate, after_seconds)
        self._book.add(_key(state), now + delay, now)
        state.wait.due_seconds = delay
        rate_text = f"{rate:.2f}" if rate is not None else "unknown"
        return failures.RefusedError(
            ports.Refusal(ports.RefusalReason.OVERLOADED, delay),
            f"{verdict.cause}; {len(line.waiting)} wait, admissions per second {rate_text}",
        )


def _now() -> float:
    return asyncio.get_running_loop().time()


def _key(state: requeststate.RequestState) -> int:
    return int(state.request_digest[:KEY_DIGITS], 16)


def _call(call: asyncio.Future[_Call], reason: _Call) -> None:
    if not call.done():
        call.set_result(reason)


def _start_seconds(verdict: overload.AdmissionDecision) -> float:
    """Returns the expected time to the start of an answer, once its request is admitted."""
    return min(verdict.expected_start_seconds, verdict.limit_seconds)


def _backlog_seconds(verdict: overload.AdmissionDecision) -> float:
    """Returns the time in which the best upstream processes what it has too much of."""
    return max(0.0, verdict.expected_start_seconds - verdict.limit_seconds)


def _useful_until(
    state: requeststate.RequestState, verdict: overload.AdmissionDecision | None
) -> float:
    """Returns the latest time at which a request can be sent to be answered in time."""
    goal_seconds = state.route.goal_seconds or overload.DEFAULT_GOAL_SECONDS
    latest = min(state.arrived_at + goal_seconds, state.deadline)
    return latest - _start_seconds(verdict) if verdict is not None else latest
