"""Fake daemon that serves the operators' API, and a test case that runs the command line."""

import contextlib
import io
import os
import pathlib
import socket
import tempfile
import threading
import unittest.mock

import h11
import msgspec

from coltsfoothead.cli import main
from coltsfoothead.kernel import environment, operationerrors, operationpaths, operations

TOKEN = "sample-token"
# Closes the connection without executing the request.
CLOSE_BEFORE_EXECUTION = "close before execution"
# Executes the request, then closes the connection without an answer.
CLOSE_AFTER_EXECUTION = "close after execution"
SILENT = "silent"  # Keeps the connection open without an answer.

DOCUMENT = """# Kept as written.
environment = "trial" # name
[[models]]
name = "chat"
"""

VOTERS = (operations.VoterEntry(id="d1", address="127.0.0.1:7000", zone="z1"),)
LOG = operations.LogStatus(role="leader", term=3, leader="d1", commit_index=9, voters=VOTERS)
REQUEST = operations.RequestEntry(
    id="req-1", organisation="acme", kind="model", target="chat", state="running", epoch=2
)
SUMMARY = operations.HistogramSummary(count=4, p50=1.25, p95=2.0, p99=3.0, max=4.0)
WINDOW = operations.SloWindow(window_seconds=3600.0, burn_rate=14.4, requests=10)

READ_ANSWERS = {
    operationpaths.STATUS: operations.StatusAnswer(
        daemon="d1",
        region="r1",
        zone="z1",
        vm="vm1",
        incarnation=1,
        ready=False,
        not_ready=operations.NotReady.DRAINING,
        control_log=LOG,
        refused={"draining": 2},
    ),
    operationpaths.UPSTREAMS: operations.UpstreamsAnswer(
        upstreams=(
            operations.UpstreamEntry(id="u[1]\x1b[2J", kind="model", state="serving", slots=8),
        )
    ),
    operationpaths.REQUESTS: operations.RequestsAnswer(requests=(REQUEST,), truncated=True),
    operationpaths.VMS: operations.VmsAnswer(
        vms=(operations.VmEntry(id="vm1", state="running", runs=("d1", "u1")),)
    ),
    operationpaths.MEMBERS: operations.MembersAnswer(
        members=(operations.MemberEntry(id="d1", state="alive"),)
    ),
    operationpaths.SLO: operations.SloAnswer(
        organisations=(
            operations.OrganisationSlo(
                organisation="acme",
                objective=0.95,
                budget_left=0.5,
                alert=operations.AlertState.PAGE,
                windows=(WINDOW,),
            ),
        )
    ),
    operationpaths.METRICS: operations.MetricsAnswer(
        counters={"requests_total": 7}, histograms={"first_token_seconds": SUMMARY}
    ),
}


class Daemon:
    """A fake daemon; daemons that share `history` form one cluster.

    Attributes
    ----------
    faults : list
        Faults of the next writes, one each: a constant above to lose the answer, an `ErrorDetail`,
        an answer struct or raw bytes to send in its place, or None for no fault.
    """

    def __init__(self, history=None, name="d1"):
        self.history = [] if history is None else history  # Accepted requests, oldest first.
        self.name = name
        self.faults = []
        self.in_force = True
        self.received = []  # (method, path, body)
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._open_connections = []
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Stops listening and closes the connections that were kept open."""
        # Closing alone does not wake the accepting thread.
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for connection in self._open_connections:
            connection.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                self._serve(connection)

    def _serve(self, connection):
        protocol = h11.Connection(h11.SERVER)
        request, body = None, b""
        while type(event := protocol.next_event()) is not h11.EndOfMessage:
            if event is h11.NEED_DATA:
                protocol.receive_data(connection.recv(65536))
            elif type(event) is h11.Request:
                request = event
            elif type(event) is h11.Data:
                body += event.data
        method, path = request.method.decode(), request.target.decode()
        self.received.append((method, path, body))
        token = dict(request.headers).get(b"authorization")
        answer = self._answer(method, path, body, token)
        if answer is SILENT:
            self._open_connections.append(connection)
            return
        with connection:
            if answer not in (CLOSE_BEFORE_EXECUTION, CLOSE_AFTER_EXECUTION):
                connection.sendall(_encode(protocol, answer))

    def _answer(self, method, path, body, token):
        if token != b"Bearer " + TOKEN.encode():
            return error(operationerrors.ErrorCode.UNAUTHORISED)
        fault = self.faults.pop(0) if self.faults and method == "POST" else None
        if fault not in (None, CLOSE_AFTER_EXECUTION):
            return fault
        answer = self._execute(path, body)
        return fault or answer

    def _execute(self, path, body):
        path = path.partition("?")[0]
        version, digest, text = self._current()
        match path:
            case operationpaths.CONFIG:
                return operations.ConfigAnswer(version=version, digest=digest, document=text)
            case operationpaths.HISTORY:
                return operations.HistoryAnswer(entries=tuple(reversed(self._entries())))
            case operationpaths.APPLY:
                return self._apply(msgspec.json.decode(body, type=operations.ApplyRequest))
            case operationpaths.DRAIN:
                request = msgspec.json.decode(body, type=operations.DrainRequest)
                if request.daemon != self.name:
                    return error(operationerrors.ErrorCode.WRONG_DAEMON)
                return operations.DrainAnswer(daemon=self.name, draining=True, running=3)
            case operationpaths.VOTERS_ADD | operationpaths.VOTERS_REMOVE:
                msgspec.json.decode(body, type=operations.VoterRequest)
                return operations.VoterAnswer(voters=VOTERS, index=12)
        return READ_ANSWERS[path]

    def _entries(self):
        return [
            operations.HistoryEntry(
                version=number,
                digest=environment.digest(request.document),
                author=request.author,
                change_id=request.change_id,
                accepted_at=1.0,
                document=request.document,
            )
            for number, request in enumerate(self.history, 1)
        ]

    def _current(self):
        text = self.history[-1].document if self.history else ""
        return len(self.history), environment.digest(text) if text else "", text

    def _apply(self, request):
        for entry in self._entries():
            if entry.change_id == request.change_id:
                return self._accepted(entry)
        version, digest, _ = self._current()
        if (request.expected_version, request.expected_digest) != (version, digest):
            winner = self.history[-1]
            return operations.ApplyAnswer(
                outcome=operations.ApplyOutcome.CONFLICT,
                change_id=request.change_id,
                winner_version=version,
                winner_digest=digest,
                winner_author=winner.author,
                winner_change_id=winner.change_id,
            )
        self.history.append(request)
        return self._accepted(self._entries()[-1])

    def _accepted(self, entry):
        return operations.ApplyAnswer(
            outcome=operations.ApplyOutcome.ACCEPTED,
            change_id=entry.change_id,
            in_force=self.in_force,
            version=entry.version,
            digest=entry.digest,
        )


def error(code, execution="not_run"):
    """Returns an error for the body of an answer."""
    return operations.ErrorDetail(code=code, message=f"refused: {code}", execution=execution)


def _encode(protocol, answer):
    status, body = 200, answer
    if isinstance(answer, operations.ErrorDetail):
        status = operationerrors.MEANINGS[answer.code].status
        answer = operations.ErrorAnswer(error=answer)
    if not isinstance(answer, bytes):
        body = msgspec.json.encode(answer)
    headers = [("content-length", str(len(body))), ("connection", "close")]
    data = protocol.send(h11.Response(status_code=status, headers=headers))
    return data + protocol.send(h11.Data(body)) + protocol.send(h11.EndOfMessage())


class Terminal(io.StringIO):
    """A standard output that reports that it is a terminal."""

    def isatty(self):
        return True


class CliTestCase(unittest.TestCase):
    """Runs commands in this process against a fake daemon, with a temporary folder for files."""

    def setUp(self):
        self.folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.write("token", TOKEN + "\n")
        self.daemon = self.start_daemon()
        clean_environment = {
            name: value for name, value in os.environ.items() if "COLTSFOOT" not in name
        }
        clean_environment |= {"TERM": "xterm-256color", "COLUMNS": "200"}
        clean_environment.pop("NO_COLOR", None)
        self.enterContext(unittest.mock.patch.dict(os.environ, clean_environment, clear=True))

    def start_daemon(self, *arguments, **options):
        """Starts a fake daemon that is closed at the end of the test."""
        daemon = Daemon(*arguments, **options)
        self.addCleanup(daemon.close)
        return daemon

    def write(self, name, text):
        """Writes a file and returns its path as text."""
        path = self.folder / name
        path.write_bytes(text.encode())
        return str(path)

    def run_plain(self, *arguments, **options):
        """Runs a command without options for address, token and timeout."""
        out = options.get("stdout") or io.StringIO()
        err = io.StringIO()
        answer = io.StringIO(options.get("stdin", ""))
        with (
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
            unittest.mock.patch("sys.stdin", answer),
        ):
            code = main.main(list(arguments))
        return code, out.getvalue(), err.getvalue()

    def run_cli(self, *arguments, address=None, **options):
        """Runs a command against the fake daemon; returns exit code, output and error output."""
        address_options = ("--address", address or self.daemon.address)
        token_options = ("--token-file", str(self.folder / "token"), "--timeout-seconds", "2")
        return self.run_plain(*address_options, *token_options, *arguments, **options)
