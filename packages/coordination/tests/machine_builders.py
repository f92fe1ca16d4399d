"""Command builders and an in-memory log for the state machine tests."""

import random

import hypothesis
from hypothesis import strategies as st

from coltsfoothead.coordination import configuration, ledger
from coltsfoothead.coordination.configuration import delta
from coltsfoothead.coordination.machine import host, registry

ALL_STATE_MACHINES = (*host.CONTROL_STATE_MACHINES, *host.LEDGER_STATE_MACHINES)


def schedules(examples):
    """Returns a decorator that runs a test with `examples` seeded random generators.

    The test draws its steps from the generator instead of hypothesis strategies: lists drawn from
    strategies are short on average and rarely reach states in which steps interfere.
    """

    def decorate(test):
        def run(self, seed):
            test(self, random.Random(seed))

        run.__name__, run.__qualname__, run.__doc__ = test.__name__, test.__qualname__, test.__doc__
        given = hypothesis.given(st.integers(0, 2**32))(run)
        settings = {"derandomize": True, "deadline": None, "database": None}
        return hypothesis.settings(max_examples=examples, **settings)(given)

    return decorate


class Log:
    """Applies commands to a state machine host in log order and decodes their results."""

    def __init__(self, settings=None, state_machines=ALL_STATE_MACHINES):
        self.settings = settings
        self.state_machines = state_machines
        self.machine = host.StateMachineHost(state_machines, settings)

    def __call__(self, command):
        data = self.machine.apply(self.machine.index + 1, registry.encode(command))
        name = type(command).__struct_config__.tag.split(".")[0]
        return registry.decode_result(name, data)

    def copy(self):
        """Returns a log whose state machines are restored from a snapshot of this log."""
        copied = Log(self.settings, self.state_machines)
        copied.machine.restore(self.machine.snapshot())
        return copied


def change(name, version, digest, document, author="ana", applied_at=0):
    """Returns an `Apply`; `document` may be text."""
    content = document if isinstance(document, bytes) else document.encode()
    return configuration.Apply(name, author, version, digest, content, applied_at)


def digest(document):
    """Returns the digest of a text document."""
    return delta.digest(document.encode())


def key(value="key-1", organisation="organisation-1", service="service-1"):
    """Returns a scoped idempotency key."""
    return ledger.Key(organisation, service, value)


def claim(value="key-1", request="request-1", owner="a", incarnation=1, now=0, body=b"body"):
    """Returns a `Claim`."""
    return ledger.Claim(key(value), body, request, owner, incarnation, now)
