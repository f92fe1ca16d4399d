"""Tests of leases: fencing numbers, the keeper's and the holders' clocks."""

import unittest

import machine_builders as builders

from coltsfoothead.coordination import lease
from coltsfoothead.coordination.machine import host

DRIFT = 0.1
TTL = 4.0


class Holder:
    """A holder with a drifting clock, and the questions it has under way."""

    def __init__(self, name, rate):
        self.name = name
        self.rate = rate
        self.holder = lease.LeaseHolder(DRIFT)
        self.requests = 0

    def ask(self, kind, now):
        if kind == "release":
            self.holder.ended()
            return lease.Release("r", self.name, 1, self.holder.fence)
        if kind == "renew":
            return lease.Renew("r", self.name, 1, self.holder.fence)
        self.requests += 1
        return lease.Grant("r", self.name, 1, TTL, f"{self.name}-{self.requests}")


KINDS = ["grant"] * 3 + ["renew", "release", "elect"] + ["expire"] * 3 + ["deliver"] * 8
WAITS = [0.0, 0.05, 0.2, 0.5]


class LeaseTest(unittest.TestCase):
    @builders.schedules(400)
    def test_there_are_never_two_holders(self, source):
        """Guards against drift, delay, resends and new leaders giving one lease to two."""
        log = builders.Log(kinds=host.CONTROL_KINDS)
        state = log.machine.state(lease.NAME)
        rates = (1 - DRIFT, 1.0, 1 + DRIFT)
        holders = [Holder(name, source.choice(rates)) for name in "ab"]
        leader_rates = [source.choice(rates) for _ in range(2)]
        keeper, leader, now, network = lease.LeaseKeeper(DRIFT), 0, 0.0, []
        keeper.elected(0.0, state.leases)
        for _ in range(150):
            kind, who = source.choice(KINDS), source.randrange(2)
            now += source.choice(WAITS)
            at = [now * holder.rate for holder in holders]
            if kind == "elect":
                leader = 1 - leader
                keeper = lease.LeaseKeeper(DRIFT)
                keeper.elected(now * leader_rates[leader], state.leases)
            elif kind == "expire":
                # Delivered later, so a renewal can enter the log first.
                due = keeper.due(now * leader_rates[leader])
                network += [(None, 0.0, expire) for expire in due]
            elif kind != "deliver":
                network.append((who, at[who], holders[who].ask(kind, now)))
            elif network:
                position = source.randrange(min(3, len(network)))
                asker, asked_at, command = network[position]
                if source.random() < 0.7:
                    del network[position]
                result = log(command)
                keeper.applied(now * leader_rates[leader], "r", state.lease("r"))
                if isinstance(result, lease.Granted | lease.Renewed):
                    holders[asker].holder.granted(asked_at, result)
            held = [item.holder.held(at[i]) for i, item in enumerate(holders)]
            self.assertLess(sum(held), 2)
            if any(held):
                fence = holders[held.index(True)].holder.fence
                self.assertEqual(state.lease("r").fence, fence)

    def test_a_renewal_makes_an_older_expiry_void(self):
        """Guards against ending a lease whose renewal entered the log before the expiry."""
        log = builders.Log(kinds=host.CONTROL_KINDS)
        fence = log(lease.Grant("r", "a", 1, TTL, "1")).fence
        log(lease.Renew("r", "a", 1, fence))
        self.assertIsInstance(log(lease.Expire("r", fence, fence)), lease.NotHeld)
        self.assertEqual(log(lease.Expire("r", fence, fence + 1)), lease.Expired(fence))
        self.assertGreater(log(lease.Grant("r", "b", 1, TTL, "2")).fence, fence)

    def test_resends_and_refusals_are_typed(self):
        """Guards against a resent grant being refused, or granted under a second number."""
        log = builders.Log(kinds=host.CONTROL_KINDS)
        grant = lease.Grant("r", "a", 1, TTL, "1")
        self.assertEqual(log(grant), lease.Granted(1, TTL))
        self.assertEqual(log(grant), lease.Granted(1, TTL))
        self.assertEqual(log(lease.Grant("r", "a", 2, TTL, "1")).lease.holder_incarnation, 1)
        self.assertIsInstance(log(lease.Renew("r", "b", 1, 1)), lease.NotHeld)
        self.assertIsInstance(log(lease.Grant("s", "a", 1, -1.0, "1")), lease.InvalidTtl)

    def test_the_holder_renews_in_time_and_stops_early(self):
        """Guards against a holder that renews too late, or acts after an answer came late."""
        holder = lease.LeaseHolder(DRIFT)
        holder.granted(10.0, lease.Granted(1, TTL))
        self.assertFalse(holder.should_renew(11.0))
        self.assertTrue(holder.should_renew(11.4))
        self.assertTrue(holder.held(13.5))
        self.assertFalse(holder.held(13.7))
        holder.granted(12.0, lease.Renewed(1, TTL))
        self.assertTrue(holder.held(13.7))
        holder.ended()
        holder.granted(13.0, lease.Renewed(1, TTL))
        self.assertFalse(holder.held(13.1))
        self.assertAlmostEqual(lease.fence_wait(TTL, 0.5, DRIFT), 4.9)
