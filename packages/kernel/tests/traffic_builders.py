"""Builders of routing documents, upstreams and demand."""

import dataclasses

from coltsfoothead.kernel.traffic import demandmeter, document, runnerplan, upstreams

ZONES = {"a": 1.0, "b": 0.8, "c": 1.25}


def scaled_service(maximum=6, zones=ZONES):
    """Returns the service ``model``, whose runners may be ordered."""
    scaling = document.Scaling(1, maximum, 4.0, 0.15, zones)
    return document.Service("model", 300, document.Engine(48, 500_000, 5), scaling)


def upstream(name, zone="a", state=upstreams.State.READY, **fields):
    """Returns an upstream of the service ``model``."""
    base = upstreams.Upstream(name, "model", f"10.0.0.1:{1000 + hash(name) % 999}", zone, 48, state)
    return dataclasses.replace(base, **fields)


def demand(runners=3.0):
    """Returns a demand that fully utilises a number of runners, half of it by prefill."""
    half = runners / 2
    return demandmeter.DemandRates(
        40.0,
        half * runnerplan.PREFILL_TOKENS_PER_SECOND,
        half * runnerplan.DECODE_TOKENS_PER_SECOND,
    )


def route(name="r", host="h.example", prefix="/p/", **fields):
    """Returns a route to the service ``model``."""
    base = document.Route(
        name,
        host,
        prefix,
        document.RequestKind.STREAM,
        (document.Target("model", 1.0),),
        timeout_seconds=15.0,
    )
    return dataclasses.replace(base, **fields)


def routing(*routes, organisations=(), version=1):
    """Returns a document with the service ``model``."""
    return document.RoutingDocument(version, routes, {"model": scaled_service()}, organisations)
