"""Two operators race for a configuration; a child acts on the winner's while its lease lasts."""

from coltsfoothead.coordination import configuration
from coltsfoothead.coordination.configuration import lease
from coltsfoothead.coordination.machine import host, registry

NOW_MS = 1_800_000_000_000


def main():
    machine = host.StateMachineHost(host.CONTROL_STATE_MACHINES)
    state = machine.state(configuration.NAME)

    def apply(change_id, author, document):
        """Stands for proposing to the replicated log, on top of no document."""
        command = configuration.Apply(change_id, author, 0, "", document, NOW_MS)
        data = machine.apply(machine.index + 1, registry.encode(command))
        return registry.decode_result(configuration.NAME, data)

    print("first:", apply("change-1", "ann", b"limit = 1"))
    print("second:", apply("change-2", "ben", b"limit = 2"))
    print("first, sent again:", apply("change-1", "ann", b"limit = 1").version)

    # The leader's quorum round began at 9.5 s; the child asks at 10 s and counts from there.
    source, child = lease.LeaseSource(), lease.LeaseClient()
    source.confirmed(round_started_at=9.5)
    question = child.poll(10.0)
    update = state.since(question.have_version, question.have_digest)
    child.receive(lease.PollAnswer(question.poll_id, source.remaining(10.1), update))
    print("document:", child.document.content.decode())
    print("valid at 12 s:", child.valid(12.0), "- at 12.5 s:", child.valid(12.5))


if __name__ == "__main__":
    main()
