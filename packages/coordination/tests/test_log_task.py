"""Tests of the asyncio task that runs a replica."""

import asyncio
import pathlib
import tempfile
import threading
import unittest
import unittest.mock

import log_group

from coltsfoothead.coordination.replication import effects, errors, raft, requests
from coltsfoothead.coordination.storage import disk, memory, schema


class SlowDisk(memory.MemoryDisk):
    """Disk whose syncs block until `gate` is set; records the threads that synced."""

    def __init__(self):
        super().__init__()
        self.gate = threading.Event()
        self.gate.set()
        self.threads = set()

    def sync(self, name):
        self.threads.add(threading.get_ident())
        self.gate.wait(5)
        super().sync(name)


class BrokenDisk(SlowDisk):
    """Disk whose syncs fail while `broken` is set, also those that wait for `gate` meanwhile."""

    broken = False

    def sync(self, name):
        self.gate.wait(5)
        if self.broken:
            raise OSError("input/output error")
        super().sync(name)


class LogTaskTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):  # noqa: N802
        # In debug mode, which unittest enables, creating 250 tasks blocked the event loop for
        # 230 ms, longer than the shortest election timeout of these tests (200 ms).
        asyncio.get_running_loop().set_debug(False)

    async def group(self, *arguments, **options):
        group = log_group.LogGroup(*arguments, **options)
        await group.start()
        self.addAsyncCleanup(group.stop)
        return group

    async def test_proposals_are_applied_everywhere(self):
        """Guards against lost or confused results, also after a restart from a snapshot."""
        group = await self.group()
        _, log = await group.leader()
        commands = [b"%d" % i for i in range(250)]
        results = await asyncio.gather(*(log.propose(command) for command in commands))
        self.assertEqual(results, commands)
        await log.barrier()
        expected = [command for _, command in group.machines["n1"].commands]
        await group.wait_until(
            lambda: all(len(machine.commands) == 250 for machine in group.machines.values())
        )
        self.assertEqual(
            [command for _, command in group.machines["n2"].commands][: len(expected)], expected
        )
        self.assertGreater(log.status().snapshot_index, 0)
        await group.stop()
        await group.start()
        await group.leader()
        await group.wait_until(lambda: all(len(m.commands) == 250 for m in group.machines.values()))

    async def test_errors_without_leadership(self):
        """Guards against an error that reports an unknown outcome of a command as certain."""
        group = await self.group()
        name, log = await group.leader()
        await log.propose(b"first")
        follower = next(other for other in group.tasks if other != name)
        await group.wait_until(lambda: group.tasks[follower].status().leader == name)
        with self.assertRaises(errors.NotLeaderError) as caught:
            await group.tasks[follower].propose(b"x")
        self.assertEqual(caught.exception.leader, name)
        group.isolated.add(name)
        waiting = asyncio.gather(
            log.propose(b"unknown", 60), log.barrier(60), return_exceptions=True
        )
        results = await asyncio.wait_for(waiting, 5)
        self.assertIsInstance(results[0], errors.ProposalLostError)
        self.assertIsInstance(results[1], errors.QuorumLostError)
        with self.assertRaises(errors.NotLeaderError):
            await log.propose(b"x")
        await group.leader()
        group.isolated.clear()
        await log.stop()
        with self.assertRaises(errors.StoppedError):
            await log.propose(b"x")

    async def test_entry_of_another_leader_does_not_answer(self):
        """Guards against returning the result of another command at the same index."""
        pending = requests.PendingRequests()
        request = requests.Request(asyncio.get_running_loop().create_future(), b"mine")
        pending.add(request)
        replica = unittest.mock.Mock()
        replica.propose.return_value = (range(7, 8), effects.Effects())
        replica.state.term = 3
        pending.submit_queued(replica, 0.0, 10)
        pending.on_applied(schema.Entry(7, 4, 1, b"other"), b"result")
        with self.assertRaises(errors.ProposalLostError):
            await request.future

    async def test_timeouts(self):
        """Guards against a call that never returns on a leader without a quorum."""
        group = await self.group()
        name, log = await group.leader()
        group.isolated.add(name)
        with self.assertRaises(errors.ProposalLostError):
            await log.propose(b"x", timeout=0.03)
        with self.assertRaises(errors.QuorumLostError):
            await log.barrier(timeout=0.03)

    async def test_a_cancelled_proposal_stays_cancelled(self):
        """Guards against a background task that goes on after it was cancelled, and blocks a stop.

        The cancellation arrives together with the result of a proposal.
        """
        group = await self.group(1)
        _, log = await group.leader()
        for turns in range(4):
            proposal = asyncio.create_task(log.propose(b"x"))
            while not (pending := self.pending_futures(log)):
                await asyncio.sleep(0)
            pending[0].set_result(b"x")
            for _ in range(turns):
                if not proposal.done():
                    await asyncio.sleep(0)
            if not proposal.done():
                proposal.cancel()
                with self.assertRaises(asyncio.CancelledError):
                    await proposal

    @staticmethod
    def pending_futures(log):
        """Returns the futures of the queued and the appended requests that are not done."""
        pending = log._requests
        every = [*pending._queue, *pending._pending.values()]
        return [each.future for each in every if not each.future.done()]

    async def test_voter_is_replaced(self):
        """Guards against a replacement after which the group cannot lose another voter."""
        group = await self.group()
        name, log = await group.leader()
        await asyncio.gather(*(log.propose(b"%d" % i) for i in range(300)))
        lost, second = sorted(other for other in group.tasks if other != name)
        place = log.members[lost]
        await group.stop(lost)
        await group.start("new")
        self.assertEqual(group.tasks["new"].status().role, "learner")
        await log.add_learner("new", "addr-new", place[1])
        await log.promote("new")
        await log.remove(lost)
        self.assertEqual(log.status().voters, tuple(sorted((name, second, "new"))))
        self.assertEqual(log.members["new"], ("addr-new", place[1]))
        await group.stop(second)
        self.assertEqual(await log.propose(b"after"), b"after")
        await group.wait_until(lambda: len(group.machines["new"].commands) == 301)
        with self.assertRaises(errors.MembershipChangeError):
            await log.remove("nobody")

    async def test_response_times_are_those_of_the_leaders_term(self):
        """Guards against a leader that relies on responses to an earlier leader."""
        group = await self.group()
        name, log = await group.leader()
        await log.propose(b"1")
        self.assertTrue(log.peer_response_times())
        self.assertNotIn(name, log.peer_response_times())
        await log.transfer_leadership()
        self.assertEqual(log.peer_response_times(), {})

    async def test_leadership_transfer(self):
        """Guards against a planned stop without a leadership transfer."""
        group = await self.group()
        name, log = await group.leader()
        target = await log.transfer_leadership()
        self.assertNotEqual(target, name)
        await group.wait_until(lambda: group.tasks[target].status().role == "leader")

    async def test_sync_does_not_block_the_event_loop(self):
        """Guards against a slow disk that blocks the event loop, and one sync per proposal."""
        group = await self.group(1, make_disk=lambda name: SlowDisk())
        _, log = await group.leader()
        slow = group.disks["n1"]
        slow.gate.clear()
        first = asyncio.create_task(log.propose(b"0"))
        await asyncio.sleep(0.05)
        self.assertFalse(first.done())
        before = slow.syncs
        others = [asyncio.create_task(log.propose(b"%d" % i)) for i in range(1, 50)]
        await asyncio.sleep(0.05)
        slow.gate.set()
        await asyncio.gather(first, *others)
        self.assertLessEqual(slow.syncs - before, 3)
        # The folder was opened, with its first sync, in the thread of the test.
        self.assertTrue(slow.threads - {threading.get_ident()})

    async def test_failed_sync_stops_the_replica(self):
        """Guards against continuing after a failed sync, whose data may be lost."""
        group = await self.group(1, make_disk=lambda name: BrokenDisk())
        _, log = await group.leader()
        # A leader is known before the write of its election has ended.
        await log.propose(b"first")
        group.disks["n1"].broken = True
        with self.assertRaises(errors.ProposalLostError):
            await log.propose(b"x")
        self.assertIsInstance(await log.wait_stopped(), OSError)
        with self.assertRaises(errors.StoppedError):
            await log.propose(b"x")

    async def test_failed_sync_of_an_election_stops_the_replica(self):
        """Guards against an unknown outcome for a command that was never appended."""
        group = log_group.LogGroup(1, make_disk=lambda name: BrokenDisk())
        await group.start()
        self.addAsyncCleanup(group.stop)
        broken = group.disks["n1"]
        broken.gate.clear()
        _, log = await group.leader()
        proposal = asyncio.create_task(log.propose(b"x"))
        await asyncio.sleep(0)
        broken.broken = True
        broken.gate.set()
        with self.assertRaises(errors.StoppedError):
            await proposal
        self.assertIsInstance(await log.wait_stopped(), OSError)

    async def test_rolled_back_folder_stops_the_replica(self):
        """Guards against a voter that continues after its folder was restored from a copy."""
        group = await self.group()
        name, log = await group.leader()
        other = next(peer for peer in group.tasks if peer != name)
        copy = group.disks[other].copy()
        await asyncio.gather(*(log.propose(b"%d" % i) for i in range(10)))
        await asyncio.sleep(0.1)
        await group.stop(other)
        group.disks[other] = copy
        await group.start(other)
        failure = await asyncio.wait_for(group.tasks[other].wait_stopped(), 5)
        self.assertIsInstance(failure, errors.RolledBackError)
        self.assertEqual(await log.propose(b"on"), b"on")

    async def test_invalid_payloads_are_dropped(self):
        """Guards against an invalid payload that stops a replica."""
        group = await self.group(1)
        _, log = await group.leader()
        log.receive("x", b"garbage")
        await group.wait_until(lambda: log.dropped_messages == 1)
        self.assertEqual(await log.propose(b"on"), b"on")

    async def test_real_disk(self):
        """Guards against a difference between the in-memory disk and real files."""
        with tempfile.TemporaryDirectory() as path:
            root = pathlib.Path(path)
            group = await self.group(make_disk=lambda name: disk.DirectoryDisk(root / name))
            _, log = await group.leader()
            await asyncio.gather(*(log.propose(b"%d" % i) for i in range(250)))
            await group.stop()
            group.disks = {}
            await group.start()
            await group.leader()
            await group.wait_until(
                lambda: all(len(machine.commands) == 250 for machine in group.machines.values())
            )
            await group.stop()

    async def test_bootstrap_is_deterministic(self):
        """Guards against initial voters that start with different logs."""
        places = {"b": ("2", "z2"), "a": ("1", "z1")}
        reversed_places = dict(reversed(places.items()))
        self.assertEqual(
            raft.bootstrap_entries(places, True), raft.bootstrap_entries(reversed_places, True)
        )
