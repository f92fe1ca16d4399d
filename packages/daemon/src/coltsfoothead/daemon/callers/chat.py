"""Bodies of chat-completions requests and of the list of models."""

from typing import Annotated

import msgspec

from coltsfoothead.daemon.callers import refusals
from coltsfoothead.daemon.http import message
from coltsfoothead.kernel import environment

__all__ = ["ChatBody", "decode_body", "list_models"]


class ChatMessage(msgspec.Struct):
    """Message of a chat; `content` is a text or a list of content parts."""

    role: str
    content: str | list[dict[str, object]] | None = None


class ChatBody(msgspec.Struct):
    """Validated fields of a chat-completions body; all other fields are forwarded unchanged."""

    model: Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
    messages: Annotated[list[ChatMessage], msgspec.Meta(min_length=1)]
    stream: bool | None = False
    max_tokens: Annotated[int, msgspec.Meta(ge=1)] | None = None
    max_completion_tokens: Annotated[int, msgspec.Meta(ge=1)] | None = None
    n: Annotated[int, msgspec.Meta(ge=1, le=1)] | None = None

    @property
    def prompt_characters(self) -> int:
        """Total number of characters in the texts of all messages."""
        return sum(_text_length(each.content) for each in self.messages)


def _text_length(content: str | list[dict[str, object]] | None) -> int:
    if isinstance(content, str):
        return len(content)
    return sum(len(str(part.get("text", ""))) for part in content or [])


# Fields that the gateway itself sets in requests to an engine; values from callers are removed.
RESERVED_FIELDS = ("priority", "resume_tokens")


def decode_body(data: bytes) -> tuple[ChatBody, dict[str, object]]:
    """Returns the validated body, and all its fields except the reserved ones.

    Raises
    ------
    RefusedError
        If the body is not a valid chat-completions body.
    """
    try:
        checked = msgspec.json.decode(data, type=ChatBody)
        fields = msgspec.json.decode(data, type=dict[str, object])
    except msgspec.MsgspecError as error:
        raise refusals.refuse(refusals.Code.INVALID_BODY, str(error)) from error
    except RecursionError as error:
        text = "JSON is nested too deeply"
        raise refusals.refuse(refusals.Code.INVALID_BODY, text) from error
    for name in RESERVED_FIELDS:
        fields.pop(name, None)
    return checked, fields


def list_models(
    document: environment.Environment, organisation: environment.Organisation
) -> message.Response:
    """Returns the models that an organisation may use, in the OpenAI list format."""
    allowed = [
        {"id": model.name, "object": "model", "created": 0, "owned_by": document.environment}
        for model in document.models
        if model.name in organisation.models
    ]
    return message.json_response(200, {"object": "list", "data": allowed})
