"""Polls the platform for the reclaim notice of this VM."""

import asyncio
import urllib.parse
from typing import Annotated

import msgspec

from coltsfoothead.daemon.http import client as http_client
from coltsfoothead.daemon.http import errors, message

__all__ = ["ReclaimNotice", "wait_for_notice"]

READ_TIMEOUT_SECONDS = 2.0
MAX_NOTICE_BYTES = 64 * 1024


class ReclaimNotice(msgspec.Struct, frozen=True):
    """The platform's reclaim notice; unknown fields are ignored."""

    seconds_left: Annotated[float, msgspec.Meta(ge=0)]


async def wait_for_notice(client: http_client.Client, url: str, poll_seconds: float) -> float:
    """Polls until the platform announces a reclaim; returns the seconds until it.

    Notes
    -----
    A failed poll counts as no notice, because the platform's API has outages of its own.
    """
    while True:
        try:
            notice = await _poll(client, url)
        except (errors.HttpError, msgspec.MsgspecError):
            notice = None
        if notice is not None:
            return notice.seconds_left
        await asyncio.sleep(poll_seconds)


async def _poll(client: http_client.Client, url: str) -> ReclaimNotice | None:
    parts = urllib.parse.urlsplit(url)
    target = parts.path or "/"
    if parts.query:
        target += f"?{parts.query}"
    response = await client.send(
        parts.netloc, message.Request("GET", target, (), b""), READ_TIMEOUT_SECONDS
    )
    body = await response.read(READ_TIMEOUT_SECONDS, MAX_NOTICE_BYTES)
    if response.status != 200:
        return None
    return msgspec.json.decode(body, type=ReclaimNotice)
