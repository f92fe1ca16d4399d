"""Tests of the commands that check, compare and change the environment document."""

import json
import shlex
import unittest.mock

import msgspec
import standin

from coltsfoothead.cli import documents, errors, exitcodes
from coltsfoothead.kernel import environment, operationerrors, operationpaths, operations

_CODE = exitcodes.ExitCode
_ERROR = operationerrors.ErrorCode

SECOND = standin.DOCUMENT + "max_tokens = 99\n"


class ChangeTestCase(standin.CliTestCase):
    def setUp(self):
        super().setUp()
        self.first = self.write("first.toml", standin.DOCUMENT)
        self.second = self.write("second.toml", SECOND)

    def received_changes(self, daemon=None):
        """Returns the changes that a daemon received."""
        received = (daemon or self.daemon).received
        sent = [body for _, path, body in received if path == operationpaths.APPLY]
        return [decode_change(body) for body in sent]


def decode_change(body):
    """Decodes the body of a request to apply a change."""
    return msgspec.json.decode(body, type=operations.ApplyRequest)


class CheckAndDiffTest(ChangeTestCase):
    def test_check_names_what_is_wrong(self):
        """Guards against a malformed document passing, and against check needing a daemon."""
        code, out, err = self.run_plain("check", self.first)
        self.assertEqual((_CODE.OK, ""), (code, err))
        self.assertIn(environment.digest(standin.DOCUMENT), out)
        code, out, _ = self.run_plain("check", self.first, "--json")
        self.assertEqual((True, 1), (json.loads(out)["valid"], json.loads(out)["models"]))
        bad = self.write("bad.toml", "environment = 1\n")
        code, out, err = self.run_plain("check", bad, "--json")
        self.assertEqual(_CODE.INVALID_DOCUMENT, code)
        self.assertEqual(
            (False, "$.environment"), (json.loads(out)["valid"], json.loads(out)["key"])
        )
        self.assertRegex(err, r"^error: invalid_document: .*bad.toml: \$.environment: .*`str`")
        unknown = self.write("unknown.toml", standin.DOCUMENT + '[policies]\nrouting = "nosuch"\n')
        code, _, err = self.run_plain("check", unknown)
        self.assertEqual(_CODE.INVALID_DOCUMENT, code)
        self.assertRegex(err, r"\$.policies.routing: no routing policy is named 'nosuch'")
        for name in (str(self.folder / "missing.toml"), str(self.folder)):
            self.assertEqual(_CODE.INVALID_DOCUMENT, self.run_plain("check", name)[0])

    def test_diff_shows_changes_and_exits_with_9_on_request(self):
        """Guards against scripts missing a difference, even one that is only in comments."""
        code, out, _ = self.run_cli("diff", self.first, "--exit-code")
        self.assertEqual(_CODE.DIFFERENT, code)
        self.assertIn('+ environment: "trial"', out)
        self.run_cli("apply", self.first)
        self.assertEqual(
            (_CODE.OK, "no difference\n", ""), self.run_cli("diff", self.first, "--exit-code")
        )
        code, out, _ = self.run_cli("diff", self.second)
        self.assertEqual((_CODE.OK, "~ models[chat].max_tokens: 8192 -> 99\n"), (code, out))
        comment = self.write("comment.toml", standin.DOCUMENT + "# more\n")
        code, out, _ = self.run_cli("diff", comment, "--exit-code", "--json")
        self.assertEqual(_CODE.DIFFERENT, code)
        self.assertEqual(([], True), (json.loads(out)["changes"], json.loads(out)["text_differs"]))


class ApplyTest(ChangeTestCase):
    def test_the_text_is_applied_as_written(self):
        """Guards against comments or line ends getting lost, which would change the digest."""
        text = standin.DOCUMENT.replace("\n", "\r\n")
        code, out, err = self.run_cli("apply", self.write("crlf.toml", text))
        self.assertEqual((_CODE.OK, ""), (code, err))
        self.assertIn("version 1 in force", out)
        self.assertEqual(text, self.daemon.history[0].document)
        self.assertEqual(text, self.run_cli("config", "show")[1])

    def test_a_lost_answer_is_retried_with_the_same_change_id(self):
        """Guards against a change being applied twice, or reported as failed though accepted."""
        for fault in (standin.CLOSE_AFTER_EXECUTION, standin.CLOSE_BEFORE_EXECUTION):
            self.daemon.history.clear()
            self.daemon.received.clear()
            self.daemon.faults = [fault]
            code, out, err = self.run_cli("apply", self.first, "--json")
            self.assertEqual((_CODE.OK, ""), (code, err))
            self.assertEqual(
                ("accepted", 1), (json.loads(out)["outcome"], len(self.daemon.history))
            )
            ids = [request.change_id for request in self.received_changes()]
            self.assertEqual([ids[0]] * 2, ids)

    def test_the_next_address_gets_the_same_change(self):
        """Guards against a failing daemon stopping a change that another one would accept."""
        for fault in (standin.CLOSE_AFTER_EXECUTION, standin.error(_ERROR.NO_LEADER), b"garbage"):
            other = self.start_daemon(self.daemon.history)
            other.faults = [fault]
            addresses = f"127.0.0.1:1,{other.address},{self.daemon.address}"
            text = self.write("next.toml", standin.DOCUMENT + f"# {fault!r}\n")
            code, _, err = self.run_cli("apply", text, address=addresses)
            self.assertEqual((_CODE.OK, ""), (code, err))
            self.assertEqual(
                self.received_changes(other)[0].change_id, self.received_changes()[-1].change_id
            )
        self.assertEqual(3, len(self.daemon.history))

    def test_an_unknown_outcome_prints_how_to_resend(self):
        """Guards against an operator resending under a new ID and undoing another's change."""
        unknown = operations.ApplyAnswer(outcome=operations.ApplyOutcome.UNKNOWN, change_id="c")
        for faults in (
            [standin.CLOSE_BEFORE_EXECUTION] * 2,
            [standin.CLOSE_BEFORE_EXECUTION, standin.error(_ERROR.NO_LEADER)],
            [standin.CLOSE_BEFORE_EXECUTION, standin.error(_ERROR.UNAUTHORISED)],
            [standin.error(_ERROR.OUTCOME_UNKNOWN, "unknown")] * 2,
            [unknown],
        ):
            self.daemon.faults = list(faults)
            code, out, err = self.run_cli("apply", self.first, "--author", "ann b", "--json")
            self.assertEqual((_CODE.OUTCOME_UNKNOWN, "unknown"), (code, json.loads(out)["outcome"]))
            self.assertEqual(1, err.count("\n"))
            change_id = self.received_changes()[-1].change_id
            options = f"--change-id {change_id} --author 'ann b' --expect-version 0"
            self.assertIn(f"resend with {options} --expect-digest ''", err)
        sent = ("--change-id", change_id, "--expect-version", "0", "--expect-digest", "")
        self.assertEqual(_CODE.OK, self.run_cli("apply", self.first, *sent)[0])

    def test_an_interrupt_while_sending_leaves_the_outcome_unknown(self):
        """Guards against losing the change ID when the operator presses Ctrl-C."""
        apply = ("apply", self.first, "--expect-version", "0", "--expect-digest", "")
        with unittest.mock.patch(
            "coltsfoothead.cli.httpclient.exchange", side_effect=KeyboardInterrupt
        ):
            code, _, err = self.run_cli(*apply)
            self.assertEqual(_CODE.OUTCOME_UNKNOWN, self.run_cli("drain", "d1")[0])
        self.assertEqual(_CODE.OUTCOME_UNKNOWN, code)
        self.assertIn("interrupted; resend with --change-id", err)

    def test_a_conflict_names_the_winner(self):
        """Guards against two operators overwriting each other."""
        self.run_cli("apply", self.first, "--change-id", "c1", "--author", "ann")
        expected = ("--expect-version", "0", "--expect-digest", "")
        code, out, err = self.run_cli("apply", self.second, *expected, "--json")
        self.assertEqual((_CODE.CONFLICT, "conflict"), (code, json.loads(out)["outcome"]))
        self.assertRegex(err, r"^error: conflict: version 1 .* by ann with change c1 is in force")
        self.assertEqual(1, len(self.daemon.history))

    def test_other_outcomes_have_their_exit_codes(self):
        """Guards against a change that is not in force being reported as done."""
        invalid = operations.ApplyAnswer(
            outcome=operations.ApplyOutcome.INVALID, change_id="c", problem="no such policy"
        )
        self.daemon.faults = [invalid]
        code, _, err = self.run_cli("apply", self.first)
        self.assertEqual((_CODE.INVALID_DOCUMENT, 1), (code, err.count("no such policy")))
        self.daemon.faults = [standin.error(_ERROR.CHANGE_ID_REUSED)]
        code, _, err = self.run_cli("apply", self.first)
        self.assertEqual(_CODE.REFUSED, code)
        self.assertIn("error: change_id_reused: ", err)
        self.daemon.in_force = False
        self.assertEqual(_CODE.NOT_IN_FORCE, self.run_cli("apply", self.first)[0])
        code, out, _ = self.run_cli("apply", self.second, "--no-wait")
        self.assertEqual((_CODE.OK, False), (code, self.received_changes()[-1].wait))
        self.assertIn("accepted, not yet in force", out)

    def test_nothing_is_sent_on_wrong_options_or_documents(self):
        """Guards against a change with a malformed ID or document reaching a daemon."""
        for options in (
            *(("--change-id", "a b"), ("--author", ""), ("--author", "x" * 129)),
            *(("--expect-version", "1"), ("--change-id", ""), ("--expect-digest", "")),
            *(("--expect-version", "-1"), ("--expect-version", "1", "--expect-digest", "x")),
        ):
            self.assertEqual(_CODE.USAGE, self.run_cli("apply", self.first, *options)[0], options)
        bad = self.write("bad.toml", "environment = 1\n")
        self.assertEqual(_CODE.INVALID_DOCUMENT, self.run_cli("apply", bad)[0])
        code, _, _ = self.run_cli("apply", self.first, address="127.0.0.1:1")
        self.assertEqual(_CODE.UNREACHABLE, code)
        self.assertEqual([], self.received_changes())


class PromoteTest(ChangeTestCase):
    def setUp(self):
        super().setUp()
        self.production = self.start_daemon()
        self.run_cli("apply", self.second)
        live = self.write("live.toml", 'environment = "live"\n')
        self.run_cli("apply", live, address=self.production.address)
        self.target_options = ("--from", self.daemon.address, "--to", self.production.address)

    def test_the_document_is_renamed_and_otherwise_kept(self):
        """Guards against promotion losing comments or carrying the trial's name along."""
        code, out, err = self.run_cli("promote", *self.target_options, "--yes")
        self.assertEqual((_CODE.OK, ""), (code, err))
        self.assertIn("+ models[chat]", out)
        self.assertNotIn("environment:", out)
        self.assertEqual(SECOND.replace('"trial"', '"live"'), self.production.history[-1].document)
        again = self.run_cli("promote", *self.target_options)
        self.assertEqual((_CODE.OK, "no difference\n", ""), again)
        self.assertEqual(2, len(self.production.history))

    def test_only_the_name_is_replaced(self):
        """Guards against replacing text that looks like the environment's name elsewhere."""
        lookalike = 'environment = "other"\n'
        head = f'models = [{{name = "m", versions = ["""\n{lookalike}"""]}}]\n'
        for name_line in (lookalike, "'environment'='other' # name\n"):
            document = documents.parse(head + name_line, "sample")
            renamed = documents.rename(document, "live")
            self.assertEqual("live", renamed.content.environment)
            self.assertTrue(renamed.text.startswith(head))
        with self.assertRaises(errors.InvalidDocumentError):
            documents.rename(documents.parse('environment = """other"""', "sample"), "live")

    def test_promote_asks_for_confirmation(self):
        """Guards against a promotion that was not confirmed, also without a terminal."""
        for answer in ("n\n", "", "\n"):
            code, _, err = self.run_cli("promote", *self.target_options, stdin=answer)
            self.assertEqual(_CODE.DECLINED, code)
            self.assertIn("Replace version 1 at", err)
        self.assertEqual(1, len(self.production.history))
        code, out, _ = self.run_cli("promote", *self.target_options, "--json", stdin="y\n")
        self.assertEqual((_CODE.OK, 2), (code, json.loads(out)["version"]))

    def test_a_change_between_question_and_answer_wins(self):
        """Guards against promotion overwriting a change that the operator was not shown."""

        def apply_other_change(*_, **__):
            self.run_cli("apply", self.first, address=self.production.address)
            return True

        with unittest.mock.patch("typer.confirm", apply_other_change):
            code, _, _ = self.run_cli("promote", *self.target_options)
        self.assertEqual((_CODE.CONFLICT, 2), (code, len(self.production.history)))

    def test_an_unknown_outcome_can_be_resent(self):
        """Guards against printing options that promote does not have."""
        self.production.faults = [standin.CLOSE_BEFORE_EXECUTION] * 2
        code, _, err = self.run_cli("promote", *self.target_options, "--yes")
        self.assertEqual(_CODE.OUTCOME_UNKNOWN, code)
        options = shlex.split(err.partition("resend with ")[2])
        code, _, err = self.run_cli("promote", *self.target_options, "--yes", *options)
        self.assertEqual((_CODE.OK, options[1]), (code, self.production.history[-1].change_id))

    def test_promote_accepts_named_targets(self):
        """Guards against one token being sent to both installations."""
        self.write("live-token", standin.TOKEN)
        rows = [("trial", self.daemon, "token"), ("live", self.production, "live-token")]
        text = "".join(
            f'[targets.{name}]\naddresses = ["{daemon.address}"]\ntoken_file = "{token}"\n'
            for name, daemon, token in rows
        )
        targets_file_option = ("--targets-file", self.write("targets.toml", text))
        command = ("promote", "--from", "trial", "--to", "live", "--yes")
        self.assertEqual(_CODE.OK, self.run_plain(*targets_file_option, *command)[0])

    def test_invalid_promotions_are_rejected(self):
        """Guards against a promotion from or to an installation without a document."""
        empty = self.start_daemon()
        same = ("--from", "127.0.0.1:1", "--to", "127.0.0.1:1")
        self.assertEqual(_CODE.USAGE, self.run_cli("promote", *same)[0])
        to_empty = ("promote", "--from", self.daemon.address, "--to", empty.address, "--yes")
        self.assertEqual(_CODE.USAGE, self.run_cli(*to_empty)[0])
        self.assertEqual(_CODE.OK, self.run_cli(*to_empty, "--name", "live")[0])
        from_empty = ("--from", self.start_daemon().address, "--to", self.production.address)
        self.assertEqual(_CODE.NOT_FOUND, self.run_cli("promote", *from_empty)[0])


class FleetTest(standin.CliTestCase):
    def test_drain_reaches_the_named_daemon_only(self):
        """Guards against draining whichever daemon answers first."""
        other = self.start_daemon(name="d2")
        addresses = f"{self.daemon.address},{other.address}"
        code, out, _ = self.run_cli("drain", "d2", "--json", address=addresses)
        self.assertEqual((_CODE.OK, "d2"), (code, json.loads(out)["daemon"]))
        code, _, err = self.run_cli("drain", "d2")
        self.assertEqual(_CODE.REFUSED, code)
        self.assertIn("error: wrong_daemon: ", err)
        self.assertEqual(_CODE.USAGE, self.run_cli("drain", "d2", "--deadline-seconds", "0")[0])

    def test_voters_are_changed(self):
        """Guards against a voter's address or zone getting lost."""
        add = ("voters", "add", "d9", "--address", "127.0.0.1:7", "--zone", "z9")
        for command in (add, ("voters", "remove", "d9"), ("drain", "d1")):
            code, out, _ = self.run_cli(*command)
            self.assertEqual((_CODE.OK, True), (code, "d1" in out))
            json.loads(self.run_cli(*command, "--json")[1])
        sent = {"id": "d9", "address": "127.0.0.1:7", "zone": "z9"}
        self.assertEqual(sent, json.loads(self.daemon.received[0][2]))
        self.assertEqual(_CODE.USAGE, self.run_cli(*add[:3], "--address", "x", "--zone", "z")[0])

    def test_writes_without_a_change_id_are_not_resent(self):
        """Guards against a resend that could act on a voter change made in the meantime."""
        other = self.start_daemon()
        self.daemon.faults = [standin.CLOSE_AFTER_EXECUTION]
        addresses = f"{self.daemon.address},{other.address}"
        code, _, err = self.run_cli("voters", "remove", "d9", address=addresses)
        self.assertEqual((_CODE.OUTCOME_UNKNOWN, []), (code, other.received))
        self.assertIn("error: outcome_unknown: ", err)
