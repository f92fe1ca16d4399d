"""SWIM cluster in simulated time, on a network with loss, delay, duplicates and partitions."""

import heapq
import itertools
import random

from coltsfoothead.coordination.membership import members, swim

# Indirect timeout, ack timeout and suspicion timeout of the default settings.
DETECTION_SECONDS = 0.5 + 0.3 + 2.0


class Simulation:
    """Runs `count` detectors; messages from a to b are lost while `is_partitioned(a, b)`."""

    def __init__(self, count, seed):
        self.random = random.Random(seed)
        self.now = 0.0
        self.loss_probability = 0.0
        self.max_delay_seconds = 0.02
        self.is_partitioned = lambda a, b: False
        self.detectors = {}
        self.paused = {}
        self.sent_messages = 0
        self.sent_bytes = 0
        self.superseded = set()
        self._events = []
        self._numbers = itertools.count()
        self._wake_times = {}
        for number in range(count):
            self.start(f"m{number}")

    def start(self, name, incarnation=1):
        address = f"10.0.0.1:{name[1:]}"
        local_member = members.Member(name, address, "home", f"z{int(name[1:]) % 3}", incarnation)
        detector = swim.Detector(local_member, self.now, random.Random(self.random.random()))
        self.detectors[name] = detector
        self.apply(name, detector.join(["10.0.0.1:0", "10.0.0.1:1"], self.now))

    def crash(self, name):
        del self.detectors[name]
        self.paused.pop(name, None)

    def pause(self, name):
        self.paused.setdefault(name, [])

    def resume(self, name):
        waiting = self.paused.pop(name)
        if self.random.random() < 0.5:
            self.tick(name)
        for sender, data in waiting:
            self.deliver(sender, name, data)
        self.tick(name)

    def tick(self, name):
        self.apply(name, self.detectors[name].tick(self.now))

    def apply(self, name, effects):
        if effects.superseded:
            self.superseded.add(name)
        self._wake_times[name] = effects.wake_at
        self._push(effects.wake_at, self._timer, name, self.detectors[name])
        for outgoing in effects.messages:
            data = members.encode(outgoing.message)
            self.sent_messages += 1
            self.sent_bytes += len(data)
            target = outgoing.to or "m" + outgoing.address.rpartition(":")[2]
            copies = 1 + (self.random.random() < self.loss_probability / 4)
            for _ in range(copies):
                if self.random.random() >= self.loss_probability and not self.is_partitioned(
                    name, target
                ):
                    at = self.now + self.random.uniform(0, self.max_delay_seconds)
                    self._push(at, self.deliver, name, target, data)

    def deliver(self, sender, target, data):
        if target in self.paused:
            self.paused[target].append((sender, data))
        elif target in self.detectors and not self.is_partitioned(sender, target):
            message = members.decode(data)
            self.apply(target, self.detectors[target].receive(sender, message, self.now))

    def run(self, seconds):
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, action, *arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now = end

    def views(self):
        """Returns by member the state of every member that it knows."""
        return {
            name: {key: record.state for key, record in detector.members.items()}
            for name, detector in self.detectors.items()
        }

    def _timer(self, name, detector):
        current = self.detectors.get(name) is detector and self._wake_times[name] == self.now
        if current and name not in self.paused:
            self.tick(name)

    def _push(self, at, *event):
        if at < float("inf"):
            heapq.heappush(self._events, (at, next(self._numbers), *event))
