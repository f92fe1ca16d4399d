"""Tests of the owner side of replication."""

import asyncio
import time
import unittest

from coltsfoothead.coordination import arbitration
from coltsfoothead.coordination.guard import messages
from coltsfoothead.coordination.membership import members
from coltsfoothead.daemon import metrics
from coltsfoothead.daemon.callers import refusals
from coltsfoothead.daemon.serving import ownerside, requests


class RecordingArbiter:
    """Records proposed commands with their callbacks; the test calls these with the decision."""

    def __init__(self):
        self.proposed = {}

    def decide(self, command, on_decided):
        self.proposed.setdefault(command, on_decided)


class OwnerSideTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.arbiter = RecordingArbiter()
        self.posted = []
        self.members = {
            name: members.Member(name, "127.0.0.1:1", "home", zone, incarnation=7)
            for name, zone in (("me", "a"), ("left", "b"), ("right", "c"))
        }
        self.table = requests.RequestTable(600.0, 1 << 20)
        self.owner_side = ownerside.OwnerSide(
            ownerside.OwnerSettings("me", 100, True),
            None,
            lambda guard, batch: self.posted.append((guard, batch)),
            lambda: self.members,
            self.arbiter,
            self.table,
            metrics.Metrics(),
            time.monotonic,
        )

    def send(self):
        """Sends the batches that are due one second after those of the previous call."""
        self.now = getattr(self, "now", time.monotonic()) + 1
        self.owner_side.send(self.now)

    async def accept_request(self, request_id):
        """Returns a new request of which a guard has confirmed its copy."""
        body = {"model": "small", "messages": []}
        request = requests.ModelRequest(request_id, "kiosk", body, 0, time.monotonic() + 60)
        self.table.add(request)
        copying = asyncio.create_task(self.owner_side.create_copy(request))
        await asyncio.sleep(0)
        self.confirm(request)
        await copying
        return request

    def confirm(self, request):
        """Acknowledges the latest copy of a request in the name of its guard."""
        self.send()
        copies = [
            (guard, message)
            for guard, batch in self.posted
            for message in batch.messages
            if isinstance(message, messages.Copy) and message.request_id == request.request_id
        ]
        guard, copy = copies[-1]
        answer = messages.Acknowledge(
            request.request_id, copy.epoch, len(copy.chunks), False, copy.guard_number
        )
        self.owner_side.receive(guard, answer)

    async def accept_request_at(self, guard, prefix):
        """Accepts requests until one has this guard, and returns that one."""
        for number in range(100):
            request = await self.accept_request(f"{prefix}{number}")
            if request.guard == guard:
                return request
        raise AssertionError(f"no request got guard {guard}")

    async def test_each_session_with_a_lost_guard_is_decided_on_its_own(self):
        """Guards against two owners of a request.

        The guard takes over per session, so the owner must propose replacements per session.
        """
        await self.accept_request_at("right", "other")
        first = await self.accept_request_at("left", "first")
        self.owner_side.member_lost("right", 7)
        second = await self.accept_request_at("left", "second")
        self.arbiter.proposed.clear()
        self.owner_side.member_lost("left", 7)
        sessions = {
            command.owner_incarnation
            for command in self.arbiter.proposed
            if isinstance(command, arbitration.Replace) and command.guard == "left"
        }
        self.assertEqual(sessions, {100, 101})
        replace_first = next(
            each for each in self.arbiter.proposed if each.owner_incarnation == 100
        )
        await self.arbiter.proposed[replace_first](False)
        self.assertTrue(first.moved)
        self.assertFalse(second.moved)

    async def test_tokens_wait_for_the_acknowledgement(self):
        """Guards against delivering tokens of which no guard holds a copy."""
        request = await self.accept_request("r")
        request.attempt = 1
        request.append(1, 0, ("a ", "b "))
        self.owner_side.request_changed(request)
        self.assertEqual(request.released, 0)
        self.send()
        append = self.posted[-1][1].messages[-1]
        answer = messages.Acknowledge("r", append.epoch, 1, False, append.guard_number)
        self.owner_side.receive(request.guard, answer)
        self.assertEqual(request.released, 1)

    async def test_without_another_zone_a_request_is_refused_as_not_run(self):
        """Guards against accepting a request that a single failure would lose."""
        self.members = {"me": self.members["me"]}
        request = requests.ModelRequest("r", "kiosk", {"model": "small"}, 0, time.monotonic() + 60)
        with self.assertRaises(refusals.RefusedError) as caught:
            await self.owner_side.create_copy(request)
        self.assertIs(caught.exception.refusal.execution, refusals.Execution.NOT_RUN)
        self.assertIs(caught.exception.refusal.code, refusals.Code.NO_GUARD)
