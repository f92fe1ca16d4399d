"""Simulated entries, upstreams and leader of a plain service while requests crash upstreams."""

import dataclasses
import random

from coltsfoothead.kernel.traffic import crashattribution, quarantine

STEP_SECONDS = 0.02
RUN_SECONDS = 0.09
CRASH_SECONDS = 0.06
# Delay after which an entry takes a closed connection for a crash.
CONFIRM_SECONDS = 0.3
MAX_UPSTREAMS = 2
MAX_CRASHED_ATTEMPTS = 2


@dataclasses.dataclass
class Attempt:
    """An attempt at an upstream of a request that its caller repeats on failure."""

    part_id: str
    entry: "Entry"
    bad: bool
    caller_retries: int
    sent: int = 0
    crashed: int = 0
    ends_at: float = 0.0


class Entry:
    """One entry: observes, reports, and asks the leader for trials."""

    def __init__(self, interval_seconds):
        self.table = quarantine.QuarantineTable()
        self.observer = quarantine.PartObserver(self.table)
        self.interval_seconds = interval_seconds
        self.next_exchange_at = 0.0
        self.unconfirmed = []


class PlainFleet:
    """Entries, upstreams and the leader of a site with a plain service.

    Attributes
    ----------
    bad : tuple of str
        Requests that crash upstreams.
    arrivals, crashes : dict of str to list of float
        Times at which these reached upstreams, and crashed them.
    sent, refused : int
        Sound requests, and those that were withheld as suspected.
    down_seconds_total : float
        Time in which no upstream served.
    """

    def __init__(self, seed, entries=6, upstreams=3, interval_seconds=0.15):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.entries = [Entry(interval_seconds) for _ in range(entries)]
        self.upstreams = {f"u-{number}": [] for number in range(upstreams)}
        self.starting_at, self.started = [], upstreams
        self.down_seconds = 3.0
        self.sound_per_second, self.bad_per_second = 6.0 * upstreams, 0.0
        self.bad = ("bad",)
        self.arrivals, self.crashes = {}, {}
        self.sent = self.refused = 0
        self.down_seconds_total = 0.0
        self.returning = []
        self.table = quarantine.QuarantineTable()
        self.attribution = crashattribution.CrashAttribution(self.table)
        self.quarantined = []

    def run(self, seconds):
        """Runs the simulation."""
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_SECONDS
            self._arrive()
            self._advance()
            self._exchange()
            self.down_seconds_total += 0.0 if self.upstreams else STEP_SECONDS

    def change_leader(self, keeps_table):
        """Replaces the leader by one that knows the quarantines or nothing."""
        if not keeps_table:
            self.table = quarantine.QuarantineTable()
        self.attribution = crashattribution.CrashAttribution(self.table)

    def restart_entry(self, number):
        """Replaces an entry by one that has heard of the quarantines only."""
        entry = Entry(self.entries[number].interval_seconds)
        entry.observer.receive(self.attribution.decisions(self.now), self.now)
        self.entries[number] = entry

    def crash(self, name):
        """Ends an upstream for another reason than a request."""
        self._end(name)

    def culprits(self):
        """Returns the requests that were ever quarantined."""
        return {state.part_id for state in self.quarantined if not state.released}

    def late_arrivals(self, name, crash_number, seconds):
        """Returns the number of arrivals later than `seconds` after a crash, counted from 1."""
        crashes = self.crashes.get(name, [])
        if len(crashes) < crash_number:
            return 0
        return sum(at > crashes[crash_number - 1] + seconds for at in self.arrivals[name])

    def _arrive(self):
        for rate, bad in ((self.sound_per_second, False), (self.bad_per_second, True)):
            expected = rate * STEP_SECONDS
            for _ in range(int(expected) + (self.rng.random() < expected % 1)):
                self.sent += not bad
                name = self.rng.choice(self.bad) if bad else f"sound-{self.sent}"
                self._begin(quarantine.request_part_id(name), bad, 1)
        due = [each for each in self.returning if each[0] <= self.now]
        self.returning = [each for each in self.returning if each[0] > self.now]
        for _, attempt in due:
            self._begin(attempt.part_id, attempt.bad, attempt.caller_retries - 1)

    def _begin(self, part_id, bad, caller_retries):
        entry = self.rng.choice(self.entries)
        self._send(Attempt(part_id, entry, bad, caller_retries))

    def _send(self, attempt):
        entry, part_id = attempt.entry, attempt.part_id
        if not self.upstreams:
            return
        withheld = entry.table.active((part_id,), self.now) is not None
        if not withheld and entry.observer.needs_trial(part_id, self.now):
            withheld = not self.attribution.grant_probe(part_id, self.now, len(self.upstreams) > 1)
        if withheld:
            self.refused += not attempt.bad
            return
        if attempt.bad:
            self.arrivals.setdefault(part_id, []).append(self.now)
        attempt.sent += 1
        attempt.ends_at = self.now + (CRASH_SECONDS if attempt.bad else RUN_SECONDS)
        least = min(self.upstreams, key=lambda each: (len(self.upstreams[each]), self.rng.random()))
        self.upstreams[least].append(attempt)

    def _advance(self):
        for name, attempts in list(self.upstreams.items()):
            ended = [each for each in attempts if each.ends_at <= self.now]
            culprit = next((each for each in ended if each.bad), None)
            if culprit is not None:
                self.crashes.setdefault(culprit.part_id, []).append(self.now)
                self._end(name)
                continue
            for each in ended:
                each.entry.observer.record_start((each.part_id,), self.now)
            self.upstreams[name] = [each for each in attempts if each.ends_at > self.now]
        while self.starting_at and self.starting_at[0] <= self.now:
            self.starting_at.pop(0)
            self.started += 1
            self.upstreams[f"u-{self.started}"] = []

    def _end(self, name):
        for each in self.upstreams.pop(name):
            each.crashed += 1
            each.entry.unconfirmed.append((self.now, each.part_id, name))
            retried = (
                each.sent < MAX_UPSTREAMS
                and each.crashed < MAX_CRASHED_ATTEMPTS
                and not each.entry.observer.needs_trial(each.part_id, self.now)
                and each.entry.table.active((each.part_id,), self.now) is None
            )
            if retried:
                self._send(each)
            elif each.caller_retries:
                self.returning.append((self.now + self.rng.uniform(0.05, 0.3), each))
        self.starting_at.append(self.now + self.down_seconds)

    def _exchange(self):
        for entry in self.entries:
            for at, part_id, name in list(entry.unconfirmed):
                if self.now >= at + CONFIRM_SECONDS:
                    entry.observer.record_crash((part_id,), name, at)
                    entry.unconfirmed.remove((at, part_id, name))
            if self.now < entry.next_exchange_at:
                continue
            entry.next_exchange_at = self.now + entry.interval_seconds * self.rng.uniform(1.0, 1.3)
            self.attribution.record(entry.observer.report(self.now), self.now)
            entry.observer.receive(self.attribution.decisions(self.now), self.now)
        self.quarantined += self.attribution.evaluate(self.now)
