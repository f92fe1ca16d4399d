"""Tests of the ledger of calls that run at most once."""

import collections
import gc
import tracemalloc
import unittest
import uuid

import machine_builders as builders

from coltsfoothead.coordination import ledger
from coltsfoothead.coordination.machine import host

ANSWER = ledger.Answer(200, (("content-type", "text/plain"),), b"answer")
DAY_MS = 86_400_000


class Entry:
    """Gateway process that sends each request upstream once, after its claim is committed."""

    def __init__(self, name):
        self.name = name
        self.incarnation = 1
        self.requests = 0
        self.pending = {}

    def start(self, key):
        self.requests += 1
        request = f"{self.name}-{self.incarnation}-{self.requests}"
        self.pending[request] = [key, None, False]
        return builders.claim(key, request, self.name, self.incarnation)

    def claimed(self, request, claim):
        if request in self.pending:
            self.pending[request][1] = claim

    def pick_pending(self, sent):
        ready = [item for item in self.pending.items() if item[1][1] and item[1][2] == sent]
        return ready[0] if ready else (None, (None, None, None))

    def crash(self):
        self.pending = {}
        self.incarnation += 1
        return ledger.OwnerGone(self.name, self.incarnation - 1)


ACTIONS = ["claim", "send"] * 3 + ["deliver"] * 8
ACTIONS += ["complete", "abandon", "release", "release", "crash", "restore", "suspect"]


class InterleavingTest(unittest.TestCase):
    @builders.schedules(500)
    def test_a_key_is_executed_at_most_once(self, rng):
        """Guards against a second execution after crashes, resends, reordering or suspicion."""
        log = builders.Log(state_machines=host.LEDGER_STATE_MACHINES)
        entries = [Entry(name) for name in "abc"]
        network, executed, answered = [], collections.Counter(), {}
        for _ in range(100):
            action, key = rng.choice(ACTIONS), rng.choice(["key-1", "key-2"])
            entry = rng.choice(entries)
            sent = action in ("complete", "abandon")
            request, (claimed_key, claim, _) = entry.pick_pending(sent)
            if action == "claim":
                network.append((entry, entry.start(key)))
            elif action == "crash":
                network.append((entry, entry.crash()))
            elif action == "suspect":
                network.append((entry, ledger.OwnerGone(entry.name, entry.incarnation)))
            elif action == "restore":
                log = log.copy()
            elif action == "deliver" and network:
                sender, command = rng.choice(network)
                if rng.random() < 0.6:
                    network.remove((sender, command))
                result = log(command)
                if isinstance(result, ledger.Claimed):
                    sender.claimed(command.request_id, result.claim)
                elif isinstance(result, ledger.Stored):
                    self.assertEqual(answered[command.key.value], result.answer.body)
            elif request is not None and action == "send":
                executed[claimed_key] += 1
                entry.pending[request][2] = True
            elif request is not None and action != "deliver":
                del entry.pending[request]
                scope = (builders.key(claimed_key), entry.name, claim)
                if action == "complete":
                    answered[claimed_key] = request.encode()
                    answer = ledger.Answer(200, (), answered[claimed_key])
                    network.append((entry, ledger.Complete(*scope, answer)))
                else:
                    end = {"release": ledger.Release, "abandon": ledger.Abandon}[action]
                    network.append((entry, end(*scope)))
            self.assertLessEqual(max(executed.values(), default=0), 1)


class RuleTest(unittest.TestCase):
    def setUp(self):
        self.log = builders.Log(state_machines=host.LEDGER_STATE_MACHINES)

    def complete(self, answer=ANSWER, **claim):
        number = self.log(builders.claim(**claim)).claim
        return self.log(ledger.Complete(builders.key(), "a", number, answer))

    def test_a_duplicate_gets_the_state_of_the_call(self):
        """Guards against a duplicate that runs, or whose result omits a known state of the call."""
        self.assertEqual(self.log(builders.claim()), ledger.Claimed(1))
        self.assertEqual(self.log(builders.claim()), ledger.Claimed(1))
        other = builders.claim(request="request-2", owner="b")
        self.assertEqual(self.log(other), ledger.Running("a", 1, "request-1"))
        reused = builders.claim(request="request-3", body=b"other")
        self.assertEqual(self.log(reused), ledger.KeyReused("request-1"))
        self.assertEqual(self.log(ledger.OwnerGone("a", 1)), ledger.OwnerRemoved(1))
        self.assertEqual(self.log(other), ledger.Unknown("request-1"))
        self.assertEqual(self.log(builders.claim("key-2")), ledger.OwnerRefused(1))
        late = ledger.Complete(builders.key(), "a", 1, ANSWER)
        self.assertEqual(self.log(late), ledger.Completed())
        self.assertEqual(self.log(other), ledger.Stored("request-1", ANSWER))

    def test_scopes_do_not_share_keys(self):
        """Guards against one organisation reading another one's stored answer."""
        self.complete()
        for scope in (("organisation-2", "service-1"), ("organisation-1", "service-2")):
            claim = ledger.Claim(builders.key("key-1", *scope), b"body", "r", "b", 1, 0)
            self.assertIsInstance(self.log(claim), ledger.Claimed)

    def test_a_resent_release_leaves_a_later_claim_alone(self):
        """Guards against a second execution after a release was resent."""
        release = ledger.Release(builders.key(), "a", self.log(builders.claim()).claim)
        self.assertEqual(self.log(release), ledger.Released())
        self.assertEqual(self.log(release), ledger.Released())
        self.log(builders.claim(request="request-2"))
        self.assertEqual(self.log(release), ledger.NotClaimant())
        self.assertIsInstance(self.log(builders.claim(request="request-3")), ledger.Running)

    def test_records_become_tombstones_and_are_removed(self):
        """Guards against a call that runs again under an expired key, and records kept for ever."""
        self.complete(now=1000)
        late = builders.claim(request="request-2", now=1000 + DAY_MS)
        self.assertEqual(self.log(late), ledger.KeyExpired())
        self.assertEqual(self.log(ledger.Expire(0)), ledger.Expired(1, 0, False))
        self.assertEqual(self.log(late), ledger.KeyExpired())
        self.assertLess(self.log.machine.state("ledger").state_bytes(), 200)
        self.assertEqual(self.log(ledger.Expire(999 + 8 * DAY_MS)), ledger.Expired(0, 0, False))
        self.assertEqual(self.log(ledger.Expire(1000 + 8 * DAY_MS)), ledger.Expired(0, 1, False))
        self.assertEqual(self.log.machine.state("ledger").state_bytes(), 0)

    @builders.schedules(60)
    def test_expiry_continues_after_a_restore(self, rng):
        """Guards against a snapshot that loses the order in which records settled."""
        settings = ledger.Settings(retention_ms=20, tombstone_ms=40, expire_batch=2)
        log = builders.Log({"ledger": settings}, host.LEDGER_STATE_MACHINES)
        copy, claims = log.copy(), {}
        for now in range(0, 200, 2):
            name = f"key-{rng.randrange(8)}"
            command = rng.choice([builders.claim(name, now=now), ledger.Expire(now)])
            if name in claims:
                command = ledger.Complete(builders.key(name), "a", claims.pop(name), ANSWER)
            elif rng.random() < 0.1:
                copy = log.copy()
            result = log(command)
            self.assertEqual(copy(command), result)
            if isinstance(result, ledger.Claimed):
                claims[name] = result.claim
        self.assertEqual(log.machine.snapshot(), copy.machine.snapshot())

    def test_one_expire_command_does_bounded_work(self):
        """Guards against an `Expire` that stalls the log on a day's worth of records."""
        self.log = builders.Log(
            {"ledger": ledger.Settings(expire_batch=3)}, host.LEDGER_STATE_MACHINES
        )
        for number in range(5):
            claimed = self.log(builders.claim(f"key-{number}"))
            self.log(ledger.Abandon(builders.key(f"key-{number}"), "a", claimed.claim))
        self.assertEqual(self.log(ledger.Expire(DAY_MS)), ledger.Expired(3, 0, True))
        self.assertEqual(self.log(ledger.Expire(DAY_MS)), ledger.Expired(2, 0, False))

    def test_old_time_ordered_keys_need_no_state(self):
        """Guards against a call that runs again under a UUIDv7 after its tombstone was removed."""
        created_at = 10 * DAY_MS
        value = str(uuid.UUID(int=(created_at << 80) | (7 << 76) | (2 << 62) | 5))
        self.assertFalse(ledger.expired_by_age(value, created_at + DAY_MS, DAY_MS))
        self.assertTrue(ledger.expired_by_age(value, created_at + DAY_MS + 1, DAY_MS))
        old = builders.claim(value, now=created_at + DAY_MS + 1)
        self.assertEqual(self.log(old), ledger.KeyExpired())
        self.assertEqual(self.log.machine.state("ledger").state_bytes(), 0)
        for other in ("x" * 14 + "7" + "x" * 21, str(uuid.UUID(int=4 << 76)), "key"):
            self.assertFalse(ledger.expired_by_age(other, created_at, DAY_MS))

    def test_a_large_answer_is_reduced_to_its_status(self):
        """Guards against the log and the state growing with large answers."""
        self.complete(ledger.Answer(201, (), b"x" * (64 * 1024 + 1)))
        duplicate = self.log(builders.claim(request="request-2"))
        self.assertEqual(duplicate, ledger.Unknown("request-1", 201))
        self.assertLess(self.log.machine.state("ledger").state_bytes(), 1000)

    def test_the_estimated_size_is_near_the_measured_size(self):
        """Guards against state size limits that rest on a wrong estimate of the record sizes."""
        count, state = 5000, self.log.machine.state("ledger")
        stages = {
            "running": lambda i: self.log(
                builders.claim(f"k{i}", str(uuid.uuid4()), body=i.to_bytes(32, "big"))
            ),
            "settled": lambda i: self.log(
                ledger.Complete(builders.key(f"k{i}"), "a", i + 1, ANSWER)
            ),
        }
        tracemalloc.start()
        for stage, step in stages.items():
            for i in range(count):
                step(i)
            gc.collect()
            measured = tracemalloc.get_traced_memory()[0] / count
            print(f"{stage}: {measured:.0f} bytes measured, {state.state_bytes() / count:.0f}")
            self.assertLess(abs(state.state_bytes() / count / measured - 1), 0.25, stage)
        self.log(ledger.Expire(DAY_MS))
        while self.log(ledger.Expire(DAY_MS)).more:
            pass
        gc.collect()
        measured = tracemalloc.get_traced_memory()[0] / count
        tracemalloc.stop()
        print(f"tombstone: {measured:.0f} bytes measured, {state.state_bytes() / count:.0f}")
        self.assertLess(abs(state.state_bytes() / count / measured - 1), 0.25)
