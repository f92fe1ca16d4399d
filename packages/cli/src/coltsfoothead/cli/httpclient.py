"""HTTP/1.1 client with one request per connection, timeouts and a limit on the answer's size."""

import dataclasses
import socket
import time

import h11

from coltsfoothead.cli import errors

__all__ = [
    "ANSWER_TIMEOUT_SECONDS",
    "CONNECT_TIMEOUT_SECONDS",
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
    """The answer was lost or incomplete; the request may have been executed."""


CONNECT_TIMEOUT_SECONDS = 2.0
# An apply is answered within 9 s: 3 s for the proposal, 6 s until the change is in force.
ANSWER_TIMEOUT_SECONDS = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Timeouts:
    """Timeouts for connecting, and for the exchange of request and answer after that."""

    connect_seconds: float = CONNECT_TIMEOUT_SECONDS
    answer_seconds: float = ANSWER_TIMEOUT_SECONDS


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
        If the request may have been sent, but no complete answer arrived in time.
    """
    host, port = address
    host_and_port = f"{host}:{port}"
    try:
        connection = socket.create_connection(address, timeouts.connect_seconds)
    except OSError as error:
        raise ConnectError(f"{host_and_port}: cannot connect: {error}") from error
    deadline = time.monotonic() + timeouts.answer_seconds
    all_headers = [
        ("host", host_and_port),
        ("connection", "close"),
        ("content-length", str(len(body))),
        *headers,
    ]
    with connection:
        try:
            protocol = h11.Connection(h11.CLIENT)
            message = protocol.send(h11.Request(method=method, target=path, headers=all_headers))
            message += protocol.send(h11.Data(body)) + protocol.send(h11.EndOfMessage())
            connection.settimeout(_remaining(deadline))
            connection.sendall(message)
            return _receive(connection, protocol, deadline)
        except (OSError, h11.RemoteProtocolError) as error:
            raise AnswerLostError(f"{host_and_port}: no answer: {_reason(error)}") from error


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
