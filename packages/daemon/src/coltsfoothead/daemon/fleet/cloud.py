"""Client of the platform's cloud API."""

import urllib.parse
from collections.abc import Callable
from typing import Annotated, Literal

import msgspec

from coltsfoothead.daemon import errors
from coltsfoothead.daemon.http import client as http_client
from coltsfoothead.daemon.http import errors as http_errors
from coltsfoothead.daemon.http import message

__all__ = [
    "ON_DEMAND",
    "RECLAIMABLE",
    "CloudClient",
    "CloudError",
    "CloudVm",
    "StartRefusedError",
    "UnknownStartError",
]

CALL_TIMEOUT_SECONDS = 2.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024
ON_DEMAND = "on_demand"
RECLAIMABLE = "reclaimable"

Price = Annotated[float, msgspec.Meta(ge=0)]
Catalogue = dict[str, dict[str, dict[str, Price]]]


class CloudError(errors.DaemonError):
    """The cloud API gave no usable answer."""


class StartRefusedError(CloudError):
    """The cloud refused to start a VM, so none was started.

    Parameters
    ----------
    status : int
    code : str
        Error code of the cloud API, for example ``no_capacity``.
    """

    def __init__(self, status: int, code: str) -> None:
        super().__init__(f"start refused with status {status}: {code}")
        self.code = code


class UnknownStartError(CloudError):
    """A start has no conclusive answer; repeating it with the same token is safe."""


class CloudVm(msgspec.Struct, frozen=True, rename={"vm_class": "class"}):
    """One VM in the cloud's list; the price is per hour."""

    id: str
    vm_class: str
    zone: str
    market: str
    state: Literal["starting", "running", "terminated", "reclaimed"]
    price_per_hour: Price
    client_token: str | None = None


class _VmsAnswer(msgspec.Struct, frozen=True):
    vms: tuple[CloudVm, ...]


class _CatalogueAnswer(msgspec.Struct, frozen=True):
    zones: Catalogue


class _NoticeAnswer(msgspec.Struct, frozen=True):
    seconds_left: Annotated[float, msgspec.Meta(ge=0)]


class _ErrorBody(msgspec.Struct, frozen=True):
    code: str = ""


class _ErrorAnswer(msgspec.Struct, frozen=True):
    error: _ErrorBody = _ErrorBody()


class CloudClient:
    """Client of the cloud API.

    Parameters
    ----------
    client : Client
    url : str
        ``http://IP:port``, with an optional path that precedes those of the API.
    """

    def __init__(self, client: http_client.Client, url: str) -> None:
        parts = urllib.parse.urlsplit(url)
        self._client = client
        self._address = parts.netloc
        self._prefix = parts.path.rstrip("/")

    async def vms(self) -> tuple[CloudVm, ...]:
        """Returns the VMs that have not ended."""
        return (await self._get("/vms", _VmsAnswer)).vms

    async def catalogue(self) -> Catalogue:
        """Returns the price per hour by zone, VM class and market."""
        return (await self._get("/catalog", _CatalogueAnswer)).zones

    async def reclaim_notice(self, vm: str) -> float | None:
        """Returns the seconds until the VM is reclaimed, or None if there is no reclaim notice."""
        status, body = await self._call("GET", f"/vms/{urllib.parse.quote(vm, safe='')}/notice")
        if status == 404:
            return None
        return self._decode(status, body, _NoticeAnswer).seconds_left

    async def start(
        self, token: str, zone: str, vm_class: str, market: str, before_write: Callable[[], None]
    ) -> CloudVm:
        """Starts a VM; the same token never starts a second one.

        Parameters
        ----------
        token : str
            Client token that makes the start idempotent.
        zone, vm_class, market : str
        before_write : callable
            Called once connected, right before the request is written. What it raises is raised
            here, and nothing was sent.

        Raises
        ------
        StartRefusedError
            If the cloud refused to start a VM.
        UnknownStartError
            If it is unknown whether a VM was started.
        """
        body = {"class": vm_class, "zone": zone, "market": market, "client_token": token}
        try:
            status, answer = await self._call("POST", "/vms", body, before_write)
        except CloudError as error:
            raise UnknownStartError(str(error)) from error
        if status in (200, 201):
            try:
                return self._decode(status, answer, CloudVm)
            except CloudError as error:
                raise UnknownStartError(str(error)) from error
        try:
            code = msgspec.json.decode(answer, type=_ErrorAnswer).error.code
        except msgspec.MsgspecError:
            code = ""
        # A proxy in front of the API also answers 5xx, without an error code and without knowing
        # whether the VM was started.
        if status >= 500 and not code:
            raise UnknownStartError(f"status {status} without a code")
        raise StartRefusedError(status, code)

    async def stop(self, vm: str, before_write: Callable[[], None]) -> None:
        """Stops a VM; one that has ended or is unknown counts as stopped.

        `before_write` is called as by `start`.
        """
        path = f"/vms/{urllib.parse.quote(vm, safe='')}"
        status, _ = await self._call("DELETE", path, before_write=before_write)
        if status not in (200, 204, 404):
            raise CloudError(f"stop of {vm}: status {status}")

    async def _get(self, path: str, answer_type: type):
        return self._decode(*await self._call("GET", path), answer_type)

    @staticmethod
    def _decode(status: int, body: bytes, answer_type: type):
        if status not in (200, 201):
            raise CloudError(f"status {status}")
        try:
            return msgspec.json.decode(body, type=answer_type)
        except msgspec.MsgspecError as error:
            raise CloudError(f"malformed answer: {error}") from error

    async def _call(
        self,
        method: str,
        path: str,
        body: object = None,
        before_write: Callable[[], None] | None = None,
    ) -> tuple[int, bytes]:
        headers = (("content-type", message.JSON_TYPE),) if body is not None else ()
        content = msgspec.json.encode(body) if body is not None else b""
        request = message.Request(method, self._prefix + path, headers, content)
        try:
            answer = await self._client.send(
                self._address,
                request,
                CALL_TIMEOUT_SECONDS,
                new_connection=True,
                before_send=before_write,
            )
            return answer.status, await answer.read(CALL_TIMEOUT_SECONDS, MAX_ANSWER_BYTES)
        except http_errors.HttpError as error:
            raise CloudError(f"{method} {path}: {error}") from error
