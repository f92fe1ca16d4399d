"""Command that asks an entry where a request would go now, and why."""

import pathlib
import urllib.parse
from typing import Annotated

import msgspec
import typer

from coltsfoothead.cli import errors, httpclient, operatorsclient, options, output, targets
from coltsfoothead.kernel import explanation

__all__ = ["add_commands"]

# Terms in the order in which the table shows them.
_TERMS = (
    "distance",
    "failures",
    "warm_in",
    "start",
    "late",
    "own_prefill",
    "copy",
    "missing",
    "tie_break",
    "total",
)
_CANDIDATE_COLUMNS = {
    "upstream": "upstream",
    "zone": "zone",
    "relayed": "relayed",
    "running": "running",
    "waiting": "waiting",
    "tokens": "waiting_tokens",
    "slots": "slots",
    "holder": "holds_prefix",
    "tokens/s": "prefill_tokens_per_second",
}


def add_commands(app: typer.Typer) -> None:
    """Adds the command to an application."""
    app.command("explain")(_explain)


def _explain(
    context: typer.Context,
    entry: Annotated[
        str, typer.Option("--entry", help="Metrics address of the entry, HOST:PORT (metrics_port).")
    ],
    host: Annotated[str, typer.Option("--host", help="Host header of the request.")],
    path: Annotated[str, typer.Option("--path", help="Path of the request.")],
    key_file: Annotated[
        pathlib.Path | None, typer.Option("--key-file", help="File that holds the API key.")
    ] = None,
    prompt_tokens: Annotated[
        int | None, typer.Option("--prompt-tokens", min=0, help="Tokens of the prompt.")
    ] = None,
    output_tokens: Annotated[
        int | None, typer.Option("--output-tokens", min=0, help="Limit of the generated tokens.")
    ] = None,
    parts: Annotated[
        list[str] | None,
        typer.Option(
            "--part",
            metavar="ID:TOKENS",
            help="Part of the prompt, in order; the last one is not shared. May be repeated.",
        ),
    ] = None,
    as_json: options.Json = False,
) -> None:
    """Explain where a request would go now, and why, without sending it."""
    query: dict[str, object] = {"host": host, "path": path, "part": parts or []}
    if prompt_tokens is not None:
        query["prompt_tokens"] = prompt_tokens
    if output_tokens is not None:
        query["output_tokens"] = output_tokens
    headers = ()
    if key_file is not None:
        headers = (("authorization", f"Bearer {targets.read_token(key_file)}"),)
    state: options.State = context.obj
    target = f"{explanation.PATH}?{urllib.parse.urlencode(query, doseq=True)}"
    response = httpclient.exchange(_address(entry), "GET", target, headers, b"", state.timeouts)
    answer = operatorsclient.decode(response, explanation.ExplanationAnswer)
    if as_json:
        output.print_json(answer)
    else:
        output.print_tables(_tables(answer))


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise errors.UsageError(f"--entry: expected HOST:PORT, got {text!r}")
    return host.strip("[]"), int(port)


def _tables(answer: explanation.ExplanationAnswer) -> tuple[output.Table, ...]:
    outcome = {
        "goes to": answer.chosen,
        "best candidate": answer.best,
        "organisation": answer.organisation,
    }
    sections = {
        "route": answer.route,
        "quota": answer.quota,
        "share": answer.share,
        "admission": answer.verdict,
        "refusal": answer.refusal,
    }
    tables = [output.Table("request", ("field", "value"), tuple(outcome.items()))]
    for title, section in sections.items():
        if section is not None:
            rows = tuple(
                (name, _flat(value)) for name, value in msgspec.structs.asdict(section).items()
            )
            tables.append(output.Table(title, ("field", "value"), rows))
    if answer.candidates:
        columns = (*_CANDIDATE_COLUMNS, *(f"{name.replace('_', ' ')} s" for name in _TERMS))
        rows = tuple(_candidate_cells(each) for each in answer.candidates)
        tables.append(output.Table("candidates, the best score first", columns, rows))
    if answer.left_out:
        rows = tuple((each.upstream, each.zone, each.reason) for each in answer.left_out)
        tables.append(output.Table("left out", ("upstream", "zone", "reason"), rows))
    return tuple(tables)


def _candidate_cells(entry: explanation.CandidateEntry) -> tuple[object, ...]:
    terms = entry.terms or {}
    return (
        *(getattr(entry, field) for field in _CANDIDATE_COLUMNS.values()),
        *(terms.get(name) for name in _TERMS),
    )


def _flat(value: object) -> object:
    """Returns the weights of a route's targets as text, and other values unchanged."""
    if isinstance(value, dict):
        return tuple(f"{name} {weight:g}" for name, weight in value.items())
    return value
