"""Measures how the cost of control grows with each size, and fits straight lines.

Runs real daemons and small stand-ins on the loopback interface. Prints a table and then JSON with
every measured point. `--only PART` runs one part.
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
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if not spread:
        return 0.0, mean_y
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return slope, mean_y - slope * mean_x


def lines(rows, size):
    """Returns the fitted line of every numeric column over the column `size`, by group."""
    fitted = []
    for group in dict.fromkeys(row.get("group", "") for row in rows):
        members = [row for row in rows if row.get("group", "") == group]
        for name in dict.fromkeys(name for row in members for name in row):
            points = [
                (row[size], row[name])
                for row in members
                if isinstance(row.get(name), int | float) and name != size
            ]
            if len({x for x, _ in points}) < 2:
                continue
            slope, intercept = fit(points)
            fitted.append(
                {
                    "group": group,
                    "column": name,
                    "slope": float(f"{slope:.4g}"),
                    "intercept": float(f"{intercept:.4g}"),
                    "points": points,
                }
            )
    return fitted


def show(title, size, rows, fitted):
    """Prints the rows of a part and its fitted lines."""
    print(f"\n== {title} (by {size})")
    names = list(dict.fromkeys(name for row in rows for name in row))
    table = [names] + [[str(row.get(name, "")) for name in names] for row in rows]
    widths = [max(len(row[column]) for row in table) for column in range(len(names))]
    for row in table:
        print("  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True)))
    for line in fitted:
        points = " ".join(f"{x:g}:{y:g}" for x, y in line["points"])
        print(
            f"  {line['group']} {line['column']} = {line['intercept']:g}"
            f" + {line['slope']:g} x {size}   [{points}]"
        )


async def run(name):
    """Measures one part and prints its table; returns what the JSON holds of it."""
    measured = PARTS[name]()
    size, rows = await measured if inspect.isawaitable(measured) else measured
    fitted = lines(rows, size)
    show(name, size, rows, fitted)
    return {"size": size, "load_average": os.getloadavg()[0], "rows": rows, "lines": fitted}


def run_apart(name):
    """Measures one part in a process of its own, whose memory no other part has grown."""
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
    results = {name: asyncio.run(run(name))} if name else {each: run_apart(each) for each in PARTS}
    print(json.dumps(results))


if __name__ == "__main__":
    main()
