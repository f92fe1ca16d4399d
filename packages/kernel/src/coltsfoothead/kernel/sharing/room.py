"""Room of one service: the work a second that its upstreams can begin in time.

Upstreams are faster or slower than nominal, so the room is not computed from their number. It
follows from the work that was admitted and from the work that waits for them: what was served is
what was admitted without the growth of the backlog, and the room is this, changed so that the
backlog comes to the greatest one that still starts within the objective.
"""

import dataclasses
import enum

from coltsfoothead.kernel.sharing import averages

__all__ = ["Change", "Observation", "Room"]

# Time constant of the served rate; longer than the exchanges of the entries.
SMOOTHING_SECONDS = 1.5
# Time in which the backlog comes to its target. Reports, division and answers take up to 1 s.
HORIZON_SECONDS = 1.5
# Fraction of the objective that the backlog may take, the one at which the load shedding refuses
# the routes of lowest priority.
BACKLOG_FRACTION = 0.5
# Served rate that is assumed of each upstream at least, as a fraction of nominal, so that a few
# long prompts at upstreams without other requests are no backlog.
LEAST_SPEED = 0.5
# Served rate of each upstream at most, as a multiple of nominal. Work that is admitted but does not
# wait counts as served, also when a caller has named a longer answer than it gets.
MOST_SPEED = 4.0
# Room for each upstream at least, as a fraction of nominal; without it, a service that served
# nothing for a moment would not be asked again.
LEAST_ROOM = 0.2
# Room as a fraction of the served rate at least; a long backlog may take its time to drain, as its
# answers are late anyway, and upstreams without work would be lost room.
LEAST_SERVED_FRACTION = 0.5
# Refused fraction of the offered work from which room is short.
REFUSED_FRACTION = 0.03
# Room is short once the backlog has exceeded its target, and this many of the largest recent
# requests, for some time: a long prompt that waits for its own reading is no lack of room.
BACKLOG_SECONDS = 0.5
LARGEST_REQUESTS = 2.0
# Room is no longer short after this much less than the room was offered, almost nothing refused,
# and a small fraction of the target waited, for some time.
CALM_OFFERED_FRACTION = 0.9
CALM_REFUSED_FRACTION = 0.01
CALM_BACKLOG_FRACTION = 0.7
CALM_SECONDS = 3.0


class Change(enum.Enum):
    """How a service's room has changed."""

    SHORT = enum.auto()
    SUFFICIENT = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """What the leader knows of a service since the last update.

    Attributes
    ----------
    offered, admitted : float
        Work in runner-seconds.
    backlog : float
        Work that waits now, in runner-seconds.
    upstreams : int
        Upstreams that are ready.
    goal_seconds : float
        Objective of the time to the start of an answer.
    largest : float
        Work of the largest recent request, in runner-seconds.
    """

    offered: float
    admitted: float
    backlog: float
    upstreams: int
    goal_seconds: float
    largest: float = 0.0


class Room:
    """Finds the room of a service from successive observations, and whether it is short."""

    def __init__(self) -> None:
        self._averages: averages.RateAverages[str] = averages.RateAverages(SMOOTHING_SECONDS)
        self._backlog: float | None = None
        self._upstreams = 0
        self._target = 0.0
        self._usual_backlog = 0.0
        self._rate = 0.0
        self._exceeded_seconds: float | None = None
        self._calm_seconds = 0.0
        self._short = False

    @property
    def short(self) -> bool:
        """Whether answers would start late or work is refused if nothing were limited."""
        return self._short

    @property
    def rate(self) -> float:
        """Work that may be admitted, in runner-seconds a second."""
        return self._rate

    @property
    def offered_rate(self) -> float:
        """Work that callers ask for, in runner-seconds a second."""
        return self._averages.rates.get("offered", 0.0)

    @property
    def served_rate(self) -> float:
        """Work that upstreams begin, in runner-seconds a second."""
        served = max(0.0, self._averages.rates.get("served", 0.0))
        return min(served, MOST_SPEED * self._upstreams)

    @property
    def backlog(self) -> float:
        """Work that waited at the last update, in runner-seconds."""
        return self._backlog or 0.0

    @property
    def target_backlog(self) -> float:
        """Greatest backlog that starts in time, in runner-seconds."""
        return self._target

    def update(self, seen: Observation, seconds: float) -> Change | None:
        """Takes in an observation over `seconds`; returns a change between short and not short."""
        growth = 0.0 if self._backlog is None else seen.backlog - self._backlog
        self._backlog, self._upstreams = seen.backlog, seen.upstreams
        self._averages.update(
            {
                "offered": seen.offered,
                "refused": seen.offered - seen.admitted,
                "served": seen.admitted - growth,
            },
            seconds,
        )
        least_served = max(self.served_rate, LEAST_SPEED * seen.upstreams)
        self._target = BACKLOG_FRACTION * seen.goal_seconds * least_served
        self._usual_backlog = max(self._target, LARGEST_REQUESTS * seen.largest)
        room = self.served_rate + (self._target - seen.backlog) / HORIZON_SECONDS
        least = max(LEAST_ROOM * seen.upstreams, LEAST_SERVED_FRACTION * self.served_rate)
        self._rate = max(least, room)
        return self._change(seconds)

    def _change(self, seconds: float) -> Change | None:
        refused_rate = self._averages.rates.get("refused", 0.0)
        if self.backlog <= self._usual_backlog:
            self._exceeded_seconds = None
        elif self._exceeded_seconds is None:
            self._exceeded_seconds = 0.0
        else:
            self._exceeded_seconds += seconds
        if not self._short:
            if (
                self._exceeded_seconds or 0.0
            ) >= BACKLOG_SECONDS or refused_rate > REFUSED_FRACTION * self.offered_rate > 0.0:
                self._short, self._calm_seconds = True, 0.0
                return Change.SHORT
            return None
        calm = (
            self.offered_rate < CALM_OFFERED_FRACTION * self._rate
            and refused_rate <= CALM_REFUSED_FRACTION * self.offered_rate
            and self.backlog < CALM_BACKLOG_FRACTION * self._usual_backlog
        )
        self._calm_seconds = self._calm_seconds + seconds if calm else 0.0
        if self._calm_seconds < CALM_SECONDS:
            return None
        self._short = False
        return Change.SUFFICIENT
