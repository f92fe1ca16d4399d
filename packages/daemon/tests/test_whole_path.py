"""End-to-end tests of requests through daemons and fake upstreams as separate processes."""

import contextlib
import socket
import unittest

import openai

from coltsfoothead.testsupport import answers, caller, cluster, harness, webclient


def expected(prompt):
    """Returns the text that the fake engine answers to a prompt."""
    messages = [{"role": "user", "content": prompt}]
    return "".join(answers.answer(answers.render(messages)))


@contextlib.asynccontextmanager
async def running_cluster(count):
    """Runs daemons, two engines and a service with an environment document in force."""
    places = [
        cluster.DaemonSpec(f"d{number}", zone)
        for number, zone in enumerate(cluster.ZONES[:count], 1)
    ]
    async with harness.Harness() as children:
        deployed = cluster.Cluster(children, places)
        await deployed.start_daemons()
        await deployed.start_engine("e1", "home-a")
        await deployed.start_engine("e2", "home-b")
        await deployed.start_service("s1", "home-a")
        answer = await deployed.apply("d1", cluster.document(), "change-1")
        assert answer["outcome"] == "accepted", answer
        await deployed.wait_ready()
        await deployed.wait_upstreams(3)
        yield deployed


class SingleNodeTest(unittest.IsolatedAsyncioTestCase):
    async def test_requests_and_refusals(self):
        """Guards against a single-node daemon that fails requests of a common client library."""
        async with running_cluster(1) as deployed:
            address = deployed.caller_addresses[0]
            await self.check_client_library(address)
            await self.check_refusals(address)
            await self.check_reconnect(address)
            process = deployed.children.processes["d1"]
            process.terminate()
            self.assertEqual(await process.wait(), 0, process.output())

    async def check_client_library(self, address):
        client = openai.AsyncOpenAI(
            base_url=f"http://{address}/v1", api_key=cluster.api_key("kiosk"), max_retries=0
        )
        async with client:
            messages = [{"role": "user", "content": "tag the lamp len=9"}]
            completion = await client.chat.completions.create(model="small", messages=messages)
            self.assertEqual(completion.choices[0].message.content, expected("tag the lamp len=9"))
            self.assertEqual(completion.usage.completion_tokens, 9)
            stream = await client.chat.completions.create(
                model="small", messages=messages, stream=True
            )
            text = [part.choices[0].delta.content or "" async for part in stream if part.choices]
            self.assertEqual("".join(text), expected("tag the lamp len=9"))
            models = await client.models.list()
            self.assertEqual([model.id for model in models.data], ["small"])

    async def check_refusals(self, address):
        kiosk = caller.Caller([address], cluster.api_key("kiosk"))
        unauthorised = caller.Caller([address], "no-such-key")
        refused = [
            (await unauthorised.chat("x"), 401, "invalid_api_key"),
            (await kiosk.chat("x", model="absent"), 404, "model_not_found"),
            (await kiosk.chat("x", max_tokens=0), 400, "invalid_body"),
            (await kiosk.call("absent", "/x"), 404, "service_not_found"),
            (await kiosk.call("parts", "/x", key="k" * 300), 400, "idempotency_key_invalid"),
        ]
        for record, status, code in refused:
            self.assertEqual(record.status, status)
            self.assertEqual(record.error()["code"], code)
            self.assertEqual(record.error()["execution"], "not_run")

    async def check_reconnect(self, address):
        kiosk = caller.Caller([address], cluster.api_key("kiosk"))
        record = await kiosk.chat("count len=12")
        head = {"authorization": f"Bearer {cluster.api_key('kiosk')}"}
        path = f"/v1/requests/{record.request_id}"
        remainder = await webclient.fetch(
            address, "GET", path, headers=head | {"last-event-id": "8"}
        )
        identifiers = [line for line in remainder.body.splitlines() if line.startswith(b"id:")]
        self.assertEqual(identifiers, [b"id: 9", b"id: 10", b"id: 11"])
        other = {"authorization": f"Bearer {cluster.api_key('garage')}"}
        foreign = await webclient.fetch(address, "GET", path, headers=other)
        self.assertEqual(foreign.status, 404)
        past_end = await webclient.fetch(
            address, "GET", path, headers=head | {"last-event-id": "99"}
        )
        self.assertEqual(past_end.status, 400)


class ThreeDaemonsTest(unittest.IsolatedAsyncioTestCase):
    async def test_keys_and_answers_are_shared(self):
        """Guards against a second execution, or a different answer, through another daemon."""
        async with running_cluster(3) as deployed:
            kiosk = caller.Caller(deployed.caller_addresses, cluster.api_key("kiosk"))
            calls = [await kiosk.call("parts", "/holds", body={"a": 1}, key="k") for _ in "123"]
            self.assertEqual({call.status for call in calls}, {200})
            self.assertEqual(len({call.parts[0].body for call in calls}), 1)
            other = await kiosk.call("parts", "/holds", body={"a": 2}, key="k")
            self.assertEqual(other.error()["code"], "idempotency_key_reused")
            chats = [
                await kiosk.chat("again len=7", headers={"idempotency-key": "c"}) for _ in "123"
            ]
            self.assertEqual({chat.text() for chat in chats}, {expected("again len=7")})
            self.assertEqual(len({chat.request_id for chat in chats}), 1)
            await self.check_link_counters(deployed)

    async def check_link_counters(self, deployed):
        """Guards against metrics without the traffic of each channel."""
        counters = (await deployed.request_operators_api("d1", "GET", "/metrics"))["counters"]
        for name in ("batches_out", "messages_in_swim", "bytes_out_swim", "bytes_in_raft-ledger"):
            self.assertGreater(counters[f"link_{name}"], 0)


class StartTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_address_in_use_is_a_clear_error(self):
        """Guards against a failed start that prints a traceback in place of the address."""
        async with harness.Harness() as children:
            deployed = cluster.Cluster(children, [cluster.DaemonSpec("d1", "home-a")])
            host, port = deployed.addresses["d1"]["callers"].split(":")
            occupied = socket.create_server((host, int(port)))
            self.addCleanup(occupied.close)
            process = await children.start_daemon(
                "d1", deployed.settings("d1"), deployed.caller_addresses[0], wait=False
            )
            self.assertEqual(await process.wait(), 1)
            output = process.output()
            self.assertIn(f"callers cannot listen on {host}:{port}", output)
            self.assertNotIn("Traceback", output)
