"""Reads reclaim notices from the platform."""

import asyncio
import urllib.parse
from typing import Annotated

import msgspec

from coltsfoothead.daemon.http import client as http_client
from coltsfoothead.daemon.http import errors, message

__all__ = ["Notice", "wait_for_notice"]

READ_SECONDS = 2.0
NOTICE_BYTES = 64 * 1024


class Notice(msgspec.Struct, frozen=True):
    """The platform's notice; other fields are ignored."""

    seconds_left: Annotated[float, msgspec.Meta(ge=0)]


async def wait_for_notice(client: http_client.Client, url: str, poll_seconds: float) -> float:
    """Polls until the platform announces a reclaim; returns the seconds left.

    Notes
    -----
    A failing poll is no notice: the platform's API has outages of its own.
    """
    while True:
        try:
            notice = await _poll(client, url)
        except (errors.HttpError, msgspec.MsgspecError):
            notice = None
        if notice is not None:
            return notice.seconds_left
        await asyncio.sleep(poll_seconds)


async def _poll(client: http_client.Client, url: str) -> Notice | None:
    parts = urllib.parse.urlsplit(url)
    target = parts.path or "/"
    if parts.query:
        target += f"?{parts.query}"
    answer = await client.send(parts.netloc, message.Request("GET", target, (), b""), READ_SECONDS)
    body = await answer.read(READ_SECONDS, NOTICE_BYTES)
    if answer.status != 200:
        return None
    return msgspec.json.decode(body, type=Notice)
