"""Simulated entries, upstreams that name limits of their requests, and a leader."""

import random

from coltsfoothead.kernel.traffic import requestlimits

STEP_SECONDS = 0.05
LEASE_SECONDS = 4.0


class Entry:
    """One entry: sends what it may, hears answers, and exchanges reports at intervals."""

    def __init__(self, name, zone, interval_seconds):
        self.name = name
        self.zone = zone
        self.limits = requestlimits.EntryLimits()
        self.interval_seconds = interval_seconds
        self.next_exchange_at = 0.0
        self.cut_until = 0.0
        self.exchanged_at = 0.0


class Fleet:
    """Entries and upstreams of three zones.

    Attributes
    ----------
    rates : dict of str to float
        Rate that each limited upstream names at the moment.
    arrivals : dict of str to list of float
        Times at which requests reached each upstream.
    turned_away : int
        Requests for which no upstream might be used.
    """

    def __init__(self, seed, entries=6, upstreams=9, interval_seconds=0.15, per_second=60.0):
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.interval_seconds = interval_seconds
        self.started = 0
        self.entries = [self._new_entry(number % 3) for number in range(entries)]
        self.zones = {f"u-{number}": f"z-{number % 3}" for number in range(upstreams)}
        self.arrivals = {name: [] for name in self.zones}
        self.rates = {}
        self.per_second = per_second
        self.answers = []
        self.table = requestlimits.LimitTable()
        self.reported_at = {}
        self.sent = self.turned_away = 0

    def run(self, seconds):
        """Runs the simulation."""
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_SECONDS
            self._hear_answers()
            self._send()
            self._exchange()

    def change_leader(self, keeps_table):
        """Replaces the leader by one that knows the limits or nothing, and no entry."""
        if not keeps_table:
            self.table = requestlimits.LimitTable()
        self.reported_at = {}

    def restart_entry(self, number):
        """Replaces an entry; the new process hears the leader before it serves."""
        self.entries[number] = self._new_entry(number % 3)

    def most_in_window(self, name, since, seconds=4.0):
        """Returns the most arrivals at an upstream in any window that begins after a time."""
        times = [at for at in self.arrivals[name] if at >= since]
        return max(
            (
                sum(0 <= at - first < seconds for at in times[index:])
                for index, first in enumerate(times)
            ),
            default=0,
        )

    def _new_entry(self, zone):
        self.started += 1
        entry = Entry(f"entry-{self.started}", f"z-{zone}", self.interval_seconds)
        entry.exchanged_at = float("-inf")
        return entry

    def _send(self):
        expected = self.per_second * STEP_SECONDS
        for _ in range(int(expected) + (self.rng.random() < expected % 1)):
            entry = self.rng.choice(self.entries)
            if self.now - entry.exchanged_at > LEASE_SECONDS:
                continue
            self.sent += 1
            usable = [name for name in self.zones if entry.limits.may_send(name, self.now)]
            due = [name for name in usable if entry.limits.probe_due(name, self.now)]
            if not usable:
                self.turned_away += 1
                continue
            name = self.rng.choice(due or usable)
            entry.limits.take(name, self.now)
            self.arrivals[name].append(self.now)
            # A model runner answers with its first token.
            self.answers.append((self.now + self.rng.uniform(0.05, 1.0), entry, name))

    def _hear_answers(self):
        for answer in [each for each in self.answers if each[0] <= self.now]:
            self.answers.remove(answer)
            _, entry, name = answer
            entry.limits.record_answer(name, self.rates.get(name), self.now)

    def _exchange(self):
        for entry in self.entries:
            if self.now < max(entry.next_exchange_at, entry.cut_until):
                continue
            entry.next_exchange_at = self.now + entry.interval_seconds * self.rng.uniform(1.0, 1.3)
            entry.exchanged_at = self.reported_at[entry.name] = self.now
            self.table.merge(entry.limits.report(self.now), self.now)
            known = {each.name: each.zone for each in self.entries}
            # Names that restarted entries had count until their lease has run out.
            live = {
                name: known.get(name, "z-0")
                for name, at in self.reported_at.items()
                if self.now - at <= LEASE_SECONDS
            }
            shares = [
                requestlimits.LimitShare(
                    limit,
                    requestlimits.divide(limit, self.zones[limit.upstream_id], live, self.now).get(
                        entry.name, 0.0
                    ),
                )
                for limit in self.table.limits(self.now)
            ]
            entry.limits.receive(shares, self.now)
