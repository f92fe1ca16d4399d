"""Decision logic of the gateway: routing, quotas, placement, overload and runner planning.

An entry is a gateway process that accepts callers' requests. The control leader keeps the state
that all entries share. A runner is an upstream that serves a model.
"""
