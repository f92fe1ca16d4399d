"""HTTP requests and responses that are held completely in memory."""

import dataclasses
import urllib.parse
from collections.abc import Mapping

import msgspec

__all__ = ["FINAL_STATUSES", "JSON_TYPE", "Request", "Response", "json_response"]

JSON_TYPE = "application/json"
# Status codes of final responses (RFC 9110, section 15); others make a response invalid.
FINAL_STATUSES = range(200, 600)


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A complete request.

    Attributes
    ----------
    method : str
        In upper case.
    target : str
        Path and query as sent.
    headers : tuple of (str, str)
        Names in lower case, in the order received.
    body : bytes
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def path(self) -> str:
        """The target without its query, still percent-encoded."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> Mapping[str, str]:
        """The query parameters; of a repeated name, the last value."""
        return dict(urllib.parse.parse_qsl(self.target.partition("?")[2]))

    def header(self, name: str) -> str | None:
        """Returns the first value of the header `name` (in lower case), or None."""
        return next((value for key, value in self.headers if key == name), None)


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete response."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


def json_response(
    status: int, value: object, headers: tuple[tuple[str, str], ...] = ()
) -> Response:
    """Returns a response whose body is `value` as JSON."""
    return Response(status, (("content-type", JSON_TYPE), *headers), msgspec.json.encode(value))
