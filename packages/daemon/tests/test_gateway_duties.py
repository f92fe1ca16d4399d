"""Tests of cloud calls by a suspended process, and of unforeseen errors in control processes."""

import asyncio
import types
import unittest
import unittest.mock

from coltsfoothead.coordination import writeonce
from coltsfoothead.coordination.replication import errors as replication_errors
from coltsfoothead.daemon import metrics
from coltsfoothead.daemon.control import proposer
from coltsfoothead.daemon.gateway import (
    background,
    controlapi,
    directory,
    duties,
    eventlog,
    exchange,
    planstore,
    ports,
)
from coltsfoothead.daemon.http import message
from coltsfoothead.kernel.traffic import upstreams


class SuspendingClient:
    """Client of a process that is suspended while it connects, until its lease has ended."""

    def __init__(self, lease):
        self.lease = lease
        self.sent = []

    async def send(self, address, request, timeout_seconds, before_send=None):
        self.lease.remaining = lambda: 0.0
        if before_send is not None:
            before_send()
        self.sent.append(request)
        return types.SimpleNamespace(status=200, read=unittest.mock.AsyncMock())


class SuspendedHolderTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_call_is_sent_after_the_lease_has_ended(self):
        """Guards against a call by an old holder, with a fence lower than one the cloud has seen.

        The lease was checked before the process was suspended.
        """
        lease = types.SimpleNamespace(fence=0, remaining=lambda: 2.0)
        client = SuspendingClient(lease)
        dialect = unittest.mock.Mock()
        dialect.encode.return_value = message.Request("POST", "/scale", (), b"{}")
        dialect.decode_outcome.return_value = ports.CloudOutcome.DONE
        cloud_duties = duties.CloudDuties(
            dialect,
            "10.0.0.1:80",
            client,
            lease,
            None,
            "core-1",
            5.0,
            10.0,
            lambda: None,
            lambda: None,
            planstore.PlanStore(),
            eventlog.EventLog("test"),
            metrics.Metrics(),
        )
        order = ports.RunnerOrder("models", "a", 2, True)
        outcome = await cloud_duties._call_cloud(order)
        self.assertEqual((outcome, client.sent), (ports.CloudOutcome.FAILED, []))


class NewHolderTest(unittest.IsolatedAsyncioTestCase):
    async def test_usage_is_committed_once_all_entries_could_report(self):
        """Guards against final counts of a window that lack entries not heard yet."""
        lease = types.SimpleNamespace(fence=1, remaining=lambda: 2.0)
        log = unittest.mock.Mock()
        log.propose = unittest.mock.AsyncMock(return_value=types.SimpleNamespace(value=b"{}"))
        client = unittest.mock.Mock()
        answer = types.SimpleNamespace(status=200, read=unittest.mock.AsyncMock())
        client.send = unittest.mock.AsyncMock(return_value=answer)
        dialect = unittest.mock.Mock()
        dialect.decode_outcome.return_value = ports.CloudOutcome.DONE
        cloud_duties = duties.CloudDuties(
            dialect,
            "10.0.0.1:80",
            client,
            lease,
            log,
            "core-1",
            5.0,
            10.0,
            lambda: None,
            lambda: None,
            planstore.PlanStore(),
            eventlog.EventLog("test"),
            metrics.Metrics(),
        )
        term = unittest.mock.Mock()
        term.usage.return_value = {}
        routing = types.SimpleNamespace(organisations=())
        term.listened_seconds.return_value = 1.0
        await cloud_duties._report_usage(term, routing)
        log.propose.assert_not_awaited()
        term.listened_seconds.return_value = 3.0
        await cloud_duties._report_usage(term, routing)
        log.propose.assert_awaited()


class ControlApiTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_unforeseen_error_in_a_call_is_answered(self):
        """Guards against a call without an answer, for which its caller waits in vain."""
        dialect = unittest.mock.Mock()
        dialect.decode.side_effect = KeyError("unforeseen")
        api = controlapi.ControlApi(
            dialect,
            "core-1",
            80,
            None,
            None,
            None,
            None,
            eventlog.EventLog("test"),
            metrics.Metrics(),
        )
        caller = unittest.mock.Mock(request=message.Request("PUT", "/config", (), b"{}"))
        caller.respond = unittest.mock.AsyncMock()
        await api.handle(caller)
        [call] = dialect.encode.mock_calls
        self.assertIsInstance(call.args[0], ports.Unavailable)
        caller.respond.assert_awaited_once_with(dialect.encode.return_value)


class EndOfAnUpstreamTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_end_is_acknowledged_once_the_log_has_it(self):
        """Guards against an end that is acknowledged when sent again, and in no log (DRAIN)."""
        upstream_directory = directory.Directory("a/1", 1.0, {}, 0.0)
        terms = unittest.mock.Mock()
        terms.current.directory = upstream_directory
        terms.now.return_value = 0.0
        registers = writeonce.Registers()
        logs = unittest.mock.Mock()
        logs.machine.return_value.state.return_value = registers
        failing = proposer.QuorumLostError("no majority")
        log_proposer = unittest.mock.Mock(propose=unittest.mock.AsyncMock(side_effect=failing))
        api = controlapi.ControlApi(
            None,
            "core-1",
            80,
            logs,
            log_proposer,
            None,
            terms,
            eventlog.EventLog("test"),
            metrics.Metrics(),
        )
        drains = upstreams.Upstream(
            "i-1", "model", "10.0.0.1:80", "z", 8, upstreams.State.DRAINING, 100, 1
        )
        for record in (drains, exchange.WithdrawnUpstream("i-1", 100)):
            payload = exchange.encode(exchange.Announcement(record))
            log_proposer.propose.side_effect = failing
            self.assertFalse(await api.announce_as_leader(payload))
            self.assertFalse(await api.announce_as_leader(payload))
            log_proposer.propose.side_effect = lambda log, name, command: registers.apply(
                1, command
            )
            self.assertTrue(await api.announce_as_leader(payload))
            log_proposer.propose.side_effect = failing
            self.assertTrue(await api.announce_as_leader(payload))


class KeepRunningTest(unittest.IsolatedAsyncioTestCase):
    async def test_work_goes_on_after_an_unexpected_error(self):
        """Guards against one malformed message or unforeseen error that ends the process."""
        runs = []
        done = asyncio.Event()

        async def work():
            runs.append(len(runs))
            if len(runs) < 3:
                raise KeyError("unforeseen")
            done.set()
            await asyncio.sleep(60)

        events = unittest.mock.create_autospec(eventlog.EventLog, instance=True)
        with unittest.mock.patch.object(background, "RESTART_DELAY_SECONDS", 0.0):
            running = asyncio.create_task(background.keep_running("plan", work, events))
            await asyncio.wait_for(done.wait(), 5)
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
        self.assertEqual(runs, [0, 1, 2])
        self.assertEqual(len(events.warn.mock_calls), 2)

    async def test_a_stopped_log_ends_the_work(self):
        """Guards against a role that goes on without its log and is never started anew."""

        async def work():
            raise replication_errors.StoppedError("the replica has stopped")

        with self.assertRaises(replication_errors.StoppedError):
            await background.keep_running("plan", work, eventlog.EventLog("test"))


if __name__ == "__main__":
    unittest.main()
