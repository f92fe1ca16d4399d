"""Tests of leases: fencing numbers, expiry by the leader, and use by holders."""

import unittest

import machine_builders as builders

from coltsfoothead.coordination import lease
from coltsfoothead.coordination.machine import host

DRIFT = 0.1
TTL_SECONDS = 4.0


class Holder:
    """Lease holder whose clock runs at `rate` times true time."""

    def __init__(self, name, rate):
        self.name = name
        self.rate = rate
        self.holder = lease.LeaseHolder(DRIFT)
        self.request_count = 0

    def request(self, kind, now):
        if kind == "release":
            self.holder.mark_ended()
            return lease.Release("r", self.name, 1, self.holder.fence)
        if kind == "renew":
            return lease.Renew("r", self.name, 1, self.holder.fence)
        self.request_count += 1
        return lease.Grant("r", self.name, 1, TTL_SECONDS, f"{self.name}-{self.request_count}")


STEP_KINDS = ["grant"] * 3 + ["renew", "release", "elect"] + ["expire"] * 3 + ["deliver"] * 8
STEP_SECONDS = [0.0, 0.05, 0.2, 0.5]


class LeaseTest(unittest.TestCase):
    @builders.schedules(400)
    def test_there_are_never_two_holders(self, source):
        """Guards against two holders of a lease by drift, delay, resends or leader changes."""
        log = builders.Log(state_machines=host.CONTROL_STATE_MACHINES)
        state = log.machine.state(lease.NAME)
        rates = (1 - DRIFT, 1.0, 1 + DRIFT)
        holders = [Holder(name, source.choice(rates)) for name in "ab"]
        leader_rates = [source.choice(rates) for _ in range(2)]
        expiry_tracker, leader, now, network = lease.LeaseExpiryTracker(DRIFT), 0, 0.0, []
        expiry_tracker.start_leading(0.0, state.leases)
        for _ in range(150):
            kind, index = source.choice(STEP_KINDS), source.randrange(2)
            now += source.choice(STEP_SECONDS)
            local_times = [now * holder.rate for holder in holders]
            if kind == "elect":
                leader = 1 - leader
                expiry_tracker = lease.LeaseExpiryTracker(DRIFT)
                expiry_tracker.start_leading(now * leader_rates[leader], state.leases)
            elif kind == "expire":
                # Delivered later, so that a renewal can precede it in the log.
                due = expiry_tracker.due_expirations(now * leader_rates[leader])
                network += [(None, 0.0, expire) for expire in due]
            elif kind != "deliver":
                network.append((index, local_times[index], holders[index].request(kind, now)))
            elif network:
                position = source.randrange(min(3, len(network)))
                requester, requested_at, command = network[position]
                if source.random() < 0.7:
                    del network[position]
                result = log(command)
                expiry_tracker.record_applied(now * leader_rates[leader], "r", state.lease("r"))
                if isinstance(result, lease.Granted | lease.Renewed):
                    holders[requester].holder.extend(requested_at, result)
            held = [item.holder.is_held(local_times[i]) for i, item in enumerate(holders)]
            self.assertLess(sum(held), 2)
            if any(held):
                fence = holders[held.index(True)].holder.fence
                self.assertEqual(state.lease("r").fence, fence)

    def test_a_renewal_makes_an_older_expiry_void(self):
        """Guards against expiring a lease whose renewal precedes the expiry in the log."""
        log = builders.Log(state_machines=host.CONTROL_STATE_MACHINES)
        fence = log(lease.Grant("r", "a", 1, TTL_SECONDS, "1")).fence
        log(lease.Renew("r", "a", 1, fence))
        self.assertIsInstance(log(lease.Expire("r", fence, fence)), lease.NotHeld)
        self.assertEqual(log(lease.Expire("r", fence, fence + 1)), lease.Expired(fence))
        self.assertGreater(log(lease.Grant("r", "b", 1, TTL_SECONDS, "2")).fence, fence)

    def test_resends_and_refusals_are_typed(self):
        """Guards against a resent grant that is refused or gets a second fencing number."""
        log = builders.Log(state_machines=host.CONTROL_STATE_MACHINES)
        grant = lease.Grant("r", "a", 1, TTL_SECONDS, "1")
        self.assertEqual(log(grant), lease.Granted(1, TTL_SECONDS))
        self.assertEqual(log(grant), lease.Granted(1, TTL_SECONDS))
        self.assertEqual(
            log(lease.Grant("r", "a", 2, TTL_SECONDS, "1")).lease.holder_incarnation, 1
        )
        self.assertIsInstance(log(lease.Renew("r", "b", 1, 1)), lease.NotHeld)
        self.assertIsInstance(log(lease.Grant("s", "a", 1, -1.0, "1")), lease.InvalidTtl)

    def test_the_holder_renews_in_time_and_stops_early(self):
        """Guards against a late renewal, and a late answer that revives an ended lease."""
        holder = lease.LeaseHolder(DRIFT)
        holder.extend(10.0, lease.Granted(1, TTL_SECONDS))
        self.assertFalse(holder.should_renew(11.0))
        self.assertTrue(holder.should_renew(11.4))
        self.assertTrue(holder.is_held(13.5))
        self.assertFalse(holder.is_held(13.7))
        holder.extend(12.0, lease.Renewed(1, TTL_SECONDS))
        self.assertTrue(holder.is_held(13.7))
        holder.mark_ended()
        holder.extend(13.0, lease.Renewed(1, TTL_SECONDS))
        self.assertFalse(holder.is_held(13.1))
        self.assertAlmostEqual(lease.unfenced_wait_seconds(TTL_SECONDS, 0.5, DRIFT), 4.9)
