#!/usr/bin/env python3
"""Prints a table of the days in entries of the bench's journal.

    deploy/measure/table.py ENTRY...        one row a day: worth, parts, what was taken off
    deploy/measure/table.py --means ENTRY...  one row a deployment: means over its days with trouble
"""

import json
import statistics
import sys


def days_of(paths):
    for path in paths:
        with open(path, encoding="utf-8") as file:
            entry = json.load(file)
        for day in entry.get("days", []):
            if day.get("G") is not None:
                yield entry, day


def share_taken(day):
    return sum(price[2] for price in day["prices"])


def print_days(paths):
    print("| site | day | worth | served | refused | failed | worst windows | worst kind | taken off | kinds | rules |")
    print("|---|---|---|---|---|---|---|---|---|---|---|")
    for entry, day in days_of(paths):
        parts = {name: value for name, _, value in day["parts"]}
        kinds = " ".join(f"{kind:.3f}" for kind in day["by_class"] if kind is not None)
        broken = ", ".join(day["rules"]) or ("fault" if day["fault"] else "kept")
        print(
            f"| {entry['site']} | {day['name']} | {day['G']:.3f} | {day['served']:.3f} "
            f"| {day['refused']:.4f} | {day['failed']:.4f} | {parts.get('worst windows', 0):.3f} "
            f"| {parts.get('worst class', 0):.3f} | {share_taken(day):.3f} | {kinds} | {broken} |"
        )


def print_means(paths):
    rows = {}
    for entry, day in days_of(paths):
        kind = "quiet" if day["slot"] == "quiet" else "trouble"
        rows.setdefault((entry["site"], kind), []).append((day["G"], day["served"], day["name"]))
    print("| site | days | mean worth | least | mean served | plays |")
    print("|---|---|---|---|---|---|")
    for (site, kind), days in sorted(rows.items()):
        worths = [worth for worth, _, _ in days]
        served = statistics.mean(part for _, part, _ in days)
        print(
            f"| {site} | {kind} | {statistics.mean(worths):.3f} | {min(worths):.3f} "
            f"| {served:.3f} | {len(days)} |"
        )


if __name__ == "__main__":
    if len(sys.argv) < 2:
        sys.exit(__doc__)
    if sys.argv[1] == "--means":
        print_means(sys.argv[2:])
    else:
        print_days(sys.argv[1:])
