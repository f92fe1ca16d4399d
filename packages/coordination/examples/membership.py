"""Three members on loopback join through one seed; one leaves."""

import asyncio
import random
import time

from coltsfoothead.coordination.membership import members, swim, task
from coltsfoothead.coordination.transport import links


async def start(name, zone, seeds):
    """Starts one member and returns its links and its membership."""
    endpoint = links.Links("example", name, incarnation=1, listen_address="127.0.0.1:0")
    address = await endpoint.start()
    local_member = members.Member(name, address, region="home", zone=zone, incarnation=1)
    detector = swim.Detector(local_member, time.monotonic(), random.Random())
    membership = task.Membership(endpoint, detector, seeds)
    membership.start()
    return endpoint, membership


async def main():
    """Prints the changes published to member a until c has left."""
    a_links, a = await start("a", "z1", [])
    changes = a.subscribe()
    started = [await start(name, "z2", [a.members["a"].address]) for name in ("b", "c")]
    seen = {}
    while seen.get("c") is not members.State.LEFT:
        change = await changes.get()
        seen[change.member.id] = change.member.state
        print(change.member.id, change.member.state.name.lower())
        if seen == {"b": members.State.ALIVE, "c": members.State.ALIVE}:
            await started[1][1].leave()
    for endpoint in (a_links, *(endpoint for endpoint, _ in started)):
        await endpoint.stop(grace=1.0)


if __name__ == "__main__":
    asyncio.run(main())
