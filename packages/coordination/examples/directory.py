"""Two daemons share the announcement of an upstream, which expires unless it is renewed."""

from coltsfoothead.coordination.membership import directory, upstreams


def announcement(sequence, state="serving"):
    """Returns an announcement of the upstream; each needs a higher sequence number."""
    return upstreams.Upstream(
        "engine-1", 1, sequence, state, "model", "home", "home-a", "10.0.1.9:9000", slots=4
    )


def main():
    views = {name: directory.Directory(1, 0.0) for name in ("a", "b")}
    views["a"].set_peers(["b"])
    views["b"].set_peers(["a"])

    def exchange(now):
        """Replaces the links: delivers the batches of each daemon to the other."""
        for sender, view in views.items():
            for receiver, batch in view.outgoing(now):
                views[receiver].receive(sender, batch, now)

    # Ages are measured by the clock of the receiver, so its stamp must be echoed first.
    exchange(0.0)
    exchange(0.25)
    views["a"].renew(announcement(1), 0.4)
    exchange(0.5)
    print("b may route to:", [each.upstream for each in views["b"].routable(0.6)])
    print("2 s without renewal:", [each.upstream for each in views["b"].routable(2.5)])
    views["a"].renew(announcement(2, "leaving"), 2.6)
    exchange(2.6)
    print("leaving:", [each.upstream for each in views["b"].leaving(2.7)])


if __name__ == "__main__":
    main()
