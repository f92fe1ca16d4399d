"""Tests of the configuration state machine and of document deltas."""

import time
import unittest

import hypothesis
import machine_builders as builders
from hypothesis import strategies as st

from coltsfoothead.coordination import configuration
from coltsfoothead.coordination.configuration import delta, documents
from coltsfoothead.coordination.machine import host

text = st.lists(st.sampled_from(["a = 1\n", "b = 2\n", "name = 'long enough'\n", "x"])).map("".join)


class CompareAndSetTest(unittest.TestCase):
    def setUp(self):
        self.log = builders.Log(state_machines=host.CONTROL_STATE_MACHINES)
        self.state = self.log.machine.state(configuration.NAME)

    def test_the_losing_operator_of_a_race_learns_the_winning_change(self):
        """Guards against two racing operators that both see their change accepted."""
        first = builders.change("one", 0, "", "x", "ana")
        second = builders.change("two", 0, "", "y", "ben")
        accepted = configuration.Accepted(1, builders.digest("x"))
        lost = configuration.Conflict(1, builders.digest("x"), "ana", "one")
        self.assertEqual([self.log(first), self.log(second)], [accepted, lost])
        self.log(builders.change("three", 1, builders.digest("x"), "z"))
        self.assertEqual([self.log(first), self.log(second)], [accepted, lost])
        reused = configuration.ChangeReused("one", builders.digest("x"))
        self.assertEqual(self.log(builders.change("one", 0, "", "other")), reused)
        self.assertEqual(self.state.current.content, b"z")

    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None, database=None)
    @hypothesis.given(
        st.lists(st.tuples(st.integers(0, 2), st.integers(0, 9)), min_size=10, max_size=40)
    )
    def test_no_change_is_lost_or_applied_twice(self, steps):
        """Guards against lost updates when operators race and resend after lost answers."""
        log = builders.Log(state_machines=host.CONTROL_STATE_MACHINES)
        state = log.machine.state(configuration.NAME)
        sent, answers = [], {}
        for versions_behind, resend_index in steps:
            if resend_index < len(sent):
                command = sent[resend_index]
            else:
                # An operator appends a line to a document that it read up to two versions ago.
                read_document = documents.Document()
                if state.history():
                    read_version = max(1, state.current.version - versions_behind)
                    read_document = state.document(read_version)
                line = f"change {len(sent)}\n".encode()
                command = builders.change(
                    f"c{len(sent)}",
                    read_document.version,
                    read_document.digest,
                    read_document.content + line,
                )
                sent.append(command)
            answer = log(command)
            self.assertEqual(answers.setdefault(command.change_id, answer), answer)
        accepted = [name for name, answer in answers.items() if hasattr(answer, "version")]
        accepted = [n for n in accepted if isinstance(answers[n], configuration.Accepted)]
        lines = state.current.content.decode().splitlines()
        self.assertEqual(lines, [f"change {name[1:]}" for name in accepted])

    def test_state_is_bounded(self):
        """Guards against a state that grows with every change or every refused change."""
        settings = configuration.Settings(
            documents_kept=2, changes_kept=3, refusals_kept=1, document_limit_bytes=10
        )
        self.log = builders.Log({"configuration": settings}, host.CONTROL_STATE_MACHINES)
        state = self.log.machine.state(configuration.NAME)
        for number in range(5):
            current = state.current
            self.log(builders.change(f"c{number}", current.version, current.digest, str(number)))
            self.log(builders.change(f"refused{number}", 99, "", "x"))
        self.assertEqual([change.version for change in state.history()], [5, 4, 3])
        self.assertEqual([change.version for change in state.history(1)], [5])
        self.assertIsNone(state.document(3))
        self.assertEqual(state.document(4).content, b"3")
        large = self.log(builders.change("large", 5, builders.digest("4"), "x" * 11))
        self.assertEqual(large, configuration.DocumentTooLarge(11, 10))
        # A change whose ID was evicted is not applied again: its expected version is outdated.
        self.assertIsInstance(self.log(builders.change("c0", 0, "", "0")), configuration.Conflict)

    def test_time_does_not_go_backwards(self):
        """Guards against decreasing times in the history when VMs with different clocks propose."""
        self.log(builders.change("one", 0, "", "x", applied_at=50))
        self.log(builders.change("two", 1, builders.digest("x"), "y", applied_at=20))
        self.assertEqual([change.applied_at for change in self.state.history()], [50, 50])


class DeltaTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, max_examples=300, deadline=None, database=None)
    @hypothesis.given(text, text)
    def test_a_delta_builds_the_target(self, base, target):
        """Guards against a delta that produces another document than the accepted one."""
        base, target = base.encode(), target.encode()
        pieces = delta.make(base, target)
        if pieces is not None:
            self.assertEqual(delta.apply(base, pieces, delta.digest(target)), target)

    def test_equal_lines_take_linear_time(self):
        """Guards against matching that stalls the event loop; difflib took minutes on this."""
        base, target = b"\n" * 20_000, b"\na = 1\n" * 10_000
        started = time.perf_counter()
        delta.make(base, target)
        delta.make(target, base)
        self.assertLess(time.perf_counter() - started, 5.0)

    def test_a_small_change_of_a_large_document_is_small(self):
        """Guards against sending full documents over the charged link between regions."""
        lines = [f"upstream-{number} = {{ weight = {number} }}\n" for number in range(3000)]
        base = "".join(lines).encode()
        lines[1000] = "upstream-1000 = { weight = 7 }\n"
        lines[2000:2001] = []
        history = documents.DocumentHistory(2)
        history.add(documents.Document(1, delta.digest(base), base))
        target = "".join(lines).encode()
        history.add(documents.Document(2, delta.digest(target), target))
        update = history.update_since(1, delta.digest(base))
        self.assertLess(sum(len(p) for p in update.pieces if isinstance(p, bytes)), 100)
        self.assertIs(history.update_since(1, delta.digest(base)), update)
        self.assertIsInstance(history.update_since(1, "other digest"), documents.Full)
        self.assertIsInstance(history.update_since(0, ""), documents.Full)
        self.assertEqual(history.update_since(3, ""), documents.Current(2))
        with self.assertRaises(delta.DeltaMismatchError):
            delta.apply(base[1:], update.pieces, update.digest)
