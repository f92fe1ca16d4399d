"""Simulated entries, upstreams and leader while one part of the prompts crashes upstreams."""

import dataclasses
import random

from coltsfoothead.kernel.traffic import crashattribution, quarantine

STEP_SECONDS = 0.05
BEGINNING_SECONDS = 0.3
BAD_PART = "bad"


@dataclasses.dataclass
class Request:
    """A request in flight at an upstream."""

    entry: int
    parts: tuple[str, ...]
    begins_at: float
    ends_at: float


class Entry:
    """One entry: observes, reports at intervals, and refuses quarantined parts."""

    def __init__(self, interval_seconds):
        self.table = quarantine.QuarantineTable()
        self.observer = quarantine.PartObserver(self.table)
        self.interval_seconds = interval_seconds
        self.next_exchange_at = 0.0
        self.cut_until = 0.0


class Fleet:
    """Entries, upstreams and the leader of a site under load.

    Attributes
    ----------
    sound_parts : int
        Parts that sound requests share; some are used often and some rarely.
    bad_per_second : float
        Requests with parts that crash upstreams; 0 for none.
    bad_parts : tuple of str
        Parts that crash upstreams.
    crashes : dict of str to list of float
        Times of the crashes on each of these parts.
    bad_sent : dict of str to list of float
        Times at which requests with each of them were sent to upstreams.
    refused : int
        Sound requests that were refused.
    quarantined : list of Quarantine
        Changes that the leaders decided.
    """

    def __init__(self, seed, entries=6, upstreams=9, interval_seconds=0.15, sound_parts=100):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.entries = [Entry(interval_seconds) for _ in range(entries)]
        self.sound_parts = sound_parts
        self.sound_per_second = 6.0 * upstreams
        self.bad_per_second = 0.0
        self.bad_parts = (BAD_PART,)
        self.down_seconds = 3.0
        # Upstreams by name, with the requests in flight, and the times at which new ones start.
        self.upstreams = {f"u-{number}": [] for number in range(upstreams)}
        self.starting_at = []
        self.started = upstreams
        self.table = quarantine.QuarantineTable()
        self.attribution = crashattribution.CrashAttribution(self.table)
        self.crashes, self.bad_sent, self.quarantined = {}, {}, []
        self.sent = self.refused = 0

    def run(self, seconds):
        """Runs the simulation."""
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_SECONDS
            self._send()
            self._advance()
            self._exchange()

    def change_leader(self, keeps_table):
        """Replaces the leader by one that knows the quarantines or nothing."""
        if not keeps_table:
            self.table = quarantine.QuarantineTable()
        self.attribution = crashattribution.CrashAttribution(self.table)

    def restart_entry(self, number):
        """Replaces an entry by one that knows nothing."""
        self.entries[number] = Entry(self.entries[number].interval_seconds)

    def crash(self, names):
        """Ends upstreams for another reason than a request."""
        for name in names:
            self._end(name)

    def culprits(self):
        """Returns the parts that were ever quarantined."""
        return {state.part_id for state in self.quarantined if not state.released}

    def bad_sent_late(self, part, crash_number, seconds):
        """Returns the number of requests with a part sent later than `seconds` after its crash."""
        crashes = self.crashes.get(part, [])
        if len(crashes) < crash_number:
            return 0
        return sum(at > crashes[crash_number - 1] + seconds for at in self.bad_sent[part])

    def _send(self):
        for rate, is_bad in ((self.sound_per_second, False), (self.bad_per_second, True)):
            expected = rate * STEP_SECONDS
            count = int(expected) + (self.rng.random() < expected % 1)
            for _ in range(count):
                self._send_one(is_bad)

    def _send_one(self, is_bad):
        number = self.rng.randrange(len(self.entries))
        # Low numbers are drawn more often.
        shared = f"p-{int(self.sound_parts * self.rng.random() ** 3)}"
        parts = ("system", self.rng.choice(self.bad_parts) if is_bad else shared)
        self.sent += not is_bad
        if not self.upstreams:
            return
        if self.entries[number].table.active(parts, self.now) is not None:
            self.refused += not is_bad
            return
        if is_bad:
            self.bad_sent.setdefault(parts[1], []).append(self.now)
        begins_at = self.now + self.rng.uniform(0.05, 0.6)
        request = Request(number, parts, begins_at, begins_at + self.rng.uniform(0.5, 3.0))
        self.upstreams[self.rng.choice(list(self.upstreams))].append(request)

    def _advance(self):
        for name, requests in list(self.upstreams.items()):
            begun = [each for each in requests if each.begins_at <= self.now]
            bad = [each.parts[1] for each in begun if each.parts[1] in self.bad_parts]
            if bad and self.bad_per_second:
                self.crashes.setdefault(bad[0], []).append(self.now)
                self._end(name)
                continue
            for each in begun:
                if self.now - each.begins_at >= BEGINNING_SECONDS:
                    self.entries[each.entry].observer.record_start(each.parts, self.now)
            self.upstreams[name] = [each for each in requests if each.ends_at > self.now]
        while self.starting_at and self.starting_at[0] <= self.now:
            self.starting_at.pop(0)
            self.started += 1
            self.upstreams[f"u-{self.started}"] = []

    def _end(self, name):
        for each in self.upstreams.pop(name):
            if self.now - each.begins_at < BEGINNING_SECONDS:
                observer = self.entries[each.entry].observer
                observer.record_crash(each.parts, name, self.now + self.rng.uniform(0.0, 0.02))
        self.starting_at.append(self.now + self.down_seconds)

    def _exchange(self):
        for entry in self.entries:
            if self.now < max(entry.next_exchange_at, entry.cut_until):
                continue
            entry.next_exchange_at = self.now + entry.interval_seconds * self.rng.uniform(1.0, 1.3)
            self.attribution.record(entry.observer.report(self.now), self.now)
            entry.observer.receive(self.attribution.decisions(self.now), self.now)
        self.quarantined += self.attribution.evaluate(self.now)
