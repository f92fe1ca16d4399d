"""Estimate of the load that one runner carries within the latency objectives.

The load is counted in runners that work at their nominal rates. How much of it a runner carries
depends on its engine, on the lengths of the prompts and on how evenly the requests are placed, so
it is learned from the answers that are late.
"""

from coltsfoothead.kernel.traffic import demandmeter

__all__ = ["INITIAL_LOAD_PER_RUNNER", "RunnerCapacity"]

# Load per runner up to which prompts need not wait for each other, for the engine whose rates are
# the nominal ones.
INITIAL_LOAD_PER_RUNNER = 0.5
# Bounds the runners that are ordered if answers are late for another reason.
MIN_LOAD_PER_RUNNER = 0.2
# Fractions of late answers above which a runner carries too much, and below which it does not.
HIGH_LATE_FRACTION = 0.08
LOW_LATE_FRACTION = 0.03
# Load per runner that is accepted while cheap runners are not available, as a multiple of the
# estimate.
STRAINED_LOAD_FACTOR = 1.2
# Part of the load per runner that is accepted further on when answers are late, and the least part
# of the estimate that is kept at once.
BACKOFF_FACTOR = 0.8
MIN_STEP_FACTOR = 0.5
# Time after a change of the number of runners in which late answers tell nothing about the new
# number: the rates are averages over seconds, and answers take seconds.
SETTLE_SECONDS = 3.0
# Time after the first answers in which they are late because no cache holds a prompt yet.
WARM_UP_SECONDS = 2.0
# Time after a step down until its runners serve and show whether a further one is needed.
STEP_SECONDS = 4.0
# Rate of finished streams below which the fraction of late ones is left to chance.
MIN_FINISHED_PER_SECOND = 3.0
# Time constant with which the estimate returns to its initial value while few answers are late.
FORGET_SECONDS = 20.0


class RunnerCapacity:
    """Learns the load per runner from the fraction of late answers.

    Parameters
    ----------
    load_per_runner : float, optional
        Estimate of the process that planned before.
    """

    def __init__(self, load_per_runner: float = INITIAL_LOAD_PER_RUNNER) -> None:
        self._load_per_runner = load_per_runner
        self._answers_late = self._warmed_up = False
        self._ready_count = 0
        self._settled_at = float("-inf")
        self._updated_at: float | None = None

    @property
    def load_per_runner(self) -> float:
        """Load that one runner carries within the objectives."""
        return self._load_per_runner

    @property
    def strained_load_per_runner(self) -> float:
        """Load that is accepted for one runner while cheap runners are not available."""
        return STRAINED_LOAD_FACTOR * self._load_per_runner

    @property
    def answers_late(self) -> bool:
        """Whether too many answers of the last seconds were late."""
        return self._answers_late

    def update(
        self, load: float, ready_count: int, demand: demandmeter.DemandRates, now: float
    ) -> None:
        """Adapts the estimate to the outcomes of the last seconds.

        Parameters
        ----------
        load : float
            Load of all runners together.
        ready_count : int
            Number of runners that serve it.
        demand : DemandRates
            Holds the rates of finished and of late answers.
        now : float
            Steady time in seconds.
        """
        elapsed_seconds = now - self._updated_at if self._updated_at is not None else 0.0
        self._updated_at = now
        enough_finished = demand.finished >= MIN_FINISHED_PER_SECOND
        self._answers_late = enough_finished and demand.late_fraction > HIGH_LATE_FRACTION
        if ready_count != self._ready_count:
            self._ready_count = ready_count
            self._settled_at = max(self._settled_at, now + SETTLE_SECONDS)
        if enough_finished and not self._warmed_up:
            self._warmed_up = True
            self._settled_at = max(self._settled_at, now + WARM_UP_SECONDS)
        if not ready_count or not enough_finished:
            return
        if self._answers_late:
            if now < self._settled_at:
                return
            carried = BACKOFF_FACTOR * load / ready_count / STRAINED_LOAD_FACTOR
            if carried < self._load_per_runner:
                least = max(MIN_LOAD_PER_RUNNER, MIN_STEP_FACTOR * self._load_per_runner)
                self._load_per_runner = max(least, carried)
                self._settled_at = now + STEP_SECONDS
        elif demand.late_fraction < LOW_LATE_FRACTION:
            missing = INITIAL_LOAD_PER_RUNNER - self._load_per_runner
            self._load_per_runner += missing * min(1.0, elapsed_seconds / FORGET_SECONDS)
