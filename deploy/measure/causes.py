#!/usr/bin/env python3
"""Counts by cause and moment what a day's logs say was refused, failed or tried in vain.

    fleetbench run SITE DAY --log all > FILE
    deploy/measure/causes.py FILE [SECONDS_A_COLUMN]

Lines of the proxy's log stand behind the simulated time and the name of an instance; other lines
are passed over.
"""

import json
import sys
from collections import Counter

COUNTED = {
    "a statement was refused",
    "a connection to a member was not opened",
    "a member did not serve a read",
    "a read got no answer",
    "a read ran out of time",
    "the primary did not serve a statement",
    "the primary gave no answer",
    "a transaction was aborted",
    "a transaction did not begin",
    "a commit was not done",
    "a commit got no answer",
    "the lease expired while a statement ran",
}


def cause_of(record):
    fields = record.get("kvs", {})
    reason = fields.get("reason", "")
    message = record["message"]
    if message == "a statement was refused":
        reason = f"{fields.get('effect', '')}: {reason}"
    return message, reason


def count(path, width):
    counts = {}
    with open(path, encoding="utf-8", errors="replace") as lines:
        for line in lines:
            words = line.split(None, 2)
            if len(words) < 3 or not words[2].startswith("{"):
                continue
            record = json.loads(words[2])
            if record["message"] in COUNTED:
                moment = int(float(words[0]) // width)
                counts.setdefault(cause_of(record), Counter())[moment] += 1
    return counts


def print_table(counts, width):
    moments = sorted({moment for row in counts.values() for moment in row})
    head = " | ".join(str(int(moment * width)) for moment in moments)
    print(f"| what | why | all | {head} |")
    print("|---|---|---|" + "---|" * len(moments))
    for (message, reason), row in sorted(counts.items(), key=lambda item: -sum(item[1].values())):
        cells = " | ".join(str(row[moment] or "") for moment in moments)
        print(f"| {message} | {reason} | {sum(row.values())} | {cells} |")


if __name__ == "__main__":
    if len(sys.argv) < 2:
        sys.exit(__doc__)
    column = float(sys.argv[2]) if len(sys.argv) > 2 else 2.0
    print_table(count(sys.argv[1], column), column)
