"""Records that the recording caller keeps of its requests."""

import dataclasses
from typing import Any

import msgspec

from coltsfoothead.testsupport import sse

__all__ = ["Part", "Received", "Record"]


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """Event or comment of a stream with the monotonic time of its arrival in seconds."""

    at: float
    event: sse.Event


@dataclasses.dataclass(slots=True)
class Part:
    """One attempt of a request, on a connection of its own; times are monotonic seconds.

    `ended` is `complete`, `refused` (no connection, nothing sent), `broken` or `timeout`.
    """

    sent_at: float
    path: str
    status: int | None = None
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    head_at: float | None = None
    events: list[Received] = dataclasses.field(default_factory=list)
    body: bytes = b""
    ended: str = ""
    ended_at: float | None = None
    error: str = ""


@dataclasses.dataclass(slots=True)
class Record:
    """One request with all its attempts, in order."""

    kind: str
    method: str
    path: str
    body: Any
    sent_headers: dict[str, str]
    intended_at: float
    request_id: str = ""
    parts: list[Part] = dataclasses.field(default_factory=list)

    @property
    def status(self) -> int | None:
        return self.parts[-1].status if self.parts else None

    @property
    def done(self) -> bool:
        """Whether the answer is complete; a refusal of a chat request does not count as one."""
        if not self.streamed:
            ended = bool(self.parts) and self.parts[-1].ended == "complete"
            return ended and (self.kind == "service" or self.status == 200)
        return any(item.event.data == "[DONE]" for part in self.parts for item in part.events)

    @property
    def streamed(self) -> bool:
        return self.kind == "chat" and bool(self.body.get("stream"))

    @property
    def last_event_id(self) -> str | None:
        identifiers = [
            item.event.id for part in self.parts for item in part.events if item.event.id
        ]
        return identifiers[-1] if identifiers else None

    def tokens(self) -> list[tuple[int, str]]:
        """Returns offset and text of every streamed token, in order of arrival."""
        found = []
        for part in self.parts:
            for item in part.events:
                if item.event.id is not None and item.event.data:
                    choice = msgspec.json.decode(item.event.data)["choices"][0]
                    found.append((int(item.event.id), choice["delta"].get("content", "")))
        return found

    def text(self) -> str:
        """Returns the answer's text."""
        if self.streamed:
            return "".join(text for _, text in self.tokens())
        answer = msgspec.json.decode(self.parts[-1].body)
        return answer["choices"][0]["message"]["content"]

    def error(self) -> dict[str, Any] | None:
        """Returns the error object of a refused or failed request, or None."""
        if self.status is None or self.status < 400:
            return None
        try:
            return msgspec.json.decode(self.parts[-1].body).get("error")
        except (msgspec.DecodeError, AttributeError):
            return None
