"""Fake store of model weights whose byte rate is shared by all downloads."""

import collections
from collections.abc import AsyncIterator

from coltsfoothead.testsupport import fake, ratelimit, web

__all__ = ["WeightStore", "main"]

_CHUNK_BYTES = 16384


class WeightStore(fake.Fake):
    """Serves `GET /weights/NAME/VERSION` as zero bytes; any name and version exist.

    Parameters
    ----------
    bytes_per_second : float, optional
        Total rate of all downloads; None is unlimited.
    size_bytes : int
        Size of files for which the control verb `sizes` set no size.
    """

    def __init__(self, bytes_per_second: float | None = None, size_bytes: int = 1_000_000):
        super().__init__()
        self.limit = ratelimit.RateLimit(bytes_per_second)
        self.downloads: collections.Counter[str] = collections.Counter()
        self._size_bytes = size_bytes
        self._sizes: dict[str, int] = {}
        self._refuse = False
        self.router.route("GET", "/weights/{name}/{version}")(self._download)
        self.router.route("GET", "/stats")(self._stats)
        self.controls |= {
            "bytes_per_second": lambda rate: setattr(self.limit, "bytes_per_second", rate),
            "sizes": self._sizes.update,
            "refuse": lambda refuse: setattr(self, "_refuse", bool(refuse)),
        }

    async def _download(self, request: web.Request) -> web.Response | web.Stream:
        if self._refuse:
            return web.json_response({"error": {"message": "refused by test control"}}, 503)
        name = request.match["name"]
        self.downloads[f"{name}/{request.match['version']}"] += 1
        size = self._sizes.get(name, self._size_bytes)
        return web.Stream(self._content(size), headers={"x-size-bytes": str(size)})

    async def _content(self, remaining_bytes: int) -> AsyncIterator[bytes]:
        while remaining_bytes > 0:
            size = min(remaining_bytes, _CHUNK_BYTES)
            await self.limit.acquire(size)
            yield bytes(size)
            remaining_bytes -= size

    async def _stats(self, request: web.Request) -> web.Response:
        return web.json_response(
            {"downloads": self.downloads, "sent_bytes": self.limit.granted_bytes}
        )


def main() -> None:
    """Runs the weight store from the command line."""
    parser = fake.parser(__doc__)
    parser.add_argument("--bytes-per-second", type=float)
    parser.add_argument("--size-bytes", type=int, default=1_000_000)
    options = parser.parse_args()
    fake.run(lambda: WeightStore(options.bytes_per_second, options.size_bytes), options.listen)


if __name__ == "__main__":
    main()
