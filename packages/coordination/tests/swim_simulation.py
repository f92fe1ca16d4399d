"""Members of one cluster in simulated time, over a network that loses, delays and partitions."""

import heapq
import itertools
import random

from coltsfoothead.coordination.membership import members, swim

BOUND_SECONDS = 0.5 + 0.3 + 2.0


class Simulation:
    """Runs `count` detectors; `cut(a, b)` says whether messages from a to b are lost."""

    def __init__(self, count, seed):
        self.random = random.Random(seed)
        self.now = 0.0
        self.loss = 0.0
        self.delay = 0.02
        self.cut = lambda a, b: False
        self.detectors = {}
        self.paused = {}
        self.sent_messages = 0
        self.sent_bytes = 0
        self.superseded = set()
        self._events = []
        self._numbers = itertools.count()
        self._ticks = {}
        for number in range(count):
            self.start(f"m{number}")

    def start(self, name, incarnation=1):
        address = f"10.0.0.1:{name[1:]}"
        me = members.Member(name, address, "home", f"z{int(name[1:]) % 3}", incarnation)
        detector = swim.Detector(me, self.now, random.Random(self.random.random()))
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
        self._ticks[name] = effects.wake_at
        self._push(effects.wake_at, self._timer, name, self.detectors[name])
        for outgoing in effects.messages:
            data = members.encode(outgoing.message)
            self.sent_messages += 1
            self.sent_bytes += len(data)
            target = outgoing.to or "m" + outgoing.address.rpartition(":")[2]
            copies = 1 + (self.random.random() < self.loss / 4)
            for _ in range(copies):
                if self.random.random() >= self.loss and not self.cut(name, target):
                    at = self.now + self.random.uniform(0, self.delay)
                    self._push(at, self.deliver, name, target, data)

    def deliver(self, sender, target, data):
        if target in self.paused:
            self.paused[target].append((sender, data))
        elif target in self.detectors and not self.cut(sender, target):
            message = members.decode(data)
            self.apply(target, self.detectors[target].receive(sender, message, self.now))

    def run(self, seconds):
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, action, *arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now = end

    def views(self):
        """Returns what each member believes of each other one."""
        return {
            name: {key: record.state for key, record in detector.members.items()}
            for name, detector in self.detectors.items()
        }

    def _timer(self, name, detector):
        current = self.detectors.get(name) is detector and self._ticks[name] == self.now
        if current and name not in self.paused:
            self.tick(name)

    def _push(self, at, *event):
        if at < float("inf"):
            heapq.heappush(self._events, (at, next(self._numbers), *event))
