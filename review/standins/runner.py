"""A small runner that speaks the platform's pages, and a requester with a kept channel."""

import asyncio
import json
import time


class Runner:
    """A runner of a plain service.

    Parameters
    ----------
    identity, service, zone : str
    answer : callable, optional
        Returns the status, further header lines (bytes) and the body of the answer to a request,
        given by its headers and body; may be a coroutine function.
    """

    def __init__(self, identity, service, zone, answer=None, host="127.0.0.1"):
        self.identity, self.service, self.zone = identity, service, zone
        self.answer = answer
        self.host = host
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs = []
        self.address = None
        self._server = None
        self._task = None

    async def start(self, control_addresses, heartbeat_seconds=0.4):
        """Starts to listen and to announce itself."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self.host}:{port}"
        self._task = asyncio.create_task(self._announce(control_addresses, heartbeat_seconds))

    def close(self):
        """Stops at once."""
        if self._task is not None:
            self._task.cancel()
        if self._server is not None:
            self._server.close()

    async def _announce(self, control_addresses, heartbeat_seconds):
        number = 0
        while True:
            self.sequence += 1
            body = {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 6,
                "state": self.state,
                "cold_remaining_ms": 0,
                "seq": self.sequence,
                "born": self.born,
            }
            target = control_addresses[number % len(control_addresses)]
            status = await call(target, "PUT", f"/instances/{self.identity}", body)
            if status is None or status >= 300:
                number += 1
                await asyncio.sleep(0.1)
                continue
            await asyncio.sleep(heartbeat_seconds)

    async def _serve(self, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                line, headers, body = request
                if line.split()[1] == "/health":
                    status, extra, payload = 200, b"Instance-Id: " + self.identity.encode(), b""
                elif headers.get("expect-instance") != self.identity:
                    status, extra, payload = 421, b"Not-Run: 1", b""
                else:
                    self.runs.append(headers.get("request-id"))
                    status, extra, payload = 200, b"", b"done"
                    if self.answer is not None:
                        outcome = self.answer(headers, body)
                        if asyncio.iscoroutine(outcome):
                            outcome = await outcome
                        status, extra, payload = outcome
                head = [f"HTTP/1.1 {status} x".encode()]
                if "request-id" in headers:
                    head.append(b"Request-Id: " + headers["request-id"].encode())
                    if status != 421:
                        head.append(b"Response-Stamp: " + self.identity.encode())
                if extra:
                    head.append(extra)
                head.append(b"Content-Length: %d" % len(payload))
                writer.write(b"\r\n".join(head) + b"\r\n\r\n" + payload)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def read_message(reader):
    """Reads one HTTP message with a length; None at the end of the channel."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


async def call(address, method, path, body, timeout=1.0):
    """Makes one call with a JSON body on a channel of its own; returns its status, or None."""
    host, _, port = address.rpartition(":")
    payload = json.dumps(body).encode()
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
            head += f"Content-Type: application/json\r\nContent-Length: {len(payload)}\r\n\r\n"
            writer.write(head.encode() + payload)
            answer = await read_message(reader)
            return int(answer[0].split()[1]) if answer is not None else None
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Requester:
    """A requester that keeps its channel open, and opens another one once that is closed."""

    def __init__(self, address, host):
        self.address, self.host = address, host
        self._reader = self._writer = None
        self.kept = 0

    async def send(self, method, path, request_id, key, body=b"", deadline_ms=2000, headers=()):
        """Sends one request; returns its status, headers and body, or None for a closed channel.

        `kept` holds the number of requests that the channel had carried before.
        """
        if self._writer is None or self._writer.is_closing():
            host, _, port = self.address.rpartition(":")
            self._reader, self._writer = await asyncio.open_connection(host, int(port))
            self._carried = 0
        self.kept = self._carried
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self.host}", f"Request-Id: {request_id}"]
        lines += [f"Deadline-Ms: {deadline_ms}", f"Authorization: Bearer {key}"]
        lines += [f"Content-Length: {len(body)}", *headers]
        try:
            self._writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                answer = await read_message(self._reader)
        except (OSError, asyncio.IncompleteReadError):
            answer = None
        if answer is None:
            self._writer.close()
            self._writer = None
            return None
        self._carried += 1
        if answer[1].get("connection", "").lower() == "close":
            self._writer.close()
            self._writer = None
        return int(answer[0].split()[1]), answer[1], answer[2]

    def close(self):
        """Closes the channel."""
        if self._writer is not None:
            self._writer.close()
