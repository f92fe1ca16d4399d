"""Two endpoints on loopback: a one-way message that may be lost, and a call with a response."""

import asyncio

from coltsfoothead.coordination.transport import errors, links


async def main():
    first = links.Links("example", "a", incarnation=1, listen_address="127.0.0.1:0")
    second = links.Links("example", "b", incarnation=1, listen_address="127.0.0.1:0")
    addresses = {"a": await first.start(), "b": await second.start()}
    arrived = asyncio.Event()

    def print_message(sender, payload):
        print("from", sender, "-", payload.decode())
        arrived.set()

    async def greet(sender, payload):
        return b"hello " + payload

    second.on("news", print_message)
    second.serve("greet", greet)
    first.set_peers(addresses)
    while not arrived.is_set():
        first.send("b", "news", b"may be lost, so it is sent until it arrives")
        await asyncio.sleep(0.2)
    print((await first.call("b", "greet", b"b", timeout=2.0)).decode())
    try:
        await first.call("b", "unknown", b"", timeout=2.0)
    except errors.RemoteError as error:
        print("refused:", type(error).__name__)
    for endpoint in (first, second):
        await endpoint.stop(grace=1.0)


if __name__ == "__main__":
    asyncio.run(main())
