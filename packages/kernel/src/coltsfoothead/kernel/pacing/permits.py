"""One entry's permits for the upstreams in a window, and what it observes there."""

import dataclasses
from collections.abc import Mapping

from coltsfoothead.kernel.pacing import messages, window

__all__ = ["EntryPermits", "PendingAnswer"]

# Time without an answer of the leader after which an entry keeps to the window that it has.
LEADER_SILENCE_SECONDS = 1.0
# Time without a leader in which an entry allows itself a further request at each upstream in a
# window, so that sixty entries do not leave it unused.
OWN_GAIN_SECONDS = 10.0
# Factor by which a late, refused or broken request closes the window of an entry without a leader.
CLOSE_FACTOR = 0.5


@dataclasses.dataclass(eq=False, slots=True)
class PendingAnswer:
    """A request at an upstream in a window.

    Attributes
    ----------
    due_at : float
        Steady time at which its answer is late.
    """

    upstream_id: str
    due_at: float


@dataclasses.dataclass(slots=True)
class _Held:
    pace: messages.Pace
    # Requests that may still be sent with the leader's permits.
    left: int
    # Requests in flight of this entry that it allows itself without a leader, and since when.
    own_limit: float | None = None
    own_limit_at: float = 0.0


class EntryPermits:
    """Keeps one entry to its permits.

    Parameters
    ----------
    now : float
        Steady time in seconds.
    phase : float, default 0
        Fraction of a request that it allows itself once it has no leader, in 0 to 1. Entries differ
        in it, so that they do not all send their first requests at once.
    """

    def __init__(self, now: float, phase: float = 0.0) -> None:
        self._phase = phase
        self._received_at = now
        self._leadership = ""
        self._held: dict[str, _Held] = {}
        # Requests sent since the last report, which the leader does not know of.
        self._sent: dict[str, int] = {}
        self._pending: set[PendingAnswer] = set()
        self._outcomes: dict[str, messages.Outcomes] = {}
        self._tells_sizes = False

    @property
    def paced(self) -> Mapping[str, messages.Pace]:
        """Windows by upstream ID, as the leader told them."""
        return {name: held.pace for name, held in self._held.items()}

    def admits(self, upstream_id: str, own_in_flight: int, now: float) -> bool:
        """Returns whether the window of an upstream admits a request of this entry.

        Parameters
        ----------
        upstream_id : str
        own_in_flight : int
            Requests of this entry in flight at the upstream.
        now : float
        """
        held = self._held.get(upstream_id)
        if held is None or held.pace.permits is None:
            return True
        silence_seconds = now - self._received_at
        if silence_seconds <= LEADER_SILENCE_SECONDS:
            return held.left > 0
        if silence_seconds > window.LIFETIME_SECONDS:
            del self._held[upstream_id]
            return True
        if held.own_limit is None:
            held.own_limit = own_in_flight + max(0, held.left) + self._phase
            held.own_limit_at = self._received_at + LEADER_SILENCE_SECONDS
        held.own_limit += (now - held.own_limit_at) / OWN_GAIN_SECONDS
        held.own_limit_at = now
        return own_in_flight + 1 <= held.own_limit

    def begin(self, upstream_id: str, goal_seconds: float, now: float) -> PendingAnswer | None:
        """Counts a request that is being sent; returns None if its upstream has no window."""
        self._sent[upstream_id] = self._sent.get(upstream_id, 0) + 1
        held = self._held.get(upstream_id)
        if held is None:
            return None
        held.left -= 1
        pending = PendingAnswer(upstream_id, now + goal_seconds)
        self._pending.add(pending)
        return pending

    def record_answer(self, pending: PendingAnswer, now: float) -> bool:
        """Records that an answer has begun; returns whether that was in time."""
        if pending not in self._pending:
            return False
        self._pending.discard(pending)
        in_time = now <= pending.due_at
        outcome = messages.Outcomes(in_time=1) if in_time else messages.Outcomes(late=1)
        self._add(pending.upstream_id, outcome)
        return in_time

    def record_failure(self, pending: PendingAnswer, refused: bool) -> None:
        """Records that an upstream refused a request, or that an attempt broke."""
        self._pending.discard(pending)
        outcome = messages.Outcomes(refused=1) if refused else messages.Outcomes(broken=1)
        self._add(pending.upstream_id, outcome)

    def drop(self, pending: PendingAnswer) -> None:
        """Ends the wait for an answer."""
        self._pending.discard(pending)

    def report(self, now: float) -> messages.PaceReport:
        """Returns the outcomes since the last report; overdue answers count as late."""
        for pending in [each for each in self._pending if now > each.due_at]:
            self.record_answer(pending, now)
        outcomes, self._outcomes = self._outcomes, {}
        sizes = {}
        if self._tells_sizes:
            sizes = {name: held.pace.size for name, held in self._held.items()}
        self._sent = {}
        return messages.PaceReport(outcomes, sizes)

    def receive(self, leadership: str, paces: Mapping[str, messages.Pace], now: float) -> None:
        """Applies the leader's answer to the last report.

        Parameters
        ----------
        leadership : str
            ID of the leader's term. What this entry knows from an earlier one is kept and told to
            the new leader.
        paces : mapping of str to Pace
        now : float
        """
        lives = now - self._received_at <= window.LIFETIME_SECONDS
        self._received_at = now
        changed = bool(self._leadership) and leadership != self._leadership
        kept = self._held if changed and lives else {}
        self._tells_sizes = bool(kept)
        self._leadership = leadership
        self._held = kept | {
            name: _Held(pace, (pace.permits or 0) - self._sent.get(name, 0))
            for name, pace in paces.items()
        }

    def _add(self, upstream_id: str, outcome: messages.Outcomes) -> None:
        held = self._held.get(upstream_id)
        if held is None:
            return
        self._outcomes[upstream_id] = self._outcomes.get(upstream_id, messages.Outcomes()) + outcome
        if held.own_limit is not None:
            closed = max(1.0, held.own_limit * CLOSE_FACTOR)
            held.own_limit = held.own_limit + 1.0 if outcome.in_time else closed
