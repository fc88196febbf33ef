#!/usr/bin/env python3
"""Derives further deployments for measuring from a site file of the users' bench.

    deploy/measure/variants.py SITE_FILE SCRATCH_FOLDER

Each variant changes a few figures of the site, so that a policy is measured where connections,
slots, instances or distances are others than those it was first tried with. The folder must lie
outside of the repository; the site's examples of messages are copied beside the variants, as the
bench expects them there.
"""

import re
import shutil
import sys
from pathlib import Path


def set_number(text, field, value):
    """Gives every occurrence of a field a value."""
    changed, count = re.subn(rf"\b{field} = [0-9.]+", f"{field} = {value}", text)
    if count == 0:
        sys.exit(f"the site file has no field {field}")
    return changed


def scale_number(text, field, factor):
    """Multiplies every occurrence of a field in the lines of callers."""
    def scaled(match):
        return f"{field} = {float(match.group(1)) * factor:.4g}"

    lines = text.split("\n")
    pattern = re.compile(rf"\b{field} = ([0-9.]+)")
    return "\n".join(pattern.sub(scaled, line) if "clients =" in line else line for line in lines)


def set_instances(text, counts):
    """Sets how many instances each failure domain has, in the order of the file."""
    left = iter(counts)

    def replaced(match):
        return f"{match.group(1)}{next(left)}"

    return re.sub(r"(class = \"front\".*?\bcount = )\d+", replaced, text, count=len(counts))


def scarce(text):
    """Half of the connections a member: about as many as instances."""
    return set_number(text, "conn_cap", 11)


def many(text):
    """More instances than a member takes connections."""
    return set_instances(text, [12, 8, 10])


def lone(text):
    """Two slots a member, a failure domain with one instance, far regions, slow promotions."""
    text = set_number(text, "slots", 2)
    text = set_number(text, "cross_region_ms", 30.0)
    text = set_number(text, "promote_ms", 900.0)
    return set_instances(text, [5, 1, 3])


def pressed(text):
    """Half as much work again, on 14 instances."""
    return scale_number(set_instances(text, [6, 4, 4]), "per_s", 1.5)


VARIANTS = [scarce, many, lone, pressed]


def run(site, folder):
    text = site.read_text()
    folder.mkdir(parents=True, exist_ok=True)
    shutil.copyfile(site.parent / "wire.json", folder / "wire.json")
    for variant in VARIANTS:
        name = variant.__name__
        named = re.sub(r'^name = "([^"]+)"$', rf'name = "\1-{name}"', variant(text), count=1, flags=re.M)
        (folder / f"{site.stem}-{name}.toml").write_text(named)
        print(folder / f"{site.stem}-{name}.toml")


if __name__ == "__main__":
    if len(sys.argv) != 3:
        sys.exit(__doc__)
    run(Path(sys.argv[1]), Path(sys.argv[2]))
