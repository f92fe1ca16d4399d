"""Two operators race to change a configuration; a child uses the result while its lease lasts."""

from coltsfoothead.coordination import configuration
from coltsfoothead.coordination.configuration import lease
from coltsfoothead.coordination.machine import host, registry

NOW_MS = 1_800_000_000_000


def main():
    machine = host.StateMachineHost(host.CONTROL_STATE_MACHINES)
    state = machine.state(configuration.NAME)

    def apply(change_id, author, document):
        """Replaces proposing to the replicated log; expects that there is no document yet."""
        command = configuration.Apply(change_id, author, 0, "", document, NOW_MS)
        data = machine.apply(machine.index + 1, registry.encode(command))
        return registry.decode_result(configuration.NAME, data)

    print("first:", apply("change-1", "ann", b"limit = 1"))
    print("second:", apply("change-2", "ben", b"limit = 2"))
    print("first, sent again:", apply("change-1", "ann", b"limit = 1").version)

    # The quorum round of the leader started at 9.5 s; the child polls at 10 s and counts from then.
    leader, child = lease.LeaderLease(), lease.LeaseClient()
    leader.extend(round_started_at=9.5)
    request = child.poll(10.0)
    update = state.update_since(request.have_version, request.have_digest)
    child.receive(lease.PollAnswer(request.poll_id, leader.remaining(10.1), update))
    print("document:", child.document.content.decode())
    print("valid at 12 s:", child.valid(12.0), "- at 12.5 s:", child.valid(12.5))


if __name__ == "__main__":
    main()
