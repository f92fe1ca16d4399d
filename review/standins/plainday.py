"""A small installation in front of three runners of a plain service."""

import asyncio
import json

import installation
import runner

HOST = "shop.example"
KEY = "k-till-7"
MANIFEST = {
    "version": 1,
    "routes": [
        {
            "name": "hold",
            "host": HOST,
            "path_prefix": "/hold/",
            "kind": "unsafe",
            "timeout_ms": 2000,
            "service": "app",
            "max_attempts": 2,
        }
    ],
    "services": [{"name": "app", "health_path": "/health", "max_conns": 100}],
    "tenants": [{"name": "studio", "api_keys": [KEY]}],
}


class PlainDay:
    """Three core machines, two edge machines and three runners, ready for requests."""

    def __init__(self, record, answer=None, manifest=MANIFEST, runners=None):
        self._manifest = manifest
        self.installation = installation.Installation(cores=3, edges=2)
        self.installation.record = record
        self.runners = runners or [
            runner.Runner(f"i-{number}", "app", zone, answer)
            for number, zone in enumerate(installation.ZONES)
        ]

    async def __aenter__(self):
        site = self.installation
        try:
            site.start(*site.of("core"), *site.of("edge"), bootstrap=True)
            if await asyncio.to_thread(site.put_manifest, self._manifest, 30) is None:
                raise RuntimeError("the first manifest was not acknowledged")
            controls = [f"{ip}:{site.ports['control']}" for ip in site.of("core")]
            for each in self.runners:
                await each.start(controls)
            await asyncio.sleep(5)
        except BaseException:
            self._close()
            raise
        return self

    async def __aexit__(self, *error):
        self._close()

    def front(self, number=0):
        """Returns the address at which an edge machine takes requests."""
        return f"{self.installation.of('edge')[number]}:{self.installation.ports['front']}"

    def ran(self, request_id):
        """Returns how often a request has run."""
        return sum(each.runs.count(request_id) for each in self.runners)

    def _close(self):
        for each in self.runners:
            each.close()
        self.installation.close()


def describe(answer):
    """Returns a line on an answer for the record."""
    if answer is None:
        return "channel closed without an answer"
    status, headers, body = answer
    stamp = headers.get("response-stamp")
    return f"{status}, stamp {stamp}, body {json.dumps(body.decode())}"
