"""Tests of admission: limits, fair queueing, early refusal and service levels."""

import asyncio
import random
import unittest

import builders
import msgspec

from coltsfoothead.daemon import metrics
from coltsfoothead.daemon.callers import refusals
from coltsfoothead.daemon.serving import admission, prediction, requests, servicelevel
from coltsfoothead.kernel import environment, plugins


class AdmissionTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        plugins.load()
        self.document = environment.decode(builders.document(), "sample")
        self.now = 100.0
        self.slots = 0
        self.metrics = metrics.Metrics()
        latest = self.latest
        self.service_level = servicelevel.ServiceLevel(latest, self.metrics, self.clock)
        self.admission = admission.Admission(
            latest,
            prediction.Predictor(latest),
            self.service_level.count_refusal,
            lambda model: self.slots,
            self.metrics,
            self.clock,
            random.Random(1),
        )
        self.kiosk = self.document.organisation("kiosk")
        self.request_numbers = iter(range(1000))

    def latest(self):
        return self.document

    def clock(self):
        return self.now

    def request(self):
        """Returns a new request of the organisation kiosk."""
        body = {"model": "small", "messages": [{"role": "user", "content": "x"}]}
        name = f"r{next(self.request_numbers)}"
        request = requests.ModelRequest(name, "kiosk", body, 0, self.now + 900)
        request.started_at = self.now
        return request

    async def test_a_waiting_request_runs_when_another_ends(self):
        """Guards against requests that stay queued although the end of another freed a slot."""
        running = [self.request() for _ in range(32)]
        for each in running:
            await self.admission.admit(self.kiosk, each)
        waiting = self.request()
        task = asyncio.create_task(self.admission.admit(self.kiosk, waiting))
        await asyncio.sleep(0.01)
        self.assertFalse(task.done())
        running[0].finish(requests.Completion("stop", 1, 0), self.now)
        await asyncio.wait_for(task, 5)

    async def test_free_slots_are_used_before_the_limit_has_adapted(self):
        """Guards against refusing a burst although the upstreams have slots for all of it."""
        self.slots = 150
        for _ in range(150):
            await asyncio.wait_for(self.admission.admit(self.kiosk, self.request()), 5)

    async def test_the_organisation_limit_is_refused_as_not_run(self):
        """Guards against an unbounded number of requests of one organisation."""
        limited_organisation = msgspec.structs.replace(self.kiosk, max_concurrent=3, max_queued=0)
        for _ in range(3):
            await self.admission.admit(limited_organisation, self.request())
        with self.assertRaises(refusals.RefusedError) as caught:
            await self.admission.admit(limited_organisation, self.request())
        self.assertIs(caught.exception.refusal.code, refusals.Code.RATE_LIMITED)
        self.assertIs(caught.exception.refusal.execution, refusals.Execution.NOT_RUN)

    async def test_service_levels_count_good_late_and_refused_requests(self):
        """Guards against burn rates that ignore all requests, or count only the good ones."""
        for first_token in (0.5, 5.0):
            request = self.request()
            request.first_token_at = self.now + first_token
            self.now += first_token
            request.finish(requests.Completion("stop", 1, 0), self.now)
            self.service_level.count_model_request(request)
        self.service_level.count_refusal("kiosk")
        self.now += 1
        (report,) = self.service_level.report().organisations
        self.assertEqual(report.organisation, "kiosk")
        self.assertEqual(report.windows[0].requests, 3)
        self.assertAlmostEqual(report.windows[0].burn_rate, (2 / 3) / 0.05, places=2)

    async def test_retries_stay_within_a_tenth_of_the_requests(self):
        """Guards against retry storms, and against retries of calls that are not repeatable."""
        for _ in range(100):
            self.admission.count_request("kiosk")
        allowed = [self.admission.retry_delay("kiosk", 1, True, 10.0) for _ in range(100)]
        self.assertEqual(sum(delay is not None for delay in allowed), 10)
        self.assertIsNone(self.admission.retry_delay("kiosk", 1, False, 10.0))
