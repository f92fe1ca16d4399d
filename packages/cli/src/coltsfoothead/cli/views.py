"""Read commands and the tables that show their answers."""

import collections.abc
import dataclasses
import datetime
from typing import Any

import msgspec

from coltsfoothead.cli import output
from coltsfoothead.kernel import operationpaths, operations

__all__ = ["VIEWS", "View", "drain", "history", "request", "voters"]


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """A read command.

    Attributes
    ----------
    name, help : str
        Name and help text of the command.
    path : str
        Path of the operators' API.
    answer_type : type of Struct
    tables : callable
        Returns the tables of an answer.
    """

    name: str
    help: str
    path: str
    answer_type: type[msgspec.Struct]
    tables: collections.abc.Callable[[Any], tuple[output.Table, ...]]


_UPSTREAM_COLUMNS = {
    "upstream": "id",
    "kind": "kind",
    "state": "state",
    "service": "service",
    "models": "models",
    "role": "role",
    "region": "region",
    "zone": "zone",
    "vm": "vm",
    "class": "vm_class",
    "address": "address",
    "slots": "slots",
    "running": "running",
    "waiting": "waiting",
    "in flight": "in_flight",
    "weight": "weight",
    "renewed s ago": "renewal_age_seconds",
}

_REQUEST_COLUMNS = {
    "request": "id",
    "organisation": "organisation",
    "kind": "kind",
    "target": "target",
    "state": "state",
    "owner": "owner",
    "guard": "guard",
    "epoch": "epoch",
    "attempt": "attempt",
    "upstream": "upstream",
    "tokens": "tokens_delivered",
    "age s": "age_seconds",
    "outcome": "outcome",
}

_VM_COLUMNS = {
    "vm": "id",
    "state": "state",
    "class": "vm_class",
    "region": "region",
    "zone": "zone",
    "reclaimable": "reclaimable",
    "cost/h": "hourly_cost",
    "age s": "age_seconds",
    "reclaim in s": "reclaim_in_seconds",
    "runs": "runs",
}

_MEMBER_COLUMNS = {
    "member": "id",
    "state": "state",
    "incarnation": "incarnation",
    "address": "address",
    "region": "region",
    "zone": "zone",
    "vm": "vm",
    "since s": "state_age_seconds",
}

_VOTER_COLUMNS = {"voter": "id", "address": "address", "zone": "zone"}

_HISTOGRAM_FIELDS = ("count", "p50", "p95", "p99", "max")


def request(entry: operations.RequestEntry) -> tuple[output.Table, ...]:
    """Returns the table of one request, with one field per row."""
    rows = {title: getattr(entry, field) for title, field in _REQUEST_COLUMNS.items()}
    return (_fields_table(f"request {entry.id}", rows),)


def voters(answer: operations.VoterAnswer) -> tuple[output.Table, ...]:
    """Returns the table of the voters after a change."""
    return (_entries_table(f"voters at index {answer.index}", _VOTER_COLUMNS, answer.voters),)


def drain(answer: operations.DrainAnswer) -> tuple[output.Table, ...]:
    """Returns the table of the answer to a drain."""
    return (_fields_table("drain", msgspec.structs.asdict(answer)),)


def history(answer: operations.HistoryAnswer) -> tuple[output.Table, ...]:
    """Returns the table of accepted configuration changes."""
    rows = tuple(
        (
            entry.version,
            entry.digest[:12],
            entry.author,
            entry.change_id,
            _format_time(entry.accepted_at),
        )
        for entry in answer.entries
    )
    columns = ("version", "digest", "author", "change", "accepted")
    return (output.Table(_title("history", answer.truncated), columns, rows),)


def _status(answer: operations.StatusAnswer) -> tuple[output.Table, ...]:
    daemon = {
        "daemon": answer.daemon,
        "region": answer.region,
        "zone": answer.zone,
        "vm": answer.vm,
        "incarnation": answer.incarnation,
        "ready": answer.ready,
        "not ready because": answer.not_ready,
        "draining": answer.draining,
        "configuration version": answer.config_version,
        "configuration digest": answer.config_digest,
        "configuration lease s": answer.config_lease_seconds,
        "upstreams": answer.upstreams,
        "requests running": answer.running,
        "requests accepted": answer.accepted,
    }
    refusals = tuple(sorted(answer.refused.items()))
    return (
        _fields_table("daemon", daemon),
        output.Table("refused requests", ("reason", "count"), refusals),
        *_log_tables("control log", answer.control_log),
        *_log_tables("ledger log", answer.ledger_log),
    )


def _log_tables(title: str, log: operations.LogStatus | None) -> tuple[output.Table, ...]:
    if log is None:
        return ()
    fields = {
        "role": log.role,
        "term": log.term,
        "leader": log.leader,
        "commit index": log.commit_index,
        "applied index": log.applied_index,
    }
    return (
        _fields_table(title, fields),
        _entries_table(f"{title}: voters", _VOTER_COLUMNS, log.voters),
    )


def _upstreams(answer: operations.UpstreamsAnswer) -> tuple[output.Table, ...]:
    return (_entries_table("upstreams", _UPSTREAM_COLUMNS, answer.upstreams),)


def _requests(answer: operations.RequestsAnswer) -> tuple[output.Table, ...]:
    title = _title("requests", answer.truncated)
    return (_entries_table(title, _REQUEST_COLUMNS, answer.requests),)


def _vms(answer: operations.VmsAnswer) -> tuple[output.Table, ...]:
    fleet = {"capacity lease": answer.capacity_holder, "cost/h": answer.hourly_cost}
    return (_entries_table("vms", _VM_COLUMNS, answer.vms), _fields_table("fleet", fleet))


def _members(answer: operations.MembersAnswer) -> tuple[output.Table, ...]:
    return (_entries_table("members", _MEMBER_COLUMNS, answer.members),)


def _slo(answer: operations.SloAnswer) -> tuple[output.Table, ...]:
    rows = tuple(
        (each.organisation, each.objective, each.budget_left, each.alert, *_window_cells(window))
        for each in answer.organisations
        for window in each.windows or (None,)
    )
    columns = ("organisation", "objective", "budget left", "alert")
    return (output.Table("slo", (*columns, "window s", "burn rate", "requests"), rows),)


def _window_cells(window: operations.SloWindow | None) -> tuple[Any, ...]:
    return (None,) * 3 if window is None else msgspec.structs.astuple(window)


def _metrics(answer: operations.MetricsAnswer) -> tuple[output.Table, ...]:
    histograms = tuple(
        (name, *(getattr(summary, field) for field in _HISTOGRAM_FIELDS))
        for name, summary in sorted(answer.histograms.items())
    )
    return (
        output.Table("counters", ("counter", "value"), tuple(sorted(answer.counters.items()))),
        output.Table("histograms", ("histogram", *_HISTOGRAM_FIELDS), histograms),
    )


def _entries_table(title: str, columns: dict[str, str], entries: tuple[Any, ...]) -> output.Table:
    rows = tuple(tuple(getattr(entry, field) for field in columns.values()) for entry in entries)
    return output.Table(title, tuple(columns), rows)


def _fields_table(title: str, fields: dict[str, Any]) -> output.Table:
    return output.Table(title, ("field", "value"), tuple(fields.items()))


def _title(title: str, truncated: bool) -> str:
    return f"{title} (bounded; older ones left out)" if truncated else title


def _format_time(seconds: float) -> str:
    utc_time = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return utc_time.isoformat(timespec="seconds").replace("+00:00", "Z")


VIEWS = (
    View(
        "status",
        "Show the state of the daemon that answers.",
        operationpaths.STATUS,
        operations.StatusAnswer,
        _status,
    ),
    View(
        "upstreams",
        "List the upstreams in the directory.",
        operationpaths.UPSTREAMS,
        operations.UpstreamsAnswer,
        _upstreams,
    ),
    View(
        "requests",
        "List running and recently finished requests.",
        operationpaths.REQUESTS,
        operations.RequestsAnswer,
        _requests,
    ),
    View(
        "vms",
        "List the VMs and the holder of the capacity lease.",
        operationpaths.VMS,
        operations.VmsAnswer,
        _vms,
    ),
    View(
        "members",
        "List the daemons in the membership.",
        operationpaths.MEMBERS,
        operations.MembersAnswer,
        _members,
    ),
    View(
        "slo",
        "Show burn rate, error budget and alert of each organisation.",
        operationpaths.SLO,
        operations.SloAnswer,
        _slo,
    ),
    View(
        "metrics",
        "Show counters and histograms of the daemon that answers.",
        operationpaths.METRICS,
        operations.MetricsAnswer,
        _metrics,
    ),
)
