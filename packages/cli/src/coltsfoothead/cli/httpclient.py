"""A small HTTP/1.1 client: one request per connection, with bounds on time and size."""

import dataclasses
import socket
import time

import h11

from coltsfoothead.cli import errors

__all__ = [
    "ANSWER_SECONDS",
    "CONNECT_SECONDS",
    "AnswerLostError",
    "ConnectError",
    "Response",
    "Timeouts",
    "exchange",
]

_READ_BYTES = 64 * 1024
_MAX_ANSWER_BYTES = 64 * 1024 * 1024


class ConnectError(errors.UnreachableError):
    """No connection was made, so the request was not sent."""


class AnswerLostError(errors.UnreachableError):
    """The connection ended before the whole answer; the request may have been carried out."""


CONNECT_SECONDS = 2.0
ANSWER_SECONDS = 15.0  # An apply is answered within 9 s: proposal 3 s, in force 6 s.


@dataclasses.dataclass(frozen=True, slots=True)
class Timeouts:
    """Bounds on connecting and on the whole exchange after that."""

    connect_seconds: float = CONNECT_SECONDS
    answer_seconds: float = ANSWER_SECONDS


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """Status and body of an answer."""

    status: int
    body: bytes


def exchange(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: tuple[tuple[str, str], ...],
    body: bytes,
    timeouts: Timeouts,
) -> Response:
    """Sends one request and returns its answer.

    Raises
    ------
    ConnectError
        If nothing was sent.
    AnswerLostError
        If the request may have been sent, but no whole answer came in time.
    """
    host, port = address
    name = f"{host}:{port}"
    try:
        connection = socket.create_connection(address, timeouts.connect_seconds)
    except OSError as error:
        raise ConnectError(f"{name}: cannot connect: {error}") from error
    deadline = time.monotonic() + timeouts.answer_seconds
    lines = [("host", name), ("connection", "close"), ("content-length", str(len(body))), *headers]
    with connection:
        try:
            protocol = h11.Connection(h11.CLIENT)
            message = protocol.send(h11.Request(method=method, target=path, headers=lines))
            message += protocol.send(h11.Data(body)) + protocol.send(h11.EndOfMessage())
            connection.settimeout(_remaining(deadline))
            connection.sendall(message)
            return _receive(connection, protocol, deadline)
        except (OSError, h11.RemoteProtocolError) as error:
            raise AnswerLostError(f"{name}: no answer: {_reason(error)}") from error


def _receive(connection: socket.socket, protocol: h11.Connection, deadline: float) -> Response:
    status = 0
    parts: list[bytes] = []
    size = 0
    while True:
        match protocol.next_event():
            case h11.NEED_DATA:
                connection.settimeout(_remaining(deadline))
                protocol.receive_data(connection.recv(_READ_BYTES))
            case h11.Response(status_code=status):
                pass
            case h11.Data(data=data):
                parts.append(bytes(data))
                size += len(data)
                if size > _MAX_ANSWER_BYTES:
                    raise ConnectionError(f"answer exceeds {_MAX_ANSWER_BYTES} bytes")
            case h11.EndOfMessage():
                return Response(status, b"".join(parts))
            case h11.ConnectionClosed():
                raise ConnectionError("connection closed")


def _reason(error: Exception) -> str:
    match error:
        case TimeoutError():
            return "timed out"
        case h11.RemoteProtocolError():
            return f"connection closed early or not HTTP ({error})"
        case _:
            return str(error)


def _remaining(deadline: float) -> float:
    remaining = deadline - time.monotonic()
    if remaining <= 0:
        raise TimeoutError
    return remaining
