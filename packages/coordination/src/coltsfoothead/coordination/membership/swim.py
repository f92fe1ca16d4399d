"""SWIM failure detector without I/O: the caller passes in messages and the time."""

import dataclasses
import itertools
import math
import types

import msgspec

from coltsfoothead.coordination.membership import effects, gossip, members

__all__ = ["Detector", "Settings"]

_NEVER = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Intervals, timeouts and limits of the detector.

    Notes
    -----
    Every other member declares a crashed member dead after at most
    ``(members - 1) * period + ack + indirect + suspicion`` seconds.
    """

    protocol_period_seconds: float = 0.5
    ack_timeout_seconds: float = 0.3
    indirect_timeout_seconds: float = 0.5
    suspicion_timeout_seconds: float = 2.0
    indirect_probe_count: int = 3
    join_retry_interval_seconds: float = 1.0
    exchange_interval_seconds: float = 5.0
    # Lower bound of the exchange interval per known member, so that the bandwidth of full state
    # exchanges per member stays constant in a larger cluster: 1,200 records take 110 KB.
    exchange_interval_seconds_per_member: float = 0.1
    # Regions can be partitioned for an hour and must still know each other when it heals.
    dead_retention_seconds: float = 86400.0
    # A tick that is late by more than this means that the process was suspended or starved.
    pause_threshold_seconds: float = 0.25
    retransmit_factor: int = 3
    max_updates_per_message: int = 16
    leave_fanout: int = 10


@dataclasses.dataclass(slots=True)
class _Probe:
    """Ping that awaits its ack; `requester` is set for a ping sent on behalf of another member."""

    target: str
    indirect_probe_at: float
    deadline: float
    requester: str | None = None
    requester_sequence: int = 0


class Detector:
    """Failure detector of one member.

    Parameters
    ----------
    local_member : members.Member
        Record of this process.
    now : float
        Monotonic time in seconds.
    rng : random.Random
        Random number generator for all random choices.
    settings : Settings, optional
        Intervals, timeouts and limits.
    """

    def __init__(self, local_member, now, rng, settings=None):
        self._settings = settings or Settings()
        self._random = rng
        self._local_member = local_member
        self._members = {local_member.id: local_member}
        self._probe_list = []
        self._next_probe_index = 0
        self._gossip = gossip.GossipQueue(
            self._settings.retransmit_factor, self._settings.max_updates_per_message
        )
        self._sequences = itertools.count(1)
        self._probes = {}
        self._suspicions = {}
        self._removal_times = {}
        self._dead_probe_count = 0
        self._seeds = ()
        self._joined = False
        self._superseded = False
        self._messages = []
        self._changes = []
        self._next_period = now + rng.uniform(0, self._settings.protocol_period_seconds)
        self._next_exchange = now + self._exchange_delay()
        self._next_exchange_partner = None
        self._next_join = _NEVER
        self._expected_tick_at = self._wake_at()

    @property
    def local_member(self):
        """Record of this process."""
        return self._local_member

    @property
    def members(self):
        """Read-only mapping of all known records by member ID, including this process."""
        return types.MappingProxyType(self._members)

    def join(self, seeds, now):
        """Sends `Join` to the seed addresses and repeats it until another member is known."""
        self._seeds = tuple(seed for seed in seeds if seed != self._local_member.address)
        self._next_join = now if self._seeds else _NEVER
        return self.tick(now)

    def leave(self, now):
        """Announces that this member leaves; later ticks do nothing."""
        self._local_member = msgspec.structs.replace(self._local_member, state=members.State.LEFT)
        self._members[self._local_member.id] = self._local_member
        for target in self._sample(self._settings.leave_fanout):
            self._send(target, members.Gossip((self._local_member,)))
        if not self._probe_list:
            # A seed may already know this member although its answer has not arrived yet.
            self._send_to_seeds(members.Gossip((self._local_member,)))
        return self._effects()

    def update(self, now, **fields):
        """Changes fields of the local member's record, for example ``metadata`` or ``voter``."""
        self._update_local(refutation=self._local_member.refutation + 1, **fields)
        return self._effects()

    def tick(self, now):
        """Runs the timers that are due."""
        self._shift_deadlines_after_pause(now)
        if self._local_member.state is members.State.LEFT:
            return self._effects()
        self._check_probes(now)
        for member_id in [key for key, end in self._suspicions.items() if end <= now]:
            self._record_failure(member_id, members.State.DEAD, now)
        for member_id in [key for key, end in self._removal_times.items() if end <= now]:
            del self._removal_times[member_id], self._members[member_id]
        if now >= self._next_period:
            self._next_period += self._settings.protocol_period_seconds
            self._start_period(now)
        if now >= self._next_exchange:
            self._next_exchange = now + self._exchange_delay()
            self._start_exchange(now)
        if now >= self._next_join:
            self._next_join = now + self._settings.join_retry_interval_seconds
            self._send_joins()
        return self._effects()

    def receive(self, sender, message, now):
        """Handles a message of member `sender`."""
        self._shift_deadlines_after_pause(now)
        if self._local_member.state is members.State.LEFT:
            return self._effects()
        match message:
            case members.Ping(sequence, updates):
                self._merge_all(updates, now)
                self._send_with_updates(sender, members.Ack, sequence)
            case members.PingRequest(sequence, target, updates):
                self._merge_all(updates, now)
                self._ping(target, now, sender, sequence)
            case members.Ack(sequence, updates):
                self._merge_all(updates, now)
                self._finish_probe(sequence)
            case members.Gossip(updates):
                self._merge_all(updates, now)
            case members.Join(member):
                self._merge(member, now)
                self._send(sender, self._full_state(wants_answer=False), member.address)
            case members.Digest(value):
                if value != members.digest(self._members.values()):
                    self._send(sender, self._full_state(wants_answer=True))
            case members.States(records, wants_answer):
                # The records received on joining are already known to the other members.
                self._merge_all(records, now, disseminate=self._joined)
                self._joined = True
                if wants_answer:
                    self._send(sender, self._full_state(wants_answer=False))
        return self._effects()

    def _effects(self):
        self._expected_tick_at = self._wake_at()
        result = effects.Effects(
            tuple(self._messages), tuple(self._changes), self._expected_tick_at, self._superseded
        )
        self._messages = []
        self._changes = []
        return result

    def _wake_at(self):
        if self._local_member.state is members.State.LEFT:
            return _NEVER
        times = [self._next_period, self._next_exchange, self._next_join]
        times += [min(probe.indirect_probe_at, probe.deadline) for probe in self._probes.values()]
        times += self._suspicions.values()
        return min(times)

    def _shift_deadlines_after_pause(self, now):
        """Postpones all deadlines by the time for which this process did not run.

        Otherwise a process that was suspended for long would find every timer expired and
        declare members dead before it reads the acks that wait in its sockets.
        """
        late = now - self._expected_tick_at
        if late <= self._settings.pause_threshold_seconds:
            return
        for probe in self._probes.values():
            probe.indirect_probe_at += late
            probe.deadline += late
        for table in (self._suspicions, self._removal_times):
            for member_id in table:
                table[member_id] += late
        self._next_period += late
        self._next_exchange += late
        self._next_join += late
        self._expected_tick_at = self._wake_at()

    def _start_period(self, now):
        if self._probe_list:
            self._next_probe_index %= len(self._probe_list)
            self._ping(self._probe_list[self._next_probe_index], now)
            self._next_probe_index += 1
        if self._suspicions:
            # Also pings a suspect in each period, so that a live one can refute early.
            self._ping(self._random.choice(list(self._suspicions)), now)

    def _start_exchange(self, now):
        """Starts a state exchange with one member and pings one dead member.

        The ping carries the record of the dead member, which refutes it if it is alive. This is
        how the two sides of a healed partition find each other.
        """
        partner = self._next_exchange_partner
        self._next_exchange_partner = None
        if partner not in self._probe_list:
            partner = next(iter(self._sample(1)), None)
        if partner is not None:
            self._send(partner, members.Digest(members.digest(self._members.values())))
        dead = [
            key for key in self._removal_times if self._members[key].state is members.State.DEAD
        ]
        if dead:
            self._dead_probe_count += 1
            self._ping(dead[self._dead_probe_count % len(dead)], now)

    def _send_joins(self):
        if not self._probe_list:
            self._send_to_seeds(members.Join(self._local_member))

    def _send_to_seeds(self, message):
        self._messages += [effects.Outgoing(None, seed, message) for seed in self._seeds]

    def _ping(self, target, now, requester=None, requester_sequence=0):
        if target not in self._members or target == self._local_member.id:
            return
        sequence = next(self._sequences)
        indirect_probe_at = now + self._settings.ack_timeout_seconds
        deadline = indirect_probe_at + self._settings.indirect_timeout_seconds
        if requester is not None:
            indirect_probe_at = _NEVER
        self._probes[sequence] = _Probe(
            target, indirect_probe_at, deadline, requester, requester_sequence
        )
        self._send_with_updates(target, members.Ping, sequence)

    def _check_probes(self, now):
        for sequence, probe in list(self._probes.items()):
            if probe.deadline <= now:
                del self._probes[sequence]
                if probe.requester is None:
                    self._record_failure(probe.target, members.State.SUSPECT, now)
            elif probe.indirect_probe_at <= now:
                probe.indirect_probe_at = _NEVER
                for helper in self._sample(self._settings.indirect_probe_count, probe.target):
                    self._send_with_updates(helper, members.PingRequest, sequence, probe.target)

    def _finish_probe(self, sequence):
        probe = self._probes.pop(sequence, None)
        if probe is not None and probe.requester is not None:
            self._send_with_updates(probe.requester, members.Ack, probe.requester_sequence)

    def _record_failure(self, member_id, state, now):
        """Records a suspicion or death that this process detected itself."""
        known = self._members.get(member_id)
        if known is None or known.state >= state:
            return
        self._merge(msgspec.structs.replace(known, state=state), now)
        if state is members.State.SUSPECT:
            self._send(member_id, members.Gossip((self._members[member_id],)))

    def _merge_all(self, records, now, disseminate=True):
        for record in records:
            self._merge(record, now, disseminate)

    def _merge(self, record, now, disseminate=True):
        """Keeps the known or the new record, whichever takes precedence."""
        if record.id == self._local_member.id:
            self._merge_local(record)
            return
        known = self._members.get(record.id)
        if known is None and record.state >= members.State.DEAD:
            # A removed dead member must not be added again by members that still keep it.
            return
        if known is not None and members.precedence_key(record) <= members.precedence_key(known):
            return
        self._members[record.id] = record
        self._update_timers_and_probe_list(record, known, now)
        if known is None or _published_record(known) != _published_record(record):
            self._changes.append(effects.Change(record, None if known is None else known.state))
        if disseminate:
            self._gossip.add(record)

    def _update_timers_and_probe_list(self, record, known, now):
        """Updates the timers and the probe list after a record has changed."""
        self._suspicions.pop(record.id, None)
        self._removal_times.pop(record.id, None)
        match record.state:
            case members.State.DEAD | members.State.LEFT:
                self._removal_times[record.id] = now + self._settings.dead_retention_seconds
                self._remove_from_probe_list(record.id)
                return
            case members.State.SUSPECT:
                self._suspicions[record.id] = now + self._settings.suspicion_timeout_seconds
        if record.id not in self._probe_list:
            self._probe_list.insert(self._random.randint(0, len(self._probe_list)), record.id)
        if known is not None and known.state is members.State.DEAD:
            self._next_exchange_partner = record.id
            soon = now + self._random.uniform(0, self._settings.join_retry_interval_seconds)
            self._next_exchange = min(self._next_exchange, soon)

    def _remove_from_probe_list(self, member_id):
        if member_id in self._probe_list:
            index = self._probe_list.index(member_id)
            del self._probe_list[index]
            if index < self._next_probe_index:
                self._next_probe_index -= 1

    def _merge_local(self, record):
        if record.incarnation > self._local_member.incarnation:
            self._superseded = True
        elif record.incarnation == self._local_member.incarnation and (
            members.State.ALIVE < record.state < members.State.LEFT
            and record.refutation >= self._local_member.refutation
        ):
            self._update_local(refutation=record.refutation + 1)
            for target in self._sample(self._settings.indirect_probe_count):
                self._send(target, members.Gossip((self._local_member,)))

    def _update_local(self, **fields):
        self._local_member = msgspec.structs.replace(self._local_member, **fields)
        self._members[self._local_member.id] = self._local_member
        self._gossip.add(self._local_member)

    def _send_with_updates(self, target, kind, *fields):
        """Sends a message with updates; a target that is not alive gets its own record first."""
        known = self._members.get(target)
        required = known if known is not None and known.state > members.State.ALIVE else None
        self._send(
            target, kind(*fields, self._gossip.next_updates(len(self._probe_list) + 1, required))
        )

    def _send(self, target, message, address=""):
        if target in self._members:
            address = self._members[target].address
        self._messages.append(effects.Outgoing(target, address, message))

    def _full_state(self, wants_answer):
        return members.States(tuple(self._members.values()), wants_answer)

    def _sample(self, count, *excluded):
        """Returns up to `count` random members that are alive or suspect."""
        others = [key for key in self._probe_list if key not in excluded]
        return self._random.sample(others, min(count, len(others)))

    def _exchange_delay(self):
        least = self._settings.exchange_interval_seconds_per_member * len(self._members)
        return max(self._settings.exchange_interval_seconds, least) * self._random.uniform(0.5, 1.5)


def _published_record(member):
    """Returns the record without its refutation number, which is not published."""
    return msgspec.structs.replace(member, refutation=0)
