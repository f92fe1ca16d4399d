"""Server-sent events: formatting and parsing."""

import codecs
import dataclasses
from collections.abc import AsyncIterator

__all__ = ["PING", "Event", "encode", "parse"]

PING = b": ping\n\n"


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event; `comment` is set instead of `data` for a comment line."""

    data: str | None = None
    id: str | None = None
    event: str | None = None
    comment: str | None = None


def encode(data: str, event_id: int | str | None = None) -> bytes:
    """Returns one event with a single data line."""
    head = "" if event_id is None else f"id: {event_id}\n"
    return f"{head}data: {data}\n\n".encode()


async def parse(chunks: AsyncIterator[bytes]) -> AsyncIterator[Event]:
    """Yields events and comments from the chunks of a reply body."""
    fields: dict[str, str] = {}
    decoder = codecs.getincrementaldecoder("utf-8")()
    rest = ""
    async for chunk in chunks:
        *lines, rest = (rest + decoder.decode(chunk)).split("\n")
        for line in lines:
            line = line.rstrip("\r")
            name, _, value = line.partition(":")
            value = value.removeprefix(" ")
            if line.startswith(":"):
                yield Event(comment=value)
            elif line:
                joined = (
                    fields["data"] + "\n" + value if name == "data" and "data" in fields else value
                )
                fields[name] = joined
            else:
                if fields:
                    yield Event(fields.get("data"), fields.get("id"), fields.get("event"))
                fields = {}
