"""Recording caller: sends chat and service requests and records every response."""

import argparse
import asyncio
import sys
import time
import uuid
from typing import Any

import msgspec

from coltsfoothead.testsupport import errors, records, sse, webclient

__all__ = ["Caller", "main"]
_RECONNECT_DELAY_SECONDS = 0.1


class Caller:
    """Sends requests to one or more entry daemons in turn and records them.

    Parameters
    ----------
    addresses : list of str
        Callers' addresses of the daemons, or that of a balancer in front of them.
    key : str
        API key of the organisation.
    timeout_seconds : float
        Longest time without receiving any byte.
    """

    def __init__(self, addresses: list[str], key: str = "", timeout_seconds: float = 30.0):
        self.records: list[records.Record] = []
        self._addresses = list(addresses)
        self._headers = {"authorization": f"Bearer {key}"} if key else {}
        self._timeout_seconds = timeout_seconds
        self._next_address = 0

    async def chat(
        self,
        content: str,
        *,
        model: str = "small",
        stream: bool = True,
        headers: dict[str, str] | None = None,
        intended_at: float | None = None,
        address: str | None = None,
        **fields: Any,
    ) -> records.Record:
        """Sends a chat request with one user message and reads its answer to the end."""
        messages = [{"role": "user", "content": content}]
        body = {"model": model, "messages": messages, "stream": stream, **fields}
        path = "/v1/chat/completions"
        record = self._record("chat", "POST", path, body, headers, intended_at)
        headers = record.sent_headers
        await self._send(record, "POST", path, address, json=body, headers=headers)
        return record

    async def call(
        self,
        service: str,
        path: str,
        *,
        method: str = "POST",
        body: Any = None,
        key: str | None = None,
        headers: dict[str, str] | None = None,
        intended_at: float | None = None,
    ) -> records.Record:
        """Sends a service request through `/services/SERVICE/PATH`."""
        headers = {**(headers or {}), **({"idempotency-key": key} if key else {})}
        path = f"/services/{service}/{path.lstrip('/')}"
        record = self._record("service", method, path, body, headers, intended_at)
        await self._send(record, method, path, json=body, headers=record.sent_headers)
        return record

    async def repeat(self, record: records.Record, address: str | None = None) -> records.Part:
        """Sends the same request again, as a caller does after a lost answer."""
        headers = record.sent_headers
        return await self._send(
            record, record.method, record.path, address, json=record.body, headers=headers
        )

    async def reconnect(self, record: records.Record, address: str | None = None) -> records.Part:
        """Requests the rest of an answer by request ID and last event ID."""
        headers = dict(self._headers)
        if record.last_event_id is not None:
            headers["last-event-id"] = record.last_event_id
        path = f"/v1/requests/{record.request_id}"
        return await self._send(record, "GET", path, headers=headers, address=address)

    async def finish(self, record: records.Record, seconds: float) -> bool:
        """Reconnects until the answer is complete; returns False if it is not within `seconds`."""
        deadline = time.monotonic() + seconds
        while not record.done and time.monotonic() < deadline:
            await asyncio.sleep(_RECONNECT_DELAY_SECONDS)
            await self.reconnect(record)
        return record.done

    def _record(self, kind, method, path, body, headers, intended_at) -> records.Record:
        all_headers = {**self._headers, **(headers or {})}
        at = time.monotonic() if intended_at is None else intended_at
        request_id = all_headers.get("x-request-id", "")
        record = records.Record(kind, method, path, body, all_headers, at, request_id)
        self.records.append(record)
        return record

    async def _send(
        self,
        record: records.Record,
        method: str,
        path: str,
        address: str | None = None,
        **arguments: Any,
    ) -> records.Part:
        if address is None:
            address = self._addresses[self._next_address % len(self._addresses)]
            self._next_address += 1
        part = records.Part(time.monotonic(), path)
        record.parts.append(part)
        try:
            await self._exchange(record, part, address, method, path, arguments)
            part.ended = "complete"
        except errors.ConnectError as error:
            part.ended, part.error = "refused", str(error)
        except errors.BrokenConnectionError as error:
            part.ended, part.error = "broken", str(error)
        except TimeoutError:
            part.ended = "timeout"
        part.ended_at = time.monotonic()
        return part

    async def _exchange(self, record, part, address, method, path, arguments) -> None:
        async with asyncio.timeout(self._timeout_seconds) as idle_timeout:
            async with webclient.stream(address, method, path, **arguments) as reply:
                part.status, part.headers, connection = reply
                part.head_at = time.monotonic()
                record.request_id = part.headers.get("x-request-id") or record.request_id
                chunks = self._restart_timeout_on_chunk(connection.chunks(), idle_timeout)
                if part.headers.get("content-type", "").startswith("text/event-stream"):
                    async for event in sse.parse(chunks):
                        part.events.append(records.Received(time.monotonic(), event))
                else:
                    async for chunk in chunks:
                        part.body += chunk

    async def _restart_timeout_on_chunk(self, chunks, idle_timeout: asyncio.Timeout):
        loop = asyncio.get_running_loop()
        async for chunk in chunks:
            idle_timeout.reschedule(loop.time() + self._timeout_seconds)
            yield chunk


def main() -> None:
    """Sends one chat request and prints its record as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--target", action="append", required=True, help="IP:PORT; repeatable")
    parser.add_argument("--key", default="")
    parser.add_argument("--model", default="small")
    parser.add_argument("--request-id", default="")
    parser.add_argument("prompt")
    options = parser.parse_args()
    caller = Caller(options.target, options.key)
    headers = {"x-request-id": options.request_id or uuid.uuid4().hex}
    record = asyncio.run(caller.chat(options.prompt, model=options.model, headers=headers))
    sys.stdout.buffer.write(msgspec.json.encode(record) + b"\n")


if __name__ == "__main__":
    main()
