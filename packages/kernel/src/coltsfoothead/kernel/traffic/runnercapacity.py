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
# Part of the load per runner that is accepted further on while no answer is late, how much less it
# is when all are, and its least value. A step keeps at least `MIN_STEP_FACTOR` of the estimate.
BACKOFF_FACTOR = 0.9
BACKOFF_PER_LATE_FRACTION = 0.5
MIN_BACKOFF_FACTOR = 0.5
MIN_STEP_FACTOR = 0.5
# Time after the first answers in which they are late because no cache holds a prompt yet.
WARM_UP_SECONDS = 2.0
# Time after a step down, beyond the boot time of a runner, until its runners show in the latencies
# whether a further one is needed.
STEP_SECONDS = 3.0
# The estimate is not lowered while the fraction of late answers falls to less than this part in a
# second: streams count when they end, seconds after they were late.
FALLING_FACTOR = 0.9
FALLING_SECONDS = 1.0
# Rate of finished streams below which the fraction of late ones is left to chance.
MIN_FINISHED_PER_SECOND = 3.0
# Time constant with which the estimate returns to its initial value while few answers are late.
FORGET_SECONDS = 20.0


class RunnerCapacity:
    """Learns the load per runner from the fraction of late answers.

    Parameters
    ----------
    boot_seconds : float
        Time that a runner takes to start.
    load_per_runner : float, optional
        Estimate of the process that planned before.
    """

    def __init__(
        self, boot_seconds: float, load_per_runner: float = INITIAL_LOAD_PER_RUNNER
    ) -> None:
        self._boot_seconds = boot_seconds
        self._load_per_runner = load_per_runner
        self._answers_late = self._warmed_up = self._falling = False
        self._earlier_late_fraction = 0.0
        self._compared_at = float("-inf")
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
        self, load: float, ready_count: float, demand: demandmeter.DemandRates, now: float
    ) -> None:
        """Adapts the estimate to the outcomes of the last seconds.

        Parameters
        ----------
        load : float
            Load of all runners together.
        ready_count : float
            Number of runners that serve it, by their speed.
        demand : DemandRates
            Holds the rates of finished and of late answers.
        now : float
            Steady time in seconds.
        """
        elapsed_seconds = now - self._updated_at if self._updated_at is not None else 0.0
        self._updated_at = now
        enough_finished = demand.finished >= MIN_FINISHED_PER_SECOND
        self._answers_late = enough_finished and demand.late_fraction > HIGH_LATE_FRACTION
        if now - self._compared_at >= FALLING_SECONDS:
            self._falling = demand.late_fraction < FALLING_FACTOR * self._earlier_late_fraction
            self._earlier_late_fraction = demand.late_fraction
            self._compared_at = now
        if enough_finished and not self._warmed_up:
            self._warmed_up = True
            self._settled_at = now + WARM_UP_SECONDS
        if not ready_count or not enough_finished:
            return
        if self._answers_late:
            if now < self._settled_at or self._falling:
                return
            backoff = BACKOFF_FACTOR - BACKOFF_PER_LATE_FRACTION * demand.late_fraction
            accepted = max(MIN_BACKOFF_FACTOR, backoff) * load / ready_count
            carried = accepted / STRAINED_LOAD_FACTOR
            if carried < self._load_per_runner:
                least = max(MIN_LOAD_PER_RUNNER, MIN_STEP_FACTOR * self._load_per_runner)
                self._load_per_runner = max(least, carried)
                self._settled_at = now + self._boot_seconds + STEP_SECONDS
        elif demand.late_fraction < LOW_LATE_FRACTION:
            missing = INITIAL_LOAD_PER_RUNNER - self._load_per_runner
            self._load_per_runner += missing * min(1.0, elapsed_seconds / FORGET_SECONDS)
