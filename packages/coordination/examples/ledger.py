"""Runs a call at most once: claim, send, complete; a duplicate gets the stored answer."""

from coltsfoothead.coordination import ledger
from coltsfoothead.coordination.machine import host, registry

KEY = ledger.Key("organisation-1", "bookings", "deposit-17")
BODY_DIGEST = b"\x01" * 32
NOW_MS = 1_800_000_000_000


def main():
    machine = host.StateMachineHost(host.LEDGER_STATE_MACHINES)

    def commit(command):
        """Simulates a proposal to the replicated log; returns the result of the command."""
        data = machine.apply(machine.index + 1, registry.encode(command))
        return registry.decode_result(ledger.NAME, data)

    claim = commit(ledger.Claim(KEY, BODY_DIGEST, "request-1", "entry-a", 1, NOW_MS))
    print("first:", claim)
    print(
        "while it runs:", commit(ledger.Claim(KEY, BODY_DIGEST, "request-2", "entry-b", 1, NOW_MS))
    )
    # The claim is committed, so the call may be sent upstream from here on.
    answer = ledger.limit_answer_size(ledger.Answer(201, (), b'{"deposit": 17}'))
    commit(ledger.Complete(KEY, "entry-a", claim.claim, answer))
    duplicate = commit(ledger.Claim(KEY, BODY_DIGEST, "request-3", "entry-b", 1, NOW_MS))
    print("afterwards:", duplicate.answer.body.decode())
    print("other body:", commit(ledger.Claim(KEY, b"\x02" * 32, "request-4", "entry-b", 1, NOW_MS)))
    print("bytes of records:", machine.state(ledger.NAME).state_bytes())


if __name__ == "__main__":
    main()
