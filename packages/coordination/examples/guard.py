"""Replicates an answer to a guard, which takes the request over after its owner is lost."""

from coltsfoothead.coordination.guard import guardian, messages, owner


def main():
    guard = guardian.CopyStore(incarnation=1)
    request = owner.OwnerRequest("request-1", 1, b"prompt", owner.Guard("entry-b", 1))

    def exchange(now):
        """Simulates the links between the owner and the guard in both directions."""
        for message in request.outgoing(now):
            request.receive("entry-b", guard.receive("entry-a", message, now))

    exchange(0.0)
    print("headers may go to the caller:", request.accepted)
    attempt = request.start_attempt()
    request.append(attempt, messages.Chunk(b"brass ", 1))
    print("before the acknowledgement:", len(request.deliverable(0)), "chunks")
    exchange(0.1)
    print("after it:", len(request.deliverable(0)), "chunk")

    # The owner is lost and the control log has committed the take-over with epoch 2.
    successor = owner.OwnerRequest(
        "request-1", 2, b"prompt", None, guard.take_over("request-1", 2, 0.2)
    )
    successor.append(successor.start_attempt(), messages.Chunk(b"lamp", 1))
    print("the new owner has:", b"".join(chunk.data for chunk in successor.deliverable(0)).decode())

    request.append(attempt, messages.Chunk(b"late", 1))
    exchange(0.3)
    print("the old owner is refused:", request.refusal_reason)


if __name__ == "__main__":
    main()
