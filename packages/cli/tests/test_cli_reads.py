"""Tests of the read commands, their output and the choice of the target."""

import json
import unittest.mock

import standin

from coltsfoothead.cli import exitcodes, httpclient
from coltsfoothead.kernel import operationerrors, operations

_CODE = exitcodes.ExitCode

# Case: command, what its plain output contains, what its JSON output contains.
COMMANDS = {
    ("status",): ("not ready because", ("not_ready", "draining")),
    ("upstreams",): ("renewed s ago", ("upstreams",)),
    ("requests",): ("req-1", ("truncated", True)),
    ("request", "show", "req-1"): ("organisation", ("organisation", "acme")),
    ("vms",): ("d1,u1", ("capacity_holder", None)),
    ("members",): ("alive", ("members",)),
    ("slo",): ("14.4", ("organisations",)),
    ("metrics",): ("first_token_seconds", ("counters", {"requests_total": 7})),
    ("config", "show"): ("# Kept as written.", ("version", 1)),
    ("config", "history"): ("1970-01-01T00:00:01Z", ("truncated", False)),
    ("config", "history", "--changes"): ('+ environment: "trial"', ("entries",)),
}


class ReadTest(standin.CliTestCase):
    def setUp(self):
        super().setUp()
        self.daemon.history.append(
            operations.ApplyRequest(
                change_id="c1",
                author="ann",
                expected_version=0,
                expected_digest="",
                document=standin.DOCUMENT,
            )
        )

    def test_every_read_prints_plain_text_tables_and_json(self):
        """Guards against colour codes in pipes, and against a read without JSON output."""
        for command, (text, (key, *value)) in COMMANDS.items():
            with self.subTest(command):
                code, out, err = self.run_cli(*command)
                self.assertEqual((_CODE.OK, ""), (code, err))
                self.assertIn(text, out)
                self.assertNotIn("\x1b", out)
                code, out, _ = self.run_cli(*command, stdout=standin.Terminal())
                self.assertIn(text, out)
                self.assertEqual(command[0] != "config" or command[1] == "history", "\x1b[" in out)
                code, out, _ = self.run_cli(*command, "--json", stdout=standin.Terminal())
                self.assertIn(key, json.loads(out))
                self.assertEqual(value, [json.loads(out)[key]] if value else [])

    def test_plain_columns_are_aligned(self):
        """Guards against output that cut and awk cannot split."""
        _, out, _ = self.run_cli("members")
        head, row = out.splitlines()
        self.assertEqual(head.index("state"), row.index("alive"))

    def test_names_cannot_inject_terminal_sequences(self):
        """Guards against escape sequences in an upstream's ID reaching the terminal."""
        for stdout in (None, standin.Terminal()):
            _, out, _ = self.run_cli("upstreams", stdout=stdout)
            self.assertIn(r"u[1]\x1b[2J", out)
            self.assertNotIn("\x1b[2J", out)

    def test_an_unknown_request_is_not_found(self):
        """Guards against an empty table with exit code 0 for an unknown ID."""
        code, out, err = self.run_cli("request", "show", "other")
        self.assertEqual((_CODE.NOT_FOUND, ""), (code, out))
        self.assertEqual("error: not_found: no request 'other'\n", err)
        self.assertIn(("GET", "/requests?id=other", b""), self.daemon.received)

    def test_a_read_goes_to_the_next_address(self):
        """Guards against one failed daemon making all reads fail."""
        dead, silent = self.start_daemon(), self.start_daemon()
        dead.close()
        silent._answer = lambda *_: standin.SILENT
        addresses = ",".join(each.address for each in (dead, silent, self.daemon))
        code, out, err = self.run_cli("--timeout-seconds", "0.2", "members", address=addresses)
        self.assertEqual((_CODE.OK, ""), (code, err))
        addresses = f"{dead.address},{silent.address}"
        code, _, err = self.run_cli("--timeout-seconds", "0.2", "members", address=addresses)
        self.assertEqual(_CODE.UNREACHABLE, code)
        self.assertRegex(err, r"^error: unreachable: .*cannot connect.*timed out\n$")

    def test_malformed_answers_have_an_error_code(self):
        """Guards against a traceback when the address belongs to another kind of server."""
        for answer in (b"<html>", b'{"members": 3}', b"\xff"):
            self.daemon._answer = lambda *_, answer=answer: answer
            code, _, err = self.run_cli("members")
            self.assertEqual(_CODE.BAD_ANSWER, code, err)
            self.assertEqual(1, err.count("\n"))

    def test_answers_are_bounded(self):
        """Guards against an endless answer filling the memory."""
        with unittest.mock.patch.object(httpclient, "_MAX_ANSWER_BYTES", 10):
            code, _, err = self.run_cli("members")
        self.assertEqual(_CODE.UNREACHABLE, code)
        self.assertIn("exceeds 10 bytes", err)

    def test_interrupts_and_faults_before_a_change(self):
        """Guards against Ctrl-C looking like success, and against a fault losing its traceback."""
        read = "coltsfoothead.cli.operatorsclient.Client.read"
        with unittest.mock.patch(read, side_effect=KeyboardInterrupt):
            code, _, err = self.run_cli("vms")
        self.assertEqual(
            (_CODE.INTERRUPTED, "error: interrupted: no change was made\n"), (code, err)
        )
        # The interpreter prints the traceback of what main raises and exits with INTERNAL.
        with (
            unittest.mock.patch(read, side_effect=ArithmeticError),
            self.assertRaises(ArithmeticError),
        ):
            self.run_cli("vms")
        self.assertEqual(1, _CODE.INTERNAL)

    def test_error_codes_lead_to_exit_codes(self):
        """Guards against scripts mistaking one refusal for another."""
        expected = {
            operationerrors.ErrorCode.UNAUTHORISED: _CODE.UNAUTHORISED,
            operationerrors.ErrorCode.NOT_FOUND: _CODE.NOT_FOUND,
            operationerrors.ErrorCode.REQUEST_NOT_FOUND: _CODE.NOT_FOUND,
            operationerrors.ErrorCode.VOTER_NOT_FOUND: _CODE.NOT_FOUND,
        }
        for error_code in operationerrors.ErrorCode:
            self.daemon._answer = lambda *_, code=error_code: standin.error(code)
            code, _, err = self.run_cli("members")
            self.assertEqual(expected.get(error_code, _CODE.REFUSED), code, error_code)
            self.assertIn(f"refused: {error_code}", err)


class TargetTest(standin.CliTestCase):
    def test_the_target_comes_from_the_environment_or_a_file(self):
        """Guards against a change going to another installation than the named one."""
        self.write("targets.toml", f"[targets.trial]\naddresses = ['{self.daemon.address}']\n")
        with open(self.folder / "targets.toml", "a", encoding="utf-8") as file:
            file.write('token_file = "token"\n')
        named_target = ("--targets-file", str(self.folder / "targets.toml"), "--target")
        self.assertEqual(_CODE.OK, self.run_plain(*named_target, "trial", "vms")[0])
        variables = {
            "COLTSFOOTHEAD_ADDRESS": f"127.0.0.1:1, {self.daemon.address}",
            "COLTSFOOTHEAD_TOKEN_FILE": str(self.folder / "token"),
        }
        with unittest.mock.patch.dict("os.environ", variables):
            self.assertEqual(_CODE.OK, self.run_plain("vms")[0])
            self.assertEqual(_CODE.OK, self.run_plain(*named_target, "trial", "vms")[0])
            # A named target that does not exist is an error, despite the environment variables.
            self.assertEqual(_CODE.USAGE, self.run_plain(*named_target, "production", "vms")[0])

    def test_usage_errors_are_one_typed_line(self):
        """Guards against usage errors that scripts cannot distinguish from other errors."""
        token = ("--token-file", str(self.folder / "token"))
        bad_token = ("--token-file", self.write("bad", "two words"))
        targets = ("--targets-file", self.write("t.toml", "[target]\n"), "--target", "a")
        for arguments in (
            *(("status",), (), ("config",), ("nothing",), ("status", "--nothing"), ("apply",)),
            *(("--address", "localhost:1", *token, "status"), ("--target", "a", "status")),
            *(("--address", "127.0.0.1:0", *token, "status"), (*targets, "status")),
            *(("--address", "127.0.0.1:1", *bad_token, "status"),),
            *(("--address", "127.0.0.1:1", "--token-file", "missing", "status"),),
            *(("--address", "127.0.0.1:1", "--target", "a", "status"),),
        ):
            with self.subTest(arguments):
                code, out, err = self.run_plain(*arguments)
                self.assertEqual((_CODE.USAGE, ""), (code, out))
                self.assertRegex(err, r"^error: usage: [^\n]+\n$")

    def test_a_wrong_token_is_unauthorised(self):
        """Guards against the token being ignored."""
        self.write("token", "other")
        self.assertEqual(_CODE.UNAUTHORISED, self.run_cli("vms")[0])
