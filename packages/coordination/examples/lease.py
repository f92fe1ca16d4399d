"""Two holders compete for a lease; the second gets it after that of the first has expired."""

from coltsfoothead.coordination import lease
from coltsfoothead.coordination.machine import host, registry

TTL_SECONDS = 10.0


def main():
    machine = host.StateMachineHost(host.CONTROL_STATE_MACHINES)
    state = machine.state(lease.NAME)
    tracker = lease.LeaseExpiryTracker()
    tracker.start_leading(0.0, state.leases)

    def commit(now, command):
        """Replaces proposing to the replicated log and waiting for the result."""
        data = machine.apply(machine.index + 1, registry.encode(command))
        tracker.record_applied(now, command.resource, state.lease(command.resource))
        return registry.decode_result(lease.NAME, data)

    first, second = lease.LeaseHolder(), lease.LeaseHolder()
    first.extend(0.0, commit(0.1, lease.Grant("capacity", "vm-a", 1, TTL_SECONDS, "request-1")))
    print("first holds with fence", first.fence, "until", round(first.remaining(0.0), 2))

    refused = commit(5.0, lease.Grant("capacity", "vm-b", 1, TTL_SECONDS, "request-2"))
    print("second is refused; held by", refused.lease.holder)

    print(
        "first still holds at 10 s:", first.is_held(10.0), "- due:", tracker.due_expirations(10.0)
    )
    for expire in tracker.due_expirations(10.2):
        commit(10.2, expire)
    second.extend(10.2, commit(10.3, lease.Grant("capacity", "vm-b", 1, TTL_SECONDS, "request-3")))
    print("second holds with fence", second.fence)


if __name__ == "__main__":
    main()
