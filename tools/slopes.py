"""Measures how the cost of coordination grows with the size of an installation, and fits lines.

Runs real daemons and simulated upstreams and links on the loopback interface. Prints a table and
then JSON with every measured point. `--only PART` runs one part.
"""

import argparse
import asyncio
import inspect
import json
import os
import subprocess
import sys

import slopes_daemons
import slopes_parts

PARTS = {
    "daemons": slopes_daemons.daemons,
    "upstreams": slopes_daemons.upstreams,
    "organisations": slopes_daemons.organisations,
    "changes": slopes_daemons.changes,
    "recovery": slopes_parts.recovery,
    "ledger": slopes_parts.ledger,
    "membership": slopes_parts.membership,
    "tree": slopes_parts.tree,
    "frames": slopes_parts.frames,
    "links": slopes_parts.links,
}


def fit(points):
    """Returns slope and intercept of the least-squares line through ``(x, y)`` points.

    >>> fit([(0, 1.0), (1, 3.0), (2, 5.0)])
    (2.0, 1.0)
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    squared_deviations = sum((x - mean_x) ** 2 for x, _ in points)
    if not squared_deviations:
        return 0.0, mean_y
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / squared_deviations
    return slope, mean_y - slope * mean_x


def fit_columns(rows, size_column):
    """Returns the fitted line of every numeric column over `size_column`, by group of rows."""
    fitted_lines = []
    for group in dict.fromkeys(row.get("group", "") for row in rows):
        group_rows = [row for row in rows if row.get("group", "") == group]
        for name in dict.fromkeys(name for row in group_rows for name in row):
            points = [
                (row[size_column], row[name])
                for row in group_rows
                if isinstance(row.get(name), int | float) and name != size_column
            ]
            if len({x for x, _ in points}) < 2:
                continue
            slope, intercept = fit(points)
            fitted_lines.append(
                {
                    "group": group,
                    "column": name,
                    "slope": float(f"{slope:.4g}"),
                    "intercept": float(f"{intercept:.4g}"),
                    "points": points,
                }
            )
    return fitted_lines


def print_part(title, size_column, rows, fitted_lines):
    """Prints the rows of one part as a table, and its fitted lines."""
    print(f"\n== {title} (by {size_column})")
    names = list(dict.fromkeys(name for row in rows for name in row))
    table = [names] + [[str(row.get(name, "")) for name in names] for row in rows]
    widths = [max(len(row[column]) for row in table) for column in range(len(names))]
    for row in table:
        print("  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True)))
    for line in fitted_lines:
        points = " ".join(f"{x:g}:{y:g}" for x, y in line["points"])
        print(
            f"  {line['group']} {line['column']} = {line['intercept']:g}"
            f" + {line['slope']:g} x {size_column}   [{points}]"
        )


async def run_part(name):
    """Measures one part and prints its table; returns its entry in the JSON output."""
    measurement = PARTS[name]()
    size_column, rows = await measurement if inspect.isawaitable(measurement) else measurement
    fitted_lines = fit_columns(rows, size_column)
    print_part(name, size_column, rows, fitted_lines)
    return {
        "size": size_column,
        "load_average": os.getloadavg()[0],
        "rows": rows,
        "lines": fitted_lines,
    }


def run_part_in_subprocess(name):
    """Measures one part in a subprocess, so that memory used by other parts does not count."""
    command = (sys.executable, __file__, "--only", name)
    output = subprocess.run(command, check=True, stdout=subprocess.PIPE, text=True).stdout
    table, _, result = output.rstrip().rpartition("\n")
    print(table, flush=True)
    return json.loads(result)[name]


def main():
    """Parses the arguments, measures and prints."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", choices=PARTS)
    name = parser.parse_args().only
    results = (
        {name: asyncio.run(run_part(name))}
        if name
        else {each: run_part_in_subprocess(each) for each in PARTS}
    )
    print(json.dumps(results))


if __name__ == "__main__":
    main()
