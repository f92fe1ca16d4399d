"""SWIM failure detector as a pure state machine."""

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
    """Times and bounds of the detector.

    Notes
    -----
    A crashed member is given up by every other one after at most
    ``(members - 1) * period + ack + indirect + suspicion`` seconds.
    """

    period_seconds: float = 0.5
    ack_seconds: float = 0.3
    indirect_seconds: float = 0.5
    suspicion_seconds: float = 2.0
    helpers: int = 3
    join_retry_seconds: float = 1.0
    exchange_seconds: float = 5.0
    # Keeps the cost of full exchanges per member level: 1,200 records are 110 KB.
    exchange_seconds_per_member: float = 0.1
    # Regions lose each other for an hour; the halves must still know each other after it.
    remember_dead_seconds: float = 86400.0
    # A tick that is this late means that the process was stopped or starved.
    pause_seconds: float = 0.25
    gossip_factor: int = 3
    gossip_updates: int = 16
    leave_fanout: int = 10


@dataclasses.dataclass(slots=True)
class _Probe:
    """Ping that waits for its ack, or one made for another member (`requester`)."""

    target: str
    ask_at: float
    end_at: float
    requester: str | None = None
    requester_sequence: int = 0


class Detector:
    """Failure detector of one member.

    Parameters
    ----------
    me : members.Member
        This process's own record.
    now : float
        Monotonic time in seconds.
    rng : random.Random
        Source of every random choice.
    settings : Settings, optional
        Times and bounds.
    """

    def __init__(self, me, now, rng, settings=None):
        self._settings = settings or Settings()
        self._random = rng
        self._me = me
        self._members = {me.id: me}
        self._ring = []
        self._ring_next = 0
        self._gossip = gossip.GossipQueue(
            self._settings.gossip_factor, self._settings.gossip_updates
        )
        self._sequences = itertools.count(1)
        self._probes = {}
        self._suspicions = {}
        self._forget = {}
        self._dead_turn = 0
        self._seeds = ()
        self._joined = False
        self._superseded = False
        self._messages = []
        self._changes = []
        self._next_period = now + rng.uniform(0, self._settings.period_seconds)
        self._next_exchange = now + self._exchange_delay()
        self._exchange_with = None
        self._next_join = _NEVER
        self._planned = self._wake_at()

    @property
    def me(self):
        """This process's own record."""
        return self._me

    @property
    def members(self):
        """Read-only mapping of all known records by member ID, this process included."""
        return types.MappingProxyType(self._members)

    def join(self, seeds, now):
        """Asks seed addresses for their members, again and again while there is no other member."""
        self._seeds = tuple(seed for seed in seeds if seed != self._me.address)
        self._next_join = now if self._seeds else _NEVER
        return self.tick(now)

    def leave(self, now):
        """Announces that this member leaves; later ticks do nothing."""
        self._me = msgspec.structs.replace(self._me, state=members.State.LEFT)
        self._members[self._me.id] = self._me
        for target in self._sample(self._settings.leave_fanout):
            self._send(target, members.Gossip((self._me,)))
        if not self._ring:
            # A seed may know this member already although its answer has not arrived.
            self._send_to_seeds(members.Gossip((self._me,)))
        return self._effects()

    def update(self, now, **fields):
        """Changes fields of the own record, for example ``metadata`` or ``voter``."""
        self._set_me(refutation=self._me.refutation + 1, **fields)
        return self._effects()

    def tick(self, now):
        """Runs the timers that are due."""
        self._absorb_pause(now)
        if self._me.state is members.State.LEFT:
            return self._effects()
        self._check_probes(now)
        for member_id in [key for key, end in self._suspicions.items() if end <= now]:
            self._declare(member_id, members.State.DEAD, now)
        for member_id in [key for key, end in self._forget.items() if end <= now]:
            del self._forget[member_id], self._members[member_id]
        if now >= self._next_period:
            self._next_period += self._settings.period_seconds
            self._start_period(now)
        if now >= self._next_exchange:
            self._next_exchange = now + self._exchange_delay()
            self._start_exchange(now)
        if now >= self._next_join:
            self._next_join = now + self._settings.join_retry_seconds
            self._ask_seeds()
        return self._effects()

    def receive(self, sender, message, now):
        """Handles a message of member `sender`."""
        self._absorb_pause(now)
        if self._me.state is members.State.LEFT:
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
                self._send(sender, self._all_states(wants_answer=False), member.address)
            case members.Digest(value):
                if value != members.digest(self._members.values()):
                    self._send(sender, self._all_states(wants_answer=True))
            case members.States(records, wants_answer):
                # The first list of a joining member is known to the others already.
                self._merge_all(records, now, spread=self._joined)
                self._joined = True
                if wants_answer:
                    self._send(sender, self._all_states(wants_answer=False))
        return self._effects()

    def _effects(self):
        self._planned = self._wake_at()
        result = effects.Effects(
            tuple(self._messages), tuple(self._changes), self._planned, self._superseded
        )
        self._messages = []
        self._changes = []
        return result

    def _wake_at(self):
        if self._me.state is members.State.LEFT:
            return _NEVER
        times = [self._next_period, self._next_exchange, self._next_join]
        times += [min(probe.ask_at, probe.end_at) for probe in self._probes.values()]
        times += self._suspicions.values()
        return min(times)

    def _absorb_pause(self, now):
        """Moves all deadlines if this process did not run when it should have.

        Without this, a process that was stopped for long would find every timer expired and
        declare members dead before it reads the acks that wait in its sockets.
        """
        late = now - self._planned
        if late <= self._settings.pause_seconds:
            return
        for probe in self._probes.values():
            probe.ask_at += late
            probe.end_at += late
        for table in (self._suspicions, self._forget):
            for member_id in table:
                table[member_id] += late
        self._next_period += late
        self._next_exchange += late
        self._next_join += late
        self._planned = self._wake_at()

    def _start_period(self, now):
        if self._ring:
            self._ring_next %= len(self._ring)
            self._ping(self._ring[self._ring_next], now)
            self._ring_next += 1
        if self._suspicions:
            # A suspect that lives gets a chance to refute in each period, whatever its turn is.
            self._ping(self._random.choice(list(self._suspicions)), now)

    def _start_exchange(self, now):
        """Compares states with one member and pings one dead member.

        The dead one's record travels with the ping, so that it refutes if it lives; that is how
        two halves of a healed partition find each other.
        """
        partner = self._exchange_with
        self._exchange_with = None
        if partner not in self._ring:
            partner = next(iter(self._sample(1)), None)
        if partner is not None:
            self._send(partner, members.Digest(members.digest(self._members.values())))
        dead = [key for key in self._forget if self._members[key].state is members.State.DEAD]
        if dead:
            self._dead_turn += 1
            self._ping(dead[self._dead_turn % len(dead)], now)

    def _ask_seeds(self):
        if not self._ring:
            self._send_to_seeds(members.Join(self._me))

    def _send_to_seeds(self, message):
        self._messages += [effects.Outgoing(None, seed, message) for seed in self._seeds]

    def _ping(self, target, now, requester=None, requester_sequence=0):
        if target not in self._members or target == self._me.id:
            return
        sequence = next(self._sequences)
        ask_at = now + self._settings.ack_seconds
        end_at = ask_at + self._settings.indirect_seconds
        if requester is not None:
            ask_at = _NEVER
        self._probes[sequence] = _Probe(target, ask_at, end_at, requester, requester_sequence)
        self._send_with_updates(target, members.Ping, sequence)

    def _check_probes(self, now):
        for sequence, probe in list(self._probes.items()):
            if probe.end_at <= now:
                del self._probes[sequence]
                if probe.requester is None:
                    self._declare(probe.target, members.State.SUSPECT, now)
            elif probe.ask_at <= now:
                probe.ask_at = _NEVER
                for helper in self._sample(self._settings.helpers, probe.target):
                    self._send_with_updates(helper, members.PingRequest, sequence, probe.target)

    def _finish_probe(self, sequence):
        probe = self._probes.pop(sequence, None)
        if probe is not None and probe.requester is not None:
            self._send_with_updates(probe.requester, members.Ack, probe.requester_sequence)

    def _declare(self, member_id, state, now):
        """Records a suspicion or death that this process found itself."""
        known = self._members.get(member_id)
        if known is None or known.state >= state:
            return
        self._merge(msgspec.structs.replace(known, state=state), now)
        if state is members.State.SUSPECT:
            self._send(member_id, members.Gossip((self._members[member_id],)))

    def _merge_all(self, records, now, spread=True):
        for record in records:
            self._merge(record, now, spread)

    def _merge(self, record, now, spread=True):
        """Keeps the greater of the known and the new record."""
        if record.id == self._me.id:
            self._merge_me(record)
            return
        known = self._members.get(record.id)
        if known is None and record.state >= members.State.DEAD:
            # Those who forgot a dead member must not learn it again from those who did not yet.
            return
        if known is not None and members.order(record) <= members.order(known):
            return
        self._members[record.id] = record
        self._follow(record, known, now)
        if known is None or _visible(known) != _visible(record):
            self._changes.append(effects.Change(record, None if known is None else known.state))
        if spread:
            self._gossip.add(record)

    def _follow(self, record, known, now):
        """Adjusts timers and the ring to a new record."""
        self._suspicions.pop(record.id, None)
        self._forget.pop(record.id, None)
        match record.state:
            case members.State.DEAD | members.State.LEFT:
                self._forget[record.id] = now + self._settings.remember_dead_seconds
                self._remove_from_ring(record.id)
                return
            case members.State.SUSPECT:
                self._suspicions[record.id] = now + self._settings.suspicion_seconds
        if record.id not in self._ring:
            self._ring.insert(self._random.randint(0, len(self._ring)), record.id)
        if known is not None and known.state is members.State.DEAD:
            self._exchange_with = record.id
            soon = now + self._random.uniform(0, self._settings.join_retry_seconds)
            self._next_exchange = min(self._next_exchange, soon)

    def _remove_from_ring(self, member_id):
        if member_id in self._ring:
            index = self._ring.index(member_id)
            del self._ring[index]
            if index < self._ring_next:
                self._ring_next -= 1

    def _merge_me(self, record):
        if record.incarnation > self._me.incarnation:
            self._superseded = True
        elif record.incarnation == self._me.incarnation and (
            members.State.ALIVE < record.state < members.State.LEFT
            and record.refutation >= self._me.refutation
        ):
            self._set_me(refutation=record.refutation + 1)
            for target in self._sample(self._settings.helpers):
                self._send(target, members.Gossip((self._me,)))

    def _set_me(self, **fields):
        self._me = msgspec.structs.replace(self._me, **fields)
        self._members[self._me.id] = self._me
        self._gossip.add(self._me)

    def _send_with_updates(self, target, kind, *fields):
        """Sends a message with updates, first of all what is believed of a target not alive."""
        known = self._members.get(target)
        first = known if known is not None and known.state > members.State.ALIVE else None
        self._send(target, kind(*fields, self._gossip.take(len(self._ring) + 1, first)))

    def _send(self, target, message, address=""):
        if target in self._members:
            address = self._members[target].address
        self._messages.append(effects.Outgoing(target, address, message))

    def _all_states(self, wants_answer):
        return members.States(tuple(self._members.values()), wants_answer)

    def _sample(self, count, *excluded):
        """Returns up to `count` random members that are not believed dead."""
        others = [key for key in self._ring if key not in excluded]
        return self._random.sample(others, min(count, len(others)))

    def _exchange_delay(self):
        least = self._settings.exchange_seconds_per_member * len(self._members)
        return max(self._settings.exchange_seconds, least) * self._random.uniform(0.5, 1.5)


def _visible(member):
    """Returns what subscribers see of a record."""
    return msgspec.structs.replace(member, refutation=0)
